//! `violetwind-lab soak`: one real proxy a seed, in traffic and troubles that the seed draws, each request judged by the
//! clauses of the operators' pages.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use clap::Args;
use violetwind_standins::soak::Script;
use violetwind_standins::soak::runner::{Report, run_script};

/// What is played.
#[derive(Debug, Args)]
pub struct SoakArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// How long troubles come, before the proxy is told to end.
    #[arg(long, default_value_t = 12.0)]
    pub seconds: f64,
    /// Proxies at a time, each with some hundred threads of clients and servers.
    #[arg(long, default_value_t = 4)]
    pub at_once: u64,
    /// The proxy's program; by default the one beside this.
    #[arg(long, value_name = "FILE")]
    pub proxy: Option<PathBuf>,
    /// Logs go there.
    #[arg(long, value_name = "DIR")]
    pub logs: Option<PathBuf>,
    /// Show the scripts and play nothing.
    #[arg(long)]
    pub show: bool,
}

/// Plays all seeds; whether no clause was broken.
pub fn run_soak(asked: &SoakArgs, program: &std::path::Path) -> bool {
    let lasts = Duration::from_secs_f64(asked.seconds.clamp(1.0, 3600.0));
    let seeds = asked.seed..asked.seed + asked.seeds;
    if asked.show {
        seeds.for_each(|seed| println!("{:#?}", Script::from_seed(seed, lasts)));
        return true;
    }
    let fallback = || std::env::temp_dir().join(format!("violetwind-soak-{}", std::process::id()));
    let logs = asked.logs.clone().unwrap_or_else(fallback);
    let next = AtomicU64::new(asked.seed);
    let mut reports: Vec<Report> = thread::scope(|scope| {
        let workers: Vec<_> = (0..asked.at_once.clamp(1, 16))
            .map(|_| {
                scope.spawn(|| {
                    let mut reports = Vec::new();
                    loop {
                        let seed = next.fetch_add(1, Ordering::Relaxed);
                        if seed >= seeds.end {
                            return reports;
                        }
                        let report = run_script(program, &logs, &Script::from_seed(seed, lasts));
                        println!("{}", line(&report));
                        reports.push(report);
                    }
                })
            })
            .collect();
        let ended = workers.into_iter().map(|worker| worker.join());
        ended
            .flat_map(|reports| reports.expect("a run that ends"))
            .collect()
    });
    reports.sort_by_key(|report| report.seed);
    let broken: Vec<&Report> = reports
        .iter()
        .filter(|report| !report.violations.is_empty())
        .collect();
    for report in &broken {
        for violation in &report.violations {
            println!("seed {}: {violation}", report.seed);
        }
        println!("seed {}: log {}", report.seed, report.log.display());
    }
    let asked: usize = reports.iter().map(|report| report.asked).sum();
    println!(
        "{} seeds, {asked} requests, {} seeds with violations",
        reports.len(),
        broken.len()
    );
    broken.is_empty()
}

fn line(report: &Report) -> String {
    format!(
        "seed {}: {} asked, {} served, {} refused, {} failed, {} violations",
        report.seed,
        report.asked,
        report.served,
        report.refused,
        report.failed,
        report.violations.len()
    )
}
