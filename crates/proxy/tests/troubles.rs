//! Servers that vanish or drain, discovery that fails, and clients and servers that send invalid data.

mod common;

use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, DiscoveryMode, LineConnection, Proxy, Server, disable_load_reports,
    one_server, target_row,
};
use serde_json::json;

/// A machine that vanishes leaves its connections open: only unanswered lines reveal the failure.
#[test]
fn the_client_of_a_silent_server_is_moved_within_seven_seconds() {
    let (server, _discovery, proxy) = one_server();
    let (mut idle, _idle_conn) = proxy.establish_connection(&server);
    let (mut client, conn) = proxy.establish_connection(&server);
    client.send_line("SAY one");
    let sent_at = Instant::now();
    assert_eq!(client.read_line(), "MOVE");
    assert!(sent_at.elapsed() < Duration::from_millis(4800));
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    drop(conn);
    // A connection without unanswered lines does not count as silent and stays open.
    assert!(idle.is_quiet_for(Duration::from_millis(100)));
}

#[test]
fn a_connection_with_answered_lines_stays_open() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.establish_connection(&server);
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        client.send_line("SAY on");
        assert_eq!(conn.read_line(), "SAY on");
        conn.send_line("OK on");
        assert_eq!(client.read_line(), "OK on");
        assert!(client.is_quiet_for(Duration::from_millis(400)));
    }
}

/// Clients of a draining server get `MOVE` in time, and only between two complete lines.
#[test]
fn clients_of_a_draining_server_are_moved_between_two_lines() {
    let (server, discovery, proxy) = one_server();
    let mut pairs: Vec<(LineConnection, LineConnection)> = (0..5)
        .map(|_| proxy.establish_connection(&server))
        .collect();
    let (mut mid_line_client, mut mid_line_conn) = proxy.establish_connection(&server);
    mid_line_conn.send_bytes(b"OK half a ");
    discovery.upsert_target(server.target_row("draining"));
    for (client, conn) in &mut pairs {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
        assert!(matches!(
            conn.try_read_line(),
            Err(ConnectionEnd::Closed | ConnectionEnd::Reset)
        ));
    }
    mid_line_conn.send_bytes(b"line\r\n");
    assert_eq!(mid_line_client.read_line(), "OK half a line");
    assert_eq!(mid_line_client.read_line(), "MOVE");
    // The server gets no new request.
    let mut client = proxy.open_with("c=watch,d=300");
    assert!(client.read_line().starts_with("BUSY"));
    assert!(server.no_pending_open());
}

/// A draining server may itself send `MOVE` to its clients.
#[test]
fn a_servers_own_move_is_forwarded() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.establish_connection(&server);
    conn.send_line("MOVE");
    drop(conn);
    assert_eq!(client.read_line(), "MOVE");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// A move decided by the decision module reaches the client as a line: here for a load above the threshold while
