//! Edge cases of the terms that the operators' pages promise, each tested on real processes; docs/terms-audit.md lists
//! them by row.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, DiscoveryMode, LineConnection, Proxy, Server, disable_load_reports,
    target_row,
};
use serde_json::json;
use violetwind_standins::soak::{ClientBehaviour, RequestOutcome, SoakServer, Traffic};
use violetwind_standins::unused_addr;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Starts a proxy without probes and load reports, so that it forwards every request at once.
fn start_without_probes(
    discovery: &Discovery,
    change: impl FnOnce(&mut serde_json::Value),
) -> Proxy {
    let proxy = Proxy::launch(discovery.addr, |config| {
        disable_load_reports(config);
        config["settings"]["permissions"]["probes"] = json!(false);
        change(config);
    });
    proxy.wait_ready();
    proxy
}

/// Servers may leave requests with very little remaining time unanswered; such requests must not count as failures of a
/// server.
#[test]
fn requests_with_very_short_deadlines_do_not_penalise_servers() {
    for probes in [true, false] {
        let servers: Vec<SoakServer> = (1..=4)
            .map(|number| SoakServer::start(&format!("s-{number}"), 400))
            .collect();
        let targets: Vec<_> = servers
            .iter()
            .map(|server| server.target_row("ready", 0))
            .collect();
        let discovery = Discovery::start(&targets);
        let proxy = Proxy::launch(discovery.addr, |config| {
            // Without load reports no request is refused for lack of capacity.
            disable_load_reports(config);
            config["settings"]["permissions"]["probes"] = json!(probes);
        });
        proxy.wait_ready();
        let clients_with_deadline = |deadline: u64| {
            move |_| ClientBehaviour {
                class: "watch".into(),
                deadline: MS(deadline),
                disconnect_after: None,
                session_duration: MS(300),
                message_interval: MS(50),
                pause_before_open: None,
            }
        };
        // Two servers answer after these clients' deadlines, which is allowed.
        for server in &servers[..2] {
            server.set_mode(violetwind_standins::soak::ServerMode::Serve(30));
        }
        drop({
            let traffic = Traffic::start(proxy.addr, MS(5), 1, clients_with_deadline(4));
            thread::sleep(MS(1500));
            traffic.finish()
        });
        let measured_from = Instant::now();
        let traffic = Traffic::start(proxy.addr, MS(8), 2, clients_with_deadline(1500));
        thread::sleep(MS(2000));
        let records = traffic.finish();
        let not_served: Vec<_> = records
            .iter()
            .filter(|record| record.outcome != RequestOutcome::Up)
            .map(|record| {
                (
                    record.outcome.clone(),
                    record.sent_at - measured_from,
                    record.answered_at - record.sent_at,
                )
            })
            .collect();
        assert!(
            not_served.is_empty(),
            "probes {probes}, {} of {} requests not served: {:?}",
            not_served.len(),
            records.len(),
            &not_served[..not_served.len().min(5)]
        );
        let attempt_count = |server: &SoakServer| {
            server
                .attempts()
                .iter()
                .filter(|arrival| arrival.received_at > measured_from)
                .count()
        };
        let counts: Vec<usize> = servers.iter().map(attempt_count).collect();
        assert!(
            counts.iter().all(|count| *count > 20),
            "probes {probes}: {counts:?}"
        );
    }
}

/// A request's own deadline may exceed its class's deadline; the time until SIGKILL depends only on the deadlines in
/// the deployment's settings.
#[test]
fn a_request_with_a_deadline_beyond_its_class_is_answered_before_the_earliest_sigkill() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = start_without_probes(&discovery, |config| {
        for class in [0, 1] {
            config["settings"]["request-classes"][class]["deadline-s"] = json!(0.4);
            config["settings"]["request-classes"][class]["target-s"] = json!(0.1);
        }
    });
    let mut clients: Vec<LineConnection> = ["watch", "book"]
        .map(|class| proxy.open_with(&format!("c={class},d=9000")))
        .into();
    let _unanswered = [server.next_open(), server.next_open()];
    let signalled_at = Instant::now();
    proxy.signal("-TERM");
    for client in &mut clients {
        let answer = client.read_line();
        assert!(answer.starts_with("BUSY") || answer == "ERR", "{answer}");
    }
    assert!(
        signalled_at.elapsed() < MS(1100),
        "{:?}",
        signalled_at.elapsed()
    );
}

