//! Bodies of the API, cut into rows as they come: 20,000 instances in one array are never held as a
//! tree, nor as text. No library reads an array of JSON in parts that are pushed to it without an
//! own thread, so the cutting is done here and each row is left to `serde_json`.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashSet};
use std::net::{IpAddr, SocketAddr};

use serde::Deserialize;
use violetwind_catalogue::{Instance, ReportedStatus, Row};
use violetwind_common::group_id;

use crate::limits::Limits;
use crate::rules::{Api, FieldSource, Identity, MappingRules};

/// Why a body is given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// Something else than an array of objects, at this byte.
    NotAnArray(usize),
    RowTooLong(usize),
    TooManyRows(usize),
    /// It ended within the array.
    Truncated(usize),
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotAnArray(at) => write!(out, "no array of objects at byte {at}"),
            Self::RowTooLong(at) => write!(out, "a row that is too long at byte {at}"),
            Self::TooManyRows(most) => write!(out, "more than {most} rows"),
            Self::Truncated(at) => write!(out, "it ends within the array, at byte {at}"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Start,
    /// After `[` or a comma; the array may end only after the former.
    First,
    Next,
    Row,
    AfterRow,
    End,
}

/// Cuts an array of objects into the texts of its objects.
#[derive(Debug)]
pub struct RowSplitter {
    at: At,
    depth: usize,
    in_text: bool,
    escaped: bool,
    row: Vec<u8>,
    rows: usize,
    bytes: usize,
    most_row: usize,
    most_rows: usize,
}

impl RowSplitter {
    pub fn new(limits: &Limits) -> Self {
        Self {
            at: At::Start,
            depth: 0,
            in_text: false,
            escaped: false,
            row: Vec::new(),
            rows: 0,
            bytes: 0,
            most_row: limits.max_row_bytes,
            most_rows: limits.max_rows,
        }
    }

    /// Takes the next bytes and hands on each row that ends in them.
    pub fn feed(&mut self, bytes: &[u8], mut row: impl FnMut(&[u8])) -> Result<(), BodyError> {
        let mut from = (self.at == At::Row).then_some(0);
        for (at, &byte) in bytes.iter().enumerate() {
            match (self.at, byte) {
                (At::Row, _) => {
                    if !self.within_row(byte) {
                        continue;
                    }
                    let start = from.take().unwrap_or(0);
                    let part = &bytes[start..=at];
                    self.check_length(part.len())?;
                    if self.row.is_empty() {
                        row(part);
                    } else {
                        self.row.extend_from_slice(part);
                        row(&self.row);
                        self.row.clear();
                    }
                    self.at = At::AfterRow;
                }
                (_, b' ' | b'\t' | b'\r' | b'\n') => {}
                (At::Start, b'[') => self.at = At::First,
                (At::First, b']') | (At::AfterRow, b']') => self.at = At::End,
                (At::AfterRow, b',') => self.at = At::Next,
                (At::First | At::Next, b'{') => {
                    self.rows += 1;
                    if self.rows > self.most_rows {
                        return Err(BodyError::TooManyRows(self.most_rows));
                    }
                    (self.at, self.depth, from) = (At::Row, 1, Some(at));
                }
                _ => return Err(BodyError::NotAnArray(self.bytes + at)),
            }
        }
        if let Some(start) = from {
            self.check_length(bytes.len() - start)?;
            self.row.extend_from_slice(&bytes[start..]);
        }
        self.bytes += bytes.len();
        Ok(())
    }

    /// Whether a row ends with this byte of it.
    fn within_row(&mut self, byte: u8) -> bool {
        if self.in_text {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => self.in_text = false,
                _ => {}
            }
            return false;
        }
        match byte {
            b'"' => self.in_text = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        self.depth == 0
    }

    fn check_length(&self, more: usize) -> Result<(), BodyError> {
        match self.row.len() + more <= self.most_row {
            true => Ok(()),
            false => Err(BodyError::RowTooLong(self.bytes)),
        }
    }

    /// The body has ended here.
    pub fn finish(&self) -> Result<(), BodyError> {
        match self.at {
            At::End => Ok(()),
            _ => Err(BodyError::Truncated(self.bytes)),
        }
    }
}

type Words<'a> = Option<BTreeMap<Cow<'a, str>, Cow<'a, str>>>;

#[derive(Debug, Deserialize)]
struct Weights {
    #[serde(rename = "Passing", default)]
    passing: f64,
    #[serde(rename = "Warning", default)]
    warning: f64,
}

#[derive(Debug, Deserialize)]
struct Node<'a> {
    #[serde(rename = "Node", borrow, default)]
    name: Cow<'a, str>,
    #[serde(rename = "Address", borrow, default)]
    address: Cow<'a, str>,
    #[serde(rename = "Datacenter", borrow, default)]
    datacenter: Cow<'a, str>,
    #[serde(rename = "Meta", borrow, default)]
    meta: Words<'a>,
}

