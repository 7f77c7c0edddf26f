//! Upgrades with two real processes that share one client address and one directory.

mod common;

use std::io::Write;
use std::os::unix::net::{UnixListener, UnixStream};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, LineConnection, Pingable, PlayedSuccessor, Proxy, Server,
    disable_load_reports, wait_healthy,
};
use serde_json::json;
use violetwind_service::handover::Message;

/// Starts a managed proxy for one server and waits until it accepts successors.
fn start_managed(server: &Server) -> (Discovery, Proxy) {
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = Proxy::start_with_management(&discovery, disable_load_reports);
    // The handover socket exists from here on.
    proxy.wait_for_log("successors are awaited");
    (discovery, proxy)
}

/// The old process has established clients, one that waits for its answer, one that has sent half its line, and some in
/// the accept queue, while new ones keep arriving. None is refused, cut off or left unread.
#[test]
fn no_client_is_refused_or_reset_during_an_upgrade() {
    let server = Server::start("s-1");
    let (discovery, mut old) = start_managed(&server);
    let mut established: Vec<(LineConnection, LineConnection)> =
        (0..10).map(|_| old.establish_connection(&server)).collect();
    let mut waiting_client = old.open("book");
    let (_, mut late_conn) = server.next_open();
    let mut partial_client = LineConnection::connect(old.addr);
    partial_client.send_bytes(b"OPEN 00000000000000aa 7f3a9c21e0b4");
    let new = old.start_successor(discovery.addr);
    let mut newcomers = vec![old.establish_connection(&server)];
    new.wait_for_log("operators are heard");
    let until = Instant::now() + Duration::from_secs(6);
    loop {
        newcomers.push(old.establish_connection(&server));
        if new.call("HEALTH").starts_with("200") {
            break;
        }
        assert!(Instant::now() < until, "{}", new.log());
    }
    assert!(old.call_expecting_refusal("HEALTH").contains("successor"));
    old.signal("-TERM");
    let signalled_at = Instant::now();
    partial_client.send_bytes(b"d655 c=watch,d=2000\r\n");
    let (_, mut partial_conn) = server.next_open();
    partial_conn.send_line("UP 5");
    assert_eq!(partial_client.read_line(), "UP 5");
    late_conn.send_line("UP 7");
    assert_eq!(waiting_client.read_line(), "UP 7");
    while old.is_running() {
        newcomers.push(new.establish_connection(&server));
        assert!(new.answers_ping());
        thread::sleep(Duration::from_millis(20));
    }
    assert!(old.wait_for_exit().success());
    assert!(
        signalled_at.elapsed() < Duration::from_millis(2700),
        "{:?}",
        signalled_at.elapsed()
    );
    // The old process's clients are served by the new process without noticing it.
    let all_pairs = established.iter_mut().chain(&mut newcomers);
    for (client, conn) in all_pairs {
        assert_relayed(client, conn);
    }
    assert_relayed(&mut waiting_client, &mut late_conn);
    assert_relayed(&mut partial_client, &mut partial_conn);
    // A second upgrade.
    let mut newest = new.start_successor(discovery.addr);
    wait_healthy(&newest);
    new.signal("-TERM");
    newest.establish_connection(&server);
    for (client, conn) in &mut established {
        assert_relayed(client, conn);
    }
    // The newest process has all connections registered, so it moves them all on SIGTERM.
    newest.signal("-TERM");
    for (client, _conn) in established.iter_mut().chain(&mut newcomers) {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    }
    assert!(newest.wait_for_exit().success());
}

/// Sends a line in each direction and asserts that both arrive.
fn assert_relayed(client: &mut LineConnection, conn: &mut LineConnection) {
    client.send_line("SAY on");
    assert_eq!(conn.read_line(), "SAY on");
    conn.send_line("OK on");
    assert_eq!(client.read_line(), "OK on");
}

/// A connection with an incomplete line stays with the old process until the line is complete; if it never completes,
/// the client is moved.
#[test]
fn a_connection_within_a_line_is_handed_over_after_the_line() {
    let server = Server::start("s-1");
    let (discovery, mut old) = start_managed(&server);
    let mut pairs: Vec<(LineConnection, LineConnection)> =
        (0..3).map(|_| old.establish_connection(&server)).collect();
    let (client, conn) = &mut pairs[0];
    client.send_bytes(b"SAY ");
    assert_eq!(conn.read_bytes(4), b"SAY ");
    let (client, conn) = &mut pairs[1];
    conn.send_bytes(b"OK o");
    // Half a line is held back; otherwise no `MOVE` could be sent if the rest never came.
    assert!(client.is_quiet_for(Duration::from_millis(50)));
    let (client, conn) = &mut pairs[2];
    client.send_bytes(b"SAY never");
    assert_eq!(conn.read_bytes(9), b"SAY never");
    let new = old.start_successor(discovery.addr);
    wait_healthy(&new);
    old.signal("-TERM");
    let (client, conn) = &mut pairs[0];
    client.send_bytes(b"on\r\n");
    assert_eq!(conn.read_line(), "on");
    let (client, conn) = &mut pairs[1];
    conn.send_bytes(b"n\r\n");
    assert_eq!(client.read_line(), "OK on");
    assert_eq!(pairs[2].0.read_line(), "MOVE");
    assert!(old.wait_for_exit().success());
    for (client, conn) in &mut pairs[..2] {
        assert_relayed(client, conn);
    }
}

