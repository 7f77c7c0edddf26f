//! The derivation by itself: each change of a name in a small source is told, both ways.

use std::path::Path;

use crate::page::{difference, section, written};
use crate::source::Source;
use crate::{derive, types};

const CODE: &str = r##"
#[derive(Parser)]
#[command(name = "tool")]
struct Cli {
    #[arg(long, env = "VIOLETWIND_AT")]
    zone_most: u32,
    #[command(subcommand)]
    inner: Inner,
}

#[derive(Subcommand)]
enum Inner {
    LetIn { node: String, zone: String },
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct Shown {
    since_ms: u64,
    #[serde(skip)]
    hidden: u64,
}

#[derive(Serialize)]
struct Cell {
    name: String,
    kind: String,
    cell: String,
    room: u64,
}

#[derive(Debug)]
struct Told {
    asked: u64,
    up: u64,
}

type Number = u64;

#[derive(Serialize, Deserialize)]
enum Frame {
    Hello,
    Named { name: String, number: Option<Number> },
}

#[derive(Debug)]
enum Reason {
    NoServer,
    DeadlineOver { since: u64 },
}

fn read(section: &Section, error: Error) {
    section.span("drain_wait");
    section.text(&format!("orgs.{at}.name"));
    warn!(path = 1, ?error, %section.name, "the file can't be read: {error}");
    write!(out, "LET-IN id={}", 1);
    ask("/v1/health/{service}", "X-Consul-Index");
    std::env::var("NODE_NAME").expect("a-name");
}

#[cfg(test)]
mod tests {
    const UNSEEN: &str = "unseen";
}
"##;

fn page(code: &str) -> String {
    let start = "## Printed by Debug\n\n### proxy\n\n- `NoServer DeadlineOver{since}`\n- `Told{asked up}`\n";
    let sections = derive(&sources(code), start);
    sections
        .iter()
        .map(|(title, lines)| written(title, lines))
        .collect()
}

fn sources(code: &str) -> Vec<Source> {
    vec![Source::parse("proxy", Path::new("lib.rs"), code)]
}

/// What the page of `before` says of `after`.
fn told(before: &str, after: &str) -> String {
    let page = page(before);
    let sections = derive(&sources(after), &page);
    sections
        .iter()
        .filter_map(|(title, lines)| difference(title, &section(&page, title), lines))
        .collect()
}

#[test]
fn the_page_that_is_printed_is_the_one_that_holds() {
    assert_eq!(told(CODE, CODE), "");
}

#[test]
fn a_changed_name_is_told_both_ways() {
    let changes = [
        (
            "zone_most",
            "zone_top",
            "`tool --zone-most <ZONE_MOST> env VIOLETWIND_AT`",
        ),
        ("LetIn", "Admit", "`tool let-in <NODE> <ZONE>`"),
        (
            "node: String, zone",
            "zone: String, node",
            "`tool let-in <NODE> <ZONE>`",
        ),
        ("VIOLETWIND_AT", "VIOLETWIND_TO", "`VIOLETWIND_AT`"),
        ("NODE_NAME", "NODE_TITLE", "`NODE_NAME`"),
        ("since_ms", "after_ms", "`since-ms`"),
        ("Option<Number>", "Option<u32>", "`- | String, Option<u64>`"),
        ("Hello,", "", "`- | String, Option<u64>`"),
        ("room: u64", "space: u64", "`name kind cell room`"),
        ("asked: u64", "wanted: u64", "`Told{asked up}`"),
        ("NoServer", "Nobody", "`NoServer DeadlineOver{since}`"),
        ("drain_wait", "drain_time", "`drain_wait`"),
        ("orgs.{at}", "teams.{at}", "`orgs.{}.name`"),
        ("path = 1", "file = 1", "keys: `path` `error`"),
        ("?error", "?failure", "`path` `error` `section.name`"),
        ("the file", "this file", "WARN `the file can't be read: {}`"),
        ("LET-IN", "ADMIT", "`LET-IN`"),
        ("id={}", "key={}", "`id=`"),
        ("/v1/health", "/v2/health", "`/v1/health/{}`"),
        ("X-Consul-Index", "X-Consul-Place", "`X-Consul-Index`"),
    ];
    for (from, to, line) in changes {
        let other = CODE.replacen(from, to, 1);
        assert_ne!(other, CODE, "{from}");
        let gone = told(CODE, &other);
        let is_there = |text: &str, what: &str| {
            let mut lines = text.lines();
            lines.any(|told| told.trim_start().starts_with(what) && told.contains(line))
        };
        assert!(is_there(&gone, "remove"), "{from}: {gone}");
        assert!(gone.contains("  add"), "{from}: {gone}");
        let come = told(&other, CODE);
        assert!(is_there(&come, "add"), "{from}: {come}");
        assert!(come.contains("  remove"), "{from}: {come}");
    }
}

#[test]
fn names_of_the_code_alone_are_free() {
    let renamed = CODE
        .replace("Shown", "Seen")
        .replace("Number", "Count")
        .replace("Frame", "Packet")
        .replace("Named", "Titled")
        .replace("Reason", "Ground")
        .replace("{error}", "{failure}")
        .replace("{at}", "{place}")
        .replace("unseen", "hidden")
        .replace("a-name", "another-name")
        .replace("section.span", "part.duration");
    assert_eq!(told(CODE, &renamed), "");
}

#[test]
fn a_type_that_debug_prints_may_not_go() {
    let page = section(&page(CODE), "Printed by Debug");
    let without = CODE.replace("#[derive(Debug)]", "");
    assert!(!page.is_empty());
    assert!(types::printed(&sources(&without), &page).is_empty());
}
