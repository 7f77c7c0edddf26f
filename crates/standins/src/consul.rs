//! A stand-in for a Consul agent, according to its public HTTP API: `/v1/health/service/NAME` and
//! `/v1/catalog/service/NAME` with blocking queries, whose index rises with each change. It can answer wrongly,
//! stall and break off an answer on command.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::WAIT_TIMEOUT;
use crate::http::HttpRequest;

/// How requests are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsulMode {
    /// Answers as the API describes it.
    Works,
    /// Accepts requests and sends nothing, with the connection open.
    Silent,
    /// Ends the connection without an answer.
    Resets,
    /// Answers 429.
    TooMany,
    /// Answers 500.
    Fails,
    /// Answers with `X-Consul-KnownLeader: false`.
    NoLeader,
    /// Closes the connection halfway through the body.
    HalfBody,
    /// Sends rows without end.
    Endless,
    /// Sends half of the body and then nothing more, with the connection open.
    Stalls,
    /// Answers with the state at the time when this mode was set, and with this age in `X-Consul-LastContact`.
    Old(u64),
    /// Answers with an index of zero.
    IndexZero,
    /// Answers without an index.
    NoIndex,
    /// Answers with a body that is not valid JSON.
    Garbles,
}

/// The worst status of an instance's checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    Passing,
    Warning,
    Critical,
}

/// The maintenance mode of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Maintenance {
    None,
    Service,
    Node,
}

/// One instance of the service.
#[derive(Clone, Debug)]
pub struct Instance {
    pub id: String,
    pub node: String,
    pub node_address: String,
    /// If empty, the node's address applies.
    pub address: String,
    pub port: u16,
    pub tags: Vec<String>,
    pub meta: BTreeMap<String, String>,
    /// Weights while passing and while warning.
    pub weights: (u64, u64),
    pub check: Check,
    pub maintenance: Maintenance,
    pub datacenter: String,
    pub create_index: u64,
    pub modify_index: u64,
}

impl Instance {
    /// A passing instance in datacenter `dc1`, on a node of its own.
    pub fn new(id: &str, at: SocketAddr) -> Self {
        Self {
            id: id.to_string(),
            node: format!("node-{id}"),
            node_address: at.ip().to_string(),
            address: at.ip().to_string(),
            port: at.port(),
            tags: Vec::new(),
            meta: BTreeMap::new(),
            weights: (1, 1),
            check: Check::Passing,
            maintenance: Maintenance::None,
            datacenter: "dc1".into(),
            create_index: 0,
            modify_index: 0,
        }
    }

    fn checks(&self, service: &str) -> Value {
        let status = match self.check {
            Check::Passing => "passing",
            Check::Warning => "warning",
            Check::Critical => "critical",
        };
        let mut checks = vec![
            json!({"Node": self.node, "CheckID": "serfHealth", "Name": "Serf Health Status",
                   "Status": "passing", "ServiceID": "", "ServiceName": ""}),
            json!({"Node": self.node, "CheckID": format!("service:{}", self.id), "Name": "check",
                   "Status": status, "ServiceID": self.id, "ServiceName": service}),
        ];
        let maintenance = match self.maintenance {
            Maintenance::None => None,
            Maintenance::Service => Some(format!("_service_maintenance:{}", self.id)),
            Maintenance::Node => Some("_node_maintenance".to_string()),
        };
        if let Some(id) = maintenance {
            checks.push(
                json!({"Node": self.node, "CheckID": id, "Name": "Maintenance Mode",
                "Status": "critical", "ServiceID": "", "ServiceName": ""}),
            );
        }
        Value::Array(checks)
    }

    /// A row of `/v1/health/service/NAME`.
    pub fn health_row(&self, service: &str) -> Value {
        json!({
            "Node": {"ID": "", "Node": self.node, "Address": self.node_address,
                     "Datacenter": self.datacenter, "TaggedAddresses": {}, "Meta": {},
                     "CreateIndex": self.create_index, "ModifyIndex": self.modify_index},
            "Service": {"ID": self.id, "Service": service, "Tags": self.tags,
                        "Address": self.address, "Port": self.port, "Meta": self.meta,
                        "Weights": {"Passing": self.weights.0, "Warning": self.weights.1},
                        "EnableTagOverride": false, "CreateIndex": self.create_index,
                        "ModifyIndex": self.modify_index},
            "Checks": self.checks(service),
        })
    }

