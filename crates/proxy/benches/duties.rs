//! Costs of a fleet, measured with real processes on loopback: `cargo bench -p violetwind --bench duties`. The figures
//! depend on the machine and its load; compare only figures of the same run.

#![allow(clippy::print_stdout, reason = "a tool of developers, which may panic")]

use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt as _;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use violetwind_standins::boottime_ms;
use violetwind_standins::budget_workload::{BudgetWorkload, WorkloadSpec};
use violetwind_standins::fleet_harness::{FleetHarness, FleetSpec, count_live_members, node_name};
use violetwind_standins::{LineConnection, duty_history};

fn fleet_spec(voters: usize, non_voters: usize, sync: bool) -> FleetSpec {
    FleetSpec {
        program: env!("CARGO_BIN_EXE_violetwind").into(),
        voters,
        non_voters,
        lease_ms: 2000,
        election_timeout_ms: 500,
        duties: vec!["export".into()],
        slow_start_window_s: 4.0,
        log_level: "info",
        fleet_toml: format!(
            "sync = {sync}\nlinks = {}\n",
            if non_voters > 0 { 512 } else { 64 }
        ),
        extra_toml: String::new(),
    }
}

fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * fraction).round() as usize]
}

fn print_quantiles(label: &str, mut samples: Vec<f64>) {
    samples.sort_by(f64::total_cmp);
    let (p50, p99) = (quantile(&samples, 0.5), quantile(&samples, 0.99));
    println!(
        "{label}: p50 {p50:.2} ms, p99 {p99:.2} ms, n {}",
        samples.len()
    );
}

fn wait_for_leader(fleet: &FleetHarness, excluded: Option<usize>) -> usize {
    fleet.wait_until("a leader", |fleet| {
        let leader = (0..fleet.member_count())
            .filter(|member| Some(*member) != excluded)
            .find_map(|member| {
                let view = fleet
                    .fetch_view(member)
                    .filter(|view| view["majority"] == true)?;
                view["leader"].as_str().map(str::to_string)
            })?;
        (0..fleet.member_count())
            .find(|member| node_name(*member) == leader)
            .filter(|member| Some(*member) != excluded)
    })
}

/// Returns the user and system time of a process, and its peak memory in KiB.
fn cpu_time_and_peak_memory(pid: u32) -> (Duration, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split(' ').collect();
    let ticks = |index: usize| fields[index].parse::<u64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let peak = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap();
    let kib = peak.trim().trim_end_matches(" kB").trim().parse().unwrap();
    (Duration::from_millis(10 * (ticks(12) + ticks(13))), kib)
}

/// Returns the processor time of a process's first thread, as counted by the scheduler. This is the engine's thread,
/// which handles all client traffic; the fleet has threads of its own.
fn engine_cpu_time(pid: u32) -> Duration {
    let contents = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/schedstat")).unwrap();
    Duration::from_nanos(contents.split(' ').next().unwrap().parse().unwrap())
}

/// Number of pairs of runs, alternately with and without the fleet.
const PAIRS: usize = 60;
/// Connections opened in each run.
const OPENS: u32 = 150;
/// Lines relayed in each run.
const LINES: u32 = 3000;

/// Measures the processor time of the engine's thread, in microseconds, for one opened connection and for one line
/// relayed in both directions.
fn measure_client_path(
    fleet: &FleetHarness,
    pid: u32,
    address: SocketAddr,
    id: &mut u64,
) -> (f64, f64) {
    let started_at = engine_cpu_time(pid);
    let mut pair = open_connections(fleet, address, id, OPENS);
    let set_up = engine_cpu_time(pid);
    relay_lines(&mut pair, LINES);
    let ended = engine_cpu_time(pid);
    let micros = |duration: Duration, count: u32| duration.as_secs_f64() * 1e6 / f64::from(count);
    (
        micros(set_up - started_at, OPENS),
        micros(ended - set_up, LINES),
    )
}

