//! Command line of the `violetwind` program.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use violetwind_output::{print_line, print_text, with_output_checked};

use crate::operator_config::{ConfigLayers, OperatorConfig};
use crate::{catalogue_command, held_command, operator_client};

/// A balancer for long-lived connections.
///
/// Without a command it serves. The platform's configuration is the file named by NODE_CONFIG. The operator's file
/// is optional and enables features that the platform's configuration does not cover.
#[derive(Debug, Parser)]
#[command(
    name = "violetwind",
    version,
    after_help = "\
Examples:
  NODE_CONFIG=config.json violetwind
  NODE_CONFIG=config.json violetwind run --config deploy/violetwind.example.toml --set log.format=json
  violetwind check deploy/violetwind.example.toml
  violetwind catalogue deploy/violetwind.example.toml --json
  violetwind fleet status --at 127.0.0.1:19000
  violetwind hold nightly-export --at 127.0.0.1:19000 -- ./export.sh
  violetwind work plan kernel --machines m-1..m-12 --most 2 --floor 0.8 --at 127.0.0.1:19000
  violetwind completions bash > /etc/bash_completion.d/violetwind"
)]
pub struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve (the default). SIGHUP rereads both files; SIGTERM moves all clients away and ends the process.
    Run(RunArgs),
    /// Check an operator's file: exit code 0, or 1 with every error, its line and a suggestion.
    Check {
        file: PathBuf,
        #[command(flatten)]
        overrides: ConfigOverrides,
    },
    /// Query each source of an operator's file once: show its reports, the state of each server, and the reason.
    Catalogue {
        file: PathBuf,
        #[command(flatten)]
        overrides: ConfigOverrides,
        /// Print one JSON object instead of tables.
        #[arg(long)]
        json: bool,
    },
    /// Show or change the state of a fleet through one of its proxies.
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Take machines out of service for maintenance work, in an order decided by the proxies of the fleet.
    #[command(subcommand)]
    Work(WorkCommand),
    /// Run a command only while a proxy holds a duty.
    ///
    /// The command receives the fencing number of the hold in VIOLETWIND_FENCE; every system that accepts the
    /// command's work has to check this number. The command receives SIGTERM when the duty is lost, and SIGKILL
    /// before the lease ends. Exit codes: the command's own; 75 the duty is not held at the proxy; 76 the duty was
    /// lost while the command ran; 69 no proxy answers; 71 the command can't be started.
    Hold(HoldArgs),
    /// Print the completion script for a shell.
    Completions { shell: Shell },
}

/// Subcommands of `violetwind fleet`.
#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Show the leader, the members, the duties with holder and fencing number, and the budgets.
    Status {
        #[command(flatten)]
        proxy: ProxyAddress,
        /// Print the proxy's JSON answer instead of tables.
        #[arg(long)]
        json: bool,
    },
    /// Admit a member that has a new directory, or that was put out.
    LetIn {
        node: String,
        #[command(flatten)]
        proxy: ProxyAddress,
    },
    /// Exclude a member: it holds nothing and does not vote until it is let in again.
    PutOut {
        node: String,
        #[command(flatten)]
        proxy: ProxyAddress,
    },
    /// Declare that a member's machine is permanently lost, so that the member's shares of budgets are freed.
    Gone {
        node: String,
        #[command(flatten)]
        proxy: ProxyAddress,
    },
    /// Hand a duty over from its holder to another member.
    HandOn {
        duty: String,
        /// The member that receives the duty; by default the member with the fewest duties.
        #[arg(long, value_name = "NODE")]
        to: Option<String>,
        #[command(flatten)]
        proxy: ProxyAddress,
    },
}