    /// A row of `/v1/catalog/service/NAME`.
    pub fn catalog_row(&self, service: &str) -> Value {
        json!({
            "ID": "", "Node": self.node, "Address": self.node_address, "Datacenter": self.datacenter,
            "ServiceID": self.id, "ServiceName": service, "ServiceTags": self.tags,
            "ServiceAddress": self.address, "ServicePort": self.port, "ServiceMeta": self.meta,
            "ServiceWeights": {"Passing": self.weights.0, "Warning": self.weights.1},
            "CreateIndex": self.create_index, "ModifyIndex": self.modify_index,
        })
    }
}

/// An instance with its serialized rows.
#[derive(Debug)]
struct InstanceRows {
    instance: Instance,
    health: String,
    catalog: String,
}

#[derive(Debug)]
struct State {
    service: String,
    index: u64,
    rows: BTreeMap<String, InstanceRows>,
    mode: ConsulMode,
    /// Index, health body and catalog body of answers in mode `Old`.
    frozen: Option<(u64, String, String)>,
    token: Option<String>,
    requests: Vec<(Instant, HttpRequest)>,
    /// The index of the last answer.
    last_answered_index: u64,
    open_count: usize,
    max_open_count: usize,
}

/// A running Consul stand-in; clones control the same one. Its threads run until the process ends.
#[derive(Clone, Debug)]
pub struct Consul {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    /// The JSON array of a datacenter's health or catalog rows.
    fn body(&self, dc: &str, health: bool) -> String {
        let rows = self
            .rows
            .values()
            .filter(|row| row.instance.datacenter == dc);
        let row_length = |row: &InstanceRows| {
            if health {
                row.health.len()
            } else {
                row.catalog.len()
            }
        };
        let mut body =
            String::with_capacity(2 + rows.clone().map(|row| row_length(row) + 1).sum::<usize>());
        body.push('[');
        for row in rows {
            if body.len() > 1 {
                body.push(',');
            }
            body += if health { &row.health } else { &row.catalog };
        }
        body.push(']');
        body
    }

    /// Inserts or replaces an instance, with a new index.
    fn upsert(&mut self, mut instance: Instance) {
        self.index += 1;
        let old = self.rows.get(&instance.id);
        instance.create_index = old.map_or(self.index, |row| row.instance.create_index);
        instance.modify_index = self.index;
        let row = InstanceRows {
            health: instance.health_row(&self.service).to_string(),
            catalog: instance.catalog_row(&self.service).to_string(),
            instance,
        };
        self.rows.insert(row.instance.id.clone(), row);
    }
}

impl Consul {
    /// Starts on a free loopback port.
    pub fn start(service: &str) -> Self {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::listen(any_port, service).expect("no loopback port could be bound")
    }

