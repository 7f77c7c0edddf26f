//! Clients that send what no usual client sends, or nothing: each gets an answer or a close in time,
//! no server hears of it, and usual clients are served meanwhile.

mod common;

use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, LineConnection, Pingable, Proxy, Server, one_server, without_loads,
};
use serde_json::json;

/// A bad client is owed an answer or a close so long after it connected.
const OWED: Duration = Duration::from_secs(3);

/// One server and a proxy with so many descriptors.
fn one_server_with(sockets: u64) -> (Server, Discovery, Proxy) {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = Proxy::launch(discovery.addr, |config| {
        config["limits"]["sockets"] = json!(sockets);
        config["limits"]["memory_mb"] = json!(32);
        without_loads(config);
    });
    proxy.wait_ready();
    (server, discovery, proxy)
}

/// Sends bytes as they are; what comes back must be `ERR` and the end, or the end alone.
fn turned_away(proxy: &Proxy, bytes: &[u8]) {
    let shown = String::from_utf8_lossy(&bytes[..bytes.len().min(60)]).into_owned();
    let at = Instant::now();
    let mut client = LineConnection::connect(proxy.addr);
    client.send_until_blocked(bytes, Duration::from_secs(1));
    let mut answer = client.try_read_line();
    if answer.is_ok() {
        assert_eq!(answer.as_deref(), Ok("ERR"), "{shown}");
        answer = client.try_read_line();
    }
    assert!(answer.is_err(), "{shown}: {answer:?}");
    assert!(at.elapsed() < OWED, "{shown}: {:?}", at.elapsed());
}

#[test]
fn what_no_usual_client_sends_is_turned_away_and_reaches_no_server() {
    let (server, _discovery, proxy) = one_server();
    let many: String = (0..40).map(|n| format!(",x{n}=1")).collect();
    let lines = [
        "frob 9b1f".into(),
        "OPEN".into(),
        "OPEN 9b1f03aa5c7e2d41".into(),
        "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655".into(),
        "OPEN 7f3a9c21e0b4d655 c=watch,d=2000".into(),
        "OPEN  7f3a9c21e0b4d655 c=watch,d=2000".into(),
        "OPEN 9b1f 7f3a d=2000".into(),
        "OPEN 9b1f 7f3a c=watches,d=2000".into(),
        "OPEN 9b1f 7f3a c=,d=2000".into(),
        "OPEN 9b1f 7f3a c=watch,d=-5".into(),
        "OPEN 9b1f 7f3a c=watch,d=99999999999999999999999".into(),
        "OPEN 9b1f 7f3a c=watch,d=soon".into(),
        "OPEN 9b1f 7f3a c=watch,d=".into(),
        "OPEN 9b1f 7f3a c=watch,d=inf".into(),
        "OPEN 9b1f 7f3a c=watch,d=NaN".into(),
        "OPEN 9b1f 7f3a c=watch,d=2000,h=-1".into(),
        "OPEN 9b1f 7f3a c=watch,d=2000,c=book".into(),
        format!("OPEN 9b1f 7f3a c=watch,d=2000{many}"),
    ];
    for line in lines {
        turned_away(&proxy, format!("{line}\r\n").as_bytes());
    }
    turned_away(&proxy, &[0, 255, 254, b'\n']);
    turned_away(&proxy, &[b'x'; 5000]);
    assert!(server.no_pending_open());
    proxy.up(&server);
}

/// The forms that usual clients were seen to send, and what else the protocol lets them.
#[test]
fn no_usual_client_is_turned_away_for_its_form() {
    let (server, _discovery, proxy) = one_server();
    let forms = [
        "c=watch,d=1999,g=0001978608a86f0b",
        "c=watch,d=1999,r=1,g=0001978608a86f0b,again=1",
        "c=watch,d=4294967,g=000e7fa4e7a87565,at=s-1",
        "c=watch",
        "c=watch,d=1500.5,h=0.25,t=who,size=12,flag",
    ];
    for (number, fields) in forms.into_iter().enumerate() {
        let mut client = LineConnection::connect(proxy.addr);
        client.send_line(&format!(
            "OPEN 9b1f03aa5c7e2d4{number} 7f3a9c21e0b4d655 {fields}"
        ));
        let (_, mut conn) = server.next_open();
        conn.send_line("UP 1");
        assert_eq!(client.read_line(), "UP 1", "{fields}");
    }
}

#[test]
fn half_a_line_and_an_end_is_turned_away() {
    let (server, _discovery, proxy) = one_server();
    let mut client = LineConnection::connect(proxy.addr);
    client.send_bytes(b"OPEN 9b1f 7f3a c=watch,d=20");
    client.half_close();
    assert_eq!(client.read_line(), "ERR");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    assert!(server.no_pending_open());
}

/// Servers turn a second one away, each in its turn, and to the module all of them seemed to fail.
#[test]
fn the_id_of_an_open_request_is_taken_until_that_ends() {
    let (server, _discovery, proxy) = one_server();
    let mut waiting = proxy.open("watch");
    let (_, mut conn) = server.next_open();
    let line = b"OPEN 9b1f03aa5c7e2d41 0000000000000000 c=watch,d=2000\r\n";
    turned_away(&proxy, line);
    conn.send_line("UP 1");
    assert_eq!(waiting.read_line(), "UP 1");
    turned_away(&proxy, line);
    assert!(server.no_pending_open());
    waiting.send_line("SAY on");
    assert_eq!(conn.read_line(), "SAY on");
    conn.send_line("BYE");
    drop(conn);
    assert_eq!(waiting.read_line(), "BYE");
    assert_eq!(waiting.expect_end(), ConnectionEnd::Closed);
    drop(waiting);
    // Free again, as soon as the proxy has seen the end.
    let until = Instant::now() + Duration::from_secs(5);
    loop {
        assert!(Instant::now() < until, "never free");
        let mut client = LineConnection::connect(proxy.addr);
        client.send_bytes(line);
        let answered = || !client.is_quiet_for(Duration::from_millis(1));
        if server.next_open_unless(answered).is_some() {
            return;
        }
    }
}

