//! Two events in one moment, forced and not hoped for: the program is stopped while its peers do both, and goes on to
//! find both done. What each test is about stands in docs/design/crossings.md under its name.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixListener;
use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, DiscoveryMode, LineConnection, Proxy, Server, UnresponsiveHost,
    target_row, without_loads,
};
use serde_json::{Value, json};

/// Nobody is probed, and no load is told: every request is sent on at once.
fn plainly(config: &mut Value) {
    without_loads(config);
    config["settings"]["permissions"]["probes"] = json!(false);
    config["settings"]["permissions"]["connect-timeout-s"] = json!(5.0);
}

fn started(discovery: &Discovery, change: impl FnOnce(&mut Value)) -> Proxy {
    let proxy = Proxy::launch(discovery.addr, |config| {
        plainly(config);
        change(config);
    });
    proxy.wait_ready();
    proxy
}

/// One server that the test plays, and a proxy that sends everything there at once.
fn one_plain_server(change: impl FnOnce(&mut Value)) -> (Server, Discovery, Proxy) {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = started(&discovery, change);
    (server, discovery, proxy)
}

/// What a server reads until the end of a connection.
fn read_all(mut stream: TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(common::WAIT_TIMEOUT)).unwrap();
    let mut all = Vec::new();
    // A reset ends it too.
    let _ = stream.read_to_end(&mut all);
    all
}

// The client's leaving.

/// Which of the two the runtime tells first is chance, so there are eight of them.
#[test]
fn a_client_that_leaves_as_the_dial_comes_up_is_not_sent_on() {
    let late = UnresponsiveHost::start();
    let discovery = Discovery::start(&[target_row("s-1", &late.addr.to_string(), "ready")]);
    let proxy = started(&discovery, |_| {});
    let clients: Vec<LineConnection> = (0..8).map(|_| proxy.open_with("c=watch,d=6000")).collect();
    late.wait_for_dials(clients.len());
    proxy.stop();
    let dialled: Vec<TcpStream> = clients.iter().map(|_| late.recover_and_accept()).collect();
    drop(clients);
    proxy.signal("-CONT");
    for stream in dialled {
        let sent = read_all(stream);
        assert!(sent.is_empty(), "{:?}", String::from_utf8_lossy(&sent));
    }
}

