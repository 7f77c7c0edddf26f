//! `config` by itself.

use violetwind_proxy::config::*;

const GOOD: &str = r#"{"name":"n0","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500",
    "seed":"00000000000000ff","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
    "known":{"rev":0,"all":true,"targets":[]},
    "settings":{"fleet-size":3,"me":1,"zone":"b","azs":["a","b"],
      "request-classes":[{"name":"watch","idempotency":"pure","deadline-s":2.5,"target-s":0.5}],
      "reporting":{"fields":["x0"],"source":"probe"},
      "permissions":{"probes":true,"max-attempts":6,"connect-timeout-s":0.12},
      "family-info":{"message-aim-s":[0.15]},"weights":"rough"}}"#;

fn parse(text: &str) -> Result<Config, String> {
    Config::parse(text, |_| None)
}

#[test]
fn nested_settings_reach_the_module_by_their_flat_names() {
    let config = parse(GOOD).unwrap();
    assert_eq!(config.settings.fleet_size, 3);
    assert_eq!(config.settings.zone, Some(1));
    assert_eq!(config.settings.classes[0].setup_target, 0.5);
    assert!(config.settings.may_probe);
    assert_eq!(config.longest_deadline, 2.5);
    // Delays can't be told from small loads: the module must not act on them.
    assert_eq!(config.settings.message_delay_target, None);
    assert_eq!(config.seed, 255);
    assert_eq!(config.load_report_source, LoadReportSource::Probes);
}

#[test]
fn the_environment_goes_before_the_file() {
    let over = |name: &str| (name == "NODE_LISTEN").then(|| "127.0.0.9:1".to_string());
    let config = Config::parse(GOOD, over).unwrap();
    assert_eq!(config.listen, "127.0.0.9:1".parse().unwrap());
}

/// A reload says what it leaves as it was, and says nothing of what a start alone reads.
#[test]
fn what_a_reload_can_not_apply_is_named() {
    let old = parse(GOOD).unwrap();
    let other = GOOD
        .replace("127.0.0.1:8500", "127.0.0.1:8600")
        .replace("00000000000000ff", "00000000000000fe")
        .replace("\"memory_mb\":192", "\"memory_mb\":64")
        .replace("\"n0\"", "\"n1\"");
    let new = parse(&other).unwrap();
    assert_eq!(old.keys_needing_restart(&new), ["limits", "name"]);
    assert!(old.keys_needing_restart(&old).is_empty());
}

/// A proxy that starts on half a configuration would serve by made-up limits.
#[test]
fn a_bad_configuration_is_told_by_name() {
    let bad = |from: &str, to: &str| parse(&GOOD.replace(from, to)).unwrap_err();
    assert!(bad("00000000000000ff", "seed").contains("hex"));
    assert!(bad("\"sockets\":1024", "\"sockets\":\"many\"").contains("sockets"));
    assert!(bad("127.0.0.1:3000", "here").contains("listen"));
    assert!(bad("\"pure\"", "\"often\"").contains("idempotency"));
    assert!(bad("0.12", "\"NaN\"").contains("connect-timeout"));
    assert!(bad("2.5", "\"inf\"").contains("deadline"));
    assert!(parse("{").is_err());
}
