//! A stand-in for the platform's discovery service, with selectable failure modes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::WAIT_TIMEOUT;
use crate::http::HttpRequest;

/// How discovery answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Answers with the list, or blocks until it changes.
    Works,
    /// Answers 503.
    Refuses,
    /// Closes the connection without an answer.
    Resets,
    /// Sends no answer until the mode changes, then closes the connection.
    Hangs,
    /// Answers 200 with a truncated JSON body.
    Garbles,
    /// Answers, and closes the connection after each answer.
    Closes,
    /// Has lost all version numbers: a request for changes gets 410 at once.
    Forgets,
}

#[derive(Debug)]
struct Registry {
    rev: u64,
    /// Rows by uid, each with the revision of its last change.
    targets: BTreeMap<String, (u64, Value)>,
    mode: DiscoveryMode,
    /// Whether the next answer is a full list, as after a gap in the versions.
    send_full_list: bool,
    requests: Vec<(Instant, String)>,
    answer_times: Vec<Instant>,
    /// Total size of the answer bodies.
    list_bytes_sent: usize,
}

/// A discovery service with a list that the test changes.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<(Mutex<Registry>, Condvar)>,
}

impl Discovery {
    /// Starts the service on a free loopback port with these rows.
    pub fn start(targets: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let registry = Registry {
            rev: 0,
            targets: BTreeMap::new(),
            mode: DiscoveryMode::Works,
            send_full_list: false,
            requests: Vec::new(),
            answer_times: Vec::new(),
            list_bytes_sent: 0,
        };
        let discovery = Self {
            addr: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(registry), Condvar::new())),
        };
        for target in targets {
            discovery.upsert_target(target.clone());
        }
        let accepting = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                thread::spawn(move || discovery.serve_connection(stream));
            }
        });
        discovery
    }

    /// Adds a target to the list, or replaces the one with the same uid.
    pub fn upsert_target(&self, target: Value) {
        let uid = target["uid"].as_str().unwrap_or("?").to_string();
        let mut registry = self.state.0.lock().unwrap();
        registry.rev += 1;
        let rev = registry.rev;
        registry.targets.insert(uid, (rev, target));
        self.state.1.notify_all();
    }

    /// Removes a target from the list; the next answer is then a full list.
    pub fn remove_target(&self, uid: &str) {
        let mut registry = self.state.0.lock().unwrap();
        registry.rev += 1;
        registry.send_full_list = true;
        registry.targets.remove(uid);
        self.state.1.notify_all();
    }

    /// Changes the failure mode, and wakes blocked requests.
    pub fn set_mode(&self, mode: DiscoveryMode) {
        self.state.0.lock().unwrap().mode = mode;
        self.state.1.notify_all();
    }

    /// Waits until `count` requests have arrived, and returns the times and URIs of all requests so far.
    pub fn wait_for_requests(&self, count: usize) -> Vec<(Instant, String)> {
        let registry = self.state.0.lock().unwrap();
        let waited = self
            .state
            .1
            .wait_timeout_while(registry, WAIT_TIMEOUT, |registry| {
                registry.requests.len() < count
            });
        let (registry, timeout) = waited.unwrap();
        assert!(
            !timeout.timed_out(),
            "received {} of {count} requests",
            registry.requests.len()
        );
        registry.requests.clone()
    }

    /// Total size in bytes of the answer bodies so far.
    pub fn list_bytes_sent(&self) -> usize {
        self.state.0.lock().unwrap().list_bytes_sent
    }

    /// The times of all answers so far.
    pub fn answer_times(&self) -> Vec<Instant> {
        self.state.0.lock().unwrap().answer_times.clone()
    }

    fn serve_connection(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(request) = HttpRequest::read(&mut reader) {
            if !self.answer_request(&request, reader.get_mut()) {
                return;
            }
        }
    }

    /// Answers one request. Returns false if the connection is to be closed.
    fn answer_request(&self, request: &HttpRequest, stream: &mut TcpStream) -> bool {
        let query_number = |name: &str| -> Option<u64> { request.query_param(name)?.parse().ok() };
        let after = query_number("after");
        let max_wait = Duration::from_millis(query_number("wait_ms").unwrap_or(0));
        let mut registry = self.state.0.lock().unwrap();
        registry
            .requests
            .push((Instant::now(), request.uri.clone()));
        self.state.1.notify_all();
        let is_working = |registry: &Registry| {
            matches!(registry.mode, DiscoveryMode::Works | DiscoveryMode::Closes)
        };
        let has_lost_version = registry.mode == DiscoveryMode::Forgets && after.is_some();
        let is_unchanged =
            |registry: &mut Registry| after == Some(registry.rev) && is_working(registry);
        let (mut registry, _) = self
            .state
            .1
            .wait_timeout_while(registry, max_wait, is_unchanged)
            .unwrap();
        let full = std::mem::take(&mut registry.send_full_list) || after.is_none();
        let entries: Vec<&Value> = registry
            .targets
            .values()
            .filter(|(rev, _)| full || after.is_none_or(|after| *rev > after))
            .map(|(_, target)| target)
            .collect();
        let body = json!({"rev": registry.rev, "all": full, "targets": entries});
        let (status, body) = match registry.mode {
            _ if has_lost_version => ("410 Gone", String::new()),
            DiscoveryMode::Works | DiscoveryMode::Closes | DiscoveryMode::Forgets => {
                ("200 OK", body.to_string())
            }
            DiscoveryMode::Garbles => ("200 OK", "{\"rev\":99,\"targets\":7".to_string()),
            DiscoveryMode::Refuses => ("503 Service Unavailable", String::new()),
            DiscoveryMode::Resets => return false,
            DiscoveryMode::Hangs => {
                let is_hanging = |registry: &mut Registry| registry.mode == DiscoveryMode::Hangs;
                drop(self.state.1.wait_while(registry, is_hanging).unwrap());
                return false;
            }
        };
        let closes_connection = registry.mode == DiscoveryMode::Closes;
        let connection = if closes_connection {
            "close"
        } else {
            "keep-alive"
        };
        let length = body.len();
        let response = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: {connection}\r\n\r\n{body}"
        );
        registry.answer_times.push(Instant::now());
        registry.list_bytes_sent += length;
        stream.write_all(response.as_bytes()).is_ok() && !closes_connection
    }
}
