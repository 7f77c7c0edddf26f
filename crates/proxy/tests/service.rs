//! The operators' address on sockets: calls, bans, leaving and coming back.

mod common;

use std::net::TcpStream;
use std::time::{Duration, Instant};

use common::{ConnectionEnd, Discovery, LineConnection, Pingable, Proxy, Server, without_loads};
use serde_json::json;

fn managed(servers: &[&Server]) -> (Discovery, Proxy) {
    let targets: Vec<_> = servers.iter().map(|s| s.target_row("ready")).collect();
    let discovery = Discovery::start(&targets);
    let proxy = Proxy::managed(&discovery, without_loads);
    (discovery, proxy)
}

#[test]
fn calls_are_answered_and_bad_ones_get_a_clear_no() {
    let server = Server::start("s-1");
    let (_discovery, proxy) = managed(&[&server]);
    assert!(proxy.yes("HEALTH").contains("1 servers"));
    for line in [
        "",
        "health",
        "OFFLINE",
        "OFFLINE nobody",
        "ONLINE nobody",
        "LEAVE now",
    ] {
        proxy.no(line);
    }
    let at = proxy.management.unwrap();
    // LF alone, pieces of one byte, and more behind the line.
    let mut caller = LineConnection::connect(at);
    for byte in b"HEALTH\nHEALTH\r\n" {
        caller.send_bytes(&[*byte]);
    }
    assert!(caller.read_line().starts_with("200 "));
    let mut caller = LineConnection::connect(at);
    caller.send_bytes(b"\xff\xfe\r\n");
    assert!(caller.read_line().starts_with("400 "));
    // A line without end is cut off.
    let mut caller = LineConnection::connect(at);
    caller.send_until_blocked(&vec![b'x'; 4 << 20], Duration::from_secs(2));
    assert!(matches!(
        caller.try_read_line(),
        Ok(_) | Err(ConnectionEnd::Reset)
    ));
    // The clients' address knows no calls.
    let mut client = LineConnection::connect(proxy.addr);
    client.send_line("HEALTH");
    assert_eq!(client.read_line(), "ERR");
}

/// Half a call and a close does nothing; neither do hundreds who say nothing keep the others waiting.
#[test]
fn silent_callers_and_half_calls_keep_nobody_waiting() {
    let server = Server::start("s-1");
    let (_discovery, proxy) = managed(&[&server]);
    let at = proxy.management.unwrap();
    let mut half = LineConnection::connect(at);
    half.send_bytes(b"LEAVE");
    half.half_close();
    assert!(half.try_read_line().is_err());
    let held: Vec<TcpStream> = (0..300).map(|_| TcpStream::connect(at).unwrap()).collect();
    for _ in 0..5 {
        let asked = Instant::now();
        proxy.yes("HEALTH");
        assert!(
            asked.elapsed() < Duration::from_secs(1),
            "{:?}",
            asked.elapsed()
        );
    }
    drop(held);
    assert!(proxy.answers_ping());
}

/// A proxy whose descriptors for requests are all taken answers its operators.
#[test]
fn a_full_proxy_answers_its_operators() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = Proxy::managed(&discovery, |config| {
        without_loads(config);
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
    proxy.yes("HEALTH");
    proxy.yes("OFFLINE s-1");
}

#[test]
fn a_banned_server_gets_nothing_until_it_is_called_back() {
    let servers = ["s-1", "s-2"].map(Server::start);
    let (discovery, proxy) = managed(&[&servers[0], &servers[1]]);
    proxy.yes("OFFLINE s-1");
    proxy.yes("OFFLINE s-1");
    // Discovery goes on calling it ready, drops it and lists it again.
    discovery.upsert_target(servers[0].target_row("ready"));
    discovery.remove_target("s-1");
    discovery.upsert_target(servers[0].target_row("ready"));
    for _ in 0..10 {
        proxy.up(&servers[1]);
    }
    assert!(servers[0].no_pending_open());
    proxy.yes("ONLINE s-1");
    let until = Instant::now() + Duration::from_secs(5);
    while servers[0].no_pending_open() {
        assert!(Instant::now() < until, "unused for 5 s");
        let mut client = proxy.open("watch");
        if let Some((_, mut conn)) = servers[1].next_open_unless(|| !servers[0].no_pending_open()) {
            conn.send_line("UP 2");
            assert_eq!(client.read_line(), "UP 2");
        } else {
            break;
        }
    }
}

/// What is on disk when the answer comes is what a process finds that starts there.
#[test]
fn a_ban_is_on_disk_with_the_yes_and_a_bad_file_counts_as_none() {
    let servers = ["s-1", "s-2"].map(Server::start);
    let (discovery, mut proxy) = managed(&[&servers[0], &servers[1]]);
    proxy.yes("OFFLINE s-1");
    proxy.signal("-KILL");
    proxy.ended();
    let second = proxy.successor(discovery.addr);
    second.wait_ready();
    assert!(second.yes("OFFLINE s-1").contains("already"));
    for _ in 0..5 {
        second.up(&servers[1]);
    }
    assert!(servers[0].no_pending_open());
    second.signal("-KILL");
    drop(second);
    let file = proxy.dir().join("violetwind.bans");
    let mut bytes = std::fs::read(&file).unwrap();
    bytes[12] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    let third = proxy.successor(discovery.addr);
    third.wait_ready();
    third.logged("bans of an earlier process can't be read");
    assert!(!third.yes("OFFLINE s-1").contains("already"));
}

#[test]
fn a_left_proxy_says_no_moves_all_and_comes_back_at_once() {
    let server = Server::start("s-1");
    let (_discovery, proxy) = managed(&[&server]);
    let mut pairs: Vec<(LineConnection, LineConnection)> =
        (0..20).map(|_| proxy.up(&server)).collect();
    let at = Instant::now();
    proxy.yes("LEAVE");
    assert!(!proxy.answers_ping());
    assert!(proxy.yes("HEALTH").contains("left"));
    // The front needs a moment: who comes until then is served, and moved with the others.
    pairs.push(proxy.up(&server));
    let mut moved = Vec::new();
    for (client, _conn) in pairs.iter_mut().rev() {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
        moved.push(at.elapsed());
    }
    let (first, last) = (moved[0], moved[moved.len() - 1]);
    assert!(last < Duration::from_millis(3900), "{last:?}");
    assert!(
        last - first > Duration::from_millis(1000),
        "{first:?} {last:?}"
    );
    // Turned away at once, and harmless to repeat.
    let asked = Instant::now();
    assert!(proxy.open("book").read_line().starts_with("BUSY"));
    assert!(asked.elapsed() < Duration::from_millis(500));
    proxy.yes("JOIN");
    assert!(proxy.answers_ping());
    proxy.up(&server);
}

#[test]
fn a_left_proxy_takes_signals_as_any_other() {
    let server = Server::start("s-1");
    let (_discovery, mut proxy) = managed(&[&server]);
    let (mut client, _conn) = proxy.up(&server);
    proxy.yes("LEAVE");
    proxy.signal("-HUP");
    proxy.logged("moved=false");
    assert!(!proxy.answers_ping());
    proxy.signal("-TERM");
    proxy.logged("told to end");
    proxy.no("JOIN");
    assert_eq!(client.read_line(), "MOVE");
    assert!(proxy.ended().success());
}
