//! Scripts of faults: drawn by a seed, played against whole members, and cut to the least that still fails. A script is a
//! TOML file; the same one is played on real processes by `violetwind-lab storm --real`.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};
use violetwind_consensus::Millis;
use violetwind_fleet::Name;
use violetwind_fleet::budget::{BudgetDefinition, BudgetKind};
use violetwind_workorders::{Bounds, FailureTolerance};

use crate::fleet::{Fault, InjectedBug, World, generate_fault, node_name};

/// Before the first fault the fleet has so long to form.
pub const FORMATION_TIME: Millis = 4000;
/// What an order for work may take once nothing fails any more.
const WORK_ENDS: Millis = 120_000;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Of all chance that is no fault of the script: delays, draws of elections, what clients do.
    pub seed: u64,
    pub voters: usize,
    #[serde(default)]
    pub others: usize,
    /// Machines that an order is for, from the start on.
    #[serde(default)]
    pub machines: usize,
    /// Two budgets, one held and one by rate, are divided and pressed.
    #[serde(default)]
    pub budgets: bool,
    /// Part of all frames that is lost, and how long the others take.
    #[serde(default)]
    pub loss: f64,
    /// Part of all frames that come twice, up to 200 ms later.
    #[serde(default)]
    pub repeat: f64,
    #[serde(default = "delay")]
    pub delay: (Millis, Millis),
    /// Faults are over then, and what was promised for after them counts.
    pub lasts: Millis,
    /// In the order of their times, from the start.
    #[serde(default, rename = "fault")]
    pub faults: Vec<TimedFault>,
}

