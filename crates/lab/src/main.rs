//! `violetwind-lab`: simulates fleets and compares settings and policies, with confidence intervals.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

use clap::{Args, Parser, Subcommand};
use serde_json::json;
use violetwind_lab::experiment::{
    self, SERVICE_METRICS, Variant, run_variants, score, service_metrics, thread_count,
};
use violetwind_lab::fleet;
use violetwind_lab::model::{Outcome, PolicyKind, WorkOutcome};
use violetwind_lab::replay::Recording;
use violetwind_lab::report::{self, PolicyOutcomes};
use violetwind_lab::scenario::Scenario;
use violetwind_lab::scenario_search::{SearchTarget, search_scenarios};
use violetwind_lab::soak::{SoakArgs, run_soak};
use violetwind_lab::stats::Estimate;
use violetwind_lab::{storm, storm_processes};
use violetwind_output::{
    parse_arguments, print_error, print_line, print_text, with_output_checked,
};
use violetwind_storm::fleet::InjectedBug;
use violetwind_storm::script::{Script, ScriptParameters};

/// The fleet lab: simulates whole fleets in simulated time with the real balancer.
#[derive(Debug, Parser)]
#[command(
    name = "violetwind-lab",
    version,
    after_help = "\
Examples:
  violetwind-lab fleet --clients 300
  violetwind-lab run crates/lab/scenarios/small-day.toml
  violetwind-lab run crates/lab/scenarios/campaign.toml --report campaign.html
  violetwind-lab run crates/lab/scenarios/campaign.toml --policy two-choices --seeds 5 --json
  violetwind-lab compare crates/lab/scenarios/small-day.toml --policy-a no-moves --policy-b module
  violetwind-lab compare crates/lab/scenarios/small-day.toml --set-b demand.fill=0.8
  violetwind-lab run crates/lab/scenarios/small-day.toml --replay requests --replay-times 2
  violetwind-lab hunt crates/lab/scenarios/small-day.toml --seeds 7 --most 500
  violetwind-lab sweep crates/lab/scenarios/small-day.toml demand.fill 0.5 0.7 0.9"
)]
struct Cli {
    /// Without a command: a loopback fleet for 30 s.
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Simulate a scenario with a policy, with random placement and with the upper bound.
    Run {
        #[command(flatten)]
        common: Common,
        #[arg(long, default_value = "module", value_parser = parse_policy)]
        policy: PolicyKind,
        /// Write an HTML report with plots, and next to it the time series as CSV and the results as JSON.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// Run a fleet on loopback: real proxies, a stand-in for Consul, servers and clients. Half of the health checks
    /// fail for a while, a server drains, another one fails. Exit code 1 if a rule was broken, such as a request
    /// without a final answer or with two.
    Fleet {
        /// Program of the proxy; by default the one in the directory of this program.
        #[arg(long, value_name = "FILE")]
        proxy: Option<PathBuf>,
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=20))]
        proxies: u16,
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(3..=100))]
        servers: u16,
        #[arg(long, default_value_t = 120, value_parser = clap::value_parser!(u16).range(1..=1000))]
        clients: u16,
        #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u16).range(5..=3600))]
        seconds: u16,
    },
    /// Compare two settings, scenarios or policies on the same seeds: the paired difference and its confidence
    /// interval.
    Compare {
        #[command(flatten)]
        common: Common,
        /// The second scenario; by default the first.
        #[arg(long, value_name = "FILE")]
        b: Option<PathBuf>,
        #[arg(long = "set-a", value_name = "KEY=VALUE")]
        set_a: Vec<String>,
        #[arg(long = "set-b", value_name = "KEY=VALUE")]
        set_b: Vec<String>,
        #[arg(long, default_value = "module", value_parser = parse_policy)]
        policy_a: PolicyKind,
        #[arg(long, default_value = "module", value_parser = parse_policy)]
        policy_b: PolicyKind,
        /// Stop when half of every confidence interval is at most this.
        #[arg(long, default_value_t = 0.002)]
        precision: f64,
    },
    /// Search variations of a scenario for broken rules or for the largest service loss against the upper bound, and
    /// shrink the scenario found. Prints the scenario; exit code 1 if a rule was broken.
    Hunt {
        #[command(flatten)]
        common: Common,
        #[arg(long, default_value = "module", value_parser = parse_policy)]
        policy: PolicyKind,
        /// Maximum number of scenarios.
        #[arg(long, default_value_t = 200)]
        most: usize,
    },
    /// Run fault scripts, generated from seeds, on simulated members of a fleet with the real code: budgets, work
    /// orders, duties, operators. A script that violates a guarantee is shrunk and can be written to a file. Exit code
    /// 1 if a guarantee was violated.
    Storm {
        /// Run only this script.
        #[arg(long, value_name = "FILE", conflicts_with = "seeds")]
        script: Option<PathBuf>,
        #[arg(long, default_value_t = 200)]
        seeds: u64,
        #[arg(long, default_value_t = 0)]
        first: u64,
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=7))]
        voters: u16,
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u16).range(0..=1000))]
        others: u16,
        /// Number of machines of the work order; 0 for no order.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(0..=1000))]
        machines: u16,
        #[arg(long)]
        no_budgets: bool,
        /// Simulated time in seconds during which faults occur.
        #[arg(long, default_value_t = 30.0)]
        seconds: f64,
        /// Inject a bug, by name.
        #[arg(long, value_parser = parse_injected_bug)]
        planted: Option<InjectedBug>,
        #[arg(long)]
        threads: Option<usize>,
        /// Directory for the findings, one script per file.
        #[arg(long, value_name = "DIR")]
        findings: Option<PathBuf>,
        /// Run the script, or that of the first seed, on real processes with servers, clients and simulated operators.
        #[arg(long)]
        real: bool,
        /// Program of the proxy; by default the one in the directory of this program.
        #[arg(long, value_name = "FILE")]
        proxy: Option<PathBuf>,
        /// Write the script, or that of the first seed, to a file.
        #[arg(long, value_name = "FILE")]
        write: Option<PathBuf>,
        /// Write an HTML page of the script, or of that of the first seed.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Run one real proxy per seed under traffic and troubles generated from the seed, and check each request against
    /// the rules of the operators' pages. Exit code 1 if a rule was broken.
    Soak(SoakArgs),
    /// Run a scenario with each of several values of a key.
    Sweep {
        #[command(flatten)]
        common: Common,
        key: String,
        #[arg(required = true)]
        values: Vec<String>,
        #[arg(long, default_value = "module", value_parser = parse_policy)]
        policy: PolicyKind,
    },
}

