//! Splits response bodies into rows as they arrive, so that an array of 20,000 instances is never held in memory as
//! a tree or as text. No library parses a JSON array from chunks as they are pushed to it without a separate thread,
//! so the splitting is done here, and `serde_json` parses each row.

use std::borrow::Cow;
use std::collections::{BTreeMap, HashSet};
use std::net::{IpAddr, SocketAddr};

use serde::Deserialize;
use violetwind_catalogue::{Instance, ReportedStatus, Row};
use violetwind_common::group_id;

use crate::limits::Limits;
use crate::rules::{Api, FieldSource, Identity, MappingRules};

/// The reason why a body is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body is not an array of objects: unexpected input at this byte.
    NotAnArray(usize),
    /// A row exceeds [`Limits::max_row_bytes`]; the value is the byte offset of the chunk in which this was detected.
    RowTooLong(usize),
    /// The body has more rows than this limit.
    TooManyRows(usize),
    /// The body ended before the array was closed, at this byte.
    Truncated(usize),
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotAnArray(at) => write!(out, "expected an array of objects at byte {at}"),
            Self::RowTooLong(at) => write!(out, "row too long at byte {at}"),
            Self::TooManyRows(limit) => write!(out, "more than {limit} rows"),
            Self::Truncated(at) => write!(out, "body truncated at byte {at}"),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SplitState {
    Start,
    /// After `[`: a row or the end of the array follows.
    AfterOpen,
    /// After a comma: only a row may follow.
    AfterComma,
    Row,
    AfterRow,
    End,
}

/// Splits a JSON array of objects into the texts of its objects.
#[derive(Debug)]
pub struct RowSplitter {
    state: SplitState,
    depth: usize,
    in_string: bool,
    escaped: bool,
    partial_row: Vec<u8>,
    row_count: usize,
    bytes_read: usize,
    max_row_bytes: usize,
    max_rows: usize,
}

impl RowSplitter {
    pub fn new(limits: &Limits) -> Self {
        Self {
            state: SplitState::Start,
            depth: 0,
            in_string: false,
            escaped: false,
            partial_row: Vec::new(),
            row_count: 0,
            bytes_read: 0,
            max_row_bytes: limits.max_row_bytes,
            max_rows: limits.max_rows,
        }
    }

    /// Processes the next chunk and calls `on_row` for each row that ends in it. Fails if the body is not an array of
    /// objects or exceeds a limit.
    pub fn feed(&mut self, bytes: &[u8], mut on_row: impl FnMut(&[u8])) -> Result<(), BodyError> {
        let mut row_start = (self.state == SplitState::Row).then_some(0);
        for (position, &byte) in bytes.iter().enumerate() {
            match (self.state, byte) {
                (SplitState::Row, _) => {
                    if !self.consume_row_byte(byte) {
                        continue;
                    }
                    let start = row_start.take().unwrap_or(0);
                    let row_bytes = &bytes[start..=position];
                    self.check_length(row_bytes.len())?;
                    if self.partial_row.is_empty() {
                        on_row(row_bytes);
                    } else {
                        self.partial_row.extend_from_slice(row_bytes);
                        on_row(&self.partial_row);
                        self.partial_row.clear();
                    }
                    self.state = SplitState::AfterRow;
                }
                (_, b' ' | b'\t' | b'\r' | b'\n') => {}
                (SplitState::Start, b'[') => self.state = SplitState::AfterOpen,
                (SplitState::AfterOpen, b']') | (SplitState::AfterRow, b']') => {
                    self.state = SplitState::End
                }
                (SplitState::AfterRow, b',') => self.state = SplitState::AfterComma,
                (SplitState::AfterOpen | SplitState::AfterComma, b'{') => {
                    self.row_count += 1;
                    if self.row_count > self.max_rows {
                        return Err(BodyError::TooManyRows(self.max_rows));
                    }
                    (self.state, self.depth, row_start) = (SplitState::Row, 1, Some(position));
                }
                _ => return Err(BodyError::NotAnArray(self.bytes_read + position)),
            }
        }
        if let Some(start) = row_start {
            self.check_length(bytes.len() - start)?;
            self.partial_row.extend_from_slice(&bytes[start..]);
        }
        self.bytes_read += bytes.len();
        Ok(())
    }

