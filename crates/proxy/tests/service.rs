//! The operators' address over sockets: calls, bans, `LEAVE` and `JOIN`.

mod common;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, LineConnection, Pingable, Proxy, Server, disable_load_reports,
};
use serde_json::json;

/// Starts a managed proxy for the given servers.
fn start_managed(servers: &[&Server]) -> (Discovery, Proxy) {
    let targets: Vec<_> = servers.iter().map(|s| s.target_row("ready")).collect();
    let discovery = Discovery::start(&targets);
    let proxy = Proxy::start_with_management(&discovery, disable_load_reports);
    (discovery, proxy)
}

#[test]
fn calls_are_answered_and_invalid_ones_rejected() {
    let server = Server::start("s-1");
    let (_discovery, proxy) = start_managed(&[&server]);
    assert!(proxy.call_expecting_ok("HEALTH").contains("1 servers"));
    for line in [
        "",
        "health",
        "OFFLINE",
        "OFFLINE nobody",
        "ONLINE nobody",
        "LEAVE now",
    ] {
        proxy.call_expecting_refusal(line);
    }
    let addr = proxy.management.unwrap();
    // A line that ends with LF alone, sent byte by byte, with more bytes after it.
    let mut caller = LineConnection::connect(addr);
    for byte in b"HEALTH\nHEALTH\r\n" {
        caller.send_bytes(&[*byte]);
    }
    assert!(caller.read_line().starts_with("200 "));
    let mut caller = LineConnection::connect(addr);
    caller.send_bytes(b"\xff\xfe\r\n");
    assert!(caller.read_line().starts_with("400 "));
    // An endless line is cut off.
    let mut caller = LineConnection::connect(addr);
    caller.send_until_blocked(&vec![b'x'; 4 << 20], Duration::from_secs(2));
    assert!(matches!(
        caller.try_read_line(),
        Ok(_) | Err(ConnectionEnd::Reset)
    ));
    // The clients' address accepts no operator calls.
    let mut client = LineConnection::connect(proxy.addr);
    client.send_line("HEALTH");
    assert_eq!(client.read_line(), "ERR");
}

/// Half a call followed by a close has no effect, and hundreds of silent connections do not delay other calls.
#[test]
fn silent_and_partial_calls_do_not_delay_others() {
    let server = Server::start("s-1");
    let (_discovery, proxy) = start_managed(&[&server]);
    let addr = proxy.management.unwrap();
    let mut partial_caller = LineConnection::connect(addr);
    partial_caller.send_bytes(b"LEAVE");
    partial_caller.half_close();
    assert!(partial_caller.try_read_line().is_err());
    let silent: Vec<TcpStream> = (0..300)
        .map(|_| TcpStream::connect(addr).unwrap())
        .collect();
    for _ in 0..5 {
        let called_at = Instant::now();
        proxy.call_expecting_ok("HEALTH");
        assert!(
            called_at.elapsed() < Duration::from_secs(1),
            "{:?}",
            called_at.elapsed()
        );
    }
    drop(silent);
    assert!(proxy.answers_ping());
}

/// A proxy whose descriptors for requests are all in use still answers its operators.
#[test]
fn a_full_proxy_answers_its_operators() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = Proxy::start_with_management(&discovery, |config| {
        disable_load_reports(config);
        config["limits"]["sockets"] = json!(80);
    });
    let mut pairs = Vec::new();
    loop {
        let mut client = proxy.open("watch");
        match server.next_open_unless(|| !client.is_quiet_for(Duration::from_millis(1))) {
            Some((_, mut conn)) => {
                conn.send_line("UP 1");
                assert_eq!(client.read_line(), "UP 1");
                pairs.push((client, conn));
            }
            None => break assert_eq!(client.read_line(), "BUSY"),
        }
    }
    proxy.call_expecting_ok("HEALTH");
    proxy.call_expecting_ok("OFFLINE s-1");
}

