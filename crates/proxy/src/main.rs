//! The proxy's program; all of it is in the library, so that tests can reach it.

use std::process::ExitCode;

fn main() -> ExitCode {
    violetwind_proxy::run_cli()
}
