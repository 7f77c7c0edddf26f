//! Orders for work on machines over several real processes with clients, staff, and faults between them; the books are
//! kept outside and merged by the machine's clock.

use std::sync::atomic::Ordering;
use std::thread::sleep;
use std::time::{Duration, Instant};

use serde_json::json;
use violetwind_standins::echo_server::EchoServer;
use violetwind_standins::relay::LinkMode;
use violetwind_standins::work_orders::{
    ClientPool, Emptied, SimulatedOperators, WorkOrderHarness, client_addrs, collect_out_intervals,
    coordinator_index, find_work_violations, machines_in_phase, management_addrs,
};
use violetwind_standins::{LineConnection, boottime_ms, target_row};

const MACHINES: usize = 6;

fn night(voters: usize, others: usize, lines: &str) -> WorkOrderHarness {
    let program = env!("CARGO_BIN_EXE_violetwind");
    WorkOrderHarness::start(program.into(), (voters, others), MACHINES, lines)
}

#[test]
fn all_machines_are_worked_on_through_kills_stalls_and_cuts_and_no_client_is_lost() {
    let mut night = night(3, 2, "");
    let clients = ClientPool::start(client_addrs(&night.fleet), 30);
    let staff =
        SimulatedOperators::start(management_addrs(&night.fleet), Duration::from_millis(50));
    night.plan_work_order(4, "kernel", "m-0..m-5", &["--floor", "0.5", "--most", "2"]);
    let (mut faults, mut before, mut struck_at) = (0, None, None);
    let begun = Instant::now();
    // Whoever conducts is struck again and again, by turns, in the middle of whatever it does.
    let view = loop {
        if let Some(view) = night.finished_view() {
            break view;
        }
        assert!(
            begun.elapsed() < Duration::from_secs(20),
            "{}
{:?}",
            night.fleet.merged_log(),
            night.fetch_work_view()
        );
        let now = night
            .fetch_work_view()
            .map(|view| view["orders"][0]["machines"].clone());
        let stepped = now.is_some() && now != struck_at && before != now;
        before = now.clone();
        if !stepped || faults == 8 {
            sleep(Duration::from_millis(10));
            continue;
        }
        struck_at = now;
        let Some(at) = night
            .fetch_work_view()
            .and_then(|view| coordinator_index(&night.fleet, &view))
        else {
            sleep(Duration::from_millis(20));
            continue;
        };
        let rest: Vec<usize> = (0..5).filter(|other| *other != at).collect();
        match faults % 4 {
            0 => {
                clients.set_proxy_excused(at, true);
                night.fleet.kill_member(at);
                sleep(Duration::from_millis(100));
                night.fleet.start_member(at);
            }
            1 => {
                // For longer than its lease, and on with a step in hand.
                clients.set_proxy_excused(at, true);
                night.fleet.send_signal(at, "-STOP");
                sleep(Duration::from_millis(1500));
                night.fleet.send_signal(at, "-CONT");
            }
            2 => {
                // It serves on, and has to confirm what it has not heard.
                night.fleet.set_links_between(&[at], &rest, LinkMode::Reset);
                sleep(Duration::from_millis(1500));
                night.fleet.heal_links();
            }
            _ => {
                night.fleet.set_links_between(
                    &[at],
                    &rest,
                    LinkMode::Delay(Duration::from_millis(30)),
                );
                sleep(Duration::from_millis(400));
                night.fleet.heal_links();
            }
        }
        faults += 1;
        sleep(Duration::from_millis(700));
        night.wait_until("it serves again", |night| {
            night
                .fleet
                .call_member(at, "HEALTH")?
                .starts_with("200 ")
                .then_some(())
        });
        clients.set_proxy_excused(at, false);
    };
    let took = begun.elapsed();
    let emptied = staff.stop();
    let seen = clients.stop();
    assert_eq!(view["ended"][0]["done"], MACHINES, "{view}");
    assert_eq!(view["out"], json!([]));
    assert_eq!(emptied.len(), MACHINES, "{emptied:?}");
    night.assert_no_violations(&emptied, 2);
    let count = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
    println!(
        "{took:?}, {faults} faults, {} asked, {} moved, {} refused, {} failed, {} cut",
        count(&seen.requests),
        count(&seen.moved),
        count(&seen.refused),
        count(&seen.failed),
        count(&seen.dropped)
    );
    assert_eq!(
        (
            count(&seen.lost),
            count(&seen.duplicate_answers),
            count(&seen.dropped)
        ),
        (0, 0, 0)
    );
    assert!(faults >= 3 && count(&seen.moved) > 0);
}

