//! What a fleet costs, on real processes on loopback: `cargo bench -p violetwind --bench duties`. Figures of one
//! run on one machine; compare only within a run.

use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt as _;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use violetwind_standins::boottime_ms;
use violetwind_standins::budget_workload::{BudgetWorkload, WorkloadSpec};
use violetwind_standins::fleet_harness::{FleetHarness, FleetSpec, count_live_members, node_name};
use violetwind_standins::{LineConnection, duty_history};

fn spec(voters: usize, others: usize, sync: bool) -> FleetSpec {
    FleetSpec {
        program: env!("CARGO_BIN_EXE_violetwind").into(),
        voters,
        non_voters: others,
        lease_ms: 2000,
        election_timeout_ms: 500,
        duties: vec!["export".into()],
        slow_start_window_s: 4.0,
        log_level: "info",
        fleet_toml: format!(
            "sync = {sync}\nlinks = {}\n",
            if others > 0 { 512 } else { 64 }
        ),
        extra_toml: String::new(),
    }
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * part).round() as usize]
}

fn shown(what: &str, mut all: Vec<f64>) {
    all.sort_by(f64::total_cmp);
    let (p50, p99) = (quantile(&all, 0.5), quantile(&all, 0.99));
    println!("{what}: p50 {p50:.2} ms, p99 {p99:.2} ms, n {}", all.len());
}

fn leader(members: &FleetHarness, not: Option<usize>) -> usize {
    members.wait_until("a leader", |members| {
        let leader = (0..members.member_count())
            .filter(|at| Some(*at) != not)
            .find_map(|at| {
                let view = members
                    .fetch_view(at)
                    .filter(|view| view["majority"] == true)?;
                view["leader"].as_str().map(str::to_string)
            })?;
        (0..members.member_count())
            .find(|at| node_name(*at) == leader)
            .filter(|at| Some(*at) != not)
    })
}

/// User and system time of a process, and the most memory that it has held.
fn used(pid: u32) -> (Duration, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split(' ').collect();
    let ticks = |at: usize| fields[at].parse::<u64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap();
    let kib = peak.trim().trim_end_matches(" kB").trim().parse().unwrap();
    (Duration::from_millis(10 * (ticks(12) + ticks(13))), kib)
}

/// Processor time of a process's first thread so far, as the scheduler counts it: the engine's, on which all of the
/// ordinary path runs. The fleet has threads of its own.
fn ran(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/schedstat")).unwrap();
    Duration::from_nanos(text.split(' ').next().unwrap().parse().unwrap())
}

/// Pairs of runs on and off, in turn; set-ups and lines of each.
const PAIRS: usize = 60;
const OPENS: u32 = 150;
const LINES: u32 = 3000;

/// Processor time of the engine's thread for a set-up and for a relayed line there and back.
fn ordinary(members: &FleetHarness, pid: u32, at: SocketAddr, id: &mut u64) -> (f64, f64) {
    let begun = ran(pid);
    let mut pair = opened(members, at, id, OPENS);
    let set_up = ran(pid);
    relayed(&mut pair, LINES);
    let ended = ran(pid);
    let micros = |span: Duration, count: u32| span.as_secs_f64() * 1e6 / f64::from(count);
    (micros(set_up - begun, OPENS), micros(ended - set_up, LINES))
}

/// Clients set up one after the other, each ended by the next; the last one and its server's end.
fn opened(
    members: &FleetHarness,
    at: SocketAddr,
    id: &mut u64,
    count: u32,
) -> (LineConnection, LineConnection) {
    let mut pair = None;
    for _ in 0..count {
        let mut client = LineConnection::connect(at);
        *id += 1;
        client.send_line(&format!("OPEN {id:016x} 7f3a9c21e0b4d655 c=watch,d=2000"));
        let (_, mut conn) = members.server.next_open();
        conn.send_line("UP 77aa");
        assert_eq!(client.read_line(), "UP 77aa");
        pair = Some((client, conn));
    }
    pair.unwrap()
}

/// A line there and a line back, so many times.
fn relayed((client, conn): &mut (LineConnection, LineConnection), count: u32) {
    for _ in 0..count {
        client.send_line("line");
        assert_eq!(conn.read_line(), "line");
        conn.send_line("line");
        assert_eq!(client.read_line(), "line");
    }
}

/// What the engine's thread has done between two dumps of callgrind's counts.
struct Counted {
    instructions: f64,
    took: Duration,
}

