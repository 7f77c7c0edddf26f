//! Names that stand in literals: keys, words of protocols, variables of the environment, paths, files.

use std::collections::{BTreeMap, BTreeSet};

use proc_macro2::{TokenStream, TokenTree};
use syn::Lit;

use crate::events::{MACROS, called};
use crate::page::{Lines, add, quoted};
use crate::source::Source;

/// Their texts are for whoever reads the program: they may be worded anew.
const PANICS: [&str; 10] = [
    "assert",
    "assert_eq",
    "assert_ne",
    "debug_assert",
    "debug_assert_eq",
    "debug_assert_ne",
    "panic",
    "todo",
    "unimplemented",
    "unreachable",
];

/// Crates that speak a text protocol or write a query.
const SPEAKERS: [&str; 7] = [
    "consul", "faults", "lab", "proxy", "service", "simhost", "standins",
];

/// Names of files and sockets, and marks at the start of files and connections, by the crate that writes them.
const STORED: [(&str, &str); 25] = [
    ("faults", "new"),
    ("faults", "seen"),
    ("lab", "config.json"),
    ("lab", "operator.toml"),
    ("lab", "storm-{}.toml"),
    ("lab", "violetwind-storm-{}.log"),
    ("proxy", "out"),
    ("proxy", "out.new"),
    ("proxy", "stale"),
    ("proxy", "violetwind fleet"),
    ("proxy", "violetwind out 1"),
    ("proxy", "violetwind.bans"),
    ("proxy", "violetwind.bans.{}"),
    ("proxy", "violetwind.sock"),
    ("proxy", "violetwind.sock.{}"),
    ("record", "VWREC01\n"),
    ("service", "VWHO"),
    ("standins", "faults"),
    ("standins", "next"),
    ("standins", "work.out"),
    ("store", "acked"),
    ("store", "lock"),
    ("store", "log."),
    ("store", "log.{}"),
    ("store", "member"),
];

/// Texts, or parts of them, that programs, tests or operators look for, by the crate that writes them.
const MATCHED: [(&str, &str); 70] = [
    ("catalogue", "ready by all that list it"),
    (
        "catalogue",
        "its source lost too much at once and is doubted",
    ),
    ("catalogue", "a source says that it fails"),
    ("catalogue", "no source lists it any more"),
    ("catalogue", "it went back and forth too often"),
    ("catalogue", "a drain was told"),
    ("catalogue", "suspected, and it does not answer"),
    ("catalogue", "no source has listed it for long"),
    ("catalogue", "forgotten: the catalogue is full"),
    ("common", "needs a restart"),
    ("conf", "__"),
    ("conf", "did you mean "),
    ("conf", "no such key"),
    ("fleet", "another program works on it"),
    ("fleet", "answered for"),
    ("fleet", "not done yet, call again: "),
    ("fleet", "not held here"),
    ("fleet", "stopped for "),
    ("lab", "Final Answer: "),
    ("lab", "Held Again: "),
    ("lab", "Kept: "),
    ("lab", "Work Ends: "),
    (
        "lab",
        "second,service,load_low,load_mean,load_high,moves,refused",
    ),
    ("lab", "whole run"),
    ("lab", "worst 10 s"),
    ("lab", "worst class"),
    ("proxy", "200 "),
    ("proxy", "400 "),
    ("proxy", " already"),
    ("proxy", "a successor serves"),
    ("proxy", "back at work"),
    ("proxy", "closed by operators: "),
    ("proxy", "is in use"),
    ("proxy", "is out"),
    ("proxy", "it speaks version"),
    ("proxy", "no list of servers yet"),
    ("proxy", "none left, again in"),
    ("proxy", "not done yet"),
    ("proxy", "not in force yet: call again"),
    ("proxy", "serving, "),
    ("proxy", "servers known"),
    ("proxy", "sound, "),
    ("proxy", "the engine has ended"),
    ("proxy", "the fleet has not answered"),
    ("proxy", "violetwind: "),
    ("standins", "Drain Kept: "),
    ("standins", "Empty Means Empty: "),
    ("standins", "Fencing: "),
    ("standins", "Never Too Many Out: "),
    ("standins", "Once: "),
    ("standins", "One Holder: "),
    ("standins", "listening on "),
    ("storm", "Election Safety"),
    ("storm", "Empty Means Empty"),
    ("storm", "Fencing"),
    ("storm", "Floor Held"),
    ("storm", "Held Again"),
    ("storm", "Liveness"),
    ("storm", "Never More Than The Whole"),
    ("storm", "Never Too Many Out"),
    ("storm", "Once"),
    ("storm", "One At A Time"),
    ("storm", "One Holder"),
    ("storm", "Read Index"),
    ("storm", "State Machine Safety"),
    ("storm", "Work Ends"),
    ("workorders", "another voter of the fleet is out"),
    ("workorders", "clients are still there"),
    ("workorders", "closed by an operator"),
    ("workorders", "not confirmed yet by"),
];