/// The successor receives the sockets and dies before it owns them, or declines them: the old process continues to
/// relay, and nothing is relayed twice.
#[test]
fn a_connection_that_is_not_taken_over_stays_with_the_old_process() {
    let server = Server::start("s-1");
    for answer in [
        None,
        Some(Message::ConnectionDeclined(1)),
        Some(Message::ConnectionAccepted(7)),
    ] {
        let (_discovery, old) = start_managed(&server);
        let (mut client, mut conn) = old.establish_connection(&server);
        let mut successor = PlayedSuccessor::connect(&old);
        successor.send(&Message::Serving);
        successor.read_until(|message| matches!(message, Message::ConnectionOffer(1, _)));
        if let Some(answer) = &answer {
            successor.send(answer);
        }
        client.send_line("SAY on");
        if answer != Some(Message::ConnectionDeclined(1)) {
            // The handover is still pending: the connection is paused, and no line is lost once the successor has gone.
            assert!(conn.is_quiet_for(Duration::from_millis(100)));
            drop(successor);
        }
        assert_eq!(conn.read_line(), "SAY on");
        conn.send_line("OK on");
        assert_eq!(client.read_line(), "OK on");
    }
}

/// Guards against clients that are cut off at the end of the old process: a relay that waited for the successor's answer
/// to its offer heeded no other command, and a successor that is held up answers late.
#[test]
fn a_connection_offered_to_a_silent_successor_is_moved_at_the_end() {
    let server = Server::start("s-1");
    let (_discovery, mut old) = start_managed(&server);
    let mut clients: Vec<(LineConnection, LineConnection)> =
        (0..8).map(|_| old.establish_connection(&server)).collect();
    let mut successor = PlayedSuccessor::connect(&old);
    successor.send(&Message::Serving);
    successor.read_until(|message| matches!(message, Message::ConnectionOffer(..)));
    // Lines are not held back for as long as the successor is silent.
    for (client, conn) in &mut clients {
        client.send_line("SAY on");
        let sent_at = Instant::now();
        assert_eq!(conn.read_line(), "SAY on");
        assert!(sent_at.elapsed() < Duration::from_secs(1));
        conn.send_line("OK on");
        assert_eq!(client.read_line(), "OK on");
    }
    old.signal("-TERM");
    for (client, conn) in &mut clients {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
        // The successor has copies of the sockets, which do not keep the connection open.
        assert_eq!(conn.expect_end(), ConnectionEnd::Closed);
    }
    assert!(old.wait_for_exit().success());
}

/// Guards against a connection that two processes have, or none: the successor answers an offer after the old process has
/// taken the connection back.
#[test]
fn an_offer_that_is_answered_late_leaves_the_connection_with_the_old_process() {
    let server = Server::start("s-1");
    let (_discovery, old) = start_managed(&server);
    let (mut client, mut conn) = old.establish_connection(&server);
    let mut successor = PlayedSuccessor::connect(&old);
    successor.send(&Message::Serving);
    successor.read_until(|message| matches!(message, Message::ConnectionOffer(1, _)));
    // Once a line is relayed, the offer has been withdrawn.
    client.send_line("SAY on");
    assert_eq!(conn.read_line(), "SAY on");
    successor.send(&Message::ConnectionAccepted(1));
    let answers = successor.read_until(|message| {
        matches!(
            message,
            Message::ConnectionTransferred(_) | Message::ConnectionDeclined(_)
        )
    });
    assert_eq!(answers.last(), Some(&Message::ConnectionDeclined(1)));
    conn.send_line("OK on");
    assert_eq!(client.read_line(), "OK on");
    drop(successor);
    assert_relayed(&mut client, &mut conn);
}