fn shown(night: &WorkOrderHarness, at: usize) -> String {
    night.run_work_command(at, &["show"]).unwrap_or_default()
}

/// The operator stands on the smaller side: nothing can be planned there, what is out is told all the same, and the
/// proxies there serve on. A machine stays until they have confirmed.
#[test]
fn two_halves_with_the_operator_on_the_smaller() {
    let night = night(3, 2, "");
    let clients = ClientPool::start(client_addrs(&night.fleet), 10);
    night.plan_work_order(0, "kernel", "m-0..m-5", &["--floor", "0.5", "--most", "1"]);
    let first = night.wait_until("one leaves", |night| {
        machines_in_phase(&night.fetch_work_view()?, "leaving").pop()
    });
    night.wait_for_phase(&first, "empty");
    let (small, large) = ([2, 4], [0, 1, 3]);
    night
        .fleet
        .set_links_between(&small, &large, LinkMode::Reset);
    night.wait_until("the smaller half says so", |night| {
        let said = night.fleet.call_member(2, "FLEET WORK PAUSE")?;
        said.starts_with("400 nobody that leads").then_some(())
    });
    let alone = shown(&night, 4);
    assert!(alone.contains("the fleet has not answered"), "{alone}");
    assert!(alone.starts_with(&format!("out: {first}\n")), "{alone}");
    // The other half goes on: but not with a step that the smaller half has to confirm.
    night.call_until_accepted(0, &format!("FLEET WORK DONE {first}"));
    night.wait_until("it says whom it waits for", |night| {
        let shown = shown(night, 0);
        let line = shown.lines().find(|line| line.starts_with(&first))?;
        line.ends_with("not taken back yet by node-c, node-e")
            .then_some(())
    });
    assert!(
        night
            .fleet
            .call_member(4, "HEALTH")
            .unwrap()
            .starts_with("200 ")
    );
    night.fleet.heal_links();
    night.wait_until("it is back", |night| {
        (night.machine_phase(&first)? == "done").then_some(())
    });
    let seen = clients.stop();
    assert_eq!(
        seen.lost.load(Ordering::Relaxed) + seen.dropped.load(Ordering::Relaxed),
        0
    );
    let emptied = [];
    night.assert_no_violations(&emptied, 1);
}

