//! Sections that are read key by key. The keys that the program has read are the known ones; all others are reported.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use crate::tree::{ConfigTree, Node, Value};

/// Minimum Jaro-Winkler similarity of an unknown key to a known one for the known one to be suggested.
const MIN_HINT_SIMILARITY: f64 = 0.75;

/// One error in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// `FILE:LINE`, `environment NAME` or `--set KEY`.
    pub location: String,
    pub key: String,
    pub message: String,
    /// Suggested correction.
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

/// Collects the errors of a configuration; clones share one collection.
#[derive(Clone, Debug, Default)]
pub struct Problems(Rc<RefCell<Vec<Problem>>>);

impl Problems {
    pub fn add(&self, problem: Problem) {
        self.0.borrow_mut().push(problem);
    }

    pub fn extend(&self, problems: impl IntoIterator<Item = Problem>) {
        self.0.borrow_mut().extend(problems);
    }

    /// Returns the problems sorted by location, those of one file by line.
    pub fn into_vec(self) -> Vec<Problem> {
        let mut problems = self.0.take();
        let sort_key = |problem: &Problem| -> (String, u64) {
            match problem.location.rsplit_once(':') {
                Some((name, line)) => (name.to_string(), line.parse().unwrap_or(0)),
                None => (problem.location.clone(), 0),
            }
        };
        problems.sort_by_cached_key(sort_key);
        problems
    }
}

/// A table of a configuration, which may be absent. Reading a key marks it as known.
#[derive(Debug)]
pub struct Section<'a> {
    path: String,
    location: Rc<str>,
    table: Option<&'a BTreeMap<String, Node>>,
    known_keys: RefCell<Vec<String>>,
    problems: Problems,
}

impl<'a> Section<'a> {
    /// Returns the root section of a tree; `problems` collects the errors of all its sections.
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

    /// Whether the configuration contains this section.
    pub fn is_present(&self) -> bool {
        self.table.is_some()
    }

    /// Whether a key is set, for keys whose absence is different from a default value.
    pub fn has_key(&self, name: &str) -> bool {
        self.known_keys.borrow_mut().push(name.to_string());
        self.table.is_some_and(|table| table.contains_key(name))
    }

    /// Returns the location of the section: `FILE:LINE`, `environment NAME` or `--set KEY`.
    pub fn location(&self) -> &str {
        &self.location
    }

    /// Returns the full path of a key of this section.
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

    /// Adds a problem for a key, with the key's location or, if it is not set, that of the section.
    pub fn report_problem(&self, name: &str, message: impl Into<String>) {
        let node = self.table.and_then(|table| table.get(name));
        self.problems.add(Problem {
            location: node
                .map_or(&self.location, |node| &node.location)
                .to_string(),
            key: self.key_path(name),
            message: message.into(),
            hint: None,
        });
    }

    /// Reads a key and converts its value; reports a problem if `read` returns `None`.
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

    /// Reports a problem if a value is outside a range. Returns whether it is within.
    fn check_range<T: PartialOrd + Copy>(
        &self,
        name: &str,
        value: T,
        range: &RangeInclusive<T>,
        show: impl Fn(T) -> String,
    ) -> bool {
        let is_within = range.contains(&value);
        if !is_within {
            let (start, end) = (show(*range.start()), show(*range.end()));
            self.report_problem(
                name,
                format!("{} is not from {start} to {end}", show(value)),
            );
        }
        is_within
    }

    /// Reads a string.
    pub fn text(&self, name: &str) -> Option<String> {
        self.read(name, "a text", |value| match value {
            Value::Text(text) => Some(text.clone()),
            _ => None,
        })
    }

    /// Reads a string that must be set.
    pub fn required_text(&self, name: &str) -> String {
        if self.table.is_some_and(|table| !table.contains_key(name)) {
            self.report_problem(name, "expected a text, found nothing");
        }
        self.text(name).unwrap_or_default()
    }

    /// Reads a boolean.
    pub fn flag(&self, name: &str, default: bool) -> bool {
        let value = self.read(name, "true or false", |value| match value {
            Value::Bool(flag) => Some(*flag),
            _ => None,
        });
        value.unwrap_or(default)
    }

    /// Reads an integer within a range.
    pub fn int(&self, name: &str, range: RangeInclusive<u64>, default: u64) -> u64 {
        let value = self.read(name, "a whole number", |value| match value {
            Value::Int(number) => u64::try_from(*number).ok(),
            _ => None,
        });
        let valid_value =
            value.filter(|value| self.check_range(name, *value, &range, |n| n.to_string()));
        valid_value.unwrap_or(default)
    }