    /// Processes one byte of a row. Returns whether the row ends with it.
    fn consume_row_byte(&mut self, byte: u8) -> bool {
        if self.in_string {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' => self.escaped = true,
                b'"' => self.in_string = false,
                _ => {}
            }
            return false;
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth -= 1,
            _ => {}
        }
        self.depth == 0
    }

    fn check_length(&self, added: usize) -> Result<(), BodyError> {
        match self.partial_row.len() + added <= self.max_row_bytes {
            true => Ok(()),
            false => Err(BodyError::RowTooLong(self.bytes_read)),
        }
    }

    /// Checks that the body ended after the array.
    pub fn finish(&self) -> Result<(), BodyError> {
        match self.state {
            SplitState::End => Ok(()),
            _ => Err(BodyError::Truncated(self.bytes_read)),
        }
    }
}

type MetaMap<'a> = Option<BTreeMap<Cow<'a, str>, Cow<'a, str>>>;

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
    meta: MetaMap<'a>,
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
    meta: MetaMap<'a>,
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
struct HealthRow<'a> {
    #[serde(rename = "Node", borrow)]
    node: Node<'a>,
    #[serde(rename = "Service", borrow)]
    service: Service<'a>,
    #[serde(rename = "Checks", borrow, default)]
    checks: Option<Vec<Check<'a>>>,
}

/// A row of `/v1/catalog/service/NAME`: the fields of the node and the service in one object.
#[derive(Debug, Deserialize)]
struct CatalogRow<'a> {
    #[serde(rename = "Node", borrow, default)]
    node: Cow<'a, str>,
    #[serde(rename = "Address", borrow, default)]
    address: Cow<'a, str>,
    #[serde(rename = "Datacenter", borrow, default)]
    datacenter: Cow<'a, str>,
    #[serde(rename = "NodeMeta", borrow, default)]
    node_meta: MetaMap<'a>,
    #[serde(rename = "ServiceID", borrow, default)]
    id: Cow<'a, str>,
    #[serde(rename = "ServiceTags", borrow, default)]
    tags: Option<Vec<Cow<'a, str>>>,
    #[serde(rename = "ServiceAddress", borrow, default)]
    service_address: Cow<'a, str>,
    #[serde(rename = "ServicePort", default)]
    port: u16,
    #[serde(rename = "ServiceMeta", borrow, default)]
    meta: MetaMap<'a>,
    #[serde(rename = "ServiceWeights", default)]
    weights: Option<Weights>,
    #[serde(rename = "CreateIndex", default)]
    create_index: u64,
}