/// `pause` holds everywhere within a second, `cancel` puts back what is out, and what was told as empty is not told so
/// again; a machine never worked on, and one that never empties, are listed as failed until staff say what becomes of them.
#[test]
fn pause_cancel_and_limits_of_time() {
    let night = night(3, 0, "");
    night.plan_work_order(
        1,
        "kernel",
        "m-0..m-5",
        &["--floor", "0.5", "--most", "2", "--work", "1"],
    );
    let first = night.wait_until("one is empty", |night| {
        machines_in_phase(&night.fetch_work_view()?, "empty").pop()
    });
    let paused = boottime_ms();
    night.call_until_accepted(2, "FLEET WORK PAUSE");
    night.wait_for_phase(&first, "failed");
    let late = collect_out_intervals(&night.fleet);
    let late = late.iter().filter(|out| out.from > paused + 1000);
    assert_eq!(late.count(), 0, "{}", night.fleet.merged_log());
    night.wait_until("it says why", |night| {
        let text = shown(night, 1);
        let why = "it is out and failed (NeverWorked): staff say what becomes of it";
        (text.contains("kernel: paused") && text.contains(why)).then_some(())
    });
    // Refused: it is not what comes next, and nothing has changed.
    let refused = night
        .fleet
        .call_member(0, "FLEET WORK FAILED m-99")
        .unwrap();
    assert_eq!(refused, "400 m-99 is in no order");
    night.call_until_accepted(0, "FLEET WORK CANCEL");
    let ended = night.wait_until("it ends", |night| {
        for machine in machines_in_phase(&night.fetch_work_view()?, "failed") {
            night
                .fleet
                .call_member(0, &format!("FLEET WORK RECALL {machine}"));
        }
        night.finished_view()
    });
    assert_eq!(ended["out"], json!([]), "{ended}");
    assert_eq!(
        ended["ended"][0]["spared"].as_u64().unwrap() + ended["ended"][0]["done"].as_u64().unwrap(),
        6
    );
    // The same machines may be ordered anew; one that keeps its clients never empties in time.
    let mut client = LineConnection::connect(night.fleet.client_addr(0));
    client.send_line("OPEN 51c3a9be00d24f17 7f3a9c21e0b4d655 c=watch,d=2000");
    let up = client.read_line();
    let machine = up
        .split(['-', '/'])
        .nth(1)
        .map(|at| format!("m-{at}"))
        .unwrap();
    assert!(up.starts_with("UP m-"), "{up}");
    let only = format!("FLEET WORK PLAN again {machine} floor=0 leave=1");
    night.call_until_accepted(0, &only);
    night.wait_for_phase(&machine, "failed");
    night.wait_until("it says why", |night| {
        shown(night, 0).contains("NeverEmpty").then_some(())
    });
    assert_eq!(client.read_line(), "MOVE");
    drop(client);
    night.call_until_accepted(0, &format!("FLEET WORK DONE {machine}"));
    night.wait_until("it ends", |night| {
        night
            .finished_view()
            .filter(|view| view["ended"].as_array().unwrap().len() == 2)
    });
}

/// Words given at one proxy are stronger there: a machine that staff have closed counts as out, one that they open while
/// it is empty is listed as failed at once.
#[test]
fn operators_words_at_one_proxy_stay_stronger() {
    let night = night(3, 0, "");
    night.call_until_accepted(1, "OFFLINE m-0/s");
    night.wait_until("all know of it", |night| {
        let text = night.run_work_command(2, &["show"]).ok()?;
        text.contains("closed by operators: m-0").then_some(())
    });
    night.plan_work_order(
        0,
        "kernel",
        "m-0..m-5",
        &["--floor", "0.5", "--most", "2", "--zone-most", "2"],
    );
    let first = night.wait_until("one is empty", |night| {
        machines_in_phase(&night.fetch_work_view()?, "empty").pop()
    });
    assert_ne!(first, "m-0");
    let text = night.wait_until("it says why", |night| {
        let text = shown(night, 2);
        text.contains("lost, or closed by an operator")
            .then_some(text)
    });
    assert!(
        text.lines()
            .any(|line| line.starts_with("m-0 ") && line.contains("closed by an operator")),
        "{text}"
    );
    // With that one there are two out, and nothing more goes.
    assert!(text.contains("2 of 2 are out"), "{text}");
    night.call_until_accepted(2, &format!("ONLINE {first}/s"));
    night.wait_for_phase(&first, "failed");
    night.wait_until("it says why", |night| {
        shown(night, 0).contains("Opened").then_some(())
    });
    night.call_until_accepted(2, &format!("OFFLINE {first}/s"));
    night.call_until_accepted(2, &format!("ONLINE {first}/s"));
    night.call_until_accepted(0, &format!("FLEET WORK DONE {first}"));
    night.call_until_accepted(1, "ONLINE m-0/s");
    night.wait_for_phase(&first, "done");
}