/// Opens clients one after the other, each replacing the previous one. Returns the last client and its server side.
fn open_connections(
    fleet: &FleetHarness,
    address: SocketAddr,
    id: &mut u64,
    count: u32,
) -> (LineConnection, LineConnection) {
    let mut pair = None;
    for _ in 0..count {
        let mut client = LineConnection::connect(address);
        *id += 1;
        client.send_line(&format!("OPEN {id:016x} 7f3a9c21e0b4d655 c=watch,d=2000"));
        let (_, mut server_side) = fleet.server.next_open();
        server_side.send_line("UP 77aa");
        assert_eq!(client.read_line(), "UP 77aa");
        pair = Some((client, server_side));
    }
    pair.unwrap()
}

/// Relays `count` lines in both directions.
fn relay_lines((client, server_side): &mut (LineConnection, LineConnection), count: u32) {
    for _ in 0..count {
        client.send_line("line");
        assert_eq!(server_side.read_line(), "line");
        server_side.send_line("line");
        assert_eq!(client.read_line(), "line");
    }
}

/// Work of the engine's thread between two dumps of callgrind's counters.
struct InstructionCount {
    instructions: f64,
    elapsed: Duration,
}

/// Counts the instructions of the engine's thread in user space while `work` runs. The counters are dumped before and
/// after, which resets them. The file of a dump is `out.PID.N-01`, with the sum in the line `totals:`.
fn count_instructions(
    dir: &Path,
    pid: u32,
    dumps: &mut u32,
    work: impl FnOnce(),
) -> InstructionCount {
    let mut dump = || {
        let output = Command::new("callgrind_control")
            .arg(format!("--vgdb-prefix={}/vgdb", dir.display()))
            .args(["--dump", &pid.to_string()])
            .output()
            .unwrap();
        assert!(output.status.success(), "{output:?}");
        *dumps += 1;
        let file = dir.join(format!("out.{pid}.{dumps}-01"));
        let contents = std::fs::read_to_string(&file).expect("a dump of callgrind");
        let totals = contents
            .lines()
            .find_map(|line| line.strip_prefix("totals:"));
        totals.unwrap().trim().parse::<f64>().unwrap()
    };
    dump();
    let started_at = Instant::now();
    work();
    let elapsed = started_at.elapsed();
    InstructionCount {
        instructions: dump(),
        elapsed,
    }
}

/// Returns the instructions for an opened connection and for a relayed line. The periodic work of the thread is
/// subtracted, according to its rate when idle.
fn measure_instructions(
    fleet: &FleetHarness,
    dir: &Path,
    pid: u32,
    address: SocketAddr,
) -> [f64; 2] {
    let (mut id, mut dumps) = (0x51c3_a9be_00d2_0000, 0);
    let mut pair = open_connections(fleet, address, &mut id, OPENS);
    relay_lines(&mut pair, LINES);
    let idle = count_instructions(dir, pid, &mut dumps, || {
        std::thread::sleep(Duration::from_secs(5));
    });
    let per_second = idle.instructions / idle.elapsed.as_secs_f64();
    let set_ups = count_instructions(dir, pid, &mut dumps, || {
        pair = open_connections(fleet, address, &mut id, 10 * OPENS);
    });
    let lines = count_instructions(dir, pid, &mut dumps, || relay_lines(&mut pair, 10 * LINES));
    println!("process {pid}: idle, {per_second:.0} instructions a second");
    [(set_ups, 10 * OPENS), (lines, 10 * LINES)].map(|(measured, count)| {
        let net = measured.instructions - per_second * measured.elapsed.as_secs_f64();
        net / f64::from(count)
    })
}

/// Writes a script that runs the program under callgrind, with separate counters for each thread.
fn write_callgrind_wrapper(dir: &Path) -> PathBuf {
    std::fs::create_dir_all(dir).unwrap();
    let program = dir.join("counted");
    let contents = format!(
        "#!/bin/sh\nexec valgrind -q --tool=callgrind --separate-threads=yes \
         --callgrind-out-file={}/out.%p --vgdb-prefix={}/vgdb {} \"$@\"\n",
        dir.display(),
        dir.display(),
        env!("CARGO_BIN_EXE_violetwind")
    );
    std::fs::write(&program, contents).unwrap();
    std::fs::set_permissions(&program, std::fs::Permissions::from_mode(0o755)).unwrap();
    program
}

