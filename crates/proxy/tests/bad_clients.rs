//! Clients that send invalid bytes or nothing: each gets an answer or a close in time, no server receives any of it,
//! and regular clients are served meanwhile.

mod common;

use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, LineConnection, Pingable, Proxy, Server, disable_load_reports,
    one_server,
};
use serde_json::json;

/// Longest time from the connect of a bad client to its answer or close.
const ANSWER_DEADLINE: Duration = Duration::from_secs(3);

/// Starts one server and a proxy with the given limit on descriptors.
fn one_server_with(sockets: u64) -> (Server, Discovery, Proxy) {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = Proxy::launch(discovery.addr, |config| {
        config["limits"]["sockets"] = json!(sockets);
        config["limits"]["memory_mb"] = json!(32);
        disable_load_reports(config);
    });
    proxy.wait_ready();
    (server, discovery, proxy)
}

/// Sends the bytes unchanged and asserts that the proxy answers with `ERR` and a close, or with a close alone.
fn assert_rejected(proxy: &Proxy, bytes: &[u8]) {
    let excerpt = String::from_utf8_lossy(&bytes[..bytes.len().min(60)]).into_owned();
    let start = Instant::now();
    let mut client = LineConnection::connect(proxy.addr);
    client.send_until_blocked(bytes, Duration::from_secs(1));
    let mut answer = client.try_read_line();
    if answer.is_ok() {
        assert_eq!(answer.as_deref(), Ok("ERR"), "{excerpt}");
        answer = client.try_read_line();
    }
    assert!(answer.is_err(), "{excerpt}: {answer:?}");
    assert!(
        start.elapsed() < ANSWER_DEADLINE,
        "{excerpt}: {:?}",
        start.elapsed()
    );
}

#[test]
fn invalid_requests_are_rejected_and_reach_no_server() {
    let (server, _discovery, proxy) = one_server();
    let many_fields: String = (0..40).map(|n| format!(",x{n}=1")).collect();
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
        format!("OPEN 9b1f 7f3a c=watch,d=2000{many_fields}"),
    ];
    for line in lines {
        assert_rejected(&proxy, format!("{line}\r\n").as_bytes());
    }
    assert_rejected(&proxy, &[0, 255, 254, b'\n']);
    assert_rejected(&proxy, &[b'x'; 5000]);
    assert!(server.no_pending_open());
    proxy.establish_connection(&server);
}

