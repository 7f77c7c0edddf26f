//! Runs fault scripts on real processes on loopback: proxies connected through relays, servers, clients, simulated
//! operators and budget callers. The guarantees are checked from outside, by the machine's clock.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

use violetwind_output::print_error;
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
const BUDGET_TOTAL: usize = 20;
/// Time after the end of the script, when all links are healed, within which all members have to be live again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after the end of the script within which the work order has to end.
const WORK_TIMEOUT: Duration = Duration::from_secs(60);

/// Result of a script on real processes.
#[derive(Clone, Debug, Default)]
pub struct RealPlayed {
    /// Violations, each starting with the name of the guarantee.
    pub wrong: Vec<String>,
    pub faults: usize,
    /// Number of faults that were skipped: slow disks and failing machines, which have no equivalent here, and faults
    /// on processes that are stopped or dead already.
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
    harness: WorkOrderHarness,
    clients: ClientPool,
    budget_workload: BudgetWorkload,
    /// Time at which the process of a node restarts (`true`) or continues (`false`).
    pending_resumes: BTreeMap<(Instant, usize), bool>,
    stopped: BTreeSet<usize>,
    dead: BTreeSet<usize>,
}

/// Returns the index of a node, the number at the end of its name.
fn node_index(node: &str) -> usize {
    node.rsplit('-')
        .next()
        .and_then(|node| node.parse().ok())
        .unwrap_or(0)
}

impl Fleet {
    /// Injects a fault. Returns false if it was skipped.
    fn inject_fault(&mut self, fault: &Fault) -> bool {
        let ms = Duration::from_millis;
        let indices = |nodes: &[String]| {
            nodes
                .iter()
                .map(|node| node_index(node))
                .collect::<Vec<_>>()
        };
        match fault {
            Fault::Kill { node, back } | Fault::Quit { node, back } => {
                let node = node_index(node);
                if self.stopped.contains(&node) || !self.dead.insert(node) {
                    return false;
                }
                self.clients.set_proxy_excused(node, true);
                match fault {
                    Fault::Kill { .. } => self.harness.fleet.kill_member(node),
                    _ => self.harness.fleet.send_signal(node, "-TERM"),
                }
                self.budget_workload
                    .stats
                    .lock()
                    .expect("no thread panicked while holding the lock")
                    .held_units
                    .remove(&node);
                self.pending_resumes
                    .insert((Instant::now() + ms(*back), node), true);
            }
            Fault::Stop { node, lasts } => {
                let node = node_index(node);
                if self.dead.contains(&node) || !self.stopped.insert(node) {
                    return false;
                }
                self.clients.set_proxy_excused(node, true);
                self.harness.fleet.send_signal(node, "-STOP");
                self.pending_resumes
                    .insert((Instant::now() + ms(*lasts), node), false);
            }
            Fault::Cut { from, to, both } => {
                for source in indices(from) {
                    for target in indices(to).into_iter().filter(|target| *target != source) {
                        self.harness
                            .fleet
                            .set_link(source, target, LinkMode::Blackhole);
                        if *both {
                            self.harness
                                .fleet
                                .set_link(target, source, LinkMode::Blackhole);
                        }
                    }
                }
            }
            Fault::Heal => self.harness.fleet.heal_links(),
            Fault::HandOn { by, duty, to } => {
                let to = to
                    .as_ref()
                    .map(|to| violetwind_standins::fleet_harness::node_name(node_index(to)));
                let line = format!("FLEET HAND-ON {duty} {}", to.unwrap_or_default());
                // A node that is dead or stopped does not answer.
                let _ = self.call_member_if_live(node_index(by), &line);
            }
            Fault::PutOut { by, node } | Fault::LetIn { by, node } => {
                let command = if matches!(fault, Fault::PutOut { .. }) {
                    "PUT-OUT"
                } else {
                    "LET-IN"
                };
                let name = violetwind_standins::fleet_harness::node_name(node_index(node));
                let _ =
                    self.call_member_if_live(node_index(by), &format!("FLEET {command} {name}"));
            }
            Fault::Press { hot, even } => {
                for node in 0..self.harness.fleet.member_count() {
                    let is_busy = *even || node == node_index(hot);
                    self.budget_workload
                        .set_active_workers(node, if is_busy { 8 } else { 1 });
                }
            }
            Fault::Slow { .. } | Fault::Machine { .. } => return false,
        }
        true
    }

    /// Sends an operator call to a member; `None` if it is dead or stopped or does not answer.
    fn call_member_if_live(&self, node: usize, line: &str) -> Option<String> {
        let is_unavailable = self.dead.contains(&node) || self.stopped.contains(&node);
        (!is_unavailable)
            .then(|| self.harness.fleet.call_member(node, line))
            .flatten()
    }

    /// Restarts or continues the processes that are due by now, or all that are pending.
    fn resume_processes(&mut self, all: bool) {
        let now = Instant::now();
        let pending_resumes: Vec<_> = self
            .pending_resumes
            .extract_if(.., |(due_at, _), _| all || *due_at <= now)
            .collect();
        for ((_, node), is_restart) in pending_resumes {
            if is_restart {
                // A process that received SIGTERM may still be shutting down.
                self.harness.fleet.kill_member(node);
                self.budget_workload
                    .stats
                    .lock()
                    .expect("no thread panicked while holding the lock")
                    .held_units
                    .remove(&node);
                self.harness.fleet.start_member(node);
                self.dead.remove(&node);
            } else {
                self.harness.fleet.send_signal(node, "-CONT");
                self.stopped.remove(&node);
            }
        }
    }

