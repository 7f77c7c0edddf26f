//! Runs the stand-in Consul by hand, with instances from the command line and commands from standard input.

use std::io::BufRead;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use violetwind_output::{parse_arguments, print_error, print_line};
use violetwind_standins::consul::{Check, Consul, ConsulMode, Instance, Maintenance};

/// A Consul agent that answers /v1/health/service/NAME and /v1/catalog/service/NAME, and injects faults on command.
#[derive(Debug, Parser)]
#[command(
    version,
    after_help = "Commands on standard input, one a line:
  pass ID | warn ID | fail ID      set the check of an instance (ID may be `half`)
  drain ID | undrain ID            service maintenance on or off
  drop ID                          deregister it
  add ID ADDRESS:PORT              register it
  reset                            count the index from 1 again
  mood works|silent|resets|429|500|no-leader|half|endless|stalls|zero|garbles

Example:
  violetwind-standin-consul --service agenda --instance s-1=127.0.0.1:3001"
)]
struct Args {
    #[arg(long, default_value = "127.0.0.1:8500")]
    listen: SocketAddr,
    #[arg(long, default_value = "agenda")]
    service: String,
    /// An instance, as ID=ADDRESS:PORT; may come more than once.
    #[arg(long = "instance", value_name = "ID=ADDRESS:PORT")]
    instances: Vec<String>,
}

fn main() -> ExitCode {
    let args: Args = match parse_arguments() {
        Ok(args) => args,
        Err(code) => return code,
    };
    if !args.listen.ip().is_loopback() {
        print_error!("{}: only loopback addresses are listened on", args.listen);
        return ExitCode::FAILURE;
    }
    let consul = match Consul::listen(args.listen, &args.service) {
        Ok(consul) => consul,
        Err(error) => {
            print_error!("{}: {error}", args.listen);
            return ExitCode::FAILURE;
        }
    };
    let mut ids: Vec<String> = Vec::new();
    for instance in &args.instances {
        let parts = instance.split_once('=');
        match parts.and_then(|(id, at)| Some((id, at.parse().ok()?))) {
            Some((id, at)) => {
                consul.register(Instance::new(id, at));
                ids.push(id.to_string());
            }
            None => {
                print_error!("--instance {instance}: expected ID=ADDRESS:PORT");
                return ExitCode::FAILURE;
            }
        }
    }
    print_line!("listening on {}", consul.addr);
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let words: Vec<&str> = line.split_whitespace().collect();
        if !run_command(&consul, &mut ids, &words) {
            print_line!("unknown: {line}");
        }
    }
    ExitCode::SUCCESS
}

/// Runs one command; returns false if it is unknown.
fn run_command(consul: &Consul, ids: &mut Vec<String>, words: &[&str]) -> bool {
    let ids_of = |id: &str| -> Vec<String> {
        match id {
            "half" => ids[..ids.len() / 2].to_vec(),
            _ => vec![id.to_string()],
        }
    };
    let update = |id: &str, alter: &dyn Fn(&mut Instance)| {
        let selected = ids_of(id);
        let selected: Vec<&str> = selected.iter().map(String::as_str).collect();
        consul.update_instances(&selected, alter);
    };
    match words {
        ["pass", id] => update(id, &|instance| instance.check = Check::Passing),
        ["warn", id] => update(id, &|instance| instance.check = Check::Warning),
        ["fail", id] => update(id, &|instance| instance.check = Check::Critical),
        ["drain", id] => update(id, &|instance| instance.maintenance = Maintenance::Service),
        ["undrain", id] => update(id, &|instance| instance.maintenance = Maintenance::None),
        ["drop", id] => consul.deregister(&[id]),
        ["add", id, at] => match at.parse() {
            Ok(at) => {
                consul.register(Instance::new(id, at));
                ids.push((*id).to_string());
            }
            Err(_) => return false,
        },
        ["reset"] => consul.reset_index(),
        ["mood", mode] => {
            consul.set_mode(match *mode {
                "works" => ConsulMode::Works,
                "silent" => ConsulMode::Silent,
                "resets" => ConsulMode::Resets,
                "429" => ConsulMode::TooMany,
                "500" => ConsulMode::Fails,
                "no-leader" => ConsulMode::NoLeader,
                "half" => ConsulMode::HalfBody,
                "endless" => ConsulMode::Endless,
                "stalls" => ConsulMode::Stalls,
                "zero" => ConsulMode::IndexZero,
                "garbles" => ConsulMode::Garbles,
                _ => return false,
            });
        }
        [] => {}
        _ => return false,
    }
    true
}
