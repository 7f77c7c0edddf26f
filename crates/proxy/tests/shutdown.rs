//! A planned restart: SIGTERM, then SIGKILL no sooner than the longest deadline and 0.7 s later.

mod common;

use std::time::{Duration, Instant};

use common::{ConnectionEnd, Discovery, LineConnection, Pingable, Proxy, Server, one_server};

/// The longest deadline of the test's settings, and what the operators give beyond.
const KILLED: Duration = Duration::from_millis(2700);

#[test]
fn every_client_is_moved_in_time_and_the_program_ends_well() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let mut proxy = Proxy::start_roomy(&discovery);
    let mut pairs: Vec<(LineConnection, LineConnection)> =
        (0..20).map(|_| proxy.up(&server)).collect();
    let at = Instant::now();
    proxy.signal("-TERM");
    proxy.logged("told to end");
    // Connections go on coming for a while, and are served.
    assert!(proxy.answers_ping());
    pairs.push(proxy.up(&server));
    let mut moved = Vec::new();
    // The last to come are the first to be moved.
    for (client, _conn) in pairs.iter_mut().rev() {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
        moved.push(at.elapsed());
    }
    assert!(proxy.ended().success());
    assert!(at.elapsed() < KILLED, "{:?}", at.elapsed());
    // Spread, not all at once: they come to the others one by one.
    let (first, last) = (moved[0], moved[moved.len() - 1]);
    assert!(
        last - first > Duration::from_millis(500),
        "{first:?} {last:?}"
    );
}

#[test]
fn what_is_owed_at_the_end_is_answered() {
    let (server, _discovery, mut proxy) = one_server();
    let mut served = proxy.open("watch");
    let (_, mut late) = server.next_open();
    let mut silent = proxy.open("book");
    let (_, _never) = server.next_open();
    let at = Instant::now();
    proxy.signal("-TERM");
    proxy.logged("told to end");
    late.send_line("UP 9");
    assert_eq!(served.read_line(), "UP 9");
    assert_eq!(served.read_line(), "MOVE");
    assert_eq!(silent.read_line(), "ERR");
    assert!(proxy.ended().success());
    assert!(at.elapsed() < KILLED, "{:?}", at.elapsed());
}

/// The front notices late: with nothing owed the program must not be gone while clients still come.
#[test]
fn clients_that_come_up_to_0_4_s_later_are_served_and_moved() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let mut proxy = Proxy::start_roomy(&discovery);
    proxy.signal("-TERM");
    proxy.logged("told to end");
    let at = Instant::now();
    let mut came = Vec::new();
    while at.elapsed() < Duration::from_millis(400) {
        came.push(proxy.up(&server));
        std::thread::sleep(Duration::from_millis(40));
    }
    for (client, _conn) in &mut came {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    }
    assert!(proxy.ended().success());
    assert!(at.elapsed() < KILLED, "{:?}", at.elapsed());
}

#[test]
fn with_nothing_owed_it_ends_soon() {
    let (_server, _discovery, mut proxy) = one_server();
    let at = Instant::now();
    proxy.signal("-TERM");
    assert!(proxy.ended().success());
    assert!(
        at.elapsed() < Duration::from_millis(1500),
        "{:?}",
        at.elapsed()
    );
}