/// Usual clients wait for the answer; hundreds of commands at once are none of theirs.
#[test]
fn who_sends_on_before_the_answer_is_not_served() {
    let (server, _discovery, proxy) = one_server();
    let line = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=watch,d=2000\r\n";
    turned_away(&proxy, line.repeat(300).as_bytes());
    turned_away(&proxy, "PING\r\n".repeat(300).as_bytes());
    turned_away(&proxy, format!("PING\r\n{line}").as_bytes());
    assert!(server.no_pending_open());
    // Also one that comes once a server has the request.
    let mut client = proxy.open("watch");
    let (_, mut conn) = server.next_open();
    client.send_line("SAY early");
    assert_eq!(client.read_line(), "ERR");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    assert!(matches!(
        conn.try_read_line(),
        Err(ConnectionEnd::Closed | ConnectionEnd::Reset)
    ));
}

/// It is owed an answer within 3 s of connecting, however slowly its bytes come.
#[test]
fn a_line_that_never_ends_is_answered_in_time() {
    let (_server, _discovery, proxy) = one_server();
    let at = Instant::now();
    let mut client = LineConnection::connect(proxy.addr);
    client.send_bytes(b"OPEN 9b1f");
    while client.is_quiet_for(Duration::from_millis(200)) {
        client.send_bytes(b"0");
    }
    assert_eq!(client.read_line(), "ERR");
    assert!(at.elapsed() < OWED, "{:?}", at.elapsed());
}

/// What is read of one who sends without end is bounded, in time, in bytes and in memory.
#[test]
fn a_value_of_many_megabytes_is_cut_off() {
    let (_server, _discovery, proxy) = one_server_with(256);
    let huge = [b"OPEN 9b1f 7f3a c=".as_slice(), &vec![b'x'; 60 << 20]].concat();
    let at = Instant::now();
    let mut client = LineConnection::connect(proxy.addr);
    let sent = client.send_until_blocked(&huge, Duration::from_secs(2));
    assert!(sent < huge.len(), "all was read");
    assert!(at.elapsed() < OWED, "{:?}", at.elapsed());
    assert!(proxy.memory_kib() < 24 << 10, "{}", proxy.memory_kib());
}

/// Hundreds that say nothing, or ask once and stay, while a third of the descriptors serve requests.
#[test]
fn floods_of_silent_connections_leave_room_for_usual_clients() {
    let (server, _discovery, mut proxy) = one_server_with(256);
    let mut pairs = Vec::new();
    let mut crowd = Vec::new();
    for turn in 0..85 {
        for number in 0..8 {
            let mut silent = LineConnection::connect(proxy.addr);
            if number % 2 == 0 {
                silent.send_line("PING");
            }
            crowd.push(silent);
        }
        let at = Instant::now();
        let mut client = LineConnection::connect(proxy.addr);
        client.send_line(&format!("OPEN 9b1f03aa5c7e2d{turn} 7f3a c=watch,d=2000"));
        let (_, mut conn) = server.next_open();
        conn.send_line("UP 1");
        assert_eq!(client.read_line(), "UP 1");
        assert!(at.elapsed() < Duration::from_secs(1), "{:?}", at.elapsed());
        pairs.push((client, conn));
    }
    assert!(proxy.answers_ping());
    // Those that said nothing have been closed, or are soon.
    let at = Instant::now();
    for silent in crowd.iter_mut().rev().step_by(2).take(32) {
        while silent.try_read_line().is_ok() {}
    }
    assert!(at.elapsed() < OWED, "{:?}", at.elapsed());
    for (client, conn) in &mut pairs {
        client.send_line("SAY on");
        assert_eq!(conn.read_line(), "SAY on");
        conn.send_line("OK on");
        assert_eq!(client.read_line(), "OK on");
    }
    assert!(proxy.memory_kib() < 24 << 10, "{}", proxy.memory_kib());
    assert!(proxy.alive());
}

/// The same again as soon as it is turned away must not fill the log's disk, nor go unseen.
#[test]
fn log_lines_about_bad_clients_are_few_and_counted() {
    let (server, _discovery, proxy) = one_server();
    let at = Instant::now();
    for _ in 0..400 {
        turned_away(&proxy, b"frob\r\n");
    }
    let seconds = at.elapsed().as_secs() as usize + 1;
    let lines = proxy.log().matches("can't be served").count();
    assert!(
        (1..=10 * seconds).contains(&lines),
        "{lines} in {seconds} s"
    );
    // The next line says how many were left out.
    let until = Instant::now() + Duration::from_secs(10);
    let counted = |log: &str| {
        log.lines()
            .any(|l| l.contains("left_out=") && !l.contains("left_out=0"))
    };
    while !counted(&proxy.log()) {
        assert!(Instant::now() < until, "{}", proxy.log());
        turned_away(&proxy, b"frob\r\n");
    }
    proxy.up(&server);
}
