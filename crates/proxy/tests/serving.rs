//! Normal operation of client connections over sockets, and the ways in which they end.

mod common;

use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, LineConnection, Pingable, Proxy, Server, one_server, target_row,
};
use serde_json::json;

#[test]
fn a_connection_is_opened_and_its_lines_are_relayed_unchanged_both_ways() {
    let (server, _discovery, proxy) = one_server();
    let mut client = proxy.open_with("c=watch,d=1500,g=5c0f,again=1");
    let (line, mut conn) = server.next_open();
    // The first line is forwarded unchanged except for `d`, the time that the proxy itself will wait.
    let (before, after) = line.split_once("d=").unwrap();
    assert_eq!(before, "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=watch,");
    let (wait_ms, after) = after.split_once(',').unwrap();
    assert!(
        (1..=1500).contains(&wait_ms.parse::<u64>().unwrap()),
        "d={wait_ms}"
    );
    assert_eq!(after, "g=5c0f,again=1");
    conn.send_line("UP 1a2b");
    assert_eq!(client.read_line(), "UP 1a2b");
    client.send_line("SAY one");
    client.send_line("SAY two");
    assert_eq!(conn.read_line(), "SAY one");
    assert_eq!(conn.read_line(), "SAY two");
    // Lines that the proxy itself evaluates are forwarded to the client too.
    conn.send_line("LOAD 1200");
    conn.send_line("OK one");
    assert_eq!(client.read_line(), "LOAD 1200");
    assert_eq!(client.read_line(), "OK one");
}

#[test]
fn lines_sent_together_with_the_servers_answer_are_forwarded() {
    let (server, _discovery, proxy) = one_server();
    let mut client = proxy.open("watch");
    let (_, mut conn) = server.next_open();
    conn.send_bytes(b"UP 1a2b\r\nOK at once\r\n");
    assert_eq!(client.read_line(), "UP 1a2b");
    assert_eq!(client.read_line(), "OK at once");
}

#[test]
fn a_servers_bye_and_close_are_forwarded_to_the_client() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.establish_connection(&server);
    conn.send_line("BYE");
    drop(conn);
    assert_eq!(client.read_line(), "BYE");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// The client of a server that dies must notice it at once, not only after its own timeout.
#[test]
fn a_server_reset_is_forwarded_as_a_reset() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, conn) = proxy.establish_connection(&server);
    client.send_line("SAY unread");
    // Closing with unread bytes resets the connection.
    conn.wait_readable();
    let reset_at = Instant::now();
    drop(conn);
    assert_eq!(client.expect_end(), ConnectionEnd::Reset);
    assert!(reset_at.elapsed() < Duration::from_secs(1));
}

#[test]
fn half_closes_are_forwarded_and_the_other_direction_stays_open() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.establish_connection(&server);
    client.half_close();
    assert_eq!(conn.expect_end(), ConnectionEnd::Closed);
    conn.send_line("OK still");
    assert_eq!(client.read_line(), "OK still");
    drop(conn);
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    let (mut client, mut conn) = proxy.establish_connection(&server);
    conn.half_close();
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    client.send_line("SAY still");
    assert_eq!(conn.read_line(), "SAY still");
}

#[test]
fn a_client_disconnect_ends_its_attempt_or_connection() {
    let (server, _discovery, proxy) = one_server();
    let waiting_client = proxy.open("watch");
    let (_, mut conn) = server.next_open();
    drop(waiting_client);
    assert_eq!(conn.expect_end(), ConnectionEnd::Closed);
    let (client, mut conn) = proxy.establish_connection(&server);
    drop(client);
    assert_eq!(conn.expect_end(), ConnectionEnd::Closed);
}

/// A slow reader must block the writer instead of filling the proxy's memory.
#[test]
fn a_full_buffer_stops_reads_from_the_server() {
    let (server, _discovery, proxy) = one_server();
    let (client, mut conn) = proxy.establish_connection(&server);
    let line = "x".repeat(998) + "\r\n";
    let lines = line.repeat(64 << 10);
    let sent = conn.send_until_blocked(lines.as_bytes(), Duration::from_millis(300));
    assert!(sent < lines.len(), "the proxy read all bytes");
    assert!(proxy.peak_memory_kib() < 64 << 10);
    // Other clients are served meanwhile.
    let (mut other_client, mut other_conn) = proxy.establish_connection(&server);
    other_conn.send_line("OK");
    assert_eq!(other_client.read_line(), "OK");
    drop(client);
}

#[test]
fn long_streams_are_relayed_completely_and_in_order() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.establish_connection(&server);
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
fn the_proxy_is_ready_once_it_has_a_list() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    discovery.set_mode(common::DiscoveryMode::Refuses);
    let proxy = Proxy::launch(discovery.addr, |_| {});
    discovery.wait_for_requests(1);
    assert!(!proxy.answers_ping());
    discovery.set_mode(common::DiscoveryMode::Works);
    proxy.wait_ready();
}

