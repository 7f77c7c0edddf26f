//! Searches random scenarios for broken rules and for the largest service loss against the upper bound, and shrinks the
//! scenario found.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::model::{Outcome, PolicyKind, Rule, simulate};
use crate::scenario::{Scenario, Trouble, TroubleKind};

/// What a search found.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SearchTarget {
    /// A rule was broken.
    Broken(Rule),
    /// Service is below that of the upper bound by at least this much.
    Loss(f64),
}

/// A scenario found by a search, after shrinking.
#[derive(Clone, Debug)]
pub struct SearchResult {
    pub target: SearchTarget,
    pub scenario: Scenario,
    pub seed: u64,
    /// Number of scenarios that were tried until this one was found.
    pub scenarios_tried: usize,
    /// Number of successful shrink steps.
    pub shrink_steps: usize,
}

/// Number of scenarios simulated in parallel.
const BATCH: usize = 8;
/// Maximum number of troubles in one scenario.
const MAX_TROUBLES: usize = 5;

/// Simulates up to `max_scenarios` random variations of `base`. Returns the first that breaks a rule, otherwise the one
/// with the largest service loss against the upper bound; `None` if none has a loss.
pub fn search_scenarios(
    base: &Scenario,
    policy: PolicyKind,
    seed: u64,
    max_scenarios: usize,
) -> Option<SearchResult> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut worst: Option<(f64, Scenario, u64)> = None;
    let mut tried = 0;
    while tried < max_scenarios {
        // The scenarios depend on the seed only, not on the number that runs in parallel.
        let batch: Vec<(Scenario, u64)> = (0..BATCH.min(max_scenarios - tried))
            .map(|_| {
                (
                    vary_scenario(base, &mut rng),
                    rng.random_range(1..1_000_000),
                )
            })
            .collect();
        for ((scenario, seed), (outcome, bound)) in
            batch.iter().zip(run_with_upper_bound(&batch, policy))
        {
            tried += 1;
            if let Some(breach) = outcome.breaches.first() {
                let target = SearchTarget::Broken(breach.rule);
                return Some(shrink_scenario(scenario, policy, *seed, target, tried));
            }
            let loss = bound.service - outcome.service;
            if worst.as_ref().is_none_or(|(max_loss, ..)| loss > *max_loss) {
                worst = Some((loss, scenario.clone(), *seed));
            }
        }
    }
    let (loss, scenario, seed) = worst.filter(|(loss, ..)| *loss > 0.0)?;
    // Shrinking has to keep four fifths of the loss.
    Some(shrink_scenario(
        &scenario,
        policy,
        seed,
        SearchTarget::Loss(0.8 * loss),
        max_scenarios,
    ))
}

/// Simulates each scenario with the policy and with the upper bound, on one thread per scenario.
fn run_with_upper_bound(batch: &[(Scenario, u64)], policy: PolicyKind) -> Vec<(Outcome, Outcome)> {
    std::thread::scope(|scope| {
        let threads = batch.iter().map(|(scenario, seed)| {
            scope.spawn(|| {
                let outcome = simulate(scenario, policy, *seed);
                (outcome, simulate(scenario, PolicyKind::UpperBound, *seed))
            })
        });
        let threads: Vec<_> = threads.collect();
        let joined = threads
            .into_iter()
            .map(|thread| thread.join().expect("no simulation panicked"));
        joined.collect()
    })
}

/// Returns a random variation of a scenario, with one to `MAX_TROUBLES` random troubles.
fn vary_scenario(base: &Scenario, rng: &mut Pcg64Mcg) -> Scenario {
    let mut scenario = base.clone();
    scenario.demand.offered_load *= rng.random_range(0.5..1.3);
    scenario.list_timing.propagation_delay *= rng.random_range(0.2..4.0);
    scenario.server.report_delay *= rng.random_range(0.2..4.0);
    scenario.troubles = (0..rng.random_range(1..=MAX_TROUBLES))
        .map(|_| random_trouble(base, rng))
        .collect();
    // Overlapping bursts multiply the arrival rate to unrealistic values, so only one is kept.
    let mut bursts = 0;
    scenario.troubles.retain(|trouble| {
        bursts += usize::from(trouble.kind == TroubleKind::Burst);
        trouble.kind != TroubleKind::Burst || bursts == 1
    });
    scenario
}