/// Total of the measured budget.
const BUDGET_TOTAL: usize = 50;
/// Greedy callers at each member. The operators' address accepts no more callers at the same time.
const CALLERS: u32 = 8;

/// Measures the mean number of units in use. The demand is even; or concentrated on one member, with one unit at each
/// other; or concentrated on another member each second.
fn measure_units_in_use(pattern: &str, count: usize, floor: usize) -> f64 {
    let mut spec = fleet_spec(count.min(3), count.saturating_sub(3), true);
    spec.fleet_toml += &format!("members = {count}\n");
    spec.extra_toml = format!(
        "[[fleet.budget]]\nname = \"slots\"\nkind = \"held\"\nwhole = {BUDGET_TOTAL}\nfloor = {floor}\n"
    );
    let fleet = FleetHarness::start(spec);
    fleet.wait_until("all members are live", |fleet| {
        let view = fleet.fetch_view(0)?;
        (count_live_members(&view) == Some(count)).then_some(())
    });
    let callers = BudgetWorkload::start(
        &fleet,
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
        for member in 0..count {
            let active_workers = match pattern {
                "even" => CALLERS,
                "skewed" if member == 0 => CALLERS,
                "moving" if member == second % count => CALLERS,
                _ => 1,
            };
            callers.set_active_workers(member, active_workers);
        }
        let mean = callers.mean_units_in_use(Duration::from_secs(1));
        // The first seconds are left out: the shares still adapt to the demand.
        sum += if second >= 2 { mean } else { 0.0 };
    }
    let usage = callers.stop();
    assert!(
        usage.max_in_use <= BUDGET_TOTAL,
        "{pattern}, {count} with {floor}: {} of {BUDGET_TOTAL}",
        usage.max_in_use
    );
    sum / (seconds - 2) as f64
}

