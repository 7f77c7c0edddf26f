//! System calls that fail in the ways that Linux documents, under steady traffic: every request is checked against the
//! records of its client and of the servers that it reached. `violetwind-faults` injects the faults into the proxy's
//! process.

mod common;

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use common::{Discovery, Proxy, disable_load_reports};
use serde_json::json;
use violetwind_standins::soak::{
    CheckSettings, ClientBehaviour, Idempotency, RequestOutcome, RequestRecord, RunRecord,
    ServerMode, SoakServer, Traffic, check_run,
};

const SERVERS: usize = 6;
/// Interval between two clients: about 120 clients a second.
const CLIENT_INTERVAL: Duration = Duration::from_millis(8);

fn check_settings() -> CheckSettings {
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

fn start_servers() -> Vec<SoakServer> {
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

struct Setup {
    servers: Vec<SoakServer>,
    proxy: Proxy,
    start: Instant,
    _discovery: Discovery,
}

impl Setup {
    /// Starts a proxy, with load reports or without them, and injects the faults once it is ready.
    fn start(rules: &str, loads: bool) -> Self {
        let servers = start_servers();
        let targets: Vec<_> = servers
            .iter()
            .map(|server| server.target_row("ready", 0))
            .collect();
        let discovery = Discovery::start(&targets);
        let proxy = Proxy::launch_faulty(discovery.addr, "", |config| {
            if !loads {
                disable_load_reports(config);
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

    /// Runs traffic for the given time and returns its records and the violations found.
    fn run_traffic(&self, duration: Duration) -> (Vec<RequestRecord>, Vec<String>) {
        let traffic = Traffic::start(self.proxy.addr, CLIENT_INTERVAL, 1, behaviour);
        thread::sleep(duration);
        let records = traffic.finish();
        let violations = self.find_violations(&records);
        (records, violations)
    }

    fn find_violations(&self, records: &[RequestRecord]) -> Vec<String> {
        let attempts = self.servers.iter().flat_map(SoakServer::attempts).collect();
        let run_record = RunRecord {
            requests: records.to_vec(),
            attempts,
            ..RunRecord::default()
        };
        check_run(&check_settings(), &run_record, self.start)
    }
}

/// Runs traffic under the fault rules, asserts that no term is violated, and returns the records.
fn assert_no_violations(rules: &str) -> Vec<RequestRecord> {
    let setup = Setup::start(rules, false);
    let (records, violations) = setup.run_traffic(Duration::from_secs(4));
    assert!(
        violations.is_empty(),
        "{} of {} requests under `{rules}`:\n{}",
        violations.len(),
        records.len(),
        violations.join("\n")
    );
    records
}

fn served_count(records: &[RequestRecord]) -> usize {
    records
        .iter()
        .filter(|record| record.outcome == RequestOutcome::Up)
        .count()
}

#[test]
fn no_request_is_lost_without_faults() {
    let records = assert_no_violations("");
    assert!(served_count(&records) * 10 > records.len() * 9);
}

#[test]
fn no_request_is_lost_when_reads_are_interrupted() {
    let records = assert_no_violations("fail recv EINTR 30");
    assert!(served_count(&records) * 10 > records.len() * 9);
}

#[test]
fn no_request_is_lost_when_writes_are_interrupted() {
    let records = assert_no_violations("fail send EINTR 30");
    assert!(served_count(&records) * 10 > records.len() * 9);
}

#[test]
fn no_request_is_lost_when_writes_are_short() {
    let records = assert_no_violations("short send 7 500\nshort writev 7 500");
    assert!(served_count(&records) * 10 > records.len() * 9);
}

#[test]
fn no_request_is_lost_when_reads_are_short() {
    let records = assert_no_violations("short recv 5 600");
    assert!(served_count(&records) * 10 > records.len() * 9);
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
        assert_no_violations(&format!("fail accept4 {error} 200"));
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
        assert_no_violations(&format!("fail connect {error} 150"));
    }
}

#[test]
fn no_request_is_lost_when_waits_are_interrupted() {
    assert_no_violations("fail epoll_wait EINTR 300");
}

/// A shortage of resources on the proxy's own machine must not count as a failure of any server.
#[test]
fn a_local_shortage_of_sockets_is_not_counted_against_servers() {
    for rules in [
        "fail socket ENOBUFS 1000",
        "fail socket ENFILE 1000",
        "fail connect EADDRNOTAVAIL 1000",
    ] {
        let setup = Setup::start("", true);
        let traffic = Traffic::start(setup.proxy.addr, CLIENT_INTERVAL, 1, behaviour);
        thread::sleep(Duration::from_secs(1));
        // The shortage ends well within the deadlines of the clients that arrived at its beginning.
        setup.proxy.set_faults(rules);
        thread::sleep(Duration::from_secs(1));
        setup.proxy.set_faults("");
        let shortage_end = Instant::now();
        thread::sleep(Duration::from_secs(3));
        let records = traffic.finish();
        let violations = setup.find_violations(&records);
        assert!(violations.is_empty(), "{rules}:\n{}", violations.join("\n"));
        // From half a second after the shortage on, each server gets its share again.
        let measured_from = shortage_end + Duration::from_millis(500);
        let counts = setup.servers.iter().map(|server| {
            server
                .attempts()
                .iter()
                .filter(|arrival| arrival.received_at > measured_from)
                .count()
        });
        let counts: Vec<usize> = counts.collect();
        let mean = counts.iter().sum::<usize>() / counts.len();
        assert!(
            mean > 20 && counts.iter().all(|count| *count * 3 > mean),
            "{rules}: {counts:?}"
        );
    }
}

/// Servers fail while system calls are interrupted.
#[test]
fn no_request_is_lost_when_servers_fail_and_calls_are_interrupted() {
    let setup = Setup::start(
        "fail recv EINTR 30\nfail send EINTR 30\nshort send 5 200",
        false,
    );
    setup.servers[0].set_mode(ServerMode::Hang);
    setup.servers[1].set_mode(ServerMode::Reset);
    setup.servers[2].set_mode(ServerMode::Busy);
    let (records, violations) = setup.run_traffic(Duration::from_secs(4));
    assert!(
        violations.is_empty(),
        "of {}:\n{}",
        records.len(),
        violations.join("\n")
    );
}
