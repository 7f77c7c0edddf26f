//! Checks that a new build works together with an old one: with the same files, in one fleet, and as the successor of a
//! process with clients. All of it is on loopback, in directories of its own.
//!
//! `cargo run --release -p violetwind --example mixed_builds -- --old PROGRAM --new PROGRAM`
//!
//! Prints one line per check, `ok NAME` or `FAILED NAME: REASON`; the exit code is 1 after any failure. The logs of the
//! processes in a failed check are written to standard error.

#![allow(
    clippy::print_stdout,
    clippy::print_stderr,
    reason = "a tool of developers, which may panic"
)]

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::panic::{self, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use clap::Parser;
use serde_json::Value;
use violetwind_record::{Reader, Record, RecordingEnd};
use violetwind_standins::budget_workload::{BudgetWorkload, WorkloadSpec};
use violetwind_standins::duty_history;
use violetwind_standins::fleet_harness::{FleetHarness, FleetSpec, count_live_members, node_name};
use violetwind_standins::work_orders::{
    ClientPool, WorkOrderHarness, client_addrs, coordinator_index, machines_in_phase,
};
use violetwind_standins::{ConnectionEnd, LineConnection};

const DUTY: &str = "export";
const BUDGET: &str = "tenant";
/// The total of the budget in units, of which each of three members has a floor of 2.
const BUDGET_TOTAL: usize = 60;
const MACHINE_COUNT: usize = 6;
/// The member whose process is killed; the others are terminated.
const KILLED: usize = 2;
/// Time within which both processes of an upgrade have handled SIGHUP and told each other.
const RELOAD_TIME: Duration = Duration::from_millis(300);
/// The server that an operator bans; it is in no order.
const BANNED: &str = "m-5/s";

/// Every member records its requests, takes part in one duty, and has one budget.
const OPERATOR_LINES: &str = "[record]\nfile = \"FILE.requests\"\n\
    [[fleet.duty]]\nname = \"export\"\n\
    [[fleet.budget]]\nname = \"tenant\"\nkind = \"held\"\nwhole = 60\nfloor = 2\n";

/// Two builds of the program.
#[derive(Debug, Parser)]
struct Builds {
    #[arg(long)]
    old: PathBuf,
    #[arg(long)]
    new: PathBuf,
}

fn main() -> ExitCode {
    let Builds { old, new } = Builds::parse();
    // The message of a failed check is printed once, below.
    panic::set_hook(Box::new(|_| {}));
    let checks: [(&str, &dyn Fn()); 5] = [
        ("new build on the old one's files", &|| {
            check_files(&old, &new)
        }),
        ("old build on the new one's files", &|| {
            check_files(&new, &old)
        }),
        ("one fleet of both builds", &|| {
            check_mixed_fleet(&old, &new)
        }),
        ("clients from old to new to old", &|| {
            check_upgrades(&old, &new)
        }),
        ("clients from new to old to new", &|| {
            check_upgrades(&new, &old)
        }),
    ];
    let passed: Vec<bool> = checks.map(|(name, check)| run_check(name, check)).into();
    match passed.iter().all(|passed| *passed) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Runs a check and prints its line.
fn run_check(name: &str, check: &dyn Fn()) -> bool {
    let Err(panic) = panic::catch_unwind(AssertUnwindSafe(check)) else {
        println!("ok {name}");
        return true;
    };
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text.or(panic.downcast_ref::<&str>().copied());
    let text = text.unwrap_or("no reason told");
    println!("FAILED {name}: {}", text.lines().next().unwrap_or_default());
    eprintln!("{text}");
    false
}

/// Starts three voters that keep all kinds of files on disk.
fn start_harness(program: &Path) -> WorkOrderHarness {
    WorkOrderHarness::start(program.into(), (3, 0), MACHINE_COUNT, OPERATOR_LINES)
}

/// Waits until all members are live.
fn wait_for_all_members(harness: &WorkOrderHarness) {
    harness.fleet.wait_until("all members are live", |fleet| {
        let all = (0..fleet.member_count()).all(|member| {
            let view = fleet
                .fetch_view(member)
                .filter(|view| view["majority"] == true);
            view.and_then(|view| count_live_members(&view)) == Some(fleet.member_count())
        });
        all.then_some(())
    });
}

/// The index of the duty's holder, and the fencing number.
fn duty_holder_and_fence(harness: &WorkOrderHarness) -> (usize, u64) {
    harness.fleet.wait_until("the duty is held", |fleet| {
        let views = (0..fleet.member_count()).filter_map(|member| fleet.fetch_view(member));
        let view = views.into_iter().find(|view| view["majority"] == true)?;
        let duty = entry_by_name(&view["duties"], DUTY)?;
        let holder = (0..fleet.member_count())
            .find(|member| duty["holder"] == node_name(*member).as_str())?;
        Some((holder, duty["fence"].as_u64()?))
    })
}

fn entry_by_name(list: &Value, name: &str) -> Option<Value> {
    let mut entries = list.as_array()?.iter();
    entries.find(|entry| entry["name"] == name).cloned()
}

/// Starts a workload on all members, and waits until more units are in use than their floors.
fn start_workload(harness: &WorkOrderHarness) -> BudgetWorkload {
    let spec = WorkloadSpec {
        workers_per_member: 24,
        held_budget: BUDGET.into(),
        hold_time: Duration::from_millis(60),
        greedy: false,
        rate_budget: None,
    };
    let workload = BudgetWorkload::start(&harness.fleet, &spec);
    (0..harness.fleet.member_count()).for_each(|member| workload.set_active_workers(member, 24));
    harness.wait_until("more units than the floors are in use", |_| {
        (workload.stats.lock().unwrap().units_in_use() > 18).then_some(())
    });
    workload
}

/// Stops the workload, which must never have used more units than the budget has.
fn stop_within_budget(workload: BudgetWorkload) {
    let stats = workload.stop();
    assert!(
        stats.max_in_use <= BUDGET_TOTAL,
        "{} of {BUDGET_TOTAL} units",
        stats.max_in_use
    );
}

/// Never two holders at once, and fencing numbers that only increase.
fn assert_single_holder(harness: &WorkOrderHarness) {
    let violations = duty_history::find_duty_violations(&harness.fleet.duty_events(), &[]);
    assert!(
        violations.is_empty(),
        "{violations:?}\n{}",
        harness.fleet.merged_log()
    );
}

/// The state that a fleet keeps on disk, as far as it is visible from outside.
#[derive(Debug)]
struct PersistedState {
    fence: u64,
    empty: Vec<String>,
    budget: (Value, Value),
    recordings: Vec<Vec<Record>>,
    directories: Vec<BTreeSet<PathBuf>>,
}

/// One build creates state and stops; the other starts with the same files and restores all of it.
fn check_files(first: &Path, second: &Path) {
    let mut harness = start_harness(first);
    wait_for_all_members(&harness);
    create_state(&harness);
    let fence = duty_holder_and_fence(&harness).1;
    let empty = machines_in_phase(
        &harness
            .fetch_work_view()
            .expect("a view of the work orders"),
        "empty",
    );
    let budget = budget_in_force(&harness);
    // A terminated process removes its file of machine availability; a killed one leaves it.
    (0..KILLED).for_each(|member| terminate_member(&mut harness, member));
    harness.fleet.kill_member(KILLED);
    assert_eq!(closed_machines(&harness, KILLED).as_ref(), Some(&empty));
    let persisted = PersistedState {
        fence,
        empty,
        budget,
        recordings: (0..3)
            .map(|member| read_recording(&harness, member, "requests"))
            .collect(),
        directories: (0..3)
            .map(|member| subdirectories(&harness, member))
            .collect(),
    };
    assert!(persisted.recordings.iter().all(|records| records.len() > 1));
    harness.fleet.set_program(second.into());
    (0..3).for_each(|member| harness.fleet.start_member(member));
    wait_for_all_members(&harness);
    assert_state_restored(&harness, &persisted);
    assert_work_continues(&harness);
}

/// A machine out by order, a banned server, units in use, and recorded requests. The duty is assigned without
/// a call.
fn create_state(harness: &WorkOrderHarness) {
    harness.plan_work_order(0, "kernel", "m-1..m-2", &["--floor", "0.5", "--most", "1"]);
    harness.wait_until("a machine is empty", |harness| {
        machines_in_phase(&harness.fetch_work_view()?, "empty").pop()
    });
    for member in 0..3 {
        harness.call_until_accepted(member, &format!("OFFLINE {BANNED}"));
    }
    let clients = ClientPool::start(client_addrs(&harness.fleet), 6);
    stop_within_budget(start_workload(harness));
    harness.wait_until("each proxy has served", |_| {
        let up = clients.stats.established.load(Ordering::Relaxed);
        (up >= 6).then_some(())
    });
    clients.stop();
    harness.wait_until("each proxy has recorded", |harness| {
        let has_begun = |member| member_file(harness, member, ".requests").exists();
        (0..3).all(has_begun).then_some(())
    });
}

fn terminate_member(harness: &mut WorkOrderHarness, member: usize) {
    let status = harness
        .fleet
        .terminate_member(member)
        .expect("a running process of the member");
    assert!(status.success(), "{} ends with {status}", node_name(member));
}

/// The units and the version of the budget that is in force.
fn budget_in_force(harness: &WorkOrderHarness) -> (Value, Value) {
    harness
        .fleet
        .wait_until("the budget is in the view", |fleet| {
            let budget = entry_by_name(&fleet.fetch_view(0)?["budgets"], BUDGET)?;
            Some((budget["whole"].clone(), budget["version"].clone()))
        })
}

fn member_file(harness: &WorkOrderHarness, member: usize, extension: &str) -> PathBuf {
    let file = format!("work.out{extension}");
    harness.fleet.dir().join(node_name(member)).join(file)
}

/// All records of a recording, which has to be complete.
fn read_recording(harness: &WorkOrderHarness, member: usize, extension: &str) -> Vec<Record> {
    let path = member_file(harness, member, &format!(".{extension}"));
    let file = File::open(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
    let mut reader = Reader::new(file);
    let records = reader.by_ref().collect();
    assert_eq!(
        reader.end(),
        Some(RecordingEnd::Whole),
        "{}",
        path.display()
    );
    records
}

/// The subdirectories of a member's log directory. Files that a build refuses are moved into one.
fn subdirectories(harness: &WorkOrderHarness, member: usize) -> BTreeSet<PathBuf> {
    let entries =
        fs::read_dir(harness.fleet.fleet_dir(member)).expect("the directory of the member's log");
    let paths = entries.map(|entry| entry.expect("a readable directory entry").path());
    paths.filter(|path| path.is_dir()).collect()
}

/// The machines that are closed in a member's availability file, if it exists.
fn closed_machines(harness: &WorkOrderHarness, member: usize) -> Option<Vec<String>> {
    let text = fs::read_to_string(member_file(harness, member, "")).ok()?;
    let (_, body) = text.split_once('\n').expect("a line with a checksum");
    let availability: Value = serde_json::from_str(body).expect("JSON behind the first line");
    let places = availability["places"]
        .as_object()
        .expect("places of machines");
    let closed = places.iter().filter(|(_, place)| place["closed"] == true);
    Some(closed.map(|(machine, _)| machine.clone()).collect())
}

/// All of the persisted state is still there.
fn assert_state_restored(harness: &WorkOrderHarness, persisted: &PersistedState) {
    let (_, fence) = duty_holder_and_fence(harness);
    assert!(
        fence >= persisted.fence,
        "fencing number {fence} after {}",
        persisted.fence
    );
    let view = harness.wait_until(
        "a view of the work orders",
        WorkOrderHarness::fetch_work_view,
    );
    assert_eq!(
        machines_in_phase(&view, "empty"),
        persisted.empty,
        "machines out"
    );
    assert_eq!(budget_in_force(harness), persisted.budget, "the budget");
    let message = "machines are out, by the file of the last process";
    assert!(
        harness.fleet.log_contains(KILLED, message),
        "no file was read"
    );
    (0..3).for_each(|member| assert_member_state_restored(harness, member, persisted));
}

/// The same for the files of one member.
fn assert_member_state_restored(
    harness: &WorkOrderHarness,
    member: usize,
    persisted: &PersistedState,
) {
    let node = node_name(member);
    harness.wait_until(
        "the member's file lists the machines that are out",
        |harness| (closed_machines(harness, member)? == persisted.empty).then_some(()),
    );
    let answer = harness
        .fleet
        .call_member(member, &format!("OFFLINE {BANNED}"));
    let answer = answer.unwrap_or_default();
    assert!(answer.contains("already"), "the ban at {node}: {answer}");
    let directories = subdirectories(harness, member);
    assert_eq!(directories, persisted.directories[member], "{node}'s log");
    // The new process may already have started a recording of its own.
    let earlier = &persisted.recordings[member];
    let extensions = ["requests", "requests.1"];
    let has_begun = member_file(harness, member, ".requests.1").exists();
    let records = read_recording(harness, member, extensions[usize::from(has_begun)]);
    assert_eq!(&records, earlier, "{node}'s recording");
}

/// The second build continues to work with the state that it found.
fn assert_work_continues(harness: &WorkOrderHarness) {
    stop_within_budget(start_workload(harness));
    // A machine with a banned server counts as out, and the order allows one.
    for member in 0..3 {
        harness.call_until_accepted(member, &format!("ONLINE {BANNED}"));
    }
    while let Some(machine) = harness.wait_until("the next machine is empty", next_empty_machine) {
        complete_work(harness, 0, &machine);
    }
    assert_single_holder(harness);
}

/// The next machine that is empty, or `Some(None)` once the order has ended.
fn next_empty_machine(harness: &WorkOrderHarness) -> Option<Option<String>> {
    let ended = harness.finished_view().map(|_| None);
    ended.or_else(|| {
        machines_in_phase(&harness.fetch_work_view()?, "empty")
            .pop()
            .map(Some)
    })
}

/// Reports at a proxy that the work on a machine is done, and waits until the machine has returned.
fn complete_work(harness: &WorkOrderHarness, member: usize, machine: &str) {
    harness.call_until_accepted(member, &format!("FLEET WORK DONE {machine}"));
    harness.wait_until("the machine has returned", |harness| {
        let view = harness.fetch_work_view()?;
        let all = view["orders"].as_array()?;
        let place = all
            .iter()
            .find_map(|order| entry_by_name(&order["machines"], machine));
        place
            .is_none_or(|place| place["phase"] == "done")
            .then_some(())
    });
}

/// Checks a fleet of two old members and a new one, then of one old and two new ones.
fn check_mixed_fleet(old: &Path, new: &Path) {
    let mut harness = start_harness(old);
    wait_for_all_members(&harness);
    change_build(&mut harness, 2, new);
    let workload = start_workload(&harness);
    harness.plan_work_order(0, "kernel", "m-1..m-4", &["--floor", "0.5", "--most", "1"]);
    rotate_duty(&mut harness, &workload, [(0, old), (2, new), (1, old)]);
    assert_work_continues_under(&harness, [2, 0]);
    (0..3).for_each(|member| workload.set_active_workers(member, 0));
    change_build(&mut harness, 1, new);
    (0..3).for_each(|member| workload.set_active_workers(member, 24));
    rotate_duty(&mut harness, &workload, [(0, old), (1, new), (2, new)]);
    assert_work_continues_under(&harness, [1, 0]);
    let view = harness.wait_until("the order has ended", WorkOrderHarness::finished_view);
    assert_eq!(view["ended"][0]["done"], 4, "{view}");
    stop_within_budget(workload);
    assert_single_holder(&harness);
    harness.assert_no_violations(&[], 1);
}

/// Terminates a member, and starts another build with its files.
fn change_build(harness: &mut WorkOrderHarness, member: usize, program: &Path) {
    terminate_member(harness, member);
    harness.fleet.set_program(program.into());
    harness.fleet.start_member(member);
    wait_for_all_members(harness);
}

/// Hands the duty on to each member in turn, then kills each member while it holds the duty and restarts it with its
/// build.
fn rotate_duty(
    harness: &mut WorkOrderHarness,
    workload: &BudgetWorkload,
    members: [(usize, &Path); 3],
) {
    for (to, _) in members {
        hand_off_duty(harness, DUTY, to);
    }
    for (member, program) in members {
        hand_off_duty(harness, DUTY, member);
        let (_, fence) = duty_holder_and_fence(harness);
        harness.fleet.kill_member(member);
        // The connections of its workers end with it.
        workload.stats.lock().unwrap().held_units.remove(&member);
        harness.wait_until("another holds the duty", |harness| {
            let (holder, next) = duty_holder_and_fence(harness);
            (holder != member && next > fence).then_some(())
        });
        harness.fleet.set_program(program.into());
        harness.fleet.start_member(member);
        wait_for_all_members(harness);
    }
}

fn hand_off_duty(harness: &WorkOrderHarness, duty: &str, to: usize) {
    harness.call_until_accepted(0, &format!("FLEET HAND-ON {duty} {}", node_name(to)));
    harness.wait_until("the duty is handed on", |harness| {
        let holder = harness.fleet.duty_holder(to, duty)?;
        (holder == to).then_some(())
    });
}

/// Checks each of these members as the coordinator while one machine returns and the next one drains.
fn assert_work_continues_under(harness: &WorkOrderHarness, coordinators: [usize; 2]) {
    for member in coordinators {
        let machine = harness.wait_until("a machine is empty", next_empty_machine);
        hand_off_duty(harness, "work", member);
        let view = harness.wait_until(
            "a view of the work orders",
            WorkOrderHarness::fetch_work_view,
        );
        assert_eq!(
            coordinator_index(&harness.fleet, &view),
            Some(member),
            "{view}"
        );
        complete_work(
            harness,
            member,
            &machine.expect("a machine of an order that has not ended"),
        );
    }
}

/// A client's connection and the server's side of it.
type Pair = (LineConnection, LineConnection);

/// Clients stay connected through two upgrades of their proxy, and are moved when it terminates.
fn check_upgrades(first: &Path, second: &Path) {
    let mut fleet = FleetHarness::start(FleetSpec {
        program: first.into(),
        voters: 3,
        non_voters: 0,
        lease_ms: 1000,
        election_timeout_ms: 200,
        duties: vec![DUTY.into()],
        slow_start_window_s: 0.3,
        log_level: "info",
        fleet_toml: String::new(),
        extra_toml: String::new(),
    });
    fleet.wait_for_holder(DUTY, 0);
    wait_until_serving(&fleet);
    let mut pairs: Vec<Pair> = (0..5)
        .map(|number| open_connection(&fleet, number))
        .collect();
    pairs.iter_mut().for_each(exchange_lines);
    for program in [second, first] {
        upgrade(&mut fleet, program);
        pairs.iter_mut().for_each(exchange_lines);
        let from = pairs.len() as u64;
        pairs.extend((from..from + 5).map(|number| open_connection(&fleet, number)));
        pairs.iter_mut().for_each(exchange_lines);
    }
    fleet.send_signal(0, "-TERM");
    for (client, _) in &mut pairs {
        assert_eq!(client.read_line(), "MOVE");
        assert_eq!(client.expect_end(), ConnectionEnd::Closed);
    }
    assert!(
        fleet
            .wait_for_exit(0)
            .expect("a running process of the member")
            .success()
    );
}

fn wait_until_serving(fleet: &FleetHarness) {
    fleet.wait_until("member 0 serves", |fleet| {
        fleet
            .call_member(0, "HEALTH")?
            .starts_with("200")
            .then_some(())
    });
}

/// Opens a connection through member 0 and waits until it is established.
fn open_connection(fleet: &FleetHarness, number: u64) -> Pair {
    let mut client = LineConnection::connect(fleet.client_addr(0));
    client.send_line(&format!(
        "OPEN {number:016x} 7f3a9c21e0b4d655 c=watch,d=2000"
    ));
    let (_, mut server) = fleet.server.next_open();
    server.send_line("UP 77aa");
    assert_eq!(client.read_line(), "UP 77aa");
    (client, server)
}

/// Sends one line in each direction.
fn exchange_lines((client, server): &mut Pair) {
    client.send_line("SAY on");
    assert_eq!(server.read_line(), "SAY on");
    server.send_line("OK on");
    assert_eq!(client.read_line(), "OK on");
}

/// Upgrades member 0 to another build: the successor takes over from the process, which is terminated.
fn upgrade(fleet: &mut FleetHarness, program: &Path) {
    fleet.set_program(program.into());
    let mut next = fleet.start_successor(0);
    fleet.wait_until("the successor serves", |fleet| {
        fleet
            .call_member(0, "HEALTH")?
            .contains("successor")
            .then_some(())
    });
    // A build that tells the other process of a reload must not end the session of one that can't read that.
    next.send_signal("-HUP");
    fleet.send_signal(0, "-HUP");
    thread::sleep(RELOAD_TIME);
    assert!(!fleet.log_contains(0, "clients are served here again"));
    assert!(
        fleet
            .terminate_member(0)
            .expect("a running process of the member")
            .success()
    );
    fleet.adopt_process(0, &mut next);
    wait_until_serving(fleet);
    fleet.wait_until("the successor is a member", |fleet| {
        let own = member_entry(&fleet.fetch_view(0)?, &node_name(0))?;
        (own["state"] == "live" && own["votes"] == true).then_some(())
    });
}

fn member_entry(view: &Value, node: &str) -> Option<Value> {
    let mut members = view["members"].as_array()?.iter();
    members.find(|member| member["node"] == node).cloned()
}
