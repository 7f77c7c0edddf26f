//! System call faults in one process under test, by way of `violetwind-faults`, which is preloaded into it.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::WAIT_TIMEOUT;

/// The rules of one process, and the file that holds them.
#[derive(Debug)]
pub struct FaultInjector {
    file: PathBuf,
    version: AtomicU64,
}

impl FaultInjector {
    /// Rules that hold from the first call of a process that is started with [`Faults::preload`].
    pub fn new(dir: &Path, rules: &str) -> Self {
        let faults = Self {
            file: dir.join("faults"),
            version: AtomicU64::new(0),
        };
        faults.write(rules);
        faults
    }

    /// Has a process that is about to be started meet the faults.
    pub fn preload(&self, command: &mut Command) {
        command
            .env("LD_PRELOAD", library())
            .env("VIOLETWIND_FAULTS", &self.file);
    }

    /// Other rules; they are in force in the process once this returns.
    ///
    /// # Panics
    /// The process does not take them.
    pub fn set_rules(&self, rules: &str) {
        let first = self.write(rules);
        let seen = self.file.with_extension("seen");
        let until = Instant::now() + WAIT_TIMEOUT;
        while std::fs::read_to_string(&seen).ok().as_deref() != Some(&first) {
            assert!(
                Instant::now() < until,
                "the process does not take `{rules}`"
            );
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn write(&self, rules: &str) -> String {
        let first = format!("# {}", self.version.fetch_add(1, Ordering::Relaxed));
        let new = self.file.with_extension("next");
        std::fs::write(&new, format!("{first}\n{rules}\n")).expect("a writable directory");
        std::fs::rename(&new, &self.file).expect("a writable directory");
        first
    }
}

/// The shared object, which cargo builds beside the tests or in the folder above.
fn library() -> PathBuf {
    let test = std::env::current_exe().expect("a running program has a path");
    let beside = test.ancestors().skip(1).take(3);
    let found = beside
        .flat_map(|dir| {
            [
                dir.join("libvioletwind_faults.so"),
                dir.join("deps/libvioletwind_faults.so"),
            ]
        })
        .find(|path| path.exists());
    found.expect("violetwind-faults is built with the tests")
}