/// A ban or its end that is sent to either process applies to both, before and after the new one serves.
#[test]
fn bans_and_leave_apply_to_both_processes() {
    let servers = ["s-1", "s-2"].map(Server::start);
    let targets = servers.each_ref().map(|s| s.target_row("ready"));
    let discovery = Discovery::start(&targets);
    let old = Proxy::start_with_management(&discovery, disable_load_reports);
    old.wait_for_log("successors are awaited");
    old.call_expecting_ok("OFFLINE s-1");
    let new = old.start_successor(discovery.addr);
    wait_healthy(&new);
    assert!(new.call_expecting_ok("OFFLINE s-1").contains("already"));
    assert!(new.call_expecting_ok("ONLINE s-1").contains("in use"));
    assert!(old.call_expecting_ok("ONLINE s-1").contains("already"));
    assert!(old.call_expecting_ok("OFFLINE s-2").contains("is out"));
    assert!(new.call_expecting_ok("OFFLINE s-2").contains("already"));
    for _ in 0..5 {
        new.establish_connection(&servers[0]);
    }
    assert!(servers[1].no_pending_open());
    old.call_expecting_ok("LEAVE");
    assert!(!new.answers_ping());
    assert!(new.call_expecting_ok("HEALTH").contains("left"));
    new.call_expecting_ok("JOIN");
    assert!(new.answers_ping());
    old.signal("-KILL");
    new.wait_for_log("the earlier process has gone");
    assert!(new.call_expecting_ok("OFFLINE s-2").contains("already"));
}

/// Guards against a server that the other process goes on using: a ban that could not be written to disk was in force in
/// the process that got the call, and was not forwarded.
#[test]
fn a_ban_that_cannot_be_saved_applies_to_both_processes() {
    let servers = ["s-1", "s-2"].map(Server::start);
    let targets = servers.each_ref().map(|s| s.target_row("ready"));
    let discovery = Discovery::start(&targets);
    let old = Proxy::start_with_management(&discovery, disable_load_reports);
    old.wait_for_log("successors are awaited");
    let new = old.start_successor(discovery.addr);
    wait_healthy(&new);
    // No file replaces a directory.
    std::fs::create_dir(old.dir().join("violetwind.bans")).unwrap();
    assert!(old.call_expecting_refusal("OFFLINE s-2").contains("is out"));
    for _ in 0..5 {
        new.establish_connection(&servers[0]);
    }
    assert!(servers[1].no_pending_open());
    assert!(old.call_expecting_refusal("ONLINE s-2").contains("in use"));
    let refusal = new.call_expecting_refusal("ONLINE s-2");
    assert!(refusal.contains("in use already"), "{refusal}");
}

/// Guards against clients that stay on a proxy that operators have drained: the successor was told that the proxy had
/// left, not that its clients were still to be moved, and kept those that were handed over to it.
#[test]
fn clients_handed_over_after_leave_are_moved() {
    let server = Server::start("s-1");
    let (discovery, old) = start_managed(&server);
    let mut clients: Vec<(LineConnection, LineConnection)> =
        (0..5).map(|_| old.establish_connection(&server)).collect();
    old.call_expecting_ok("LEAVE");
    let left_at = Instant::now();
    let new = old.start_successor(discovery.addr);
    for (client, _conn) in &mut clients {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    }
    assert!(left_at.elapsed() < Duration::from_secs(4), "{}", new.log());
}

/// The successor of a proxy that has left has left too, until `JOIN`.
#[test]
fn a_successor_of_a_proxy_that_left_has_left_too() {
    let server = Server::start("s-1");
    let (discovery, old) = start_managed(&server);
    old.call_expecting_ok("LEAVE");
    let new = old.start_successor(discovery.addr);
    wait_healthy(&new);
    assert!(!new.answers_ping());
    assert!(new.open("watch").read_line().starts_with("BUSY"));
    new.call_expecting_ok("JOIN");
    assert!(new.answers_ping());
    new.establish_connection(&server);
}

/// When the configuration file is invalid or the new process is killed, the old process continues unchanged.
#[test]
fn a_failed_successor_leaves_the_old_process_unchanged() {
    let server = Server::start("s-1");
    let (discovery, old) = start_managed(&server);
    let (mut client, mut conn) = old.establish_connection(&server);
    let good = old.config_text();
    let path = old.dir().join("config.json");
    std::fs::write(&path, good.replace("\"seed\"", "\"sead\"")).unwrap();
    let mut bad = old.start_successor(discovery.addr);
    assert!(!bad.wait_for_exit().success());
    std::fs::write(&path, &good).unwrap();
    old.call_expecting_ok("HEALTH");
    // A successor that is killed after it has started to serve.
    let mut new = old.start_successor(discovery.addr);
    wait_healthy(&new);
    old.call_expecting_refusal("HEALTH");
    new.signal("-KILL");
    new.wait_for_exit();
    old.wait_for_log("clients are served here again");
    old.call_expecting_ok("HEALTH");
    old.establish_connection(&server);
    assert!(old.answers_ping());
    // The old process can be succeeded again, also by a process with other settings, and with a reload meanwhile.
    old.signal("-HUP");
    let again = old.start_successor(discovery.addr);
    wait_healthy(&again);
    again.wait_for_log("the earlier process has handed over");
    again.reload(|config| config["settings"]["permissions"]["max-attempts"] = json!(2));
    again.wait_for_log("settings=true");
    old.signal("-HUP");
    again.establish_connection(&server);
    // Connections that the killed successor had taken over are lost with it.
    assert!(client.try_read_line().is_err());
    assert!(conn.try_read_line().is_err());
}