/// Returns the number of bytes carried by the loopback interface.
fn loopback_bytes() -> u64 {
    let contents = std::fs::read_to_string("/proc/net/dev").unwrap();
    let line = contents
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"))
        .unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

fn main() {
    let is_selected = |part: &str| {
        std::env::args()
            .skip(1)
            .all(|arg| arg.starts_with('-') || arg == part)
    };
    for voters in [3, 5, 7].into_iter().filter(|_| is_selected("commits")) {
        for sync in [true, false] {
            let fleet = FleetHarness::start(fleet_spec(voters, 0, sync));
            fleet.wait_for_holder("export", 0);
            let leader = wait_for_leader(&fleet, None);
            // A handoff to the present holder changes nothing: it costs one log entry, the call and the answer. A view
            // is a confirmed read.
            let command = format!(
                "FLEET HAND-ON export {}",
                node_name(fleet.wait_for_holder("export", 0).0)
            );
            let (mut commits, mut reads) = (Vec::new(), Vec::new());
            for _ in 0..300 {
                for (line, samples) in [(command.as_str(), &mut commits), ("FLEET", &mut reads)] {
                    let started_at = Instant::now();
                    assert!(fleet.call_member(leader, line).unwrap().starts_with("200 "));
                    samples.push(started_at.elapsed().as_secs_f64() * 1000.0);
                }
            }
            print_quantiles(&format!("{voters} voters, sync {sync}, a commit"), commits);
            print_quantiles(
                &format!("{voters} voters, sync {sync}, a confirmed read"),
                reads,
            );
        }
    }
    for voters in [3, 5, 7].into_iter().filter(|_| is_selected("elections")) {
        let mut fleet = FleetHarness::start(fleet_spec(voters, 0, true));
        fleet.wait_for_holder("export", 0);
        let (mut elections, mut handoffs) = (Vec::new(), Vec::new());
        for _ in 0..50 {
            let leader = wait_for_leader(&fleet, None);
            let started_at = boottime_ms();
            fleet.kill_member(leader);
            let _ = wait_for_leader(&fleet, Some(leader));
            elections.push((boottime_ms() - started_at) as f64);
            fleet.start_member(leader);
            fleet.wait_until("the member is back", |fleet| {
                let view = fleet.fetch_view(leader)?;
                (view["leader"].is_string()).then_some(())
            });
        }
        print_quantiles(
            &format!("{voters} voters, from a leader's kill until another answers"),
            elections,
        );
        for _ in 0..20 {
            let (holder, _) = fleet.wait_for_holder("export", 0);
            let started_at = boottime_ms();
            assert!(fleet.terminate_member(holder).unwrap().success());
            let (_, from) = fleet.wait_for_holder("export", started_at);
            handoffs.push(from.saturating_sub(started_at) as f64);
            fleet.start_member(holder);
            fleet.wait_until("the member is back", |fleet| {
                let view = fleet.fetch_view(holder)?;
                (count_live_members(&view) == Some(voters)).then_some(())
            });
        }
        print_quantiles(&format!("{voters} voters, a planned handoff"), handoffs);
        let mut unplanned = Vec::new();
        for _ in 0..10 {
            let (holder, _) = fleet.wait_for_holder("export", 0);
            let started_at = boottime_ms();
            fleet.kill_member(holder);
            let (_, from) = fleet.wait_for_holder("export", started_at);
            unplanned.push((from - started_at) as f64);
            fleet.start_member(holder);
            fleet.wait_until("the member is back", |fleet| {
                let view = fleet.fetch_view(holder)?;
                (count_live_members(&view) == Some(voters)).then_some(())
            });
        }
        print_quantiles(&format!("{voters} voters, an unplanned handoff"), unplanned);
        let violations = duty_history::find_duty_violations(&fleet.duty_events(), &[]);
        println!(
            "{voters} voters: {} holds, violations {violations:?}",
            duty_history::reconstruct_holdings(&fleet.duty_events()).len()
        );
    }
    if is_selected("ordinary") {
        // Two processes of the same program side by side: a member that holds a duty, and one without `[fleet]`.
        let fleet = FleetHarness::start(fleet_spec(1, 0, true));
        fleet.wait_for_holder("export", 0);
        let standalone = fleet.start_standalone_process(0);
        fleet.wait_until("the process serves", |fleet| {
            let mut caller =
                LineConnection::new(std::net::TcpStream::connect(standalone.management_addr).ok()?);
            caller.send_line("HEALTH");
            let answer = caller.try_read_line().ok()?;
            (answer.starts_with("200 ") && fleet.fetch_view(0).is_some()).then_some(())
        });
        let mut id = 0x51c3_a9be_00d2_0000;
        let (mut opens, mut lines) = (Vec::new(), Vec::new());
        let (mut off_opens, mut off_lines) = (Vec::new(), Vec::new());
        for _ in 0..PAIRS {
            let on =
                measure_client_path(&fleet, fleet.pid(0).unwrap(), fleet.client_addr(0), &mut id);
            let off = measure_client_path(
                &fleet,
                standalone.child.id(),
                standalone.client_addr,
                &mut id,
            );
            opens.push(on.0 / off.0);
            lines.push(on.1 / off.1);
            off_opens.push(off.0);
            off_lines.push(off.1);
        }
        for (label, mut ratios, mut off) in
            [("set-up", opens, off_opens), ("line", lines, off_lines)]
        {
            ratios.sort_by(f64::total_cmp);
            off.sort_by(f64::total_cmp);
            println!(
                "a {label}: {:.1} us off; on against off {:.3} (middle half {:.3} to {:.3} of {PAIRS} pairs)",
                quantile(&off, 0.5),
                quantile(&ratios, 0.5),
                quantile(&ratios, 0.25),
                quantile(&ratios, 0.75)
            );
        }
    }
    if is_selected("instructions") {
        // Instructions are counted, not timed: other processes on the machine affect times but not counts.
        let dir = std::env::temp_dir().join(format!("violetwind-counted-{}", std::process::id()));
        let mut spec = fleet_spec(1, 0, true);
        spec.program = write_callgrind_wrapper(&dir);
        let mut runs = Vec::new();
        for _ in 0..2 {
            let fleet = FleetHarness::start(spec.clone());
            fleet.wait_for_holder("export", 0);
            let standalone = fleet.start_standalone_process(0);
            fleet.wait_until("the process serves", |fleet| {
                let mut caller = LineConnection::new(
                    std::net::TcpStream::connect(standalone.management_addr).ok()?,
                );
                caller.send_line("HEALTH");
                let answer = caller.try_read_line().ok()?;
                (answer.starts_with("200 ") && fleet.fetch_view(0).is_some()).then_some(())
            });
            runs.push(measure_instructions(
                &fleet,
                &dir,
                standalone.child.id(),
                standalone.client_addr,
            ));
            let pid = fleet.pid(0).unwrap();
            runs.push(measure_instructions(
                &fleet,
                &dir,
                pid,
                fleet.client_addr(0),
            ));
        }
        for (index, label) in ["set-up", "line"].into_iter().enumerate() {
            let result = |run: usize| runs[run][index];
            println!(
                "a {label}, off, on, off, on: {:.0?}, on against off {:.4}, off against off {:.4}",
                [result(0), result(1), result(2), result(3)],
                (result(1) + result(3)) / (result(0) + result(2)),
                result(2) / result(0)
            );
        }
        std::fs::remove_dir_all(&dir).unwrap();
    }
    if is_selected("budgets") {
        for pattern in ["even", "skewed", "moving"] {
            let static_part = measure_units_in_use(pattern, 5, BUDGET_TOTAL / 5);
            let (divided, bound) = (
                measure_units_in_use(pattern, 5, 1),
                measure_units_in_use("even", 1, BUDGET_TOTAL),
            );
            println!(
                "{pattern}: of {BUDGET_TOTAL} in use {static_part:.1} divided evenly, {divided:.1} by need, {bound:.1} \
                 by a single member: {:.2} of the bound",
                divided / bound
            );
        }
    }
    if is_selected("sessions") {
        let fleet = FleetHarness::start(fleet_spec(3, 297, true));
        let leader = fleet.wait_until("a leader", |fleet| {
            fleet
                .duty_holder(0, "export")
                .map(|_| wait_for_leader(fleet, None))
        });
        let started_at = Instant::now();
        let live = || {
            let view = fleet.fetch_view(leader)?;
            let live = view["members"]
                .as_array()?
                .iter()
                .filter(|member| member["state"] == "live");
            Some(live.count())
        };
        while live() != Some(300) {
            assert!(
                started_at.elapsed() < Duration::from_secs(90),
                "{:?} sessions",
                live()
            );
            std::thread::sleep(Duration::from_millis(100));
        }
        let pid = fleet.pid(leader).unwrap();
        let (before, _) = cpu_time_and_peak_memory(pid);
        let other = fleet.pid(150).unwrap();
        let (other_before, _) = cpu_time_and_peak_memory(other);
        let bytes = loopback_bytes();
        std::thread::sleep(Duration::from_secs(10));
        // Each byte passes a relay of the harness, so it is carried twice.
        let bytes = (loopback_bytes() - bytes) / 20;
        println!(
            "300 sessions: {bytes} bytes a second over all links, including headers and other loopback traffic"
        );
        let ((after, kib), (other_after, other_kib)) = (
            cpu_time_and_peak_memory(pid),
            cpu_time_and_peak_memory(other),
        );
        println!(
            "300 sessions: the leader takes {:.1}% of a core and {kib} KiB at most, another member {:.2}% and {other_kib} KiB",
            (after - before).as_secs_f64() * 10.0,
            (other_after - other_before).as_secs_f64() * 10.0
        );
    }
}
