//! Fault scripts: generated from a seed, run against complete members, and shrunk to a minimal script that still fails.
//! A script is a TOML file; `violetwind-lab storm --real` runs the same script on real processes.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use violetwind_consensus::Millis;
use violetwind_fleet::Name;
use violetwind_fleet::budget::{BudgetDefinition, BudgetKind};
use violetwind_workorders::{Bounds, FailureTolerance};

use crate::fleet::{Fault, InjectedBug, World, generate_fault, node_name};

/// Time for the fleet to form before the first fault, in milliseconds.
pub const FORMATION_TIME: Millis = 4000;
/// Time for a work order to end after the last fault, in milliseconds.
const WORK_ORDER_TIMEOUT: Millis = 120_000;

/// A simulated fleet and the faults that are injected into it, as written in a script file. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Seeds all randomness except the script's faults: delays, election timeouts, the clients' actions.
    pub seed: u64,
    pub voters: usize,
    /// Number of members that don't vote.
    #[serde(default)]
    pub others: usize,
    /// Number of machines in the work order that is planned at the start.
    #[serde(default)]
    pub machines: usize,
    /// Whether the fleet divides two budgets under load, one of concurrent units and one of a rate.
    #[serde(default)]
    pub budgets: bool,
    /// Fraction of all frames that is lost.
    #[serde(default)]
    pub loss: f64,
    /// Fraction of all frames that is duplicated; the duplicate arrives up to 200 ms later.
    #[serde(default)]
    pub repeat: f64,
    /// Least and greatest delay of a frame.
    #[serde(default = "delay")]
    pub delay: (Millis, Millis),
    /// Time at which faults end; from then on the invariants that hold after faults are checked.
    pub lasts: Millis,
    /// Sorted by time.
    #[serde(default, rename = "fault")]
    pub faults: Vec<TimedFault>,
}

fn delay() -> (Millis, Millis) {
    (0, 10)
}

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedFault {
    /// Milliseconds since the start of the run.
    pub at: Millis,
    #[serde(flatten)]
    pub fault: Fault,
}

/// Size and features of the fleet that a script is generated for.
#[derive(Clone, Copy, Debug)]
pub struct ScriptParameters {
    pub voters: usize,
    pub non_voters: usize,
    pub machines: usize,
    pub has_budgets: bool,
    /// Length of the period in which faults are injected, in milliseconds.
    pub fault_duration: Millis,
}

/// The result of a run of a script.
#[derive(Clone, Debug, Default)]
pub struct ScriptOutcome {
    /// The time and the name of the first invariant that was violated.
    pub violation: Option<String>,
    pub simulated_ms: Millis,
    pub elections_won: usize,
    pub duties_gained: usize,
    pub duties_lost: usize,
    pub frames_sent: u64,
    /// Number of phase changes of machines.
    pub machine_steps: usize,
    /// Number of machines whose maintenance was completed.
    pub machines_done: usize,
    pub units_taken: usize,
    pub answer_count: usize,
    /// Events reported by members, each with its time, as debug text.
    pub event_log: Vec<String>,
    /// Samples of the state of all members.
    pub timeline: Vec<TimelineSample>,
}

/// One sample of the timeline.
#[derive(Clone, Debug, Default)]
pub struct TimelineSample {
    /// Milliseconds since the start of the run.
    pub at: Millis,
    /// State of each member: `L` leader, `h` holds a duty, `.` running, `x` down, `s` stopped, `c` a link is cut.
    pub member_states: Vec<(Name, char)>,
    /// Units in use of the first budget.
    pub units_in_use: u64,
    /// Number of machines out of service.
    pub machines_out: usize,
}

fn bounds() -> Bounds {
    Bounds {
        max_out: 2,
        max_out_per_zone: 1,
        min_capacity_permille: 500,
        failure_tolerance: FailureTolerance::Nothing,
    }
}

fn budget_definitions(members: usize) -> Vec<BudgetDefinition> {
    let definition = |name: &str, kind, total| BudgetDefinition {
        name: name.into(),
        kind,
        total,
        floor: 1,
        window: 1000,
        max_members: members as u64,
        version: 1,
    };
    vec![
        definition("held", BudgetKind::Concurrent, 10 + members as u64),
        definition("rate", BudgetKind::Rate, 10 + members as u64),
    ]
}

