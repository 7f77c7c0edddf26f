//! Races between two events, forced deterministically: the process is stopped while its peers cause both events, and
//! finds both when it continues. docs/design/crossings.md describes each test under its name.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::os::unix::net::UnixListener;
use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, DiscoveryMode, LineConnection, Proxy, Server, UnresponsiveHost,
    disable_load_reports, target_row,
};
use serde_json::{Value, json};

/// Turns off probes and load reports, so that every request is forwarded at once.
fn disable_probes_and_loads(config: &mut Value) {
    disable_load_reports(config);
    config["settings"]["permissions"]["probes"] = json!(false);
    config["settings"]["permissions"]["connect-timeout-s"] = json!(5.0);
}

fn start_proxy(discovery: &Discovery, change: impl FnOnce(&mut Value)) -> Proxy {
    let proxy = Proxy::launch(discovery.addr, |config| {
        disable_probes_and_loads(config);
        change(config);
    });
    proxy.wait_ready();
    proxy
}

/// Starts one server that the test plays, and a proxy that forwards every request to it at once.
fn start_with_one_server(change: impl FnOnce(&mut Value)) -> (Server, Discovery, Proxy) {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = start_proxy(&discovery, change);
    (server, discovery, proxy)
}

/// Returns all bytes that a server reads until the end of a connection.
fn read_all(mut stream: TcpStream) -> Vec<u8> {
    stream.set_read_timeout(Some(common::WAIT_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    // A reset ends the connection too.
    let _ = stream.read_to_end(&mut bytes);
    bytes
}

// Clients that disconnect.

/// The runtime reports the two events in random order, so the test uses eight clients.
#[test]
fn a_request_is_not_forwarded_when_its_client_leaves_as_the_dial_completes() {
    let slow_host = UnresponsiveHost::start();
    let discovery = Discovery::start(&[target_row("s-1", &slow_host.addr.to_string(), "ready")]);
    let proxy = start_proxy(&discovery, |_| {});
    let clients: Vec<LineConnection> = (0..8).map(|_| proxy.open_with("c=watch,d=6000")).collect();
    slow_host.wait_for_pending_connections(clients.len());
    proxy.stop_process();
    let streams: Vec<TcpStream> = clients
        .iter()
        .map(|_| slow_host.recover_and_accept())
        .collect();
    drop(clients);
    proxy.signal("-CONT");
    for stream in streams {
        let sent = read_all(stream);
        assert!(sent.is_empty(), "{:?}", String::from_utf8_lossy(&sent));
    }
}

/// A request with an idempotency token that may have run once is not repeated when the servers' deduplication window
/// ends during the second dial.
#[test]
fn a_repeat_is_not_sent_after_its_deduplication_window() {
    let (first, slow_host) = (Server::start("s-1"), UnresponsiveHost::start());
    let discovery = Discovery::start(&[first.target_row("ready")]);
    let proxy = start_proxy(&discovery, |config| {
        config["settings"]["request-classes"][0] = json!({"name": "watch", "idempotency": "token",
            "group": "all", "window-s": 0.6, "deadline-s": 6.0, "target-s": 0.4, "credit": 1.0});
    });
    let mut client = proxy.open_with("c=watch,d=6000");
    let (_, conn) = first.next_open();
    discovery.upsert_target(target_row("s-2", &slow_host.addr.to_string(), "ready"));
    proxy.wait_for_log("version=2 whole=false");
    // The server has read the whole line, so the request may have run.
    let closed_at = Instant::now();
    drop(conn);
    // The second dial stays pending until the deduplication window (0.6 s) is over, then completes.
    while closed_at.elapsed() < Duration::from_millis(700) {
        assert!(client.is_quiet_for(Duration::from_millis(10)));
    }
    assert_eq!(read_all(slow_host.recover_and_accept()), b"");
    assert!(client.read_line().starts_with("BUSY"));
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// The server is listed as draining while the dial to it is pending; a draining server must get no new request.
#[test]
fn a_server_that_drains_during_a_dial_gets_no_request() {
    let slow_host = UnresponsiveHost::start();
    let row = |state| target_row("s-1", &slow_host.addr.to_string(), state);
    let discovery = Discovery::start(&[row("ready")]);
    let proxy = start_proxy(&discovery, |_| {});
    let mut client = proxy.open_with("c=book,d=6000");
    slow_host.wait_for_pending_connections(1);
    discovery.upsert_target(row("draining"));
    proxy.wait_for_log("a server leaves");
    assert_eq!(read_all(slow_host.recover_and_accept()), b"");
    // The request never ran, so a retry is safe.
    assert!(client.read_line().starts_with("BUSY"));
}

// Last lines of servers.

#[test]
fn a_reset_right_behind_a_servers_lines_leaves_them_to_the_client() {
    let (server, _discovery, proxy) = start_with_one_server(|_| {});
    let mut client = proxy.open("watch");
    let (_, mut conn) = server.next_open();
    proxy.stop_process();
    conn.send_bytes(b"UP 1a2b\r\nOK one\r\n");
    conn.reset();
    proxy.signal("-CONT");
    assert_eq!(client.read_line(), "UP 1a2b");
    assert_eq!(client.read_line(), "OK one");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// The server closes with a client's line unread, so a reset follows its last line; that line must still reach the
/// client.
#[test]
fn a_servers_last_line_is_delivered_when_a_client_line_crosses_it() {
    let (server, _discovery, proxy) = start_with_one_server(|_| {});
    let (mut client, mut conn) = proxy.establish_connection(&server);
    client.send_line("SAY one");
    conn.wait_readable();
    proxy.stop_process();
    conn.send_line("BYE");
    drop(conn);
    client.send_line("SAY two");
    proxy.signal("-CONT");
    assert_eq!(client.read_line(), "BYE");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
}

/// Complete lines are forwarded and an incomplete one is held back, so that `MOVE` can be sent between lines.
#[test]
fn an_incomplete_line_of_a_hanging_server_is_held_back_for_a_move() {
    let (server, _discovery, mut proxy) = start_with_one_server(|_| {});
    let (mut client, mut conn) = proxy.establish_connection(&server);
    conn.send_bytes(b"OK one\r\nOK ha");
    assert_eq!(client.read_line(), "OK one");
    proxy.signal("-TERM");
    assert_eq!(client.read_line(), "MOVE");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    assert!(proxy.wait_for_exit().success());
}

/// After an invalid answer the request may have run, so it is not retried, and nothing of the answer is forwarded.
#[test]
fn an_invalid_answer_gives_the_client_an_error_without_a_retry() {
    let too_long = format!("UP {}\r\n", "a".repeat(5000));
    for invalid in [
        "UP\r\n",
        "UP \r\n",
        "UP 1a 2b\r\n",
        &too_long,
        "BUSY\r\nUP 1a2b\r\n",
    ] {
        let (server, discovery, proxy) = start_with_one_server(|_| {});
        let mut client = proxy.open("book");
        let (_, mut conn) = server.next_open();
        let other = Server::start("s-2");
        discovery.upsert_target(other.target_row("ready"));
        proxy.wait_for_log("version=2 whole=false");
        conn.send_bytes(invalid.as_bytes());
        assert_eq!(
            client.read_line(),
            "ERR",
            "{:?}",
            &invalid[..invalid.len().min(20)]
        );
        assert!(other.no_pending_open());
    }
}

/// Broken servers must not fill the log.
#[test]
fn invalid_answers_write_a_bounded_number_of_log_lines() {
    let (server, _discovery, proxy) = start_with_one_server(|_| {});
    let start = Instant::now();
    let mut invalid_answers = 0;
    while invalid_answers < 60 {
        let mut client = proxy.open("book");
        // When all attempts fail, the proxy rejects some requests without forwarding them.
        if let Some((_, mut conn)) =
            server.next_open_unless(|| !client.is_quiet_for(Duration::from_millis(2)))
        {
            conn.send_line("WHAT");
            invalid_answers += 1;
        }
        client.read_line();
    }
    let lines = proxy
        .log()
        .matches("a server's line that is unknown")
        .count();
    let allowed = 10 * (start.elapsed().as_secs() as usize + 2);
    assert!(
        lines >= 1 && lines <= allowed.min(59),
        "{lines} log lines, {allowed} allowed"
    );
}

/// The second of two answers to one probe must not be taken for the answer to the next probe.
#[test]
fn a_probe_answered_twice_is_followed_by_one_on_a_new_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    let discovery = Discovery::start(&[target_row("s-1", &addr, "ready")]);
    let proxy = Proxy::start(&discovery);
    let (mut first, _) = listener.accept().unwrap();
    let mut probe = [0; 7];
    first.read_exact(&mut probe).unwrap();
    assert_eq!(&probe, b"STATS\r\n");
    first.write_all(b"PONG x0=0.10\r\n").unwrap();
    // The second answer comes after the first was read, and long before the next probe.
    proxy.wait_for_log("list");
    proxy.wait_ready();
    first.write_all(b"PONG x0=3.00\r\n").unwrap();
    let (mut second, _) = listener.accept().unwrap();
    second.read_exact(&mut probe).unwrap();
    assert_eq!(&probe, b"STATS\r\n");
    assert_eq!(first.read(&mut probe).unwrap_or(0), 0);
}

// Shutdown.

/// The deadlines are shorter than shutdown times that used to be constants; SIGKILL comes 0.7 s after the longest
/// deadline.
#[test]
fn with_short_deadlines_all_clients_are_moved_before_sigkill() {
    let (server, _discovery, mut proxy) = start_with_one_server(|config| {
        for class in [0, 1] {
            config["settings"]["request-classes"][class]["deadline-s"] = json!(0.3);
            config["settings"]["request-classes"][class]["target-s"] = json!(0.1);
        }
    });
    let mut pairs: Vec<(LineConnection, LineConnection)> = (0..6)
        .map(|_| proxy.establish_connection(&server))
        .collect();
    // Each client waits for an answer, and a move waits for that answer too.
    for (client, conn) in &mut pairs {
        client.send_line("SAY one");
        assert_eq!(conn.read_line(), "SAY one");
    }
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    for (client, _) in &mut pairs {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    }
    assert!(proxy.wait_for_exit().success());
    assert!(
        signalled_at.elapsed() < Duration::from_millis(1000),
        "{:?}",
        signalled_at.elapsed()
    );
}

/// Idle connections may send a request at any time until the process ends, possibly to a server that hangs.
#[test]
fn late_requests_and_idle_connections_are_answered_during_shutdown() {
    let (server, _discovery, mut proxy) = start_with_one_server(|_| {});
    let connect_idle = || {
        let mut peer = LineConnection::connect(proxy.addr);
        peer.send_line("PING");
        assert_eq!(peer.read_line(), "PONG");
        peer
    };
    let (mut late_client, mut idle_client) = (connect_idle(), connect_idle());
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    proxy.wait_for_log("told to end");
    while signalled_at.elapsed() < Duration::from_millis(1200) {
        assert_eq!(ping(&mut idle_client), "PONG");
        std::thread::sleep(Duration::from_millis(50));
    }
    // The request's deadline is long after the end of the process.
    late_client.send_line("OPEN 0123456789abcdef 7f3a9c21e0b4d655 c=watch,d=2000");
    let (_, _unanswered) = server.next_open();
    assert!(late_client.read_line().starts_with("BUSY"));
    assert_eq!(late_client.expect_end(), ConnectionEnd::Closed);
    assert_eq!(idle_client.read_line(), "BUSY");
    assert_eq!(idle_client.expect_end(), ConnectionEnd::Closed);
    assert!(proxy.wait_for_exit().success());
    assert!(
        signalled_at.elapsed() < Duration::from_millis(2700),
        "{:?}",
        signalled_at.elapsed()
    );
}

fn ping(peer: &mut LineConnection) -> String {
    peer.send_line("PING");
    peer.read_line()
}

/// A signal that arrives while the process waits for an answer of its predecessor is handled; it used to kill the
/// process.
#[test]
fn a_signal_during_startup_is_handled_once_the_process_serves() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let old = Proxy::start_with_management(&discovery, |_| {});
    old.wait_for_log("successors are awaited");
    // Another listener replaces the predecessor's socket and never answers.
    let path = old.dir().join("violetwind.sock");
    std::fs::remove_file(&path).unwrap();
    let silent_listener = UnixListener::bind(&path).unwrap();
    let mut new = old.start_successor(discovery.addr);
    let _connection = silent_listener.accept().unwrap();
    new.signal("-TERM");
    assert!(new.wait_for_exit().success());
    new.wait_for_log("told to end");
}

/// The oldest connection is due to be closed in favour of the next one while its request is still unread, because the
/// listener's event is handled first. It must be served.
#[test]
fn a_connection_with_an_unread_request_keeps_its_slot() {
    let (server, _discovery, proxy) = start_with_one_server(|config| {
        config["limits"]["sockets"] = json!(64);
    });
    // Eight slots, of which one is reserved for the next connection.
    let mut silent: Vec<LineConnection> = (0..7)
        .map(|_| LineConnection::connect(proxy.addr))
        .collect();
    // Each of them may be closed once it is 25 ms old.
    assert!(silent[0].is_quiet_for(Duration::from_millis(60)));
    proxy.stop_process();
    let _next = [
        LineConnection::connect(proxy.addr),
        LineConnection::connect(proxy.addr),
    ];
    silent[0].send_line("OPEN 0123456789abcdef 7f3a9c21e0b4d655 c=watch,d=2000");
    proxy.signal("-CONT");
    server.next_open().1.send_line("UP 1a2b");
    assert_eq!(silent[0].read_line(), "UP 1a2b");
}

/// Clients that stay connected after their answer: the proxy lingers on each connection, but not while others need the
/// slot.
#[test]
fn lingering_connections_do_not_delay_new_clients() {
    let (server, _discovery, proxy) = start_with_one_server(|config| {
        config["limits"]["sockets"] = json!(64);
    });
    // Eight slots, of which one is reserved for the next connection.
    let mut bad_clients: Vec<LineConnection> = (0..7)
        .map(|_| LineConnection::connect(proxy.addr))
        .collect();
    bad_clients
        .iter_mut()
        .for_each(|peer| peer.send_line("HELLO"));
    let start = Instant::now();
    bad_clients
        .iter_mut()
        .for_each(|peer| assert_eq!(peer.read_line(), "ERR"));
    // Each new connection takes the reserved slot, and the next one needs another.
    let _in_reserved_slot = LineConnection::connect(proxy.addr);
    proxy.establish_connection(&server);
    assert!(
        start.elapsed() < Duration::from_millis(350),
        "{:?}",
        start.elapsed()
    );
}

// Lists.

/// Returns the `wait_ms` of the first watch.
fn first_watch_wait(discovery: &Discovery) -> Duration {
    let calls = discovery.wait_for_requests(2);
    let (_, wait) = calls[1].1.split_once("wait_ms=").expect("a watch");
    Duration::from_millis(wait.parse().unwrap())
}

/// Watches that stop being answered at the same time are reopened one after the other. When all proxies called again
/// together, discovery answered them in turn, the last ones only after drains had become binding.
#[test]
fn proxies_of_a_fleet_stagger_the_ends_of_their_watches() {
    let waits: Vec<Duration> = (0..4)
        .map(|me| {
            let server = Server::start("s-1");
            let discovery = Discovery::start(&[server.target_row("ready")]);
            let _proxy = start_proxy(&discovery, |config| {
                config["settings"]["fleet-size"] = json!(4);
                config["settings"]["me"] = json!(me);
                config["settings"]["rules"]["ask-within-s"] = json!(10.0);
            });
            first_watch_wait(&discovery)
        })
        .collect();
    for pair in waits.windows(2) {
        assert!(
            pair[1] >= pair[0] + Duration::from_millis(1500),
            "{waits:?}"
        );
    }
}

/// Starts proxies of a large fleet with an outdated list of their last run, in which a server that is now draining
/// is still listed as ready.
fn restart_proxies(discovery: &Discovery, server: &Server, count: u64) -> Vec<Proxy> {
    let start = |me| {
        Proxy::launch(discovery.addr, |config| {
            disable_probes_and_loads(config);
            config["settings"]["fleet-size"] = json!(300);
            config["settings"]["me"] = json!(me);
            config["settings"]["rules"]["ask-within-s"] = json!(10.0);
            config["known"] =
                json!({"rev": 1, "all": true, "targets": [server.target_row("ready")]});
        })
    };
    (0..count).map(start).collect()
}

/// A new process's first call to discovery used to be spread over up to 9.5 s, because others may start at the same
/// time. A drain announced while the process was down had become binding long before that.
#[test]
fn a_new_process_of_a_large_fleet_calls_discovery_before_old_drains_bind() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    discovery.upsert_target(server.target_row("draining"));
    let start = Instant::now();
    let proxies = restart_proxies(&discovery, &server, 8);
    for proxy in &proxies {
        proxy.wait_for_log("a server leaves");
    }
    // The limit is 2 s; the rest allows for eight processes that start on a busy machine.
    assert!(
        start.elapsed() < Duration::from_secs(4),
        "{:?}",
        start.elapsed()
    );
    let clients: Vec<LineConnection> = proxies.iter().map(|proxy| proxy.open("watch")).collect();
    for mut client in clients {
        assert!(client.read_line().starts_with("BUSY"));
    }
    assert!(server.no_pending_open());
}

/// Where lists are pushed, the agent's data counts as delivered from the start, and again once the agent is
/// reachable after a failure, so calls are not staggered.
#[test]
fn calls_are_not_staggered_where_lists_are_pushed() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    discovery.set_mode(DiscoveryMode::Refuses);
    let start = Instant::now();
    let _proxy = start_proxy(&discovery, |config| {
        config["settings"]["membership-mode"] = json!("pushed");
        config["settings"]["fleet-size"] = json!(300);
        config["known"] = json!({"rev": 1, "all": true, "targets": [server.target_row("ready")]});
    });
    let calls = discovery.wait_for_requests(8);
    let times: Vec<Duration> = calls.iter().map(|(called, _)| *called - start).collect();
    assert!(times[0] < Duration::from_secs(1), "{times:?}");
    for pair in times.windows(2) {
        assert!(pair[1] - pair[0] < Duration::from_millis(350), "{times:?}");
    }
}

// Settings.

#[test]
fn invalid_settings_are_rejected_as_a_whole_and_named() {
    let invalid: [(&str, Value); 6] = [
        ("/settings/rules/drain-grace-s", json!(-0.3)),
        ("/settings/request-classes/1/window-s", json!(-1)),
        ("/settings/prices/probe", json!(-0.1)),
        ("/settings/request-classes/1/name", json!("watch")),
        ("/settings/permissions/max-attempts", json!(0)),
        ("/settings/request-classes/0/deadline-s", json!(-2.0)),
    ];
    for (path, value) in invalid {
        let mut proxy = Proxy::launch(common::unused_addr(), |config| {
            config["settings"]["prices"] = json!({"probe": 0.0});
            config["settings"]["request-classes"][1]["window-s"] = json!(5.0);
            *config.pointer_mut(path).unwrap() = value;
        });
        assert!(!proxy.wait_for_exit().success(), "{path}");
        let keys: Vec<&str> = path.split('/').skip(2).collect();
        let expected_name = if path.ends_with("name") {
            "settings.request-classes.1".to_string()
        } else {
            format!("settings.{}", keys.join("."))
        };
        proxy.wait_for_log(&expected_name);
    }
}
