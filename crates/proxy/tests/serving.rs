//! A connection's ordinary life on sockets, and the ways it ends.

mod common;

use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, LineConnection, Pingable, Proxy, Server, one_server, target_row,
};
use serde_json::json;

#[test]
fn a_connection_is_placed_and_its_lines_pass_both_ways_unchanged() {
    let (server, _discovery, proxy) = one_server();
    let mut client = proxy.open_with("c=watch,d=1500,g=5c0f,again=1");
    let (line, mut conn) = server.next_open();
    // The first line goes on unchanged but for how long the proxy itself will wait.
    let (before, after) = line.split_once("d=").unwrap();
    assert_eq!(before, "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=watch,");
    let (wait, after) = after.split_once(',').unwrap();
    assert!(
        (1..=1500).contains(&wait.parse::<u64>().unwrap()),
        "d={wait}"
    );
    assert_eq!(after, "g=5c0f,again=1");
    conn.send_line("UP 1a2b");
    assert_eq!(client.read_line(), "UP 1a2b");
    client.send_line("SAY one");
    client.send_line("SAY two");
    assert_eq!(conn.read_line(), "SAY one");
    assert_eq!(conn.read_line(), "SAY two");
    // Also what the proxy itself reads from goes on to the client.
    conn.send_line("LOAD 1200");
    conn.send_line("OK one");
    assert_eq!(client.read_line(), "LOAD 1200");
    assert_eq!(client.read_line(), "OK one");
}

#[test]
fn lines_that_come_with_the_servers_answer_are_passed_on() {
    let (server, _discovery, proxy) = one_server();
    let mut client = proxy.open("watch");
    let (_, mut conn) = server.next_open();
    conn.send_bytes(b"UP 1a2b\r\nOK at once\r\n");
    assert_eq!(client.read_line(), "UP 1a2b");
    assert_eq!(client.read_line(), "OK at once");
}

#[test]
fn a_server_that_serves_to_the_end_ends_the_client_in_the_same_way() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.up(&server);
    conn.send_line("BYE");
    drop(conn);
    assert_eq!(client.read_line(), "BYE");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// The client of a server that dies must hear of it at once, not by its own time-out.
#[test]
fn a_reset_is_passed_on_as_a_reset() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, conn) = proxy.up(&server);
    client.send_line("SAY unread");
    // Closing with bytes unread resets the connection.
    conn.wait_readable();
    let at = Instant::now();
    drop(conn);
    assert_eq!(client.expect_end(), ConnectionEnd::Reset);
    assert!(at.elapsed() < Duration::from_secs(1));
}

#[test]
fn half_closes_are_passed_on_and_the_other_half_goes_on() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.up(&server);
    client.half_close();
    assert_eq!(conn.expect_end(), ConnectionEnd::Closed);
    conn.send_line("OK still");
    assert_eq!(client.read_line(), "OK still");
    drop(conn);
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    let (mut client, mut conn) = proxy.up(&server);
    conn.half_close();
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    client.send_line("SAY still");
    assert_eq!(conn.read_line(), "SAY still");
}

#[test]
fn a_client_that_leaves_ends_its_attempt_and_its_connection() {
    let (server, _discovery, proxy) = one_server();
    let waiting = proxy.open("watch");
    let (_, mut conn) = server.next_open();
    drop(waiting);
    assert_eq!(conn.expect_end(), ConnectionEnd::Closed);
    let (client, mut conn) = proxy.up(&server);
    drop(client);
    assert_eq!(conn.expect_end(), ConnectionEnd::Closed);
}

/// A reader that is slow must stop the writer, not fill the proxy's memory.
#[test]
fn a_full_buffer_stops_the_reading() {
    let (server, _discovery, proxy) = one_server();
    let (client, mut conn) = proxy.up(&server);
    let text = "x".repeat(998) + "\r\n";
    let much = text.repeat(64 << 10);
    let taken = conn.send_until_blocked(much.as_bytes(), Duration::from_millis(300));
    assert!(taken < much.len(), "all was taken");
    assert!(proxy.memory_kib() < 64 << 10);
    // Others are served meanwhile.
    let (mut other, mut theirs) = proxy.up(&server);
    theirs.send_line("OK");
    assert_eq!(other.read_line(), "OK");
    drop(client);
}

#[test]
fn long_streams_pass_whole_and_in_order() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.up(&server);
    let writer = std::thread::spawn(move || {
        for number in 0..20_000 {
            conn.send_line(&format!("LINE {number} {}", "y".repeat(number % 300)));
        }
        conn
    });
    for number in 0..20_000 {
        let line = format!("LINE {number} {}", "y".repeat(number % 300));
        assert_eq!(client.read_line(), line);
    }
    drop(writer.join().unwrap());
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

#[test]
fn it_is_ready_once_the_list_is_known() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    discovery.set_mode(common::DiscoveryMode::Refuses);
    let proxy = Proxy::launch(discovery.addr, |_| {});
    discovery.wait_for_requests(1);
    assert!(!proxy.answers_ping());
    discovery.set_mode(common::DiscoveryMode::Works);
    proxy.wait_ready();
}