/// Subcommands of `violetwind work`.
#[derive(Debug, Subcommand)]
pub enum WorkCommand {
    /// Plan work on machines: they leave service, are worked on and return, within the given bounds.
    Plan(PlanArgs),
    /// Show the orders, the phase of each machine, and the condition it waits for.
    Show {
        #[command(flatten)]
        proxy: ProxyAddress,
        /// Print the proxy's JSON answer instead of tables.
        #[arg(long)]
        json: bool,
    },
    /// Take no more machines out, for one order or all; machines already out continue.
    Pause(OrderArgs),
    /// Continue a paused order, or all.
    Resume(OrderArgs),
    /// Take no more machines out and return those that are out; finished machines stay done.
    Cancel(OrderArgs),
    /// Report that the work on an empty machine is done, or that a failed machine is repaired: it returns.
    Done(MachineArgs),
    /// Report that the work on a machine has failed: it stays out until `done` or `recall`.
    Failed(MachineArgs),
    /// Return a failed machine to service in its present state.
    Recall(MachineArgs),
}

/// Arguments of a command for one work order or all.
#[derive(Debug, Args)]
pub struct OrderArgs {
    /// The number of the order; by default all orders.
    pub order: Option<u64>,
    #[command(flatten)]
    pub proxy: ProxyAddress,
}

/// Arguments of a command for one machine.
#[derive(Debug, Args)]
pub struct MachineArgs {
    pub machine: String,
    #[command(flatten)]
    pub proxy: ProxyAddress,
}

/// Arguments of `violetwind work plan`.
#[derive(Debug, Args)]
pub struct PlanArgs {
    /// Name of the work order, one word.
    pub name: String,
    /// Names of machines, separated by commas, or ranges such as m-1..m-12.
    #[arg(long)]
    pub machines: String,
    #[command(flatten)]
    pub proxy: ProxyAddress,
    /// Maximum number of machines out at the same time.
    #[arg(long, default_value_t = 1)]
    pub most: u32,
    /// Maximum number of machines out at the same time in one zone.
    #[arg(long, default_value_t = 1)]
    pub zone_most: u32,
    /// Minimum share of the capacity of all machines that stays in service.
    #[arg(long, default_value_t = 0.8)]
    pub floor: f64,
    /// Additional failure that must still leave the floor in service.
    #[arg(long, default_value = "nothing", value_parser = ["nothing", "machine", "zone"])]
    pub spare: String,
    /// Steps for each machine: `out,wait,back`, or `out,back` where no confirmation of the work is needed.
    #[arg(long, default_value = "out,wait,back", value_parser = ["out,wait,back", "out,back"])]
    pub steps: String,
    /// Earliest time at which machines leave service, in seconds since 1970.
    #[arg(long, value_name = "UNIX", default_value_t = 0.0)]
    pub not_before: f64,
    /// Time within which a leaving machine has to be empty.
    #[arg(long, value_name = "SECONDS", default_value_t = 900.0)]
    pub leave: f64,
    /// Time within which the work on an empty machine has to be reported as done.
    #[arg(long, value_name = "SECONDS", default_value_t = 43_200.0)]
    pub work: f64,
    /// Time within which a returning machine has to be up and warm.
    #[arg(long, value_name = "SECONDS", default_value_t = 1800.0)]
    pub back: f64,
}

/// The proxy that a command is sent to.
#[derive(Debug, Args)]
pub struct ProxyAddress {
    /// The operators' address of the proxy.
    #[arg(long = "at", value_name = "ADDR", env = "VIOLETWIND_AT")]
    pub address: SocketAddr,
}

/// Arguments of `violetwind hold`.
#[derive(Debug, Args)]
pub struct HoldArgs {
    pub duty: String,
    #[command(flatten)]
    pub proxy: ProxyAddress,
    /// Wait until the proxy holds the duty instead of ending with 75.
    #[arg(long)]
    pub wait: bool,
    /// Maximum time between SIGTERM and SIGKILL; less if the lease ends earlier.
    #[arg(long, value_name = "SECONDS", default_value_t = 1.0)]
    pub grace: f64,
    /// The command and its arguments.
    #[arg(last = true, required = true)]
    pub command: Vec<String>,
}

