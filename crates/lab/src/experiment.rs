//! Seeds side by side. The outcome of a seed does not depend on how many threads there are.

use std::num::NonZeroUsize;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::model::{Outcome, PolicyKind, simulate};
use crate::scenario::Scenario;
use crate::stats::Estimate;

/// One side of a comparison.
#[derive(Clone, Debug)]
pub struct Variant {
    pub scenario: Scenario,
    pub policy: PolicyKind,
}

/// The three figures of service, in this order everywhere.
pub const SERVICE_METRICS: [&str; 3] = ["whole run", "worst 10 s", "worst class"];

pub fn service_metrics(outcome: &Outcome) -> [f64; 3] {
    [outcome.service, outcome.worst_stretch, outcome.worst_class]
}

/// Seeds that are played before an early stop is thought of.
const LEAST: usize = 5;

pub fn thread_count(asked: Option<usize>) -> usize {
    let there = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
    asked.unwrap_or(there).clamp(1, 64)
}

/// Plays each side with each seed, `threads` at a time; outcomes come in the order of the seeds.
pub fn run_variants(sides: &[Variant], seeds: &[u64], threads: usize) -> Vec<Vec<Outcome>> {
    let jobs: Vec<(usize, usize)> = (0..seeds.len())
        .flat_map(|seed| (0..sides.len()).map(move |side| (side, seed)))
        .collect();
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<(usize, usize, Outcome)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.min(jobs.len()) {
            scope.spawn(|| {
                while let Some(&(side, seed)) = jobs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let at = &sides[side];
                    let outcome = simulate(&at.scenario, at.policy, seeds[seed]);
                    done.lock().expect("no panic").push((side, seed, outcome));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no panic");
    done.sort_by_key(|(side, seed, _)| (*side, *seed));
    let mut outcomes: Vec<Vec<Outcome>> = sides.iter().map(|_| Vec::new()).collect();
    for (side, _, outcome) in done {
        outcomes[side].push(outcome);
    }
    outcomes
}

/// The paired difference of two sides, figure by figure.
#[derive(Clone, Debug)]
pub struct Comparison {
    pub estimates: [[Estimate; 3]; 2],
    /// The second less the first.
    pub difference: [Estimate; 3],
    pub seed_count: usize,
    pub breach_counts: [usize; 2],
    pub mean_moves: [f64; 2],
}

/// Plays seeds in batches until every interval is as fine as wanted, or all are played.
pub fn compare_variants(
    a: &Variant,
    b: &Variant,
    seeds: &[u64],
    precision: f64,
    threads: usize,
) -> Comparison {
    let sides = [a.clone(), b.clone()];
    let mut outcomes: [Vec<Outcome>; 2] = Default::default();
    let mut played = 0;
    loop {
        let batch = seeds[played..].iter().take(threads.max(LEAST));
        let batch: Vec<u64> = batch.copied().collect();
        played += batch.len();
        for (all, more) in outcomes
            .iter_mut()
            .zip(run_variants(&sides, &batch, threads))
        {
            all.extend(more);
        }
        let comparison = weigh(&outcomes);
        let fine = comparison.difference.iter().all(|d| d.half <= precision);
        if played >= seeds.len() || fine && played >= LEAST {
            return comparison;
        }
    }
}

fn weigh(outcomes: &[Vec<Outcome>; 2]) -> Comparison {
    let column = |side: usize, figure: usize| -> Vec<f64> {
        outcomes[side]
            .iter()
            .map(|o| service_metrics(o)[figure])
            .collect()
    };
    let side = |side| [0, 1, 2].map(|figure| Estimate::from_samples(&column(side, figure)));
    let difference = [0, 1, 2].map(|figure| {
        let pairs = column(1, figure).into_iter().zip(column(0, figure));
        let pairs: Vec<f64> = pairs.map(|(b, a)| b - a).collect();
        Estimate::from_samples(&pairs)
    });
    let sum = |side: usize, of: fn(&Outcome) -> f64| -> f64 {
        let all = &outcomes[side];
        all.iter().map(of).sum::<f64>() / all.len().max(1) as f64
    };
    Comparison {
        estimates: [side(0), side(1)],
        difference,
        seed_count: outcomes[0].len(),
        breach_counts: [0, 1].map(|s| outcomes[s].iter().map(|o| o.breach_count).sum()),
        mean_moves: [0, 1].map(|s| sum(s, |o| o.moves as f64)),
    }
}

/// Plain service, and where it lies between random (0) and the bound (1).
pub fn score(plain: f64, random: f64, bound: f64) -> f64 {
    match bound - random {
        room if room.abs() < 1e-9 => 1.0,
        room => (plain - random) / room,
    }
}
