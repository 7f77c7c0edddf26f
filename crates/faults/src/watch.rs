//! Follows the control file on a thread of its own, which starts when the library is loaded.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use crate::rules;

const INTERVAL: Duration = Duration::from_millis(2);

#[used]
#[unsafe(link_section = ".init_array")]
static START: extern "C" fn() = start;

extern "C" fn start() {
    let Some(path) = std::env::var_os("VIOLETWIND_FAULTS").map(PathBuf::from) else {
        return;
    };
    let mut seen = None;
    // What the file holds at the start is in force from the first call on.
    read(&path, &mut seen);
    thread::spawn(move || {
        loop {
            thread::sleep(INTERVAL);
            read(&path, &mut seen);
        }
    });
}

/// Puts the file's rules in force if its text has changed, and says so.
fn read(path: &PathBuf, seen: &mut Option<String>) {
    let Ok(text) = std::fs::read_to_string(path) else {
        return;
    };
    if seen.as_ref() == Some(&text) {
        return;
    }
    let Some(parsed) = rules::parse(&text) else {
        eprintln!("faults: {}: not understood", path.display());
        std::process::abort();
    };
    rules::install(parsed);
    let first = text.lines().next().unwrap_or_default();
    // Written aside and renamed: a test never reads half of it.
    let (new, done) = (path.with_extension("new"), path.with_extension("seen"));
    let written = std::fs::write(&new, first).and_then(|()| std::fs::rename(&new, done));
    if let Err(error) = written {
        eprintln!("faults: {}: {error}", path.display());
    }
    *seen = Some(text);
}
