//! Unit tests of `config`: parsing of the configuration file.

use violetwind_proxy::config::*;

const VALID_CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500",
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
fn reads_nested_settings_by_their_flat_names() {
    let config = parse(VALID_CONFIG).unwrap();
    assert_eq!(config.settings.fleet_size, 3);
    assert_eq!(config.settings.zone, Some(1));
    assert_eq!(config.settings.classes[0].setup_target, 0.5);
    assert!(config.settings.may_probe);
    assert_eq!(config.longest_deadline, 2.5);
    // Delays can't be distinguished from small loads on sockets, so the balancer must not act on them.
    assert_eq!(config.settings.message_delay_target, None);
    assert_eq!(config.seed, 255);
    assert_eq!(config.load_report_source, LoadReportSource::Probes);
}

#[test]
fn environment_takes_precedence_over_the_file() {
    let overrides = |name: &str| (name == "NODE_LISTEN").then(|| "127.0.0.9:1".to_string());
    let config = Config::parse(VALID_CONFIG, overrides).unwrap();
    assert_eq!(config.listen, "127.0.0.9:1".parse().unwrap());
}

/// A reload reports the changed keys that it does not apply, but not those that are only read at a start.
#[test]
fn names_the_keys_that_need_a_restart() {
    let old = parse(VALID_CONFIG).unwrap();
    let changed = VALID_CONFIG
        .replace("127.0.0.1:8500", "127.0.0.1:8600")
        .replace("00000000000000ff", "00000000000000fe")
        .replace("\"memory_mb\":192", "\"memory_mb\":64")
        .replace("\"n0\"", "\"n1\"");
    let new = parse(&changed).unwrap();
    assert_eq!(old.keys_needing_restart(&new), ["limits", "name"]);
    assert!(old.keys_needing_restart(&old).is_empty());
}

/// A proxy that started on a partial configuration would use arbitrary limits.
#[test]
fn names_the_invalid_key_of_a_configuration() {
    let parse_error = |from: &str, to: &str| parse(&VALID_CONFIG.replace(from, to)).unwrap_err();
    assert!(parse_error("00000000000000ff", "seed").contains("hex"));
    assert!(parse_error("\"sockets\":1024", "\"sockets\":\"many\"").contains("sockets"));
    assert!(parse_error("127.0.0.1:3000", "here").contains("listen"));
    assert!(parse_error("\"pure\"", "\"often\"").contains("idempotency"));
    assert!(parse_error("0.12", "\"NaN\"").contains("connect-timeout"));
    assert!(parse_error("2.5", "\"inf\"").contains("deadline"));
    assert!(parse("{").is_err());
}
