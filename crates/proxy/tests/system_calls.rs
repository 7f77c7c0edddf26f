//! System calls that fail in the ways that Linux documents, under steady traffic: every request is judged by its client
//! and by the servers that it reached. The faults are put into the one process by `violetwind-faults`.

mod common;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use common::{Discovery, Proxy, without_loads};
use serde_json::json;
use violetwind_standins::soak::{
    CheckSettings, ClientBehaviour, Idempotency, RequestOutcome, RequestRecord, RunRecord,
    ServerMode, SoakServer, Traffic, check_run,
};

const SERVERS: usize = 6;
/// Between two clients: about 120 a second.
const EACH: Duration = Duration::from_millis(8);

fn terms() -> CheckSettings {
    CheckSettings {
        idempotency_by_class: BTreeMap::from([
            ("watch".into(), Idempotency::Pure),
            ("book".into(), Idempotency::SideEffect),
        ]),
        max_attempts: 4,
        drain_grace: Duration::from_millis(300),
        slow_start_min_share: 0.5,
        slow_start_window: Duration::from_secs(4),
        overload_multiple: 3.0,
        overload_duration: Duration::from_millis(1500),
    }
}

fn servers() -> Vec<SoakServer> {
    (1..=SERVERS)
        .map(|number| SoakServer::start(&format!("s-{number}"), 400))
        .collect()
}

fn behaviour(number: u64) -> ClientBehaviour {
    let class = if number.is_multiple_of(3) {
        "book"
    } else {
        "watch"
    };
    ClientBehaviour {
        class: class.into(),
        deadline: Duration::from_millis(1500),
        disconnect_after: None,
        session_duration: Duration::from_millis(300 + number * 37 % 500),
        message_interval: Duration::from_millis(60),
        pause_before_open: None,
    }
}

struct World {
    servers: Vec<SoakServer>,
    proxy: Proxy,
    start: Instant,
    _discovery: Discovery,
}

impl World {
    /// A proxy that serves, by the servers' loads or without them; then it meets the faults.
    fn start(rules: &str, loads: bool) -> Self {
        let servers = servers();
        let targets: Vec<_> = servers
            .iter()
            .map(|server| server.target_row("ready", 0))
            .collect();
        let discovery = Discovery::start(&targets);
        let proxy = Proxy::launch_faulty(discovery.addr, "", |config| {
            if !loads {
                without_loads(config);
            }
            config["settings"]["permissions"]["connect-timeout-s"] = json!(0.5);
        });
        proxy.wait_ready();
        proxy.set_faults(rules);
        Self {
            servers,
            proxy,
            start: Instant::now(),
            _discovery: discovery,
        }
    }

    /// Traffic for so long; what broke a clause.
    fn play(&self, lasts: Duration) -> (Vec<RequestRecord>, Vec<String>) {
        let traffic = Traffic::start(self.proxy.addr, EACH, 1, behaviour);
        thread::sleep(lasts);
        let accounts = traffic.finish();
        let broken = self.judge(&accounts);
        (accounts, broken)
    }

    fn judge(&self, accounts: &[RequestRecord]) -> Vec<String> {
        let arrivals = self.servers.iter().flat_map(SoakServer::attempts).collect();
        let evidence = RunRecord {
            requests: accounts.to_vec(),
            attempts: arrivals,
            ..RunRecord::default()
        };
        check_run(&terms(), &evidence, self.start)
    }
}

fn holds_under(rules: &str) -> Vec<RequestRecord> {
    let world = World::start(rules, false);
    let (accounts, broken) = world.play(Duration::from_secs(4));
    assert!(
        broken.is_empty(),
        "{} of {} requests under `{rules}`:\n{}",
        broken.len(),
        accounts.len(),
        broken.join("\n")
    );
    accounts
}

fn served(accounts: &[RequestRecord]) -> usize {
    accounts
        .iter()
        .filter(|account| account.outcome == RequestOutcome::Up)
        .count()
}