impl Command {
    /// Returns the command that runs if none is given.
    fn default_fleet() -> Self {
        Self::Fleet {
            proxy: None,
            proxies: 3,
            servers: 6,
            clients: 120,
            seconds: 30,
        }
    }
}

#[derive(Debug, Args)]
struct Common {
    scenario: PathBuf,
    /// Override a value of the file, such as fleet.servers=100.
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<String>,
    /// Number of seeds, from 1 on; for `hunt`, the seed of the search.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Number of threads; the result does not depend on it.
    #[arg(long)]
    threads: Option<usize>,
    #[arg(long)]
    json: bool,
    /// Replay the clients of a recording instead of generated ones.
    #[arg(long, value_name = "FILE")]
    replay: Option<PathBuf>,
    /// Factor for the number of recorded clients.
    #[arg(long, default_value_t = 1.0)]
    replay_times: f64,
    /// Factor for the speed of their arrivals.
    #[arg(long, default_value_t = 1.0)]
    replay_rate: f64,
}

fn parse_injected_bug(text: &str) -> Result<InjectedBug, String> {
    let found = InjectedBug::NAMES.iter().find(|(name, _)| *name == text);
    found.map(|(_, bug)| *bug).ok_or_else(|| {
        let names: Vec<&str> = InjectedBug::NAMES.iter().map(|(name, _)| *name).collect();
        format!("expected one of {}", names.join(", "))
    })
}