    /// Starts at an address.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn listen(at: SocketAddr, service: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        let state = State {
            service: service.to_string(),
            index: 10,
            rows: BTreeMap::new(),
            mode: ConsulMode::Works,
            frozen: None,
            token: None,
            requests: Vec::new(),
            last_answered_index: 0,
            open_count: 0,
            max_open_count: 0,
        };
        let consul = Self {
            addr: listener.local_addr()?,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let accepting = consul.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let consul = accepting.clone();
                thread::spawn(move || consul.serve_connection(stream));
            }
        });
        Ok(consul)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    /// Changes the state, and wakes blocked requests.
    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state());
        self.state.1.notify_all();
    }

    /// Registers an instance, or replaces the one with the same id.
    pub fn register(&self, instance: Instance) {
        self.change(|state| state.upsert(instance));
    }

    /// Registers instances, each with an index of its own.
    pub fn register_all(&self, instances: impl IntoIterator<Item = Instance>) {
        self.change(|state| {
            instances
                .into_iter()
                .for_each(|instance| state.upsert(instance))
        });
    }

    /// Removes instances in one step of the index.
    pub fn deregister(&self, ids: &[&str]) {
        self.change(|state| {
            state.index += 1;
            state.rows.retain(|id, _| !ids.contains(&id.as_str()));
        });
    }

    /// Changes instances under one lock, so that no answer has only some of the changes.
    pub fn update_instances(&self, ids: &[&str], alter: impl Fn(&mut Instance)) {
        self.change(|state| {
            for id in ids {
                if let Some(row) = state.rows.get(*id) {
                    let mut instance = row.instance.clone();
                    alter(&mut instance);
                    state.upsert(instance);
                }
            }
        });
    }

    /// Sets the check status of instances.
    pub fn set_check(&self, ids: &[&str], check: Check) {
        self.update_instances(ids, |instance| instance.check = check);
    }

    /// Changes the mode; for `Old`, the state at this time is copied.
    pub fn set_mode(&self, mode: ConsulMode) {
        self.change(|state| {
            if let ConsulMode::Old(_) = mode {
                let (health, catalog) = (state.body("dc1", true), state.body("dc1", false));
                state.frozen = Some((state.index, health, catalog));
            }
            state.mode = mode;
        });
    }

    /// Resets the index to 1, as after a loss of Consul's state.
    pub fn reset_index(&self) {
        self.change(|state| state.index = 1);
    }

    /// Requests without this token are answered with 403.
    pub fn require_token(&self, token: Option<&str>) {
        self.change(|state| state.token = token.map(str::to_string));
    }

    /// Waits until `count` requests have arrived, and returns all requests so far with their times.
    pub fn wait_for_requests(&self, count: usize) -> Vec<(Instant, HttpRequest)> {
        let waited = self
            .state
            .1
            .wait_timeout_while(self.state(), WAIT_TIMEOUT, |state| {
                state.requests.len() < count
            });
        let (state, timeout) = waited.unwrap();
        assert!(
            !timeout.timed_out(),
            "received {} of {count} requests",
            state.requests.len()
        );
        state.requests.clone()
    }

    /// The number of requests so far.
    pub fn request_count(&self) -> usize {
        self.state().requests.len()
    }

    /// Waits until an answer with the present index is about to be sent.
    pub fn wait_until_changes_served(&self) {
        let is_behind = |state: &mut State| state.last_answered_index < state.index;
        let waited = self
            .state
            .1
            .wait_timeout_while(self.state(), WAIT_TIMEOUT, is_behind);
        assert!(
            !waited.unwrap().1.timed_out(),
            "no answer with the present index in time"
        );
    }

    /// The highest number of connections that were open at a time.
    pub fn max_open_connections(&self) -> usize {
        self.state().max_open_count
    }

    fn serve_connection(&self, stream: TcpStream) {
        self.change(|state| {
            state.open_count += 1;
            state.max_open_count = state.max_open_count.max(state.open_count);
        });
        let mut reader = BufReader::new(stream);
        while let Some(request) = HttpRequest::read(&mut reader) {
            if !self.answer_request(request, reader.get_mut()) {
                break;
            }
        }
        self.change(|state| state.open_count -= 1);
    }

    /// Answers one request. Returns false if the connection is to be closed.
    fn answer_request(&self, request: HttpRequest, stream: &mut TcpStream) -> bool {
        let index: Option<u64> = request
            .query_param("index")
            .and_then(|index| index.parse().ok());
        let wait = request
            .query_param("wait")
            .and_then(parse_duration)
            .unwrap_or(Duration::from_secs(300));
        let dc = request.query_param("dc").unwrap_or("dc1").to_string();
        let path = request.path().to_string();
        let mut state = self.state();
        state.requests.push((Instant::now(), request.clone()));
        self.state.1.notify_all();
        let health = path == format!("/v1/health/service/{}", state.service);
        if !health && path != format!("/v1/catalog/service/{}", state.service) {
            return respond(stream, "404 Not Found", &[], "unknown");
        }
        let required_token = state.token.clone();
        if required_token.is_some() && required_token.as_deref() != request.header("x-consul-token")
        {
            return respond(stream, "403 Forbidden", &[], "Permission denied");
        }
        // An index of zero never blocks. The API adds up to 1/16 of the requested wait as jitter.
        if let Some(index) = index.filter(|index| *index > 0) {
            let is_unchanged =
                |state: &mut State| matches!(state.mode, ConsulMode::Works) && state.index <= index;
            let max_wait = wait + wait / 16;
            state = self
                .state
                .1
                .wait_timeout_while(state, max_wait, is_unchanged)
                .unwrap()
                .0;
        }
        let mode = state.mode;
        let (index, body) = match &state.frozen {
            Some((index, health_body, catalog)) if matches!(mode, ConsulMode::Old(_)) => {
                (*index, if health { health_body } else { catalog }.clone())
            }
            _ => (state.index, state.body(&dc, health)),
        };
        state.last_answered_index = index;
        drop(state);
        self.state.1.notify_all();
        let index_header = ("X-Consul-Index", index.to_string());
        let leader_header = |known: &str| ("X-Consul-KnownLeader", known.to_string());
        let last_contact_header = |age: u64| ("X-Consul-LastContact", age.to_string());
        let respond_full = |index, known, age, body: &str, stream: &mut TcpStream| {
            respond(
                stream,
                "200 OK",
                &[
                    ("X-Consul-Index", index),
                    leader_header(known),
                    last_contact_header(age),
                ],
                body,
            )
        };
        match mode {
            ConsulMode::Works => respond_full(index.to_string(), "true", 0, &body, stream),
            ConsulMode::Old(age) => respond_full(index.to_string(), "true", age, &body, stream),
            ConsulMode::NoLeader => respond_full(index.to_string(), "false", 0, &body, stream),
            ConsulMode::IndexZero => respond_full("0".into(), "true", 0, &body, stream),
            ConsulMode::NoIndex => respond(stream, "200 OK", &[leader_header("true")], &body),
            ConsulMode::Garbles => {
                respond_full(index.to_string(), "true", 0, "[{\"Node\":7]", stream)
            }
            ConsulMode::TooMany => respond(stream, "429 Too Many Requests", &[], "rate limited"),
            ConsulMode::Fails => respond(
                stream,
                "500 Internal Server Error",
                &[],
                "No cluster leader",
            ),
            ConsulMode::Resets => false,
            ConsulMode::Silent => {
                self.wait_while_mode(mode);
                false
            }
            ConsulMode::HalfBody | ConsulMode::Stalls => {
                let head = response_head(
                    "200 OK",
                    &[index_header, leader_header("true")],
                    Some(body.len()),
                );
                let half = &body.as_bytes()[..body.len() / 2];
                let _ = stream.write_all(head.as_bytes());
                let _ = stream.write_all(half);
                if mode == ConsulMode::Stalls {
                    self.wait_while_mode(mode);
                }
                false
            }
            ConsulMode::Endless => {
                let head = response_head("200 OK", &[index_header, leader_header("true")], None);
                let _ = stream.write_all(head.as_bytes());
                let row = body.trim_matches(['[', ']']).as_bytes();
                let mut first = true;
                loop {
                    let chunk = [if first { &b"["[..] } else { &b","[..] }, row].concat();
                    first = false;
                    let size = format!("{:x}\r\n", chunk.len());
                    let parts = [size.as_bytes(), &chunk, b"\r\n"].concat();
                    if stream.write_all(&parts).is_err() || self.state().mode != mode {
                        return false;
                    }
                }
            }
        }
    }

    /// Blocks while the mode is `mode`.
    fn wait_while_mode(&self, mode: ConsulMode) {
        let is_same_mode = |state: &mut State| state.mode == mode;
        drop(self.state.1.wait_while(self.state(), is_same_mode).unwrap());
    }
}