/// When the server answers close to the deadline, the client gets exactly one final answer, in time, whether the answer
/// or the deadline comes first.
#[test]
fn an_answer_close_to_the_deadline_yields_one_final_answer() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = start_without_probes(&discovery, |config| {
        config["settings"]["request-classes"][0]["target-s"] = json!(0.2);
    });
    for offset_ms in [-40i64, -10, -1, 0, 1, 10, 49, 51, 500] {
        let mut client = proxy.open_with("c=watch,d=200");
        let sent_at = Instant::now();
        let (line, mut conn) = server.next_open();
        assert!(line.contains("d="), "{line}");
        let answer_at = sent_at + MS((200 + offset_ms) as u64);
        thread::sleep(answer_at.saturating_duration_since(Instant::now()));
        // The proxy may have ended the attempt.
        let _ = conn.try_send_line("UP 77aa");
        let answer = client.read_line();
        assert!(
            sent_at.elapsed() < MS(750),
            "{offset_ms}: {:?}",
            sent_at.elapsed()
        );
        assert!(
            answer == "UP 77aa" || answer == "ERR" || answer.starts_with("BUSY"),
            "{offset_ms}: {answer}"
        );
        if answer != "UP 77aa" {
            assert_eq!(
                client.expect_end(),
                ConnectionEnd::Closed,
                "{offset_ms}: more than one answer"
            );
        }
    }
}

/// `BYE`, `ERR` and `BUSY` may end with a load report, with the fields that the settings list.
#[test]
fn answers_with_load_reports_are_handled_as_without() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = start_without_probes(&discovery, |config| {
        config["settings"]["reporting"] = json!({"fields": ["x0"], "source": "answers"});
        config["settings"]["permissions"]["max-attempts"] = json!(1);
    });
    for (server_line, expected) in [
        ("BUSY x0=0.40", "BUSY"),
        ("ERR x0=0.40", "ERR"),
        ("BYE x0=0.40", "BYE x0=0.40"),
    ] {
        let mut client = proxy.open_with("c=book,d=1500");
        let (_, mut conn) = server.next_open();
        conn.send_line(server_line);
        drop(conn);
        let answer = client.read_line();
        assert!(answer.starts_with(expected), "{server_line}: {answer}");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    }
}

/// A drain that is announced, withdrawn and announced again within the grace period takes effect from the last
/// announcement; clients are served in between.
#[test]
fn a_drain_withdrawn_and_announced_again_within_the_grace_period_takes_effect() {
    let (leaving, staying) = (Server::start("s-1"), Server::start("s-2"));
    let discovery =
        Discovery::start(&[leaving.target_row("ready"), staying.target_row("draining")]);
    let proxy = start_without_probes(&discovery, |_| {});
    for state in ["draining", "ready", "draining", "ready"] {
        discovery.upsert_target(leaving.target_row(state));
        thread::sleep(MS(60));
    }
    let mut client = proxy.open("watch");
    let (_, mut conn) = leaving.next_open();
    conn.send_line("UP 77aa");
    assert_eq!(client.read_line(), "UP 77aa");
    for state in ["draining", "ready", "draining"] {
        discovery.upsert_target(leaving.target_row(state));
        thread::sleep(MS(60));
    }
    thread::sleep(MS(300));
    for _ in 0..5 {
        let mut refused = proxy.open_with("c=watch,d=200");
        assert!(refused.read_line().starts_with("BUSY"));
    }
    assert!(leaving.no_pending_open());
    assert_eq!(client.read_line(), "MOVE");
}

/// When a uid is listed at another endpoint, new requests go to that endpoint only, and a drain of the uid applies at
/// any endpoint.
#[test]
fn a_server_with_a_new_endpoint_gets_requests_only_there() {
    let (old, new) = (Server::start("s-1"), Server::start("s-1"));
    let discovery = Discovery::start(&[old.target_row("ready")]);
    let proxy = start_without_probes(&discovery, |_| {});
    discovery.upsert_target(new.target_row("ready"));
    proxy.wait_for_log("version=2");
    let mut client = proxy.open("watch");
    let (_, mut conn) = new.next_open();
    conn.send_line("UP 77aa");
    assert_eq!(client.read_line(), "UP 77aa");
    assert!(old.no_pending_open());
    discovery.upsert_target(new.target_row("draining"));
    proxy.wait_for_log("version=3");
    assert!(
        proxy
            .open_with("c=watch,d=200")
            .read_line()
            .starts_with("BUSY")
    );
    assert!(old.no_pending_open() && new.no_pending_open());
}

