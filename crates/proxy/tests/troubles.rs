//! Servers that vanish or leave, discovery that fails, and clients and servers that talk nonsense.

mod common;

use std::time::{Duration, Instant};

use common::{Discovery, End, Mood, Peer, Proxy, Server, one_server, target, without_loads};
use serde_json::json;

/// A machine that vanished leaves its connections open: only lines without an answer tell.
#[test]
fn the_client_of_a_silent_server_is_moved_within_seven_seconds() {
    let (server, _discovery, proxy) = one_server();
    let (mut idle, _kept) = proxy.up(&server);
    let (mut client, conn) = proxy.up(&server);
    client.say("SAY one");
    let at = Instant::now();
    assert_eq!(client.hear(), "MOVE");
    assert!(at.elapsed() < Duration::from_millis(4800));
    assert_eq!(client.end(), End::Closed);
    drop(conn);
    // One that has nothing to say is not silent: it stays.
    assert!(idle.quiet_for(Duration::from_millis(100)));
}

#[test]
fn answered_lines_keep_a_connection_however_long() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.up(&server);
    let until = Instant::now() + Duration::from_secs(4);
    while Instant::now() < until {
        client.say("SAY on");
        assert_eq!(conn.hear(), "SAY on");
        conn.say("OK on");
        assert_eq!(client.hear(), "OK on");
        assert!(client.quiet_for(Duration::from_millis(400)));
    }
}

/// Connections on a server that leaves are told in time, and only between two whole lines.
#[test]
fn clients_of_a_draining_server_are_moved_between_two_lines() {
    let (server, discovery, proxy) = one_server();
    let mut pairs: Vec<(Peer, Peer)> = (0..5).map(|_| proxy.up(&server)).collect();
    let (mut split, mut theirs) = proxy.up(&server);
    theirs.send(b"OK half a ");
    discovery.tell(server.target("draining"));
    for (client, conn) in &mut pairs {
        assert_eq!(client.hear(), "MOVE");
        assert_eq!(client.end(), End::Closed);
        assert!(matches!(conn.try_hear(), Err(End::Closed | End::Reset)));
    }
    theirs.send(b"line\r\n");
    assert_eq!(split.hear(), "OK half a line");
    assert_eq!(split.hear(), "MOVE");
    // Nothing new goes there.
    let mut client = proxy.open_with("c=watch,d=300");
    assert!(client.hear().starts_with("BUSY"));
    assert!(server.nothing_opened());
}

/// A draining server may itself send its clients away.
#[test]
fn a_servers_own_move_is_passed_on() {
    let (server, _discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.up(&server);
    conn.say("MOVE");
    drop(conn);
    assert_eq!(client.hear(), "MOVE");
    assert_eq!(client.end(), End::Closed);
}

/// The module's moves reach the client as lines: a load past the threshold with room elsewhere.
#[test]
fn a_client_is_moved_off_a_server_whose_load_passes_the_threshold() {
    let (server, discovery, proxy) = one_server();
    let (mut client, mut conn) = proxy.up(&server);
    let other = Server::start("s-2");
    discovery.tell(other.target("ready"));
    conn.say("LOAD 1000");
    assert_eq!(client.hear(), "LOAD 1000");
    server.answer_probes(Some("PONG x0=3.0"));
    assert_eq!(client.hear(), "MOVE");
    assert_eq!(client.end(), End::Closed);
}

#[test]
fn a_watch_is_followed_at_once_by_the_next() {
    let (server, discovery, _proxy) = one_server();
    for state in ["draining", "ready", "draining", "ready"] {
        let seen = discovery.calls(1).len();
        discovery.tell(server.target(state));
        discovery.calls(seen + 1);
    }
    let calls = discovery.calls(5);
    assert_eq!(calls[0].1, "/registry/instances");
    assert!(
        calls[1]
            .1
            .starts_with("/registry/instances?after=1&wait_ms=")
    );
    for (answered, (called, _)) in discovery.answered().iter().zip(&calls[1..]) {
        let gap = called.saturating_duration_since(*answered);
        assert!(gap < Duration::from_millis(200), "{gap:?}");
    }
}

/// With discovery down in any way the last list holds, calls back off, and changes come after it.
#[test]
fn the_list_outlives_discoverys_troubles() {
    for mood in [Mood::Refuses, Mood::Resets, Mood::Garbles] {
        let (server, discovery, proxy) = one_server();
        let before = discovery.calls(2).len();
        discovery.set_mood(mood);
        let calls = discovery.calls(before + 4);
        // Four tries in a row take longer the more fail.
        let span = calls[before + 3].0 - calls[before].0;
        assert!(span > Duration::from_millis(150), "{mood:?} {span:?}");
        proxy.up(&server);
        discovery.set_mood(Mood::Works);
        let second = Server::start("s-2");
        discovery.tell(server.target("draining"));
        discovery.tell(second.target("ready"));
        let mut client = proxy.open("watch");
        second.opened().1.say("UP 2");
        assert_eq!(client.hear(), "UP 2");
    }
}

/// A connection that discovery ends after its answer is no loss of the list.
#[test]
fn discovery_may_end_its_connections_between_calls() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target("ready")]);
    discovery.set_mood(Mood::Closes);
    let proxy = Proxy::start(&discovery);
    for _ in 0..3 {
        let seen = discovery.calls(2).len();
        discovery.tell(server.target("ready"));
        discovery.calls(seen + 1);
    }
    proxy.up(&server);
    assert!(!proxy.log().contains("WARN"), "{}", proxy.log());
}