/// Instructions of the engine's thread in user space while `work` runs: the counts are dumped, which zeroes them,
/// before and after. The dump's own file is `out.PID.N-01`, its sum in the line `totals:`.
fn counted(dir: &Path, pid: u32, dumps: &mut u32, work: impl FnOnce()) -> Counted {
    let mut dump = || {
        let told = Command::new("callgrind_control")
            .arg(format!("--vgdb-prefix={}/vgdb", dir.display()))
            .args(["--dump", &pid.to_string()])
            .output()
            .unwrap();
        assert!(told.status.success(), "{told:?}");
        *dumps += 1;
        let file = dir.join(format!("out.{pid}.{dumps}-01"));
        let text = std::fs::read_to_string(&file).expect("a dump");
        let totals = text.lines().find_map(|line| line.strip_prefix("totals:"));
        totals.unwrap().trim().parse::<f64>().unwrap()
    };
    dump();
    let begun = Instant::now();
    work();
    let took = begun.elapsed();
    Counted {
        instructions: dump(),
        took,
    }
}

/// Instructions a set-up and a relayed line, with what the thread does by the clock taken off at its idle rate.
fn instructions(members: &FleetHarness, dir: &Path, pid: u32, at: SocketAddr) -> [f64; 2] {
    let (mut id, mut dumps) = (0x51c3_a9be_00d2_0000, 0);
    let mut pair = opened(members, at, &mut id, OPENS);
    relayed(&mut pair, LINES);
    let idle = counted(dir, pid, &mut dumps, || {
        std::thread::sleep(Duration::from_secs(5));
    });
    let a_second = idle.instructions / idle.took.as_secs_f64();
    let set_ups = counted(dir, pid, &mut dumps, || {
        pair = opened(members, at, &mut id, 10 * OPENS);
    });
    let lines = counted(dir, pid, &mut dumps, || relayed(&mut pair, 10 * LINES));
    println!("process {pid}: idle, {a_second:.0} instructions a second");
    [(set_ups, 10 * OPENS), (lines, 10 * LINES)].map(|(all, count)| {
        let own = all.instructions - a_second * all.took.as_secs_f64();
        own / f64::from(count)
    })
}

/// The program as callgrind runs it, each thread counted by itself.
fn under_callgrind(dir: &Path) -> PathBuf {
    std::fs::create_dir_all(dir).unwrap();
    let program = dir.join("counted");
    let text = format!(
        "#!/bin/sh\nexec valgrind -q --tool=callgrind --separate-threads=yes \
         --callgrind-out-file={}/out.%p --vgdb-prefix={}/vgdb {} \"$@\"\n",
        dir.display(),
        dir.display(),
        env!("CARGO_BIN_EXE_violetwind")
    );
    std::fs::write(&program, text).unwrap();
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).unwrap();
    program
}

/// Of a budget that programs hold: all of it, and callers that want whatever there is. An address for operators hears
/// no more than these at once.
const WHOLE: usize = 50;
const CALLERS: u32 = 8;

/// How much of the whole is in use under pressure that is even, on one member but for one unit at each other, or on the
/// next member each second.
fn in_use(pattern: &str, count: usize, floor: usize) -> f64 {
    let mut spec = spec(count.min(3), count.saturating_sub(3), true);
    spec.fleet_toml += &format!("members = {count}\n");
    spec.extra_toml = format!(
        "[[fleet.budget]]\nname = \"slots\"\nkind = \"held\"\nwhole = {WHOLE}\nfloor = {floor}\n"
    );
    let members = FleetHarness::start(spec);
    members.wait_until("all are there", |members| {
        let view = members.fetch_view(0)?;
        (count_live_members(&view) == Some(count)).then_some(())
    });
    let callers = BudgetWorkload::start(
        &members,
        &WorkloadSpec {
            workers_per_member: CALLERS,
            held_budget: "slots".into(),
            hold_time: Duration::from_millis(500),
            greedy: true,
            rate_budget: None,
        },
    );
    let (mut sum, seconds) = (0.0, 12);
    for second in 0..seconds {
        for at in 0..count {
            let hot = match pattern {
                "even" => CALLERS,
                "skewed" if at == 0 => CALLERS,
                "moving" if at == second % count => CALLERS,
                _ => 1,
            };
            callers.set_active_workers(at, hot);
        }
        let mean = callers.mean_units_in_use(Duration::from_secs(1));
        // The first seconds find the pressure.
        sum += if second >= 2 { mean } else { 0.0 };
    }
    let books = callers.stop();
    assert!(
        books.max_in_use <= WHOLE,
        "{pattern}, {count} with {floor}: {} of {WHOLE}",
        books.max_in_use
    );
    sum / (seconds - 2) as f64
}