fn delay() -> (Millis, Millis) {
    (0, 10)
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TimedFault {
    pub at: Millis,
    #[serde(flatten)]
    pub fault: Fault,
}

/// What a fleet has that a script is drawn for.
#[derive(Clone, Copy, Debug)]
pub struct ScriptParameters {
    pub voters: usize,
    pub non_voters: usize,
    pub machines: usize,
    pub has_budgets: bool,
    pub fault_duration: Millis,
}

/// What became of it.
#[derive(Clone, Debug, Default)]
pub struct ScriptOutcome {
    /// The first promise that was broken, by name, and when.
    pub violation: Option<String>,
    pub simulated_ms: Millis,
    pub elections_won: usize,
    pub duties_gained: usize,
    pub duties_lost: usize,
    pub frames_sent: u64,
    /// Steps of machines, and machines that were worked on.
    pub machine_steps: usize,
    pub machines_done: usize,
    pub units_taken: usize,
    pub answer_count: usize,
    /// What members told, in their own words.
    pub event_log: Vec<String>,
    /// Samples for a time line: a moment, who leads, and each member as it was then.
    pub timeline: Vec<TimelineSample>,
}

/// One moment of a time line.
#[derive(Clone, Debug, Default)]
pub struct TimelineSample {
    pub at: Millis,
    /// `L`eads, `h`olds a duty, `.` lives, `x` dead, `s`topped, `c`ut off from some.
    pub member_states: Vec<(Name, char)>,
    /// Units in use of the held budget, and machines out.
    pub units_in_use: u64,
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

fn budgets(members: usize) -> Vec<BudgetDefinition> {
    let def = |name: &str, kind, whole| BudgetDefinition {
        name: name.into(),
        kind,
        total: whole,
        floor: 1,
        window: 1000,
        max_members: members as u64,
        version: 1,
    };
    vec![
        def("held", BudgetKind::Concurrent, 10 + members as u64),
        def("rate", BudgetKind::Rate, 10 + members as u64),
    ]
}

impl Script {
    /// The script of a seed.
    pub fn generate(seed: u64, shape: ScriptParameters) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed ^ 0x5709_4a11);
        let names: Vec<Name> = (0..shape.voters + shape.non_voters)
            .map(node_name)
            .collect();
        let mut faults = Vec::new();
        let mut at = FORMATION_TIME;
        while at < FORMATION_TIME + shape.fault_duration {
            let duty = "export".to_string();
            if let Some(fault) = generate_fault(&mut rng, &names, &duty, shape.machines) {
                faults.push(TimedFault { at, fault });
            }
            if shape.non_voters > 0 && rng.random_bool(0.03) {
                let node = names[rng.random_range(shape.voters..names.len())].clone();
                let by = names[rng.random_range(0..names.len())].clone();
                let fault = match rng.random_bool(0.5) {
                    true => Fault::PutOut { by, node },
                    false => Fault::LetIn { by, node },
                };
                faults.push(TimedFault { at, fault });
            }
            if shape.has_budgets && rng.random_bool(0.1) {
                let hot = names[rng.random_range(0..names.len())].clone();
                let even = rng.random_bool(0.2);
                let fault = Fault::Press { hot, even };
                faults.push(TimedFault { at, fault });
            }
            at += rng.random_range(25..300);
        }
        Self {
            seed,
            voters: shape.voters,
            others: shape.non_voters,
            machines: shape.machines,
            budgets: shape.has_budgets,
            loss: [0.0, 0.0, 0.05][rng.random_range(0..3)],
            repeat: [0.0, 0.05][rng.random_range(0..2)],
            delay: [(0, 5), (0, 20), (10, 120)][rng.random_range(0..3)],
            lasts: FORMATION_TIME + shape.fault_duration,
            faults,
        }
    }

    /// # Errors
    /// What is wrong in the text, with its place, or a fault that names nobody who is there.
    pub fn parse(text: &str) -> Result<Self, String> {
        let script: Self = toml::from_str(text).map_err(|error| error.to_string())?;
        if !matches!(script.voters, 1 | 3 | 5 | 7) || script.others > 1000 || script.machines > 1000
        {
            return Err("1, 3, 5 or 7 `voters`, `others` and `machines` up to 1000".into());
        }
        let part = 0.0..1.0;
        if !part.contains(&script.loss)
            || !part.contains(&script.repeat)
            || script.delay.0 > script.delay.1
        {
            return Err(
                "`loss` and `repeat` are parts of all frames, `delay` the least and the most"
                    .into(),
            );
        }
        let names: Vec<Name> = (0..script.voters + script.others).map(node_name).collect();
        for timed in &script.faults {
            if let Some(stranger) = timed
                .fault
                .nodes()
                .into_iter()
                .find(|node| !names.contains(node))
            {
                return Err(format!("the fault at {}: there is no {stranger}", timed.at));
            }
        }
        Ok(script)
    }

    pub fn to_toml(&self) -> String {
        toml::to_string(self).expect("plain data can be written")
    }

    /// Plays it; `sample` is how often the time line is looked at, 0 for never.
    pub fn run(&self, planted: InjectedBug, sample: Millis) -> ScriptOutcome {
        let defs = match self.budgets {
            true => budgets(self.voters + self.others),
            false => Vec::new(),
        };
        let mut world = World::with_budgets(self.seed, self.voters, self.others, planted, defs);
        if self.machines > 0 {
            world = world.with_machines(self.machines, bounds());
        }
        if self.budgets {
            world = world.with_external_budgets(&["rate"]);
        }
        let start = world.now;
        let mut line = Vec::new();
        let run = |world: &mut World, until: Millis, line: &mut Vec<TimelineSample>| {
            while world.now < start + until && world.violation.is_none() {
                world.step();
                if sample > 0 && (world.now - start).is_multiple_of(sample) {
                    line.push(world.sample_timeline(start));
                }
            }
        };
        run(&mut world, FORMATION_TIME, &mut line);
        if self.machines > 0 {
            world.plan_work(&node_name(0), "storm", bounds());
        }
        (world.loss_rate, world.duplicate_rate, world.delay_range) =
            (self.loss, self.repeat, self.delay);
        world.views_enabled = self.others > 0;
        for timed in &self.faults {
            run(&mut world, timed.at, &mut line);
            world.inject_fault(&timed.fault);
        }
        run(&mut world, self.lasts, &mut line);
        world.heal_and_check();
        world.admit_all();
        world.check_history();
        if self.machines > 0 {
            let until = world.now + WORK_ENDS;
            while world.violation.is_none() && !world.work_ended() {
                if world.now >= until {
                    world.record_violation("Work Ends: the order comes to no end".into());
                }
                world.run_for(500);
            }
        }
        let (steps, done) = world
            .maintenance
            .as_ref()
            .map_or((0, 0), |shift| (shift.machine_steps, shift.machines_done));
        ScriptOutcome {
            violation: world.violation.clone(),
            simulated_ms: world.now - start,
            elections_won: world.elections_won,
            duties_gained: world.duties_gained,
            duties_lost: world.duties_lost,
            frames_sent: world.frames_sent,
            machine_steps: steps,
            machines_done: done,
            units_taken: world.units_taken,
            answer_count: world.answers.len(),
            event_log: world.event_log,
            timeline: line,
        }
    }

    /// The least of it that still breaks the same promise: faults left out in ever smaller pieces, members and machines,
    /// then times. Plays no more than `most` times.
    pub fn shrink(&self, planted: InjectedBug, most: usize) -> (Self, usize) {
        let promise = |played: &ScriptOutcome| {
            let wrong = played.violation.as_deref()?;
            let (_, what) = wrong.split_once(": ")?;
            Some(what.split(':').next().unwrap_or(what).to_string())
        };
        let Some(wanted) = promise(&self.run(planted, 0)) else {
            return (self.clone(), 1);
        };
        let (mut best, mut played) = (self.clone(), 1);
        let fails = |script: &Self, played: &mut usize| {
            *played += 1;
            *played <= most && promise(&script.run(planted, 0)).as_ref() == Some(&wanted)
        };
        let mut piece = best.faults.len().div_ceil(2).max(1);
        loop {
            let mut at = 0;
            while at < best.faults.len() {
                let mut less = best.clone();
                let end = (at + piece).min(less.faults.len());
                less.faults.drain(at..end);
                match fails(&less, &mut played) {
                    true => best = less,
                    false => at += piece,
                }
            }
            if piece == 1 {
                break;
            }
            piece = piece.div_ceil(2);
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
            let mut less = best.clone();
            change(&mut less);
            let names: Vec<Name> = (0..less.voters + less.others).map(node_name).collect();
            let there = |timed: &TimedFault| {
                timed
                    .fault
                    .nodes()
                    .into_iter()
                    .all(|node| names.contains(node))
            };
            less.faults.retain(there);
            if less != best && fails(&less, &mut played) {
                best = less;
            }
        }
        // No longer than it takes.
        let last = best.faults.last().map_or(FORMATION_TIME, |timed| timed.at);
        for lasts in [last, last + 500, last + 2000, last + 8000] {
            let less = Self {
                lasts,
                ..best.clone()
            };
            if lasts < best.lasts && fails(&less, &mut played) {
                best = less;
                break;
            }
        }
        (best, played)
    }
}