impl Script {
    /// Generates the script of a seed.
    pub fn generate(seed: u64, parameters: ScriptParameters) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed ^ 0x5709_4a11);
        let names: Vec<Name> = (0..parameters.voters + parameters.non_voters)
            .map(node_name)
            .collect();
        let mut faults = Vec::new();
        let mut at = FORMATION_TIME;
        while at < FORMATION_TIME + parameters.fault_duration {
            let duty = "export".to_string();
            if let Some(fault) = generate_fault(&mut rng, &names, &duty, parameters.machines) {
                faults.push(TimedFault { at, fault });
            }
            if parameters.non_voters > 0 && rng.random_bool(0.03) {
                let node = names[rng.random_range(parameters.voters..names.len())].clone();
                let by = names[rng.random_range(0..names.len())].clone();
                let fault = match rng.random_bool(0.5) {
                    true => Fault::PutOut { by, node },
                    false => Fault::LetIn { by, node },
                };
                faults.push(TimedFault { at, fault });
            }
            if parameters.has_budgets && rng.random_bool(0.1) {
                let hot = names[rng.random_range(0..names.len())].clone();
                let even = rng.random_bool(0.2);
                let fault = Fault::Press { hot, even };
                faults.push(TimedFault { at, fault });
            }
            at += rng.random_range(25..300);
        }
        Self {
            seed,
            voters: parameters.voters,
            others: parameters.non_voters,
            machines: parameters.machines,
            budgets: parameters.has_budgets,
            loss: [0.0, 0.0, 0.05][rng.random_range(0..3)],
            repeat: [0.0, 0.05][rng.random_range(0..2)],
            delay: [(0, 5), (0, 20), (10, 120)][rng.random_range(0..3)],
            lasts: FORMATION_TIME + parameters.fault_duration,
            faults,
        }
    }

    /// Parses a script file.
    ///
    /// # Errors
    /// A message that describes a syntax error with its position, a value out of range, or a fault that names an
    /// unknown member.
    pub fn parse(text: &str) -> Result<Self, String> {
        let script: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        if !matches!(script.voters, 1 | 3 | 5 | 7) || script.others > 1000 || script.machines > 1000
        {
            return Err("1, 3, 5 or 7 `voters`, `others` and `machines` up to 1000".into());
        }
        let fraction = 0.0..1.0;
        if !fraction.contains(&script.loss)
            || !fraction.contains(&script.repeat)
            || script.delay.0 > script.delay.1
        {
            return Err(
                "`loss` and `repeat` are parts of all frames, `delay` the least and the most"
                    .into(),
            );
        }
        let names: Vec<Name> = (0..script.voters + script.others).map(node_name).collect();
        for timed in &script.faults {
            if let Some(unknown_node) = timed
                .fault
                .nodes()
                .into_iter()
                .find(|node| !names.contains(node))
            {
                return Err(format!(
                    "the fault at {}: there is no {unknown_node}",
                    timed.at
                ));
            }
        }
        Ok(script)
    }

    /// The script as the text of a script file.
    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("a script serializes to TOML")
    }

    /// Runs the script with the given bug injected. A timeline sample is taken every `sample_interval` milliseconds, or
    /// never if it is 0.
    pub fn run(&self, injected_bug: InjectedBug, sample_interval: Millis) -> ScriptOutcome {
        let definitions = match self.budgets {
            true => budget_definitions(self.voters + self.others),
            false => Vec::new(),
        };
        let mut world = World::with_budgets(
            self.seed,
            self.voters,
            self.others,
            injected_bug,
            definitions,
        );
        if self.machines > 0 {
            world = world.with_machines(self.machines, bounds());
        }
        if self.budgets {
            world = world.with_external_budgets(&["rate"]);
        }
        let start = world.now;
        let mut timeline = Vec::new();
        let run_until = |world: &mut World, until: Millis, timeline: &mut Vec<TimelineSample>| {
            while world.now < start + until && world.violation.is_none() {
                world.step();
                if sample_interval > 0 && (world.now - start).is_multiple_of(sample_interval) {
                    timeline.push(world.sample_timeline(start));
                }
            }
        };
        run_until(&mut world, FORMATION_TIME, &mut timeline);
        if self.machines > 0 {
            world.plan_work(&node_name(0), "storm", bounds());
        }
        (world.loss_rate, world.duplicate_rate, world.delay_range) =
            (self.loss, self.repeat, self.delay);
        world.views_enabled = self.others > 0;
        for timed in &self.faults {
            run_until(&mut world, timed.at, &mut timeline);
            world.inject_fault(&timed.fault);
        }
        run_until(&mut world, self.lasts, &mut timeline);
        world.heal_and_check();
        world.admit_all_members();
        world.check_history();
        if self.machines > 0 {
            let until = world.now + WORK_ORDER_TIMEOUT;
            while world.violation.is_none() && !world.work_ended() {
                if world.now >= until {
                    world.record_violation("Work Ends: the order has not ended in time".into());
                }
                world.run_for(500);
            }
        }
        let (machine_steps, machines_done) =
            world.maintenance.as_ref().map_or((0, 0), |maintenance| {
                (maintenance.machine_steps, maintenance.machines_done)
            });
        ScriptOutcome {
            violation: world.violation.clone(),
            simulated_ms: world.now - start,
            elections_won: world.elections_won,
            duties_gained: world.duties_gained,
            duties_lost: world.duties_lost,
            frames_sent: world.frames_sent,
            machine_steps,
            machines_done,
            units_taken: world.units_taken,
            answer_count: world.answers.len(),
            event_log: world.event_log,
            timeline,
        }
    }

    /// Shrinks the script to one that still violates the same invariant: removes faults in ever smaller chunks, then
    /// machines, budgets and members, then shortens the duration. Runs scripts at most `max_runs` times. Returns the
    /// shrunk script and the number of attempted runs.
    pub fn shrink(&self, injected_bug: InjectedBug, max_runs: usize) -> (Self, usize) {
        let violated_invariant = |outcome: &ScriptOutcome| {
            let violation = outcome.violation.as_deref()?;
            let (_, description) = violation.split_once(": ")?;
            Some(
                description
                    .split(':')
                    .next()
                    .unwrap_or(description)
                    .to_string(),
            )
        };
        let Some(expected) = violated_invariant(&self.run(injected_bug, 0)) else {
            return (self.clone(), 1);
        };
        let (mut best, mut runs) = (self.clone(), 1);
        let fails = |script: &Self, runs: &mut usize| {
            *runs += 1;
            *runs <= max_runs
                && violated_invariant(&script.run(injected_bug, 0)).as_ref() == Some(&expected)
        };
        let mut chunk = best.faults.len().div_ceil(2).max(1);
        loop {
            let mut at = 0;
            while at < best.faults.len() {
                let mut candidate = best.clone();
                let end = (at + chunk).min(candidate.faults.len());
                candidate.faults.drain(at..end);
                match fails(&candidate, &mut runs) {
                    true => best = candidate,
                    false => at += chunk,
                }
            }
            if chunk == 1 {
                break;
            }
            chunk = chunk.div_ceil(2);
        }
        for change in [
            |script: &mut Self| script.machines = 0,
            |script: &mut Self| script.budgets = false,
            |script: &mut Self| script.loss = 0.0,
            |script: &mut Self| script.repeat = 0.0,
            |script: &mut Self| script.others = 0,
            |script: &mut Self| script.voters = 3,
            |script: &mut Self| script.voters = 1,
        ] {
            let mut candidate = best.clone();
            change(&mut candidate);
            let names: Vec<Name> = (0..candidate.voters + candidate.others)
                .map(node_name)
                .collect();
            let has_all_nodes = |timed: &TimedFault| {
                timed
                    .fault
                    .nodes()
                    .into_iter()
                    .all(|node| names.contains(node))
            };
            candidate.faults.retain(has_all_nodes);
            if candidate != best && fails(&candidate, &mut runs) {
                best = candidate;
            }
        }
        // Shortens the run to the first of these durations that still fails.
        let last = best.faults.last().map_or(FORMATION_TIME, |timed| timed.at);
        for lasts in [last, last + 500, last + 2000, last + 8000] {
            let candidate = Self {
                lasts,
                ..best.clone()
            };
            if lasts < best.lasts && fails(&candidate, &mut runs) {
                best = candidate;
                break;
            }
        }
        (best, runs)
    }
}
