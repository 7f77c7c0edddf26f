//! Runs a relay by hand. Commands are read from standard input, one per line: `there WAY` for the forward and
//! `back WAY` for the reverse direction, where WAY is pass, delay=MS, trickle=BYTES, hold, swallow, cut or cut-inside.

use std::io::BufRead;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Parser;
use violetwind_output::{parse_arguments, print_error, print_line};
use violetwind_standins::relay::{Direction, Relay};

/// Relays TCP connections, with faults on command.
#[derive(Debug, Parser)]
struct Options {
    /// Listen on this address.
    #[arg(long)]
    listen: SocketAddr,
    /// Forward connections to this address.
    #[arg(long)]
    to: SocketAddr,
}

fn main() -> ExitCode {
    let options: Options = match parse_arguments() {
        Ok(options) => options,
        Err(code) => return code,
    };
    let relay = match Relay::start(options.listen, options.to) {
        Ok(relay) => relay,
        Err(error) => {
            print_error!("{}: {error}", options.listen);
            return ExitCode::FAILURE;
        }
    };
    print_line!("{} to {}", relay.addr, options.to);
    for line in std::io::stdin().lock().lines().map_while(Result::ok) {
        let command = match line.split_once(' ') {
            Some(("there", mode)) => mode.parse().map(|mode| (Direction::Forward, mode)),
            Some(("back", mode)) => mode.parse().map(|mode| (Direction::Reverse, mode)),
            _ => Err("there WAY or back WAY".to_string()),
        };
        match command {
            Ok((direction, mode)) => relay.set_mode(direction, mode),
            Err(error) => print_error!("{error}"),
        }
    }
    ExitCode::SUCCESS
}
