//! Polls the control file on a separate thread, which starts when the library is loaded.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use crate::rules;

const POLL_INTERVAL: Duration = Duration::from_millis(2);

#[used]
#[unsafe(link_section = ".init_array")]
static START: extern "C" fn() = start;

extern "C" fn start() {
    let Some(path) = std::env::var_os("VIOLETWIND_FAULTS").map(PathBuf::from) else {
        return;
    };
    let mut installed_text = None;
    // The rules that the file has at the start apply from the first call on.
    reload(&path, &mut installed_text);
    thread::spawn(move || {
        loop {
            thread::sleep(POLL_INTERVAL);
            reload(&path, &mut installed_text);
        }
    });
}

/// Installs the file's rules if its text has changed, and confirms it by writing the first line to `PATH.seen`. Aborts
/// the process if the file is invalid.
fn reload(path: &PathBuf, installed_text: &mut Option<String>) {
    let Ok(text) = std::fs::read_to_string(path) else {
        return;
    };
    if installed_text.as_ref() == Some(&text) {
        return;
    }
    let Some(new_rules) = rules::parse(&text) else {
        report(path, "not understood");
        std::process::abort();
    };
    rules::install(new_rules);
    let first_line = text.lines().next().unwrap_or_default();
    // Written to a temporary file and renamed, so that a test never reads a partial line.
    let (temporary, confirmation) = (path.with_extension("new"), path.with_extension("seen"));
    let result = std::fs::write(&temporary, first_line)
        .and_then(|()| std::fs::rename(&temporary, confirmation));
    if let Err(error) = result {
        report(path, &error.to_string());
    }
    *installed_text = Some(text);
}

/// Writes a line about the file to standard error. `eprintln!` would panic where that can't be written.
fn report(path: &Path, problem: &str) {
    let line = format!("faults: {}: {problem}\n", path.display());
    let _ = std::io::stderr().lock().write_all(line.as_bytes());
}
