//! The same scripts on real processes: proxies with relays between them, servers, clients, staff and callers of a budget on
//! loopback. What was promised is checked from outside, by the machine's clock.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use violetwind_standins::budget_workload::{BudgetWorkload, WorkloadSpec};
use violetwind_standins::duty_history;
use violetwind_standins::fleet_harness::count_live_members;
use violetwind_standins::relay::LinkMode;
use violetwind_standins::work_orders::{
    ClientPool, SimulatedOperators, WorkOrderHarness, client_addrs, collect_out_intervals,
    find_work_violations, management_addrs,
};
use violetwind_storm::fleet::Fault;
use violetwind_storm::script::{FORMATION_TIME, Script};

const CLIENTS: usize = 20;
const WHOLE: usize = 20;
/// After the last fault everybody lives again within this, and an order for work has ended within that.
const WHOLE_AGAIN: Duration = Duration::from_secs(15);
const WORK_ENDS: Duration = Duration::from_secs(60);

/// What became of it.
#[derive(Clone, Debug, Default)]
pub struct RealPlayed {
    /// Promises that were broken, by name.
    pub wrong: Vec<String>,
    pub faults: usize,
    /// Faults of the script that processes have no like of: slow disks, machines that die.
    pub passed_over: usize,
    pub seconds: f64,
    pub duties_held: usize,
    pub machines_emptied: usize,
    pub most_units: usize,
    pub asked: u64,
    pub moved: u64,
    pub refused: u64,
    pub failed: u64,
}

struct Fleet {
    night: WorkOrderHarness,
    clients: ClientPool,
    callers: BudgetWorkload,
    /// Whose process comes back, or goes on, when.
    due: BTreeMap<(Instant, usize), bool>,
    stopped: BTreeSet<usize>,
    dead: BTreeSet<usize>,
}

fn index(node: &str) -> usize {
    node.rsplit('-')
        .next()
        .and_then(|at| at.parse().ok())
        .unwrap_or(0)
}

impl Fleet {
    fn strike(&mut self, fault: &Fault) -> bool {
        let ms = Duration::from_millis;
        let at = |nodes: &[String]| nodes.iter().map(|node| index(node)).collect::<Vec<_>>();
        match fault {
            Fault::Kill { node, back } | Fault::Quit { node, back } => {
                let node = index(node);
                if self.stopped.contains(&node) || !self.dead.insert(node) {
                    return false;
                }
                self.clients.set_proxy_excused(node, true);
                match fault {
                    Fault::Kill { .. } => self.night.fleet.kill_member(node),
                    _ => self.night.fleet.send_signal(node, "-TERM"),
                }
                self.callers
                    .stats
                    .lock()
                    .expect("no panic")
                    .held_units
                    .remove(&node);
                self.due.insert((Instant::now() + ms(*back), node), true);
            }
            Fault::Stop { node, lasts } => {
                let node = index(node);
                if self.dead.contains(&node) || !self.stopped.insert(node) {
                    return false;
                }
                self.clients.set_proxy_excused(node, true);
                self.night.fleet.send_signal(node, "-STOP");
                self.due.insert((Instant::now() + ms(*lasts), node), false);
            }
            Fault::Cut { from, to, both } => {
                for a in at(from) {
                    for b in at(to).into_iter().filter(|b| *b != a) {
                        self.night.fleet.set_link(a, b, LinkMode::Blackhole);
                        if *both {
                            self.night.fleet.set_link(b, a, LinkMode::Blackhole);
                        }
                    }
                }
            }
            Fault::Heal => self.night.fleet.heal_links(),
            Fault::HandOn { by, duty, to } => {
                let to = to
                    .as_ref()
                    .map(|to| violetwind_standins::fleet_harness::node_name(index(to)));
                let line = format!("FLEET HAND-ON {duty} {}", to.unwrap_or_default());
                // Whoever is dead or stopped answers nobody.
                let _ = self.ask(index(by), &line);
            }
            Fault::PutOut { by, node } | Fault::LetIn { by, node } => {
                let word = if matches!(fault, Fault::PutOut { .. }) {
                    "PUT-OUT"
                } else {
                    "LET-IN"
                };
                let name = violetwind_standins::fleet_harness::node_name(index(node));
                let _ = self.ask(index(by), &format!("FLEET {word} {name}"));
            }
            Fault::Press { hot, even } => {
                for node in 0..self.night.fleet.member_count() {
                    let pressed = *even || node == index(hot);
                    self.callers
                        .set_active_workers(node, if pressed { 8 } else { 1 });
                }
            }
            Fault::Slow { .. } | Fault::Machine { .. } => return false,
        }
        true
    }

    fn ask(&self, at: usize, line: &str) -> Option<String> {
        let away = self.dead.contains(&at) || self.stopped.contains(&at);
        (!away)
            .then(|| self.night.fleet.call_member(at, line))
            .flatten()
    }

    /// Who was to come back by now does.
    fn bring_back(&mut self, all: bool) {
        let now = Instant::now();
        let due: Vec<_> = self
            .due
            .extract_if(.., |(when, _), _| all || *when <= now)
            .collect();
        for ((_, node), anew) in due {
            if anew {
                // One that was told to end may still be at it.
                self.night.fleet.kill_member(node);
                self.callers
                    .stats
                    .lock()
                    .expect("no panic")
                    .held_units
                    .remove(&node);
                self.night.fleet.start_member(node);
                self.dead.remove(&node);
            } else {
                self.night.fleet.send_signal(node, "-CONT");
                self.stopped.remove(&node);
            }
        }
    }