#[derive(Debug, Default, Args)]
struct RunArgs {
    /// The operator's file.
    #[arg(long, env = "VIOLETWIND_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(flatten)]
    overrides: ConfigOverrides,
}

#[derive(Debug, Default, Args)]
struct ConfigOverrides {
    /// Override a value of the file and the environment, such as log.format=json or source.0.wait=30s.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    assignments: Vec<String>,
}

/// How the program continues after the command line is processed.
pub enum CliOutcome {
    /// Serve with this configuration.
    Run(ConfigLayers),
    /// End with this exit code.
    Exit(ExitCode),
}

impl Cli {
    /// Executes the command, except for `run`, which is returned to the caller.
    pub fn execute(self) -> CliOutcome {
        match self.command {
            None => {
                let config = std::env::var_os("VIOLETWIND_CONFIG");
                CliOutcome::Run(ConfigLayers {
                    file: config.filter(|path| !path.is_empty()).map(PathBuf::from),
                    overrides: Vec::new(),
                    use_environment: true,
                })
            }
            Some(Command::Run(run)) => CliOutcome::Run(ConfigLayers {
                file: run.config,
                overrides: run.overrides.assignments,
                use_environment: true,
            }),
            Some(Command::Check { file, overrides }) => {
                let layers = ConfigLayers {
                    file: Some(file.clone()),
                    overrides: overrides.assignments,
                    use_environment: false,
                };
                CliOutcome::Exit(match layers.load() {
                    Ok(config) => report_valid_config(&file, &config),
                    Err(problems) => {
                        problems.iter().for_each(|problem| print_line!("{problem}"));
                        ExitCode::FAILURE
                    }
                })
            }
            Some(Command::Catalogue {
                file,
                overrides,
                json,
            }) => {
                let layers = ConfigLayers {
                    file: Some(file),
                    overrides: overrides.assignments,
                    use_environment: true,
                };
                CliOutcome::Exit(catalogue_command::run_catalogue(&layers, json))
            }
            Some(Command::Fleet(command)) => CliOutcome::Exit(operator_client::run_fleet(command)),
            Some(Command::Work(command)) => CliOutcome::Exit(operator_client::run_work(command)),
            Some(Command::Hold(hold)) => CliOutcome::Exit(held_command::run_hold(&hold)),
            Some(Command::Completions { shell }) => {
                let mut script = Vec::new();
                let mut command = Self::command();
                clap_complete::generate(shell, &mut command, "violetwind", &mut script);
                print_text!("{}", String::from_utf8_lossy(&script));
                CliOutcome::Exit(with_output_checked(ExitCode::SUCCESS))
            }
        }
    }
}

/// Prints the result of a check without errors. With NODE_NAME set, also checks the place of this proxy in the fleet.
fn report_valid_config(file: &Path, config: &OperatorConfig) -> ExitCode {
    let name = file.display();
    if let Some(fleet) = &config.fleet {
        let node = std::env::var("NODE_NAME")
            .ok()
            .filter(|node| !node.is_empty());
        match node.as_deref().map(|node| fleet.check_node(node)) {
            Some(Err(problem)) => {
                print_line!("{name}: {problem}");
                return ExitCode::FAILURE;
            }
            Some(Ok(())) => {}
            None => print_line!(
                "{name}: warning: without NODE_NAME its own place among the peers is not checked"
            ),
        }
        for warning in &fleet.warnings {
            print_line!("{name}: warning: {warning}");
        }
        print_line!(
            "{name}: fleet \"{}\", {} peers of whom {} vote, {} duties",
            fleet.name,
            fleet.peers.len(),
            fleet.voters().count(),
            fleet.duties.len()
        );
    }
    print_line!("{name}: sound, {} sources", config.sources.len());
    ExitCode::SUCCESS
}
