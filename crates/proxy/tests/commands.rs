//! The command line: `check`, `catalogue`, `completions`, and a start with an invalid file.

mod common;

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use common::{Discovery, Proxy, Server, unused_addr};
use serde_json::Value;
use violetwind_standins::consul::{Check, Consul, Instance, Maintenance};

fn run_violetwind(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_violetwind"))
        .args(args)
        .env_remove("NODE_CONFIG")
        .env_remove("VIOLETWIND_CONFIG")
        .output()
        .unwrap()
}

fn to_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn write_temp_file(name: &str, contents: &str) -> PathBuf {
    let name = format!("violetwind-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, contents).unwrap();
    path
}

#[test]
fn accepts_the_example_configuration() {
    let example = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/violetwind.example.toml"
    );
    let output = run_violetwind(&["check", example]);
    assert!(output.status.success(), "{}", to_text(&output.stdout));
}

#[test]
fn reports_every_error_of_a_file_and_refuses_to_start_with_it() {
    let path = write_temp_file(
        "bad.toml",
        "[log]\nformt = \"json\"\n[limits]\nprobe = \"1h\"\n",
    );
    let name = path.display().to_string();
    let output = run_violetwind(&["check", &name]);
    assert_eq!(output.status.code(), Some(1));
    let expected = format!(
        "{name}:2: `log.formt`: no such key (did you mean `format`?)\n\
         {name}:4: `limits.probe`: 60m is not from 10ms to 10s\n"
    );
    assert_eq!(to_text(&output.stdout), expected);
    let output = run_violetwind(&["run", "--config", &name]);
    assert_eq!(output.status.code(), Some(1));
    assert!(to_text(&output.stderr).contains("did you mean `format`?"));
    std::fs::remove_file(path).unwrap();
}

#[test]
fn shows_the_catalogue_with_the_report_of_each_source_and_the_reason() {
    let server = Server::start("s-1");
    let consul = Consul::start("agenda");
    consul.register_all((1..9).map(|n| Instance::new(&format!("s-{n}"), server.addr)));
    consul.set_check(&["s-2"], Check::Critical);
    consul.update_instances(&["s-3"], |i| i.maintenance = Maintenance::Service);
    let source = |name: &str, address: String| {
        format!(
            "[[source]]\nname = \"{name}\"\nkind = \"consul\"\nservice = \"agenda\"\naddress = \"{address}\"\n"
        )
    };
    let file = source("one", consul.addr.to_string()) + &source("gone", unused_addr().to_string());
    let path = write_temp_file("catalogue.toml", &file);
    let name = path.display().to_string();
    let output = run_violetwind(&["catalogue", &name, "--json"]);
    // The second source does not answer.
    assert_eq!(output.status.code(), Some(1));
    let catalogue: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(catalogue["sources"][0]["answered"], true);
    assert_eq!(catalogue["sources"][1]["answered"], false);
    let statuses: Vec<&str> = (0..3)
        .map(|n| catalogue["servers"][n]["believed"].as_str().unwrap())
        .collect();
    assert_eq!(statuses, ["ready", "suspected", "draining"]);
    assert_eq!(catalogue["servers"][1]["said"]["one"], "failing");
    let output = run_violetwind(&["catalogue", &name]);
    assert!(to_text(&output.stdout).contains("a source says that it fails"));
    std::fs::remove_file(path).unwrap();
}

#[test]
fn prints_completions_and_help() {
    let output = run_violetwind(&["completions", "bash"]);
    assert!(to_text(&output.stdout).contains("catalogue"));
    let output = run_violetwind(&["--help"]);
    assert!(to_text(&output.stdout).contains("Examples:"));
}

/// Runs a command with standard output or error, or both, on a device on which each write fails with ENOSPC, and with a
/// pipe whose reader is gone. Returns the exit codes.
fn exit_codes_without_output(args: &[&str], stdout: bool, stderr: bool) -> [Option<i32>; 2] {
    let full_disk = || Stdio::from(File::options().write(true).open("/dev/full").unwrap());
    let no_reader = || Stdio::from(std::io::pipe().unwrap().1);
    let run = |unwritable: &dyn Fn() -> Stdio| {
        let target = |selected: bool| match selected {
            true => unwritable(),
            false => Stdio::null(),
        };
        let status = Command::new(env!("CARGO_BIN_EXE_violetwind"))
            .args(args)
            .env_remove("NODE_CONFIG")
            .env_remove("VIOLETWIND_CONFIG")
            .stdout(target(stdout))
            .stderr(target(stderr))
            .status();
        status.unwrap().code()
    };
    [run(&full_disk), run(&no_reader)]
}

/// Starts a proxy, played by the test, that accepts each operator's call, and returns its address.
fn start_accepting_proxy() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut line = String::new();
            let _ = BufReader::new(&stream).read_line(&mut line);
            let _ = stream.write_all(b"200 {}\n");
        }
    });
    address
}

/// Guards against commands that panic (exit code 101) when nobody can read what they say, and against exit codes that
/// claim more than was shown: 74 stands for output that is the purpose of the command and could not be written.
#[test]
fn a_command_whose_output_cannot_be_written_ends_by_its_own_rule() {
    let bad = write_temp_file("bad-output.toml", "[log]\nformt = \"json\"\n");
    let bad = bad.to_str().unwrap();
    let good = write_temp_file("good-output.toml", "[log]\nformat = \"json\"\n");
    let good = good.to_str().unwrap();
    let server = Server::start("s-1");
    let discovery = Discovery::start(&[server.target_row("ready")]);
    let source = format!(
        "[[source]]\nname = \"one\"\nkind = \"registry\"\naddress = \"{}\"\n",
        discovery.addr
    );
    let sources = write_temp_file("sources-output.toml", &source);
    let sources = sources.to_str().unwrap();
    let nobody = unused_addr().to_string();
    let proxy = Proxy::start_with_management(&discovery, |_| {});
    let management = proxy.management.unwrap().to_string();
    let accepting = start_accepting_proxy();
    let cases: [(&[&str], bool, bool, i32); 19] = [
        (&["--help"], true, true, 74),
        (&["--version"], true, true, 74),
        (&["completions", "bash"], true, true, 74),
        (&["catalogue", sources], true, true, 74),
        (&["catalogue", sources, "--json"], true, true, 74),
        // Verdicts stay what they are.
        (&["check", good], true, true, 0),
        (&["check", bad], true, true, 1),
        (&["catalogue", bad], true, true, 1),
        (&["run", "--config", bad], false, true, 1),
        (&["run", "--config", good], false, true, 1),
        (&["no-such-command"], true, true, 2),
        (&["fleet", "status", "--at", &nobody], true, true, 69),
        (&["work", "show", "--at", &management], true, true, 1),
        (&["fleet", "status", "--at", &accepting], true, true, 74),
        (
            &["fleet", "status", "--json", "--at", &accepting],
            true,
            true,
            74,
        ),
        (&["work", "show", "--at", &accepting], true, true, 74),
        // A change has been made, whoever reads that.
        (&["fleet", "gone", "n9", "--at", &accepting], true, true, 0),
        (&["work", "pause", "--at", &accepting], true, true, 0),
        (&["work", "done", "m-1", "--at", &accepting], true, true, 0),
    ];
    for (args, stdout, stderr, code) in cases {
        let codes = exit_codes_without_output(args, stdout, stderr);
        assert_eq!(codes, [Some(code); 2], "{args:?}");
    }
}
