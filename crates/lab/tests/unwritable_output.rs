//! The lab's exit codes and files do not depend on whether its output can be written.

use std::fs::File;
use std::path::Path;
use std::process::{Command, Stdio};

/// Runs `violetwind-lab storm` with standard output and error on a device on which each write fails with ENOSPC.
/// Returns the exit code.
fn storm_on_full_disk(args: &[&str]) -> Option<i32> {
    let full_disk = || Stdio::from(File::options().write(true).open("/dev/full").unwrap());
    let status = Command::new(env!("CARGO_BIN_EXE_violetwind-lab"))
        .args(["storm", "--seconds", "1"])
        .args(args)
        .stdout(full_disk())
        .stderr(full_disk())
        .status();
    status.unwrap().code()
}

/// Guards against a panic (exit code 101) at the report, and against a success whose figures nobody has seen.
#[test]
fn a_report_that_cannot_be_written_is_no_success() {
    assert_eq!(storm_on_full_disk(&["--seeds", "1"]), Some(74));
}

/// Guards against findings that are not saved because the message before them could not be written.
#[test]
fn findings_are_saved_where_the_output_cannot_be_written() {
    let name = format!("violetwind-lab-findings-{}", std::process::id());
    let findings = std::env::temp_dir().join(name);
    let directory = findings.to_str().unwrap();
    let args = ["--planted", "hasty-proxy", "--findings", directory];
    assert_eq!(
        storm_on_full_disk(&[&args[..], &["--seeds", "20"]].concat()),
        Some(1)
    );
    assert!(count_files(&findings) > 0, "no findings");
    std::fs::remove_dir_all(findings).unwrap();
}

fn count_files(directory: &Path) -> usize {
    std::fs::read_dir(directory).map_or(0, Iterator::count)
}
