//! SIGHUP with a changed configuration file, mostly with another discovery address, under load and repeatedly.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, DiscoveryMode, LineConnection, Pingable, Proxy, Server, one_server,
};
use serde_json::{Value, json};

/// Time after the signal from which the new discovery's data counts as delivered.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(4);

/// Returns a change of the configuration that sets the discovery address.
fn with_discovery(discovery: SocketAddr) -> impl FnOnce(&mut Value) {
    move |config| config["discovery"] = json!(discovery.to_string())
}

/// Reads one HTTP call as discovery, played by the test, and returns its path.
fn read_call_path(peer: &mut LineConnection) -> String {
    let line = peer.read_line();
    while !peer.read_line().is_empty() {}
    line.split(' ').nth(1).unwrap().to_string()
}

/// Starts two servers, each listed by only one discovery, and a proxy that uses the first discovery.
fn start_with_two_discoveries() -> (Server, Server, Discovery, Discovery, Proxy) {
    let (server, discovery, proxy) = one_server();
    let other = Server::start("s-2");
    // The new list's version is below the old one's; it must not be treated as outdated.
    discovery.upsert_target(server.target_row("ready"));
    discovery.upsert_target(server.target_row("ready"));
    let new = Discovery::start(&[other.target_row("ready")]);
    (server, other, discovery, new, proxy)
}

/// The old address is set in the environment too; the file takes precedence because it is newer.
#[test]
fn the_whole_list_is_requested_at_the_new_address() {
    let (server, other, _old, new, proxy) = start_with_two_discoveries();
    // Clients notice no difference between lists that agree on the servers in use.
    new.upsert_target(server.target_row("ready"));
    let (mut client, mut conn) = proxy.establish_connection(&server);
    proxy.reload(with_discovery(new.addr));
    let calls = new.wait_for_requests(2);
    assert_eq!(calls[0].1, "/registry/instances");
    assert!(calls[1].1.contains("after=2&"), "{}", calls[1].1);
    client.send_line("SAY on");
    assert_eq!(conn.read_line(), "SAY on");
    conn.send_line("OK on");
    assert_eq!(client.read_line(), "OK on");
    // Changes are received from the new discovery from now on.
    new.upsert_target(server.target_row("draining"));
    assert_eq!(client.read_line(), "MOVE");
    let mut client = proxy.open("watch");
    other.next_open().1.send_line("UP 2");
    assert_eq!(client.read_line(), "UP 2");
}

/// The old address is shut down soon; a watch left there would receive neither changes nor an error.
#[test]
fn the_old_connection_and_its_watch_end_at_once() {
    let server = Server::start("s-1");
    let new = Discovery::start(&[server.target_row("ready")]);
    let old = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = Proxy::launch(old.local_addr().unwrap(), |_| {});
    let mut peer = LineConnection::new(old.accept().unwrap().0);
    assert_eq!(read_call_path(&mut peer), "/registry/instances");
    let body = json!({"rev": 7, "all": true, "targets": [server.target_row("ready")]}).to_string();
    let length = body.len();
    peer.send_bytes(
        format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}").as_bytes(),
    );
    assert!(read_call_path(&mut peer).contains("after=7&"));
    let reloaded_at = Instant::now();
    proxy.reload(with_discovery(new.addr));
    assert!(matches!(
        peer.try_read_line(),
        Err(ConnectionEnd::Closed | ConnectionEnd::Reset)
    ));
    assert!(reloaded_at.elapsed() < Duration::from_secs(1));
    assert_eq!(new.wait_for_requests(1)[0].1, "/registry/instances");
    // The proxy does not connect to the old address again.
    old.set_nonblocking(true).unwrap();
    new.wait_for_requests(2);
    assert!(old.accept().is_err());
}

/// A backoff that had grown long at the old address must not delay the first call at the new one, and early failures
/// there must not let it grow beyond the time allowed for a reload.
#[test]
fn a_new_address_that_fails_at_first_is_retried_in_time() {
    for mode in [DiscoveryMode::Refuses, DiscoveryMode::Resets] {
        let (_server, other, old, new, proxy) = start_with_two_discoveries();
        let before = old.wait_for_requests(2).len();
        old.set_mode(DiscoveryMode::Refuses);
        old.wait_for_requests(before + 4);
        new.set_mode(mode);
        let reloaded_at = Instant::now();
        proxy.reload(with_discovery(new.addr));
        let first = new.wait_for_requests(1)[0].0;
        assert!(
            first - reloaded_at < Duration::from_secs(1),
            "{:?}",
            first - reloaded_at
        );
        new.wait_for_requests(6);
        new.set_mode(DiscoveryMode::Works);
        // The call after the first good answer is a watch.
        while !new
            .wait_for_requests(0)
            .iter()
            .any(|(_, path)| path.contains("after="))
        {
            new.wait_for_requests(new.wait_for_requests(0).len() + 1);
        }
        assert!(
            reloaded_at.elapsed() < DELIVERY_DEADLINE,
            "{mode:?} {:?}",
            reloaded_at.elapsed()
        );
        let mut client = proxy.open("watch");
        other.next_open().1.send_line("UP 3");
        assert_eq!(client.read_line(), "UP 3");
    }
}

