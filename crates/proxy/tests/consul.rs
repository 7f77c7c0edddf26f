//! Servers listed by Consul, over sockets: a stand-in that reports false states and then stops answering, drains, real
//! server failures, and a change of sources under load.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{
    Discovery, LineConnection, Pingable, Proxy, Server, WAIT_TIMEOUT, disable_load_reports,
    unused_addr,
};
use violetwind_standins::consul::{Check, Consul, ConsulMode, Instance, Maintenance};

/// Returns the text of an operator's file with one Consul as the only source, for the start or a reload.
fn operators_file(consul: SocketAddr, more: &str) -> String {
    format!(
        "{more}\n[zones]\ndc1 = \"a\"\n[[source]]\nname = \"agenda\"\nkind = \"consul\"\n\
         address = \"{consul}\"\nservice = \"agenda\"\ngap = \"10ms\"\n"
    )
}

struct Setup {
    servers: Vec<Server>,
    consul: Consul,
    proxy: Proxy,
    /// Clients that are up, each with the server's side of its connection and the server's index.
    up: Vec<(LineConnection, LineConnection, usize)>,
}

impl Setup {
    fn new(servers: usize, more: &str) -> Self {
        let servers: Vec<Server> = (0..servers)
            .map(|n| Server::start(&format!("s-{n}")))
            .collect();
        let consul = Consul::start("agenda");
        consul.register_all(servers.iter().map(|s| Instance::new(&s.uid, s.addr)));
        // The platform's discovery is unreachable.
        let proxy = Proxy::start_with_operator_file(
            unused_addr(),
            &operators_file(consul.addr, more),
            disable_load_reports,
        );
        Self {
            servers,
            consul,
            proxy,
            up: Vec::new(),
        }
    }

    /// Opens a client and returns the index of its server.
    fn open(&mut self) -> usize {
        let mut client = self.proxy.open("watch");
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            for (n, server) in self.servers.iter().enumerate() {
                let opened = server.next_open_unless(|| true);
                if let Some((_, mut conn)) = opened {
                    conn.send_line("UP 1");
                    assert_eq!(client.read_line(), "UP 1");
                    self.up.push((client, conn, n));
                    return n;
                }
            }
            assert!(
                Instant::now() < until,
                "no server got the request:\n{}",
                self.proxy.log()
            );
            std::thread::yield_now();
        }
    }

    fn open_many(&mut self, clients: usize) {
        for _ in 0..clients {
            self.open();
        }
    }

    /// Asserts that every client's line reaches its server and that the answer comes back.
    fn assert_all_served(&mut self) {
        for (client, conn, _) in &mut self.up {
            client.send_line("SAY on");
            assert_eq!(conn.read_line(), "SAY on");
            conn.send_line("OK on");
            assert_eq!(client.read_line(), "OK on", "the client was moved");
        }
    }

    /// Returns the uids of the first half of the servers.
    fn first_half_uids(&self) -> Vec<&str> {
        let half = self.servers.len() / 2;
        self.servers[..half]
            .iter()
            .map(|s| s.uid.as_str())
            .collect()
    }

    /// Waits until the proxy has read an answer with all changes made so far.
    fn wait_until_changes_read(&self) {
        self.consul.wait_until_changes_served();
        assert!(self.proxy.answers_ping() && self.proxy.answers_ping());
    }
}

/// A flap of half the checks used to move 150 of 300 clients. This test uses 60 to keep its duration short; the run
/// with 300 is in the engine's test and docs/ops/consul.md.
#[test]
fn a_flap_of_half_the_checks_and_then_silence_moves_no_client() {
    let mut setup = Setup::new(6, "");
    setup.open_many(60);
    setup
        .consul
        .set_check(&setup.first_half_uids(), Check::Critical);
    setup.proxy.wait_for_log("is doubted");
    let until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < until {
        setup.assert_all_served();
    }
    setup
        .consul
        .set_check(&setup.first_half_uids(), Check::Passing);
    setup.wait_until_changes_read();
    setup.consul.deregister(&["s-0", "s-1", "s-2"]);
    setup.wait_until_changes_read();
    setup.assert_all_served();
    // From here on Consul does not answer any more.
    setup.consul.set_mode(ConsulMode::Silent);
    setup.open_many(6);
    setup.assert_all_served();
    assert!(
        !setup.proxy.log().contains("a server leaves"),
        "{}",
        setup.proxy.log()
    );
}

