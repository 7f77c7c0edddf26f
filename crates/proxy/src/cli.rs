//! The command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use crate::operator::Layers;
use crate::show;

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
    /// Print completions for a shell.
    Completions { shell: Shell },
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
pub enum Wanted {
    Run(Layers),
    Done(ExitCode),
}

impl Cli {
    /// Does what is done at once; a run is left to the caller.
    pub fn carry_out(self) -> Wanted {
        match self.command {
            None => {
                let config = std::env::var_os("VIOLETWIND_CONFIG");
                Wanted::Run(Layers {
                    file: config.filter(|path| !path.is_empty()).map(PathBuf::from),
                    set: Vec::new(),
                    environment: true,
                })
            }
            Some(Command::Run(run)) => Wanted::Run(Layers {
                file: run.config,
                set: run.set.set,
                environment: true,
            }),
            Some(Command::Check { file, set }) => {
                let layers = Layers {
                    file: Some(file.clone()),
                    set: set.set,
                    environment: false,
                };
                Wanted::Done(match layers.read() {
                    Ok(operator) => {
                        println!(
                            "{}: sound, {} sources",
                            file.display(),
                            operator.sources.len()
                        );
                        ExitCode::SUCCESS
                    }
                    Err(problems) => {
                        problems.iter().for_each(|problem| println!("{problem}"));
                        ExitCode::FAILURE
                    }
                })
            }
            Some(Command::Catalogue { file, set, json }) => {
                let layers = Layers {
                    file: Some(file),
                    set: set.set,
                    environment: true,
                };
                Wanted::Done(show::catalogue(&layers, json))
            }
            Some(Command::Completions { shell }) => {
                let mut command = Self::command();
                clap_complete::generate(shell, &mut command, "violetwind", &mut std::io::stdout());
                Wanted::Done(ExitCode::SUCCESS)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_command_line_is_sound() {
        Cli::command().debug_assert();
    }
}
