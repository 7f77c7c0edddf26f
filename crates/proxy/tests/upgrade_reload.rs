//! Upgrades during which the configuration file is replaced: the two processes are one proxy, and what SIGHUP brings
//! to either one applies to both.

mod common;

use std::thread;
use std::time::{Duration, Instant};

use common::{
    Discovery, DiscoveryMode, LineConnection, PlayedSuccessor, Proxy, Server, WAIT_TIMEOUT,
    disable_load_reports, wait_healthy,
};
use serde_json::{Value, json};
use violetwind_service::handover::Message;

/// Starts two servers, and a managed proxy that accepts successors.
fn start_managed() -> ([Server; 2], Discovery, Proxy) {
    let servers = ["s-1", "s-2"].map(Server::start);
    let targets = servers.each_ref().map(|server| server.target_row("ready"));
    let discovery = Discovery::start(&targets);
    let proxy = Proxy::start_with_management(&discovery, disable_load_reports);
    proxy.wait_for_log("successors are awaited");
    (servers, discovery, proxy)
}

/// Makes the class `watch` one that must not be repeated.
fn forbid_repeats(config: &mut Value) {
    config["settings"]["request-classes"][0]["idempotency"] = json!("side_effect");
}

/// Resets each attempt at a client's request. Returns the client's answer and the number of attempts.
fn reset_attempts_of(client: &mut LineConnection, servers: &[Server; 2]) -> (String, usize) {
    let mut attempts = 0;
    let until = Instant::now() + WAIT_TIMEOUT;
    while !client.has_unread() {
        assert!(Instant::now() < until, "no answer");
        for server in servers {
            if let Some((_, conn)) = server.next_open_within(Duration::from_millis(5)) {
                attempts += 1;
                conn.reset();
            }
        }
    }
    (client.read_line(), attempts)
}

/// Asserts that a request of the class `watch` that a server has run is not repeated.
fn assert_not_repeated(proxy: &Proxy, servers: &[Server; 2]) {
    for _ in 0..5 {
        let mut client = proxy.open("watch");
        assert_eq!(reset_attempts_of(&mut client, servers), ("ERR".into(), 1));
    }
}

/// Guards against repeats of requests that may no longer be repeated: SIGHUP reached the serving process while its
/// successor waited for the list of servers, and the successor kept the settings that it had read at its start.
#[test]
fn settings_reloaded_while_a_successor_starts_apply_to_it() {
    let (servers, discovery, mut old) = start_managed();
    discovery.set_mode(DiscoveryMode::Hangs);
    let new = old.start_successor(discovery.addr);
    new.wait_for_log("operators are heard");
    old.wait_for_log("a successor starts");
    old.reload(forbid_repeats);
    old.wait_for_log("settings=true");
    assert!(new.call("HEALTH").starts_with("400"), "{}", new.log());
    discovery.set_mode(DiscoveryMode::Works);
    wait_healthy(&new);
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    assert_not_repeated(&new, &servers);
}

/// Guards against a discovery service that the proxy has left: a reload that moved it during the start of a successor
/// was missed, and the successor went on asking the old one.
#[test]
fn discovery_moved_while_a_successor_starts_is_asked_at_its_new_address() {
    let (servers, discovery, mut old) = start_managed();
    discovery.set_mode(DiscoveryMode::Hangs);
    let new = old.start_successor(discovery.addr);
    old.wait_for_log("a successor starts");
    let moved = Discovery::start(&[servers[1].target_row("ready")]);
    old.reload(|config| config["discovery"] = json!(moved.addr.to_string()));
    wait_healthy(&new);
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    // One of the two processes has called it for its list; the other one is the successor.
    moved.wait_for_requests(2);
    new.wait_for_log(&format!("reload discovery={} moved=true", moved.addr));
    for _ in 0..5 {
        new.establish_connection(&servers[1]);
    }
    assert!(servers[0].no_pending_open());
}

/// Guards against a signal that came between the successor's reading of the file and its first message, or that a
/// predecessor of an earlier build does not tell of: the successor reads the file again before it serves.
#[test]
fn a_successor_reads_the_file_again_before_it_serves() {
    let (servers, discovery, mut old) = start_managed();
    discovery.set_mode(DiscoveryMode::Hangs);
    let new = old.start_successor(discovery.addr);
    new.wait_for_log("operators are heard");
    old.wait_for_log("a successor starts");
    old.replace_config(forbid_repeats);
    discovery.set_mode(DiscoveryMode::Works);
    wait_healthy(&new);
    assert!(!old.log().contains(" reload "), "{}", old.log());
    old.signal("-TERM");
    assert!(old.wait_for_exit().success());
    assert_not_repeated(&new, &servers);
}

/// Guards against a predecessor that keeps the settings from before the upgrade: it still answers the clients that had
/// connected to it, while SIGHUP goes to its successor.
#[test]
fn a_reload_of_the_successor_applies_to_the_predecessor() {
    let (servers, discovery, old) = start_managed();
    let mut client = LineConnection::connect(old.addr);
    client.send_bytes(b"OPEN 00000000000000aa 7f3a9c21e0b4");
    let new = old.start_successor(discovery.addr);
    wait_healthy(&new);
    new.wait_for_log("the earlier process has handed over");
    new.reload(forbid_repeats);
    old.wait_for_log("settings=true");
    client.send_bytes(b"d655 c=watch,d=2000\r\n");
    assert_eq!(reset_attempts_of(&mut client, &servers), ("ERR".into(), 1));
    assert_not_repeated(&new, &servers);
}

/// Guards against a successor that keeps its settings where SIGHUP, sent at the moment of its `200`, reached the
/// predecessor alone.
#[test]
fn a_reload_of_a_superseded_process_applies_to_its_successor() {
    let (servers, discovery, old) = start_managed();
    let new = old.start_successor(discovery.addr);
    wait_healthy(&new);
    new.wait_for_log("the earlier process has handed over");
    old.reload(forbid_repeats);
    new.wait_for_log("settings=true");
    assert_not_repeated(&new, &servers);
    // Each of the two tells the other of its own signal only.
    old.reload(|_| {});
    let reloads = |proxy: &Proxy| proxy.log().matches(" reload ").count();
    while reloads(&new) < 2 {
        thread::sleep(Duration::from_millis(5));
    }
    thread::sleep(Duration::from_millis(100));
    assert_eq!((reloads(&old), reloads(&new)), (2, 2));
}

/// Guards against sessions that end because a build from before `ConfigReloaded` can't read it: it is sent only to
/// processes that have announced that they understand it, and then a reload from before the announcement is told too.
#[test]
fn only_a_process_that_understands_reloads_is_told_of_them() {
    let (_servers, _discovery, old) = start_managed();
    let mut successor = PlayedSuccessor::connect(&old);
    successor.read_until(|message| *message == Message::UNDERSTANDS_RELOADS);
    let reports_descriptors = |message: &Message| matches!(message, Message::DescriptorsInUse(_));
    successor.read_until(reports_descriptors);
    old.reload(forbid_repeats);
    old.wait_for_log("settings=true");
    // The number of descriptors changes, and is reported after anything that was due before.
    let _client = LineConnection::connect(old.addr);
    let told = successor.read_until(reports_descriptors);
    assert!(!told.contains(&Message::ConfigReloaded), "{told:?}");
    successor.send(&Message::UNDERSTANDS_RELOADS);
    successor.read_until(|message| *message == Message::ConfigReloaded);
}
