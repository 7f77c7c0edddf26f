//! A Consul agent as its public HTTP API describes it: `/v1/health/service/NAME` and
//! `/v1/catalog/service/NAME` with blocking queries, whose index rises with each change. It can lie,
//! stall and break off on command.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::WAIT_TIMEOUT;
use crate::http::HttpRequest;

/// How calls are dealt with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsulMode {
    Works,
    /// Takes calls and says nothing, with the connection open.
    Silent,
    /// Ends the connection without an answer.
    Resets,
    TooMany,
    Fails,
    /// `X-Consul-KnownLeader: false`.
    NoLeader,
    /// Ends half-way through the body.
    HalfBody,
    /// Rows without end.
    Endless,
    /// Some of the body, and then nothing more.
    Stalls,
    /// What was true when the mood began, with the age in `X-Consul-LastContact`.
    Old(u64),
    /// An index of zero.
    IndexZero,
    /// No index at all.
    NoIndex,
    /// A body that is no JSON.
    Garbles,
}

/// The worst of an instance's checks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Check {
    Passing,
    Warning,
    Critical,
}

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
    /// Empty: the node's counts.
    pub address: String,
    pub port: u16,
    pub tags: Vec<String>,
    pub meta: BTreeMap<String, String>,
    pub weights: (u64, u64),
    pub check: Check,
    pub maintenance: Maintenance,
    pub datacenter: String,
    pub create_index: u64,
    pub modify_index: u64,
}

impl Instance {
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

#[derive(Debug)]
struct Rows {
    instance: Instance,
    health: String,
    catalog: String,
}

#[derive(Debug)]
struct State {
    service: String,
    index: u64,
    rows: BTreeMap<String, Rows>,
    mood: ConsulMode,
    /// What an old answer holds.
    frozen: Option<(u64, String, String)>,
    token: Option<String>,
    calls: Vec<(Instant, HttpRequest)>,
    /// The index of the last answer.
    told: u64,
    open: usize,
    most_open: usize,
}

/// Dropping it leaves its threads to the end of the process.
#[derive(Clone, Debug)]
pub struct Consul {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn body(&self, dc: &str, health: bool) -> String {
        let rows = self
            .rows
            .values()
            .filter(|row| row.instance.datacenter == dc);
        let text = |row: &Rows| {
            if health {
                row.health.len()
            } else {
                row.catalog.len()
            }
        };
        let mut body =
            String::with_capacity(2 + rows.clone().map(|row| text(row) + 1).sum::<usize>());
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

    fn put(&mut self, mut instance: Instance) {
        self.index += 1;
        let old = self.rows.get(&instance.id);
        instance.create_index = old.map_or(self.index, |row| row.instance.create_index);
        instance.modify_index = self.index;
        let row = Rows {
            health: instance.health_row(&self.service).to_string(),
            catalog: instance.catalog_row(&self.service).to_string(),
            instance,
        };
        self.rows.insert(row.instance.id.clone(), row);
    }
}

impl Consul {
    pub fn start(service: &str) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::listen(any, service).expect("a free port of the loopback network")
    }

