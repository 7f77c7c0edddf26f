//! Runs of scenario variants over several seeds in parallel. The outcome of a seed does not depend on the number of
//! threads.

use std::num::NonZeroUsize;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::model::{Outcome, PolicyKind, simulate};
use crate::scenario::Scenario;
use crate::stats::Estimate;

/// A scenario with a policy, compared with others on the same seeds.
#[derive(Clone, Debug)]
pub struct Variant {
    pub scenario: Scenario,
    pub policy: PolicyKind,
}

/// Names of the three service metrics, in the order of `service_metrics`.
pub const SERVICE_METRICS: [&str; 3] = ["whole run", "worst 10 s", "worst class"];

/// Returns the service metrics of an outcome, in the order of `SERVICE_METRICS`.
pub fn service_metrics(outcome: &Outcome) -> [f64; 3] {
    [outcome.service, outcome.worst_window, outcome.worst_class]
}

/// Minimum number of seeds before a comparison may stop early.
const MIN_SEEDS: usize = 5;

/// Returns the requested number of threads, by default one per CPU, limited to 1..=64.
pub fn thread_count(requested: Option<usize>) -> usize {
    let available = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
    requested.unwrap_or(available).clamp(1, 64)
}

/// Runs each variant with each seed on `threads` threads. Returns the outcomes by variant, in the order of the seeds.
pub fn run_variants(variants: &[Variant], seeds: &[u64], threads: usize) -> Vec<Vec<Outcome>> {
    let jobs: Vec<(usize, usize)> = (0..seeds.len())
        .flat_map(|seed| (0..variants.len()).map(move |variant| (variant, seed)))
        .collect();
    let next_job = AtomicUsize::new(0);
    let finished: Mutex<Vec<(usize, usize, Outcome)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.min(jobs.len()) {
            scope.spawn(|| {
                while let Some(&(variant, seed)) =
                    jobs.get(next_job.fetch_add(1, Ordering::Relaxed))
                {
                    let job_variant = &variants[variant];
                    let outcome = simulate(&job_variant.scenario, job_variant.policy, seeds[seed]);
                    finished
                        .lock()
                        .expect("no thread panicked while holding the lock")
                        .push((variant, seed, outcome));
                }
            });
        }
    });
    let mut finished = finished
        .into_inner()
        .expect("no thread panicked while holding the lock");
    finished.sort_by_key(|(variant, seed, _)| (*variant, *seed));
    let mut outcomes: Vec<Vec<Outcome>> = variants.iter().map(|_| Vec::new()).collect();
    for (variant, _, outcome) in finished {
        outcomes[variant].push(outcome);
    }
    outcomes
}

/// Paired difference of two variants, by service metric.
#[derive(Clone, Debug)]
pub struct Comparison {
    /// Estimates of each variant.
    pub estimates: [[Estimate; 3]; 2],
    /// Second variant minus the first.
    pub difference: [Estimate; 3],
    pub seed_count: usize,
    pub breach_counts: [usize; 2],
    pub mean_moves: [f64; 2],
}

/// Compares two variants on batches of seeds, until half of every confidence interval is at most `precision` or all
/// seeds are used.
pub fn compare_variants(
    a: &Variant,
    b: &Variant,
    seeds: &[u64],
    precision: f64,
    threads: usize,
) -> Comparison {
    let variants = [a.clone(), b.clone()];
    let mut outcomes: [Vec<Outcome>; 2] = Default::default();
    let mut used_seeds = 0;
    loop {
        let batch = seeds[used_seeds..].iter().take(threads.max(MIN_SEEDS));
        let batch: Vec<u64> = batch.copied().collect();
        used_seeds += batch.len();
        for (all, batch_outcomes) in outcomes
            .iter_mut()
            .zip(run_variants(&variants, &batch, threads))
        {
            all.extend(batch_outcomes);
        }
        let comparison = compare_outcomes(&outcomes);
        let is_precise = comparison.difference.iter().all(|d| d.half <= precision);
        if used_seeds >= seeds.len() || is_precise && used_seeds >= MIN_SEEDS {
            return comparison;
        }
    }
}

/// Computes the estimates and the paired differences of the outcomes of two variants.
fn compare_outcomes(outcomes: &[Vec<Outcome>; 2]) -> Comparison {
    let column = |variant: usize, metric: usize| -> Vec<f64> {
        outcomes[variant]
            .iter()
            .map(|o| service_metrics(o)[metric])
            .collect()
    };
    let estimates =
        |variant| [0, 1, 2].map(|metric| Estimate::from_samples(&column(variant, metric)));
    let difference = [0, 1, 2].map(|metric| {
        let pairs = column(1, metric).into_iter().zip(column(0, metric));
        let pairs: Vec<f64> = pairs.map(|(b, a)| b - a).collect();
        Estimate::from_samples(&pairs)
    });
    let mean = |variant: usize, value: fn(&Outcome) -> f64| -> f64 {
        let all = &outcomes[variant];
        all.iter().map(value).sum::<f64>() / all.len().max(1) as f64
    };
    Comparison {
        estimates: [estimates(0), estimates(1)],
        difference,
        seed_count: outcomes[0].len(),
        breach_counts: [0, 1].map(|variant| outcomes[variant].iter().map(|o| o.breach_count).sum()),
        mean_moves: [0, 1].map(|variant| mean(variant, |o| o.moves as f64)),
    }
}

/// Position of a service value on the scale from random placement (0) to the upper bound (1).
pub fn score(service: f64, random: f64, bound: f64) -> f64 {
    match bound - random {
        range if range.abs() < 1e-9 => 1.0,
        range => (service - random) / range,
    }
}