fn parse_policy(text: &str) -> Result<PolicyKind, String> {
    let found = PolicyKind::NAMES.iter().find(|(name, _)| *name == text);
    found.map(|(_, kind)| *kind).ok_or_else(|| {
        let names: Vec<&str> = PolicyKind::NAMES.iter().map(|(name, _)| *name).collect();
        format!("expected one of {}", names.join(", "))
    })
}

impl Common {
    fn read_scenario(&self, overrides: &[String]) -> Result<Scenario, ExitCode> {
        let scenario = load_scenario(&self.scenario, &[&self.set[..], overrides].concat())?;
        self.add_recorded_clients(scenario)
    }

    /// Adds the clients of the recording to the scenario, if a recording is given.
    fn add_recorded_clients(&self, mut scenario: Scenario) -> Result<Scenario, ExitCode> {
        let Some(path) = &self.replay else {
            return Ok(scenario);
        };
        let is_valid = |times: f64| times.is_finite() && times > 0.0 && times <= 1000.0;
        if !is_valid(self.replay_times) || !is_valid(self.replay_rate) {
            print_error!("--replay-times and --replay-rate: expected a number above 0, up to 1000");
            return Err(ExitCode::FAILURE);
        }
        let name = path.display();
        let file = std::fs::File::open(path).map_err(|error| {
            print_error!("{name}: {error}");
            ExitCode::FAILURE
        })?;
        let recording = Recording::read(std::io::BufReader::new(file), &scenario);
        print_error!(
            "{name}: {} clients, {} repeats of refused ones, {} left out when recorded, end: {:?}",
            recording.clients.len(),
            recording.repeats,
            recording.omitted,
            recording.end
        );
        for (class, requests) in &recording.unknown_classes {
            print_error!(
                "{name}: the scenario has no class `{class}`: {requests} requests passed over"
            );
        }
        if recording.clients.is_empty() {
            print_error!("{name}: nothing to play");
            return Err(ExitCode::FAILURE);
        }
        let clients = recording.scaled(self.replay_times, self.replay_rate, 1);
        scenario.recorded_clients = Some(std::sync::Arc::new(clients));
        Ok(scenario)
    }

    fn seeds(&self) -> Vec<u64> {
        (1..=self.seeds.max(1)).collect()
    }
}

fn load_scenario(path: &PathBuf, set: &[String]) -> Result<Scenario, ExitCode> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        print_error!("{name}: {error}");
        ExitCode::FAILURE
    })?;
    Scenario::parse(&name, &text, set).map_err(|problems| {
        problems
            .iter()
            .for_each(|problem| print_error!("{problem}"));
        ExitCode::FAILURE
    })
}

/// Returns the path of the proxy's program: the given one, or the one in the directory of this program.
fn proxy_program(given: Option<PathBuf>) -> PathBuf {
    let default_program = || {
        let current = std::env::current_exe().ok()?;
        Some(current.with_file_name("violetwind"))
    };
    given
        .or_else(default_program)
        .unwrap_or_else(|| "violetwind".into())
}

fn main() -> ExitCode {
    let cli: Cli = match parse_arguments() {
        Ok(cli) => cli,
        Err(code) => return code,
    };
    match execute(cli.command.unwrap_or_else(Command::default_fleet)) {
        Ok(code) | Err(code) => with_output_checked(code),
    }
}