#[test]
fn an_invalid_file_leaves_the_configuration_unchanged() {
    let (server, other, old, new, proxy) = start_with_two_discoveries();
    let valid = proxy.config_text();
    let invalid = [
        "",
        "{",
        "[]",
        &valid.replace("\"seed\"", "\"sead\""),
        &valid.replace("\"pure\"", "\"often\""),
        &valid.replace(&old.addr.to_string(), "nowhere"),
    ];
    for (number, text) in invalid.into_iter().enumerate() {
        proxy.reload_text(text);
        let message = "the configuration stays as it was";
        let until = Instant::now() + Duration::from_secs(10);
        while proxy.log().matches(message).count() <= number {
            assert!(
                Instant::now() < until,
                "invalid file {number}:\n{}",
                proxy.log()
            );
            assert!(proxy.answers_ping());
        }
        proxy.establish_connection(&server);
    }
    // The old watch continues unaffected.
    let calls_before = old.wait_for_requests(1).len();
    old.upsert_target(server.target_row("ready"));
    assert!(
        old.wait_for_requests(calls_before + 1)[calls_before]
            .1
            .contains("after=")
    );
    proxy.reload_text(&valid.replace(&old.addr.to_string(), &new.addr.to_string()));
    new.wait_for_requests(1);
    let mut client = proxy.open("watch");
    other.next_open().1.send_line("UP 2");
    assert_eq!(client.read_line(), "UP 2");
}

#[test]
fn the_same_address_keeps_its_watch_and_other_changes_are_named() {
    let (server, discovery, proxy) = one_server();
    let calls_before = discovery.wait_for_requests(2).len();
    proxy.reload(|config| {
        config["limits"]["sockets"] = json!(300);
        config["seed"] = json!("00000000000000ff");
    });
    proxy.wait_for_log("these changes need a restart restart=[\"limits\"]");
    proxy.wait_for_log("moved=false");
    proxy.establish_connection(&server);
    assert_eq!(discovery.wait_for_requests(0).len(), calls_before);
}

/// SIGHUPs in quick succession, faster than they can be handled, while clients connect and exchange lines: no client is
/// affected.
#[test]
fn consecutive_reloads_under_load_lose_no_line() {
    let server = Server::start("s-1");
    let discoveries = [0, 1].map(|_| Discovery::start(&[server.target_row("ready")]));
    let mut proxy = Proxy::start_without_loads(&discoveries[0]);
    let mut pairs: Vec<(LineConnection, LineConnection)> = Vec::new();
    for round in 0..20 {
        proxy.reload(with_discovery(discoveries[round % 2].addr));
        let mut client = proxy.open("watch");
        proxy.signal("-HUP");
        let (_, mut conn) = server.next_open();
        conn.send_line("UP 1");
        assert_eq!(client.read_line(), "UP 1");
        pairs.push((client, conn));
        for (client, conn) in &mut pairs {
            client.send_line("SAY on");
            assert_eq!(conn.read_line(), "SAY on");
            conn.send_line("OK on");
            assert_eq!(client.read_line(), "OK on");
        }
    }
    assert!(proxy.is_running());
    // The proxy watches the discovery that was configured last.
    let last = &discoveries[1];
    let calls_before = last.wait_for_requests(1).len();
    last.upsert_target(server.target_row("draining"));
    last.wait_for_requests(calls_before + 1);
    for (client, _) in &mut pairs {
        assert_eq!(client.read_line(), "MOVE");
    }
}

#[test]
fn a_reload_does_not_affect_a_shutdown_in_progress() {
    let (server, _other, _old, new, mut proxy) = start_with_two_discoveries();
    let (mut client, _conn) = proxy.establish_connection(&server);
    proxy.signal("-TERM");
    proxy.wait_for_log("told to end");
    proxy.reload(with_discovery(new.addr));
    proxy.signal("-HUP");
    assert_eq!(client.read_line(), "MOVE");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    assert!(proxy.wait_for_exit().success());
}

fn class(name: &str, effect: &str) -> Value {
    json!({"name": name, "idempotency": effect, "deadline-s": 2.0, "target-s": 0.4, "credit": 1.0})
}

