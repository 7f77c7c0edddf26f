//! Servers that vanish or leave, discovery that fails, and clients and servers that talk nonsense.

mod common;

use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, DiscoveryMode, LineConnection, Proxy, Server, one_server, target_row,
    without_loads,
};
use serde_json::json;

/// A machine that vanished leaves its connections open: only lines without an answer tell.
#[test]
fn the_client_of_a_silent_server_is_moved_within_seven_seconds() {
    let (server, _discovery, proxy) = one_server();
    let (mut idle, _kept) = proxy.up(&server);
    let (mut client, conn) = proxy.up(&server);
    client.send_line("SAY one");
    let at = Instant::now();
    assert_eq!(client.read_line(), "MOVE");
    assert!(at.elapsed() < Duration::from_millis(4800));
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    drop(conn);
    // One that has nothing to say is not silent: it stays.
    assert!(idle.is_quiet_for(Duration::from_millis(100)));
}

#[test]
fn answered_lines_keep_a_connection_however_long() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.up(&server);
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        client.send_line("SAY on");
        assert_eq!(conn.read_line(), "SAY on");
        conn.send_line("OK on");
        assert_eq!(client.read_line(), "OK on");
        assert!(client.is_quiet_for(Duration::from_millis(400)));
    }
}

/// Connections on a server that leaves are told in time, and only between two whole lines.
#[test]
fn clients_of_a_draining_server_are_moved_between_two_lines() {
    let (server, discovery, proxy) = one_server();
    let mut pairs: Vec<(LineConnection, LineConnection)> =
        (0..5).map(|_| proxy.up(&server)).collect();
    let (mut split, mut theirs) = proxy.up(&server);
    theirs.send_bytes(b"OK half a ");
    discovery.upsert_target(server.target_row("draining"));
    for (client, conn) in &mut pairs {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
        assert!(matches!(
            conn.try_read_line(),
            Err(ConnectionEnd::Closed | ConnectionEnd::Reset)
        ));
    }
    theirs.send_bytes(b"line\r\n");
    assert_eq!(split.read_line(), "OK half a line");
    assert_eq!(split.read_line(), "MOVE");
    // Nothing new goes there.
    let mut client = proxy.open_with("c=watch,d=300");
    assert!(client.read_line().starts_with("BUSY"));
    assert!(server.no_pending_open());
}

/// A draining server may itself send its clients away.
#[test]
fn a_servers_own_move_is_passed_on() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.up(&server);
    conn.send_line("MOVE");
    drop(conn);
    assert_eq!(client.read_line(), "MOVE");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// The module's moves reach the client as lines: a load past the threshold with room elsewhere.
