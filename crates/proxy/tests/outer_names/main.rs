//! Holds the code to the list of names that leave the process, `docs/outer-names.md`, both ways: a name that
//! comes or goes fails here until the page says so.
//!
//! `VIOLETWIND_PRINT_OUTER_NAMES=1 cargo test -p violetwind --test outer_names -- --nocapture --test-threads=1`
//! prints the sections as the code has them, for the page; nothing writes the page itself.

#![allow(clippy::print_stdout, reason = "a tool of developers, which may panic")]

mod attributes;
mod events;
mod page;
mod programs;
mod proof;
mod source;
mod types;
mod words;

use std::collections::BTreeMap;
use std::fs;
use std::sync::OnceLock;

use page::{Lines, difference, section, written};
use source::Source;

const PROGRAMS: &str = "Programs";
const COMMANDS: &str = "Commands and flags";
const VARIABLES: &str = "Environment variables";
const KEYS: &str = "Keys and words";
const CAPITALISED: &str = "Capitalised names";
const PATHS: &str = "Paths";
const SPOKEN: &str = "Text protocols";
const BY_NAME: &str = "Written by name";
const BY_POSITION: &str = "Written by position";
const EVENTS: &str = "Log events";
const STORED: &str = "Files and marks";
const MATCHED: &str = "Texts that others match";
const PRINTED: &str = "Printed by Debug";

/// All sections as these sources have them, by title.
fn derive(sources: &[Source], page: &str) -> BTreeMap<&'static str, Lines> {
    let literals = words::literals(sources);
    BTreeMap::from([
        (PROGRAMS, programs::built(sources)),
        (COMMANDS, programs::commands(sources)),
        (VARIABLES, words::variables(sources)),
        (KEYS, words::keys(&literals)),
        (CAPITALISED, words::capitalised(&literals)),
        (PATHS, words::paths(&literals)),
        (SPOKEN, words::spoken(&literals)),
        (BY_NAME, types::by_name(sources)),
        (BY_POSITION, types::by_position(sources)),
        (EVENTS, events::events(sources)),
        (STORED, words::stored(&literals)),
        (MATCHED, words::matched(&literals)),
        (PRINTED, types::printed(sources, &section(page, PRINTED))),
    ])
}

fn page_text() -> String {
    let path = source::root().join("docs/outer-names.md");
    fs::read_to_string(path).expect("docs/outer-names.md")
}

/// The sections of the workspace, read once.
fn actual() -> &'static BTreeMap<&'static str, Lines> {
    static ACTUAL: OnceLock<BTreeMap<&'static str, Lines>> = OnceLock::new();
    ACTUAL.get_or_init(|| derive(&source::workspace(), &page_text()))
}

fn hold(title: &'static str) {
    let code = &actual()[title];
    if std::env::var_os("VIOLETWIND_PRINT_OUTER_NAMES").is_some() {
        println!("\n{}", written(title, code));
    }
    if let Some(difference) = difference(title, &section(&page_text(), title), code) {
        panic!("{difference}");
    }
}

#[test]
fn programs_are_on_the_page() {
    hold(PROGRAMS);
}

#[test]
fn commands_and_flags_are_on_the_page() {
    hold(COMMANDS);
}

#[test]
fn environment_variables_are_on_the_page() {
    hold(VARIABLES);
}

#[test]
fn keys_and_words_are_on_the_page() {
    hold(KEYS);
}

#[test]
fn capitalised_names_are_on_the_page() {
    hold(CAPITALISED);
}

#[test]
fn paths_are_on_the_page() {
    hold(PATHS);
}

#[test]
fn words_of_text_protocols_are_on_the_page() {
    hold(SPOKEN);
}

#[test]
fn types_written_by_name_are_on_the_page() {
    hold(BY_NAME);
}

#[test]
fn types_written_by_position_are_on_the_page() {
    hold(BY_POSITION);
}

#[test]
fn log_events_are_on_the_page() {
    hold(EVENTS);
}

#[test]
fn files_and_marks_are_on_the_page() {
    hold(STORED);
}

#[test]
fn texts_that_others_match_are_on_the_page() {
    hold(MATCHED);
}

#[test]
fn types_printed_by_debug_are_on_the_page() {
    hold(PRINTED);
}