/// Discovery may be down for long when a proxy restarts; the proxy then uses the list of its last run.
#[test]
fn without_discovery_the_list_of_the_last_run_is_used() {
    let server = Server::start("s-1");
    let unreachable = common::unused_addr();
    let proxy = Proxy::launch(unreachable, |config| {
        config["known"] = json!({"rev": 7, "all": true, "targets": [server.target_row("ready")]});
    });
    proxy.wait_ready();
    proxy.establish_connection(&server);
}

/// Many proxies restarted at once that all waited for whole lists were not ready for seconds, and overloaded discovery
/// so that it answered none of them.
#[test]
fn with_the_list_of_the_last_run_the_proxy_is_ready_at_once_and_requests_changes() {
    let (old, new) = (Server::start("s-1"), Server::start("s-2"));
    let discovery = Discovery::start(&[old.target_row("ready")]);
    discovery.set_mode(common::DiscoveryMode::Refuses);
    let proxy = Proxy::launch(discovery.addr, |config| {
        config["known"] = json!({"rev": 1, "all": true, "targets": [old.target_row("ready")]});
    });
    proxy.wait_ready();
    proxy.establish_connection(&old);
    let calls = discovery.wait_for_requests(2);
    let whole_list_calls = calls.iter().filter(|(_, path)| !path.contains("after=1&"));
    assert_eq!(whole_list_calls.count(), 0, "{calls:?}");
    // The proxy receives every change made meanwhile.
    discovery.upsert_target(old.target_row("draining"));
    discovery.upsert_target(new.target_row("ready"));
    discovery.set_mode(common::DiscoveryMode::Works);
    let mut client = proxy.open("watch");
    new.next_open().1.send_line("UP 2");
    assert_eq!(client.read_line(), "UP 2");
}

/// Changes since a version can only be applied to a whole list, so a partial list must not be used as the base.
#[test]
fn a_partial_list_of_the_last_run_is_not_used_as_a_whole_one() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = Proxy::launch(discovery.addr, |config| {
        config["known"] = json!({"rev": 1, "all": false, "targets": [server.target_row("ready")]});
    });
    assert_eq!(discovery.wait_for_requests(1)[0].1, "/registry/instances");
    proxy.wait_ready();
}

/// A version that discovery never had, or no longer has, must not keep a proxy from getting the list.
#[test]
fn a_version_unknown_to_discovery_makes_the_proxy_request_the_whole_list() {
    for (mode, rev) in [
        (common::DiscoveryMode::Forgets, 1),
        (common::DiscoveryMode::Works, 9),
    ] {
        let (old, new) = (Server::start("s-1"), Server::start("s-2"));
        let discovery = Discovery::start(&[new.target_row("ready")]);
        discovery.set_mode(mode);
        let proxy = Proxy::launch(discovery.addr, |config| {
            config["known"] =
                json!({"rev": rev, "all": true, "targets": [old.target_row("ready")]});
        });
        proxy.wait_ready();
        let calls = discovery.wait_for_requests(2);
        assert!(calls[0].1.contains(&format!("after={rev}&")), "{calls:?}");
        assert_eq!(calls[1].1, "/registry/instances");
        proxy.wait_for_log("whole=true");
        let mut client = proxy.open("watch");
        new.next_open().1.send_line("UP 1");
        assert_eq!(client.read_line(), "UP 1");
    }
}

/// Connections that were open before the start return to their own server, whatever its load, and wait until it is
/// listed and accepts them.
#[test]
fn an_earlier_connection_returns_to_its_own_server() {
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

/// The list may give a server a new address under the same identity.
#[test]
fn a_changed_endpoint_is_used_for_new_connections() {
    let (old, new) = (Server::start("s-1"), Server::start("s-1"));
    let discovery = Discovery::start(&[old.target_row("ready")]);
    let proxy = Proxy::start(&discovery);
    proxy.establish_connection(&old);
    discovery.upsert_target(target_row("s-1", &new.addr.to_string(), "ready"));
    // The call after the one that returned the change shows that the proxy has read the change.
    let calls = discovery.wait_for_requests(3);
    assert!(calls[2].1.contains("after=2"), "{calls:?}");
    proxy.establish_connection(&new);
    assert!(old.no_pending_open());
}

#[test]
fn several_pings_are_answered_on_one_connection() {
    let (_server, _discovery, proxy) = one_server();
    let mut prober = LineConnection::connect(proxy.addr);
    for _ in 0..3 {
        prober.send_line("PING");
        assert_eq!(prober.read_line(), "PONG");
    }
    prober.send_line("STATS");
    assert_eq!(prober.read_line(), "NO");
}