/// A watch may be answered with the whole list; servers missing from it are removed.
#[test]
fn a_whole_list_as_the_answer_to_a_watch_removes_missing_servers() {
    let (removed, staying) = (Server::start("s-1"), Server::start("s-2"));
    let discovery = Discovery::start(&[removed.target_row("ready"), staying.target_row("ready")]);
    let proxy = start_without_probes(&discovery, |_| {});
    discovery.remove_target("s-1");
    proxy.wait_for_log("whole=true rows=1");
    thread::sleep(MS(300));
    for _ in 0..10 {
        let mut client = proxy.open("watch");
        let (_, mut conn) = staying.next_open();
        conn.send_line("UP 77aa");
        assert_eq!(client.read_line(), "UP 77aa");
    }
    assert!(removed.no_pending_open());
}

/// Connections in the listener's accept queue at SIGTERM are served or answered like all others.
#[test]
fn connections_in_the_accept_queue_at_sigterm_are_answered() {
    let server = SoakServer::start("s-1", 400);
    let discovery = Discovery::start(&[server.target_row("ready", 0)]);
    let mut proxy = start_without_probes(&discovery, |_| {});
    proxy.stop_process();
    let mut clients: Vec<LineConnection> =
        (0..40).map(|_| proxy.open_with("c=watch,d=1500")).collect();
    // Two more idle connections: one has sent nothing, one half a line.
    let mut silent = LineConnection::connect(proxy.addr);
    let mut half = LineConnection::connect(proxy.addr);
    half.send_bytes(b"OPEN 12");
    proxy.signal("-TERM");
    let signalled_at = Instant::now();
    proxy.signal("-CONT");
    for client in &mut clients {
        assert!(client.read_line().starts_with("UP "));
    }
    for client in &mut clients {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    }
    assert!(matches!(
        silent.try_read_line().as_deref(),
        Ok("BUSY") | Err(ConnectionEnd::Closed)
    ));
    assert!(matches!(
        half.try_read_line().as_deref(),
        Ok("ERR" | "BUSY") | Err(ConnectionEnd::Closed)
    ));
    assert!(proxy.wait_for_exit().success());
    assert!(
        signalled_at.elapsed() < MS(2700),
        "{:?}",
        signalled_at.elapsed()
    );
}

/// Sends a request on every kind of idle connection 0.2 s and 0.4 s after SIGTERM; 0.4 s is the latest at which new
/// connections arrive.
#[test]
fn requests_on_idle_connections_after_sigterm_are_answered() {
    for delay_ms in [200, 400] {
        let server = SoakServer::start("s-1", 400);
        let discovery = Discovery::start(&[server.target_row("ready", 0)]);
        let mut proxy = start_without_probes(&discovery, |_| {});
        // One connection that has sent PING, a new one, and one with half a line.
        let mut pinged = LineConnection::connect(proxy.addr);
        pinged.send_line("PING");
        assert_eq!(pinged.read_line(), "PONG");
        let mut fresh = LineConnection::connect(proxy.addr);
        let mut half = LineConnection::connect(proxy.addr);
        half.send_bytes(b"OPEN 00000000000000a3 7f3a c=watch");
        let signalled_at = Instant::now();
        proxy.signal("-TERM");
        thread::sleep(MS(delay_ms));
        pinged.send_line("OPEN 00000000000000a1 7f3a c=watch,d=1000");
        fresh.send_line("OPEN 00000000000000a2 7f3a c=watch,d=1000");
        half.send_line(",d=1000");
        let mut newest = proxy.open_with("c=watch,d=1000");
        for client in [&mut pinged, &mut fresh, &mut half, &mut newest] {
            let answer = client.read_line();
            assert!(
                answer.starts_with("UP ") || answer.starts_with("BUSY"),
                "{delay_ms}: {answer}"
            );
            if answer.starts_with("UP ") {
                assert_eq!(client.read_line(), "MOVE");
            }
            assert_eq!(client.expect_end(), ConnectionEnd::Closed);
        }
        assert!(proxy.wait_for_exit().success());
        assert!(signalled_at.elapsed() < MS(2700));
    }
}

