use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

use violetwind_output::print_error;
use violetwind_simhost::host;

fn main() -> ExitCode {
    // A panic is reported over the protocol; the default hook writes its location to standard error.
    match host::run(
        BufReader::new(io::stdin().lock()),
        BufWriter::new(io::stdout().lock()),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error!("violetwind-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