#[test]
fn a_drained_server_gets_no_request_and_its_clients_are_moved() {
    let mut setup = Setup::new(3, "[limits]\ndrain_wait = \"50ms\"\ndrain_span = \"100ms\"");
    setup.open_many(12);
    setup
        .consul
        .update_instances(&["s-1"], |i| i.maintenance = Maintenance::Service);
    setup.proxy.wait_for_log("a server leaves");
    for _ in 0..20 {
        assert_ne!(setup.open(), 1);
    }
    let (mut moved, mut stayed) = (0, 0);
    for (client, _, server) in &mut setup.up {
        match server {
            1 => {
                assert_eq!(client.read_line(), "MOVE");
                moved += 1;
            }
            _ => stayed += 1,
        }
    }
    assert!(moved > 0 && stayed > 0);
}

/// With a critical check and unanswered probes, the clients of that server are moved, and no others.
#[test]
fn clients_of_a_dead_server_are_moved_in_time() {
    let mut setup = Setup::new(4, "");
    setup.open_many(24);
    let dead_index = setup.up[0].2;
    setup.servers[dead_index].set_probe_answer(None);
    let failed_at = Instant::now();
    let uid = setup.servers[dead_index].uid.clone();
    setup.consul.set_check(&[&uid], Check::Critical);
    for (client, _, server) in &mut setup.up {
        if *server == dead_index {
            assert_eq!(client.read_line(), "MOVE");
        }
    }
    // Probes are sent every second with a timeout of 0.3 s; two have to fail; moves take 0.8 s.
    assert!(
        failed_at.elapsed() < Duration::from_secs(5),
        "{:?}",
        failed_at.elapsed()
    );
    setup.up.retain(|(_, _, server)| *server != dead_index);
    assert!(!setup.up.is_empty());
    setup.assert_all_served();
}

#[test]
fn sighup_switches_from_registry_to_consul_under_load() {
    let servers: Vec<Server> = (0..3).map(|n| Server::start(&format!("s-{n}"))).collect();
    let targets: Vec<_> = servers.iter().map(|s| s.target_row("ready")).collect();
    let discovery = Discovery::start(&targets);
    let consul = Consul::start("agenda");
    consul.register_all(servers.iter().map(|s| Instance::new(&s.uid, s.addr)));
    let text = "[[source]]\nname = \"platform\"\nkind = \"registry\"\n";
    let proxy = Proxy::start_with_operator_file(discovery.addr, text, disable_load_reports);
    let mut setup = Setup {
        servers,
        consul,
        proxy,
        up: Vec::new(),
    };
    setup.open_many(12);
    // An invalid file changes nothing, and the log reports it.
    setup.proxy.reload_operator_file("[[source]]\nname = 1\n");
    setup
        .proxy
        .wait_for_log("the operator's file stays as it was");
    setup.assert_all_served();
    setup
        .proxy
        .reload_operator_file(&operators_file(setup.consul.addr, ""));
    setup.consul.wait_until_changes_served();
    setup.proxy.wait_for_log("a source is let go");
    setup.assert_all_served();
    setup.open_many(6);
    // From now on Consul is the source in use, and the registry is not.
    discovery.upsert_target(setup.servers[0].target_row("draining"));
    setup
        .consul
        .update_instances(&["s-2"], |i| i.maintenance = Maintenance::Node);
    setup.proxy.wait_for_log("a server leaves");
    for _ in 0..6 {
        assert_ne!(setup.open(), 2);
    }
    let clients_on = |setup: &Setup, n| setup.up.iter().filter(|up| up.2 == n).count();
    assert!(clients_on(&setup, 0) > 0);
    let log = setup.proxy.log();
    let leave_lines: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("a server leaves"))
        .collect();
    assert_eq!(leave_lines.len(), 1, "{leave_lines:?}");
    assert!(leave_lines[0].contains("s-2"));
}