/// A client that stops sending in the middle of its request but stays connected gets an error or a close within 3 s.
#[test]
fn an_incomplete_request_is_closed_within_three_seconds() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = start_without_probes(&discovery, |_| {});
    let mut partial_clients: Vec<LineConnection> =
        ["O", "OPEN", "OPEN 9b1f 7f3a c=watch,d=20", "PIN"]
            .map(|bytes| {
                let mut client = LineConnection::connect(proxy.addr);
                client.send_bytes(bytes.as_bytes());
                client
            })
            .into();
    // A client that keeps sending single bytes never completes its line either.
    let mut slow = TcpStream::connect(proxy.addr).unwrap();
    let start = Instant::now();
    let slow_writer = thread::spawn(move || {
        while start.elapsed() < MS(2900) && slow.write_all(b"x").is_ok() {
            thread::sleep(MS(100));
        }
        let _ = slow.shutdown(Shutdown::Write);
        let mut rest = Vec::new();
        let _ = slow.read_to_end(&mut rest);
        start.elapsed()
    });
    for client in &mut partial_clients {
        assert!(matches!(
            client.try_read_line().as_deref(),
            Ok("ERR") | Err(_)
        ));
        assert!(start.elapsed() < MS(3000), "{:?}", start.elapsed());
    }
    assert!(slow_writer.join().unwrap() < MS(3200));
}

/// Lists may be indented, with fields in any order and with unknown fields.
#[test]
fn an_indented_list_with_unknown_fields_is_read() {
    let server = Server::start("s-1");
    let list = json!({"rev": 41, "all": true, "more": {"than": ["is", "known"]},
        "targets": [{"uid": "s-1", "endpoint": server.addr.to_string(), "az": "a", "model": "m",
                     "pod_group": 0, "state": "ready", "capacity_hint": 1.0, "boot_ms": 0, "new": null}]});
    let body = format!(
        "\n{}\n",
        serde_json::to_string_pretty(&list)
            .unwrap()
            .replace("  ", "\t\t ")
    );
    let addr = unused_addr();
    let listener = std::net::TcpListener::bind(addr).unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let body = body.clone();
            thread::spawn(move || {
                let mut request = [0; 2048];
                while stream.read(&mut request).is_ok_and(|count| count > 0) {
                    if String::from_utf8_lossy(&request).contains("after=") {
                        thread::sleep(Duration::from_secs(20));
                    }
                    let header =
                        format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                    // Written in pieces of a few bytes, as on a slow network.
                    for chunk in (header + &body).as_bytes().chunks(7) {
                        if stream.write_all(chunk).is_err() {
                            return;
                        }
                    }
                    request = [0; 2048];
                }
            });
        }
    });
    let proxy = Proxy::launch(addr, |config| {
        disable_load_reports(config);
        config["settings"]["permissions"]["probes"] = json!(false);
    });
    proxy.wait_ready();
    let mut client = proxy.open("watch");
    let (_, mut conn) = server.next_open();
    conn.send_line("UP 77aa");
    assert_eq!(client.read_line(), "UP 77aa");
}

/// A change made while discovery fails in any way takes effect 6 s after discovery is reachable again, even if it fails
/// once more within that time.
#[test]
fn a_drain_takes_effect_although_discovery_fails_again_within_six_seconds() {
    let (leaving, staying) = (Server::start("s-1"), Server::start("s-2"));
    let discovery = Discovery::start(&[leaving.target_row("ready"), staying.target_row("ready")]);
    let proxy = start_without_probes(&discovery, |_| {});
    discovery.set_mode(DiscoveryMode::Refuses);
    thread::sleep(MS(1500));
    discovery.upsert_target(leaving.target_row("draining"));
    // Discovery works from here on, except for occasional answers with half a body.
    for _ in 0..4 {
        discovery.set_mode(DiscoveryMode::Garbles);
        thread::sleep(MS(300));
        discovery.set_mode(DiscoveryMode::Works);
        thread::sleep(MS(1100));
    }
    thread::sleep(MS(6350 - 4 * 1400));
    for _ in 0..10 {
        let mut client = proxy.open("watch");
        let (_, mut conn) = staying.next_open();
        conn.send_line("UP 77aa");
        assert_eq!(client.read_line(), "UP 77aa");
    }
    assert!(leaving.no_pending_open());
}

/// A server listed as `gone` and then as `ready` again is a new process and gets requests.
#[test]
fn a_server_listed_again_after_gone_gets_requests() {
    let (back, other) = (Server::start("s-1"), Server::start("s-2"));
    let discovery = Discovery::start(&[back.target_row("ready"), other.target_row("draining")]);
    let proxy = start_without_probes(&discovery, |_| {});
    let gone = target_row("s-1", &back.addr.to_string(), "gone");
    discovery.upsert_target(gone);
    proxy.wait_for_log("version=3");
    assert!(
        proxy
            .open_with("c=watch,d=200")
            .read_line()
            .starts_with("BUSY")
    );
    discovery.upsert_target(back.target_row("ready"));
    proxy.wait_for_log("version=4");
    let mut client = proxy.open("watch");
    let (_, mut conn) = back.next_open();
    conn.send_line("UP 77aa");
    assert_eq!(client.read_line(), "UP 77aa");
}

