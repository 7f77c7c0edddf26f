//! A server of lines.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, mpsc};
use std::thread;
use std::time::Instant;

use serde_json::{Value, json};

use crate::line_connection::LineConnection;
use crate::{WAIT_TIMEOUT, monotonic_us};

/// What a server answers a probe with, nothing if it is silent, and whether it has answered any.
#[derive(Debug, Default)]
struct Probes {
    state: Mutex<(Option<String>, bool)>,
    came: Mutex<Vec<Instant>>,
    changed: Condvar,
}

/// One `OPEN` line as the server read it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub line: String,
    /// By CLOCK_MONOTONIC, right after the line's last byte was read.
    pub read_us: u64,
}

/// A program under test that answers `PING`.
pub trait Pingable {
    fn answers_ping(&self) -> bool;
}

/// A server that answers probes by itself and hands every `OPEN` to the test.
pub struct Server {
    pub addr: SocketAddr,
    pub uid: String,
    opened: mpsc::Receiver<(String, LineConnection)>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    probes: Arc<Probes>,
}

impl Server {
    pub fn start(uid: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (opens, opened) = mpsc::channel();
        let probes = Arc::new(Probes::default());
        probes.state.lock().unwrap().0 = Some("PONG x0=0.10".to_string());
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let (answer, arrived) = (probes.clone(), arrivals.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (opens, answer, arrived) = (opens.clone(), answer.clone(), arrived.clone());
                thread::spawn(move || {
                    Self::talk(LineConnection::new(stream), &opens, &arrived, &answer)
                });
            }
        });
        Self {
            addr,
            uid: uid.to_string(),
            opened,
            arrivals,
            probes,
        }
    }

    fn talk(
        mut peer: LineConnection,
        opens: &mpsc::Sender<(String, LineConnection)>,
        arrivals: &Mutex<Vec<Arrival>>,
        probes: &Probes,
    ) {
        peer.reader.get_ref().set_read_timeout(None).unwrap();
        while let Ok(line) = peer.try_read_line() {
            if line.starts_with("OPEN ") {
                arrivals.lock().unwrap().push(Arrival {
                    line: line.clone(),
                    read_us: monotonic_us(),
                });
                peer.reader
                    .get_ref()
                    .set_read_timeout(Some(WAIT_TIMEOUT))
                    .unwrap();
                // A test that is over needs no more connections.
                let _ = opens.send((line, peer));
                return;
            }
            probes.came.lock().unwrap().push(Instant::now());
            let answer = probes.state.lock().unwrap().0.clone();
            if let Some(answer) = answer {
                peer.send_line(&answer);
                probes.state.lock().unwrap().1 = true;
                probes.changed.notify_all();
            }
        }
    }

    /// The next connection that a client wants, with its first line.
    pub fn next_open(&self) -> (String, LineConnection) {
        self.opened.recv_timeout(WAIT_TIMEOUT).expect("an OPEN")
    }

    /// The next connection, or none as soon as `answered` says that the client got an answer.
    pub fn next_open_unless(
        &self,
        mut answered: impl FnMut() -> bool,
    ) -> Option<(String, LineConnection)> {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Ok(opened) = self.opened.try_recv() {
                return Some(opened);
            }
            if answered() {
                return None;
            }
            assert!(Instant::now() < until, "neither an OPEN nor an answer");
        }
    }

    /// All `OPEN` lines that were read so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// When probes came.
    pub fn probe_times(&self) -> Vec<Instant> {
        self.probes.came.lock().unwrap().clone()
    }

    pub fn no_pending_open(&self) -> bool {
        self.opened.try_recv().is_err()
    }

    pub fn set_probe_answer(&self, with: Option<&str>) {
        self.probes.state.lock().unwrap().0 = with.map(str::to_string);
    }

    /// Waits until a probe is answered, and until the proxy has read the answer: it serves in turn,
    /// so the second of two calls that come after the answer finds it read.
    pub fn wait_for_probe(&self, by: &impl Pingable) {
        let state = self.probes.state.lock().unwrap();
        let changed = &self.probes.changed;
        let wait = changed.wait_timeout_while(state, WAIT_TIMEOUT, |(_, answered)| !*answered);
        assert!(!wait.unwrap().1.timed_out(), "no probe");
        assert!(by.answers_ping() && by.answers_ping());
    }

    pub fn target_row(&self, state: &str) -> Value {
        target_row(&self.uid, &self.addr.to_string(), state)
    }
}

pub fn target_row(uid: &str, endpoint: &str, state: &str) -> Value {
    json!({"uid": uid, "endpoint": endpoint, "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}