/// A keyed request that may have run once: servers forget it while the second dial goes on.
#[test]
fn a_repeat_is_not_written_once_its_window_is_over() {
    let (first, late) = (Server::start("s-1"), UnresponsiveHost::start());
    let discovery = Discovery::start(&[first.target_row("ready")]);
    let proxy = started(&discovery, |config| {
        config["settings"]["request-classes"][0] = json!({"name": "watch", "idempotency": "token",
            "group": "all", "window-s": 0.6, "deadline-s": 6.0, "target-s": 0.4, "credit": 1.0});
    });
    let mut client = proxy.open_with("c=watch,d=6000");
    let (_, conn) = first.next_open();
    discovery.upsert_target(target_row("s-2", &late.addr.to_string(), "ready"));
    proxy.logged("version=2 whole=false");
    // It has read the whole line, so that the request may have run.
    let at = Instant::now();
    drop(conn);
    // The second dial is under way for as long as servers remember; then it comes up.
    while at.elapsed() < Duration::from_millis(700) {
        assert!(client.is_quiet_for(Duration::from_millis(10)));
    }
    assert_eq!(read_all(late.recover_and_accept()), b"");
    assert!(client.read_line().starts_with("BUSY"));
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// Its server is told to drain while the dial goes on: a server that drains is given nothing new.
#[test]
fn a_server_that_drains_as_the_dial_goes_on_is_sent_nothing() {
    let late = UnresponsiveHost::start();
    let row = |state| target_row("s-1", &late.addr.to_string(), state);
    let discovery = Discovery::start(&[row("ready")]);
    let proxy = started(&discovery, |_| {});
    let mut client = proxy.open_with("c=book,d=6000");
    late.wait_for_dials(1);
    discovery.upsert_target(row("draining"));
    proxy.logged("a server leaves");
    assert_eq!(read_all(late.recover_and_accept()), b"");
    // It never ran, so that trying again is harmless.
    assert!(client.read_line().starts_with("BUSY"));
}

// What servers say last.

#[test]
fn a_reset_right_behind_a_servers_lines_leaves_them_to_the_client() {
    let (server, _discovery, proxy) = one_plain_server(|_| {});
    let mut client = proxy.open("watch");
    let (_, mut conn) = server.next_open();
    proxy.stop();
    conn.send_bytes(b"UP 1a2b\r\nOK one\r\n");
    conn.reset();
    proxy.signal("-CONT");
    assert_eq!(client.read_line(), "UP 1a2b");
    assert_eq!(client.read_line(), "OK one");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// The server ends over a line that it has not read, so a reset follows its last word.
#[test]
fn a_line_that_crosses_the_last_word_does_not_cost_it() {
    let (server, _discovery, proxy) = one_plain_server(|_| {});
    let (mut client, mut conn) = proxy.up(&server);
    client.send_line("SAY one");
    conn.wait_readable();
    proxy.stop();
    conn.send_line("BYE");
    drop(conn);
    client.send_line("SAY two");
    proxy.signal("-CONT");
    assert_eq!(client.read_line(), "BYE");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// A line that is whole goes on, one whose end has not come stays.
#[test]
fn half_a_line_of_a_server_that_hangs_leaves_place_for_a_move() {
    let (server, _discovery, mut proxy) = one_plain_server(|_| {});
    let (mut client, mut conn) = proxy.up(&server);
    conn.send_bytes(b"OK one\r\nOK ha");
    assert_eq!(client.read_line(), "OK one");
    proxy.signal("-TERM");
    assert_eq!(client.read_line(), "MOVE");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    assert!(proxy.ended().success());
}

/// What no server may say: the request may have run, and nothing of it is passed on.
#[test]
fn an_answer_that_is_spoilt_is_an_error_of_its_own() {
    let long = format!("UP {}\r\n", "a".repeat(5000));
    for spoilt in [
        "UP\r\n",
        "UP \r\n",
        "UP 1a 2b\r\n",
        &long,
        "BUSY\r\nUP 1a2b\r\n",
    ] {
        let (server, discovery, proxy) = one_plain_server(|_| {});
        let mut client = proxy.open("book");
        let (_, mut conn) = server.next_open();
        let other = Server::start("s-2");
        discovery.upsert_target(other.target_row("ready"));
        proxy.logged("version=2 whole=false");
        conn.send_bytes(spoilt.as_bytes());
        assert_eq!(
            client.read_line(),
            "ERR",
            "{:?}",
            &spoilt[..spoilt.len().min(20)]
        );
        assert!(other.no_pending_open());
    }
}

/// Servers that are broken can't fill the log.
#[test]
fn spoilt_answers_cost_a_bounded_number_of_log_lines() {
    let (server, _discovery, proxy) = one_plain_server(|_| {});
    let at = Instant::now();
    let mut spoilt = 0;
    while spoilt < 60 {
        let mut client = proxy.open("book");
        // Where all fails, some are turned away unsent.
        if let Some((_, mut conn)) =
            server.next_open_unless(|| !client.is_quiet_for(Duration::from_millis(2)))
        {
            conn.send_line("WHAT");
            spoilt += 1;
        }
        client.read_line();
    }
    let lines = proxy
        .log()
        .matches("a server's line that is unknown")
        .count();
    let most = 10 * (at.elapsed().as_secs() as usize + 2);
    assert!(lines >= 1 && lines <= most.min(59), "{lines} of {most}");
}

/// The second of two answers to one probe is not the answer to the next.
#[test]
fn a_probe_that_was_answered_twice_is_followed_by_a_fresh_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap().to_string();
    let discovery = Discovery::start(&[target_row("s-1", &at, "ready")]);
    let proxy = Proxy::start(&discovery);
    let (mut first, _) = listener.accept().unwrap();
    let mut question = [0; 7];
    first.read_exact(&mut question).unwrap();
    assert_eq!(&question, b"STATS\r\n");
    first.write_all(b"PONG x0=0.10\r\n").unwrap();
    // It comes once the first has been read, and long before the next question.
    assert!(proxy.log().contains("list"));
    proxy.wait_ready();
    first.write_all(b"PONG x0=3.00\r\n").unwrap();
    let (mut second, _) = listener.accept().unwrap();
    second.read_exact(&mut question).unwrap();
    assert_eq!(&question, b"STATS\r\n");
    assert_eq!(first.read(&mut question).unwrap_or(0), 0);
}

// The end of the program.

/// Deadlines shorter than the times that stood as constants: SIGKILL comes 0.7 s after the longest.
#[test]
fn with_short_deadlines_all_are_moved_before_the_end() {
    let (server, _discovery, mut proxy) = one_plain_server(|config| {
        for class in [0, 1] {
            config["settings"]["request-classes"][class]["deadline-s"] = json!(0.3);
            config["settings"]["request-classes"][class]["target-s"] = json!(0.1);
        }
    });
    let mut pairs: Vec<(LineConnection, LineConnection)> =
        (0..6).map(|_| proxy.up(&server)).collect();
    // They wait for an answer, which a move waits for too.
    for (client, conn) in &mut pairs {
        client.send_line("SAY one");
        assert_eq!(conn.read_line(), "SAY one");
    }
    let at = Instant::now();
    proxy.signal("-TERM");
    for (client, _) in &mut pairs {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    }
    assert!(proxy.ended().success());
    assert!(
        at.elapsed() < Duration::from_millis(1000),
        "{:?}",
        at.elapsed()
    );
}

/// Connections that rest may ask at any time up to the end, and servers hang just then.
#[test]
fn who_asks_late_in_the_end_gets_an_answer_and_who_rests_is_told() {
    let (server, _discovery, mut proxy) = one_plain_server(|_| {});
    let rest = || {
        let mut peer = LineConnection::connect(proxy.addr);
        peer.send_line("PING");
        assert_eq!(peer.read_line(), "PONG");
        peer
    };
    let (mut late, mut resting) = (rest(), rest());
    let at = Instant::now();
    proxy.signal("-TERM");
    proxy.logged("told to end");
    while at.elapsed() < Duration::from_millis(1200) {
        assert_eq!(rest_ping(&mut resting), "PONG");
        std::thread::sleep(Duration::from_millis(50));
    }
    // Its time is over long after the program's.
    late.send_line("OPEN 0123456789abcdef 7f3a9c21e0b4d655 c=watch,d=2000");
    let (_, _hangs) = server.next_open();
    assert!(late.read_line().starts_with("BUSY"));
    assert_eq!(late.expect_end(), ConnectionEnd::Closed);
    assert_eq!(resting.read_line(), "BUSY");
    assert_eq!(resting.expect_end(), ConnectionEnd::Closed);
    assert!(proxy.ended().success());
    assert!(
        at.elapsed() < Duration::from_millis(2700),
        "{:?}",
        at.elapsed()
    );
}

fn rest_ping(peer: &mut LineConnection) -> String {
    peer.send_line("PING");
    peer.read_line()
}

/// A signal that comes while the program waits for an earlier one to answer used to kill it.
#[test]
fn a_signal_before_it_serves_is_heard_when_it_does() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let old = Proxy::managed(&discovery, |_| {});
    old.logged("successors are awaited");
    // Another takes its place in the directory, and says nothing to whoever comes.
    let path = old.dir().join("violetwind.sock");
    std::fs::remove_file(&path).unwrap();
    let mute = UnixListener::bind(&path).unwrap();
    let mut new = old.successor(discovery.addr);
    let _connection = mute.accept().unwrap();
    new.signal("-TERM");
    assert!(new.ended().success());
    new.logged("told to end");
}

/// The oldest connection is to go for the next one, and its request lies unread: the listener's news comes first.
#[test]
fn a_place_is_not_taken_from_one_whose_request_has_come() {
    let (server, _discovery, proxy) = one_plain_server(|config| {
        config["limits"]["sockets"] = json!(64);
    });
    // Eight places: one is kept for the next connection.
    let mut silent: Vec<LineConnection> = (0..7)
        .map(|_| LineConnection::connect(proxy.addr))
        .collect();
    // Each of them may be told to go from 25 ms on.
    assert!(silent[0].is_quiet_for(Duration::from_millis(60)));
    proxy.stop();
    let _next = [
        LineConnection::connect(proxy.addr),
        LineConnection::connect(proxy.addr),
    ];
    silent[0].send_line("OPEN 0123456789abcdef 7f3a9c21e0b4d655 c=watch,d=2000");
    proxy.signal("-CONT");
    server.next_open().1.send_line("UP 1a2b");
    assert_eq!(silent[0].read_line(), "UP 1a2b");
}

/// They have their answer and stay: the proxy lingers for each of them, but not while others wait for the place.
#[test]
fn who_lingers_behind_an_answer_keeps_nobody_waiting() {
    let (server, _discovery, proxy) = one_plain_server(|config| {
        config["limits"]["sockets"] = json!(64);
    });
    // Eight places: one is kept for the next connection.
    let mut bad: Vec<LineConnection> = (0..7)
        .map(|_| LineConnection::connect(proxy.addr))
        .collect();
    bad.iter_mut().for_each(|peer| peer.send_line("HELLO"));
    let at = Instant::now();
    bad.iter_mut()
        .for_each(|peer| assert_eq!(peer.read_line(), "ERR"));
    // Each takes the place that was kept, and the next needs another.
    let _kept = LineConnection::connect(proxy.addr);
    proxy.up(&server);
    assert!(
        at.elapsed() < Duration::from_millis(350),
        "{:?}",
        at.elapsed()
    );
}

// Lists.

fn waits(discovery: &Discovery) -> Duration {
    let calls = discovery.wait_for_requests(2);
    let (_, wait) = calls[1].1.split_once("wait_ms=").expect("a watch");
    Duration::from_millis(wait.parse().unwrap())
}

/// Watches that fall silent in one moment are opened anew one after the other: all proxies that came back together
/// were answered in turn, the last ones after drains counted as told.
#[test]
fn the_proxies_of_a_fleet_do_not_end_their_watches_together() {
    let waits: Vec<Duration> = (0..4)
        .map(|me| {
            let server = Server::start("s-1");
            let discovery = Discovery::start(&[server.target_row("ready")]);
            let _proxy = started(&discovery, |config| {
                config["settings"]["fleet-size"] = json!(4);
                config["settings"]["me"] = json!(me);
                config["settings"]["rules"]["ask-within-s"] = json!(10.0);
            });
            waits(&discovery)
        })
        .collect();
    for pair in waits.windows(2) {
        assert!(
            pair[1] >= pair[0] + Duration::from_millis(1500),
            "{waits:?}"
        );
    }
}

/// Proxies of a large fleet, with a list of their last run that is old, and a server that has drained since.
fn restarted(discovery: &Discovery, server: &Server, count: u64) -> Vec<Proxy> {
    let start = |me| {
        Proxy::launch(discovery.addr, |config| {
            plainly(config);
            config["settings"]["fleet-size"] = json!(300);
            config["settings"]["me"] = json!(me);
            config["settings"]["rules"]["ask-within-s"] = json!(10.0);
            config["known"] =
                json!({"rev": 1, "all": true, "targets": [server.target_row("ready")]});
        })
    };
    (0..count).map(start).collect()
}

/// The first call of a new process was spread over up to 9.5 s, as others start with it; a server that had drained
/// while it was away counted as told long before.
#[test]
fn a_new_process_of_a_large_fleet_asks_before_old_drains_bind() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    discovery.upsert_target(server.target_row("draining"));
    let at = Instant::now();
    let proxies = restarted(&discovery, &server, 8);
    for proxy in &proxies {
        proxy.logged("a server leaves");
    }
    // 2 s is the limit; the rest is for eight processes that start on a busy machine.
    assert!(at.elapsed() < Duration::from_secs(4), "{:?}", at.elapsed());
    let clients: Vec<LineConnection> = proxies.iter().map(|proxy| proxy.open("watch")).collect();
    for mut client in clients {
        assert!(client.read_line().starts_with("BUSY"));
    }
    assert!(server.no_pending_open());
}