/// With `at=ID`, a connection that was open before the proxy started is passed to that server. It is up within 40 s,
/// however late the server is listed or comes up.
#[test]
fn an_earlier_connection_is_retried_until_its_server_is_listed() {
    let server = Server::start("s-9");
    let discovery = Discovery::start(&[]);
    let other = Server::start("s-1");
    discovery.upsert_target(other.target_row("ready"));
    let proxy = start_without_probes(&discovery, |_| {});
    let mut client = proxy.open_with("c=watch,d=4320000,at=s-9");
    thread::sleep(MS(2000));
    discovery.upsert_target(server.target_row("draining"));
    let (line, mut conn) = server.next_open();
    assert!(line.contains("at=s-9"), "{line}");
    conn.send_line("UP 77aa");
    assert_eq!(client.read_line(), "UP 77aa");
    assert!(other.no_pending_open());
}

/// All proxies share one slow-start budget for a new server; a proxy that is restarted during the slow start stays
/// within it too.
#[test]
fn slow_start_of_a_new_server_holds_for_several_proxies_and_a_restart() {
    const PROXIES: u64 = 4;
    const SLOW_START: Duration = Duration::from_secs(4);
    let servers: Vec<SoakServer> = (1..=4)
        .map(|number| SoakServer::start(&format!("s-{number}"), 40))
        .collect();
    let new_server = SoakServer::start("s-new", 40);
    let targets: Vec<_> = servers
        .iter()
        .map(|server| server.target_row("ready", 0))
        .collect();
    let discovery = Discovery::start(&targets);
    let launch = |me: u64| {
        let proxy = Proxy::launch(discovery.addr, |config| {
            config["settings"]["fleet-size"] = json!(PROXIES);
            config["settings"]["me"] = json!(me);
            let rules = &mut config["settings"]["rules"];
            (rules["cold-from"], rules["fall-multiple"]) = (json!(0.3), json!(1.0));
            rules["cold-s"] = json!(SLOW_START.as_secs_f64());
        });
        proxy.wait_ready();
        proxy
    };
    let mut proxies: Vec<Proxy> = (0..PROXIES).map(launch).collect();
    let traffic = |proxy: &Proxy, seed: u64| {
        Traffic::start(proxy.addr, MS(100), seed, |_| ClientBehaviour {
            class: "watch".into(),
            deadline: MS(1500),
            disconnect_after: None,
            session_duration: MS(2000),
            message_interval: MS(200),
            pause_before_open: None,
        })
    };
    let mut clients: Vec<Traffic> = proxies
        .iter()
        .enumerate()
        .map(|(index, proxy)| traffic(proxy, index as u64))
        .collect();
    thread::sleep(MS(2500));
    let unix_time = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let started = Instant::now();
    discovery.upsert_target(new_server.target_row("ready", unix_time.as_millis() as u64));
    thread::sleep(MS(1000));
    // One proxy is killed and restarted during the slow start; its clients go to the new process.
    drop(clients.pop().unwrap().finish_without_waiting());
    drop(proxies.pop());
    let restarted = launch(PROXIES - 1);
    clients.push(traffic(&restarted, 99));
    thread::sleep(SLOW_START - MS(1000));
    let attempt_times: Vec<Instant> = new_server
        .attempts()
        .iter()
        .map(|arrival| arrival.received_at)
        .collect();
    for client in clients {
        drop(client.finish_without_waiting());
    }
    // A server that is at full load with 40 connections of 2 s takes 20 connections a second when it is warm.
    for &end in &attempt_times {
        let warm_fraction = ((end - started).as_secs_f64() / SLOW_START.as_secs_f64()).min(1.0);
        let expected = 20.0 * (0.3 + 0.7 * warm_fraction) * 1.5;
        let allowed = if expected < 30.0 {
            expected + 3.0 * expected.sqrt() + 3.0
        } else {
            expected + 2.0 * expected.sqrt() + 2.0
        };
        let count = attempt_times
            .iter()
            .filter(|time| **time <= end && end - **time < MS(1500))
            .count();
        assert!(
            count as f64 <= allowed,
            "{count} attempts in 1.5 s, {allowed:.1} allowed at a slow-start fraction of {warm_fraction:.2}"
        );
    }
    assert!(
        !attempt_times.is_empty(),
        "the new server got no request within its budget"
    );
}