    pub fn listen(at: SocketAddr, service: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        let state = State {
            service: service.to_string(),
            index: 10,
            rows: BTreeMap::new(),
            mood: ConsulMode::Works,
            frozen: None,
            token: None,
            calls: Vec::new(),
            told: 0,
            open: 0,
            most_open: 0,
        };
        let consul = Self {
            addr: listener.local_addr()?,
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let of_thread = consul.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_nodelay(true);
                let consul = of_thread.clone();
                thread::spawn(move || consul.talk(stream));
            }
        });
        Ok(consul)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap()
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state());
        self.state.1.notify_all();
    }

    /// Registers an instance, or changes it.
    pub fn register(&self, instance: Instance) {
        self.change(|state| state.put(instance));
    }

    pub fn register_all(&self, instances: impl IntoIterator<Item = Instance>) {
        self.change(|state| instances.into_iter().for_each(|i| state.put(i)));
    }

    pub fn deregister(&self, ids: &[&str]) {
        self.change(|state| {
            state.index += 1;
            state.rows.retain(|id, _| !ids.contains(&id.as_str()));
        });
    }

    /// Changes instances in one step of the index.
    pub fn update_instances(&self, ids: &[&str], alter: impl Fn(&mut Instance)) {
        self.change(|state| {
            for id in ids {
                if let Some(row) = state.rows.get(*id) {
                    let mut instance = row.instance.clone();
                    alter(&mut instance);
                    state.put(instance);
                }
            }
        });
    }

    pub fn set_check(&self, ids: &[&str], check: Check) {
        self.update_instances(ids, |instance| instance.check = check);
    }

    pub fn set_mode(&self, mood: ConsulMode) {
        self.change(|state| {
            if let ConsulMode::Old(_) = mood {
                let (health, catalog) = (state.body("dc1", true), state.body("dc1", false));
                state.frozen = Some((state.index, health, catalog));
            }
            state.mood = mood;
        });
    }

    /// Starts to count from a low index again, as after a lost state.
    pub fn reset_index(&self) {
        self.change(|state| state.index = 1);
    }

    /// Calls without this token are turned away with 403.
    pub fn require_token(&self, token: Option<&str>) {
        self.change(|state| state.token = token.map(str::to_string));
    }

    /// Waits until so many calls have come, and returns them.
    pub fn wait_for_requests(&self, count: usize) -> Vec<(Instant, HttpRequest)> {
        let wait = self
            .state
            .1
            .wait_timeout_while(self.state(), WAIT_TIMEOUT, |s| s.calls.len() < count);
        let (state, timeout) = wait.unwrap();
        assert!(
            !timeout.timed_out(),
            "{} calls of {count}",
            state.calls.len()
        );
        state.calls.clone()
    }

    pub fn request_count(&self) -> usize {
        self.state().calls.len()
    }

    /// Waits until an answer holds all that was changed before.
    pub fn wait_until_changes_served(&self) {
        let behind = |s: &mut State| s.told < s.index;
        let wait = self
            .state
            .1
            .wait_timeout_while(self.state(), WAIT_TIMEOUT, behind);
        assert!(!wait.unwrap().1.timed_out(), "no answer");
    }

    /// The most connections that were open at a time.
    pub fn max_open_connections(&self) -> usize {
        self.state().most_open
    }

    fn talk(&self, stream: TcpStream) {
        self.change(|state| {
            state.open += 1;
            state.most_open = state.most_open.max(state.open);
        });
        let mut reader = BufReader::new(stream);
        while let Some(call) = HttpRequest::read(&mut reader) {
            if !self.answer(call, reader.get_mut()) {
                break;
            }
        }
        self.change(|state| state.open -= 1);
    }

    /// Answers one call; false ends the connection.
    fn answer(&self, call: HttpRequest, stream: &mut TcpStream) -> bool {
        let index: Option<u64> = call
            .query_param("index")
            .and_then(|index| index.parse().ok());
        let wait = call
            .query_param("wait")
            .and_then(span)
            .unwrap_or(Duration::from_secs(300));
        let dc = call.query_param("dc").unwrap_or("dc1").to_string();
        let resource = call.path().to_string();
        let mut state = self.state();
        state.calls.push((Instant::now(), call.clone()));
        self.state.1.notify_all();
        let health = resource == format!("/v1/health/service/{}", state.service);
        if !health && resource != format!("/v1/catalog/service/{}", state.service) {
            return respond(stream, "404 Not Found", &[], "unknown");
        }
        let wanted = state.token.clone();
        if wanted.is_some() && wanted.as_deref() != call.header("x-consul-token") {
            return respond(stream, "403 Forbidden", &[], "Permission denied");
        }
        // An index of zero never blocks; a longer wait than asked for is the API's own jitter.
        if let Some(index) = index.filter(|index| *index > 0) {
            let idle = |s: &mut State| matches!(s.mood, ConsulMode::Works) && s.index <= index;
            let most = wait + wait / 16;
            state = self
                .state
                .1
                .wait_timeout_while(state, most, idle)
                .unwrap()
                .0;
        }
        let mood = state.mood;
        let (index, body) = match &state.frozen {
            Some((index, health_body, catalog)) if matches!(mood, ConsulMode::Old(_)) => {
                (*index, if health { health_body } else { catalog }.clone())
            }
            _ => (state.index, state.body(&dc, health)),
        };
        state.told = index;
        drop(state);
        self.state.1.notify_all();
        let index_header = ("X-Consul-Index", index.to_string());
        let leader = |known: &str| ("X-Consul-KnownLeader", known.to_string());
        let contact = |age: u64| ("X-Consul-LastContact", age.to_string());
        let whole = |index, known, age, body: &str, stream: &mut TcpStream| {
            respond(
                stream,
                "200 OK",
                &[("X-Consul-Index", index), leader(known), contact(age)],
                body,
            )
        };
        match mood {
            ConsulMode::Works => whole(index.to_string(), "true", 0, &body, stream),
            ConsulMode::Old(age) => whole(index.to_string(), "true", age, &body, stream),
            ConsulMode::NoLeader => whole(index.to_string(), "false", 0, &body, stream),
            ConsulMode::IndexZero => whole("0".into(), "true", 0, &body, stream),
            ConsulMode::NoIndex => respond(stream, "200 OK", &[leader("true")], &body),
            ConsulMode::Garbles => whole(index.to_string(), "true", 0, "[{\"Node\":7]", stream),
            ConsulMode::TooMany => respond(stream, "429 Too Many Requests", &[], "rate limited"),
            ConsulMode::Fails => respond(
                stream,
                "500 Internal Server Error",
                &[],
                "No cluster leader",
            ),
            ConsulMode::Resets => false,
            ConsulMode::Silent => {
                self.while_mood(mood);
                false
            }
            ConsulMode::HalfBody | ConsulMode::Stalls => {
                let head = head("200 OK", &[index_header, leader("true")], Some(body.len()));
                let half = &body.as_bytes()[..body.len() / 2];
                let _ = stream.write_all(head.as_bytes());
                let _ = stream.write_all(half);
                if mood == ConsulMode::Stalls {
                    self.while_mood(mood);
                }
                false
            }
            ConsulMode::Endless => {
                let head = head("200 OK", &[index_header, leader("true")], None);
                let _ = stream.write_all(head.as_bytes());
                let row = body.trim_matches(['[', ']']).as_bytes();
                let mut first = true;
                loop {
                    let chunk = [if first { &b"["[..] } else { &b","[..] }, row].concat();
                    first = false;
                    let size = format!("{:x}\r\n", chunk.len());
                    let parts = [size.as_bytes(), &chunk, b"\r\n"].concat();
                    if stream.write_all(&parts).is_err() || self.state().mood != mood {
                        return false;
                    }
                }
            }
        }
    }

    fn while_mood(&self, mood: ConsulMode) {
        let same = |state: &mut State| state.mood == mood;
        drop(self.state.1.wait_while(self.state(), same).unwrap());
    }
}

fn head(status: &str, headers: &[(&str, String)], length: Option<usize>) -> String {
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
    let head = head(status, headers, Some(body.len()));
    stream
        .write_all(&[head.as_bytes(), body.as_bytes()].concat())
        .is_ok()
}

/// A span as the API writes it: `10s`, `5m`, `300ms`.
fn span(text: &str) -> Option<Duration> {
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
    fn spans_are_read_as_the_api_writes_them() {
        assert_eq!(span("55s"), Some(Duration::from_secs(55)));
        assert_eq!(span("300ms"), Some(Duration::from_millis(300)));
        assert_eq!(span("s"), None);
        assert_eq!(span("5"), None);
    }
}
