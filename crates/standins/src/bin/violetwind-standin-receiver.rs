//! A receiver of a duty's work by hand, and with `--work` a program that does such work: it sends a piece every
//! few milliseconds under the number that `violetwind hold` gave it, and ends when it is not wanted any more.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::Duration;

use clap::Parser;
use violetwind_standins::LineConnection;
use violetwind_standins::receiver::Receiver;

/// Takes work with fencing numbers, or does it.
#[derive(Debug, Parser)]
struct Options {
    /// Where to listen.
    #[arg(long, required_unless_present = "work")]
    listen: Option<SocketAddr>,
    /// Work for the receiver at this address instead.
    #[arg(long)]
    work: Option<SocketAddr>,
    /// Between two pieces of work.
    #[arg(long, default_value_t = 10)]
    every_ms: u64,
}

fn main() -> ExitCode {
    let options = Options::parse();
    if let Some(at) = options.work {
        let word = |name: &str| std::env::var(name).unwrap_or_default();
        let (duty, fence) = (word("VIOLETWIND_DUTY"), word("VIOLETWIND_FENCE"));
        let mut peer = LineConnection::connect(at);
        loop {
            peer.send_line(&format!("WORK {duty} {fence} {}", std::process::id()));
            match peer.try_read_line() {
                Ok(answer) if answer == "TAKEN" => sleep(Duration::from_millis(options.every_ms)),
                answer => {
                    eprintln!("{answer:?}");
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    let Some(receiver) = options.listen.and_then(|at| Receiver::start(at).ok()) else {
        return ExitCode::FAILURE;
    };
    println!("{}", receiver.addr);
    let mut shown = 0;
    loop {
        let works = receiver.received_work();
        for work in &works[shown..] {
            println!("{work:?}");
        }
        shown = works.len();
        sleep(Duration::from_millis(200));
    }
}
