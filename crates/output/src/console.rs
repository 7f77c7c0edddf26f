//! Output of commands. A failed write to standard output is recorded, and turned into an exit code where the output is
//! the purpose of the command. A failed write to standard error is ignored: there is nobody left to tell.

use std::fmt;
use std::io::{self, ErrorKind, Write};
use std::process::ExitCode;
use std::sync::{Arc, OnceLock};

use clap::Parser;

use crate::background_writer::{BackgroundWriter, FormatNotice, WriterLimits};

/// Exit code: the output that the command is for could not be written (`EX_IOERR` of `sysexits.h`).
pub const EXIT_OUTPUT_LOST: u8 = 74;
/// Exit code of a command line that can't be parsed.
const EXIT_USAGE: u8 = 2;

/// Writes to standard error in the background, once a process has asked for that.
static ERROR_WRITER: OnceLock<Arc<BackgroundWriter>> = OnceLock::new();

/// The first error of a write to standard output. What follows it is dropped, so that the output has no gaps.
static OUTPUT_ERROR: OnceLock<io::Error> = OnceLock::new();

/// Writes a line to standard output, with the arguments of `format!`.
#[macro_export]
macro_rules! print_line {
    ($($argument:tt)*) => {
        $crate::console::write_output(format_args!("{}\n", format_args!($($argument)*)))
    };
}

/// Writes text to standard output, with the arguments of `format!`.
#[macro_export]
macro_rules! print_text {
    ($($argument:tt)*) => { $crate::console::write_output(format_args!($($argument)*)) };
}

/// Writes a line to standard error, with the arguments of `format!`.
#[macro_export]
macro_rules! print_error {
    ($($argument:tt)*) => {
        $crate::console::write_error(format_args!("{}\n", format_args!($($argument)*)))
    };
}

/// Writes to standard output, unless a write has failed before.
pub fn write_output(text: fmt::Arguments<'_>) {
    if OUTPUT_ERROR.get().is_some() {
        return;
    }
    let mut stdout = io::stdout().lock();
    let written = stdout
        .write_all(text.to_string().as_bytes())
        .and_then(|()| stdout.flush());
    if let Err(error) = written {
        let _ = OUTPUT_ERROR.set(error);
    }
}

/// Writes a line to standard error, in one call, so that the lines of several processes are not mixed. Waits for the
/// reader, unless [`write_errors_in_background`] was called.
pub fn write_error(text: fmt::Arguments<'_>) {
    let text = text.to_string();
    match ERROR_WRITER.get() {
        Some(writer) => writer.write_line(text.as_bytes()),
        None => drop(io::stderr().lock().write_all(text.as_bytes())),
    }
}

/// From now on [`write_error`] waits for nobody: for processes that have more to do than to be read. They call
/// [`flush_errors`] before they end. Returns the writer, which is the same one for each call.
///
/// # Errors
/// The thread that writes can't be started.
pub fn write_errors_in_background(
    limits: WriterLimits,
    format_notice: FormatNotice,
) -> io::Result<Arc<BackgroundWriter>> {
    let writer = BackgroundWriter::start(io::stderr(), limits, format_notice)?;
    Ok(ERROR_WRITER.get_or_init(|| writer).clone())
}

/// Waits a bounded time until what was written to standard error in the background is out.
pub fn flush_errors() {
    if let Some(writer) = ERROR_WRITER.get() {
        writer.flush();
    }
}

/// The exit code of a command whose purpose is its output: `code`, but [`EXIT_OUTPUT_LOST`] in place of success if
/// output was lost.
pub fn with_output_checked(code: ExitCode) -> ExitCode {
    let Some(error) = OUTPUT_ERROR.get() else {
        return code;
    };
    // A reader that has seen enough, such as `head`, is no news.
    if error.kind() != ErrorKind::BrokenPipe {
        print_error!("standard output: {error}");
    }
    match code == ExitCode::SUCCESS {
        true => ExitCode::from(EXIT_OUTPUT_LOST),
        false => code,
    }
}

/// Parses the arguments of the process.
///
/// # Errors
/// The exit code, after the help text, the version or what is wrong with the arguments has been printed.
pub fn parse_arguments<P: Parser>() -> Result<P, ExitCode> {
    P::try_parse().map_err(|error| {
        if error.use_stderr() {
            let _ = error.print();
            return ExitCode::from(EXIT_USAGE);
        }
        if let Err(error) = error.print().and_then(|()| io::stdout().flush()) {
            let _ = OUTPUT_ERROR.set(error);
        }
        with_output_checked(ExitCode::SUCCESS)
    })
}
