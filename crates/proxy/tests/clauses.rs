//! Clauses of the operators' pages at their extremes, each on real processes; docs/terms-audit.md names them by row.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    ConnectionEnd, Discovery, DiscoveryMode, LineConnection, Proxy, Server, target_row,
    without_loads,
};
use serde_json::json;
use violetwind_standins::soak::{ClientBehaviour, RequestOutcome, SoakServer, Traffic};
use violetwind_standins::unused_addr;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// No probes and no loads: every request goes on at once.
fn plain(discovery: &Discovery, change: impl FnOnce(&mut serde_json::Value)) -> Proxy {
    let proxy = Proxy::launch(discovery.addr, |config| {
        without_loads(config);
        config["settings"]["permissions"]["probes"] = json!(false);
        change(config);
    });
    proxy.wait_ready();
    proxy
}

/// "Requests with very little time left, which servers may drop without a word": they say nothing against a server.
#[test]
fn requests_with_very_little_time_push_no_server_back() {
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
            // Without loads nobody is refused for want of room.
            without_loads(config);
            config["settings"]["permissions"]["probes"] = json!(probes);
        });
        proxy.wait_ready();
        let clients = |deadline: u64| {
            move |_| ClientBehaviour {
                class: "watch".into(),
                deadline: MS(deadline),
                disconnect_after: None,
                session_duration: MS(300),
                message_interval: MS(50),
                pause_before_open: None,
            }
        };
        // Two servers answer later than these clients wait, as they well may.
        for server in &servers[..2] {
            server.set_mode(violetwind_standins::soak::ServerMode::Serve(30));
        }
        drop({
            let traffic = Traffic::start(proxy.addr, MS(5), 1, clients(4));
            thread::sleep(MS(1500));
            traffic.finish()
        });
        let since = Instant::now();
        let traffic = Traffic::start(proxy.addr, MS(8), 2, clients(1500));
        thread::sleep(MS(2000));
        let accounts = traffic.finish();
        let others: Vec<_> = accounts
            .iter()
            .filter(|account| account.outcome != RequestOutcome::Up)
            .map(|account| {
                (
                    account.outcome.clone(),
                    account.sent_at - since,
                    account.answered_at - account.sent_at,
                )
            })
            .collect();
        assert!(
            others.is_empty(),
            "probes {probes}, {} others of {}: {:?}",
            others.len(),
            accounts.len(),
            &others[..others.len().min(5)]
        );
        let got = |server: &SoakServer| {
            server
                .attempts()
                .iter()
                .filter(|arrival| arrival.received_at > since)
                .count()
        };
        let each: Vec<usize> = servers.iter().map(got).collect();
        assert!(
            each.iter().all(|count| *count > 20),
            "probes {probes}: {each:?}"
        );
    }
}

/// A client may wait longer than its class's deadline; the kill counts the deployment's deadlines alone.
#[test]
fn a_request_that_waits_longer_than_its_class_is_answered_before_the_earliest_kill() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = plain(&discovery, |config| {
        for class in [0, 1] {
            config["settings"]["request-classes"][class]["deadline-s"] = json!(0.4);
            config["settings"]["request-classes"][class]["target-s"] = json!(0.1);
        }
    });
    let mut clients: Vec<LineConnection> = ["watch", "book"]
        .map(|class| proxy.open_with(&format!("c={class},d=9000")))
        .into();
    let _hung = [server.next_open(), server.next_open()];
    let asked = Instant::now();
    proxy.signal("-TERM");
    for client in &mut clients {
        let answer = client.read_line();
        assert!(answer.starts_with("BUSY") || answer == "ERR", "{answer}");
    }
    assert!(asked.elapsed() < MS(1100), "{:?}", asked.elapsed());
}

/// An answer around the deadline: the client gets one final answer, in time, whoever is first.
#[test]
fn an_answer_around_the_deadline_is_one_final_answer() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = plain(&discovery, |config| {
        config["settings"]["request-classes"][0]["target-s"] = json!(0.2);
    });
    for late in [-40i64, -10, -1, 0, 1, 10, 49, 51, 500] {
        let mut client = proxy.open_with("c=watch,d=200");
        let asked = Instant::now();
        let (line, mut conn) = server.next_open();
        assert!(line.contains("d="), "{line}");
        let answer_at = asked + MS((200 + late) as u64);
        thread::sleep(answer_at.saturating_duration_since(Instant::now()));
        // The proxy may have ended the attempt.
        let _ = conn.try_send_line("UP 77aa");
        let answer = client.read_line();
        assert!(asked.elapsed() < MS(750), "{late}: {:?}", asked.elapsed());
        assert!(
            answer == "UP 77aa" || answer == "ERR" || answer.starts_with("BUSY"),
            "{late}: {answer}"
        );
        if answer != "UP 77aa" {
            assert_eq!(
                client.expect_end(),
                ConnectionEnd::Closed,
                "{late}: more than one answer"
            );
        }
    }
}

