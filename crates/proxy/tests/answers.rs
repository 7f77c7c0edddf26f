//! Each request gets exactly one answer, whatever the servers do.

mod common;

use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, LineConnection, Proxy, Server, UnresponsiveHost, target_row,
    unused_addr,
};

/// Starts two servers, of which the first reports the lower load, so that the balancer tries it first.
fn two_servers() -> (Server, Server, Discovery, Proxy) {
    let (first, second) = (Server::start("s-1"), Server::start("s-2"));
    second.set_probe_answer(Some("PONG x0=0.60"));
    let discovery = Discovery::start(&[first.target_row("ready"), second.target_row("ready")]);
    let proxy = Proxy::start(&discovery);
    first.wait_for_probe(&proxy);
    second.wait_for_probe(&proxy);
    (first, second, discovery, proxy)
}

fn expect_answer_and_close(client: &mut LineConnection, answer: &str) {
    assert_eq!(client.read_line(), answer);
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

#[test]
fn tries_the_next_server_after_busy() {
    let (first, second, _discovery, proxy) = two_servers();
    let mut client = proxy.open("book");
    let (_, mut connection) = first.next_open();
    connection.send_line("BUSY");
    let (_, mut connection) = second.next_open();
    connection.send_line("UP 5");
    assert_eq!(client.read_line(), "UP 5");
}

#[test]
fn answers_busy_with_a_retry_delay_when_all_servers_are_busy() {
    let (first, second, _discovery, proxy) = two_servers();
    let mut client = proxy.open("book");
    first.next_open().1.send_line("BUSY");
    second.next_open().1.send_line("BUSY");
    let answer = client.read_line();
    // The settings allow `BUSY` with a retry delay.
    let wait: u64 = answer.strip_prefix("BUSY ").unwrap().parse().unwrap();
    assert!((1..=1000).contains(&wait), "{answer}");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// A request with a side effect that may have run must neither run again nor be answered `BUSY`, which means to
/// the client that a repeat is safe.
#[test]
fn neither_repeats_nor_refuses_a_side_effect_that_may_have_run() {
    let failures: [fn(LineConnection); 2] = [
        |mut connection| connection.send_line("ERR"),
        // The server reads the whole line, then its connection breaks.
        |connection| drop(connection),
    ];
    for fail in failures {
        let (first, second, _discovery, proxy) = two_servers();
        let mut client = proxy.open("book");
        fail(first.next_open().1);
        expect_answer_and_close(&mut client, "ERR");
        assert!(second.no_pending_open());
    }
}

#[test]
fn repeats_an_idempotent_request_on_another_server() {
    let (first, second, _discovery, proxy) = two_servers();
    let mut client = proxy.open("watch");
    drop(first.next_open());
    second.next_open().1.send_line("UP 6");
    assert_eq!(client.read_line(), "UP 6");
}

/// A refused connection has never carried the line, so any request may be tried on another server.
#[test]
fn tries_another_server_after_a_refused_connection() {
    let alive = Server::start("s-2");
    let discovery = Discovery::start(&[
        target_row("s-1", &unused_addr().to_string(), "ready"),
        alive.target_row("ready"),
    ]);
    let proxy = Proxy::start(&discovery);
    let mut client = proxy.open("book");
    alive.next_open().1.send_line("UP 7");
    assert_eq!(client.read_line(), "UP 7");
}

/// A machine that has vanished accepts no connection: nothing has run there, and the connect timeout is short.
#[test]
fn tries_another_server_after_a_connect_timeout() {
    let vanished = UnresponsiveHost::start();
    let alive = Server::start("s-2");
    let discovery = Discovery::start(&[
        target_row("s-1", &vanished.addr.to_string(), "ready"),
        alive.target_row("ready"),
    ]);
    let proxy = Proxy::start(&discovery);
    for number in 0..3 {
        let start = Instant::now();
        let mut client = proxy.open("book");
        alive.next_open().1.send_line(&format!("UP {number}"));
        assert_eq!(client.read_line(), format!("UP {number}"));
        assert!(
            start.elapsed() < Duration::from_millis(500),
            "{:?}",
            start.elapsed()
        );
    }
}

/// The client's deadline runs from the arrival of the line and covers all attempts together.
#[test]
fn answers_by_the_clients_deadline_when_servers_are_silent() {
    let (first, second, _discovery, proxy) = two_servers();
    let start = Instant::now();
    let mut client = proxy.open_with("c=watch,d=900");
    let (line, mut connection) = first.next_open();
    // The line states how long the proxy will wait: half of the remaining time, and no more.
    let (_, wait) = line.split_once("d=").unwrap();
    assert!(
        (400..=450).contains(&wait.parse::<u64>().unwrap()),
        "{line}"
    );
    let (_, mut second_connection) = second.next_open();
    // The first attempt was closed before the second began.
    assert_eq!(connection.expect_end(), ConnectionEnd::Closed);
    assert!(client.read_line().starts_with("BUSY"));
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(800), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(1000), "{elapsed:?}");
    assert_eq!(second_connection.expect_end(), ConnectionEnd::Closed);
}

#[test]
fn answers_err_to_an_invalid_line_of_a_server() {
    let invalid_answers: [fn(&mut LineConnection); 2] = [
        |connection| connection.send_line("HELLO there"),
        // A line without a line end is invalid, however long it is.
        |connection| {
            let sent = connection.send_until_blocked(&[b'x'; 64 << 10], Duration::from_millis(300));
            assert!(sent > 4096);
        },
    ];
    for answer in invalid_answers {
        let (first, second, _discovery, proxy) = two_servers();
        let mut client = proxy.open("book");
        let (_, mut connection) = first.next_open();
        answer(&mut connection);
        expect_answer_and_close(&mut client, "ERR");
        assert!(second.no_pending_open());
    }
}

#[test]
fn answers_a_client_that_half_closes_its_connection() {
    let (first, _second, _discovery, proxy) = two_servers();
    let mut client = proxy.open("book");
    let (_, mut connection) = first.next_open();
    client.half_close();
    assert_eq!(connection.expect_end(), ConnectionEnd::Closed);
    expect_answer_and_close(&mut client, "ERR");
}

#[test]
fn answers_by_the_deadline_without_any_server() {
    let discovery = Discovery::start(&[]);
    let proxy = Proxy::start(&discovery);
    let start = Instant::now();
    let mut client = proxy.open_with("c=watch,d=600");
    assert!(client.read_line().starts_with("BUSY"));
    assert!(start.elapsed() < Duration::from_millis(700));
}