#[test]
fn no_request_is_lost_without_faults() {
    let accounts = holds_under("");
    assert!(served(&accounts) * 10 > accounts.len() * 9);
}

#[test]
fn no_request_is_lost_when_reads_are_interrupted() {
    let accounts = holds_under("fail recv EINTR 30");
    assert!(served(&accounts) * 10 > accounts.len() * 9);
}

#[test]
fn no_request_is_lost_when_writes_are_interrupted() {
    let accounts = holds_under("fail send EINTR 30");
    assert!(served(&accounts) * 10 > accounts.len() * 9);
}

#[test]
fn no_request_is_lost_when_writes_are_short() {
    let accounts = holds_under("short send 7 500\nshort writev 7 500");
    assert!(served(&accounts) * 10 > accounts.len() * 9);
}

#[test]
fn no_request_is_lost_when_reads_are_short() {
    let accounts = holds_under("short recv 5 600");
    assert!(served(&accounts) * 10 > accounts.len() * 9);
}

#[test]
fn no_request_is_lost_when_accepts_fail() {
    for error in [
        "ENFILE",
        "ECONNABORTED",
        "EINTR",
        "EPROTO",
        "ENOMEM",
        "ENOBUFS",
    ] {
        holds_under(&format!("fail accept4 {error} 200"));
    }
}

#[test]
fn no_request_is_lost_when_connects_fail() {
    for error in [
        "EADDRNOTAVAIL",
        "ENETUNREACH",
        "EINTR",
        "ETIMEDOUT",
        "EHOSTUNREACH",
    ] {
        holds_under(&format!("fail connect {error} 150"));
    }
}

#[test]
fn waits_may_be_interrupted() {
    holds_under("fail epoll_wait EINTR 300");
}

/// A shortage of the proxy's own machine says nothing about any server.
#[test]
fn an_own_shortage_of_sockets_blames_no_server() {
    for rules in [
        "fail socket ENOBUFS 1000",
        "fail socket ENFILE 1000",
        "fail connect EADDRNOTAVAIL 1000",
    ] {
        let world = World::start("", true);
        let traffic = Traffic::start(world.proxy.addr, EACH, 1, behaviour);
        thread::sleep(Duration::from_secs(1));
        // The end of a shortage comes well within the deadlines of those who came at its beginning.
        world.proxy.set_faults(rules);
        thread::sleep(Duration::from_secs(1));
        world.proxy.set_faults("");
        let over = Instant::now();
        thread::sleep(Duration::from_secs(3));
        let accounts = traffic.finish();
        let broken = world.judge(&accounts);
        assert!(broken.is_empty(), "{rules}:\n{}", broken.join("\n"));
        // From half a second after the shortage on, each server has its part again.
        let since = over + Duration::from_millis(500);
        let each = world.servers.iter().map(|server| {
            server
                .attempts()
                .iter()
                .filter(|arrival| arrival.received_at > since)
                .count()
        });
        let each: Vec<usize> = each.collect();
        let mean = each.iter().sum::<usize>() / each.len();
        assert!(
            mean > 20 && each.iter().all(|count| *count * 3 > mean),
            "{rules}: {each:?}"
        );
    }
}

/// Servers fail in the middle of all this too.
#[test]
fn servers_that_fail_and_interrupted_calls_together() {
    let world = World::start(
        "fail recv EINTR 30\nfail send EINTR 30\nshort send 5 200",
        false,
    );
    world.servers[0].set_mode(ServerMode::Hang);
    world.servers[1].set_mode(ServerMode::Reset);
    world.servers[2].set_mode(ServerMode::Busy);
    let (accounts, broken) = world.play(Duration::from_secs(4));
    assert!(
        broken.is_empty(),
        "of {}:\n{}",
        accounts.len(),
        broken.join("\n")
    );
}