/// The forms that regular clients were observed to send, and others that the protocol allows.
#[test]
fn valid_forms_of_requests_are_accepted() {
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
fn half_a_line_and_a_half_close_is_rejected() {
    let (server, _discovery, proxy) = one_server();
    let mut client = LineConnection::connect(proxy.addr);
    client.send_bytes(b"OPEN 9b1f 7f3a c=watch,d=20");
    client.half_close();
    assert_eq!(client.read_line(), "ERR");
    assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    assert!(server.no_pending_open());
}

/// Each server that is tried refuses a second request with the same id, which the decision module counted as failures
/// of all servers.
#[test]
fn the_id_of_an_open_request_is_reserved_until_it_ends() {
    let (server, _discovery, proxy) = one_server();
    let mut first_client = proxy.open("watch");
    let (_, mut conn) = server.next_open();
    let line = b"OPEN 9b1f03aa5c7e2d41 0000000000000000 c=watch,d=2000\r\n";
    assert_rejected(&proxy, line);
    conn.send_line("UP 1");
    assert_eq!(first_client.read_line(), "UP 1");
    assert_rejected(&proxy, line);
    assert!(server.no_pending_open());
    first_client.send_line("SAY on");
    assert_eq!(conn.read_line(), "SAY on");
    conn.send_line("BYE");
    drop(conn);
    assert_eq!(first_client.read_line(), "BYE");
    assert_eq!(first_client.expect_end(), ConnectionEnd::Closed);
    drop(first_client);
    // The id is free again as soon as the proxy has read the close.
    let until = Instant::now() + Duration::from_secs(5);
    loop {
        assert!(Instant::now() < until, "the id is not freed");
        let mut client = LineConnection::connect(proxy.addr);
        client.send_bytes(line);
        let answered = || !client.is_quiet_for(Duration::from_millis(1));
        if server.next_open_unless(answered).is_some() {
            return;
        }
    }
}

/// Regular clients wait for the answer and never send hundreds of commands at once.
#[test]
fn a_client_that_sends_more_before_the_answer_is_rejected() {
    let (server, _discovery, proxy) = one_server();
    let line = "OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=watch,d=2000\r\n";
    assert_rejected(&proxy, line.repeat(300).as_bytes());
    assert_rejected(&proxy, "PING\r\n".repeat(300).as_bytes());
    assert_rejected(&proxy, format!("PING\r\n{line}").as_bytes());
    assert!(server.no_pending_open());
    // A line that is sent after the request was forwarded to a server is rejected too.
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

/// The client gets an answer within 3 s of connecting, however slowly its bytes arrive.
#[test]
fn a_line_that_never_ends_is_answered_in_time() {
    let (_server, _discovery, proxy) = one_server();
    let start = Instant::now();
    let mut client = LineConnection::connect(proxy.addr);
    client.send_bytes(b"OPEN 9b1f");
    while client.is_quiet_for(Duration::from_millis(200)) {
        client.send_bytes(b"0");
    }
    assert_eq!(client.read_line(), "ERR");
    assert!(start.elapsed() < ANSWER_DEADLINE, "{:?}", start.elapsed());
}

/// Reads from a client that sends without end are bounded in time, bytes and memory.
#[test]
fn a_value_of_many_megabytes_is_cut_off() {
    let (_server, _discovery, proxy) = one_server_with(256);
    let huge = [b"OPEN 9b1f 7f3a c=".as_slice(), &vec![b'x'; 60 << 20]].concat();
    let start = Instant::now();
    let mut client = LineConnection::connect(proxy.addr);
    let sent = client.send_until_blocked(&huge, Duration::from_secs(2));
    assert!(sent < huge.len(), "the proxy read all bytes");
    assert!(start.elapsed() < ANSWER_DEADLINE, "{:?}", start.elapsed());
    assert!(
        proxy.peak_memory_kib() < 24 << 10,
        "{}",
        proxy.peak_memory_kib()
    );
}

/// Hundreds of clients send nothing, or one request and stay connected, while a third of the descriptors serve
/// requests.
#[test]
fn floods_of_silent_connections_leave_descriptors_for_regular_clients() {
    let (server, _discovery, mut proxy) = one_server_with(256);
    let mut pairs = Vec::new();
    let mut idle_clients = Vec::new();
    for round in 0..85 {
        for number in 0..8 {
            let mut silent = LineConnection::connect(proxy.addr);
            if number % 2 == 0 {
                silent.send_line("PING");
            }
            idle_clients.push(silent);
        }
        let start = Instant::now();
        let mut client = LineConnection::connect(proxy.addr);
        client.send_line(&format!("OPEN 9b1f03aa5c7e2d{round} 7f3a c=watch,d=2000"));
        let (_, mut conn) = server.next_open();
        conn.send_line("UP 1");
        assert_eq!(client.read_line(), "UP 1");
        assert!(
            start.elapsed() < Duration::from_secs(1),
            "{:?}",
            start.elapsed()
        );
        pairs.push((client, conn));
    }
    assert!(proxy.answers_ping());
    // Connections that have sent nothing are closed by now or soon.
    let start = Instant::now();
    for silent in idle_clients.iter_mut().rev().step_by(2).take(32) {
        while silent.try_read_line().is_ok() {}
    }
    assert!(start.elapsed() < ANSWER_DEADLINE, "{:?}", start.elapsed());
    for (client, conn) in &mut pairs {
        client.send_line("SAY on");
        assert_eq!(conn.read_line(), "SAY on");
        conn.send_line("OK on");
        assert_eq!(client.read_line(), "OK on");
    }
    assert!(
        proxy.peak_memory_kib() < 24 << 10,
        "{}",
        proxy.peak_memory_kib()
    );
    assert!(proxy.is_running());
}

/// Clients that repeat a bad request as soon as it is rejected must neither fill the disk with log lines nor go
/// unnoticed.
#[test]
fn log_lines_about_bad_clients_are_limited_and_counted() {
    let (server, _discovery, proxy) = one_server();
    let start = Instant::now();
    for _ in 0..400 {
        assert_rejected(&proxy, b"frob\r\n");
    }
    let seconds = start.elapsed().as_secs() as usize + 1;
    let lines = proxy.log().matches("can't be served").count();
    assert!(
        (1..=10 * seconds).contains(&lines),
        "{lines} in {seconds} s"
    );
    // The next line reports how many were left out.
    let until = Instant::now() + Duration::from_secs(10);
    let reports_left_out = |log: &str| {
        log.lines()
            .any(|line| line.contains("left_out=") && !line.contains("left_out=0"))
    };
    while !reports_left_out(&proxy.log()) {
        assert!(Instant::now() < until, "{}", proxy.log());
        assert_rejected(&proxy, b"frob\r\n");
    }
    proxy.establish_connection(&server);
}
