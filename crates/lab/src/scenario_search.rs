//! Searches scenarios for broken rules and for the largest loss to the bound, then shrinks what it finds.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::model::{Outcome, PolicyKind, Rule, simulate};
use crate::scenario::{Scenario, Trouble, TroubleKind};

/// What a hunt is after.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SearchTarget {
    Broken(Rule),
    /// Service lost to the bound, at least so much.
    Loss(f64),
}

#[derive(Clone, Debug)]
pub struct SearchResult {
    pub target: SearchTarget,
    pub scenario: Scenario,
    pub seed: u64,
    /// Runs until it was found, and until it was as small as it gets.
    pub scenarios_tried: usize,
    pub shrink_steps: usize,
}

/// Scenarios that are played at a time.
const BATCH: usize = 8;
/// Troubles in one scenario.
const MOST_TROUBLES: usize = 5;

/// Plays up to so many scenarios made from `base` by chance. Returns the first that breaks a rule, else
/// the one that loses most to the bound.
pub fn search_scenarios(
    base: &Scenario,
    policy: PolicyKind,
    seed: u64,
    most: usize,
) -> Option<SearchResult> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut worst: Option<(f64, Scenario, u64)> = None;
    let mut played = 0;
    while played < most {
        // What is played depends on the seed alone, not on how many are played at a time.
        let batch: Vec<(Scenario, u64)> = (0..BATCH.min(most - played))
            .map(|_| (vary(base, &mut rng), rng.random_range(1..1_000_000)))
            .collect();
        for ((scenario, seed), (own, bound)) in batch.iter().zip(side_by_side(&batch, policy)) {
            played += 1;
            if let Some(breach) = own.breaches.first() {
                let quarry = SearchTarget::Broken(breach.rule);
                return Some(shrink_scenario(scenario, policy, *seed, quarry, played));
            }
            let loss = bound.service - own.service;
            if worst.as_ref().is_none_or(|(least, ..)| loss > *least) {
                worst = Some((loss, scenario.clone(), *seed));
            }
        }
    }
    let (loss, scenario, seed) = worst.filter(|(loss, ..)| *loss > 0.0)?;
    // Four fifths of the loss must stay while it is made smaller.
    Some(shrink_scenario(
        &scenario,
        policy,
        seed,
        SearchTarget::Loss(0.8 * loss),
        most,
    ))
}

/// Plays each scenario with the policy and with the bound, a thread a scenario.
fn side_by_side(batch: &[(Scenario, u64)], policy: PolicyKind) -> Vec<(Outcome, Outcome)> {
    std::thread::scope(|scope| {
        let played = batch.iter().map(|(scenario, seed)| {
            scope.spawn(|| {
                let own = simulate(scenario, policy, *seed);
                (own, simulate(scenario, PolicyKind::UpperBound, *seed))
            })
        });
        let played: Vec<_> = played.collect();
        let joined = played.into_iter().map(|one| one.join().expect("no panic"));
        joined.collect()
    })
}

fn vary(base: &Scenario, rng: &mut Pcg64Mcg) -> Scenario {
    let mut scenario = base.clone();
    scenario.demand.offered_load *= rng.random_range(0.5..1.3);
    scenario.list_timing.propagation_delay *= rng.random_range(0.2..4.0);
    scenario.server.report_delay *= rng.random_range(0.2..4.0);
    scenario.troubles = (0..rng.random_range(1..=MOST_TROUBLES))
        .map(|_| trouble(base, rng))
        .collect();
    // Bursts multiply: more than one at a time is no day that anybody has.
    let mut bursts = 0;
    scenario.troubles.retain(|trouble| {
        bursts += usize::from(trouble.kind == TroubleKind::Burst);
        trouble.kind != TroubleKind::Burst || bursts == 1
    });
    scenario
}

fn trouble(base: &Scenario, rng: &mut Pcg64Mcg) -> Trouble {
    let kind = TroubleKind::ALL[rng.random_range(0..TroubleKind::ALL.len())];
    let (from, to) = kind.default_factors();
    let room = (base.seconds - base.warm_up).max(1.0);
    Trouble {
        kind,
        at: base.warm_up + room * rng.random_range(0.0..0.7),
        lasts: room * rng.random_range(0.05..0.5),
        share: rng.random_range(0.05..=1.0),
        from,
        to,
        zone: rng.random_range(0..base.zones),
    }
}

/// Whether a scenario still shows what was found.
fn shows(scenario: &Scenario, policy: PolicyKind, seed: u64, quarry: SearchTarget) -> bool {
    let own = simulate(scenario, policy, seed);
    match quarry {
        SearchTarget::Broken(rule) => own.breaches.iter().any(|breach| breach.rule == rule),
        SearchTarget::Loss(least) => {
            simulate(scenario, PolicyKind::UpperBound, seed).service - own.service >= least
        }
    }
}

/// Takes away what is not needed for it, one thing after the other, until nothing more can go.
pub fn shrink_scenario(
    found: &Scenario,
    policy: PolicyKind,
    seed: u64,
    quarry: SearchTarget,
    runs: usize,
) -> SearchResult {
    let mut scenario = found.clone();
    let mut shrinks = 0;
    loop {
        let smaller = smaller(&scenario)
            .into_iter()
            .find(|smaller| shows(smaller, policy, seed, quarry));
        match smaller {
            Some(smaller) => scenario = smaller,
            None => break,
        }
        shrinks += 1;
    }
    SearchResult {
        target: quarry,
        scenario,
        seed,
        scenarios_tried: runs,
        shrink_steps: shrinks,
    }
}

/// Scenarios with one thing less, those first that take most away.
fn smaller(scenario: &Scenario) -> Vec<Scenario> {
    let mut all = Vec::new();
    let mut with = |change: &dyn Fn(&mut Scenario)| {
        let mut smaller = scenario.clone();
        change(&mut smaller);
        all.push(smaller);
    };
    for n in 0..scenario.troubles.len() {
        with(&|s| {
            s.troubles.remove(n);
        });
    }
    let ends = |t: &Trouble| t.at + t.lasts;
    let last = scenario
        .troubles
        .iter()
        .map(ends)
        .fold(scenario.warm_up, f64::max);
    if last + 15.0 < scenario.seconds {
        with(&|s| s.seconds = (last + 10.0).ceil());
    }
    for part in [2, 3] {
        if scenario.servers / part >= scenario.zones && scenario.proxies / part >= scenario.zones {
            with(&|s| {
                s.servers /= part;
                s.proxies /= part;
            });
        }
    }
    if scenario.classes.len() > 1 {
        for n in 0..scenario.classes.len() {
            with(&|s| {
                s.classes.remove(n);
            });
        }
    }
    for n in 0..scenario.troubles.len() {
        if scenario.troubles[n].lasts > 2.0 {
            with(&|s| s.troubles[n].lasts = (s.troubles[n].lasts / 2.0).ceil());
        }
        if scenario.troubles[n].at > scenario.warm_up + 2.0 {
            with(&|s| s.troubles[n].at = (s.warm_up + 1.0).ceil());
        }
    }
    all
}