    fn until(&mut self, moment: Instant) {
        while Instant::now() < moment {
            self.bring_back(false);
            sleep(Duration::from_millis(5).min(moment.saturating_duration_since(Instant::now())));
        }
    }
}

/// Plays a script in real time, at the times that it says.
pub fn play_on_processes(script: &Script, program: &Path) -> RealPlayed {
    let members = script.voters + script.others;
    let lines = format!(
        "[[fleet.duty]]\nname = \"export\"\n[[fleet.budget]]\nname = \"held\"\nkind = \"held\"\nwhole = {}\nfloor = 1\n",
        WHOLE + members
    );
    let shape = (script.voters, script.others);
    let night = WorkOrderHarness::start(program.into(), shape, script.machines.max(2), &lines);
    let clients = ClientPool::start(client_addrs(&night.fleet), CLIENTS);
    let staff =
        SimulatedOperators::start(management_addrs(&night.fleet), Duration::from_millis(50));
    let wants = WorkloadSpec {
        workers_per_member: 8,
        held_budget: "held".into(),
        hold_time: Duration::from_millis(60),
        greedy: false,
        rate_budget: None,
    };
    let callers = BudgetWorkload::start(&night.fleet, &wants);
    if script.machines > 0 {
        let last = format!("m-0..m-{}", script.machines - 1);
        night.plan_work_order(0, "storm", &last, &["--most", "2", "--floor", "0.5"]);
    }
    let mut fleet = Fleet {
        night,
        clients,
        callers,
        due: BTreeMap::new(),
        stopped: BTreeSet::new(),
        dead: BTreeSet::new(),
    };
    let mut played = RealPlayed::default();
    let begun = Instant::now();
    // The fleet has formed already.
    let moment = |at: u64| begun + Duration::from_millis(at.saturating_sub(FORMATION_TIME));
    for timed in &script.faults {
        fleet.until(moment(timed.at));
        match fleet.strike(&timed.fault) {
            true => played.faults += 1,
            false => played.passed_over += 1,
        }
    }
    fleet.until(moment(script.lasts));
    fleet.bring_back(true);
    fleet.night.fleet.heal_links();
    let healed = Instant::now();
    let whole = |fleet: &Fleet| {
        let view = (0..members).find_map(|at| fleet.night.fleet.fetch_view(at))?;
        for member in view["members"].as_array()? {
            if member["state"] == "out" {
                let node = member["node"].as_str()?;
                fleet
                    .night
                    .fleet
                    .call_member(0, &format!("FLEET LET-IN {node}"));
            }
        }
        (view["majority"] == true && count_live_members(&view) == Some(members)).then_some(())
    };
    while whole(&fleet).is_none() {
        if healed.elapsed() > WHOLE_AGAIN {
            let view = (0..members).find_map(|at| fleet.night.fleet.fetch_view(at));
            let states = view.map(|view| view["members"].to_string());
            let what = format!("Held Again: the fleet is not whole: {states:?}");
            played.wrong.push(what);
            break;
        }
        sleep(Duration::from_millis(20));
    }
    while script.machines > 0 && fleet.night.finished_view().is_none() {
        if healed.elapsed() > WORK_ENDS {
            let view = fleet.night.fetch_work_view();
            played
                .wrong
                .push(format!("Work Ends: the order comes to no end: {view:?}"));
            break;
        }
        sleep(Duration::from_millis(20));
    }
    let Fleet {
        night,
        clients,
        callers,
        ..
    } = fleet;
    let (emptied, seen, units) = (staff.stop(), clients.stop(), callers.stop());
    let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let records = night.fleet.duty_events();
    played
        .wrong
        .extend(duty_history::find_duty_violations(&records, &[]));
    played.wrong.extend(find_work_violations(
        &collect_out_intervals(&night.fleet),
        &emptied,
        &night.servers,
        2,
    ));
    for (what, number) in [
        ("Final Answer: requests without one", count(&seen.lost)),
        (
            "Final Answer: requests with two",
            count(&seen.duplicate_answers),
        ),
        ("Kept: connections cut without a word", count(&seen.dropped)),
    ] {
        if number > 0 {
            played.wrong.push(format!("{what}: {number}"));
        }
    }
    if units.max_in_use > WHOLE + members {
        let what = format!(
            "Never More Than The Whole: {} of {}",
            units.max_in_use,
            WHOLE + members
        );
        played.wrong.push(what);
    }
    if !played.wrong.is_empty() {
        // What happened is looked at afterwards.
        let path = std::env::temp_dir().join(format!("violetwind-storm-{}.log", script.seed));
        let kept = std::fs::write(&path, night.fleet.merged_log());
        let path = path.display();
        eprintln!(
            "the proxies' logs: {path}{}",
            if kept.is_err() { ", not written" } else { "" }
        );
    }
    played.seconds = begun.elapsed().as_secs_f64();
    played.duties_held = duty_history::reconstruct_holdings(&records).len();
    played.machines_emptied = emptied.len();
    played.most_units = units.max_in_use;
    (played.asked, played.moved) = (count(&seen.requests), count(&seen.moved));
    (played.refused, played.failed) = (count(&seen.refused), count(&seen.failed));
    played
}
