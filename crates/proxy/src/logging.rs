//! The log of the process, on standard error. Lines are written by a thread of their own, so that a stream that blocks,
//! fails or is slow holds up nobody who logs.

use std::io;
use std::panic::PanicHookInfo;
use std::sync::{Arc, Mutex};

use tracing::{Level, Subscriber, error, warn};
use tracing_subscriber::fmt::MakeWriter;
use violetwind_output::{BackgroundWriter, LostLines, WriterLimits, console};

use crate::operator_config::OperatorConfig;

/// Sets up logging, also of panics. `VIOLETWIND_LOG` (error, warn, info, debug or trace) takes precedence over the
/// operator's file. Returns the writer, which knows how many lines were lost.
///
/// # Errors
/// The thread that writes can't be started.
pub fn init_logging(operator: &OperatorConfig) -> io::Result<Arc<BackgroundWriter>> {
    let level = std::env::var("VIOLETWIND_LOG").ok();
    let level = level.and_then(|level| level.parse().ok());
    let as_json = operator.log_as_json;
    let writer = console::write_errors_in_background(
        WriterLimits::default(),
        Box::new(move |lost| format_notice(lost, as_json)),
    )?;
    let level = level.unwrap_or(operator.log_level);
    let subscriber = subscriber(writer.clone(), level, as_json);
    // Fails only if a subscriber has been set before.
    let _ = tracing::subscriber::set_global_default(subscriber);
    std::panic::set_hook(Box::new(log_panic));
    Ok(writer)
}

/// Formats events as text or JSON, one a line.
fn subscriber<W>(writer: W, level: Level, as_json: bool) -> Box<dyn Subscriber + Send + Sync>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let format = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(writer)
        // Otherwise a failed write is reported by `eprintln!`, which panics in the task that logs.
        .log_internal_errors(false)
        .with_ansi(false)
        .with_target(false);
    match as_json {
        true => Box::new(format.json().flatten_event(true).finish()),
        false => Box::new(format.finish()),
    }
}

/// Formats the notice of lost lines as any other event of the log.
pub fn format_notice(lost: LostLines, as_json: bool) -> Vec<u8> {
    let line = Arc::new(Mutex::new(Vec::new()));
    let subscriber = subscriber(LineBuffer(line.clone()), Level::WARN, as_json);
    tracing::subscriber::with_default(subscriber, || {
        warn!(
            queue_full = lost.queue_full,
            write_failed = lost.write_failed,
            "log lines were lost"
        );
    });
    let mut line = line.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    std::mem::take(&mut *line)
}

/// Collects what is written.
#[derive(Clone)]
struct LineBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LineBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut line = self.0.lock().map_err(|_| io::ErrorKind::Other)?;
        line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MakeWriter<'_> for LineBuffer {
    type Writer = Self;

    fn make_writer(&self) -> Self {
        self.clone()
    }
}

/// Logs a panic. The default hook would wait for the reader of standard error.
fn log_panic(info: &PanicHookInfo<'_>) {
    let message = info.payload_as_str().unwrap_or("no message");
    let location = info.location().map(ToString::to_string);
    error!(location, message, "a thread has panicked");
}