/// `BYE`, `ERR` and `BUSY` may end with a load report, whose fields the settings name.
#[test]
fn answers_with_load_reports_mean_what_they_mean_without() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = plain(&discovery, |config| {
        config["settings"]["reporting"] = json!({"fields": ["x0"], "source": "answers"});
        config["settings"]["permissions"]["max-attempts"] = json!(1);
    });
    for (said, wanted) in [
        ("BUSY x0=0.40", "BUSY"),
        ("ERR x0=0.40", "ERR"),
        ("BYE x0=0.40", "BYE x0=0.40"),
    ] {
        let mut client = proxy.open_with("c=book,d=1500");
        let (_, mut conn) = server.next_open();
        conn.send_line(said);
        drop(conn);
        let answer = client.read_line();
        assert!(answer.starts_with(wanted), "{said}: {answer}");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    }
}

/// A drain that is told, taken back and told again within the grace binds from its last word on, and clients go on in
/// between.
#[test]
fn a_drain_told_taken_back_and_told_again_within_the_grace_is_kept() {
    let (leaving, staying) = (Server::start("s-1"), Server::start("s-2"));
    let discovery =
        Discovery::start(&[leaving.target_row("ready"), staying.target_row("draining")]);
    let proxy = plain(&discovery, |_| {});
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

/// The same uid at another endpoint: what is new goes there, and a drain binds for the uid wherever it is.
#[test]
fn a_server_that_moved_is_reached_at_its_new_endpoint_alone() {
    let (old, new) = (Server::start("s-1"), Server::start("s-1"));
    let discovery = Discovery::start(&[old.target_row("ready")]);
    let proxy = plain(&discovery, |_| {});
    discovery.upsert_target(new.target_row("ready"));
    proxy.logged("version=2");
    let mut client = proxy.open("watch");
    let (_, mut conn) = new.next_open();
    conn.send_line("UP 77aa");
    assert_eq!(client.read_line(), "UP 77aa");
    assert!(old.no_pending_open());
    discovery.upsert_target(new.target_row("draining"));
    proxy.logged("version=3");
    assert!(
        proxy
            .open_with("c=watch,d=200")
            .read_line()
            .starts_with("BUSY")
    );
    assert!(old.no_pending_open() && new.no_pending_open());
}

/// The answer of a watch may be the whole list: what it leaves out is gone.
#[test]
fn a_whole_list_as_the_answer_of_a_watch_takes_away_what_it_leaves_out() {
    let (left_out, staying) = (Server::start("s-1"), Server::start("s-2"));
    let discovery = Discovery::start(&[left_out.target_row("ready"), staying.target_row("ready")]);
    let proxy = plain(&discovery, |_| {});
    discovery.remove_target("s-1");
    proxy.logged("whole=true rows=1");
    thread::sleep(MS(300));
    for _ in 0..10 {
        let mut client = proxy.open("watch");
        let (_, mut conn) = staying.next_open();
        conn.send_line("UP 77aa");
        assert_eq!(client.read_line(), "UP 77aa");
    }
    assert!(left_out.no_pending_open());
}

/// Connections that wait in the listener's queue when SIGTERM comes are served or answered like all others.
#[test]
fn connections_in_the_queue_at_sigterm_are_answered() {
    let server = SoakServer::start("s-1", 400);
    let discovery = Discovery::start(&[server.target_row("ready", 0)]);
    let mut proxy = plain(&discovery, |_| {});
    proxy.stop();
    let mut clients: Vec<LineConnection> =
        (0..40).map(|_| proxy.open_with("c=watch,d=1500")).collect();
    // More that rest: one has said nothing, one half a line.
    let mut silent = LineConnection::connect(proxy.addr);
    let mut half = LineConnection::connect(proxy.addr);
    half.send_bytes(b"OPEN 12");
    proxy.signal("-TERM");
    let asked = Instant::now();
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
    assert!(proxy.ended().success());
    assert!(asked.elapsed() < MS(2700), "{:?}", asked.elapsed());
}

/// A request on every kind of resting connection, as late as connections come: 0.2 and 0.4 s after SIGTERM.
#[test]
fn requests_on_resting_connections_after_sigterm_are_answered() {
    for after in [200, 400] {
        let server = SoakServer::start("s-1", 400);
        let discovery = Discovery::start(&[server.target_row("ready", 0)]);
        let mut proxy = plain(&discovery, |_| {});
        // One that has asked PING, a fresh one, and one with half a line.
        let mut asked_ping = LineConnection::connect(proxy.addr);
        asked_ping.send_line("PING");
        assert_eq!(asked_ping.read_line(), "PONG");
        let mut fresh = LineConnection::connect(proxy.addr);
        let mut half = LineConnection::connect(proxy.addr);
        half.send_bytes(b"OPEN 00000000000000a3 7f3a c=watch");
        let told = Instant::now();
        proxy.signal("-TERM");
        thread::sleep(MS(after));
        asked_ping.send_line("OPEN 00000000000000a1 7f3a c=watch,d=1000");
        fresh.send_line("OPEN 00000000000000a2 7f3a c=watch,d=1000");
        half.send_line(",d=1000");
        let mut newcomer = proxy.open_with("c=watch,d=1000");
        for client in [&mut asked_ping, &mut fresh, &mut half, &mut newcomer] {
            let answer = client.read_line();
            assert!(
                answer.starts_with("UP ") || answer.starts_with("BUSY"),
                "{after}: {answer}"
            );
            if answer.starts_with("UP ") {
                assert_eq!(client.read_line(), "MOVE");
            }
            assert_eq!(client.expect_end(), ConnectionEnd::Closed);
        }
        assert!(proxy.ended().success());
        assert!(told.elapsed() < MS(2700));
    }
}

/// A client that stops in the middle of its request and stays gets its error or close within 3 s.
#[test]
fn a_client_that_stops_in_the_middle_is_let_go_within_three_seconds() {
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let proxy = plain(&discovery, |_| {});
    let mut halves: Vec<LineConnection> = ["O", "OPEN", "OPEN 9b1f 7f3a c=watch,d=20", "PIN"]
        .map(|text| {
            let mut peer = LineConnection::connect(proxy.addr);
            peer.send_bytes(text.as_bytes());
            peer
        })
        .into();
    // One that goes on byte by byte never comes to an end either.
    let mut slow = TcpStream::connect(proxy.addr).unwrap();
    let from = Instant::now();
    let drip = thread::spawn(move || {
        while from.elapsed() < MS(2900) && slow.write_all(b"x").is_ok() {
            thread::sleep(MS(100));
        }
        let _ = slow.shutdown(Shutdown::Write);
        let mut rest = Vec::new();
        let _ = slow.read_to_end(&mut rest);
        from.elapsed()
    });
    for half in &mut halves {
        assert!(matches!(
            half.try_read_line().as_deref(),
            Ok("ERR") | Err(_)
        ));
        assert!(from.elapsed() < MS(3000), "{:?}", from.elapsed());
    }
    assert!(drip.join().unwrap() < MS(3200));
}

/// Lists may come indented, and with fields in any order that nobody knows.
#[test]
fn an_indented_list_is_read() {
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
    let at = unused_addr();
    let listener = std::net::TcpListener::bind(at).unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let body = body.clone();
            thread::spawn(move || {
                let mut call = [0; 2048];
                while stream.read(&mut call).is_ok_and(|got| got > 0) {
                    if String::from_utf8_lossy(&call).contains("after=") {
                        thread::sleep(Duration::from_secs(20));
                    }
                    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                    // In pieces of few bytes, as a slow network brings them.
                    for piece in (head + &body).as_bytes().chunks(7) {
                        if stream.write_all(piece).is_err() {
                            return;
                        }
                    }
                    call = [0; 2048];
                }
            });
        }
    });
    let proxy = Proxy::launch(at, |config| {
        without_loads(config);
        config["settings"]["permissions"]["probes"] = json!(false);
    });
    proxy.wait_ready();
    let mut client = proxy.open("watch");
    let (_, mut conn) = server.next_open();
    conn.send_line("UP 77aa");
    assert_eq!(client.read_line(), "UP 77aa");
}

