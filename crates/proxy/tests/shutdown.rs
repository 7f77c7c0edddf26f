//! Planned restart: SIGTERM, then SIGKILL no sooner than the longest deadline plus 0.7 s.

mod common;

use std::time::{Duration, Instant};

use common::{ConnectionEnd, Discovery, LineConnection, Pingable, Proxy, Server, one_server};

/// The longest deadline of the test's settings (2 s) plus the 0.7 s that operators add before SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(2700);

#[test]
fn every_client_is_moved_in_time_and_the_exit_status_is_success() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let mut proxy = Proxy::start_without_loads(&discovery);
    let mut pairs: Vec<(LineConnection, LineConnection)> = (0..20)
        .map(|_| proxy.establish_connection(&server))
        .collect();
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    proxy.wait_for_log("told to end");
    // New connections keep arriving for a while and are served.
    assert!(proxy.answers_ping());
    pairs.push(proxy.establish_connection(&server));
    let mut moved = Vec::new();
    // The newest connections are moved first.
    for (client, _conn) in pairs.iter_mut().rev() {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
        moved.push(signalled_at.elapsed());
    }
    assert!(proxy.wait_for_exit().success());
    assert!(
        signalled_at.elapsed() < KILL_DELAY,
        "{:?}",
        signalled_at.elapsed()
    );
    // Moves are spread over time, so that the clients do not all reach the other proxies at once.
    let (first, last) = (moved[0], moved[moved.len() - 1]);
    assert!(
        last - first > Duration::from_millis(500),
        "{first:?} {last:?}"
    );
}

#[test]
fn pending_requests_are_answered_during_shutdown() {
    let (server, _discovery, mut proxy) = one_server();
    let mut served = proxy.open("watch");
    let (_, mut late_conn) = server.next_open();
    let mut silent = proxy.open("book");
    let (_, _unanswered) = server.next_open();
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    proxy.wait_for_log("told to end");
    late_conn.send_line("UP 9");
    assert_eq!(served.read_line(), "UP 9");
    assert_eq!(served.read_line(), "MOVE");
    assert_eq!(silent.read_line(), "ERR");
    assert!(proxy.wait_for_exit().success());
    assert!(
        signalled_at.elapsed() < KILL_DELAY,
        "{:?}",
        signalled_at.elapsed()
    );
}

/// The front load balancer reacts late: even without pending requests the process must not exit while clients still
/// arrive.
#[test]
fn clients_that_arrive_up_to_0_4_s_after_sigterm_are_served_and_moved() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let mut proxy = Proxy::start_without_loads(&discovery);
    proxy.signal("-TERM");
    proxy.wait_for_log("told to end");
    let start = Instant::now();
    let mut arrived = Vec::new();
    while start.elapsed() < Duration::from_millis(400) {
        arrived.push(proxy.establish_connection(&server));
        std::thread::sleep(Duration::from_millis(40));
    }
    for (client, _conn) in &mut arrived {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    }
    assert!(proxy.wait_for_exit().success());
    assert!(start.elapsed() < KILL_DELAY, "{:?}", start.elapsed());
}

#[test]
fn without_pending_requests_the_process_ends_soon() {
    let (_server, _discovery, mut proxy) = one_server();
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    assert!(proxy.wait_for_exit().success());
    assert!(
        signalled_at.elapsed() < Duration::from_millis(1500),
        "{:?}",
        signalled_at.elapsed()
    );
}
