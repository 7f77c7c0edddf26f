//! Unit tests of `operator_config`, the reader of the operator's file.

use std::collections::BTreeMap;

use std::time::Duration;
use violetwind_proxy::fleet::settings::BudgetSubject;

use violetwind_conf::{ConfigTree, Problem, Problems, Section};
use violetwind_consul::{FieldSource, Identity};
use violetwind_proxy::operator_config::*;

fn read(text: &str) -> Result<OperatorConfig, Vec<String>> {
    let tree = ConfigTree::parse("f.toml", text).unwrap();
    let problems = Problems::default();
    let config = OperatorConfig::read(&Section::root(&tree, &problems));
    let problems: Vec<String> = problems.into_vec().iter().map(Problem::to_string).collect();
    match problems.is_empty() {
        true => Ok(config),
        false => Err(problems),
    }
}

#[test]
fn an_empty_file_keeps_all_defaults() {
    let config = read("").unwrap();
    assert!(config.sources.is_empty());
    let (mut limits, before) = (
        Limits::new(LimitInputs::default()),
        Limits::new(LimitInputs::default()),
    );
    config.apply_limits(&mut limits);
    assert_eq!(format!("{limits:?}"), format!("{before:?}"));
    let defaults = violetwind_catalogue::Limits::default();
    assert_eq!(config.catalogue_limits, defaults);
}

use violetwind_proxy::limits::{LimitInputs, Limits};

#[test]
fn reads_a_consul_source_with_its_mapping_rules() {
    let text = r#"
            [zones]
            dc1 = "a"
            [limits]
            drain_wait = "1s"
            [[source]]
            name = "agenda"
            kind = "consul"
            address = "127.0.0.1:8500"
            service = "agenda"
            datacenters = ["dc1", "dc2"]
            identity = "node-id"
            zone = "meta:az"
            server_kind = "tag:model="
        "#;
    let config = read(text).unwrap();
    let SourceKind::Consul(settings) = &config.sources[0].kind else {
        panic!("the source is not read as a Consul source")
    };
    assert_eq!(settings.rules.identity, Identity::NodeAndId);
    assert_eq!(settings.rules.zone, FieldSource::Meta("az".into()));
    assert_eq!(settings.rules.kind, FieldSource::TagPrefix("model=".into()));
    assert_eq!(settings.rules.zones["dc1"], "a");
    let mut limits = Limits::new(LimitInputs::default());
    config.apply_limits(&mut limits);
    assert_eq!(limits.engine.drain_wait, Duration::from_secs(1));
    assert_eq!(
        read("").unwrap().sections_needing_restart(&config),
        ["limits", "source"]
    );
}

#[test]
fn reports_inconsistent_values_together_with_unknown_keys() {
    let text = r#"[catalogue]
doubt_window = "10m"
absent_four = "1m"
[[source]]
name = "one"
kind = "consol"
[[source]]
name = "one"
kind = "consul"
service = "a b"
zone = "meta:"
datacenters = ["x", "x"]"#;
    let expected = [
        "f.toml:1: `catalogue.doubt_most`: must be longer than `doubt_window`",
        "f.toml:3: `catalogue.absent_four`: no such key (did you mean `absent_for`?)",
        "f.toml:6: `source.0.kind`: expected \"registry\" or \"consul\", found \"consol\"",
        "f.toml:7: `source.1.address`: expected an address and a port, found nothing",
        "f.toml:8: `source.1.name`: another source has this name",
        "f.toml:10: `source.1.service`: expected letters, digits, `-`, `_` and `.`",
        "f.toml:11: `source.1.zone`: expected \"datacenter\", \"none\", \"meta:KEY\" or \
             \"tag:PREFIX\", found \"meta:\"",
        "f.toml:12: `source.1.datacenters`: expected different names of letters, digits, `-`, \
             `_`, `.`",
    ];
    assert_eq!(read(text).unwrap_err(), expected);
}

#[test]
fn reads_a_fleet_and_reports_all_its_problems() {
    let text = r#"[fleet]
name = "turnos"
listen = "127.0.0.1:7100"
lease = "1s"
leese = "2s"
[[fleet.peer]]
node = "a"
address = "127.0.0.1:7100"
votes = true
[[fleet.peer]]
node = "a"
address = "127.0.0.1:7100"
votes = true
[[fleet.duty]]
name = "night export""#;
    let expected = [
        "f.toml:4: `fleet.lease`: shorter than elections need: 1500ms at least, or a shorter `election`",
        "f.toml:5: `fleet.leese`: no such key (did you mean `lease`?)",
        "f.toml:11: `fleet.peer.1.node`: another peer has this name",
        "f.toml:12: `fleet.peer.1.address`: another peer has this address",
        "f.toml:15: `fleet.duty.0.name`: expected up to 64 letters, digits, `-`, `_`, `.` and `:`",
    ];
    assert_eq!(read(text).unwrap_err(), expected);
    let text = r#"[fleet]
name = "turnos"
listen = "127.0.0.1:7100"
[[fleet.peer]]
node = "a"
address = "127.0.0.1:7100"
votes = true
[[fleet.peer]]
node = "b"
address = "127.0.0.1:7101"
votes = true"#;
    let fleet = read(text).unwrap().fleet.unwrap();
    assert_eq!(
        fleet.warnings.len(),
        1,
        "expected a warning: a fleet of two voters tolerates no failure"
    );
    let read_budget = |of: &str, kind: &str| {
        let budget =
            format!("[[fleet.budget]]\nname = \"b\"\nwhole = 9\nof = \"{of}\"\nkind = \"{kind}\"");
        read(&format!("{text}\n{budget}")).map(|config| config.fleet.unwrap().balancer_budgets)
    };
    let expected_subject = |subject| Ok(BTreeMap::from([("b".to_string(), subject)]));
    assert_eq!(
        read_budget("cold", "rate"),
        expected_subject(BudgetSubject::Cold)
    );
    assert_eq!(
        read_budget("probes", "rate"),
        expected_subject(BudgetSubject::Probes)
    );
    assert_eq!(
        read_budget("moves", "rate"),
        expected_subject(BudgetSubject::Moves)
    );
    let problems = read_budget("moves", "held").unwrap_err();
    assert!(
        problems[0].starts_with("f.toml:16: `fleet.budget.0.kind`: retries, moves"),
        "{problems:?}"
    );
    let problem = fleet.check_node("c").unwrap_err();
    assert!(problem.contains("own name"), "{problem}");
    let problem = fleet.check_node("a").unwrap_err();
    assert!(problem.contains("fleet.dir"), "{problem}");
    assert!(read("").unwrap().fleet.is_none());
}

/// Guards against an answer without a reason: the proxy ends an operator's call itself if the fleet has not by then.
#[test]
fn a_fleet_ends_an_operators_call_before_the_proxy_does() {
    let proxy_limits = Limits::new(LimitInputs::default());
    for lease_ms in [200, 1000, 2000, 600_000] {
        let fleet_limits = violetwind_fleet::Limits::with_timeouts(lease_ms, lease_ms / 4);
        let call_timeout = Duration::from_millis(fleet_limits.call_timeout);
        assert!(call_timeout < proxy_limits.call_answer_timeout);
    }
}