/// A machine that carries a proxy: that one is left, told as empty with its machine, killed and started anew while it is
/// worked on, and takes clients again when the machine is back; who conducts hands that on before its own turn.
#[test]
fn a_machine_with_a_proxy_is_left_and_comes_back() {
    let own = "[[fleet.work.machine]]\nname = \"p-1\"\nproxy = \"node-a\"\nzone = \"p\"\n\
               [[fleet.work.machine]]\nname = \"p-2\"\nproxy = \"node-b\"\nzone = \"q\"\n\
               [[fleet.work.machine]]\nname = \"p-3\"\nproxy = \"node-c\"\nzone = \"r\"";
    let mut night = night(3, 0, own);
    night.call_until_accepted(0, "FLEET HAND-ON work node-a");
    night.fleet.wait_for_holder("work", 0);
    night.wait_until("node-a conducts", |night| {
        (night.fleet.duty_holder(1, "work")? == 0).then_some(())
    });
    night.call_until_accepted(2, "FLEET WORK PLAN bios p-1,p-2 most=2 zone-most=2 floor=0");
    // Of two that are as empty the first by name goes; the clients come while it leaves.
    night.wait_for_phase("p-1", "leaving");
    let clients = ClientPool::start(client_addrs(&night.fleet), 6);
    // Voters go one at a time, and node-a has handed on.
    night.wait_for_phase("p-1", "empty");
    assert_ne!(night.fleet.duty_holder(2, "work"), Some(0));
    assert_eq!(night.machine_phase("p-2").as_deref(), Some("waiting"));
    assert!(shown(&night, 2).contains("another voter of the fleet is out"));
    assert!(
        night
            .fleet
            .call_member(0, "HEALTH")
            .unwrap()
            .ends_with(", left")
    );
    clients.set_proxy_excused(0, true);
    night.fleet.kill_member(0);
    let down = Instant::now();
    // The others go on without its word, as it has confirmed that it serves nobody.
    // Whoever led may have been killed with it: the first view that a majority has settled says so.
    let phase = night.wait_until("a settled view", |night| night.machine_phase("p-1"));
    assert_eq!(phase, "empty");
    night.fleet.start_member(0);
    night.wait_until("it is up, and left", |night| {
        night
            .fleet
            .call_member(0, "HEALTH")?
            .ends_with(", left")
            .then_some(())
    });
    let mut client = LineConnection::connect(night.fleet.client_addr(0));
    client.send_line("OPEN 51c3a9be00d24f17 7f3a9c21e0b4d655 c=watch,d=2000");
    assert!(
        client.read_line().starts_with("BUSY"),
        "{:?}",
        down.elapsed()
    );
    night.call_until_accepted(1, "FLEET WORK DONE p-1");
    night.wait_for_phase("p-1", "done");
    let health = night.fleet.call_member(0, "HEALTH").unwrap();
    assert!(
        health.starts_with("200 ") && !health.contains("left"),
        "{health}"
    );
    night.wait_for_phase("p-2", "empty");
    night.call_until_accepted(0, "FLEET WORK DONE p-2");
    night.wait_until("it ends", |night| night.finished_view());
    clients.set_proxy_excused(0, false);
    let seen = clients.stop();
    assert_eq!(
        seen.lost.load(Ordering::Relaxed) + seen.duplicate_answers.load(Ordering::Relaxed),
        0
    );
}