    /// Reads a number within a range.
    pub fn number(&self, name: &str, range: RangeInclusive<f64>, default: f64) -> f64 {
        let value = self.read(name, "a number", |value| match value {
            Value::Int(number) => Some(*number as f64),
            Value::Float(number) => Some(*number),
            _ => None,
        });
        let valid_value =
            value.filter(|value| self.check_range(name, *value, &range, |n| n.to_string()));
        valid_value.unwrap_or(default)
    }

    /// Reads a duration within a range, such as `"300ms"`, `"4s"`, `"10m"` or `"1h"`.
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
        let valid_value =
            value.filter(|value| self.check_range(name, *value, &range, format_duration));
        valid_value.unwrap_or(default)
    }

    /// Reads a string and converts it with `parse`; `expected` describes valid values in the error message.
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

    /// Reads one of several names and returns the value that belongs to it.
    pub fn choice<T: Clone>(&self, name: &str, choices: &[(&str, T)], default: T) -> T {
        let quoted_names: Vec<String> = choices
            .iter()
            .map(|(choice_name, _)| format!("\"{choice_name}\""))
            .collect();
        let expected = quoted_names.join(" or ");
        let value = self.parse_with(name, &expected, |text| {
            let (_, choice_value) = choices
                .iter()
                .find(|(choice_name, _)| *choice_name == text)?;
            Some(choice_value.clone())
        });
        value.unwrap_or(default)
    }

    /// Reads a list of strings.
    pub fn text_list(&self, name: &str) -> Vec<String> {
        let values = self.read(name, "a list of texts", |value| match value {
            Value::List(items) => items
                .iter()
                .map(|item| match &item.value {
                    Value::Text(text) => Some(text.clone()),
                    _ => None,
                })
                .collect(),
            _ => None,
        });
        values.unwrap_or_default()
    }

    /// Reads a table of strings with arbitrary keys.
    pub fn text_map(&self, name: &str) -> BTreeMap<String, String> {
        let section = self.section(name);
        let keys = section.table.into_iter().flat_map(|table| table.keys());
        keys.filter_map(|key| Some((key.clone(), section.text(key)?)))
            .collect()
    }

    /// Returns the section of this name, which may be absent.
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

    /// Returns the sections of a list, as written with `[[NAME]]`.
    pub fn sections(&self, name: &str) -> Vec<Section<'a>> {
        let expected = format!("sections headed `[[{name}]]`");
        let list = self.read(name, &expected, |value| match value {
            Value::List(list) => Some(list),
            _ => None,
        });
        let mut sections = Vec::new();
        for (index, node) in list.into_iter().flatten().enumerate() {
            let path = self.key_path(&format!("{name}.{index}"));
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

    /// Reports all keys that were not read. Must be called after all keys were read.
    pub fn report_unknown_keys(&self) {
        let known_keys = self.known_keys.borrow();
        for (name, node) in self.table.into_iter().flatten() {
            if known_keys.contains(name) {
                continue;
            }
            let similarity = |known_key: &&String| strsim::jaro_winkler(name, known_key);
            let nearest = known_keys
                .iter()
                .filter(|known_key| similarity(known_key) >= MIN_HINT_SIMILARITY)
                .max_by(|left, right| similarity(left).total_cmp(&similarity(right)));
            self.problems.add(Problem {
                location: node.location.to_string(),
                key: self.key_path(name),
                message: "no such key".into(),
                hint: nearest.map(|known_key| format!("did you mean `{known_key}`?")),
            });
        }
    }
}

/// Returns a value as shown in error messages; strings are cut to 40 characters.
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

/// Parses a number with the unit `ms`, `s`, `m` or `h`.
fn parse_duration(text: &str) -> Option<Duration> {
    let unit_start = text.find(|c: char| c.is_ascii_alphabetic())?;
    let number: f64 = text[..unit_start].trim().parse().ok()?;
    let unit = match &text[unit_start..] {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        _ => return None,
    };
    Duration::try_from_secs_f64(number * unit).ok()
}

/// Formats a duration as in a configuration file, with microsecond precision.
pub fn format_duration(duration: Duration) -> String {
    match duration.as_millis() {
        _ if !duration.as_micros().is_multiple_of(1000) || duration.is_zero() => {
            format!("{}ms", duration.as_micros() as f64 / 1000.0)
        }
        ms if ms % 1000 != 0 => format!("{ms}ms"),
        ms if ms % 60_000 != 0 => format!("{}s", ms / 1000),
        ms => format!("{}m", ms / 60_000),
    }
}
