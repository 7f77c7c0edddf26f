//! `violetwind-lab`: plays fleets, compares settings and policies, with error bars.

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
use violetwind_storm::fleet::InjectedBug;
use violetwind_storm::script::{Script, ScriptParameters};

/// The fleet lab: whole fleets in simulated time, on the real decision module.
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
    /// Without one, a small day of 30 s on loopback.
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play a scenario, with random placement and the bound beside it.
    Run {
        #[command(flatten)]
        common: Common,
        #[arg(long, default_value = "module", value_parser = policy)]
        policy: PolicyKind,
        /// Write one HTML file with plots, and beside it the series as CSV and the figures as JSON.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
    },
    /// A fleet on loopback: real proxies, a stand-in Consul, servers and clients; half of the checks fail,
    /// a server drains, another dies. Exit 1 where a client saw no final answer, or two.
    Fleet {
        /// The proxy's program; by default the one beside this.
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
    /// Two settings, scenarios or policies on the same seeds: the paired difference and its interval.
    Compare {
        #[command(flatten)]
        common: Common,
        /// The second scenario, if not the first.
        #[arg(long, value_name = "FILE")]
        b: Option<PathBuf>,
        #[arg(long = "set-a", value_name = "KEY=VALUE")]
        set_a: Vec<String>,
        #[arg(long = "set-b", value_name = "KEY=VALUE")]
        set_b: Vec<String>,
        #[arg(long, default_value = "module", value_parser = policy)]
        policy_a: PolicyKind,
        #[arg(long, default_value = "module", value_parser = policy)]
        policy_b: PolicyKind,
        /// Stop when half of every interval is no longer than this.
        #[arg(long, default_value_t = 0.002)]
        precision: f64,
    },
    /// Search variations of a scenario for broken rules, or the largest loss to the bound, and shrink what
    /// is found. Prints the scenario; exit 1 where a rule was broken.
    Hunt {
        #[command(flatten)]
        common: Common,
        #[arg(long, default_value = "module", value_parser = policy)]
        policy: PolicyKind,
        /// Scenarios that are played at the most.
        #[arg(long, default_value_t = 200)]
        most: usize,
    },
    /// Scripts of faults over whole members of a fleet, simulated on the real code, by seed: budgets, work on machines,
    /// duties, operators. What breaks a promise is cut to the least and written as a file. Exit 1 where one was broken.
    Storm {
        /// Play this script alone.
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
        /// That an order for work is for; 0 for none.
        #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u16).range(0..=1000))]
        machines: u16,
        #[arg(long)]
        no_budgets: bool,
        /// Simulated time in which faults come.
        #[arg(long, default_value_t = 30.0)]
        seconds: f64,
        /// Plant an error, by name.
        #[arg(long, value_parser = planted)]
        planted: Option<InjectedBug>,
        #[arg(long)]
        threads: Option<usize>,
        /// Findings go there as scripts, one a file.
        #[arg(long, value_name = "DIR")]
        findings: Option<PathBuf>,
        /// Play the script, or that of the first seed, on real processes with servers, clients and staff.
        #[arg(long)]
        real: bool,
        /// The proxy's program; by default the one beside this.
        #[arg(long, value_name = "FILE")]
        proxy: Option<PathBuf>,
        /// Write the script, or that of the first seed, as a file.
        #[arg(long, value_name = "FILE")]
        write: Option<PathBuf>,
        /// One HTML page of the script, or of the first seed.
        #[arg(long, value_name = "FILE")]
        report: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// One real proxy a seed in traffic and troubles that the seed draws; each request is judged by the operators'
    /// clauses. Exit 1 where one was broken.
    Soak(SoakArgs),
    /// One value over a grid.
    Sweep {
        #[command(flatten)]
        common: Common,
        key: String,
        #[arg(required = true)]
        values: Vec<String>,
        #[arg(long, default_value = "module", value_parser = policy)]
        policy: PolicyKind,
    },
}

impl Command {
    fn small_day() -> Self {
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
    /// Put a value over the file, such as fleet.servers=100.
    #[arg(long, value_name = "KEY=VALUE")]
    set: Vec<String>,
    /// How many seeds, from 1 on; for a hunt, the seed of its chance.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Threads; the outcome does not depend on them.
    #[arg(long)]
    threads: Option<usize>,
    #[arg(long)]
    json: bool,
    /// Play the clients of a recording instead of made-up ones.
    #[arg(long, value_name = "FILE")]
    replay: Option<PathBuf>,
    /// So many times the recorded clients.
    #[arg(long, default_value_t = 1.0)]
    replay_times: f64,
    /// So many times as fast.
    #[arg(long, default_value_t = 1.0)]
    replay_rate: f64,
}

fn planted(text: &str) -> Result<InjectedBug, String> {
    let found = InjectedBug::NAMES.iter().find(|(name, _)| *name == text);
    found.map(|(_, planted)| *planted).ok_or_else(|| {
        let names: Vec<&str> = InjectedBug::NAMES.iter().map(|(name, _)| *name).collect();
        format!("expected one of {}", names.join(", "))
    })
}

fn policy(text: &str) -> Result<PolicyKind, String> {
    let found = PolicyKind::NAMES.iter().find(|(name, _)| *name == text);
    found.map(|(_, kind)| *kind).ok_or_else(|| {
        let names: Vec<&str> = PolicyKind::NAMES.iter().map(|(name, _)| *name).collect();
        format!("expected one of {}", names.join(", "))
    })
}

impl Common {
    fn read(&self, more: &[String]) -> Result<Scenario, ExitCode> {
        let scenario = load(&self.scenario, &[&self.set[..], more].concat())?;
        self.replayed(scenario)
    }

    /// The scenario with the clients of the recording, if one is named.
    fn replayed(&self, mut scenario: Scenario) -> Result<Scenario, ExitCode> {
        let Some(path) = &self.replay else {
            return Ok(scenario);
        };
        let sound = |times: f64| times.is_finite() && times > 0.0 && times <= 1000.0;
        if !sound(self.replay_times) || !sound(self.replay_rate) {
            eprintln!("--replay-times and --replay-rate: expected a number above 0, up to 1000");
            return Err(ExitCode::FAILURE);
        }
        let name = path.display();
        let file = std::fs::File::open(path).map_err(|error| {
            eprintln!("{name}: {error}");
            ExitCode::FAILURE
        })?;
        let recording = Recording::read(std::io::BufReader::new(file), &scenario);
        eprintln!(
            "{name}: {} clients, {} repeats of refused ones, {} left out when recorded, end: {:?}",
            recording.clients.len(),
            recording.repeats,
            recording.omitted,
            recording.end
        );
        for (class, requests) in &recording.unknown_classes {
            eprintln!(
                "{name}: the scenario has no class `{class}`: {requests} requests passed over"
            );
        }
        if recording.clients.is_empty() {
            eprintln!("{name}: nothing to play");
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

fn load(path: &PathBuf, set: &[String]) -> Result<Scenario, ExitCode> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        eprintln!("{name}: {error}");
        ExitCode::FAILURE
    })?;
    Scenario::parse(&name, &text, set).map_err(|problems| {
        problems.iter().for_each(|problem| eprintln!("{problem}"));
        ExitCode::FAILURE
    })
}

/// The proxy's program: the one that is named, or the one beside this.
fn proxy_program(named: Option<PathBuf>) -> PathBuf {
    let beside = || {
        let own = std::env::current_exe().ok()?;
        Some(own.with_file_name("violetwind"))
    };
    named.or_else(beside).unwrap_or_else(|| "violetwind".into())
}

fn main() -> ExitCode {
    match carry_out(Cli::parse().command.unwrap_or_else(Command::small_day)) {
        Ok(code) | Err(code) => code,
    }
}

fn carry_out(command: Command) -> Result<ExitCode, ExitCode> {
    match command {
        Command::Run {
            common,
            policy,
            report,
        } => {
            let scenario = common.read(&[])?;
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
                scenario: common.read(&set_a)?,
                policy: policy_a,
            };
            let second = b.as_ref().unwrap_or(&common.scenario);
            let b = Variant {
                scenario: common.replayed(load(second, &[&common.set[..], &set_b].concat())?)?,
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
            let plan = fleet::FleetOptions {
                proxy_program: proxy_program(proxy),
                proxies: proxies.into(),
                servers: servers.into(),
                clients: clients.into(),
                seconds: seconds.into(),
                print_progress: true,
            };
            let report = fleet::run_fleet(&plan).map_err(|error| {
                eprintln!("{error}");
                ExitCode::FAILURE
            })?;
            println!("{report:#?}");
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
            let base = common.read(&[])?;
            let Some(found) = search_scenarios(&base, policy, common.seeds, most) else {
                println!("nothing in {most} scenarios");
                return Ok(ExitCode::SUCCESS);
            };
            println!(
                "# {:?}, policy {}, seed {}: found after {} scenarios, shrunk {} times",
                found.target,
                policy.name(),
                found.seed,
                found.scenarios_tried,
                found.shrink_steps
            );
            print!("{}", found.scenario.to_toml());
            Ok(match found.target {
                SearchTarget::Broken(_) => ExitCode::FAILURE,
                SearchTarget::Loss(_) => ExitCode::SUCCESS,
            })
        }
        Command::Soak(asked) => {
            let program = proxy_program(asked.proxy.clone());
            Ok(match run_soak(&asked, &program) {
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
            threads: asked,
            findings,
            real,
            proxy,
            write,
            report,
            json,
        } => {
            let planted = planted.unwrap_or_default();
            let shape = ScriptParameters {
                voters: voters.into(),
                non_voters: others.into(),
                machines: machines.into(),
                has_budgets: !no_budgets,
                fault_duration: (seconds.clamp(0.1, 1e6) * 1e3) as u64,
            };
            let told = |what: String| {
                eprintln!("{what}");
                ExitCode::FAILURE
            };
            let script = match &script {
                None => None,
                Some(path) => {
                    let name = path.display();
                    let text = std::fs::read_to_string(path);
                    let text = text.map_err(|error| told(format!("{name}: {error}")))?;
                    let script = Script::parse(&text);
                    Some(script.map_err(|what| told(format!("{name}: {what}")))?)
                }
            };
            if let Some(path) = &write {
                let script = script
                    .clone()
                    .unwrap_or_else(|| Script::generate(first, shape));
                std::fs::write(path, script.to_toml())
                    .map_err(|error| told(format!("{}: {error}", path.display())))?;
            }
            if real {
                let script = script.unwrap_or_else(|| Script::generate(first, shape));
                let program = proxy_program(proxy);
                let played = storm_processes::play_on_processes(&script, &program);
                println!("{played:#?}");
                return Ok(if played.wrong.is_empty() {
                    ExitCode::SUCCESS
                } else {
                    ExitCode::FAILURE
                });
            }
            if let Some(script) = script {
                let wrong = match &report {
                    Some(page) => storm::write_script_report(&script, planted, page)
                        .map_err(|error| told(format!("{}: {error}", page.display())))?,
                    None => script.run(planted, 0).violation,
                };
                println!("{}", wrong.as_deref().unwrap_or("no promise broken"));
                return Ok(if wrong.is_some() {
                    ExitCode::FAILURE
                } else {
                    ExitCode::SUCCESS
                });
            }
            let begun = Instant::now();
            let played = storm::run_campaign(first, seeds, shape, planted, thread_count(asked));
            if let Some(page) = &report {
                storm::write_script_report(&Script::generate(first, shape), planted, page)
                    .map_err(|error| told(format!("{}: {error}", page.display())))?;
            }
            let members = (shape.voters + shape.non_voters) as f64;
            let took = begun.elapsed().as_secs_f64();
            if json {
                println!("{:#}", played.to_json());
            } else {
                println!(
                    "{} seeds, {} simulated s, {} faults, {} times a leader, {} duties gained, {} frames, {} machines worked on, \
                     {} units taken; {} seeds broke a promise; {took:.1} s, {:.0} node-seconds a second",
                    played.seed_count,
                    played.simulated_ms / 1000,
                    played.faults,
                    played.elections_won,
                    played.duties_gained,
                    played.frames,
                    played.machines_done,
                    played.units_taken,
                    played.failed_seeds,
                    played.simulated_ms as f64 / 1e3 * members / took
                );
            }
            for finding in &played.findings {
                let seed = finding.original.seed;
                eprintln!(
                    "seed {seed}: {}; {} of {} faults are left after {} plays",
                    finding.violation,
                    finding.minimised.faults.len(),
                    finding.original.faults.len(),
                    finding.shrink_plays
                );
                if let Some(dir) = &findings {
                    let path = dir.join(format!("storm-{seed}.toml"));
                    let written = std::fs::create_dir_all(dir)
                        .and_then(|()| std::fs::write(&path, finding.minimised.to_toml()));
                    written.map_err(|error| told(format!("{}: {error}", path.display())))?;
                }
            }
            Ok(if played.failed_seeds > 0 {
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
                let scenario = common.read(&[format!("{key}={value}")])?;
                let side = Variant { scenario, policy };
                let outcomes = run_variants(&[side], &common.seeds(), thread_count(common.threads));
                print!("{key} = {value:<10}");
                for (figure, name) in SERVICE_METRICS.iter().enumerate() {
                    print!("  {name} {}", shown(&estimate(&outcomes[0], figure)));
                }
                println!();
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn estimate(outcomes: &[Outcome], figure: usize) -> Estimate {
    let column: Vec<f64> = outcomes
        .iter()
        .map(|outcome| service_metrics(outcome)[figure])
        .collect();
    Estimate::from_samples(&column)
}

fn shown(estimate: &Estimate) -> String {
    match estimate.half.is_finite() {
        true => format!("{:.4} ± {:.4}", estimate.mean, estimate.half),
        false => format!("{:.4}", estimate.mean),
    }
}

fn mean(outcomes: &[Outcome], of: impl Fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(of).sum::<f64>() / outcomes.len().max(1) as f64
}

/// Exit 1 where a rule was broken.
fn run(
    scenario: &Scenario,
    policy: PolicyKind,
    common: &Common,
    report: Option<&Path>,
) -> ExitCode {
    let side = |policy| Variant {
        scenario: scenario.clone(),
        policy,
    };
    let sides = [
        side(policy),
        side(PolicyKind::Random),
        side(PolicyKind::UpperBound),
    ];
    let start = Instant::now();
    let outcomes = run_variants(&sides, &common.seeds(), thread_count(common.threads));
    let took = start.elapsed().as_secs_f64();
    let own = &outcomes[0];
    if let Some(path) = report
        && let Err(error) = write_report(path, scenario, policy, &outcomes)
    {
        eprintln!("{}: {error}", path.display());
        return ExitCode::FAILURE;
    }
    let breaches: usize = own.iter().map(|outcome| outcome.breach_count).sum();
    let plain = |side: usize, figure| estimate(&outcomes[side], figure).mean;
    if common.json {
        println!("{:#}", summary(scenario, policy, &outcomes));
    } else {
        println!(
            "{}: {} proxies, {} servers, {:.0} s, {} seeds, three policies in {took:.1} s",
            scenario.name,
            scenario.proxies,
            scenario.servers,
            scenario.seconds,
            own.len()
        );
        println!(
            "{:<12} {:<20} {:>8} {:>8} {:>8}",
            "service",
            policy.name(),
            "score",
            "random",
            "bound"
        );
        for (n, name) in SERVICE_METRICS.iter().enumerate() {
            let estimate = estimate(own, n);
            let (random, bound) = (plain(1, n), plain(2, n));
            let score = score(estimate.mean, random, bound);
            let service = shown(&estimate);
            println!("{name:<12} {service:<20} {score:>8.3} {random:>8.4} {bound:>8.4}");
        }
        println!(
            "a run: {:.0} clients, {:.0} requests, {:.0} refused, {:.0} failed, {:.0} moves, \
             {:.0} probes, set-up p50 {:.1} ms p99 {:.1} ms, spread of loads {:.3}",
            mean(own, |o| o.clients as f64),
            mean(own, |o| o.requests as f64),
            mean(own, |o| o.refused as f64),
            mean(own, |o| o.failed as f64),
            mean(own, |o| o.moves as f64),
            mean(own, |o| o.probes as f64),
            mean(own, |o| o.setup_ms[0]),
            mean(own, |o| o.setup_ms[1]),
            mean(own, |o| o.spread),
        );
        if scenario.work.is_some() {
            let works: Vec<&WorkOutcome> = own.iter().filter_map(|o| o.work.as_ref()).collect();
            let took: Vec<f64> = works.iter().filter_map(|work| work.took).collect();
            let of = |of: fn(&WorkOutcome) -> usize| {
                works.iter().map(|work| of(work) as f64).sum::<f64>() / works.len().max(1) as f64
            };
            println!(
                "work: ended in {} of {} runs after {:.1} s, {:.1} machines done, {:.1} out at most, {:.0} clients moved; \
                 a cold server was asked for {:.2} times what it could do at most",
                took.len(),
                works.len(),
                took.iter().fold(0.0, |a, b| a + b) / took.len().max(1) as f64,
                of(|work| work.done),
                of(|work| work.most_out),
                of(|work| work.moved),
                own.iter().map(|o| o.cold_peak).fold(0.0, f64::max),
            );
        }
    }
    for (seed, outcome) in common.seeds().iter().zip(own) {
        for breach in outcome.breaches.iter().take(3) {
            eprintln!(
                "seed {seed}, {:.2} s, {:?}: {}",
                breach.at, breach.rule, breach.what
            );
        }
    }
    match breaches {
        0 => ExitCode::SUCCESS,
        _ => {
            eprintln!("{breaches} broken rules");
            ExitCode::FAILURE
        }
    }
}

/// The figures of a run as JSON.
fn summary(
    scenario: &Scenario,
    policy: PolicyKind,
    outcomes: &[Vec<Outcome>],
) -> serde_json::Value {
    let own = &outcomes[0];
    let plain = |side: usize, figure| estimate(&outcomes[side], figure).mean;
    let figures: serde_json::Map<String, serde_json::Value> = SERVICE_METRICS
        .iter()
        .enumerate()
        .map(|(n, name)| {
            let estimate = estimate(own, n);
            let score = score(estimate.mean, plain(1, n), plain(2, n));
            let value = json!({"mean": estimate.mean, "half": estimate.half, "score": score});
            ((*name).to_string(), value)
        })
        .collect();
    let breaches: usize = own.iter().map(|outcome| outcome.breach_count).sum();
    json!({
        "scenario": scenario.name, "policy": policy.name(), "seeds": own.len(),
        "figures": figures, "breaches": breaches,
        "moves": mean(own, |o| o.moves as f64), "refused": mean(own, |o| o.refused as f64),
        "requests": mean(own, |o| o.requests as f64), "spread": mean(own, |o| o.spread),
        "setup_ms": {"p50": mean(own, |o| o.setup_ms[0]), "p99": mean(own, |o| o.setup_ms[1])},
    })
}

fn write_report(
    path: &Path,
    scenario: &Scenario,
    policy: PolicyKind,
    outcomes: &[Vec<Outcome>],
) -> Result<(), Box<dyn std::error::Error>> {
    let names = [policy.name(), "random", "bound"];
    let played = names.iter().zip(outcomes);
    let played: Vec<PolicyOutcomes<'_>> = played
        .map(|(name, outcomes)| PolicyOutcomes { name, outcomes })
        .collect();
    std::fs::write(path, report::render_html(scenario, &played)?)?;
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
        println!(
            "{:#}",
            json!({"seeds": comparison.seed_count, "figures": rows})
        );
        return;
    }
    println!("{} seeds, the same for both", comparison.seed_count);
    println!("{:<12} {:>9} {:>9}  difference of b", "service", "a", "b");
    for (n, name) in SERVICE_METRICS.iter().enumerate() {
        let difference = comparison.difference[n];
        let [one, two] = [0, 1].map(|side| comparison.estimates[side][n].mean);
        let verdict = match difference.excludes_zero() {
            true if difference.mean > 0.0 => "better".to_string(),
            true => "worse".to_string(),
            // Half the interval has to shrink to the difference itself.
            false if difference.mean == 0.0 => "none".to_string(),
            false => format!(
                "unsure, about {} seeds",
                difference.seeds_needed(difference.mean.abs())
            ),
        };
        println!(
            "{name:<12} {one:>9.4} {two:>9.4}  {}  {verdict}",
            shown(&difference)
        );
    }
    println!(
        "moves a run {:.0} and {:.0}, broken rules {} and {}",
        comparison.mean_moves[0],
        comparison.mean_moves[1],
        comparison.breach_counts[0],
        comparison.breach_counts[1]
    );
}