/// A proxy that starts while the fleet can't be reached goes by what it had on disk, before its first client; one whose
/// file was altered says where, and waits for the fleet's word.
#[test]
fn a_new_process_goes_by_what_was_out_before_its_first_client() {
    let mut night = night(3, 0, "first = \"10s\"");
    night.plan_work_order(0, "kernel", "m-0..m-5", &["--floor", "0.5", "--most", "1"]);
    let first = night.wait_until("one is empty", |night| {
        machines_in_phase(&night.fetch_work_view()?, "empty").pop()
    });
    let at: usize = first[2..].parse().unwrap();
    night
        .fleet
        .set_links_between(&[2], &[0, 1], LinkMode::Reset);
    night.fleet.kill_member(2);
    night.fleet.start_member(2);
    night.wait_until("it serves", |night| {
        night
            .fleet
            .call_member(2, "HEALTH")?
            .starts_with("200 ")
            .then_some(())
    });
    assert!(
        night
            .fleet
            .log_contains(2, "by the file of the last process")
    );
    let visits = |night: &WorkOrderHarness| night.servers[at].visits().len();
    let before = visits(&night);
    let mut clients: Vec<LineConnection> = (0..24)
        .map(|number| {
            let mut client = LineConnection::connect(night.fleet.client_addr(2));
            client.send_line(&format!(
                "OPEN {number:016x} 7f3a9c21e0b4d655 c=watch,d=2000"
            ));
            assert!(client.read_line().starts_with("UP "));
            client
        })
        .collect();
    clients
        .iter_mut()
        .for_each(|client| client.send_line("SAY on"));
    assert_eq!(visits(&night), before);
    // Altered: refused with its place, and the fleet's list is waited for.
    night.fleet.kill_member(2);
    let file = night.fleet.fleet_dir(2).parent().unwrap().join("work.out");
    let mut bytes = std::fs::read(&file).unwrap();
    let last = bytes.len() - 5;
    bytes[last] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    night.fleet.heal_links();
    night.fleet.start_member(2);
    night.wait_until("it serves", |night| {
        night
            .fleet
            .call_member(2, "HEALTH")?
            .starts_with("200 ")
            .then_some(())
    });
    assert!(night.fleet.log_contains(2, "the checksum differs"));
    for number in 100..124 {
        let mut client = LineConnection::connect(night.fleet.client_addr(2));
        client.send_line(&format!(
            "OPEN {number:016x} 7f3a9c21e0b4d655 c=watch,d=2000"
        ));
        assert!(client.read_line().starts_with("UP "));
    }
    assert_eq!(visits(&night), before, "{}", night.fleet.merged_log());
}

/// The books find what they are for: a proxy that is no member of the fleet sends clients to a machine that was told as
/// empty, and an order that allows two is checked for one.
#[test]
fn the_books_find_a_client_at_an_empty_machine_and_one_machine_too_many() {
    let night = night(3, 0, "");
    night.plan_work_order(0, "kernel", "m-0..m-5", &["--floor", "0.5", "--most", "2"]);
    let two = night.wait_until("two are empty", |night| {
        let empty = machines_in_phase(&night.fetch_work_view()?, "empty");
        (empty.len() == 2).then_some(empty)
    });
    let now = boottime_ms();
    let plain = night.fleet.start_standalone_process(0);
    night.wait_until("it serves", |_| {
        let mut stream = std::net::TcpStream::connect(plain.client_addr).ok()?;
        std::io::Write::write_all(&mut stream, b"PING\r\n").ok()?;
        let mut answer = [0; 4];
        std::io::Read::read_exact(&mut stream, &mut answer).ok()?;
        (&answer == b"PONG").then_some(())
    });
    let emptied: Vec<Emptied> = two
        .iter()
        .map(|machine| Emptied {
            machine: machine.clone(),
            from: now,
            until: u64::MAX,
        })
        .collect();
    night.assert_no_violations(&emptied, 2);
    let mut clients = Vec::new();
    night.wait_until("a client is there", |night| {
        let mut client = LineConnection::connect(plain.client_addr);
        let number = clients.len() + 1;
        client.send_line(&format!(
            "OPEN 00ff{number:012x} {number:016x} c=watch,d=2000"
        ));
        let _ = client.read_line();
        clients.push(client);
        let there = night
            .servers
            .iter()
            .filter(|worker| two.contains(&worker.uid[..3].to_string()));
        (there.map(|worker| worker.visits().len()).sum::<usize>() > 0).then_some(())
    });
    let found = find_work_violations(
        &collect_out_intervals(&night.fleet),
        &emptied,
        &night.servers,
        1,
    );
    assert!(
        found
            .iter()
            .any(|what| what.starts_with("Empty Means Empty")),
        "{found:?}"
    );
    assert!(
        found
            .iter()
            .any(|what| what.starts_with("Never Too Many Out: 2 of 1")),
        "{found:?}"
    );
}

