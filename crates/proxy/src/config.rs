//! What the environment and the configuration file tell a proxy at its start, and at a reload.

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

/// The configuration in force: a reload puts another in its place.
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

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The operators' own address.
    pub management: Option<SocketAddr>,
    pub seed: u64,
    pub max_sockets: u64,
    pub memory_mb: u64,
    /// The file as it was read.
    file: Value,
    pub settings: Settings,
    pub names: NameTable,
    pub connect_timeout: Option<Seconds>,
    /// The longest time that a client of any class waits, and that of each class.
    pub longest_deadline: Seconds,
    pub class_deadlines: Vec<Seconds>,
    pub load_report_source: LoadReportSource,
    /// Servers tell how long messages take there.
    pub servers_report_delay: bool,
}

/// Settings that limits and sockets were made by at the start.
const FIXED: [(&str, &str); 5] = [
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

/// Where servers tell their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportSource {
    Answers,
    Probes,
    Disabled,
}

/// The nested settings under the flat names that the simulator's wire gives them.
#[derive(Debug, Default)]
struct Flat(BTreeMap<String, String>);

impl NamedValues for Flat {
    fn get(&self, name: &str) -> Option<&str> {
        self.0.get(name).map(String::as_str)
    }
}

impl Flat {
    fn add(&mut self, path: &str, value: &Value) {
        let below = |key: &str| match path {
            "" => key.to_string(),
            _ => format!("{path}.{key}"),
        };
        match value {
            Value::Object(fields) => {
                for (key, value) in fields {
                    self.add(&below(key), value);
                }
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(below("count"), items.len().to_string());
                for (at, item) in items.iter().enumerate() {
                    self.add(&below(&at.to_string()), item);
                }
            }
            Value::Array(items) => {
                let items: Vec<String> = items.iter().map(plain).collect();
                self.0.insert(path.to_string(), items.join(","));
            }
            Value::Null => {}
            _ => {
                self.0.insert(path.to_string(), plain(value));
            }
        }
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ','], "_"),
        other => other.to_string(),
    }
}

impl Config {
    /// Reads the file that `NODE_CONFIG` names; the other variables go before what it says.
    pub fn from_env() -> Result<Self, String> {
        Self::read(variable)
    }

    /// Reads the file anew, to take the place of this configuration: whole or not at all. Its address of
    /// discovery is newer than the variable of the start.
    pub fn reread(&self) -> Result<Self, String> {
        let new = Self::read(|name| variable(name).filter(|_| name != "NODE_DISCOVERY"))?;
        self.followed_by(new)
    }

    /// Another configuration with this one's numbers.
    fn followed_by(&self, mut new: Self) -> Result<Self, String> {
        if let Some(key) = lacks(&self.file, &new.file, "") {
            return Err(format!("`{key}` is missing"));
        }
        let told = (new.settings.clone(), new.names.clone());
        let (settings, names, numbers) = merge_settings((&self.settings, &self.names), told)?;
        let mut deadlines = self.class_deadlines.clone();
        deadlines.resize(settings.classes.len(), self.longest_deadline);
        for (at, number) in numbers.into_iter().enumerate() {
            deadlines[number] = new.class_deadlines[at];
        }
        (new.settings, new.names, new.class_deadlines) = (settings, names, deadlines);
        Ok(new)
    }

    fn read(over: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let path = env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG is not set".to_string())?;
        let text = read_file(&path).map_err(|error| format!("{path}: {error}"))?;
        Self::parse(&text, over).map_err(|error| format!("{path}: {error}"))
    }

    /// The list of servers as it was last known, in discovery's form.
    pub fn last_known_list(&self) -> &Value {
        &self.file["known"]
    }

    /// The classes by their numbers.
    pub fn class_names(&self) -> Vec<String> {
        let classes = self.file["settings"]["request-classes"].as_array();
        let name = |class: &Value| class["name"].as_str().unwrap_or("").to_string();
        classes.into_iter().flatten().map(name).collect()
    }

    /// Whether another file tells the module the same.
    pub fn has_same_settings(&self, other: &Self) -> bool {
        self.file["settings"] == other.file["settings"]
    }

    /// The parts of another file that differ and that only a restart takes up. The seed and the
    /// known list are for a start alone, and discovery is what a reload is for.
    pub fn keys_needing_restart<'a>(&'a self, other: &'a Self) -> Vec<&'a str> {
        let fields = |config: &'a Self| config.file.as_object().into_iter().flat_map(|o| o.keys());
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
        let fixed = FIXED
            .iter()
            .filter(|(path, _)| settings(self, path) != settings(other, path));
        names.extend(fixed.map(|(_, name)| *name));
        names
    }

