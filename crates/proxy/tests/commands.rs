//! The command line: `check`, `catalogue`, `completions`, and a start by a bad file.

mod common;

use std::path::PathBuf;
use std::process::{Command, Output};

use common::{Server, unused_addr};
use serde_json::Value;
use violetwind_standins::consul::{Check, Consul, Instance, Maintenance};

fn violetwind(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_violetwind"))
        .args(args)
        .env_remove("NODE_CONFIG")
        .env_remove("VIOLETWIND_CONFIG")
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn written(name: &str, text: &str) -> PathBuf {
    let name = format!("violetwind-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn the_example_is_sound() {
    let example = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/violetwind.example.toml"
    );
    let output = violetwind(&["check", example]);
    assert!(output.status.success(), "{}", text(&output.stdout));
}

#[test]
fn every_error_of_a_file_is_told_at_once_and_a_run_by_it_does_not_start() {
    let path = written(
        "bad.toml",
        "[log]\nformt = \"json\"\n[limits]\nprobe = \"1h\"\n",
    );
    let name = path.display().to_string();
    let output = violetwind(&["check", &name]);
    assert_eq!(output.status.code(), Some(1));
    let expected = format!(
        "{name}:2: `log.formt`: no such key (did you mean `format`?)\n\
         {name}:4: `limits.probe`: 60m is not from 10ms to 10s\n"
    );
    assert_eq!(text(&output.stdout), expected);
    let output = violetwind(&["run", "--config", &name]);
    assert_eq!(output.status.code(), Some(1));
    assert!(text(&output.stderr).contains("did you mean `format`?"));
    std::fs::remove_file(path).unwrap();
}

#[test]
fn the_catalogue_is_shown_with_what_each_source_says_and_why_it_is_believed() {
    let server = Server::start("s-1");
    let consul = Consul::start("agenda");
    consul.register_all((1..9).map(|n| Instance::new(&format!("s-{n}"), server.addr)));
    consul.set_check(&["s-2"], Check::Critical);
    consul.update_instances(&["s-3"], |i| i.maintenance = Maintenance::Service);
    let source = |name: &str, at: String| {
        format!(
            "[[source]]\nname = \"{name}\"\nkind = \"consul\"\nservice = \"agenda\"\naddress = \"{at}\"\n"
        )
    };
    let file = source("one", consul.addr.to_string()) + &source("gone", unused_addr().to_string());
    let path = written("catalogue.toml", &file);
    let name = path.display().to_string();
    let output = violetwind(&["catalogue", &name, "--json"]);
    // One source did not answer.
    assert_eq!(output.status.code(), Some(1));
    let shown: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(shown["sources"][0]["answered"], true);
    assert_eq!(shown["sources"][1]["answered"], false);
    let believed: Vec<&str> = (0..3)
        .map(|n| shown["servers"][n]["believed"].as_str().unwrap())
        .collect();
    assert_eq!(believed, ["ready", "suspected", "draining"]);
    assert_eq!(shown["servers"][1]["said"]["one"], "failing");
    let output = violetwind(&["catalogue", &name]);
    assert!(text(&output.stdout).contains("a source says that it fails"));
    std::fs::remove_file(path).unwrap();
}

#[test]
fn completions_and_help_are_there() {
    let output = violetwind(&["completions", "bash"]);
    assert!(text(&output.stdout).contains("catalogue"));
    let output = violetwind(&["--help"]);
    assert!(text(&output.stdout).contains("Examples:"));
}
