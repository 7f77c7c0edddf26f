//! Nothing that a proxy owes its clients and operators depends on whether its log can be written.

mod common;

use std::fs::File;
use std::io::{BufRead, BufReader, PipeReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::{Duration, Instant};

use common::{ConnectionEnd, Discovery, LineConnection, Proxy, Server, small_pipe};

/// The deadline of the clients' requests.
const DEADLINE: Duration = Duration::from_secs(2);
/// The longest deadline of the test's settings (2 s) plus the 0.7 s that operators add before SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(2700);

/// Starts a proxy whose log goes into a pipe. Dropping the reader makes each further write fail with EPIPE.
fn start_with_pipe(discovery: SocketAddr) -> (Proxy, PipeReader) {
    let (reader, writer) = std::io::pipe().unwrap();
    let proxy = Proxy::launch_with_log(discovery, Stdio::from(writer), "info");
    proxy.wait_ready();
    (proxy, reader)
}

/// Guards against a panic at the first log line of a shutdown, which cut all clients off without `MOVE`.
#[test]
fn a_proxy_whose_log_has_no_reader_moves_its_clients_at_sigterm() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let (mut proxy, log_reader) = start_with_pipe(discovery.addr);
    let mut pairs: Vec<(LineConnection, LineConnection)> = (0..20)
        .map(|_| proxy.establish_connection(&server))
        .collect();
    drop(log_reader);
    proxy.signal("-TERM");
    for (client, _conn) in &mut pairs {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    }
    assert_eq!(proxy.wait_for_exit().code(), Some(0));
}

/// Guards against a watch on discovery that ends for good at a log line: the proxy went on serving without ever learning
/// of a drain again.
#[test]
fn a_drain_is_heard_while_the_log_has_no_reader() {
    let (drained, other) = (Server::start("s-1"), Server::start("s-2"));
    let rows = [drained.target_row("ready"), other.target_row("ready")];
    let discovery = Discovery::start(&rows);
    let (proxy, log_reader) = start_with_pipe(discovery.addr);
    drop(log_reader);
    let requests = discovery.wait_for_requests(1).len();
    discovery.upsert_target(drained.target_row("draining"));
    // The proxy asks again only if it has read the answer with the drain.
    discovery.wait_for_requests(requests + 2);
    for _ in 0..10 {
        let mut client = proxy.open("watch");
        let (_, mut conn) = other.next_open();
        conn.send_line("UP 77aa");
        assert_eq!(client.read_line(), "UP 77aa");
    }
    assert!(drained.no_pending_open());
}

/// Guards against an engine that ends at the log line of an operator's change.
#[test]
fn operators_are_answered_while_the_log_has_no_reader() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let (mut proxy, log_reader) = start_with_pipe(discovery.addr);
    drop(log_reader);
    for line in ["OFFLINE s-1", "ONLINE s-1", "LEAVE", "JOIN"] {
        proxy.call_expecting_ok(line);
    }
    proxy.replace_config(|config| config["settings"]["permissions"]["max-attempts"] = 3.into());
    proxy.signal("-HUP");
    proxy.establish_connection(&server);
    std::thread::sleep(Duration::from_millis(100));
    assert!(proxy.is_running());
}

/// Guards against a proxy that does not start because its log is on a full disk.
#[test]
fn a_proxy_starts_and_serves_while_the_disk_of_its_log_is_full() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let device = File::options().write(true).open("/dev/full").unwrap();
    let mut proxy = Proxy::launch_with_log(discovery.addr, Stdio::from(device), "trace");
    proxy.wait_ready();
    let (mut client, _conn) = proxy.establish_connection(&server);
    proxy.signal("-TERM");
    assert_eq!(client.read_line(), "MOVE");
    assert_eq!(proxy.wait_for_exit().code(), Some(0));
}

/// Guards against a thread that serves clients and stands in a write to a log whose collector has stopped reading.
#[test]
fn nobody_waits_for_a_log_that_blocks() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let (_unread, writer) = small_pipe();
    let mut proxy = Proxy::launch_with_log(discovery.addr, Stdio::from(writer), "trace");
    proxy.wait_ready();
    let mut pairs = Vec::new();
    for _ in 0..50 {
        let opened_at = Instant::now();
        pairs.push(proxy.establish_connection(&server));
        let elapsed = opened_at.elapsed();
        assert!(elapsed < DEADLINE, "{elapsed:?}");
    }
    for line in ["OFFLINE s-1", "ONLINE s-1", "HEALTH"] {
        proxy.call_expecting_ok(line);
    }
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    for (client, _conn) in &mut pairs {
        assert_eq!(client.read_line(), "MOVE");
    }
    assert_eq!(proxy.wait_for_exit().code(), Some(0));
    let elapsed = signalled_at.elapsed();
    assert!(elapsed < KILL_DELAY, "{elapsed:?}");
}

/// Creates a FIFO and opens it for reading and writing.
fn create_fifo(path: &Path) -> (File, File) {
    rustix::fs::mknodat(
        rustix::fs::CWD,
        path,
        rustix::fs::FileType::Fifo,
        rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR,
        0,
    )
    .unwrap();
    // Each side waits for the other one to be opened.
    let reader_path = path.to_path_buf();
    let reader = std::thread::spawn(move || File::open(reader_path).unwrap());
    let writer = File::options().write(true).open(path).unwrap();
    (reader.join().unwrap(), writer)
}

/// Guards against lines that are lost without a word: their number is in the answer to `HEALTH`, and in one line of the
/// log as soon as it can be written again.
#[test]
fn lost_lines_are_told_to_operators_and_in_the_log() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let name = format!("violetwind-log-{}", std::process::id());
    let fifo = std::env::temp_dir().join(name);
    let (reader, writer) = create_fifo(&fifo);
    let proxy = Proxy::launch_with_log(discovery.addr, Stdio::from(writer), "info");
    proxy.wait_ready();
    while !proxy.call("HEALTH").starts_with("200") {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(!proxy.call("HEALTH").contains("lost"));
    // What is still queued is written before the reader goes.
    std::thread::sleep(Duration::from_millis(100));
    drop(reader);
    proxy.call_expecting_ok("OFFLINE s-1");
    proxy.call_expecting_ok("ONLINE s-1");
    std::thread::sleep(Duration::from_millis(100));
    let health = proxy.call_expecting_ok("HEALTH");
    assert!(
        health.contains("log lines lost (queue full 0, write failed "),
        "{health}"
    );
    let reader = BufReader::new(File::open(&fifo).unwrap());
    let notice = reader
        .lines()
        .map(Result::unwrap)
        .find(|line| line.contains("log lines were lost"))
        .unwrap();
    assert!(notice.contains(" WARN "), "{notice}");
    assert!(notice.contains("queue_full=0 write_failed="), "{notice}");
    std::fs::remove_file(fifo).unwrap();
}