/// What changes while discovery fails in any way counts 6 s after it could be reached, with a second trouble in that time.
#[test]
fn a_drain_is_kept_when_discovery_fails_again_within_the_six_seconds() {
    let (leaving, staying) = (Server::start("s-1"), Server::start("s-2"));
    let discovery = Discovery::start(&[leaving.target_row("ready"), staying.target_row("ready")]);
    let proxy = plain(&discovery, |_| {});
    discovery.set_mode(DiscoveryMode::Refuses);
    thread::sleep(MS(1500));
    discovery.upsert_target(leaving.target_row("draining"));
    // It works from here on, but for answers that are half a body now and then.
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

/// What a list says of a server that nobody serves yet: `gone` and back in one answer is another process.
#[test]
fn a_server_that_is_gone_and_back_is_used_again() {
    let (back, other) = (Server::start("s-1"), Server::start("s-2"));
    let discovery = Discovery::start(&[back.target_row("ready"), other.target_row("draining")]);
    let proxy = plain(&discovery, |_| {});
    let gone = target_row("s-1", &back.addr.to_string(), "gone");
    discovery.upsert_target(gone);
    proxy.logged("version=3");
    assert!(
        proxy
            .open_with("c=watch,d=200")
            .read_line()
            .starts_with("BUSY")
    );
    discovery.upsert_target(back.target_row("ready"));
    proxy.logged("version=4");
    let mut client = proxy.open("watch");
    let (_, mut conn) = back.next_open();
    conn.send_line("UP 77aa");
    assert_eq!(client.read_line(), "UP 77aa");
}

/// "at=ID": a connection that was open before the run is passed to that server, and is up within 40 s, however late the
/// server is listed or comes up.
#[test]
fn a_standing_connection_is_tried_until_its_server_is_there() {
    let server = Server::start("s-9");
    let discovery = Discovery::start(&[]);
    let other = Server::start("s-1");
    discovery.upsert_target(other.target_row("ready"));
    let proxy = plain(&discovery, |_| {});
    let mut client = proxy.open_with("c=watch,d=4320000,at=s-9");
    thread::sleep(MS(2000));
    discovery.upsert_target(server.target_row("draining"));
    let (line, mut conn) = server.next_open();
    assert!(line.contains("at=s-9"), "{line}");
    conn.send_line("UP 77aa");
    assert_eq!(client.read_line(), "UP 77aa");
    assert!(other.no_pending_open());
}

/// The budget of a newcomer's slow start is one for all proxies together, and for a process that is started in its middle.
#[test]
fn a_newcomer_is_not_pushed_over_by_several_proxies_or_a_restart() {
    const PROXIES: u64 = 4;
    const COLD: Duration = Duration::from_secs(4);
    let servers: Vec<SoakServer> = (1..=4)
        .map(|number| SoakServer::start(&format!("s-{number}"), 40))
        .collect();
    let new = SoakServer::start("s-new", 40);
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
            rules["cold-s"] = json!(COLD.as_secs_f64());
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
        .map(|(at, proxy)| traffic(proxy, at as u64))
        .collect();
    thread::sleep(MS(2500));
    let unix = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let started = Instant::now();
    discovery.upsert_target(new.target_row("ready", unix.as_millis() as u64));
    thread::sleep(MS(1000));
    // One is killed and started anew in the middle; its clients go to the new process.
    drop(clients.pop().unwrap().finish_without_waiting());
    drop(proxies.pop());
    let again = launch(PROXIES - 1);
    clients.push(traffic(&again, 99));
    thread::sleep(COLD - MS(1000));
    let times: Vec<Instant> = new
        .attempts()
        .iter()
        .map(|arrival| arrival.received_at)
        .collect();
    for client in clients {
        drop(client.finish_without_waiting());
    }
    // A server that 40 connections of 2 s load fully takes 20 a second when it is warm.
    for &end in &times {
        let warm = ((end - started).as_secs_f64() / COLD.as_secs_f64()).min(1.0);
        let n = 20.0 * (0.3 + 0.7 * warm) * 1.5;
        let most = if n < 30.0 {
            n + 3.0 * n.sqrt() + 3.0
        } else {
            n + 2.0 * n.sqrt() + 2.0
        };
        let count = times
            .iter()
            .filter(|at| **at <= end && end - **at < MS(1500))
            .count();
        assert!(
            count as f64 <= most,
            "{count} in 1.5 s, {most:.1} allowed, {warm:.2} warm"
        );
    }
    assert!(!times.is_empty(), "it is used within its budget");
}
