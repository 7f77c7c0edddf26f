//! Sections that are read key by key; what was asked for is what is known.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use crate::tree::{ConfigTree, Node, Value};

/// How alike an unknown key must be to a known one to be taken for it.
const MIN_HINT_SIMILARITY: f64 = 0.75;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// `FILE:LINE`, `environment NAME` or `--set KEY`.
    pub location: String,
    pub key: String,
    pub message: String,
    /// What was probably meant.
    pub hint: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: ", self.location)?;
        if !self.key.is_empty() {
            write!(out, "`{}`: ", self.key)?;
        }
        out.write_str(&self.message)?;
        match &self.hint {
            Some(hint) => write!(out, " ({hint})"),
            None => Ok(()),
        }
    }
}

/// All that is wrong, in the order of places.
#[derive(Clone, Debug, Default)]
pub struct Problems(Rc<RefCell<Vec<Problem>>>);

impl Problems {
    pub fn add(&self, problem: Problem) {
        self.0.borrow_mut().push(problem);
    }

    pub fn extend(&self, problems: impl IntoIterator<Item = Problem>) {
        self.0.borrow_mut().extend(problems);
    }

    /// The problems, those of one file by line.
    pub fn into_vec(self) -> Vec<Problem> {
        let mut problems = self.0.take();
        let line = |problem: &Problem| -> (String, u64) {
            match problem.location.rsplit_once(':') {
                Some((name, line)) => (name.to_string(), line.parse().unwrap_or(0)),
                None => (problem.location.clone(), 0),
            }
        };
        problems.sort_by_cached_key(line);
        problems
    }
}

/// A table of the file, or none where the file has none.
#[derive(Debug)]
pub struct Section<'a> {
    path: String,
    location: Rc<str>,
    table: Option<&'a BTreeMap<String, Node>>,
    known_keys: RefCell<Vec<String>>,
    problems: Problems,
}

impl<'a> Section<'a> {
    /// The whole file.
    pub fn root(tree: &'a ConfigTree, problems: &Problems) -> Self {
        let table = match &tree.root.value {
            Value::Table(table) => Some(table),
            _ => None,
        };
        Self {
            path: String::new(),
            location: tree.root.location.clone(),
            table,
            known_keys: RefCell::default(),
            problems: problems.clone(),
        }
    }

    /// Whether the file has it at all.
    pub fn is_present(&self) -> bool {
        self.table.is_some()
    }

    /// Whether a key is given, so that its absence can mean something else than a default.
    pub fn has_key(&self, name: &str) -> bool {
        self.known_keys.borrow_mut().push(name.to_string());
        self.table.is_some_and(|table| table.contains_key(name))
    }

    /// Where it stands.
    pub fn location(&self) -> &str {
        &self.location
    }

    fn key_path(&self, name: &str) -> String {
        match self.path.as_str() {
            "" => name.to_string(),
            path => format!("{path}.{name}"),
        }
    }