impl<'a> From<CatalogRow<'a>> for HealthRow<'a> {
    fn from(row: CatalogRow<'a>) -> Self {
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

/// Parses the rows of one response.
#[derive(Debug)]
pub struct RowParser<'a> {
    rules: &'a MappingRules,
    limits: &'a Limits,
    api: Api,
    seen: HashSet<Box<str>>,
    pub rows: Vec<Row>,
    /// The number of invalid rows, including those that are kept without an address.
    pub invalid_rows: usize,
    /// The error in the first invalid row.
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

    /// Parses the text of one row and adds it to `rows`. An invalid row is counted and skipped; a row with no
    /// other error than an invalid address or port is counted and kept without an instance.
    pub fn parse_row(&mut self, text: &[u8]) {
        match self.parse(text) {
            Ok(row) => self.rows.push(row),
            Err(error) => {
                self.invalid_rows += 1;
                let row_number = self.rows.len() + self.invalid_rows;
                self.first_error
                    .get_or_insert_with(|| format!("row {row_number}: {error}"));
            }
        }
    }

    fn parse(&mut self, text: &[u8]) -> Result<Row, String> {
        let describe = |error: serde_json::Error| error.to_string();
        let row: HealthRow<'_> = match self.api {
            Api::Health => serde_json::from_slice(text).map_err(describe)?,
            Api::Catalog => serde_json::from_slice::<CatalogRow<'_>>(text)
                .map_err(describe)?
                .into(),
        };
        let uid = self.identity(&row)?;
        if !self.seen.insert(uid.clone()) {
            return Err(format!("{uid}: duplicate identity"));
        }
        let (status, has_warning) = self.status(&row);
        let instance = match self.endpoint(&row) {
            Ok(endpoint) => Some(self.instance(&row, endpoint, has_warning)?),
            // The row is kept, so that a known server stays listed: a missing address must not look like a missing
            // server.
            Err(error) if self.first_error.is_none() => {
                self.first_error = Some(format!("{uid}: {error}"));
                None
            }
            Err(_) => None,
        };
        self.invalid_rows += usize::from(instance.is_none());
        Ok(Row {
            uid,
            status,
            instance,
        })
    }

    fn identity(&self, row: &HealthRow<'_>) -> Result<Box<str>, String> {
        let (node, id) = (&row.node.name, &row.service.id);
        let uid = match &self.rules.identity {
            Identity::ServiceId => id.to_string(),
            Identity::NodeAndId if node.is_empty() => return Err("no node name".into()),
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
        self.checked_field(&uid)
    }

    /// Checks the length of a field, and that it has no control characters.
    fn checked_field(&self, text: &str) -> Result<Box<str>, String> {
        if text.len() > self.limits.max_field_bytes {
            return Err(format!("field too long: {} bytes", text.len()));
        }
        match text.chars().any(char::is_control) {
            true => Err("field contains control characters".into()),
            false => Ok(text.into()),
        }
    }

    /// Derives the status from tags and checks, and whether one of the checks has a warning.
    fn status(&self, row: &HealthRow<'_>) -> (ReportedStatus, bool) {
        let tags = row.service.tags.iter().flatten();
        let drain_tag = self.rules.drain_tag.as_deref();
        let tagged =
            drain_tag.is_some_and(|drain_tag| tags.into_iter().any(|tag| tag == drain_tag));
        let checks = || row.checks.iter().flatten();
        let is_maintenance = |check: &Check<'_>| {
            check.id == "_node_maintenance" || check.id.starts_with("_service_maintenance")
        };
        if tagged || checks().any(|check| is_maintenance(check) && check.status != "passing") {
            return (ReportedStatus::Draining, false);
        }
        let is_healthy = |check: &Check<'_>| matches!(&*check.status, "passing" | "warning");
        let has_warning = checks().any(|check| check.status == "warning");
        match checks().all(is_healthy) {
            true => (ReportedStatus::Ready, has_warning),
            false => (ReportedStatus::Failing, has_warning),
        }
    }

    /// The service's address and port, or the node's address where the service has none.
    fn endpoint(&self, row: &HealthRow<'_>) -> Result<SocketAddr, String> {
        let text = match &*row.service.address {
            "" => &*row.node.address,
            address => address,
        };
        // Only IP addresses are accepted; names are never resolved.
        let ip: Result<IpAddr, _> = text.parse();
        let excerpt: String = text.chars().take(64).collect();
        let ip = ip.map_err(|_| format!("`{excerpt}` is not an IP address"))?;
        match row.service.port {
            0 => Err("no port".into()),
            port => Ok((ip, port).into()),
        }
    }

    fn instance(
        &self,
        row: &HealthRow<'_>,
        endpoint: SocketAddr,
        has_warning: bool,
    ) -> Result<Instance, String> {
        let checked_field =
            |text: Option<&str>| text.map(|text| self.checked_field(text)).transpose();
        let zone = self.lookup_field(&self.rules.zone, row);
        let zone = zone.map(|zone| self.rules.zones.get(zone).map_or(zone, String::as_str));
        let weight = row.service.weights.as_ref();
        let weight = weight.map(|weights| {
            if has_warning {
                weights.warning
            } else {
                weights.passing
            }
        });
        let group = self.lookup_field(&self.rules.group, row);
        let boot_ms = self.lookup_field(&self.rules.boot_ms, row);
        Ok(Instance {
            endpoint,
            zone: checked_field(zone)?,
            kind: checked_field(self.lookup_field(&self.rules.kind, row))?,
            cell: group.map_or(0, group_number),
            weight: weight.filter(|weight| weight.is_finite() && *weight > 0.0),
            started_at: boot_ms
                .and_then(|text| text.parse().ok())
                .filter(|ms| *ms > 0),
            registration_index: row.service.create_index,
        })
    }

    fn lookup_field<'r>(&self, field: &FieldSource, row: &'r HealthRow<'_>) -> Option<&'r str> {
        let text = match field {
            FieldSource::Nothing => None,
            FieldSource::Datacenter => Some(&*row.node.datacenter),
            FieldSource::Meta(key) => {
                let meta_maps = [&row.service.meta, &row.node.meta];
                let mut values = meta_maps
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

/// The number of a group: its name if that is a number, otherwise a hash of the name that is the same at every
/// proxy.
fn group_number(name: &str) -> u64 {
    name.parse().unwrap_or_else(|_| group_id(name))
}