fn random_trouble(base: &Scenario, rng: &mut Pcg64Mcg) -> Trouble {
    let kind = TroubleKind::ALL[rng.random_range(0..TroubleKind::ALL.len())];
    let (from, to) = kind.default_factors();
    let measured_time = (base.seconds - base.warm_up).max(1.0);
    Trouble {
        kind,
        at: base.warm_up + measured_time * rng.random_range(0.0..0.7),
        lasts: measured_time * rng.random_range(0.05..0.5),
        share: rng.random_range(0.05..=1.0),
        from,
        to,
        zone: rng.random_range(0..base.zones),
    }
}

/// Whether a scenario still reproduces the finding.
fn reproduces(scenario: &Scenario, policy: PolicyKind, seed: u64, target: SearchTarget) -> bool {
    let outcome = simulate(scenario, policy, seed);
    match target {
        SearchTarget::Broken(rule) => outcome.breaches.iter().any(|breach| breach.rule == rule),
        SearchTarget::Loss(min_loss) => {
            simulate(scenario, PolicyKind::UpperBound, seed).service - outcome.service >= min_loss
        }
    }
}

/// Removes parts of the scenario that are not needed to reproduce the finding, one at a time, until no further part can
/// be removed.
pub fn shrink_scenario(
    found: &Scenario,
    policy: PolicyKind,
    seed: u64,
    target: SearchTarget,
    scenarios_tried: usize,
) -> SearchResult {
    let mut scenario = found.clone();
    let mut shrink_steps = 0;
    loop {
        let smaller = reductions(&scenario)
            .into_iter()
            .find(|smaller| reproduces(smaller, policy, seed, target));
        match smaller {
            Some(smaller) => scenario = smaller,
            None => break,
        }
        shrink_steps += 1;
    }
    SearchResult {
        target,
        scenario,
        seed,
        scenarios_tried,
        shrink_steps,
    }
}

/// Returns scenarios with one reduction each, the largest reductions first.
fn reductions(scenario: &Scenario) -> Vec<Scenario> {
    let mut reductions = Vec::new();
    let mut add_reduction = |change: &dyn Fn(&mut Scenario)| {
        let mut smaller = scenario.clone();
        change(&mut smaller);
        reductions.push(smaller);
    };
    for n in 0..scenario.troubles.len() {
        add_reduction(&|s| {
            s.troubles.remove(n);
        });
    }
    let end = |t: &Trouble| t.at + t.lasts;
    let last_end = scenario
        .troubles
        .iter()
        .map(end)
        .fold(scenario.warm_up, f64::max);
    if last_end + 15.0 < scenario.seconds {
        add_reduction(&|s| s.seconds = (last_end + 10.0).ceil());
    }
    for divisor in [2, 3] {
        if scenario.servers / divisor >= scenario.zones
            && scenario.proxies / divisor >= scenario.zones
        {
            add_reduction(&|s| {
                s.servers /= divisor;
                s.proxies /= divisor;
            });
        }
    }
    if scenario.classes.len() > 1 {
        for n in 0..scenario.classes.len() {
            add_reduction(&|s| {
                s.classes.remove(n);
            });
        }
    }
    for n in 0..scenario.troubles.len() {
        if scenario.troubles[n].lasts > 2.0 {
            add_reduction(&|s| s.troubles[n].lasts = (s.troubles[n].lasts / 2.0).ceil());
        }
        if scenario.troubles[n].at > scenario.warm_up + 2.0 {
            add_reduction(&|s| s.troubles[n].at = (s.warm_up + 1.0).ceil());
        }
    }
    reductions
}