/// The text of a literal.
pub fn text(token: &TokenTree) -> Option<String> {
    let TokenTree::Literal(literal) = token else {
        return None;
    };
    match Lit::new(literal.clone()) {
        Lit::Str(text) => Some(text.value()),
        Lit::ByteStr(bytes) => Some(String::from_utf8_lossy(&bytes.value()).into_owned()),
        Lit::CStr(text) => Some(text.value().to_string_lossy().into_owned()),
        _ => None,
    }
}

/// The text with the names of variables taken out of `{…}`.
pub fn holes(text: &str) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once('{') {
        out += before;
        match after.split_once('}').filter(|(hole, _)| is_hole(hole)) {
            Some((hole, behind)) => {
                out += &blank(hole);
                rest = behind;
            }
            None => {
                out.push('{');
                rest = after;
            }
        }
    }
    out + rest
}

fn is_hole(text: &str) -> bool {
    let inside = |letter: char| letter.is_ascii_alphanumeric() || "_:.?#<>^$".contains(letter);
    text.chars().all(inside)
}

/// A hole without its variables: the way of writing stays.
fn blank(hole: &str) -> String {
    match hole.split_once(':') {
        Some((_, form)) if !form.is_empty() && !form.contains('$') => format!("{{:{form}}}"),
        _ => "{}".to_string(),
    }
}

/// Texts by the crate that they stand in.
pub type Literals = BTreeMap<String, Vec<String>>;

/// All literals of texts, with blank holes; without attributes, log events and panics.
pub fn literals(sources: &[Source]) -> Literals {
    let mut all = Literals::new();
    for source in sources {
        let found = all.entry(source.package.clone()).or_default();
        collect(source.tokens.clone(), found);
    }
    all
}

fn collect(tokens: TokenStream, found: &mut Vec<String>) {
    let tokens: Vec<_> = tokens.into_iter().collect();
    for (at, token) in tokens.iter().enumerate() {
        match token {
            TokenTree::Group(_) if passed_over(&tokens, at) => {}
            TokenTree::Group(group) => collect(group.stream(), found),
            _ => found.extend(text(token).map(|text| holes(&text))),
        }
    }
}

/// Whether the group is an attribute, or belongs to a log event, a panic or an `expect`.
fn passed_over(tokens: &[TokenTree], at: usize) -> bool {
    if let Some(name) = called(tokens, at) {
        return MACROS.contains(&name.as_str()) || PANICS.contains(&name.as_str());
    }
    let before = |back: usize| tokens.get(at.wrapping_sub(back)).map(ToString::to_string);
    match before(1).as_deref() {
        Some("#" | "expect") => true,
        Some("!") => before(2).as_deref() == Some("#"),
        _ => false,
    }
}

/// Keys and words of settings, of stored and of spoken forms: literals of the form of a key. How often each
/// occurs in its crate is told too, so that one of them that takes another's name is seen.
pub fn keys(literals: &Literals) -> Lines {
    counted(literals, is_key)
}

fn is_key(text: &str) -> bool {
    let letter = |letter: char| letter.is_ascii_lowercase() || letter.is_ascii_digit();
    text.starts_with(|first: char| first.is_ascii_lowercase() || first == '_')
        && text.chars().any(|letter| letter.is_ascii_lowercase())
        && text
            .chars()
            .all(|one| letter(one) || "_.-{}:".contains(one))
}

/// Capitalised names as they stand in JSON and HTTP: `ServiceID`, `X-Consul-Index`.
pub fn capitalised(literals: &Literals) -> Lines {
    counted(literals, |text| {
        let rest = |letter: char| letter.is_ascii_alphanumeric() || letter == '-';
        text.len() > 1
            && text.starts_with(|first: char| first.is_ascii_uppercase())
            && text.chars().all(rest)
            && text.chars().any(|letter| letter.is_ascii_lowercase())
    })
}

