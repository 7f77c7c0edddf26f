//! Tree of configuration values with their locations.

use std::collections::BTreeMap;
use std::rc::Rc;

use toml_edit::{Document, Item, TableLike, Value as Toml};

use crate::section::Problem;

/// Maximum length of a file.
const MAX_FILE_BYTES: usize = 1 << 20;
/// Maximum number of keys in the path of a value that a layer sets.
const MAX_PATH_DEPTH: usize = 8;

/// A configuration value.
#[derive(Clone, Debug)]
pub(crate) enum Value {
    Text(String),
    Int(i64),
    Float(f64),
    Bool(bool),
    List(Vec<Node>),
    Table(BTreeMap<String, Node>),
    /// A date, which no key accepts.
    Datetime,
}

/// A value and its location.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub value: Value,
    /// `FILE:LINE`, `environment NAME` or `--set KEY`.
    pub location: Rc<str>,
}

/// The values of a configuration file and of the layers over it.
#[derive(Clone, Debug)]
pub struct ConfigTree {
    pub(crate) root: Node,
}

impl ConfigTree {
    /// Creates a tree without a file, for which all values are the defaults.
    pub fn empty() -> Self {
        Self {
            root: Node {
                value: Value::Table(BTreeMap::new()),
                location: "defaults".into(),
            },
        }
    }

    /// Parses the text of a file. Errors use `name` as the name of the file.
    pub fn parse(name: &str, text: &str) -> Result<Self, Problem> {
        let problem = |offset: Option<usize>, message: String| Problem {
            location: format_location(name, text, offset).to_string(),
            key: String::new(),
            message,
            hint: None,
        };
        if text.len() > MAX_FILE_BYTES {
            return Err(problem(None, format!("more than {MAX_FILE_BYTES} bytes")));
        }
        let document: Document<&str> = Document::parse(text).map_err(|error| {
            let offset = error.span().map(|span| span.start);
            problem(offset, error.message().trim().replace('\n', ", "))
        })?;
        let table = read_table(name, text, document.as_table());
        Ok(Self {
            root: Node {
                value: Value::Table(table),
                location: format_location(name, text, None),
            },
        })
    }

    /// Overrides the value at a path such as `log.format` or `source.0.address`. The text is parsed as a TOML value if
    /// possible, and used as a string otherwise.
    pub fn set_value(&mut self, path: &str, text: &str, location: &str) -> Result<(), Problem> {
        let keys: Vec<&str> = path.split('.').collect();
        let problem = |message: &str| Problem {
            location: location.to_string(),
            key: path.to_string(),
            message: message.to_string(),
            hint: None,
        };
        if keys.len() > MAX_PATH_DEPTH || keys.iter().any(|key| key.is_empty()) {
            return Err(problem("no path of keys"));
        }
        let location: Rc<str> = location.into();
        let value = match text.parse::<Toml>() {
            Ok(parsed) => convert_value("", "", &parsed, &location),
            Err(_) => Value::Text(text.to_string()),
        };
        let mut node = &mut self.root;
        for key in keys {
            node = match &mut node.value {
                Value::Table(table) => table.entry(key.to_string()).or_insert_with(|| Node {
                    value: Value::Table(BTreeMap::new()),
                    location: location.clone(),
                }),
                Value::List(list) => {
                    let index: Option<usize> = key.parse().ok();
                    match index.and_then(|index| list.get_mut(index)) {
                        Some(node) => node,
                        None => return Err(problem("no such place in the list")),
                    }
                }
                _ => return Err(problem("a key within what is no section")),
            };
        }
        *node = Node { value, location };
        Ok(())
    }

    /// Overrides values with environment variables. Their names are `prefix` and the path in capitals, with two
    /// underscores between keys, as in `VIOLETWIND__LOG__FORMAT`. Returns a problem for each variable that can't be
    /// applied.
    pub fn set_from_env(
        &mut self,
        prefix: &str,
        variables: impl Iterator<Item = (String, String)>,
    ) -> Vec<Problem> {
        let mut overrides: Vec<(String, String)> = variables
            .filter(|(name, _)| name.starts_with(prefix))
            .collect();
        overrides.sort();
        let mut problems = Vec::new();
        for (name, value) in overrides {
            let path = name[prefix.len()..].to_ascii_lowercase().replace("__", ".");
            let location = format!("environment {name}");
            problems.extend(self.set_value(&path, &value, &location).err());
        }
        problems
    }
}

/// Returns `NAME:LINE` for an offset in a file's text, or the name alone without an offset.
fn format_location(name: &str, text: &str, offset: Option<usize>) -> Rc<str> {
    match offset {
        Some(offset) => {
            let before = &text.as_bytes()[..offset.min(text.len())];
            let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
            format!("{name}:{line}").into()
        }
        None => name.into(),
    }
}

/// Converts a parsed TOML table, with the locations of its values.
fn read_table(name: &str, text: &str, table: &dyn TableLike) -> BTreeMap<String, Node> {
    let node = |item: &Item, key_offset: Option<usize>| -> Option<Node> {
        let offset = item.span().map(|span| span.start).or(key_offset);
        let location = format_location(name, text, offset);
        let value = match item {
            Item::None => return None,
            Item::Value(value) => convert_value(name, text, value, &location),
            Item::Table(inner) => Value::Table(self::read_table(name, text, inner)),
            Item::ArrayOfTables(tables) => Value::List(
                tables
                    .iter()
                    .map(|inner| Node {
                        value: Value::Table(self::read_table(name, text, inner)),
                        location: format_location(name, text, inner.span().map(|span| span.start)),
                    })
                    .collect(),
            ),
        };
        Some(Node { value, location })
    };
    let keys = table.iter().map(|(key, item)| {
        let key_offset = table.key(key).and_then(|key| key.span());
        (
            key.to_string(),
            node(item, key_offset.map(|span| span.start)),
        )
    });
    keys.filter_map(|(key, node)| Some((key, node?))).collect()
}

/// Converts a parsed TOML value. Values within it have `location` unless their own offset in the file is known.
fn convert_value(name: &str, text: &str, value: &Toml, location: &Rc<str>) -> Value {
    match value {
        Toml::String(text) => Value::Text(text.value().clone()),
        Toml::Integer(number) => Value::Int(*number.value()),
        Toml::Float(number) => Value::Float(*number.value()),
        Toml::Boolean(flag) => Value::Bool(*flag.value()),
        Toml::Datetime(_) => Value::Datetime,
        Toml::Array(items) => Value::List(
            items
                .iter()
                .map(|item| {
                    let offset = item.span().map(|span| span.start);
                    let item_location = match offset {
                        Some(_) if !text.is_empty() => self::format_location(name, text, offset),
                        _ => location.clone(),
                    };
                    Node {
                        value: convert_value(name, text, item, &item_location),
                        location: item_location,
                    }
                })
                .collect(),
        ),
        Toml::InlineTable(inner) if !text.is_empty() => Value::Table(read_table(name, text, inner)),
        Toml::InlineTable(inner) => Value::Table(
            inner
                .iter()
                .map(|(key, item)| {
                    let node = Node {
                        value: convert_value(name, text, item, location),
                        location: location.clone(),
                    };
                    (key.to_string(), node)
                })
                .collect(),
        ),
    }
}