/// Discovery may be down for long when a proxy restarts; then the list of its last run must do.
#[test]
fn without_discovery_the_list_of_the_last_run_is_used() {
    let server = Server::start("s-1");
    let nobody = common::unused_addr();
    let proxy = Proxy::launch(nobody, |config| {
        config["known"] = json!({"rev": 7, "all": true, "targets": [server.target_row("ready")]});
    });
    proxy.wait_ready();
    proxy.up(&server);
}

/// A herd of restarted proxies that all waited for whole lists was not ready for seconds, and kept
/// discovery from answering any of them.
#[test]
fn with_the_list_of_the_last_run_it_is_ready_at_once_and_asks_what_changed() {
    let (old, new) = (Server::start("s-1"), Server::start("s-2"));
    let discovery = Discovery::start(&[old.target_row("ready")]);
    discovery.set_mode(common::DiscoveryMode::Refuses);
    let proxy = Proxy::launch(discovery.addr, |config| {
        config["known"] = json!({"rev": 1, "all": true, "targets": [old.target_row("ready")]});
    });
    proxy.wait_ready();
    proxy.up(&old);
    let calls = discovery.wait_for_requests(2);
    let whole = calls.iter().filter(|(_, path)| !path.contains("after=1&"));
    assert_eq!(whole.count(), 0, "{calls:?}");
    // What changed meanwhile is heard, and none of it is missed.
    discovery.upsert_target(old.target_row("draining"));
    discovery.upsert_target(new.target_row("ready"));
    discovery.set_mode(common::DiscoveryMode::Works);
    let mut client = proxy.open("watch");
    new.next_open().1.send_line("UP 2");
    assert_eq!(client.read_line(), "UP 2");
}

/// Changes since a version make a whole list only of one.
#[test]
fn a_part_of_a_list_is_not_taken_for_one() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = Proxy::launch(discovery.addr, |config| {
        config["known"] = json!({"rev": 1, "all": false, "targets": [server.target_row("ready")]});
    });
    assert_eq!(discovery.wait_for_requests(1)[0].1, "/registry/instances");
    proxy.wait_ready();
}

/// A version that discovery never had, or has no more, must not keep a proxy from its list.
#[test]
fn a_version_that_discovery_does_not_know_means_the_whole_list() {
    for (mood, rev) in [
        (common::DiscoveryMode::Forgets, 1),
        (common::DiscoveryMode::Works, 9),
    ] {
        let (old, new) = (Server::start("s-1"), Server::start("s-2"));
        let discovery = Discovery::start(&[new.target_row("ready")]);
        discovery.set_mode(mood);
        let proxy = Proxy::launch(discovery.addr, |config| {
            config["known"] =
                json!({"rev": rev, "all": true, "targets": [old.target_row("ready")]});
        });
        proxy.wait_ready();
        let calls = discovery.wait_for_requests(2);
        assert!(calls[0].1.contains(&format!("after={rev}&")), "{calls:?}");
        assert_eq!(calls[1].1, "/registry/instances");
        proxy.logged("whole=true");
        let mut client = proxy.open("watch");
        new.next_open().1.send_line("UP 1");
        assert_eq!(client.read_line(), "UP 1");
    }
}

/// Connections that stood before the start go back to their own server, whatever its load, and wait
/// for it to be listed and to take them.
#[test]
fn a_standing_connection_goes_to_its_own_server() {
    let (idle, full) = (Server::start("s-idle"), Server::start("s-full"));
    full.set_probe_answer(Some("PONG x0=3.0"));
    let discovery = Discovery::start(&[idle.target_row("ready")]);
    let proxy = Proxy::start(&discovery);
    let mut client = proxy.open_with("c=watch,d=2000,at=s-full");
    discovery.upsert_target(full.target_row("ready"));
    let (line, mut conn) = full.next_open();
    assert!(line.contains("at=s-full"));
    conn.send_line("BUSY");
    drop(conn);
    let (_, mut conn) = full.next_open();
    conn.send_line("UP 55");
    assert_eq!(client.read_line(), "UP 55");
    assert!(idle.no_pending_open());
}

/// The list may give a server a new address; its identity stays.
#[test]
fn a_changed_endpoint_is_used_from_then_on() {
    let (old, new) = (Server::start("s-1"), Server::start("s-1"));
    let discovery = Discovery::start(&[old.target_row("ready")]);
    let proxy = Proxy::start(&discovery);
    proxy.up(&old);
    discovery.upsert_target(target_row("s-1", &new.addr.to_string(), "ready"));
    // The call after the one that brought the change shows that the change was read.
    let calls = discovery.wait_for_requests(3);
    assert!(calls[2].1.contains("after=2"), "{calls:?}");
    proxy.up(&new);
    assert!(old.no_pending_open());
}

#[test]
fn a_prober_may_ask_again_on_one_connection() {
    let (_server, _discovery, proxy) = one_server();
    let mut front = LineConnection::connect(proxy.addr);
    for _ in 0..3 {
        front.send_line("PING");
        assert_eq!(front.read_line(), "PONG");
    }
    front.send_line("STATS");
    assert_eq!(front.read_line(), "NO");
}