    pub fn parse(text: &str, over: impl Fn(&str) -> Option<String>) -> Result<Self, String> {
        let json: Value = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let text = |key: &str| {
            let value = json[key].as_str().map(str::to_string);
            value.ok_or_else(|| format!("expected the text `{key}`"))
        };
        let told = |variable: &str, key: &str| over(variable).map_or_else(|| text(key), Ok);
        let address = |variable: &str, key: &str| {
            let value = told(variable, key)?;
            value
                .parse()
                .map_err(|_| format!("{key} `{value}`: expected an address and a port"))
        };
        let management = match over("NODE_MANAGEMENT").is_some() || !json["management"].is_null() {
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
        above_zero(&json["settings"])?;
        not_below_zero(&json["settings"], "")?;
        named_once(&json["settings"])?;
        let mut flat = Flat::default();
        flat.add("", &json["settings"]);
        let (mut settings, names) =
            read_settings(&flat).map_err(|error| format!("settings: {error}"))?;
        // On sockets a delay and a small load come under one word (`notes.rs`): the load of a connection that
        // is all but idle would pass for a server that is late, and move others off it.
        settings.message_delay_target = None;
        let time = |name: &str| {
            flat.get(name)
                .map(|_| flat.require_seconds(name))
                .transpose()
        };
        let deadline = |at| Ok(time(&format!("request-classes.{at}.deadline-s"))?.unwrap_or(2.0));
        let deadlines = (0..settings.classes.len())
            .map(deadline)
            .collect::<Result<Vec<Seconds>, String>>()?;
        Ok(Self {
            name: told("NODE_NAME", "name")?,
            listen: address("NODE_LISTEN", "listen")?,
            discovery: address("NODE_DISCOVERY", "discovery")?,
            management,
            seed: u64::from_str_radix(&seed, 16)
                .map_err(|_| format!("seed `{seed}`: expected 16 hex digits"))?,
            max_sockets: limit("sockets")?,
            memory_mb: limit("memory_mb")?,
            connect_timeout: time("permissions.connect-timeout-s")?,
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

/// Deadlines and numbers of attempts that are none would serve nobody, or for ever.
fn above_zero(settings: &Value) -> Result<(), String> {
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
    for (at, class) in classes.into_iter().flatten().enumerate() {
        let deadline = &class["deadline-s"];
        let sound = deadline
            .as_f64()
            .is_some_and(|secs| secs > 0.0 && secs.is_finite());
        if !deadline.is_null() && !sound {
            let key = format!("request-classes.{at}.deadline-s");
            return Err(expected(&key, deadline, "a number"));
        }
    }
    Ok(())
}

/// The figures that something here goes by; what is not known is passed over, whatever it says.
const FIGURES: [&str; 19] = [
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

/// A time, a count, a share or a price is never below zero.
fn not_below_zero(value: &Value, path: &str) -> Result<(), String> {
    let below = |key: &str| match path {
        "" => key.to_string(),
        _ => format!("{path}.{key}"),
    };
    let known = FIGURES.contains(&path.rsplit('.').next().unwrap_or(path));
    match value {
        Value::Object(fields) => fields
            .iter()
            .try_for_each(|(key, value)| not_below_zero(value, &below(key))),
        Value::Array(items) => items
            .iter()
            .enumerate()
            .try_for_each(|(at, item)| not_below_zero(item, &below(&at.to_string()))),
        Value::Number(number) if known && number.as_f64().is_none_or(|n| n < 0.0) => Err(format!(
            "settings.{path}: `{value}`: expected a number of 0 or more"
        )),
        _ => Ok(()),
    }
}

/// Two classes or tenants of one name would be one to clients and two to the module.
fn named_once(settings: &Value) -> Result<(), String> {
    for key in ["request-classes", "orgs", "azs", "skus"] {
        let mut seen = BTreeSet::new();
        for (at, item) in settings[key].as_array().into_iter().flatten().enumerate() {
            let name = item.as_str().or_else(|| item["name"].as_str());
            if name.is_some_and(|name| !seen.insert(name)) {
                return Err(format!("settings.{key}.{at}: a name that comes twice"));
            }
        }
    }
    Ok(())
}

/// The first key that `old` has and `new` lacks, by its path. What a list holds may come and go, but each
/// item has the keys that all items had.
fn lacks(old: &Value, new: &Value, path: &str) -> Option<String> {
    let below = |key: &str| match path {
        "" => key.to_string(),
        _ => format!("{path}.{key}"),
    };
    match (old, new) {
        (Value::Object(old), new) => old.iter().find_map(|(key, value)| match new.get(key) {
            None | Some(Value::Null) if !value.is_null() => Some(below(key)),
            // The list of the last run is for a start alone.
            Some(_) if path.is_empty() && key == "known" => None,
            Some(new) => lacks(value, new, &below(key)),
            None => None,
        }),
        (Value::Array(old), Value::Array(new)) if old.iter().all(Value::is_object) => {
            let mut items = old.iter().filter_map(Value::as_object);
            let first = items.next()?;
            let keys: Vec<&String> = first.keys().collect();
            let others: Vec<_> = items.collect();
            let common = keys
                .into_iter()
                .filter(|key| others.iter().all(|o| o.contains_key(*key)));
            let common: Vec<&String> = common.collect();
            new.iter().enumerate().find_map(|(at, item)| {
                let missing = common
                    .iter()
                    .find(|key| item.get(key).is_none_or(Value::is_null))?;
                Some(below(&format!("{at}.{missing}")))
            })
        }
        (Value::Array(_), new) if !new.is_array() => Some(path.to_string()),
        _ => None,
    }
}

/// A variable of the environment; an empty one says nothing.
fn variable(name: &str) -> Option<String> {
    env::var(name).ok().filter(|value| !value.is_empty())
}

/// A file that is none, or has no end, must neither hang the program nor fill its memory.
pub fn read_file(path: &str) -> Result<String, String> {
    let text = |error: std::io::Error| error.to_string();
    if !std::fs::metadata(path).map_err(text)?.is_file() {
        return Err("no ordinary file".into());
    }
    let (mut read, most) = (String::new(), Limits::MAX_CONFIG_BYTES);
    let file = File::open(path).map_err(text)?;
    file.take(most + 1)
        .read_to_string(&mut read)
        .map_err(text)?;
    match read.len() as u64 <= most {
        true => Ok(read),
        false => Err(format!("more than {most} bytes")),
    }
}