#[derive(Debug, Deserialize)]
struct Service<'a> {
    #[serde(rename = "ID", borrow, default)]
    id: Cow<'a, str>,
    #[serde(rename = "Tags", borrow, default)]
    tags: Option<Vec<Cow<'a, str>>>,
    #[serde(rename = "Address", borrow, default)]
    address: Cow<'a, str>,
    #[serde(rename = "Port", default)]
    port: u16,
    #[serde(rename = "Meta", borrow, default)]
    meta: Words<'a>,
    #[serde(rename = "Weights", default)]
    weights: Option<Weights>,
    #[serde(rename = "CreateIndex", default)]
    create_index: u64,
}

#[derive(Debug, Deserialize)]
struct Check<'a> {
    #[serde(rename = "CheckID", borrow, default)]
    id: Cow<'a, str>,
    #[serde(rename = "Status", borrow, default)]
    status: Cow<'a, str>,
}

/// A row of `/v1/health/service/NAME`.
#[derive(Debug, Deserialize)]
struct Health<'a> {
    #[serde(rename = "Node", borrow)]
    node: Node<'a>,
    #[serde(rename = "Service", borrow)]
    service: Service<'a>,
    #[serde(rename = "Checks", borrow, default)]
    checks: Option<Vec<Check<'a>>>,
}

/// A row of `/v1/catalog/service/NAME`: the node's and the service's fields side by side.
#[derive(Debug, Deserialize)]
struct Listed<'a> {
    #[serde(rename = "Node", borrow, default)]
    node: Cow<'a, str>,
    #[serde(rename = "Address", borrow, default)]
    address: Cow<'a, str>,
    #[serde(rename = "Datacenter", borrow, default)]
    datacenter: Cow<'a, str>,
    #[serde(rename = "NodeMeta", borrow, default)]
    node_meta: Words<'a>,
    #[serde(rename = "ServiceID", borrow, default)]
    id: Cow<'a, str>,
    #[serde(rename = "ServiceTags", borrow, default)]
    tags: Option<Vec<Cow<'a, str>>>,
    #[serde(rename = "ServiceAddress", borrow, default)]
    service_address: Cow<'a, str>,
    #[serde(rename = "ServicePort", default)]
    port: u16,
    #[serde(rename = "ServiceMeta", borrow, default)]
    meta: Words<'a>,
    #[serde(rename = "ServiceWeights", default)]
    weights: Option<Weights>,
    #[serde(rename = "CreateIndex", default)]
    create_index: u64,
}

impl<'a> From<Listed<'a>> for Health<'a> {
    fn from(row: Listed<'a>) -> Self {
        Self {
            node: Node {
                name: row.node,
                address: row.address,
                datacenter: row.datacenter,
                meta: row.node_meta,
            },
            service: Service {
                id: row.id,
                tags: row.tags,
                address: row.service_address,
                port: row.port,
                meta: row.meta,
                weights: row.weights,
                create_index: row.create_index,
            },
            checks: None,
        }
    }
}

/// Reads the rows of one answer.
#[derive(Debug)]
pub struct RowParser<'a> {
    rules: &'a MappingRules,
    limits: &'a Limits,
    api: Api,
    seen: HashSet<Box<str>>,
    pub rows: Vec<Row>,
    /// Rows that made no sense, and what was wrong with the first of them.
    pub invalid_rows: usize,
    pub first_error: Option<String>,
}

impl<'a> RowParser<'a> {
    pub fn new(api: Api, rules: &'a MappingRules, limits: &'a Limits) -> Self {
        Self {
            rules,
            limits,
            api,
            seen: HashSet::new(),
            rows: Vec::new(),
            invalid_rows: 0,
            first_error: None,
        }
    }

    /// Takes the text of one row; one that makes no sense is counted and passed over.
    pub fn parse_row(&mut self, text: &[u8]) {
        match self.read(text) {
            Ok(row) => self.rows.push(row),
            Err(error) => {
                self.invalid_rows += 1;
                let at = self.rows.len() + self.invalid_rows;
                self.first_error
                    .get_or_insert_with(|| format!("row {at}: {error}"));
            }
        }
    }

