//! Entry point of the proxy. Everything else is in the library, so that tests can use it.

use std::process::ExitCode;

fn main() -> ExitCode {
    violetwind_proxy::run_cli()
}
