//! Upgrades: two real processes of the program, one address for clients, one directory.

mod common;

use std::io::{Read, Write};
use std::os::unix::net::{UnixListener, UnixStream};
use std::thread;
use std::time::{Duration, Instant};

use common::{ConnectionEnd, Discovery, LineConnection, Pingable, Proxy, Server, without_loads};
use serde_json::json;
use violetwind_service::handover::{self, Message, MessageDecoder};

fn managed(server: &Server) -> (Discovery, Proxy) {
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = Proxy::managed(&discovery, without_loads);
    // Its socket is there.
    proxy.logged("successors are awaited");
    (discovery, proxy)
}

fn wait_health(proxy: &Proxy) {
    proxy.logged("operators are heard");
    let until = Instant::now() + Duration::from_secs(6);
    while !proxy.call("HEALTH").starts_with("200") {
        assert!(Instant::now() < until, "never serves:\n{}", proxy.log());
        thread::sleep(Duration::from_millis(10));
    }
}

/// The old process has standing clients, one whose answer is out, one that has said half its line, and
/// some that lie in the queue; new ones come all the while. None is refused, cut off or left unread.
#[test]
fn no_client_meets_a_refusal_or_a_reset() {
    let server = Server::start("s-1");
    let (discovery, mut old) = managed(&server);
    let mut standing: Vec<(LineConnection, LineConnection)> =
        (0..10).map(|_| old.up(&server)).collect();
    let mut waits = old.open("book");
    let (_, mut answers_late) = server.next_open();
    let mut half = LineConnection::connect(old.addr);
    half.send_bytes(b"OPEN 00000000000000aa 7f3a9c21e0b4");
    let new = old.successor(discovery.addr);
    let mut met = vec![old.up(&server)];
    new.logged("operators are heard");
    let until = Instant::now() + Duration::from_secs(6);
    loop {
        met.push(old.up(&server));
        if new.call("HEALTH").starts_with("200") {
            break;
        }
        assert!(Instant::now() < until, "{}", new.log());
    }
    assert!(old.no("HEALTH").contains("successor"));
    old.signal("-TERM");
    let at = Instant::now();
    half.send_bytes(b"d655 c=watch,d=2000\r\n");
    let (_, mut of_half) = server.next_open();
    of_half.send_line("UP 5");
    assert_eq!(half.read_line(), "UP 5");
    answers_late.send_line("UP 7");
    assert_eq!(waits.read_line(), "UP 7");
    while old.alive() {
        met.push(new.up(&server));
        assert!(new.answers_ping());
        thread::sleep(Duration::from_millis(20));
    }
    assert!(old.ended().success());
    assert!(
        at.elapsed() < Duration::from_millis(2700),
        "{:?}",
        at.elapsed()
    );
    // Who was with the old process is with the new one, and knows nothing of it.
    let all = standing.iter_mut().chain(&mut met);
    for (client, conn) in all {
        talk(client, conn);
    }
    talk(&mut waits, &mut answers_late);
    talk(&mut half, &mut of_half);
    // And once more.
    let mut newest = new.successor(discovery.addr);
    wait_health(&newest);
    new.signal("-TERM");
    newest.up(&server);
    for (client, conn) in &mut standing {
        talk(client, conn);
    }
    // The newest moves them all when it is told to end: it has them in its books.
    newest.signal("-TERM");
    for (client, _conn) in standing.iter_mut().chain(&mut met) {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    }
    assert!(newest.ended().success());
}

/// A line goes both ways.
fn talk(client: &mut LineConnection, conn: &mut LineConnection) {
    client.send_line("SAY on");
    assert_eq!(conn.read_line(), "SAY on");
    conn.send_line("OK on");
    assert_eq!(client.read_line(), "OK on");
}

/// One within a line stays with the old process until the line is over; one that never ends it is moved.
#[test]
fn a_connection_within_a_line_follows_when_the_line_is_over() {
    let server = Server::start("s-1");
    let (discovery, mut old) = managed(&server);
    let mut pairs: Vec<(LineConnection, LineConnection)> =
        (0..3).map(|_| old.up(&server)).collect();
    let (client, conn) = &mut pairs[0];
    client.send_bytes(b"SAY ");
    assert_eq!(conn.read_bytes(4), b"SAY ");
    let (client, conn) = &mut pairs[1];
    conn.send_bytes(b"OK o");
    // Half a line stays here, or no word could follow should its end never come.
    assert!(client.is_quiet_for(Duration::from_millis(50)));
    let (client, conn) = &mut pairs[2];
    client.send_bytes(b"SAY never");
    assert_eq!(conn.read_bytes(9), b"SAY never");
    let new = old.successor(discovery.addr);
    wait_health(&new);
    old.signal("-TERM");
    let (client, conn) = &mut pairs[0];
    client.send_bytes(b"on\r\n");
    assert_eq!(conn.read_line(), "on");
    let (client, conn) = &mut pairs[1];
    conn.send_bytes(b"n\r\n");
    assert_eq!(client.read_line(), "OK on");
    assert_eq!(pairs[2].0.read_line(), "MOVE");
    assert!(old.ended().success());
    for (client, conn) in &mut pairs[..2] {
        talk(client, conn);
    }
}