#[test]
fn a_client_is_moved_off_a_server_whose_load_passes_the_threshold() {
    let (server, discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.up(&server);
    let other = Server::start("s-2");
    discovery.upsert_target(other.target_row("ready"));
    conn.send_line("LOAD 1000");
    assert_eq!(client.read_line(), "LOAD 1000");
    server.set_probe_answer(Some("PONG x0=3.0"));
    assert_eq!(client.read_line(), "MOVE");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

#[test]
fn a_watch_is_followed_at_once_by_the_next() {
    let (server, discovery, _proxy) = one_server();
    for state in ["draining", "ready", "draining", "ready"] {
        let seen = discovery.wait_for_requests(1).len();
        discovery.upsert_target(server.target_row(state));
        discovery.wait_for_requests(seen + 1);
    }
    let calls = discovery.wait_for_requests(5);
    assert_eq!(calls[0].1, "/registry/instances");
    assert!(
        calls[1]
            .1
            .starts_with("/registry/instances?after=1&wait_ms=")
    );
    for (answered, (called, _)) in discovery.answer_times().iter().zip(&calls[1..]) {
        let gap = called.saturating_duration_since(*answered);
        assert!(gap < Duration::from_millis(200), "{gap:?}");
    }
}

/// With discovery down in any way the last list holds, calls back off, and changes come after it.
#[test]
fn the_list_outlives_discoverys_troubles() {
    for mood in [
        DiscoveryMode::Refuses,
        DiscoveryMode::Resets,
        DiscoveryMode::Garbles,
    ] {
        let (server, discovery, proxy) = one_server();
        let before = discovery.wait_for_requests(2).len();
        discovery.set_mode(mood);
        let calls = discovery.wait_for_requests(before + 4);
        // Four tries in a row take longer the more fail.
        let span = calls[before + 3].0 - calls[before].0;
        assert!(span > Duration::from_millis(150), "{mood:?} {span:?}");
        proxy.up(&server);
        discovery.set_mode(DiscoveryMode::Works);
        let second = Server::start("s-2");
        discovery.upsert_target(server.target_row("draining"));
        discovery.upsert_target(second.target_row("ready"));
        let mut client = proxy.open("watch");
        second.next_open().1.send_line("UP 2");
        assert_eq!(client.read_line(), "UP 2");
    }
}

/// A connection that discovery ends after its answer is no loss of the list.
#[test]
fn discovery_may_end_its_connections_between_calls() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    discovery.set_mode(DiscoveryMode::Closes);
    let proxy = Proxy::start(&discovery);
    for _ in 0..3 {
        let seen = discovery.wait_for_requests(2).len();
        discovery.upsert_target(server.target_row("ready"));
        discovery.wait_for_requests(seen + 1);
    }
    proxy.up(&server);
    assert!(!proxy.log().contains("WARN"), "{}", proxy.log());
}

/// After a gap discovery tells the whole list: who is not in it is gone, and so are its clients.
#[test]
fn clients_of_a_server_that_a_whole_list_leaves_out_are_moved() {
    let (server, discovery, proxy) = one_server();
    let (mut client, _conn) = proxy.up(&server);
    discovery.remove_target("s-1");
    assert_eq!(client.read_line(), "MOVE");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// A hanging call must end in time for another within what the rules allow (5 s here).
#[test]
fn a_hanging_watch_is_given_up_within_the_time_to_ask() {
    let (_server, discovery, _proxy) = one_server();
    let before = discovery.wait_for_requests(2);
    discovery.set_mode(DiscoveryMode::Hangs);
    let calls = discovery.wait_for_requests(before.len() + 1);
    let gap = calls[before.len()].0 - calls[before.len() - 1].0;
    assert!(gap < Duration::from_secs(5), "{gap:?}");
    discovery.set_mode(DiscoveryMode::Works);
}

/// Nonsense in the list costs the rows that hold it, not the others.
#[test]
fn rows_that_make_no_sense_are_passed_over() {
    let server = Server::start("s-1");
    let mut huge = target_row("s-3", "127.0.0.1:1", "ready");
    huge["boot_ms"] = json!(-1e300);
    huge["capacity_hint"] = json!(1e308);
    let discovery = Discovery::start(&[
        json!({"uid": 7, "state": "ready"}),
        json!({"uid": "s-4", "endpoint": "no address", "state": "ready"}),
        json!({"uid": "s-5", "endpoint": "127.0.0.1:1", "state": "happy"}),
        server.target_row("ready"),
        huge,
    ]);
    let proxy = Proxy::start(&discovery);
    proxy.logged("s-4");
    proxy.logged("s-5");
    proxy.up(&server);
}

#[test]
fn absurd_load_reports_do_no_harm() {
    let (server, _discovery, proxy) = one_server();
    for pong in [
        "PONG x0=-7",
        "PONG x0=1e400",
        "PONG x0=NaN",
        "PONG x0",
        "PONG =,=,x0==",
        "WHAT",
    ] {
        server.set_probe_answer(Some(pong));
        let (mut client, mut conn) = proxy.up(&server);
        conn.send_line("LOAD NaN");
        conn.send_line("LOAD -5");
        conn.send_line("LOAD 1e300");
        conn.send_line("LOAD");
        for _ in 0..4 {
            assert!(client.read_line().starts_with("LOAD"));
        }
    }
}

fn refused_line(proxy: &Proxy, bytes: &[u8]) {
    let mut client = LineConnection::connect(proxy.addr);
    client.send_bytes(bytes);
    assert_eq!(client.read_line(), "ERR");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

#[test]
fn lines_that_make_no_sense_get_a_failed_answer_and_others_are_served() {
    let (server, _discovery, mut proxy) = one_server();
    refused_line(&proxy, b"HELLO\r\n");
    refused_line(&proxy, b"\r\n");
    refused_line(&proxy, b"OPEN\r\n");
    refused_line(&proxy, b"OPEN 1 2 c=watch,d=\xff\xfe\r\n");
    refused_line(&proxy, b"OPEN 1 2 c=unknown,d=100\r\n");
    refused_line(&proxy, b"OPEN 1 2 c=watch,d=soon\r\n");
    refused_line(&proxy, &[b'x'; 5000]);
    refused_line(
        &proxy,
        format!("OPEN 1 2 c=watch,k={}\r\n", "y".repeat(5000)).as_bytes(),
    );
    let mut half = LineConnection::connect(proxy.addr);
    half.send_bytes(b"OPEN 1 2 c=wat");
    half.half_close();
    assert_eq!(half.read_line(), "ERR");
    assert!(server.no_pending_open());
    proxy.up(&server);
    assert!(proxy.alive());
}

#[test]
fn a_client_that_never_finishes_its_line_is_let_go_and_stalls_nobody() {
    let (server, _discovery, proxy) = one_server();
    let mut slow: Vec<LineConnection> = (0..40)
        .map(|_| LineConnection::connect(proxy.addr))
        .collect();
    for peer in &mut slow {
        peer.send_bytes(b"OPEN 1 ");
    }
    proxy.up(&server);
    for peer in &mut slow {
        assert_eq!(peer.read_line(), "ERR");
    }
}

/// More clients than descriptors: those beyond are turned away, and the program lives.
#[test]
fn out_of_descriptors_clients_are_turned_away() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let mut proxy = Proxy::launch(discovery.addr, |config| {
        config["limits"]["sockets"] = json!(100);
        // Only descriptors turn anyone away.
        without_loads(config);
    });
    proxy.wait_ready();
    let mut held = Vec::new();
    let mut turned_away = 0;
    for number in 0..60 {
        let mut client = proxy.open("watch");
        // The proxy either turns it away or opens a connection for it.
        match server.next_open_unless(|| !client.is_quiet_for(Duration::from_millis(20))) {
            Some((_, mut conn)) => {
                conn.send_line(&format!("UP {number}"));
                assert_eq!(client.read_line(), format!("UP {number}"));
                held.push((client, conn));
            }
            None => {
                assert!(client.read_line().starts_with("BUSY"));
                turned_away += 1;
            }
        }
    }
    assert!(
        turned_away > 0 && held.len() >= 15,
        "{turned_away} {}",
        held.len()
    );
    // All that were taken still work.
    for (client, conn) in &mut held {
        client.send_line("SAY on");
        assert_eq!(conn.read_line(), "SAY on");
    }
    // Slow ones that hold a descriptor each don't keep the next from being turned away at once.
    let _slow: Vec<LineConnection> = (0..4)
        .map(|_| LineConnection::connect(proxy.addr))
        .collect();
    let at = Instant::now();
    assert!(proxy.open("watch").read_line().starts_with("BUSY"));
    assert!(
        at.elapsed() < Duration::from_millis(150),
        "{:?}",
        at.elapsed()
    );
    assert!(proxy.alive());
}

#[test]
fn a_bad_configuration_ends_it_with_a_plain_message() {
    for config in ["{", "{}", r#"{"name":"n0","listen":"here"}"#] {
        let mut proxy = Proxy::run("127.0.0.1:1".parse().unwrap(), config);
        assert!(!proxy.ended().success());
        proxy.logged("violetwind: ");
    }
}

#[test]
fn an_address_that_is_taken_ends_it_with_a_plain_message() {
    let (_server, discovery, proxy) = one_server();
    let mut second = Proxy::launch(discovery.addr, |config| {
        config["listen"] = json!(proxy.addr.to_string());
    });
    assert!(!second.ended().success());
    second.logged(&format!("violetwind: {}", proxy.addr));
}