#[test]
fn killing_the_old_process_does_not_affect_handed_over_connections() {
    let server = Server::start("s-1");
    let (discovery, mut old) = start_managed(&server);
    let (mut client, mut conn) = old.establish_connection(&server);
    let new = old.start_successor(discovery.addr);
    wait_healthy(&new);
    new.wait_for_log("connections were taken over count=1");
    old.signal("-KILL");
    old.wait_for_exit();
    assert_relayed(&mut client, &mut conn);
    new.establish_connection(&server);
    assert!(new.answers_ping());
    new.call_expecting_ok("OFFLINE s-1");
}

/// The directory may hold anything: half a message, invalid bytes, a socket without a listener, a listener that never
/// answers.
#[test]
fn unreadable_handover_peers_are_treated_as_absent() {
    let server = Server::start("s-1");
    let (discovery, old) = start_managed(&server);
    let socket = old.dir().join("violetwind.sock");
    // Invalid bytes at the old process's socket neither block others nor do any harm.
    for invalid_bytes in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"VWHO\x02",
        b"VWHO\x01\xff\xff\xff\xff",
        b"",
    ] {
        let mut stream = UnixStream::connect(&socket).unwrap();
        stream.write_all(invalid_bytes).unwrap();
    }
    let _silent = UnixStream::connect(&socket).unwrap();
    let new = old.start_successor(discovery.addr);
    wait_healthy(&new);
    new.wait_for_log("the earlier process has handed over");
    drop(new);
    // The old process serves again before further successors start.
    old.wait_for_log("clients are served here again");
    let until = Instant::now() + Duration::from_secs(5);
    while old.log().matches("successors are awaited").count() < 2 {
        assert!(Instant::now() < until);
        thread::sleep(Duration::from_millis(5));
    }
    // Stale socket, silent listener, or regular file: each new process listens on its own next to the old one.
    let quiet = old.dir().join("quiet");
    let kinds: [&dyn Fn(); 3] = [
        &|| drop(UnixListener::bind(&socket).unwrap()),
        &|| std::mem::forget(UnixListener::bind(&socket).unwrap()),
        &|| std::fs::write(&socket, "text").unwrap(),
    ];
    for kind in kinds {
        let _ = std::fs::remove_file(&socket);
        let _ = std::fs::remove_file(&quiet);
        kind();
        let alone = old.start_successor(discovery.addr);
        wait_healthy(&alone);
        alone.wait_for_log("nobody hands over");
    }
    old.call_expecting_ok("HEALTH");
}

/// The descriptors of both processes together stay within one limit.
#[test]
fn both_processes_share_one_limit_on_descriptors() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let old = Proxy::start_with_management(&discovery, |config| {
        disable_load_reports(config);
        config["limits"]["sockets"] = json!(120);
    });
    old.wait_for_log("successors are awaited");
    let _held: Vec<(LineConnection, LineConnection)> =
        (0..10).map(|_| old.establish_connection(&server)).collect();
    let new = old.start_successor(discovery.addr);
    wait_healthy(&new);
    let mut pairs = Vec::new();
    loop {
        let mut client = new.open("watch");
        let opened = server.next_open_unless(|| !client.is_quiet_for(Duration::from_millis(1)));
        let Some((_, mut conn)) = opened else {
            assert_eq!(client.read_line(), "BUSY");
            break;
        };
        conn.send_line("UP 1");
        assert_eq!(client.read_line(), "UP 1");
        pairs.push((client, conn));
        assert!(old.descriptor_count() + new.descriptor_count() <= 120);
    }
}

/// Where no Unix socket can be created in the directory, both processes share the address.
#[test]
fn without_a_handover_socket_both_processes_listen() {
    let server = Server::start("s-1");
    let (discovery, old) = start_managed(&server);
    let socket = old.dir().join("violetwind.sock");
    std::fs::remove_file(&socket).unwrap();
    std::fs::create_dir(&socket).unwrap();
    std::fs::write(socket.join("x"), "").unwrap();
    let new = old.start_successor(discovery.addr);
    wait_healthy(&new);
    new.wait_for_log("no successor can be handed over to");
    for _ in 0..8 {
        old.establish_connection(&server);
    }
    old.signal("-TERM");
    wait_healthy(&new);
}
