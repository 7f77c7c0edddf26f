//! The command line.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use crate::operator_config::{ConfigLayers, OperatorConfig};
use crate::{catalogue_command, operator_client};

/// A balancer for long-lived connections.
///
/// Without a command it runs. The platform's configuration is the file that NODE_CONFIG names; the
/// operator's file is optional and switches on what the platform does not know of.
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
    /// Serve (the default). SIGHUP rereads both files, SIGTERM moves all clients and ends.
    Run(Run),
    /// Check an operator's file: exit 0, or 1 with every error, its line and a suggestion.
    Check {
        file: PathBuf,
        #[command(flatten)]
        set: Set,
    },
    /// Ask each source of an operator's file once: what it says, what is believed, and why.
    Catalogue {
        file: PathBuf,
        #[command(flatten)]
        set: Set,
        /// One JSON object instead of tables.
        #[arg(long)]
        json: bool,
    },
    /// Ask a proxy about its fleet, or have it change something there.
    #[command(subcommand)]
    Fleet(FleetCommand),
    /// Have machines taken out for work, in an order that the proxies of the fleet settle.
    #[command(subcommand)]
    Work(WorkCommand),
    /// Run a command only while a proxy holds a duty.
    ///
    /// The command gets the holding's fencing number as VIOLETWIND_FENCE, which whoever takes its work has to
    /// check. It gets SIGTERM when the duty is lost, and SIGKILL before the lease ends. Exit codes: the
    /// command's own; 75 the duty is not held there; 76 lost while it ran; 69 no proxy answers; 71 the
    /// command can't be started.
    Hold(HoldArgs),
    /// Print completions for a shell.
    Completions { shell: Shell },
}