/// Frames of a successor that is played by hand.
fn frames(messages: &[Message]) -> Vec<u8> {
    let limits = violetwind_service::Limits::default();
    let frame = |message| handover::encode_frame(message, &limits).unwrap();
    messages.iter().flat_map(frame).collect()
}

/// The successor has the sockets and dies before they are its own, or says that it does not take them: the
/// old process relays on, and nothing is relayed twice.
#[test]
fn a_connection_that_is_not_taken_over_stays() {
    let server = Server::start("s-1");
    for answer in [
        None,
        Some(Message::ConnectionDeclined(1)),
        Some(Message::ConnectionAccepted(7)),
    ] {
        let (_discovery, old) = managed(&server);
        let (mut client, mut conn) = old.up(&server);
        let mut stream = UnixStream::connect(old.dir().join("violetwind.sock")).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        stream
            .write_all(&frames(&[Message::Hello, Message::Serving]))
            .unwrap();
        let (mut messages, limits) = (
            MessageDecoder::default(),
            violetwind_service::Limits::default(),
        );
        let mut piece = [0; 512];
        loop {
            let got = stream.read(&mut piece).unwrap();
            messages.feed(&piece[..got]);
            let mut all = std::iter::from_fn(|| messages.next(&limits).unwrap());
            if all.any(|message| matches!(message, Message::ConnectionOffer(1, _))) {
                break;
            }
        }
        if let Some(answer) = &answer {
            let answer = std::slice::from_ref(answer);
            stream.write_all(&frames(answer)).unwrap();
        }
        client.send_line("SAY on");
        if answer != Some(Message::ConnectionDeclined(1)) {
            // Nothing is decided yet: the connection waits, and no line is lost once the other has gone.
            assert!(conn.is_quiet_for(Duration::from_millis(100)));
            drop(stream);
        }
        assert_eq!(conn.read_line(), "SAY on");
        conn.send_line("OK on");
        assert_eq!(client.read_line(), "OK on");
    }
}

/// A ban told to either binds both, before and after the new one serves, and so does its end.
#[test]
fn bans_and_leaving_hold_for_both_processes() {
    let servers = ["s-1", "s-2"].map(Server::start);
    let targets = servers.each_ref().map(|s| s.target_row("ready"));
    let discovery = Discovery::start(&targets);
    let old = Proxy::managed(&discovery, without_loads);
    old.logged("successors are awaited");
    old.yes("OFFLINE s-1");
    let new = old.successor(discovery.addr);
    wait_health(&new);
    assert!(new.yes("OFFLINE s-1").contains("already"));
    assert!(new.yes("ONLINE s-1").contains("in use"));
    assert!(old.yes("ONLINE s-1").contains("already"));
    assert!(old.yes("OFFLINE s-2").contains("is out"));
    assert!(new.yes("OFFLINE s-2").contains("already"));
    for _ in 0..5 {
        new.up(&servers[0]);
    }
    assert!(servers[1].no_pending_open());
    old.yes("LEAVE");
    assert!(!new.answers_ping());
    assert!(new.yes("HEALTH").contains("left"));
    new.yes("JOIN");
    assert!(new.answers_ping());
    old.signal("-KILL");
    new.logged("the earlier process has gone");
    assert!(new.yes("OFFLINE s-2").contains("already"));
}

/// A left proxy's successor is left too, until it is told otherwise.
#[test]
fn a_successor_of_a_left_proxy_is_left() {
    let server = Server::start("s-1");
    let (discovery, old) = managed(&server);
    old.yes("LEAVE");
    let new = old.successor(discovery.addr);
    wait_health(&new);
    assert!(!new.answers_ping());
    assert!(new.open("watch").read_line().starts_with("BUSY"));
    new.yes("JOIN");
    assert!(new.answers_ping());
    new.up(&server);
}

