//! System call faults in a process under test, injected by `violetwind-faults`, which is preloaded into it.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::WAIT_TIMEOUT;

/// The fault rules of one process, and the file that holds them.
#[derive(Debug)]
pub struct FaultInjector {
    file: PathBuf,
    version: AtomicU64,
}

impl FaultInjector {
    /// Writes rules that apply from the first system call of a process started with [`FaultInjector::preload`].
    pub fn new(dir: &Path, rules: &str) -> Self {
        let faults = Self {
            file: dir.join("faults"),
            version: AtomicU64::new(0),
        };
        faults.write(rules);
        faults
    }

    /// Sets up a command so that its process loads the fault library.
    pub fn preload(&self, command: &mut Command) {
        command
            .env("LD_PRELOAD", library_path())
            .env("VIOLETWIND_FAULTS", &self.file);
    }

    /// Replaces the rules; they are in force in the process once this returns.
    ///
    /// # Panics
    /// The process does not apply the rules in time.
    pub fn set_rules(&self, rules: &str) {
        let version_line = self.write(rules);
        let seen = self.file.with_extension("seen");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while std::fs::read_to_string(&seen).ok().as_deref() != Some(&version_line) {
            assert!(
                Instant::now() < deadline,
                "the process has not applied `{rules}` in time"
            );
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Replaces the file in one step; returns its first line, which identifies the version.
    fn write(&self, rules: &str) -> String {
        let version_line = format!("# {}", self.version.fetch_add(1, Ordering::Relaxed));
        let next = self.file.with_extension("next");
        std::fs::write(&next, format!("{version_line}\n{rules}\n"))
            .expect("fault rules cannot be written");
        std::fs::rename(&next, &self.file).expect("fault rules cannot be written");
        version_line
    }
}

/// The path of the shared library, which cargo builds in the directory of the test or one above.
fn library_path() -> PathBuf {
    let executable = std::env::current_exe().expect("the path of the running program is unknown");
    let directories = executable.ancestors().skip(1).take(3);
    let found = directories
        .flat_map(|dir| {
            [
                dir.join("libvioletwind_faults.so"),
                dir.join("deps/libvioletwind_faults.so"),
            ]
        })
        .find(|path| path.exists());
    found.expect("libvioletwind_faults.so was not found beside the tests")
}