fn response_head(status: &str, headers: &[(&str, String)], length: Option<usize>) -> String {
    let mut head = format!("HTTP/1.1 {status}\r\ncontent-type: application/json\r\n");
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &match length {
        Some(length) => format!("content-length: {length}\r\n\r\n"),
        None => "transfer-encoding: chunked\r\n\r\n".to_string(),
    };
    head
}

fn respond(stream: &mut TcpStream, status: &str, headers: &[(&str, String)], body: &str) -> bool {
    let head = response_head(status, headers, Some(body.len()));
    stream
        .write_all(&[head.as_bytes(), body.as_bytes()].concat())
        .is_ok()
}

/// Parses a duration in the API's notation: `10s`, `5m`, `300ms`.
fn parse_duration(text: &str) -> Option<Duration> {
    let split = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = (text[..split].parse().ok()?, &text[split..]);
    Some(match unit {
        "ms" => Duration::from_millis(number),
        "s" => Duration::from_secs(number),
        "m" => Duration::from_secs(60 * number),
        _ => return None,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_durations_in_the_notation_of_the_api() {
        assert_eq!(parse_duration("55s"), Some(Duration::from_secs(55)));
        assert_eq!(parse_duration("300ms"), Some(Duration::from_millis(300)));
        assert_eq!(parse_duration("s"), None);
        assert_eq!(parse_duration("5"), None);
    }
}
