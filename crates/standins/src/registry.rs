//! The platform's discovery, with moods.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::WAIT_TIMEOUT;
use crate::http::HttpRequest;

/// How discovery deals with a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    Works,
    Refuses,
    Resets,
    Hangs,
    Garbles,
    /// Answers, and ends the connection after each answer.
    Closes,
    /// Knows no version any more: whoever asks for changes is told so at once.
    Forgets,
}

#[derive(Debug)]
struct Registry {
    rev: u64,
    targets: BTreeMap<String, (u64, Value)>,
    mood: DiscoveryMode,
    /// The next answer is a whole list, as after a gap.
    whole: bool,
    calls: Vec<(Instant, String)>,
    answered: Vec<Instant>,
    /// Bytes of the lists that were answered with.
    bytes: usize,
}

/// Discovery, with a list that the test changes.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<(Mutex<Registry>, Condvar)>,
}

impl Discovery {
    pub fn start(targets: &[Value]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let registry = Registry {
            rev: 0,
            targets: BTreeMap::new(),
            mood: DiscoveryMode::Works,
            whole: false,
            calls: Vec::new(),
            answered: Vec::new(),
            bytes: 0,
        };
        let discovery = Self {
            addr: listener.local_addr().unwrap(),
            state: Arc::new((Mutex::new(registry), Condvar::new())),
        };
        for target in targets {
            discovery.upsert_target(target.clone());
        }
        let of_thread = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = of_thread.clone();
                thread::spawn(move || discovery.talk(stream));
            }
        });
        discovery
    }

    /// Lists a target, or changes it.
    pub fn upsert_target(&self, target: Value) {
        let uid = target["uid"].as_str().unwrap_or("?").to_string();
        let mut registry = self.state.0.lock().unwrap();
        registry.rev += 1;
        let rev = registry.rev;
        registry.targets.insert(uid, (rev, target));
        self.state.1.notify_all();
    }

    /// Takes a target off the list, which is then told as a whole.
    pub fn remove_target(&self, uid: &str) {
        let mut registry = self.state.0.lock().unwrap();
        registry.rev += 1;
        registry.whole = true;
        registry.targets.remove(uid);
        self.state.1.notify_all();
    }

    pub fn set_mode(&self, mood: DiscoveryMode) {
        self.state.0.lock().unwrap().mood = mood;
        self.state.1.notify_all();
    }

    /// Waits until so many calls have come, and returns their times and paths.
    pub fn wait_for_requests(&self, count: usize) -> Vec<(Instant, String)> {
        let registry = self.state.0.lock().unwrap();
        let wait = self
            .state
            .1
            .wait_timeout_while(registry, WAIT_TIMEOUT, |r| r.calls.len() < count);
        let (registry, timeout) = wait.unwrap();
        assert!(
            !timeout.timed_out(),
            "{} calls of {count}",
            registry.calls.len()
        );
        registry.calls.clone()
    }

    /// Bytes of lists so far.
    pub fn list_bytes_sent(&self) -> usize {
        self.state.0.lock().unwrap().bytes
    }

    pub fn answer_times(&self) -> Vec<Instant> {
        self.state.0.lock().unwrap().answered.clone()
    }

    fn talk(&self, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some(call) = HttpRequest::read(&mut reader) {
            if !self.answer(&call, reader.get_mut()) {
                return;
            }
        }
    }

    /// Answers one call; false ends the connection.
    fn answer(&self, call: &HttpRequest, stream: &mut TcpStream) -> bool {
        let number = |name: &str| -> Option<u64> { call.query_param(name)?.parse().ok() };
        let after = number("after");
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut registry = self.state.0.lock().unwrap();
        registry.calls.push((Instant::now(), call.uri.clone()));
        self.state.1.notify_all();
        let works = |r: &Registry| matches!(r.mood, DiscoveryMode::Works | DiscoveryMode::Closes);
        let forgot = registry.mood == DiscoveryMode::Forgets && after.is_some();
        let idle = |r: &mut Registry| after == Some(r.rev) && works(r);
        let (mut registry, _) = self
            .state
            .1
            .wait_timeout_while(registry, wait, idle)
            .unwrap();
        let whole = std::mem::take(&mut registry.whole) || after.is_none();
        let entries: Vec<&Value> = registry
            .targets
            .values()
            .filter(|(rev, _)| whole || after.is_none_or(|after| *rev > after))
            .map(|(_, target)| target)
            .collect();
        let body = json!({"rev": registry.rev, "all": whole, "targets": entries});
        let (status, body) = match registry.mood {
            _ if forgot => ("410 Gone", String::new()),
            DiscoveryMode::Works | DiscoveryMode::Closes | DiscoveryMode::Forgets => {
                ("200 OK", body.to_string())
            }
            DiscoveryMode::Garbles => ("200 OK", "{\"rev\":99,\"targets\":7".to_string()),
            DiscoveryMode::Refuses => ("503 Service Unavailable", String::new()),
            DiscoveryMode::Resets => return false,
            DiscoveryMode::Hangs => {
                let hangs = |r: &mut Registry| r.mood == DiscoveryMode::Hangs;
                drop(self.state.1.wait_while(registry, hangs).unwrap());
                return false;
            }
        };
        let closes = registry.mood == DiscoveryMode::Closes;
        let connection = if closes { "close" } else { "keep-alive" };
        let length = body.len();
        let text = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: {connection}\r\n\r\n{body}"
        );
        registry.answered.push(Instant::now());
        registry.bytes += length;
        stream.write_all(text.as_bytes()).is_ok() && !closes
    }
}