/// After a gap discovery tells the whole list: who is not in it is gone, and so are its clients.
#[test]
fn clients_of_a_server_that_a_whole_list_leaves_out_are_moved() {
    let (server, discovery, proxy) = one_server();
    let (mut client, _conn) = proxy.up(&server);
    discovery.forget("s-1");
    assert_eq!(client.hear(), "MOVE");
    assert_eq!(client.end(), End::Closed);
}

/// A hanging call must end in time for another within what the rules allow (5 s here).
#[test]
fn a_hanging_watch_is_given_up_within_the_time_to_ask() {
    let (_server, discovery, _proxy) = one_server();
    let before = discovery.calls(2);
    discovery.set_mood(Mood::Hangs);
    let calls = discovery.calls(before.len() + 1);
    let gap = calls[before.len()].0 - calls[before.len() - 1].0;
    assert!(gap < Duration::from_secs(5), "{gap:?}");
    discovery.set_mood(Mood::Works);
}

/// Nonsense in the list costs the rows that hold it, not the others.
#[test]
fn rows_that_make_no_sense_are_passed_over() {
    let server = Server::start("s-1");
    let mut huge = target("s-3", "127.0.0.1:1", "ready");
    huge["boot_ms"] = json!(-1e300);
    huge["capacity_hint"] = json!(1e308);
    let discovery = Discovery::start(&[
        json!({"uid": 7, "state": "ready"}),
        json!({"uid": "s-4", "endpoint": "no address", "state": "ready"}),
        json!({"uid": "s-5", "endpoint": "127.0.0.1:1", "state": "happy"}),
        server.target("ready"),
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
        server.answer_probes(Some(pong));
        let (mut client, mut conn) = proxy.up(&server);
        conn.say("LOAD NaN");
        conn.say("LOAD -5");
        conn.say("LOAD 1e300");
        conn.say("LOAD");
        for _ in 0..4 {
            assert!(client.hear().starts_with("LOAD"));
        }
    }
}

fn refused_line(proxy: &Proxy, bytes: &[u8]) {
    let mut client = Peer::connect(proxy.addr);
    client.send(bytes);
    assert_eq!(client.hear(), "ERR");
    assert_eq!(client.end(), End::Closed);
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
    let mut half = Peer::connect(proxy.addr);
    half.send(b"OPEN 1 2 c=wat");
    half.end_sending();
    assert_eq!(half.hear(), "ERR");
    assert!(server.nothing_opened());
    proxy.up(&server);
    assert!(proxy.alive());
}

#[test]
fn a_client_that_never_finishes_its_line_is_let_go_and_stalls_nobody() {
    let (server, _discovery, proxy) = one_server();
    let mut slow: Vec<Peer> = (0..40).map(|_| Peer::connect(proxy.addr)).collect();
    for peer in &mut slow {
        peer.send(b"OPEN 1 ");
    }
    proxy.up(&server);
    for peer in &mut slow {
        assert_eq!(peer.hear(), "ERR");
    }
}

/// More clients than descriptors: those beyond are turned away, and the program lives.
#[test]
fn out_of_descriptors_clients_are_turned_away() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target("ready")]);
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
        match server.opened_or(|| !client.quiet_for(Duration::from_millis(20))) {
            Some((_, mut conn)) => {
                conn.say(&format!("UP {number}"));
                assert_eq!(client.hear(), format!("UP {number}"));
                held.push((client, conn));
            }
            None => {
                assert!(client.hear().starts_with("BUSY"));
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
        client.say("SAY on");
        assert_eq!(conn.hear(), "SAY on");
    }
    // Slow ones that hold a descriptor each don't keep the next from being turned away at once.
    let _slow: Vec<Peer> = (0..4).map(|_| Peer::connect(proxy.addr)).collect();
    let at = Instant::now();
    assert!(proxy.open("watch").hear().starts_with("BUSY"));
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
