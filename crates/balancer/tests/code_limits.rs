//! Limits that keep the decision modules readable: the length of each function, the number of columns, and the list of
//! modules in the deploy file. They replace the operators' former limit on lines.

use std::fs;
use std::path::{Path, PathBuf};

const MAX_COLUMNS: usize = 110;
const MAX_FUNCTION_LINES: usize = 80;

/// The paths and texts of the decision modules that the deploy file lists.
fn decision_modules() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let policy_line = deploy
        .lines()
        .find(|line| line.starts_with("policy = "))
        .unwrap();
    let paths: Vec<&str> = policy_line.split('"').skip(1).step_by(2).collect();
    assert!(!paths.is_empty());
    let read_module = |path: &&str| {
        (
            path.to_string(),
            fs::read_to_string(root.join(path)).unwrap(),
        )
    };
    paths.iter().map(read_module).collect()
}

#[test]
fn decision_modules_are_documented_and_stay_within_their_columns() {
    for (path, text) in decision_modules() {
        assert!(
            text.starts_with("//! "),
            "{path} has no module documentation"
        );
        for (index, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(
                columns <= MAX_COLUMNS,
                "{path}:{} has {columns} columns",
                index + 1
            );
        }
    }
}

#[test]
fn functions_of_decision_modules_stay_short() {
    for (path, text) in decision_modules() {
        let mut function_start = None;
        for (index, line) in text.lines().enumerate() {
            let indent = line.len() - line.trim_start().len();
            let declaration = line.trim_start().trim_start_matches("pub ");
            if declaration.starts_with("fn ") && !line.trim_end().ends_with(';') {
                function_start = Some((index, indent));
            }
            if let Some((start, start_indent)) = function_start
                && line.trim() == "}"
                && indent == start_indent
            {
                let lines = index + 1 - start;
                assert!(
                    lines <= MAX_FUNCTION_LINES,
                    "{path}:{} has {lines} lines",
                    start + 1
                );
                function_start = None;
            }
        }
    }
}

/// Modules that the deploy file does not list may hold state and types, but must be listed here.
#[test]
fn every_module_is_listed_as_decision_or_as_other_module() {
    let decision_paths: Vec<PathBuf> = decision_modules()
        .into_iter()
        .map(|(path, _)| path.into())
        .collect();
    let other_modules = ["api.rs", "decay.rs", "lib.rs", "quotas.rs", "state.rs"];
    for entry in fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("src")).unwrap() {
        let name = entry.unwrap().file_name();
        let name = name.to_str().unwrap();
        let is_decision = decision_paths
            .iter()
            .any(|path| path.ends_with(Path::new("src").join(name)));
        assert!(
            is_decision || other_modules.contains(&name),
            "{name} is listed neither as a decision module nor as another module"
        );
    }
}
