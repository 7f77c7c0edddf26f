//! What keeps the decision modules readable. The operators withdrew their limit on lines; its place is taken by limits on
//! each function, on columns, and by the list of modules in the deploy file.

use std::fs;
use std::path::{Path, PathBuf};

const COLUMNS: usize = 110;
const FUNCTION_LINES: usize = 80;

/// The modules that the deploy file names, with their text.
fn modules() -> Vec<(String, String)> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let policy = deploy
        .lines()
        .find(|line| line.starts_with("policy = "))
        .unwrap();
    let paths: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    assert!(!paths.is_empty());
    let read = |path: &&str| {
        (
            path.to_string(),
            fs::read_to_string(root.join(path)).unwrap(),
        )
    };
    paths.iter().map(read).collect()
}

#[test]
fn decision_modules_are_documented_and_stay_within_their_columns() {
    for (path, text) in modules() {
        assert!(text.starts_with("//! "), "{path} says not what it decides");
        for (at, line) in text.lines().enumerate() {
            let columns = line.chars().count();
            assert!(
                columns <= COLUMNS,
                "{path}:{} has {columns} columns",
                at + 1
            );
        }
    }
}

#[test]
fn functions_of_decision_modules_stay_short() {
    for (path, text) in modules() {
        let mut begun = None;
        for (at, line) in text.lines().enumerate() {
            let depth = line.len() - line.trim_start().len();
            let word = line.trim_start().trim_start_matches("pub ");
            if word.starts_with("fn ") && !line.trim_end().ends_with(';') {
                begun = Some((at, depth));
            }
            if let Some((from, indent)) = begun
                && line.trim() == "}"
                && depth == indent
            {
                let lines = at + 1 - from;
                assert!(
                    lines <= FUNCTION_LINES,
                    "{path}:{} has {lines} lines",
                    from + 1
                );
                begun = None;
            }
        }
    }
}

/// A file beside the named ones may hold books and types, and whoever adds one says which it is.
#[test]
fn every_module_is_either_a_decision_or_known_to_be_none() {
    let named: Vec<PathBuf> = modules().into_iter().map(|(path, _)| path.into()).collect();
    let none = ["api.rs", "fading.rs", "lib.rs", "quotas.rs", "state.rs"];
    for entry in fs::read_dir(Path::new(env!("CARGO_MANIFEST_DIR")).join("src")).unwrap() {
        let name = entry.unwrap().file_name();
        let name = name.to_str().unwrap();
        let decides = named
            .iter()
            .any(|path| path.ends_with(Path::new("src").join(name)));
        assert!(decides || none.contains(&name), "{name} is neither");
    }
}