/// Runs a command and returns the exit code.
fn execute(command: Command) -> Result<ExitCode, ExitCode> {
    match command {
        Command::Run {
            common,
            policy,
            report,
        } => {
            let scenario = common.read_scenario(&[])?;
            Ok(run(&scenario, policy, &common, report.as_deref()))
        }
        Command::Compare {
            common,
            b,
            set_a,
            set_b,
            policy_a,
            policy_b,
            precision,
        } => {
            let a = Variant {
                scenario: common.read_scenario(&set_a)?,
                policy: policy_a,
            };
            let second_path = b.as_ref().unwrap_or(&common.scenario);
            let b = Variant {
                scenario: common.add_recorded_clients(load_scenario(
                    second_path,
                    &[&common.set[..], &set_b].concat(),
                )?)?,
                policy: policy_b,
            };
            compare(&a, &b, precision, &common);
            Ok(ExitCode::SUCCESS)
        }
        Command::Fleet {
            proxy,
            proxies,
            servers,
            clients,
            seconds,
        } => {
            let options = fleet::FleetOptions {
                proxy_program: proxy_program(proxy),
                proxies: proxies.into(),
                servers: servers.into(),
                clients: clients.into(),
                seconds: seconds.into(),
                print_progress: true,
            };
            let report = fleet::run_fleet(&options).map_err(|error| {
                print_error!("{error}");
                ExitCode::FAILURE
            })?;
            print_line!("{report:#?}");
            Ok(match report.passed() {
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            })
        }
        Command::Hunt {
            common,
            policy,
            most,
        } => {
            let base = common.read_scenario(&[])?;
            let Some(found) = search_scenarios(&base, policy, common.seeds, most) else {
                print_line!("nothing in {most} scenarios");
                return Ok(ExitCode::SUCCESS);
            };
            print_line!(
                "# {:?}, policy {}, seed {}: found after {} scenarios, shrunk {} times",
                found.target,
                policy.name(),
                found.seed,
                found.scenarios_tried,
                found.shrink_steps
            );
            print_text!("{}", found.scenario.to_toml());
            Ok(match found.target {
                SearchTarget::Broken(_) => ExitCode::FAILURE,
                SearchTarget::Loss(_) => ExitCode::SUCCESS,
            })
        }
        Command::Soak(args) => {
            let program = proxy_program(args.proxy.clone());
            Ok(match run_soak(&args, &program) {
                true => ExitCode::SUCCESS,
                false => ExitCode::FAILURE,
            })
        }
        Command::Storm {
            script,
            seeds,
            first,
            voters,
            others,
            machines,
            no_budgets,
            seconds,
            planted,
            threads,
            findings,
            real,
            proxy,
            write,
            report,
            json,
        } => {
            let injected_bug = planted.unwrap_or_default();
            let parameters = ScriptParameters {
                voters: voters.into(),
                non_voters: others.into(),
                machines: machines.into(),
                has_budgets: !no_budgets,
                fault_duration: (seconds.clamp(0.1, 1e6) * 1e3) as u64,
            };
            let report_error = |message: String| {
                print_error!("{message}");
                ExitCode::FAILURE
            };
            let script = match &script {
                None => None,
                Some(path) => {
                    let name = path.display();
                    let text = std::fs::read_to_string(path);
                    let text = text.map_err(|error| report_error(format!("{name}: {error}")))?;
                    let script = Script::parse(&text);
                    Some(script.map_err(|error| report_error(format!("{name}: {error}")))?)
                }
            };
            if let Some(path) = &write {
                let script = script
                    .clone()
                    .unwrap_or_else(|| Script::generate(first, parameters));
                std::fs::write(path, script.to_toml())
                    .map_err(|error| report_error(format!("{}: {error}", path.display())))?;
            }
            if real {
                let script = script.unwrap_or_else(|| Script::generate(first, parameters));
                let program = proxy_program(proxy);
                let result = storm_processes::run_on_processes(&script, &program);
                print_line!("{result:#?}");
                return Ok(if result.wrong.is_empty() {
                    ExitCode::SUCCESS
                } else {
                    ExitCode::FAILURE
                });
            }
            if let Some(script) = script {
                let violation = match &report {
                    Some(page) => storm::write_script_report(&script, injected_bug, page)
                        .map_err(|error| report_error(format!("{}: {error}", page.display())))?,
                    None => script.run(injected_bug, 0).violation,
                };
                print_line!("{}", violation.as_deref().unwrap_or("no promise broken"));
                return Ok(if violation.is_some() {
                    ExitCode::FAILURE
                } else {
                    ExitCode::SUCCESS
                });
            }
            let start = Instant::now();
            let campaign = storm::run_campaign(
                first,
                seeds,
                parameters,
                injected_bug,
                thread_count(threads),
            );
            if let Some(page) = &report {
                storm::write_script_report(
                    &Script::generate(first, parameters),
                    injected_bug,
                    page,
                )
                .map_err(|error| report_error(format!("{}: {error}", page.display())))?;
            }
            let members = (parameters.voters + parameters.non_voters) as f64;
            let elapsed = start.elapsed().as_secs_f64();
            if json {
                print_line!("{:#}", campaign.to_json());
            } else {
                print_line!(
                    "{} seeds, {} simulated s, {} faults, {} times a leader, {} duties gained, {} frames, {} machines worked on, \
                     {} units taken; {} seeds broke a promise; {elapsed:.1} s, {:.0} node-seconds a second",
                    campaign.seed_count,
                    campaign.simulated_ms / 1000,
                    campaign.faults,
                    campaign.elections_won,
                    campaign.duties_gained,
                    campaign.frames,
                    campaign.machines_done,
                    campaign.units_taken,
                    campaign.failed_seeds,
                    campaign.simulated_ms as f64 / 1e3 * members / elapsed
                );
            }
            for finding in &campaign.findings {
                let seed = finding.original.seed;
                print_error!(
                    "seed {seed}: {}; {} of {} faults are left after {} plays",
                    finding.violation,
                    finding.minimised.faults.len(),
                    finding.original.faults.len(),
                    finding.shrink_runs
                );
                if let Some(dir) = &findings {
                    let path = dir.join(format!("storm-{seed}.toml"));
                    let written = std::fs::create_dir_all(dir)
                        .and_then(|()| std::fs::write(&path, finding.minimised.to_toml()));
                    written
                        .map_err(|error| report_error(format!("{}: {error}", path.display())))?;
                }
            }
            Ok(if campaign.failed_seeds > 0 {
                ExitCode::FAILURE
            } else {
                ExitCode::SUCCESS
            })
        }
        Command::Sweep {
            common,
            key,
            values,
            policy,
        } => {
            for value in values {
                let scenario = common.read_scenario(&[format!("{key}={value}")])?;
                let variant = Variant { scenario, policy };
                let outcomes =
                    run_variants(&[variant], &common.seeds(), thread_count(common.threads));
                print_text!("{key} = {value:<10}");
                for (metric, name) in SERVICE_METRICS.iter().enumerate() {
                    print_text!(
                        "  {name} {}",
                        format_estimate(&estimate(&outcomes[0], metric))
                    );
                }
                print_line!("");
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn estimate(outcomes: &[Outcome], metric: usize) -> Estimate {
    let column: Vec<f64> = outcomes
        .iter()
        .map(|outcome| service_metrics(outcome)[metric])
        .collect();
    Estimate::from_samples(&column)
}

fn format_estimate(estimate: &Estimate) -> String {
    match estimate.half.is_finite() {
        true => format!("{:.4} ± {:.4}", estimate.mean, estimate.half),
        false => format!("{:.4}", estimate.mean),
    }
}

fn mean(outcomes: &[Outcome], value: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(value).sum::<f64>() / outcomes.len().max(1) as f64
}

/// Runs a scenario and prints the results. The exit code is 1 if a rule was broken.
fn run(
    scenario: &Scenario,
    policy: PolicyKind,
    common: &Common,
    report: Option<&Path>,
) -> ExitCode {
    let variant = |policy| Variant {
        scenario: scenario.clone(),
        policy,
    };
    let variants = [
        variant(policy),
        variant(PolicyKind::Random),
        variant(PolicyKind::UpperBound),
    ];
    let start = Instant::now();
    let outcomes = run_variants(&variants, &common.seeds(), thread_count(common.threads));
    let elapsed = start.elapsed().as_secs_f64();
    let policy_outcomes = &outcomes[0];
    if let Some(path) = report
        && let Err(error) = write_report(path, scenario, policy, &outcomes)
    {
        print_error!("{}: {error}", path.display());
        return ExitCode::FAILURE;
    }
    let breaches: usize = policy_outcomes
        .iter()
        .map(|outcome| outcome.breach_count)
        .sum();
    let mean_service = |variant: usize, metric| estimate(&outcomes[variant], metric).mean;
    if common.json {
        print_line!("{:#}", summary(scenario, policy, &outcomes));
    } else {
        print_line!(
            "{}: {} proxies, {} servers, {:.0} s, {} seeds, three policies in {elapsed:.1} s",
            scenario.name,
            scenario.proxies,
            scenario.servers,
            scenario.seconds,
            policy_outcomes.len()
        );
        print_line!(
            "{:<12} {:<20} {:>8} {:>8} {:>8}",
            "service",
            policy.name(),
            "score",
            "random",
            "bound"
        );
        for (n, name) in SERVICE_METRICS.iter().enumerate() {
            let estimate = estimate(policy_outcomes, n);
            let (random, bound) = (mean_service(1, n), mean_service(2, n));
            let score = score(estimate.mean, random, bound);
            let service = format_estimate(&estimate);
            print_line!("{name:<12} {service:<20} {score:>8.3} {random:>8.4} {bound:>8.4}");
        }
        print_line!(
            "a run: {:.0} clients, {:.0} requests, {:.0} refused, {:.0} failed, {:.0} moves, \
             {:.0} probes, set-up p50 {:.1} ms p99 {:.1} ms, spread of loads {:.3}",
            mean(policy_outcomes, |o| o.clients as f64),
            mean(policy_outcomes, |o| o.requests as f64),
            mean(policy_outcomes, |o| o.refused as f64),
            mean(policy_outcomes, |o| o.failed as f64),
            mean(policy_outcomes, |o| o.moves as f64),
            mean(policy_outcomes, |o| o.probes as f64),
            mean(policy_outcomes, |o| o.setup_ms[0]),
            mean(policy_outcomes, |o| o.setup_ms[1]),
            mean(policy_outcomes, |o| o.spread),
        );
        if scenario.work.is_some() {
            let work_outcomes: Vec<&WorkOutcome> = policy_outcomes
                .iter()
                .filter_map(|o| o.work.as_ref())
                .collect();
            let durations: Vec<f64> = work_outcomes
                .iter()
                .filter_map(|work| work.duration)
                .collect();
            let mean_of = |value: fn(&WorkOutcome) -> usize| {
                work_outcomes
                    .iter()
                    .map(|work| value(work) as f64)
                    .sum::<f64>()
                    / work_outcomes.len().max(1) as f64
            };
            print_line!(
                "work: ended in {} of {} runs after {:.1} s, {:.1} machines done, {:.1} out at most, {:.0} clients moved; \
                 a cold server was asked for {:.2} times what it could do at most",
                durations.len(),
                work_outcomes.len(),
                durations.iter().fold(0.0, |a, b| a + b) / durations.len().max(1) as f64,
                mean_of(|work| work.machines_done),
                mean_of(|work| work.max_machines_out),
                mean_of(|work| work.clients_moved),
                policy_outcomes
                    .iter()
                    .map(|o| o.cold_peak)
                    .fold(0.0, f64::max),
            );
        }
    }
    for (seed, outcome) in common.seeds().iter().zip(policy_outcomes) {
        for breach in outcome.breaches.iter().take(3) {
            print_error!(
                "seed {seed}, {:.2} s, {:?}: {}",
                breach.at,
                breach.rule,
                breach.what
            );
        }
    }
    match breaches {
        0 => ExitCode::SUCCESS,
        _ => {
            print_error!("{breaches} broken rules");
            ExitCode::FAILURE
        }
    }
}

/// Renders the results of a run as JSON.
fn summary(
    scenario: &Scenario,
    policy: PolicyKind,
    outcomes: &[Vec<Outcome>],
) -> serde_json::Value {
    let policy_outcomes = &outcomes[0];
    let mean_service = |variant: usize, metric| estimate(&outcomes[variant], metric).mean;
    let figures: serde_json::Map<String, serde_json::Value> = SERVICE_METRICS
        .iter()
        .enumerate()
        .map(|(n, name)| {
            let estimate = estimate(policy_outcomes, n);
            let score = score(estimate.mean, mean_service(1, n), mean_service(2, n));
            let value = json!({"mean": estimate.mean, "half": estimate.half, "score": score});
            ((*name).to_string(), value)
        })
        .collect();
    let breaches: usize = policy_outcomes
        .iter()
        .map(|outcome| outcome.breach_count)
        .sum();
    json!({
        "scenario": scenario.name, "policy": policy.name(), "seeds": policy_outcomes.len(),
        "figures": figures, "breaches": breaches,
        "moves": mean(policy_outcomes, |o| o.moves as f64),
        "refused": mean(policy_outcomes, |o| o.refused as f64),
        "requests": mean(policy_outcomes, |o| o.requests as f64),
        "spread": mean(policy_outcomes, |o| o.spread),
        "setup_ms": {"p50": mean(policy_outcomes, |o| o.setup_ms[0]),
                     "p99": mean(policy_outcomes, |o| o.setup_ms[1])},
    })
}

fn write_report(
    path: &Path,
    scenario: &Scenario,
    policy: PolicyKind,
    outcomes: &[Vec<Outcome>],
) -> Result<(), Box<dyn std::error::Error>> {
    let names = [policy.name(), "random", "bound"];
    let policies = names.iter().zip(outcomes);
    let policies: Vec<PolicyOutcomes<'_>> = policies
        .map(|(name, outcomes)| PolicyOutcomes { name, outcomes })
        .collect();
    std::fs::write(path, report::render_html(scenario, &policies)?)?;
    let csv = report::render_csv(scenario, &outcomes[0]);
    std::fs::write(path.with_extension("csv"), csv)?;
    let summary = format!("{:#}\n", summary(scenario, policy, outcomes));
    std::fs::write(path.with_extension("json"), summary)?;
    Ok(())
}

fn compare(a: &Variant, b: &Variant, precision: f64, common: &Common) {
    let seeds = common.seeds();
    let comparison =
        experiment::compare_variants(a, b, &seeds, precision, thread_count(common.threads));
    if common.json {
        let rows: Vec<_> = SERVICE_METRICS
            .iter()
            .enumerate()
            .map(|(n, name)| {
                let difference = comparison.difference[n];
                json!({"figure": name, "a": comparison.estimates[0][n].mean,
                       "b": comparison.estimates[1][n].mean, "difference": difference.mean,
                       "half": difference.half, "seeds_needed": difference.seeds_needed(precision)})
            })
            .collect();
        print_line!(
            "{:#}",
            json!({"seeds": comparison.seed_count, "figures": rows})
        );
        return;
    }
    print_line!("{} seeds, the same for both", comparison.seed_count);
    print_line!("{:<12} {:>9} {:>9}  difference of b", "service", "a", "b");
    for (n, name) in SERVICE_METRICS.iter().enumerate() {
        let difference = comparison.difference[n];
        let [first, second] = [0, 1].map(|variant| comparison.estimates[variant][n].mean);
        let verdict = match difference.excludes_zero() {
            true if difference.mean > 0.0 => "better".to_string(),
            true => "worse".to_string(),
            // The difference becomes significant when half the interval shrinks to the difference itself.
            false if difference.mean == 0.0 => "none".to_string(),
            false => format!(
                "unsure, about {} seeds",
                difference.seeds_needed(difference.mean.abs())
            ),
        };
        print_line!(
            "{name:<12} {first:>9.4} {second:>9.4}  {}  {verdict}",
            format_estimate(&difference)
        );
    }
    print_line!(
        "moves a run {:.0} and {:.0}, broken rules {} and {}",
        comparison.mean_moves[0],
        comparison.mean_moves[1],
        comparison.breach_counts[0],
        comparison.breach_counts[1]
    );
}