/// another server has capacity.
#[test]
fn a_client_is_moved_off_a_server_whose_load_passes_the_threshold() {
    let (server, discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.establish_connection(&server);
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
        let calls_before = discovery.wait_for_requests(1).len();
        discovery.upsert_target(server.target_row(state));
        discovery.wait_for_requests(calls_before + 1);
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

/// While discovery fails in any way, the last list stays in use and calls back off; changes are applied after recovery.
#[test]
fn the_list_stays_in_use_while_discovery_fails() {
    for mode in [
        DiscoveryMode::Refuses,
        DiscoveryMode::Resets,
        DiscoveryMode::Garbles,
    ] {
        let (server, discovery, proxy) = one_server();
        let before = discovery.wait_for_requests(2).len();
        discovery.set_mode(mode);
        let calls = discovery.wait_for_requests(before + 4);
        // The interval between retries grows with consecutive failures.
        let span = calls[before + 3].0 - calls[before].0;
        assert!(span > Duration::from_millis(150), "{mode:?} {span:?}");
        proxy.establish_connection(&server);
        discovery.set_mode(DiscoveryMode::Works);
        let second = Server::start("s-2");
        discovery.upsert_target(server.target_row("draining"));
        discovery.upsert_target(second.target_row("ready"));
        let mut client = proxy.open("watch");
        second.next_open().1.send_line("UP 2");
        assert_eq!(client.read_line(), "UP 2");
    }
}

/// A connection that discovery closes after an answer is no failure.
#[test]
fn discovery_may_close_its_connections_between_calls() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    discovery.set_mode(DiscoveryMode::Closes);
    let proxy = Proxy::start(&discovery);
    for _ in 0..3 {
        let calls_before = discovery.wait_for_requests(2).len();
        discovery.upsert_target(server.target_row("ready"));
        discovery.wait_for_requests(calls_before + 1);
    }
    proxy.establish_connection(&server);
    assert!(!proxy.log().contains("WARN"), "{}", proxy.log());
}

/// After a gap, discovery sends the whole list: servers missing from it are removed and their clients moved.
#[test]
fn clients_of_a_server_missing_from_a_whole_list_are_moved() {
    let (server, discovery, proxy) = one_server();
    let (mut client, _conn) = proxy.establish_connection(&server);
    discovery.remove_target("s-1");
    assert_eq!(client.read_line(), "MOVE");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// A hanging call must time out early enough for another one within `rules.ask-within-s` (5 s here).
#[test]
fn a_hanging_watch_times_out_within_the_call_interval() {
    let (_server, discovery, _proxy) = one_server();
    let before = discovery.wait_for_requests(2);
    discovery.set_mode(DiscoveryMode::Hangs);
    let calls = discovery.wait_for_requests(before.len() + 1);
    let gap = calls[before.len()].0 - calls[before.len() - 1].0;
    assert!(gap < Duration::from_secs(5), "{gap:?}");
    discovery.set_mode(DiscoveryMode::Works);
}

/// Invalid rows of a list are skipped; the others are used.
#[test]
fn invalid_rows_are_skipped() {
    let server = Server::start("s-1");
    let mut extreme = target_row("s-3", "127.0.0.1:1", "ready");
    extreme["boot_ms"] = json!(-1e300);
    extreme["capacity_hint"] = json!(1e308);
    let discovery = Discovery::start(&[
        json!({"uid": 7, "state": "ready"}),
        json!({"uid": "s-4", "endpoint": "no address", "state": "ready"}),
        json!({"uid": "s-5", "endpoint": "127.0.0.1:1", "state": "happy"}),
        server.target_row("ready"),
        extreme,
    ]);
    let proxy = Proxy::start(&discovery);
    proxy.wait_for_log("s-4");
    proxy.wait_for_log("s-5");
    proxy.establish_connection(&server);
}

#[test]
fn clients_are_served_despite_invalid_load_reports() {
    let (server, _discovery, proxy) = one_server();
    for probe_answer in [
        "PONG x0=-7",
        "PONG x0=1e400",
        "PONG x0=NaN",
        "PONG x0",
        "PONG =,=,x0==",
        "WHAT",
    ] {
        server.set_probe_answer(Some(probe_answer));
        let (mut client, mut conn) = proxy.establish_connection(&server);
        conn.send_line("LOAD NaN");
        conn.send_line("LOAD -5");
        conn.send_line("LOAD 1e300");
        conn.send_line("LOAD");
        for _ in 0..4 {
            assert!(client.read_line().starts_with("LOAD"));
        }
    }
}

/// Sends the bytes and asserts that the proxy answers with `ERR` and closes the connection.
fn assert_line_refused(proxy: &Proxy, bytes: &[u8]) {
    let mut client = LineConnection::connect(proxy.addr);
    client.send_bytes(bytes);
    assert_eq!(client.read_line(), "ERR");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

#[test]
fn invalid_lines_get_an_error_and_other_clients_are_served() {
    let (server, _discovery, mut proxy) = one_server();
    assert_line_refused(&proxy, b"HELLO\r\n");
    assert_line_refused(&proxy, b"\r\n");
    assert_line_refused(&proxy, b"OPEN\r\n");
    assert_line_refused(&proxy, b"OPEN 1 2 c=watch,d=\xff\xfe\r\n");
    assert_line_refused(&proxy, b"OPEN 1 2 c=unknown,d=100\r\n");
    assert_line_refused(&proxy, b"OPEN 1 2 c=watch,d=soon\r\n");
    assert_line_refused(&proxy, &[b'x'; 5000]);
    assert_line_refused(
        &proxy,
        format!("OPEN 1 2 c=watch,k={}\r\n", "y".repeat(5000)).as_bytes(),
    );
    let mut partial_client = LineConnection::connect(proxy.addr);
    partial_client.send_bytes(b"OPEN 1 2 c=wat");
    partial_client.half_close();
    assert_eq!(partial_client.read_line(), "ERR");
    assert!(server.no_pending_open());
    proxy.establish_connection(&server);
    assert!(proxy.is_running());
}

#[test]
fn a_client_that_never_finishes_its_line_is_closed_and_delays_no_other() {
    let (server, _discovery, proxy) = one_server();
    let mut slow_clients: Vec<LineConnection> = (0..40)
        .map(|_| LineConnection::connect(proxy.addr))
        .collect();
    for peer in &mut slow_clients {
        peer.send_bytes(b"OPEN 1 ");
    }
    proxy.establish_connection(&server);
    for peer in &mut slow_clients {
        assert_eq!(peer.read_line(), "ERR");
    }
}

/// With more clients than descriptors the surplus clients are rejected, and the process keeps running.
#[test]
fn clients_are_rejected_when_descriptors_run_out() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let mut proxy = Proxy::launch(discovery.addr, |config| {
        config["limits"]["sockets"] = json!(100);
        // Only a lack of descriptors leads to rejections.
        disable_load_reports(config);
    });
    proxy.wait_ready();
    let mut held = Vec::new();
    let mut rejected = 0;
    for number in 0..60 {
        let mut client = proxy.open("watch");
        // The proxy either rejects the client or opens a connection to the server for it.
        match server.next_open_unless(|| !client.is_quiet_for(Duration::from_millis(20))) {
            Some((_, mut conn)) => {
                conn.send_line(&format!("UP {number}"));
                assert_eq!(client.read_line(), format!("UP {number}"));
                held.push((client, conn));
            }
            None => {
                assert!(client.read_line().starts_with("BUSY"));
                rejected += 1;
            }
        }
    }
    assert!(
        rejected > 0 && held.len() >= 15,
        "{rejected} {}",
        held.len()
    );
    // All accepted connections still work.
    for (client, conn) in &mut held {
        client.send_line("SAY on");
        assert_eq!(conn.read_line(), "SAY on");
    }
    // Slow clients that hold a descriptor each don't delay the rejection of the next client.
    let _slow_clients: Vec<LineConnection> = (0..4)
        .map(|_| LineConnection::connect(proxy.addr))
        .collect();
    let start = Instant::now();
    assert!(proxy.open("watch").read_line().starts_with("BUSY"));
    assert!(
        start.elapsed() < Duration::from_millis(150),
        "{:?}",
        start.elapsed()
    );
    assert!(proxy.is_running());
}

#[test]
fn an_invalid_configuration_ends_the_process_with_an_error_message() {
    for config in ["{", "{}", r#"{"name":"n0","listen":"here"}"#] {
        let mut proxy = Proxy::run("127.0.0.1:1".parse().unwrap(), config);
        assert!(!proxy.wait_for_exit().success());
        proxy.wait_for_log("violetwind: ");
    }
}

#[test]
fn an_address_in_use_ends_the_process_with_an_error_message() {
    let (_server, discovery, proxy) = one_server();
    let mut second = Proxy::launch(discovery.addr, |config| {
        config["listen"] = json!(proxy.addr.to_string());
    });
    assert!(!second.wait_for_exit().success());
    second.wait_for_log(&format!("violetwind: {}", proxy.addr));
}