/// The file of the configuration is bad, or the new process is killed: the old one goes on as it was.
#[test]
fn a_successor_that_fails_leaves_the_old_one_as_it_was() {
    let server = Server::start("s-1");
    let (discovery, old) = managed(&server);
    let (mut client, mut conn) = old.up(&server);
    let good = old.config_text();
    let path = old.dir().join("config.json");
    std::fs::write(&path, good.replace("\"seed\"", "\"sead\"")).unwrap();
    let mut bad = old.successor(discovery.addr);
    assert!(!bad.ended().success());
    std::fs::write(&path, &good).unwrap();
    old.yes("HEALTH");
    // One that serves already and dies.
    let mut new = old.successor(discovery.addr);
    wait_health(&new);
    old.no("HEALTH");
    new.signal("-KILL");
    new.ended();
    old.logged("clients are served here again");
    old.yes("HEALTH");
    old.up(&server);
    assert!(old.answers_ping());
    // The old one can be succeeded again, and by one whose file has other settings, with a reload meanwhile.
    old.signal("-HUP");
    let again = old.successor(discovery.addr);
    wait_health(&again);
    again.logged("the earlier process has handed over");
    again.reload(|config| config["settings"]["permissions"]["max-attempts"] = json!(2));
    again.logged("settings=true");
    old.signal("-HUP");
    again.up(&server);
    // What it had taken over went with it.
    assert!(client.try_read_line().is_err());
    assert!(conn.try_read_line().is_err());
}

#[test]
fn an_old_process_killed_outright_takes_nothing_with_it_but_its_own() {
    let server = Server::start("s-1");
    let (discovery, mut old) = managed(&server);
    let (mut client, mut conn) = old.up(&server);
    let new = old.successor(discovery.addr);
    wait_health(&new);
    new.logged("connections were taken over count=1");
    old.signal("-KILL");
    old.ended();
    talk(&mut client, &mut conn);
    new.up(&server);
    assert!(new.answers_ping());
    new.yes("OFFLINE s-1");
}

/// What lies in the directory may be of anybody: half a message, noise, a socket nobody listens at, one
/// that says nothing.
#[test]
fn what_can_not_be_read_counts_as_nobody_there() {
    let server = Server::start("s-1");
    let (discovery, old) = managed(&server);
    let socket = old.dir().join("violetwind.sock");
    // Noise at the old one's socket keeps nobody waiting, and harms nothing.
    for noise in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"VWHO\x02",
        b"VWHO\x01\xff\xff\xff\xff",
        b"",
    ] {
        let mut stream = UnixStream::connect(&socket).unwrap();
        stream.write_all(noise).unwrap();
    }
    let _silent = UnixStream::connect(&socket).unwrap();
    let new = old.successor(discovery.addr);
    wait_health(&new);
    new.logged("the earlier process has handed over");
    drop(new);
    // The old one takes its place again, before others do.
    old.logged("clients are served here again");
    let until = Instant::now() + Duration::from_secs(5);
    while old.log().matches("successors are awaited").count() < 2 {
        assert!(Instant::now() < until);
        thread::sleep(Duration::from_millis(5));
    }
    // Stale, silent, or an ordinary file: each process listens by itself beside the old one.
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
        let alone = old.successor(discovery.addr);
        wait_health(&alone);
        alone.logged("nobody hands over");
    }
    old.yes("HEALTH");
}

/// Both together keep one limit on descriptors.
#[test]
fn both_processes_share_one_limit_on_descriptors() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let old = Proxy::managed(&discovery, |config| {
        without_loads(config);
        config["limits"]["sockets"] = json!(120);
    });
    old.logged("successors are awaited");
    let _held: Vec<(LineConnection, LineConnection)> = (0..10).map(|_| old.up(&server)).collect();
    let new = old.successor(discovery.addr);
    wait_health(&new);
    let mut pairs = Vec::new();
    loop {
        let mut client = new.open("watch");
        let came = server.next_open_unless(|| !client.is_quiet_for(Duration::from_millis(1)));
        let Some((_, mut conn)) = came else {
            assert_eq!(client.read_line(), "BUSY");
            break;
        };
        conn.send_line("UP 1");
        assert_eq!(client.read_line(), "UP 1");
        pairs.push((client, conn));
        assert!(old.descriptors() + new.descriptors() <= 120);
    }
}

/// Where Unix sockets can't be had there, the address is shared.
#[test]
fn without_a_way_between_them_both_listen() {
    let server = Server::start("s-1");
    let (discovery, old) = managed(&server);
    let socket = old.dir().join("violetwind.sock");
    std::fs::remove_file(&socket).unwrap();
    std::fs::create_dir(&socket).unwrap();
    std::fs::write(socket.join("x"), "").unwrap();
    let new = old.successor(discovery.addr);
    wait_health(&new);
    new.logged("no successor can be handed over to");
    for _ in 0..8 {
        old.up(&server);
    }
    old.signal("-TERM");
    wait_health(&new);
}
