//! `violetwind-lab soak`: runs one real proxy per seed under traffic and troubles generated from the seed, and checks
//! each request against the rules of the operators' pages.

use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use clap::Args;
use violetwind_output::print_line;
use violetwind_standins::soak::Script;
use violetwind_standins::soak::runner::{Report, run_script};

/// Arguments of the soak test.
#[derive(Debug, Args)]
pub struct SoakArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long, default_value_t = 1)]
    pub seeds: u64,
    /// Seconds during which troubles occur, before the proxy is terminated.
    #[arg(long, default_value_t = 12.0)]
    pub seconds: f64,
    /// Number of proxies that run in parallel, each with a few hundred threads of clients and servers.
    #[arg(long, default_value_t = 4)]
    pub at_once: u64,
    /// Program of the proxy; by default the one in the directory of this program.
    #[arg(long, value_name = "FILE")]
    pub proxy: Option<PathBuf>,
    /// Directory for the logs.
    #[arg(long, value_name = "DIR")]
    pub logs: Option<PathBuf>,
    /// Print the scripts without running them.
    #[arg(long)]
    pub show: bool,
}

/// Runs all seeds and prints the violations. Returns whether there were none.
pub fn run_soak(args: &SoakArgs, program: &std::path::Path) -> bool {
    let duration = Duration::from_secs_f64(args.seconds.clamp(1.0, 3600.0));
    let seeds = args.seed..args.seed + args.seeds;
    if args.show {
        seeds.for_each(|seed| print_line!("{:#?}", Script::from_seed(seed, duration)));
        return true;
    }
    let default_logs =
        || std::env::temp_dir().join(format!("violetwind-soak-{}", std::process::id()));
    let logs = args.logs.clone().unwrap_or_else(default_logs);
    let next_seed = AtomicU64::new(args.seed);
    let mut reports: Vec<Report> = thread::scope(|scope| {
        let workers: Vec<_> = (0..args.at_once.clamp(1, 16))
            .map(|_| {
                scope.spawn(|| {
                    let mut reports = Vec::new();
                    loop {
                        let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                        if seed >= seeds.end {
                            return reports;
                        }
                        let report = run_script(program, &logs, &Script::from_seed(seed, duration));
                        print_line!("{}", summary_line(&report));
                        reports.push(report);
                    }
                })
            })
            .collect();
        let ended = workers.into_iter().map(|worker| worker.join());
        ended
            .flat_map(|reports| reports.expect("no soak run panicked"))
            .collect()
    });
    reports.sort_by_key(|report| report.seed);
    let failed: Vec<&Report> = reports
        .iter()
        .filter(|report| !report.violations.is_empty())
        .collect();
    for report in &failed {
        for violation in &report.violations {
            print_line!("seed {}: {violation}", report.seed);
        }
        print_line!("seed {}: log {}", report.seed, report.log.display());
    }
    let request_count: usize = reports.iter().map(|report| report.request_count).sum();
    print_line!(
        "{} seeds, {request_count} requests, {} seeds with violations",
        reports.len(),
        failed.len()
    );
    failed.is_empty()
}

fn summary_line(report: &Report) -> String {
    format!(
        "seed {}: {} asked, {} served, {} refused, {} failed, {} violations",
        report.seed,
        report.request_count,
        report.served,
        report.refused,
        report.failed,
        report.violations.len()
    )
}
