//! Values with where they come from.

use std::collections::BTreeMap;
use std::rc::Rc;

use toml_edit::{Document, Item, TableLike, Value as Toml};

use crate::section::Problem;

/// The longest file, and the deepest nesting that a layer may add.
const MAX_FILE_BYTES: usize = 1 << 20;
const MAX_PATH_DEPTH: usize = 8;

#[derive(Clone, Debug)]
pub(crate) enum Value {
    Text(String),
    Int(i64),
    Float(f64),
    Bool(bool),
    List(Vec<Node>),
    Table(BTreeMap<String, Node>),
    /// A date, which no key takes.
    Datetime,
}

#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub value: Value,
    /// `FILE:LINE`, `environment NAME` or `--set KEY`.
    pub location: Rc<str>,
}

/// A file and the layers over it.
#[derive(Clone, Debug)]
pub struct ConfigTree {
    pub(crate) root: Node,
}

impl ConfigTree {
    /// No file: all values are the defaults.
    pub fn empty() -> Self {
        Self {
            root: Node {
                value: Value::Table(BTreeMap::new()),
                location: "defaults".into(),
            },
        }
    }

    /// Reads a file's text; `name` is what errors call it.
    pub fn parse(name: &str, text: &str) -> Result<Self, Problem> {
        let problem = |at: Option<usize>, what: String| Problem {
            location: format_location(name, text, at).to_string(),
            key: String::new(),
            message: what,
            hint: None,
        };
        if text.len() > MAX_FILE_BYTES {
            return Err(problem(None, format!("more than {MAX_FILE_BYTES} bytes")));
        }
        let document: Document<&str> = Document::parse(text).map_err(|error| {
            let at = error.span().map(|span| span.start);
            problem(at, error.message().trim().replace('\n', ", "))
        })?;
        let table = read_table(name, text, document.as_table());
        Ok(Self {
            root: Node {
                value: Value::Table(table),
                location: format_location(name, text, None),
            },
        })
    }

    /// Puts a value over what the file says, at a path such as `log.format` or `source.0.address`. The
    /// text is read as a TOML value if it is one, else taken as it is.
    pub fn set_value(&mut self, path: &str, text: &str, place: &str) -> Result<(), Problem> {
        let keys: Vec<&str> = path.split('.').collect();
        let problem = |what: &str| Problem {
            location: place.to_string(),
            key: path.to_string(),
            message: what.to_string(),
            hint: None,
        };
        if keys.len() > MAX_PATH_DEPTH || keys.iter().any(|key| key.is_empty()) {
            return Err(problem("no path of keys"));
        }
        let place: Rc<str> = place.into();
        let value = match text.parse::<Toml>() {
            Ok(parsed) => convert_value("", "", &parsed, &place),
            Err(_) => Value::Text(text.to_string()),
        };
        let mut node = &mut self.root;
        for key in keys {
            node = match &mut node.value {
                Value::Table(table) => table.entry(key.to_string()).or_insert_with(|| Node {
                    value: Value::Table(BTreeMap::new()),
                    location: place.clone(),
                }),
                Value::List(list) => {
                    let at: Option<usize> = key.parse().ok();
                    match at.and_then(|at| list.get_mut(at)) {
                        Some(node) => node,
                        None => return Err(problem("no such place in the list")),
                    }
                }
                _ => return Err(problem("a key within what is no section")),
            };
        }
        *node = Node {
            value,
            location: place,
        };
        Ok(())
    }

    /// Layers variables of the environment over the file: `PREFIX` and then the path, in capitals, with
    /// two underscores between keys, as in `VIOLETWIND__LOG__FORMAT`.
    pub fn set_from_env(
        &mut self,
        prefix: &str,
        variables: impl Iterator<Item = (String, String)>,
    ) -> Vec<Problem> {
        let mut found: Vec<(String, String)> = variables
            .filter(|(name, _)| name.starts_with(prefix))
            .collect();
        found.sort();
        let mut problems = Vec::new();
        for (name, value) in found {
            let path = name[prefix.len()..].to_ascii_lowercase().replace("__", ".");
            let place = format!("environment {name}");
            problems.extend(self.set_value(&path, &value, &place).err());
        }
        problems
    }
}

fn format_location(name: &str, text: &str, at: Option<usize>) -> Rc<str> {
    match at {
        Some(at) => {
            let before = &text.as_bytes()[..at.min(text.len())];
            let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
            format!("{name}:{line}").into()
        }
        None => name.into(),
    }
}

fn read_table(name: &str, text: &str, table: &dyn TableLike) -> BTreeMap<String, Node> {
    let node = |item: &Item, key_at: Option<usize>| -> Option<Node> {
        let at = item.span().map(|span| span.start).or(key_at);
        let here = format_location(name, text, at);
        let value = match item {
            Item::None => return None,
            Item::Value(value) => convert_value(name, text, value, &here),
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
        Some(Node {
            value,
            location: here,
        })
    };
    let keys = table.iter().map(|(key, item)| {
        let key_at = table.key(key).and_then(|key| key.span());
        (key.to_string(), node(item, key_at.map(|span| span.start)))
    });
    keys.filter_map(|(key, node)| Some((key, node?))).collect()
}

fn convert_value(name: &str, text: &str, value: &Toml, place: &Rc<str>) -> Value {
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
                    let at = item.span().map(|span| span.start);
                    let here = match at {
                        Some(_) if !text.is_empty() => self::format_location(name, text, at),
                        _ => place.clone(),
                    };
                    Node {
                        value: convert_value(name, text, item, &here),
                        location: here,
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
                        value: convert_value(name, text, item, place),
                        location: place.clone(),
                    };
                    (key.to_string(), node)
                })
                .collect(),
        ),
    }
}