#[derive(Debug, Subcommand)]
pub enum FleetCommand {
    /// Who leads, who is a member, and who holds which duty with which number.
    Status {
        #[command(flatten)]
        proxy: ProxyAddress,
        /// The proxy's own line instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Let a member in that has a new directory, or that was put out.
    LetIn {
        node: String,
        #[command(flatten)]
        proxy: ProxyAddress,
    },
    /// Have a member hold nothing and vote no more until it is let in.
    PutOut {
        node: String,
        #[command(flatten)]
        proxy: ProxyAddress,
    },
    /// Say that a member's machine is gone for good, and what it held of budgets with it.
    Gone {
        node: String,
        #[command(flatten)]
        proxy: ProxyAddress,
    },
    /// Have the holder of a duty hand it on.
    HandOn {
        duty: String,
        /// To whom; without it to whoever holds the fewest.
        #[arg(long, value_name = "NODE")]
        to: Option<String>,
        #[command(flatten)]
        proxy: ProxyAddress,
    },
}

#[derive(Debug, Subcommand)]
pub enum WorkCommand {
    /// Order work on machines: they go out, are worked on, and come back, as the bounds allow.
    Plan(PlanArgs),
    /// The orders, each machine's place, and what it waits for.
    Show {
        #[command(flatten)]
        proxy: ProxyAddress,
        /// The proxy's own line instead of a table.
        #[arg(long)]
        json: bool,
    },
    /// Nothing more goes out, of one order or of all; what is out goes on.
    Pause(OrderArgs),
    Resume(OrderArgs),
    /// Nothing more goes out, and what is out comes back; machines worked on stay done.
    Cancel(OrderArgs),
    /// The work on an empty machine is done, or a failed one is sound: it comes back.
    Done(MachineArgs),
    /// The work on a machine has failed: it stays out until `done` or `recall`.
    Failed(MachineArgs),
    /// A failed machine comes back as it is.
    Recall(MachineArgs),
}

#[derive(Debug, Args)]
pub struct OrderArgs {
    /// The order's number; without it all orders.
    pub order: Option<u64>,
    #[command(flatten)]
    pub proxy: ProxyAddress,
}

#[derive(Debug, Args)]
pub struct MachineArgs {
    pub machine: String,
    #[command(flatten)]
    pub proxy: ProxyAddress,
}

#[derive(Debug, Args)]
pub struct PlanArgs {
    /// What staff call the work, one word.
    pub name: String,
    /// Names with commas between them, or ranges such as m-1..m-12.
    #[arg(long)]
    pub machines: String,
    #[command(flatten)]
    pub proxy: ProxyAddress,
    /// Machines out at once.
    #[arg(long, default_value_t = 1)]
    pub most: u32,
    /// Machines out at once in one zone.
    #[arg(long, default_value_t = 1)]
    pub zone_most: u32,
    /// The part of all machines' room that stays in.
    #[arg(long, default_value_t = 0.8)]
    pub floor: f64,
    /// What may be lost besides, with the floor still held.
    #[arg(long, default_value = "nothing", value_parser = ["nothing", "machine", "zone"])]
    pub spare: String,
    /// What happens to a machine: `out,wait,back`, or `out,back` where nobody has to say that it is done.
    #[arg(long, default_value = "out,wait,back", value_parser = ["out,wait,back", "out,back"])]
    pub steps: String,
    /// Nothing goes out before, in seconds since 1970.
    #[arg(long, value_name = "UNIX", default_value_t = 0.0)]
    pub not_before: f64,
    /// Until a machine that leaves has to be empty.
    #[arg(long, value_name = "SECONDS", default_value_t = 900.0)]
    pub leave: f64,
    /// Until staff have to say that an empty one is done.
    #[arg(long, value_name = "SECONDS", default_value_t = 43_200.0)]
    pub work: f64,
    /// Until one that returns has to be up and warm.
    #[arg(long, value_name = "SECONDS", default_value_t = 1800.0)]
    pub back: f64,
}

#[derive(Debug, Args)]
pub struct ProxyAddress {
    /// The address for operators of a proxy.
    #[arg(long = "at", value_name = "ADDR", env = "VIOLETWIND_AT")]
    pub at: SocketAddr,
}

#[derive(Debug, Args)]
pub struct HoldArgs {
    pub duty: String,
    #[command(flatten)]
    pub proxy: ProxyAddress,
    /// Wait until the duty is held there instead of ending with 75.
    #[arg(long)]
    pub wait: bool,
    /// Between SIGTERM and SIGKILL at most; less if the lease ends before.
    #[arg(long, value_name = "SECONDS", default_value_t = 1.0)]
    pub grace: f64,
    /// The command and its arguments.
    #[arg(last = true, required = true)]
    pub command: Vec<String>,
}

#[derive(Debug, Default, Args)]
struct Run {
    /// The operator's file.
    #[arg(long, env = "VIOLETWIND_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    #[command(flatten)]
    set: Set,
}

#[derive(Debug, Default, Args)]
struct Set {
    /// Put a value over the file and the environment, such as log.format=json or source.0.wait=30s.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    set: Vec<String>,
}

/// What the command line asks for.
pub enum CliOutcome {
    Run(ConfigLayers),
    Exit(ExitCode),
}

impl Cli {
    /// Does what is done at once; a run is left to the caller.
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
                overrides: run.set.set,
                use_environment: true,
            }),
            Some(Command::Check { file, set }) => {
                let layers = ConfigLayers {
                    file: Some(file.clone()),
                    overrides: set.set,
                    use_environment: false,
                };
                CliOutcome::Exit(match layers.load() {
                    Ok(operator) => sound(&file, &operator),
                    Err(problems) => {
                        problems.iter().for_each(|problem| println!("{problem}"));
                        ExitCode::FAILURE
                    }
                })
            }
            Some(Command::Catalogue { file, set, json }) => {
                let layers = ConfigLayers {
                    file: Some(file),
                    overrides: set.set,
                    use_environment: true,
                };
                CliOutcome::Exit(catalogue_command::run_catalogue(&layers, json))
            }
            Some(Command::Fleet(command)) => CliOutcome::Exit(operator_client::run_fleet(command)),
            Some(Command::Work(command)) => CliOutcome::Exit(operator_client::run_work(command)),
            Some(Command::Hold(hold)) => CliOutcome::Exit(operator_client::run_hold(&hold)),
            Some(Command::Completions { shell }) => {
                let mut command = Self::command();
                clap_complete::generate(shell, &mut command, "violetwind", &mut std::io::stdout());
                CliOutcome::Exit(ExitCode::SUCCESS)
            }
        }
    }
}

/// The last word of a check, and what needs this proxy's own name.
fn sound(file: &Path, operator: &OperatorConfig) -> ExitCode {
    let name = file.display();
    if let Some(fleet) = &operator.fleet {
        let node = std::env::var("NODE_NAME")
            .ok()
            .filter(|node| !node.is_empty());
        match node.as_deref().map(|node| fleet.check_node(node)) {
            Some(Err(what)) => {
                println!("{name}: {what}");
                return ExitCode::FAILURE;
            }
            Some(Ok(())) => {}
            None => println!(
                "{name}: warning: without NODE_NAME its own place among the peers is not checked"
            ),
        }
        for warning in &fleet.warnings {
            println!("{name}: warning: {warning}");
        }
        println!(
            "{name}: fleet \"{}\", {} peers of whom {} vote, {} duties",
            fleet.name,
            fleet.peers.len(),
            fleet.voters().count(),
            fleet.duties.len()
        );
    }
    println!("{name}: sound, {} sources", operator.sources.len());
    ExitCode::SUCCESS
}