/// Where lists are pushed, what the agent has counts as told from the first moment, and again from its return.
#[test]
fn where_lists_are_pushed_nobody_waits_for_a_turn() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    discovery.set_mode(DiscoveryMode::Refuses);
    let at = Instant::now();
    let _proxy = started(&discovery, |config| {
        config["settings"]["membership-mode"] = json!("pushed");
        config["settings"]["fleet-size"] = json!(300);
        config["known"] = json!({"rev": 1, "all": true, "targets": [server.target_row("ready")]});
    });
    let calls = discovery.wait_for_requests(8);
    let times: Vec<Duration> = calls.iter().map(|(called, _)| *called - at).collect();
    assert!(times[0] < Duration::from_secs(1), "{times:?}");
    for pair in times.windows(2) {
        assert!(pair[1] - pair[0] < Duration::from_millis(350), "{times:?}");
    }
}

// Settings.

#[test]
fn settings_that_make_no_sense_are_refused_whole_by_name() {
    let bad: [(&str, Value); 6] = [
        ("/settings/rules/drain-grace-s", json!(-0.3)),
        ("/settings/request-classes/1/window-s", json!(-1)),
        ("/settings/prices/probe", json!(-0.1)),
        ("/settings/request-classes/1/name", json!("watch")),
        ("/settings/permissions/max-attempts", json!(0)),
        ("/settings/request-classes/0/deadline-s", json!(-2.0)),
    ];
    for (path, value) in bad {
        let mut proxy = Proxy::launch(common::unused_addr(), |config| {
            config["settings"]["prices"] = json!({"probe": 0.0});
            config["settings"]["request-classes"][1]["window-s"] = json!(5.0);
            *config.pointer_mut(path).unwrap() = value;
        });
        assert!(!proxy.ended().success(), "{path}");
        let parts: Vec<&str> = path.split('/').skip(2).collect();
        let named = if path.ends_with("name") {
            "settings.request-classes.1".to_string()
        } else {
            format!("settings.{}", parts.join("."))
        };
        proxy.logged(&named);
    }
}
