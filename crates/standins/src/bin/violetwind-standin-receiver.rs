//! Runs the receiver of a duty's work by hand; with `--work` it is a program that does such work instead: it sends an
//! item every few milliseconds with the fencing number that `violetwind hold` passed to it, and exits when the receiver
//! rejects one.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use clap::Parser;
use violetwind_output::{parse_arguments, print_error, print_line};
use violetwind_standins::LineConnection;
use violetwind_standins::receiver::Receiver;

/// Receives work items with fencing numbers, or sends them.
#[derive(Debug, Parser)]
struct Options {
    /// Listen on this address.
    #[arg(long, required_unless_present = "work")]
    listen: Option<SocketAddr>,
    /// Send work items to the receiver at this address instead.
    #[arg(long)]
    work: Option<SocketAddr>,
    /// Milliseconds between two work items.
    #[arg(long, default_value_t = 10)]
    every_ms: u64,
}

fn main() -> ExitCode {
    let options: Options = match parse_arguments() {
        Ok(options) => options,
        Err(code) => return code,
    };
    if let Some(at) = options.work {
        let variable = |name: &str| std::env::var(name).unwrap_or_default();
        let (duty, fence) = (variable("VIOLETWIND_DUTY"), variable("VIOLETWIND_FENCE"));
        let mut connection = LineConnection::connect(at);
        loop {
            connection.send_line(&format!("WORK {duty} {fence} {}", std::process::id()));
            match connection.try_read_line() {
                Ok(answer) if answer == "TAKEN" => sleep(Duration::from_millis(options.every_ms)),
                answer => {
                    print_error!("{answer:?}");
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    let Some(receiver) = options.listen.and_then(|at| Receiver::start(at).ok()) else {
        return ExitCode::FAILURE;
    };
    print_line!("{}", receiver.addr);
    let mut printed = 0;
    loop {
        let items = receiver.received_work();
        for item in &items[printed..] {
            print_line!("{item:?}");
        }
        printed = items.len();
        sleep(Duration::from_millis(200));
    }
}
