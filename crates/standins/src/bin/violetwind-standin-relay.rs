//! A relay by hand. Commands come on standard input, one a line: `there WAY` or `back WAY`, where WAY is pass,
//! delay=MS, trickle=BYTES, hold, swallow, cut or cut-inside.

use std::io::BufRead;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use violetwind_standins::relay::{Direction, Relay};

/// Relays TCP connections, faulty on command.
#[derive(Debug, Parser)]
struct Options {
    #[arg(long)]
    listen: SocketAddr,
    #[arg(long)]
    to: SocketAddr,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let relay = match Relay::start(options.listen, options.to) {
        Ok(relay) => relay,
        Err(error) => {
            eprintln!("{}: {error}", options.listen);
            return ExitCode::FAILURE;
        }
    };
    println!("{} to {}", relay.addr, options.to);
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let direction = match line.split_once(' ') {
            Some(("there", way)) => way.parse().map(|way| (Direction::Forward, way)),
            Some(("back", way)) => way.parse().map(|way| (Direction::Reverse, way)),
            _ => Err("there WAY or back WAY".to_string()),
        };
        match direction {
            Ok((direction, way)) => relay.set_mode(direction, way),
            Err(error) => eprintln!("{error}"),
        }
    }
    ExitCode::SUCCESS
}