/// Discovery replaces servers in the middle: what is listed anew on a machine that is out gets nobody. A machine that does
/// not return in time is listed as failed, and back once it is sound; while one is lost nothing more goes.
#[test]
fn servers_replaced_lost_and_late_while_machines_are_out() {
    let night = night(3, 0, "");
    night.call_until_accepted(
        0,
        "FLEET WORK PLAN kernel m-1..m-2 most=1 floor=500 back=1000",
    );
    let first = night.wait_until("one is empty", |night| {
        machines_in_phase(&night.fetch_work_view()?, "empty").pop()
    });
    let at: usize = first[2..].parse().unwrap();
    // A rolling deploy: another server on the machine that is out, and the old one is gone.
    let next = EchoServer::start(&format!("{first}/t"), 200).unwrap();
    night.list_server(at, &next);
    let mut row = target_row(
        &night.servers[at].uid,
        &night.servers[at].addr.to_string(),
        "gone",
    );
    row["az"] = json!("b");
    night.fleet.upsert_target(row);
    let clients = ClientPool::start(client_addrs(&night.fleet), 24);
    night.wait_until("others serve them", |night| {
        let open = night
            .servers
            .iter()
            .map(EchoServer::open_connections)
            .sum::<usize>();
        (open == 24).then_some(())
    });
    assert_eq!(next.visits(), vec![], "{}", night.fleet.merged_log());
    // Put back with a server that does not answer its list: it is not there.
    let gone = |worker: &EchoServer, state: &str| {
        let mut row = target_row(&worker.uid, &worker.addr.to_string(), state);
        row["az"] = json!("b");
        night.fleet.upsert_target(row);
    };
    gone(&next, "gone");
    night.call_until_accepted(1, &format!("FLEET WORK DONE {first}"));
    night.wait_for_phase(&first, "failed");
    let other = if first == "m-1" { "m-2" } else { "m-1" };
    assert_eq!(night.machine_phase(other).as_deref(), Some("waiting"));
    gone(&next, "ready");
    night.call_until_accepted(1, &format!("FLEET WORK DONE {first}"));
    night.wait_for_phase(other, "empty");
    assert_eq!(night.machine_phase(&first).as_deref(), Some("done"));
    night.wait_until("it takes clients again", |_| {
        (next.open_connections() > 0).then_some(())
    });
    night.call_until_accepted(2, &format!("FLEET WORK DONE {other}"));
    night.wait_until("it ends", |night| night.finished_view());
    // One is lost of itself: it counts as out, and nothing goes until it is back.
    gone(&night.servers[3], "gone");
    night.plan_work_order(
        0,
        "bios",
        "m-4..m-5",
        &["--most", "1", "--zone-most", "1", "--floor", "0"],
    );
    night.wait_until("it says why", |night| {
        let text = night.run_work_command(1, &["show"]).ok()?;
        let why = |machine: &str| {
            let line = text.lines().find(|line| line.starts_with(machine));
            line.is_some_and(|line| line.contains("1 of 1 are out"))
        };
        (why("m-4") && why("m-5")).then_some(())
    });
    night.list_server(3, &night.servers[3]);
    night.wait_until("one goes", |night| {
        machines_in_phase(&night.fetch_work_view()?, "empty").pop()
    });
    let seen = clients.stop();
    assert_eq!(
        seen.lost.load(Ordering::Relaxed) + seen.duplicate_answers.load(Ordering::Relaxed),
        0
    );
    night.assert_no_violations(&[], 1);
}