    /// Resumes processes that become due, until `deadline`.
    fn run_until(&mut self, deadline: Instant) {
        while Instant::now() < deadline {
            self.resume_processes(false);
            sleep(Duration::from_millis(5).min(deadline.saturating_duration_since(Instant::now())));
        }
    }
}

/// Runs a script in real time and checks the guarantees.
pub fn run_on_processes(script: &Script, program: &Path) -> RealPlayed {
    let members = script.voters + script.others;
    let config_lines = format!(
        "[[fleet.duty]]\nname = \"export\"\n[[fleet.budget]]\nname = \"held\"\nkind = \"held\"\nwhole = {}\nfloor = 1\n",
        BUDGET_TOTAL + members
    );
    let voters_and_others = (script.voters, script.others);
    let harness = WorkOrderHarness::start(
        program.into(),
        voters_and_others,
        script.machines.max(2),
        &config_lines,
    );
    let clients = ClientPool::start(client_addrs(&harness.fleet), CLIENTS);
    let operators =
        SimulatedOperators::start(management_addrs(&harness.fleet), Duration::from_millis(50));
    let workload = WorkloadSpec {
        workers_per_member: 8,
        held_budget: "held".into(),
        hold_time: Duration::from_millis(60),
        greedy: false,
        rate_budget: None,
    };
    let budget_workload = BudgetWorkload::start(&harness.fleet, &workload);
    if script.machines > 0 {
        let machines = format!("m-0..m-{}", script.machines - 1);
        harness.plan_work_order(0, "storm", &machines, &["--most", "2", "--floor", "0.5"]);
    }
    let mut fleet = Fleet {
        harness,
        clients,
        budget_workload,
        pending_resumes: BTreeMap::new(),
        stopped: BTreeSet::new(),
        dead: BTreeSet::new(),
    };
    let mut result = RealPlayed::default();
    let started_at = Instant::now();
    // The fleet has formed already, so the formation time of the script is left out.
    let real_time = |script_ms: u64| {
        started_at + Duration::from_millis(script_ms.saturating_sub(FORMATION_TIME))
    };
    for timed in &script.faults {
        fleet.run_until(real_time(timed.at));
        match fleet.inject_fault(&timed.fault) {
            true => result.faults += 1,
            false => result.passed_over += 1,
        }
    }
    fleet.run_until(real_time(script.lasts));
    fleet.resume_processes(true);
    fleet.harness.fleet.heal_links();
    let healed_at = Instant::now();
    let check_recovered = |fleet: &Fleet| {
        let view = (0..members).find_map(|node| fleet.harness.fleet.fetch_view(node))?;
        for member in view["members"].as_array()? {
            if member["state"] == "out" {
                let node = member["node"].as_str()?;
                fleet
                    .harness
                    .fleet
                    .call_member(0, &format!("FLEET LET-IN {node}"));
            }
        }
        (view["majority"] == true && count_live_members(&view) == Some(members)).then_some(())
    };
    while check_recovered(&fleet).is_none() {
        if healed_at.elapsed() > RECOVERY_TIMEOUT {
            let view = (0..members).find_map(|node| fleet.harness.fleet.fetch_view(node));
            let states = view.map(|view| view["members"].to_string());
            let what = format!("Held Again: the fleet is not whole: {states:?}");
            result.wrong.push(what);
            break;
        }
        sleep(Duration::from_millis(20));
    }
    while script.machines > 0 && fleet.harness.finished_view().is_none() {
        if healed_at.elapsed() > WORK_TIMEOUT {
            let view = fleet.harness.fetch_work_view();
            result
                .wrong
                .push(format!("Work Ends: the order comes to no end: {view:?}"));
            break;
        }
        sleep(Duration::from_millis(20));
    }
    let Fleet {
        harness,
        clients,
        budget_workload,
        ..
    } = fleet;
    let (emptied, client_stats, budget_stats) =
        (operators.stop(), clients.stop(), budget_workload.stop());
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let records = harness.fleet.duty_events();
    result
        .wrong
        .extend(duty_history::find_duty_violations(&records, &[]));
    result.wrong.extend(find_work_violations(
        &collect_out_intervals(&harness.fleet),
        &emptied,
        &harness.servers,
        2,
    ));
    for (what, number) in [
        (
            "Final Answer: requests without one",
            count(&client_stats.lost),
        ),
        (
            "Final Answer: requests with two",
            count(&client_stats.duplicate_answers),
        ),
        (
            "Kept: connections cut without a word",
            count(&client_stats.dropped),
        ),
    ] {
        if number > 0 {
            result.wrong.push(format!("{what}: {number}"));
        }
    }
    if budget_stats.max_in_use > BUDGET_TOTAL + members {
        let what = format!(
            "Never More Than The Whole: {} of {}",
            budget_stats.max_in_use,
            BUDGET_TOTAL + members
        );
        result.wrong.push(what);
    }
    if !result.wrong.is_empty() {
        // The logs are kept for analysis.
        let path = std::env::temp_dir().join(format!("violetwind-storm-{}.log", script.seed));
        let written = std::fs::write(&path, harness.fleet.merged_log());
        let path = path.display();
        print_error!(
            "the proxies' logs: {path}{}",
            if written.is_err() {
                ", not written"
            } else {
                ""
            }
        );
    }
    result.seconds = started_at.elapsed().as_secs_f64();
    result.duties_held = duty_history::reconstruct_holdings(&records).len();
    result.machines_emptied = emptied.len();
    result.most_units = budget_stats.max_in_use;
    (result.asked, result.moved) = (count(&client_stats.requests), count(&client_stats.moved));
    (result.refused, result.failed) = (count(&client_stats.refused), count(&client_stats.failed));
    result
}