    fn read(&mut self, text: &[u8]) -> Result<Row, String> {
        let told = |error: serde_json::Error| error.to_string();
        let health: Health<'_> = match self.api {
            Api::Health => serde_json::from_slice(text).map_err(told)?,
            Api::Catalog => serde_json::from_slice::<Listed<'_>>(text)
                .map_err(told)?
                .into(),
        };
        let uid = self.identity(&health)?;
        if !self.seen.insert(uid.clone()) {
            return Err(format!("{uid}: an identity that comes twice"));
        }
        let (word, warning) = self.word(&health);
        let instance = match self.endpoint(&health) {
            Ok(endpoint) => Some(self.instance(&health, endpoint, warning)?),
            // Known before, it is listed still: a lost address must not look like a lost server.
            Err(error) if self.first_error.is_none() => {
                self.first_error = Some(format!("{uid}: {error}"));
                None
            }
            Err(_) => None,
        };
        self.invalid_rows += usize::from(instance.is_none());
        Ok(Row {
            uid,
            status: word,
            instance,
        })
    }

    fn identity(&self, row: &Health<'_>) -> Result<Box<str>, String> {
        let (node, id) = (&row.node.name, &row.service.id);
        let uid = match &self.rules.identity {
            Identity::ServiceId => id.to_string(),
            Identity::NodeAndId if node.is_empty() => return Err("no node".into()),
            Identity::NodeAndId => format!("{node}/{id}"),
            Identity::Meta(key) => {
                let meta = row.service.meta.as_ref();
                let value = meta.and_then(|meta| meta.get(key.as_str()));
                value.map(ToString::to_string).unwrap_or_default()
            }
        };
        if uid.is_empty() {
            return Err("no identity".into());
        }
        self.bounded(&uid)
    }

    fn bounded(&self, text: &str) -> Result<Box<str>, String> {
        if text.len() > self.limits.max_field_bytes {
            return Err(format!("a field of {} bytes", text.len()));
        }
        match text.chars().any(char::is_control) {
            true => Err("a field with control characters".into()),
            false => Ok(text.into()),
        }
    }

    /// What its checks say, and whether one of them warns.
    fn word(&self, row: &Health<'_>) -> (ReportedStatus, bool) {
        let tags = row.service.tags.iter().flatten();
        let drain = self.rules.drain_tag.as_deref();
        let tagged = drain.is_some_and(|drain| tags.into_iter().any(|tag| tag == drain));
        let checks = || row.checks.iter().flatten();
        let maintenance = |check: &Check<'_>| {
            check.id == "_node_maintenance" || check.id.starts_with("_service_maintenance")
        };
        if tagged || checks().any(|check| maintenance(check) && check.status != "passing") {
            return (ReportedStatus::Draining, false);
        }
        let sound = |check: &Check<'_>| matches!(&*check.status, "passing" | "warning");
        let warns = checks().any(|check| check.status == "warning");
        match checks().all(sound) {
            true => (ReportedStatus::Ready, warns),
            false => (ReportedStatus::Failing, warns),
        }
    }

    /// The service's address and port, or the node's address where the service has none.
    fn endpoint(&self, row: &Health<'_>) -> Result<SocketAddr, String> {
        let text = match &*row.service.address {
            "" => &*row.node.address,
            address => address,
        };
        // An address only: no name is ever looked up.
        let ip: Result<IpAddr, _> = text.parse();
        let shown: String = text.chars().take(64).collect();
        let ip = ip.map_err(|_| format!("`{shown}` is no IP address"))?;
        match row.service.port {
            0 => Err("no port".into()),
            port => Ok((ip, port).into()),
        }
    }

    fn instance(
        &self,
        row: &Health<'_>,
        endpoint: SocketAddr,
        warning: bool,
    ) -> Result<Instance, String> {
        let bounded = |text: Option<&str>| text.map(|text| self.bounded(text)).transpose();
        let zone = self.field(&self.rules.zone, row);
        let zone = zone.map(|zone| self.rules.zones.get(zone).map_or(zone, String::as_str));
        let weight = row.service.weights.as_ref();
        let weight = weight.map(|w| if warning { w.warning } else { w.passing });
        let group = self.field(&self.rules.group, row);
        let born = self.field(&self.rules.boot_ms, row);
        Ok(Instance {
            endpoint,
            zone: bounded(zone)?,
            kind: bounded(self.field(&self.rules.kind, row))?,
            cell: group.map_or(0, cell),
            weight: weight.filter(|weight| weight.is_finite() && *weight > 0.0),
            born: born
                .and_then(|text| text.parse().ok())
                .filter(|born| *born > 0),
            epoch: row.service.create_index,
        })
    }

    fn field<'r>(&self, field: &FieldSource, row: &'r Health<'_>) -> Option<&'r str> {
        let text = match field {
            FieldSource::Nothing => None,
            FieldSource::Datacenter => Some(&*row.node.datacenter),
            FieldSource::Meta(key) => {
                let metas = [&row.service.meta, &row.node.meta];
                let mut values = metas
                    .into_iter()
                    .flatten()
                    .filter_map(|meta| meta.get(key.as_str()));
                values.next().map(|value| &**value)
            }
            FieldSource::TagPrefix(prefix) => {
                let mut tags = row.service.tags.iter().flatten();
                tags.find_map(|tag| tag.strip_prefix(prefix.as_str()))
            }
        };
        text.filter(|text| !text.is_empty())
    }
}

/// A group's number: its own, or one made of its name, the same at every proxy.
fn cell(name: &str) -> u64 {
    name.parse().unwrap_or_else(|_| group_id(name))
}