#[test]
fn a_banned_server_gets_no_request_until_the_ban_is_lifted() {
    let servers = ["s-1", "s-2"].map(Server::start);
    let (discovery, proxy) = start_managed(&[&servers[0], &servers[1]]);
    proxy.call_expecting_ok("OFFLINE s-1");
    proxy.call_expecting_ok("OFFLINE s-1");
    // Discovery lists the server as ready again, removes it and lists it once more.
    discovery.upsert_target(servers[0].target_row("ready"));
    discovery.remove_target("s-1");
    discovery.upsert_target(servers[0].target_row("ready"));
    for _ in 0..10 {
        proxy.establish_connection(&servers[1]);
    }
    assert!(servers[0].no_pending_open());
    proxy.call_expecting_ok("ONLINE s-1");
    let until = Instant::now() + Duration::from_secs(5);
    while servers[0].no_pending_open() {
        assert!(Instant::now() < until, "the server got no request for 5 s");
        let mut client = proxy.open("watch");
        if let Some((_, mut conn)) = servers[1].next_open_unless(|| !servers[0].no_pending_open()) {
            conn.send_line("UP 2");
            assert_eq!(client.read_line(), "UP 2");
        } else {
            break;
        }
    }
}

/// A ban is on disk by the time its call is answered, so that a process started in the same directory applies it.
#[test]
fn a_ban_is_persisted_before_the_answer_and_a_corrupt_file_is_ignored() {
    let servers = ["s-1", "s-2"].map(Server::start);
    let (discovery, mut proxy) = start_managed(&[&servers[0], &servers[1]]);
    proxy.call_expecting_ok("OFFLINE s-1");
    proxy.signal("-KILL");
    proxy.wait_for_exit();
    let second = proxy.start_successor(discovery.addr);
    second.wait_ready();
    assert!(second.call_expecting_ok("OFFLINE s-1").contains("already"));
    for _ in 0..5 {
        second.establish_connection(&servers[1]);
    }
    assert!(servers[0].no_pending_open());
    second.signal("-KILL");
    drop(second);
    let file = proxy.dir().join("violetwind.bans");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[12] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    let third = proxy.start_successor(discovery.addr);
    third.wait_ready();
    third.wait_for_log("bans of an earlier process can't be read");
    assert!(!third.call_expecting_ok("OFFLINE s-1").contains("already"));
}

#[test]
fn a_proxy_that_left_rejects_and_moves_clients_and_rejoins_at_once() {
    let server = Server::start("s-1");
    let (_discovery, proxy) = start_managed(&[&server]);
    let mut pairs: Vec<(LineConnection, LineConnection)> = (0..20)
        .map(|_| proxy.establish_connection(&server))
        .collect();
    let left_at = Instant::now();
    proxy.call_expecting_ok("LEAVE");
    assert!(!proxy.answers_ping());
    assert!(proxy.call_expecting_ok("HEALTH").contains("left"));
    // The front load balancer reacts with a delay: clients that arrive until then are served, and moved with the
    // others.
    pairs.push(proxy.establish_connection(&server));
    let mut moved = Vec::new();
    for (client, _conn) in pairs.iter_mut().rev() {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
        moved.push(left_at.elapsed());
    }
    let (first, last) = (moved[0], moved[moved.len() - 1]);
    assert!(last < Duration::from_millis(3900), "{last:?}");
    assert!(
        last - first > Duration::from_millis(1000),
        "{first:?} {last:?}"
    );
    // New clients are rejected at once with an answer that makes a retry safe.
    let sent_at = Instant::now();
    assert!(proxy.open("book").read_line().starts_with("BUSY"));
    assert!(sent_at.elapsed() < Duration::from_millis(500));
    proxy.call_expecting_ok("JOIN");
    assert!(proxy.answers_ping());
    proxy.establish_connection(&server);
}

#[test]
fn a_proxy_that_left_still_handles_signals() {
    let server = Server::start("s-1");
    let (_discovery, mut proxy) = start_managed(&[&server]);
    let (mut client, _conn) = proxy.establish_connection(&server);
    proxy.call_expecting_ok("LEAVE");
    proxy.signal("-HUP");
    proxy.wait_for_log("moved=false");
    assert!(!proxy.answers_ping());
    proxy.signal("-TERM");
    proxy.wait_for_log("told to end");
    proxy.call_expecting_refusal("JOIN");
    assert_eq!(client.read_line(), "MOVE");
    assert!(proxy.wait_for_exit().success());
}
