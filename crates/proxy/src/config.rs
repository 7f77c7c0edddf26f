//! The configuration from the environment and the platform's file, read at the start and at each reload.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::env;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::Value;
use violetwind_balancer::api::{Seconds, Settings};
use violetwind_common::{NameTable, NamedValues, merge_settings, read_settings};

use crate::limits::Limits;

/// The configuration in force, which a reload replaces.
#[derive(Clone, Debug)]
pub struct ActiveConfig(Rc<RefCell<Rc<Config>>>);

impl ActiveConfig {
    pub fn new(config: Rc<Config>) -> Self {
        Self(Rc::new(RefCell::new(config)))
    }

    pub fn get(&self) -> Rc<Config> {
        self.0.borrow().clone()
    }

    pub fn set(&self, config: Rc<Config>) {
        self.0.replace(config);
    }
}

/// The platform's configuration of one proxy.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The address for operators' calls.
    pub management: Option<SocketAddr>,
    pub seed: u64,
    pub max_sockets: u64,
    pub memory_mb: u64,
    /// The parsed file.
    file: Value,
    pub settings: Settings,
    pub names: NameTable,
    pub connect_timeout: Option<Seconds>,
    /// The longest time that a client of any class waits, and the time for each class, by index.
    pub longest_deadline: Seconds,
    pub class_deadlines: Vec<Seconds>,
    pub load_report_source: LoadReportSource,
    /// Servers report their message delay as well as connections' loads.
    pub servers_report_delay: bool,
}

/// Settings from which limits and sockets are set up at the start, so that a change needs a restart: JSON pointer below
/// `settings`, and name.
const RESTART_ONLY_SETTINGS: [(&str, &str); 5] = [
    ("/reporting", "settings.reporting"),
    ("/fleet-size", "settings.fleet-size"),
    (
        "/permissions/connect-timeout-s",
        "settings.permissions.connect-timeout-s",
    ),
    ("/rules/ask-within-s", "settings.rules.ask-within-s"),
    (
        "/family-info/tells-delay",
        "settings.family-info.tells-delay",
    ),
];

/// Where servers report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    /// In their answers to requests.
    Answers,
    /// In their answers to probes.
    Probes,
    /// Nowhere.
    Disabled,
}

/// The nested settings, flattened to the names that they have in the simulator's protocol.
#[derive(Debug, Default)]
struct FlatSettings(BTreeMap<String, String>);

impl NamedValues for FlatSettings {
    fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }
}

impl FlatSettings {
    /// Adds a value and all values nested in it.
    fn add(&mut self, path: &str, value: &Value) {
        let child_path = |key: &str| match path {
            "" => key.to_string(),
            _ => format!("{path}.{key}"),
        };
        match value {
            Value::Object(fields) => {
                for (key, value) in fields {
                    self.add(&child_path(key), value);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(child_path("count"), items.len().to_string());
                for (index, item) in items.iter().enumerate() {
                    self.add(&child_path(&index.to_string()), item);
                }
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(scalar_text).collect();
                self.0.insert(path.to_string(), items.join(","));
            }
            Value::Null => {}
            _ => {
                self.0.insert(path.to_string(), scalar_text(value));
            }
        }
    }
}

/// A scalar value as text. Spaces and commas, which separate values in the simulator's protocol, become `_`.
fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}

impl Config {
    /// Reads the file that `NODE_CONFIG` names. The other environment variables take precedence over the file.
    pub fn from_env() -> Result<Self, String> {
        Self::read(env_variable)
    }

    /// Reads the file again to replace this configuration, as a whole or not at all. The file's address of discovery
    /// takes precedence over `NODE_DISCOVERY`, because it is newer than the environment of the start.
    pub fn reread(&self) -> Result<Self, String> {
        let new = Self::read(|name| env_variable(name).filter(|_| name != "NODE_DISCOVERY"))?;
        self.merge_reread(new)
    }

    /// Returns the new configuration with classes and tenants numbered as in this one. Fails if it lacks a key that
    /// this one has.
    fn merge_reread(&self, mut new: Self) -> Result<Self, String> {
        if let Some(key) = find_missing_key(&self.file, &new.file, "") {
            return Err(format!("`{key}` is missing"));
        }
        let reread = (new.settings.clone(), new.names.clone());
        let (settings, names, class_indices) =
            merge_settings((&self.settings, &self.names), reread)?;
        let mut deadlines = self.class_deadlines.clone();
        deadlines.resize(settings.classes.len(), self.longest_deadline);
        for (new_index, index) in class_indices.into_iter().enumerate() {
            deadlines[index] = new.class_deadlines[new_index];
        }
        (new.settings, new.names, new.class_deadlines) = (settings, names, deadlines);
        Ok(new)
    }

    fn read(overrides: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG is not set".to_string())?;
        let text = read_file(&path).map_err(|error| format!("{path}: {error}"))?;
        Self::parse(&text, overrides).map_err(|error| format!("{path}: {error}"))
    }

    /// The list of servers from the last run, in the format of discovery's answers.
    pub fn last_known_list(&self) -> &Value {
        &self.file["known"]
    }