/// Bytes that the loopback interface has carried.
fn carried() -> u64 {
    let text = std::fs::read_to_string("/proc/net/dev").unwrap();
    let line = text
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"))
        .unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

fn main() {
    let wants = |part: &str| {
        std::env::args()
            .skip(1)
            .all(|arg| arg.starts_with('-') || arg == part)
    };
    for voters in [3, 5, 7].into_iter().filter(|_| wants("commits")) {
        for sync in [true, false] {
            let members = FleetHarness::start(spec(voters, 0, sync));
            members.wait_for_holder("export", 0);
            let leads = leader(&members, None);
            // An order for nobody's change is one entry, and the call and its answer besides; a view is a read.
            let order = format!(
                "FLEET HAND-ON export {}",
                node_name(members.wait_for_holder("export", 0).0)
            );
            let (mut commits, mut reads) = (Vec::new(), Vec::new());
            for _ in 0..300 {
                for (line, into) in [(order.as_str(), &mut commits), ("FLEET", &mut reads)] {
                    let begun = Instant::now();
                    assert!(
                        members
                            .call_member(leads, line)
                            .unwrap()
                            .starts_with("200 ")
                    );
                    into.push(begun.elapsed().as_secs_f64() * 1000.0);
                }
            }
            shown(&format!("{voters} voters, sync {sync}, a commit"), commits);
            shown(
                &format!("{voters} voters, sync {sync}, a confirmed read"),
                reads,
            );
        }
    }
    for voters in [3, 5, 7].into_iter().filter(|_| wants("elections")) {
        let mut members = FleetHarness::start(spec(voters, 0, true));
        members.wait_for_holder("export", 0);
        let (mut elections, mut handed) = (Vec::new(), Vec::new());
        for _ in 0..50 {
            let leads = leader(&members, None);
            let begun = boottime_ms();
            members.kill_member(leads);
            let _ = leader(&members, Some(leads));
            elections.push((boottime_ms() - begun) as f64);
            members.start_member(leads);
            members.wait_until("it is back", |members| {
                let view = members.fetch_view(leads)?;
                (view["leader"].is_string()).then_some(())
            });
        }
        shown(
            &format!("{voters} voters, from a leader's kill until another answers"),
            elections,
        );
        for _ in 0..20 {
            let (holder, _) = members.wait_for_holder("export", 0);
            let begun = boottime_ms();
            assert!(members.terminate_member(holder).unwrap().success());
            let (_, from) = members.wait_for_holder("export", begun);
            handed.push(from.saturating_sub(begun) as f64);
            members.start_member(holder);
            members.wait_until("it is back", |members| {
                let view = members.fetch_view(holder)?;
                (count_live_members(&view) == Some(voters)).then_some(())
            });
        }
        shown(&format!("{voters} voters, a planned hand-over"), handed);
        let mut unplanned = Vec::new();
        for _ in 0..10 {
            let (holder, _) = members.wait_for_holder("export", 0);
            let begun = boottime_ms();
            members.kill_member(holder);
            let (_, from) = members.wait_for_holder("export", begun);
            unplanned.push((from - begun) as f64);
            members.start_member(holder);
            members.wait_until("it is back", |members| {
                let view = members.fetch_view(holder)?;
                (count_live_members(&view) == Some(voters)).then_some(())
            });
        }
        shown(&format!("{voters} voters, an unplanned one"), unplanned);
        let broken = duty_history::find_duty_violations(&members.duty_events(), &[]);
        println!(
            "{voters} voters: {} holdings, broken {broken:?}",
            duty_history::reconstruct_holdings(&members.duty_events()).len()
        );
    }
    if wants("ordinary") {
        // The same program beside itself: a member that holds a duty, and one without the section.
        let members = FleetHarness::start(spec(1, 0, true));
        members.wait_for_holder("export", 0);
        let plain = members.start_standalone_process(0);
        members.wait_until("it serves", |members| {
            let mut caller =
                LineConnection::new(std::net::TcpStream::connect(plain.management_addr).ok()?);
            caller.send_line("HEALTH");
            let said = caller.try_read_line().ok()?;
            (said.starts_with("200 ") && members.fetch_view(0).is_some()).then_some(())
        });
        let mut id = 0x51c3_a9be_00d2_0000;
        let (mut opens, mut lines) = (Vec::new(), Vec::new());
        let (mut off_opens, mut off_lines) = (Vec::new(), Vec::new());
        for _ in 0..PAIRS {
            let on = ordinary(
                &members,
                members.pid(0).unwrap(),
                members.client_addr(0),
                &mut id,
            );
            let off = ordinary(&members, plain.child.id(), plain.client_addr, &mut id);
            opens.push(on.0 / off.0);
            lines.push(on.1 / off.1);
            off_opens.push(off.0);
            off_lines.push(off.1);
        }
        for (what, mut ratios, mut off) in
            [("set-up", opens, off_opens), ("line", lines, off_lines)]
        {
            ratios.sort_by(f64::total_cmp);
            off.sort_by(f64::total_cmp);
            println!(
                "a {what}: {:.1} us off; on against off {:.3} (middle half {:.3} to {:.3} of {PAIRS} pairs)",
                quantile(&off, 0.5),
                quantile(&ratios, 0.5),
                quantile(&ratios, 0.25),
                quantile(&ratios, 0.75)
            );
        }
    }
    if wants("instructions") {
        // Counted, not timed: another process on the machine changes a time and not a count.
        let dir = std::env::temp_dir().join(format!("violetwind-counted-{}", std::process::id()));
        let mut wanted = spec(1, 0, true);
        wanted.program = under_callgrind(&dir);
        let mut runs = Vec::new();
        for _ in 0..2 {
            let members = FleetHarness::start(wanted.clone());
            members.wait_for_holder("export", 0);
            let plain = members.start_standalone_process(0);
            members.wait_until("it serves", |members| {
                let mut caller =
                    LineConnection::new(std::net::TcpStream::connect(plain.management_addr).ok()?);
                caller.send_line("HEALTH");
                let said = caller.try_read_line().ok()?;
                (said.starts_with("200 ") && members.fetch_view(0).is_some()).then_some(())
            });
            runs.push(instructions(
                &members,
                &dir,
                plain.child.id(),
                plain.client_addr,
            ));
            let pid = members.pid(0).unwrap();
            runs.push(instructions(&members, &dir, pid, members.client_addr(0)));
        }
        for (at, what) in ["set-up", "line"].into_iter().enumerate() {
            let of = |run: usize| runs[run][at];
            println!(
                "a {what}, off, on, off, on: {:.0?}, on against off {:.4}, off against off {:.4}",
                [of(0), of(1), of(2), of(3)],
                (of(1) + of(3)) / (of(0) + of(2)),
                of(2) / of(0)
            );
        }
        std::fs::remove_dir_all(&dir).unwrap();
    }
    if wants("budgets") {
        for pattern in ["even", "skewed", "moving"] {
            let static_part = in_use(pattern, 5, WHOLE / 5);
            let (divided, bound) = (in_use(pattern, 5, 1), in_use("even", 1, WHOLE));
            println!(
                "{pattern}: of {WHOLE} in use {static_part:.1} divided evenly, {divided:.1} by need, {bound:.1} by one \
                 that has all: {:.2} of the bound",
                divided / bound
            );
        }
    }
    if wants("sessions") {
        let members = FleetHarness::start(spec(3, 297, true));
        let leads = members.wait_until("a leader", |members| {
            members
                .duty_holder(0, "export")
                .map(|_| leader(members, None))
        });
        let begun = Instant::now();
        let live = || {
            let view = members.fetch_view(leads)?;
            let live = view["members"]
                .as_array()?
                .iter()
                .filter(|member| member["state"] == "live");
            Some(live.count())
        };
        while live() != Some(300) {
            assert!(
                begun.elapsed() < Duration::from_secs(90),
                "{:?} sessions",
                live()
            );
            std::thread::sleep(Duration::from_millis(100));
        }
        let pid = members.pid(leads).unwrap();
        let (before, _) = used(pid);
        let other = members.pid(150).unwrap();
        let (others, _) = used(other);
        let bytes = carried();
        std::thread::sleep(Duration::from_secs(10));
        // Each byte goes through a relay: it is carried twice.
        let bytes = (carried() - bytes) / 20;
        println!(
            "300 sessions: {bytes} bytes a second over all links, headers and whatever else is on the loopback included"
        );
        let ((after, kib), (others_after, others_kib)) = (used(pid), used(other));
        println!(
            "300 sessions: the leader takes {:.1}% of a core and {kib} KiB at most, another member {:.2}% and {others_kib} KiB",
            (after - before).as_secs_f64() * 10.0,
            (others_after - others).as_secs_f64() * 10.0
        );
    }
}