/// Paths with their queries: literals that begin with `/`.
pub fn paths(literals: &Literals) -> Lines {
    counted(literals, |text| {
        text.len() > 1 && text.starts_with('/') && !text.contains(' ')
    })
}

fn counted(literals: &Literals, wanted: impl Fn(&str) -> bool) -> Lines {
    let mut lines = Lines::new();
    for (package, texts) in literals {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for text in texts {
            if wanted(text) {
                *counts.entry(text).or_default() += 1;
            }
        }
        for (text, count) in counts {
            let times = match count {
                1 => String::new(),
                _ => format!(" ×{count}"),
            };
            add(&mut lines, package, quoted(text) + &times);
        }
    }
    lines
}

/// Words in capitals and `name=` of the text protocols.
pub fn spoken(literals: &Literals) -> Lines {
    let mut lines = Lines::new();
    let speakers = literals
        .iter()
        .filter(|(package, _)| SPEAKERS.contains(&package.as_str()));
    for (package, texts) in speakers {
        let found: BTreeSet<String> = texts.iter().flat_map(|text| protocol(text)).collect();
        for word in found.iter().filter(|word| !is_variable(word)) {
            add(&mut lines, package, quoted(word));
        }
    }
    lines
}

/// The words of one literal: `OPEN`, `LET-IN`, `cap-s=`.
fn protocol(text: &str) -> Vec<String> {
    let inside = |letter: char| letter.is_ascii_alphanumeric() || "_-".contains(letter);
    let mut words = Vec::new();
    let mut rest = text;
    while let Some(from) = rest.find(inside) {
        let end = rest[from..].find(|letter| !inside(letter));
        let end = end.map_or(rest.len(), |end| from + end);
        let word = rest[from..end].trim_matches(|mark| mark == '-' || mark == '_');
        let capitals = word.chars().filter(char::is_ascii_uppercase).count();
        if capitals > 1 && !word.chars().any(|letter| letter.is_ascii_lowercase()) {
            words.push(word.to_string());
        } else if is_assigned(&rest[end..])
            && word.starts_with(|first: char| first.is_ascii_lowercase())
        {
            words.push(format!("{word}="));
        }
        rest = &rest[end..];
    }
    words
}

/// Whether `=` follows with a value, and no quoted one as in HTML.
fn is_assigned(rest: &str) -> bool {
    rest.strip_prefix('=')
        .is_some_and(|value| !value.starts_with(['"', '\'']))
}

/// Variables of the environment, wherever a literal names one, and also in attributes.
pub fn variables(sources: &[Source]) -> Lines {
    let mut lines = Lines::new();
    for source in sources {
        let mut found = Vec::new();
        everything(source.tokens.clone(), &mut found);
        for name in found.iter().filter(|name| is_variable(name)) {
            let key = (source.package.clone(), quoted(name));
            lines.insert(key, 1);
        }
    }
    lines
}

fn everything(tokens: TokenStream, found: &mut Vec<String>) {
    for token in tokens {
        match &token {
            TokenTree::Group(group) => everything(group.stream(), found),
            TokenTree::Literal(literal) => {
                found.push(literal.to_string().trim_matches('"').to_string());
            }
            _ => {}
        }
    }
}

fn is_variable(name: &str) -> bool {
    let own = name
        .strip_prefix("NODE_")
        .or_else(|| name.strip_prefix("VIOLETWIND_"));
    let form = |rest: &str| {
        !rest.is_empty()
            && rest
                .chars()
                .all(|letter| letter.is_ascii_uppercase() || letter == '_')
    };
    own.is_some_and(form) || ["TMPDIR", "LD_PRELOAD"].contains(&name)
}

/// Names of files and sockets, and marks at the start of files and connections, that still stand in their crate.
pub fn stored(literals: &Literals) -> Lines {
    standing(literals, &STORED)
}

/// Texts that other programs, tests and operators look for, that still stand in their crate.
pub fn matched(literals: &Literals) -> Lines {
    standing(literals, &MATCHED)
}

fn standing(literals: &Literals, names: &[(&str, &str)]) -> Lines {
    let mut lines = Lines::new();
    for (package, name) in names {
        let part = |text: &String| text.contains(name);
        if literals
            .get(*package)
            .is_some_and(|texts| texts.iter().any(part))
        {
            add(&mut lines, package, quoted(name));
        }
    }
    lines
}