    /// The names of the classes, by index.
    pub fn class_names(&self) -> Vec<String> {
        let classes = self.file["settings"]["request-classes"].as_array();
        let name = |class: &Value| class["name"].as_str().unwrap_or("").to_string();
        classes.into_iter().flatten().map(name).collect()
    }

    /// Whether both files have the same contents.
    pub fn has_same_file(&self, other: &Self) -> bool {
        self.file == other.file
    }

    /// Whether the settings for the balancer are the same in both files.
    pub fn has_same_settings(&self, other: &Self) -> bool {
        self.file["settings"] == other.file["settings"]
    }

    /// The keys that differ in another file and take effect only after a restart. `seed` and `known` are read only at a
    /// start; `discovery` and `settings` are applied by a reload, except for those settings that need a restart.
    pub fn keys_needing_restart<'a>(&'a self, other: &'a Self) -> Vec<&'a str> {
        let fields = |config: &'a Self| {
            config
                .file
                .as_object()
                .into_iter()
                .flat_map(|object| object.keys())
        };
        let mut names: Vec<&str> = fields(self)
            .chain(fields(other))
            .map(String::as_str)
            .collect();
        names.sort_unstable();
        names.dedup();
        names.retain(|name| {
            !["discovery", "known", "seed", "settings"].contains(name)
                && self.file[*name] != other.file[*name]
        });
        let settings =
            |config: &'a Self, path: &str| config.file["settings"].pointer(path).cloned();
        let changed_settings = RESTART_ONLY_SETTINGS
            .iter()
            .filter(|(path, _)| settings(self, path) != settings(other, path));
        names.extend(changed_settings.map(|(_, name)| *name));
        names
    }

    /// Parses a configuration file. `overrides` returns the environment variables that take precedence over its keys.
    pub fn parse(text: &str, overrides: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let json: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let text = |key: &str| {
            let value = json[key].as_str().map(str::to_string);
            value.ok_or_else(|| format!("expected the text `{key}`"))
        };
        let overridable_text =
            |variable: &str, key: &str| overrides(variable).map_or_else(|| text(key), Ok);
        let address = |variable: &str, key: &str| {
            let value = overridable_text(variable, key)?;
            value
                .parse()
                .map_err(|_| format!("{key} `{value}`: expected an address and a port"))
        };
        let management =
            match overrides("NODE_MANAGEMENT").is_some() || !json["management"].is_null() {
                true => Some(address("NODE_MANAGEMENT", "management")?),
                false => None,
            };
        let limit = |key: &str| {
            let value = json["limits"][key].as_u64();
            value.ok_or_else(|| format!("expected the whole number `limits.{key}`"))
        };
        let seed = text("seed")?;
        if !json["settings"].is_object() {
            return Err("expected the object `settings`".into());
        }
        check_positive(&json["settings"])?;
        check_not_negative(&json["settings"], "")?;
        check_unique_names(&json["settings"])?;
        let mut flat = FlatSettings::default();
        flat.add("", &json["settings"]);
        let (mut settings, names) =
            read_settings(&flat).map_err(|error| format!("settings: {error}"))?;
        // On sockets a message delay and a small load use the same keyword (`load_classifier.rs`): the load of a nearly
        // idle connection could be taken for a slow server, and the balancer would move other connections off it.
        settings.message_delay_target = None;
        let optional_seconds = |name: &str| {
            flat.get(name)
                .map(|_| flat.require_seconds(name))
                .transpose()
        };
        let class_deadline = |index| {
            Ok(optional_seconds(&format!("request-classes.{index}.deadline-s"))?.unwrap_or(2.0))
        };
        let deadlines = (0..settings.classes.len())
            .map(class_deadline)
            .collect::<Result<Vec<Seconds>, String>>()?;
        Ok(Self {
            name: overridable_text("NODE_NAME", "name")?,
            listen: address("NODE_LISTEN", "listen")?,
            discovery: address("NODE_DISCOVERY", "discovery")?,
            management,
            seed: u64::from_str_radix(&seed, 16)
                .map_err(|_| format!("seed `{seed}`: expected 16 hex digits"))?,
            max_sockets: limit("sockets")?,
            memory_mb: limit("memory_mb")?,
            connect_timeout: optional_seconds("permissions.connect-timeout-s")?,
            longest_deadline: deadlines.iter().copied().fold(0.0, f64::max),
            class_deadlines: deadlines,
            load_report_source: match flat.get("reporting.source") {
                Some("answers") => LoadReportSource::Answers,
                Some("probe") => LoadReportSource::Probes,
                _ => LoadReportSource::Disabled,
            },
            servers_report_delay: flat.flag("family-info.tells-delay")?,
            settings,
            names,
            file: json,
        })
    }
}