    fn node(&self, name: &str) -> Option<&'a Node> {
        self.known_keys.borrow_mut().push(name.to_string());
        self.table?.get(name)
    }

    /// Tells what is wrong with a key; its own place counts, or that of the section.
    pub fn report_problem(&self, name: &str, what: impl Into<String>) {
        let node = self.table.and_then(|table| table.get(name));
        self.problems.add(Problem {
            location: node
                .map_or(&self.location, |node| &node.location)
                .to_string(),
            key: self.key_path(name),
            message: what.into(),
            hint: None,
        });
    }

    fn read<T>(
        &self,
        name: &str,
        expected: &str,
        read: impl FnOnce(&'a Value) -> Option<T>,
    ) -> Option<T> {
        let node = self.node(name)?;
        let value = read(&node.value);
        if value.is_none() {
            self.report_problem(
                name,
                format!("expected {expected}, found {}", describe_value(&node.value)),
            );
        }
        value
    }

    fn check_range<T: PartialOrd + Copy>(
        &self,
        name: &str,
        value: T,
        range: &RangeInclusive<T>,
        show: impl Fn(T) -> String,
    ) -> bool {
        let within = range.contains(&value);
        if !within {
            let (from, to) = (show(*range.start()), show(*range.end()));
            self.report_problem(name, format!("{} is not from {from} to {to}", show(value)));
        }
        within
    }

    pub fn text(&self, name: &str) -> Option<String> {
        self.read(name, "a text", |value| match value {
            Value::Text(text) => Some(text.clone()),
            _ => None,
        })
    }

    /// A text that must be there.
    pub fn required_text(&self, name: &str) -> String {
        if self.table.is_some_and(|table| !table.contains_key(name)) {
            self.report_problem(name, "expected a text, found nothing");
        }
        self.text(name).unwrap_or_default()
    }

    pub fn flag(&self, name: &str, default: bool) -> bool {
        let value = self.read(name, "true or false", |value| match value {
            Value::Bool(flag) => Some(*flag),
            _ => None,
        });
        value.unwrap_or(default)
    }

    pub fn int(&self, name: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let value = self.read(name, "a whole number", |value| match value {
            Value::Int(number) => u64::try_from(*number).ok(),
            _ => None,
        });
        let sound = value.filter(|value| self.check_range(name, *value, &range, |n| n.to_string()));
        sound.unwrap_or(default)
    }

    pub fn number(&self, name: &str, range: RangeInclusive<f64>, default: f64) -> f64 {
        let value = self.read(name, "a number", |value| match value {
            Value::Int(number) => Some(*number as f64),
            Value::Float(number) => Some(*number),
            _ => None,
        });
        let sound = value.filter(|value| self.check_range(name, *value, &range, |n| n.to_string()));
        sound.unwrap_or(default)
    }

    /// A span of time, such as `"300ms"`, `"4s"`, `"10m"` or `"1h"`.
    pub fn duration(
        &self,
        name: &str,
        range: RangeInclusive<Duration>,
        default: Duration,
    ) -> Duration {
        let value = self.read(
            name,
            "a span such as \"300ms\" or \"4s\"",
            |value| match value {
                Value::Text(text) => parse_duration(text),
                _ => None,
            },
        );
        let sound = value.filter(|value| self.check_range(name, *value, &range, format_duration));
        sound.unwrap_or(default)
    }

    /// A value in a form that `parse` understands.
    pub fn parse_with<T>(
        &self,
        name: &str,
        expected: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.read(name, expected, |value| match value {
            Value::Text(text) => parse(text),
            _ => None,
        })
    }

    /// One of some words.
    pub fn choice<T: Clone>(&self, name: &str, words: &[(&str, T)], default: T) -> T {
        let names: Vec<String> = words
            .iter()
            .map(|(word, _)| format!("\"{word}\""))
            .collect();
        let expected = names.join(" or ");
        let value = self.parse_with(name, &expected, |text| {
            let (_, of) = words.iter().find(|(word, _)| *word == text)?;
            Some(of.clone())
        });
        value.unwrap_or(default)
    }

    pub fn text_list(&self, name: &str) -> Vec<String> {
        let texts = self.read(name, "a list of texts", |value| match value {
            Value::List(items) => items
                .iter()
                .map(|item| match &item.value {
                    Value::Text(text) => Some(text.clone()),
                    _ => None,
                })
                .collect(),
            _ => None,
        });
        texts.unwrap_or_default()
    }

    /// A table of names and texts, whatever the names.
    pub fn text_map(&self, name: &str) -> BTreeMap<String, String> {
        let section = self.section(name);
        let keys = section.table.into_iter().flat_map(|table| table.keys());
        keys.filter_map(|key| Some((key.clone(), section.text(key)?)))
            .collect()
    }

    pub fn section(&self, name: &str) -> Section<'a> {
        let table = self.read(name, "a section", |value| match value {
            Value::Table(table) => Some(table),
            _ => None,
        });
        let node = self.table.and_then(|table| table.get(name));
        Section {
            path: self.key_path(name),
            location: node.map_or(&self.location, |node| &node.location).clone(),
            table,
            known_keys: RefCell::default(),
            problems: self.problems.clone(),
        }
    }

    /// The sections of a list, as `[[NAME]]` gives them.
    pub fn sections(&self, name: &str) -> Vec<Section<'a>> {
        let expected = format!("sections headed `[[{name}]]`");
        let list = self.read(name, &expected, |value| match value {
            Value::List(list) => Some(list),
            _ => None,
        });
        let mut sections = Vec::new();
        for (at, node) in list.into_iter().flatten().enumerate() {
            let path = self.key_path(&format!("{name}.{at}"));
            let Value::Table(table) = &node.value else {
                self.report_problem(
                    name,
                    format!("expected {expected}, found {}", describe_value(&node.value)),
                );
                continue;
            };
            sections.push(Section {
                path,
                location: node.location.clone(),
                table: Some(table),
                known_keys: RefCell::default(),
                problems: self.problems.clone(),
            });
        }
        sections
    }

    /// Tells of keys that nothing asked for. Call it last.
    pub fn report_unknown_keys(&self) {
        let asked = self.known_keys.borrow();
        for (name, node) in self.table.into_iter().flatten() {
            if asked.contains(name) {
                continue;
            }
            let alike = |known: &&String| strsim::jaro_winkler(name, known);
            let nearest = asked
                .iter()
                .filter(|known| alike(known) >= MIN_HINT_SIMILARITY)
                .max_by(|one, two| alike(one).total_cmp(&alike(two)));
            self.problems.add(Problem {
                location: node.location.to_string(),
                key: self.key_path(name),
                message: "no such key".into(),
                hint: nearest.map(|known| format!("did you mean `{known}`?")),
            });
        }
    }
}

fn describe_value(value: &Value) -> String {
    match value {
        Value::Text(text) => format!("\"{}\"", text.chars().take(40).collect::<String>()),
        Value::Int(number) => number.to_string(),
        Value::Float(number) => number.to_string(),
        Value::Bool(flag) => flag.to_string(),
        Value::List(_) => "a list".into(),
        Value::Table(_) => "a section".into(),
        Value::Datetime => "a date".into(),
    }
}

fn parse_duration(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| c.is_ascii_alphabetic())?;
    let number: f64 = text[..split].trim().parse().ok()?;
    let unit = match &text[split..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(number * unit).ok()
}

/// A span as the file writes it, to the microsecond.
pub fn format_duration(span: Duration) -> String {
    match span.as_millis() {
        _ if !span.as_micros().is_multiple_of(1000) || span.is_zero() => {
            format!("{}ms", span.as_micros() as f64 / 1000.0)
        }
        ms if ms % 1000 != 0 => format!("{ms}ms"),
        ms if ms % 60_000 != 0 => format!("{}s", ms / 1000),
        ms => format!("{}m", ms / 60_000),
    }
}
