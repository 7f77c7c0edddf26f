//! All errors are reported at once, each with its location and a suggestion.

use std::time::Duration;

use violetwind_conf::{ConfigTree, Problem, Problems, Section};

const FILE: &str = r#"
[log]
formt = "json"
level = 7

[limits]
rows = 0
connect = "1 parsec"
share = 1.5
ok = "250ms"

[[source]]
name = "one"

[[source]]
names = ["two"]
"#;

fn read_problems(tree: &ConfigTree) -> Vec<String> {
    let problems = Problems::default();
    let root = Section::root(tree, &problems);
    let log = root.section("log");
    log.text("level");
    log.choice("format", &[("text", 0), ("json", 1)], 0);
    log.report_unknown_keys();
    let limits = root.section("limits");
    let secs = Duration::from_secs;
    limits.int("rows", 1..=10, 5);
    limits.duration("connect", secs(0)..=secs(2), secs(1));
    limits.number("share", 0.0..=1.0, 0.5);
    let ok = limits.duration("ok", secs(0)..=secs(2), secs(1));
    assert_eq!(ok, Duration::from_millis(250));
    limits.report_unknown_keys();
    for source in root.sections("source") {
        source.required_text("name");
        source.report_unknown_keys();
    }
    root.report_unknown_keys();
    let problems = problems.into_vec();
    problems.iter().map(Problem::to_string).collect()
}

#[test]
fn all_errors_are_reported_at_once_with_line_and_suggestion() {
    let tree = ConfigTree::parse("a.toml", FILE).unwrap();
    let expected = [
        "a.toml:3: `log.formt`: no such key (did you mean `format`?)",
        "a.toml:4: `log.level`: expected a text, found 7",
        "a.toml:7: `limits.rows`: 0 is not from 1 to 10",
        "a.toml:8: `limits.connect`: expected a span such as \"300ms\" or \"4s\", found \"1 parsec\"",
        "a.toml:9: `limits.share`: 1.5 is not from 0 to 1",
        "a.toml:15: `source.1.name`: expected a text, found nothing",
        "a.toml:16: `source.1.names`: no such key (did you mean `name`?)",
    ];
    assert_eq!(read_problems(&tree), expected);
}

#[test]
fn layers_override_the_file_and_errors_name_the_layer() {
    let mut tree = ConfigTree::parse("a.toml", FILE).unwrap();
    let variables = [
        ("VW__LOG__LEVEL", "warn"),
        ("VW__LIMITS__ROWS", "99"),
        ("VW__SOURCE__1__NAME", "two"),
        ("VW__SOURCE__7__NAME", "eight"),
        ("VW__LOG__LEVEL__DEEP", "x"),
        ("OTHER", "x"),
    ];
    let variables = variables.map(|(name, value)| (name.to_string(), value.to_string()));
    let problems = tree.set_from_env("VW__", variables.into_iter());
    let messages: Vec<String> = problems.iter().map(Problem::to_string).collect();
    let expected = [
        "environment VW__LOG__LEVEL__DEEP: `log.level.deep`: a key within what is no section",
        "environment VW__SOURCE__7__NAME: `source.7.name`: no such place in the list",
    ];
    assert_eq!(messages, expected);
    tree.set_value("limits.connect", "500ms", "--set limits.connect")
        .unwrap();
    tree.set_value("limits.share", "true", "--set limits.share")
        .unwrap();
    let expected = [
        "--set limits.share: `limits.share`: expected a number, found true",
        "a.toml:3: `log.formt`: no such key (did you mean `format`?)",
        "a.toml:16: `source.1.names`: no such key (did you mean `name`?)",
        "environment VW__LIMITS__ROWS: `limits.rows`: 99 is not from 1 to 10",
    ];
    assert_eq!(read_problems(&tree), expected);
}

#[test]
fn invalid_toml_is_reported_with_its_line() {
    let problem = ConfigTree::parse("a.toml", "[log]\nlevel = \n").unwrap_err();
    assert_eq!(problem.location, "a.toml:2");
    assert!(ConfigTree::parse("a.toml", &"#".repeat(2 << 20)).is_err());
}
