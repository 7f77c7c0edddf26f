//! Two engineers read the policy top to bottom in an hour; these bounds keep that possible.

const POLICY: &str = include_str!("../src/policy.rs");

#[test]
fn policy_stays_within_its_lines() {
    let lines = POLICY
        .lines()
        .filter(|line| !line.trim().is_empty())
        .count();
    assert!(
        lines <= 730,
        "policy.rs has {lines} lines that are not blank; 730 are allowed"
    );
}

#[test]
fn policy_stays_within_its_columns() {
    for (at, line) in POLICY.lines().enumerate() {
        let columns = line.chars().count();
        assert!(
            columns <= 110,
            "policy.rs:{} has {columns} columns; 110 are allowed",
            at + 1
        );
    }
}
