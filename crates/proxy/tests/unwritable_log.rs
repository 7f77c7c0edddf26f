//! Nothing that a proxy owes its clients and operators depends on whether its log can be written.

mod common;

use std::fs::File;
use std::io::PipeReader;
use std::net::SocketAddr;
use std::process::Stdio;
use std::time::Duration;

use common::{ConnectionEnd, Discovery, LineConnection, Proxy, Server};

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
