//! Exactly one answer for each request, whatever the servers do.

mod common;

use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, LineConnection, Proxy, Server, UnresponsiveHost, target_row,
    unused_addr,
};

/// Two servers, the first of which the module ranks lower and so tries first.
fn two_servers() -> (Server, Server, Discovery, Proxy) {
    let (first, second) = (Server::start("s-1"), Server::start("s-2"));
    second.set_probe_answer(Some("PONG x0=0.60"));
    let discovery = Discovery::start(&[first.target_row("ready"), second.target_row("ready")]);
    let proxy = Proxy::start(&discovery);
    first.wait_for_probe(&proxy);
    second.wait_for_probe(&proxy);
    (first, second, discovery, proxy)
}

fn ends_with(client: &mut LineConnection, answer: &str) {
    assert_eq!(client.read_line(), answer);
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

#[test]
fn a_server_that_turns_away_never_ran_it_and_the_next_is_tried() {
    let (first, second, _discovery, proxy) = two_servers();
    let mut client = proxy.open("book");
    let (_, mut conn) = first.next_open();
    conn.send_line("BUSY");
    let (_, mut conn) = second.next_open();
    conn.send_line("UP 5");
    assert_eq!(client.read_line(), "UP 5");
}

#[test]
fn when_all_turn_away_the_client_may_come_again() {
    let (first, second, _discovery, proxy) = two_servers();
    let mut client = proxy.open("book");
    first.next_open().1.send_line("BUSY");
    second.next_open().1.send_line("BUSY");
    let answer = client.read_line();
    // The settings allow a time to come back.
    let wait: u64 = answer.strip_prefix("BUSY ").unwrap().parse().unwrap();
    assert!((1..=1000).contains(&wait), "{answer}");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// What may have run once must not run again, nor be called harmless to repeat.
#[test]
fn an_effect_that_may_have_run_is_neither_repeated_nor_refused() {
    let does: [fn(LineConnection); 2] = [
        |mut conn| conn.send_line("ERR"),
        // It read the whole line and broke.
        |conn| drop(conn),
    ];
    for end in does {
        let (first, second, _discovery, proxy) = two_servers();
        let mut client = proxy.open("book");
        end(first.next_open().1);
        ends_with(&mut client, "ERR");
        assert!(second.no_pending_open());
    }
}

#[test]
fn what_may_be_repeated_is_tried_on_another_server() {
    let (first, second, _discovery, proxy) = two_servers();
    let mut client = proxy.open("watch");
    drop(first.next_open());
    second.next_open().1.send_line("UP 6");
    assert_eq!(client.read_line(), "UP 6");
}

/// A refused connection never carried the line: any request may go elsewhere.
#[test]
fn a_refused_connection_is_no_attempt_that_ran() {
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

/// A machine that has vanished takes no connection: nothing has run there, and the wait is short.
#[test]
fn a_connection_that_never_comes_up_is_no_attempt_that_ran() {
    let vanished = UnresponsiveHost::start();
    let alive = Server::start("s-2");
    let discovery = Discovery::start(&[
        target_row("s-1", &vanished.addr.to_string(), "ready"),
        alive.target_row("ready"),
    ]);
    let proxy = Proxy::start(&discovery);
    for number in 0..3 {
        let at = Instant::now();
        let mut client = proxy.open("book");
        alive.next_open().1.send_line(&format!("UP {number}"));
        assert_eq!(client.read_line(), format!("UP {number}"));
        assert!(
            at.elapsed() < Duration::from_millis(500),
            "{:?}",
            at.elapsed()
        );
    }
}

/// Time-outs run from the arrival of the line, over all attempts together.
#[test]
fn a_silent_server_costs_no_more_than_the_clients_time() {
    let (first, second, _discovery, proxy) = two_servers();
    let at = Instant::now();
    let mut client = proxy.open_with("c=watch,d=900");
    let (line, mut conn) = first.next_open();
    // The line tells how long the proxy will wait: half of what is left, and no more.
    let (_, wait) = line.split_once("d=").unwrap();
    assert!(
        (400..=450).contains(&wait.parse::<u64>().unwrap()),
        "{line}"
    );
    let (_, mut other) = second.next_open();
    // The first attempt was closed before the second began.
    assert_eq!(conn.expect_end(), ConnectionEnd::Closed);
    assert!(client.read_line().starts_with("BUSY"));
    let took = at.elapsed();
    assert!(took >= Duration::from_millis(800), "{took:?}");
    assert!(took < Duration::from_millis(1000), "{took:?}");
    assert_eq!(other.expect_end(), ConnectionEnd::Closed);
}

#[test]
fn an_answer_that_no_server_may_give_is_an_error() {
    let says: [fn(&mut LineConnection); 2] = [
        |conn| conn.send_line("HELLO there"),
        // A line without an end is none, however long.
        |conn| {
            let sent = conn.send_until_blocked(&[b'x'; 64 << 10], Duration::from_millis(300));
            assert!(sent > 4096);
        },
    ];
    for say in says {
        let (first, second, _discovery, proxy) = two_servers();
        let mut client = proxy.open("book");
        let (_, mut conn) = first.next_open();
        say(&mut conn);
        ends_with(&mut client, "ERR");
        assert!(second.no_pending_open());
    }
}

#[test]
fn a_client_that_only_ends_its_sending_gets_an_answer_too() {
    let (first, _second, _discovery, proxy) = two_servers();
    let mut client = proxy.open("book");
    let (_, mut conn) = first.next_open();
    client.half_close();
    assert_eq!(conn.expect_end(), ConnectionEnd::Closed);
    ends_with(&mut client, "ERR");
}

#[test]
fn without_any_server_the_answer_comes_by_the_deadline() {
    let discovery = Discovery::start(&[]);
    let proxy = Proxy::start(&discovery);
    let at = Instant::now();
    let mut client = proxy.open_with("c=watch,d=600");
    assert!(client.read_line().starts_with("BUSY"));
    assert!(at.elapsed() < Duration::from_millis(700));
}
