//! What a fleet costs, on real processes on loopback: `cargo bench -p violetwind --bench duties`. Figures of one
//! run on one machine; compare only within a run.

use std::time::{Duration, Instant};

use violetwind_standins::books;
use violetwind_standins::members::{Members, Spec, name};
use violetwind_standins::mono_ms;

fn spec(voters: usize, others: usize, sync: bool) -> Spec {
    Spec {
        program: env!("CARGO_BIN_EXE_violetwind").into(),
        voters,
        others,
        lease_ms: 2000,
        election_ms: 500,
        duties: vec!["export".into()],
        fleet_lines: format!("sync = {sync}\nlinks = 1024\n"),
        lines: String::new(),
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

fn leader(members: &Members, not: Option<usize>) -> usize {
    members.until("a leader", |members| {
        let leader = (0..members.count())
            .filter(|at| Some(*at) != not)
            .find_map(|at| {
                let view = members.view(at).filter(|view| view["majority"] == true)?;
                view["leader"].as_str().map(str::to_string)
            })?;
        (0..members.count())
            .find(|at| name(*at) == leader)
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

fn main() {
    let wants = |part: &str| {
        std::env::args()
            .skip(1)
            .all(|arg| arg.starts_with('-') || arg == part)
    };
    for voters in [3, 5, 7].into_iter().filter(|_| wants("commits")) {
        for sync in [true, false] {
            let members = Members::start(spec(voters, 0, sync));
            members.held("export", 0);
            let leads = leader(&members, None);
            // An order for nobody's change is one entry, and the call and its answer besides; a view is a read.
            let order = format!("FLEET HAND-ON export {}", name(members.held("export", 0).0));
            let (mut commits, mut reads) = (Vec::new(), Vec::new());
            for _ in 0..300 {
                for (line, into) in [(order.as_str(), &mut commits), ("FLEET", &mut reads)] {
                    let begun = Instant::now();
                    assert!(members.call(leads, line).unwrap().starts_with("200 "));
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
        let mut members = Members::start(spec(voters, 0, true));
        members.held("export", 0);
        let (mut elections, mut handed) = (Vec::new(), Vec::new());
        for _ in 0..50 {
            let leads = leader(&members, None);
            let begun = mono_ms();
            members.kill(leads);
            let _ = leader(&members, Some(leads));
            elections.push((mono_ms() - begun) as f64);
            members.run(leads);
            members.until("it is back", |members| {
                let view = members.view(leads)?;
                (view["leader"].is_string()).then_some(())
            });
        }
        shown(
            &format!("{voters} voters, from a leader's kill until another answers"),
            elections,
        );
        for _ in 0..20 {
            let (holder, _) = members.held("export", 0);
            let begun = mono_ms();
            assert!(members.end(holder).unwrap().success());
            let (_, from) = members.held("export", begun);
            handed.push(from.saturating_sub(begun) as f64);
            members.run(holder);
            members.until("it is back", |members| {
                let view = members.view(holder)?;
                let live = view["members"]
                    .as_array()?
                    .iter()
                    .filter(|member| member["state"] == "live");
                (live.count() == voters).then_some(())
            });
        }
        shown(&format!("{voters} voters, a planned hand-over"), handed);
        let mut unplanned = Vec::new();
        for _ in 0..10 {
            let (holder, _) = members.held("export", 0);
            let begun = mono_ms();
            members.kill(holder);
            let (_, from) = members.held("export", begun);
            unplanned.push((from - begun) as f64);
            members.run(holder);
            members.until("it is back", |members| {
                let view = members.view(holder)?;
                let live = view["members"]
                    .as_array()?
                    .iter()
                    .filter(|member| member["state"] == "live");
                (live.count() == voters).then_some(())
            });
        }
        shown(&format!("{voters} voters, an unplanned one"), unplanned);
        let broken = books::broken(&members.records(), &[]);
        println!(
            "{voters} voters: {} holdings, broken {broken:?}",
            books::holdings(&members.records()).len()
        );
    }
    if wants("sessions") {
        let members = Members::start(spec(3, 297, true));
        let leads = members.until("a leader", |members| {
            members.holder(0, "export").map(|_| leader(members, None))
        });
        members.until("300 sessions", |members| {
            let view = members.view(leads)?;
            let live = view["members"]
                .as_array()?
                .iter()
                .filter(|member| member["state"] == "live")
                .count();
            (live == 300).then_some(())
        });
        let pid = members.pid(leads).unwrap();
        let (before, _) = used(pid);
        let other = members.pid(150).unwrap();
        let (others, _) = used(other);
        std::thread::sleep(Duration::from_secs(10));
        let ((after, kib), (others_after, others_kib)) = (used(pid), used(other));
        println!(
            "300 sessions: the leader takes {:.1}% of a core and {kib} KiB at most, another member {:.2}% and {others_kib} KiB",
            (after - before).as_secs_f64() * 10.0,
            (others_after - others).as_secs_f64() * 10.0
        );
    }
}