/// Checks that deadlines and the number of attempts are valid and above 0: otherwise no request would be served, or
/// attempts would never end.
fn check_positive(settings: &Value) -> Result<(), String> {
    let expected = |key: &str, value: &Value, kind: &str| {
        format!("settings.{key}: `{value}`: expected {kind} above 0")
    };
    let attempts = &settings["permissions"]["max-attempts"];
    if !attempts.is_null() && attempts.as_u64().is_none_or(|count| count == 0) {
        return Err(expected(
            "permissions.max-attempts",
            attempts,
            "a whole number",
        ));
    }
    let classes = settings["request-classes"].as_array();
    for (index, class) in classes.into_iter().flatten().enumerate() {
        let deadline = &class["deadline-s"];
        let is_valid = deadline
            .as_f64()
            .is_some_and(|secs| secs > 0.0 && secs.is_finite());
        if !deadline.is_null() && !is_valid {
            let key = format!("request-classes.{index}.deadline-s");
            return Err(expected(&key, deadline, "a number"));
        }
    }
    Ok(())
}

/// The numeric settings that are in use. Unknown settings are ignored, whatever their value.
const NUMERIC_KEYS: [&str; 19] = [
    "ask-within-s",
    "budget-free",
    "cold-from",
    "cold-s",
    "connect-timeout-s",
    "credit",
    "cross-zone",
    "deadline-s",
    "drain-grace-s",
    "fall-multiple",
    "fleet-size",
    "further-ratio",
    "max-retry-after-s",
    "over-share-worth",
    "overload-for-s",
    "probe",
    "resend-span-s",
    "target-s",
    "window-s",
];

/// Checks that no time, count, share or price is negative.
fn check_not_negative(value: &Value, path: &str) -> Result<(), String> {
    let child_path = |key: &str| match path {
        "" => key.to_string(),
        _ => format!("{path}.{key}"),
    };
    let is_known = NUMERIC_KEYS.contains(&path.rsplit('.').next().unwrap_or(path));
    match value {
        Value::Object(fields) => fields
            .iter()
            .try_for_each(|(key, value)| check_not_negative(value, &child_path(key))),
        Value::Array(items) => items.iter().enumerate().try_for_each(|(index, item)| {
            check_not_negative(item, &child_path(&index.to_string()))
        }),
        Value::Number(number) if is_known && number.as_f64().is_none_or(|n| n < 0.0) => Err(
            format!("settings.{path}: `{value}`: expected a number of 0 or more"),
        ),
        _ => Ok(()),
    }
}

/// Checks that no name occurs twice: two classes or tenants with the same name would be one for clients and two for the
/// balancer.
fn check_unique_names(settings: &Value) -> Result<(), String> {
    for key in ["request-classes", "orgs", "azs", "skus"] {
        let mut seen = BTreeSet::new();
        for (index, item) in settings[key].as_array().into_iter().flatten().enumerate() {
            let name = item.as_str().or_else(|| item["name"].as_str());
            if name.is_some_and(|name| !seen.insert(name)) {
                return Err(format!("settings.{key}.{index}: duplicate name"));
            }
        }
    }
    Ok(())
}

/// Returns the path of the first key that is in `old` and not in `new`. The items of a list may change, but each item
/// needs the keys that all items of the old list have.
fn find_missing_key(old: &Value, new: &Value, path: &str) -> Option<String> {
    let child_path = |key: &str| match path {
        "" => key.to_string(),
        _ => format!("{path}.{key}"),
    };
    match (old, new) {
        (Value::Object(old), new) => old.iter().find_map(|(key, value)| match new.get(key) {
            None | Some(Value::Null) if !value.is_null() => Some(child_path(key)),
            // The list of the last run is read only at a start.
            Some(_) if path.is_empty() && key == "known" => None,
            Some(new) => find_missing_key(value, new, &child_path(key)),
            None => None,
        }),
        (Value::Array(old), Value::Array(new)) if old.iter().all(Value::is_object) => {
            let mut items = old.iter().filter_map(Value::as_object);
            let first = items.next()?;
            let keys: Vec<&String> = first.keys().collect();
            let others: Vec<_> = items.collect();
            let common = keys
                .into_iter()
                .filter(|key| others.iter().all(|other| other.contains_key(*key)));
            let common: Vec<&String> = common.collect();
            new.iter().enumerate().find_map(|(index, item)| {
                let missing = common
                    .iter()
                    .find(|key| item.get(key).is_none_or(Value::is_null))?;
                Some(child_path(&format!("{index}.{missing}")))
            })
        }
        (Value::Array(_), new) if !new.is_array() => Some(path.to_string()),
        _ => None,
    }
}

/// The value of an environment variable; an empty one counts as not set.
fn env_variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|value| !value.is_empty())
}

/// Reads a text file of `MAX_CONFIG_BYTES` at most. Files that are not regular are rejected and the size is limited,
/// because a pipe or an endless device would block the program or exhaust its memory.
pub fn read_file(path: &str) -> Result<String, String> {
    let to_text = |error: std::io::Error| error.to_string();
    if !std::fs::metadata(path).map_err(to_text)?.is_file() {
        return Err("not a regular file".into());
    }
    let (mut content, max_bytes) = (String::new(), Limits::MAX_CONFIG_BYTES);
    let file = File::open(path).map_err(to_text)?;
    file.take(max_bytes + 1)
        .read_to_string(&mut content)
        .map_err(to_text)?;
    match content.len() as u64 <= max_bytes {
        true => Ok(content),
        false => Err(format!("larger than {max_bytes} bytes")),
    }
}