/// An added class is served within 1.2 s, requests of a removed class are rejected, and connections continue.
#[test]
fn classes_are_added_and_removed_while_connections_continue() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.establish_connection(&server);
    assert_eq!(proxy.open("new").read_line(), "ERR");
    let reloaded_at = Instant::now();
    proxy.reload(|config| {
        let classes = json!([class("new", "side_effect"), class("book", "side_effect")]);
        config["settings"]["request-classes"] = classes;
    });
    let mut new = loop {
        let mut new = proxy.open("new");
        if let Some((_, mut conn)) =
            server.next_open_unless(|| !new.is_quiet_for(Duration::from_millis(1)))
        {
            conn.send_line("UP 1");
            assert_eq!(new.read_line(), "UP 1");
            break (new, conn);
        }
        assert!(reloaded_at.elapsed() < Duration::from_millis(1200));
    };
    assert_eq!(proxy.open("watch").read_line(), "ERR");
    for (client, conn) in [(&mut client, &mut conn), (&mut new.0, &mut new.1)] {
        client.send_line("SAY on");
        assert_eq!(conn.read_line(), "SAY on");
        conn.send_line("OK on");
        assert_eq!(client.read_line(), "OK on");
    }
}

/// A file is applied completely or not at all: with a missing key or an invalid number, the discovery address in the
/// same file must not be applied either, and the log names the key.
#[test]
fn a_file_with_one_fault_is_rejected_as_a_whole() {
    let (server, other, old, new, proxy) = start_with_two_discoveries();
    let valid: Value = serde_json::from_str(&proxy.config_text()).unwrap();
    let deadline = "/settings/request-classes/1/deadline-s";
    let attempts = "/settings/permissions/max-attempts";
    let faults = [
        (deadline, Some(json!(0))),
        (deadline, Some(json!(-1.5))),
        (deadline, Some(json!("2.0"))),
        (deadline, None),
        (attempts, Some(json!(0))),
        (attempts, Some(json!(1.5))),
        (attempts, Some(json!("many"))),
        (attempts, None),
        ("/settings/rules/cold-s", None),
        ("/settings/request-classes", None),
        ("/settings", None),
        ("/limits/memory_mb", None),
        ("/discovery", None),
    ];
    for (number, (path, value)) in faults.into_iter().enumerate() {
        let mut config = valid.clone();
        config["discovery"] = json!(new.addr.to_string());
        let (parent, key) = path.rsplit_once('/').unwrap();
        let parent = config.pointer_mut(parent).unwrap();
        match value {
            Some(value) => parent[key] = value,
            None => drop(parent.as_object_mut().unwrap().remove(key)),
        }
        proxy.reload_text(&config.to_string());
        let until = Instant::now() + Duration::from_secs(5);
        let rejections = || -> Vec<String> {
            let log = proxy.log();
            let lines = log.lines().filter(|line| line.contains("stays as it was"));
            lines.map(str::to_string).collect()
        };
        while rejections().len() <= number {
            assert!(Instant::now() < until, "{path}:\n{}", proxy.log());
            std::thread::sleep(Duration::from_millis(2));
        }
        assert!(
            rejections()[number].contains(key),
            "{path}: {}",
            rejections()[number]
        );
    }
    proxy.establish_connection(&server);
    assert!(new.wait_for_requests(0).is_empty());
    assert!(old.wait_for_requests(1).len() > 1);
    // A valid file after the invalid ones is applied completely.
    proxy.reload(with_discovery(new.addr));
    new.wait_for_requests(1);
    let mut client = proxy.open("watch");
    other.next_open().1.send_line("UP 2");
    assert_eq!(client.read_line(), "UP 2");
}

/// A lower limit on attempts applies from the next attempt on.
#[test]
fn a_lower_attempt_limit_applies_at_once() {
    let servers = ["s-1", "s-2", "s-3"].map(Server::start);
    let targets = servers.each_ref().map(|s| s.target_row("ready"));
    let discovery = Discovery::start(&targets);
    let proxy = Proxy::start_without_loads(&discovery);
    proxy.reload(|config| config["settings"]["permissions"]["max-attempts"] = json!(1));
    proxy.wait_for_log("settings=true");
    let mut client = proxy.open("watch");
    let until = Instant::now() + Duration::from_secs(5);
    let mut conn = loop {
        assert!(Instant::now() < until);
        let mut opened = servers
            .iter()
            .filter_map(|server| server.next_open_unless(|| true));
        if let Some((_, conn)) = opened.next() {
            break conn;
        }
    };
    conn.send_line("ERR");
    assert!(client.read_line().starts_with("BUSY"));
    assert!(servers.iter().all(Server::no_pending_open));
}
