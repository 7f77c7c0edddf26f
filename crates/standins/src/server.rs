//! A server of the line protocol whose client connections the test handles itself.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::line_connection::LineConnection;
use crate::{WAIT_TIMEOUT, monotonic_us};

/// How a server answers probes, and the probes so far.
#[derive(Debug, Default)]
struct Probes {
    /// The answer to a probe (none: the server sends no answer), and whether any probe has been answered.
    state: Mutex<(Option<String>, bool)>,
    arrival_times: Mutex<Vec<Instant>>,
    changed: Condvar,
}

/// An `OPEN` line received by the server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub line: String,
    /// Microseconds of CLOCK_MONOTONIC right after the line's last byte was read.
    pub read_us: u64,
}

/// A program under test that answers `PING`.
pub trait Pingable {
    /// Sends `PING`; returns whether `PONG` came back.
    fn answers_ping(&self) -> bool;
}

/// A server that answers probes itself and passes every `OPEN` to the test.
pub struct Server {
    pub addr: SocketAddr,
    pub uid: String,
    open_receiver: mpsc::Receiver<(String, LineConnection)>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    probes: Arc<Probes>,
}

impl Server {
    /// Starts a server on a free loopback port.
    pub fn start(uid: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (open_sender, open_receiver) = mpsc::channel();
        let probes = Arc::new(Probes::default());
        probes.state.lock().unwrap().0 = Some("PONG x0=0.10".to_string());
        let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
        let (probes_clone, arrivals_clone) = (probes.clone(), arrivals.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (open_sender, probes, arrivals) = (
                    open_sender.clone(),
                    probes_clone.clone(),
                    arrivals_clone.clone(),
                );
                thread::spawn(move || {
                    Self::serve_connection(
                        LineConnection::new(stream),
                        &open_sender,
                        &arrivals,
                        &probes,
                    )
                });
            }
        });
        Self {
            addr,
            uid: uid.to_string(),
            open_receiver,
            arrivals,
            probes,
        }
    }

    fn serve_connection(
        mut connection: LineConnection,
        open_sender: &mpsc::Sender<(String, LineConnection)>,
        arrivals: &Mutex<Vec<Arrival>>,
        probes: &Probes,
    ) {
        connection.reader.get_ref().set_read_timeout(None).unwrap();
        while let Ok(line) = connection.try_read_line() {
            if line.starts_with("OPEN ") {
                arrivals.lock().unwrap().push(Arrival {
                    line: line.clone(),
                    read_us: monotonic_us(),
                });
                connection
                    .reader
                    .get_ref()
                    .set_read_timeout(Some(WAIT_TIMEOUT))
                    .unwrap();
                // The receiver is gone once the test has ended.
                let _ = open_sender.send((line, connection));
                return;
            }
            probes.arrival_times.lock().unwrap().push(Instant::now());
            let answer = probes.state.lock().unwrap().0.clone();
            if let Some(answer) = answer {
                connection.send_line(&answer);
                probes.state.lock().unwrap().1 = true;
                probes.changed.notify_all();
            }
        }
    }

    /// Waits for the next client connection, and returns its `OPEN` line and the connection.
    pub fn next_open(&self) -> (String, LineConnection) {
        self.open_receiver
            .recv_timeout(WAIT_TIMEOUT)
            .expect("no OPEN arrived in time")
    }

    /// Waits up to `time` for the next client connection.
    pub fn next_open_within(&self, time: Duration) -> Option<(String, LineConnection)> {
        self.open_receiver.recv_timeout(time).ok()
    }

    /// Waits for the next client connection; returns none as soon as `answered` reports that the client has its answer.
    pub fn next_open_unless(
        &self,
        mut answered: impl FnMut() -> bool,
    ) -> Option<(String, LineConnection)> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Ok(opened) = self.open_receiver.try_recv() {
                return Some(opened);
            }
            if answered() {
                return None;
            }
            assert!(
                Instant::now() < deadline,
                "neither an OPEN nor an answer arrived in time"
            );
        }
    }

    /// All `OPEN` lines read so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Arrival times of the probes so far.
    pub fn probe_times(&self) -> Vec<Instant> {
        self.probes.arrival_times.lock().unwrap().clone()
    }

    /// Whether no `OPEN` is waiting for the test; one that is waiting is discarded.
    pub fn no_pending_open(&self) -> bool {
        self.open_receiver.try_recv().is_err()
    }

    /// Sets the answer to probes; with none the server leaves them unanswered.
    pub fn set_probe_answer(&self, answer: Option<&str>) {
        self.probes.state.lock().unwrap().0 = answer.map(str::to_string);
    }

    /// Waits until a probe is answered and the proxy has read the answer. The proxy handles its sockets in turn, so
    /// it has read the answer by the second of two pings sent after it.
    pub fn wait_for_probe(&self, proxy: &impl Pingable) {
        let state = self.probes.state.lock().unwrap();
        let changed = &self.probes.changed;
        let waited = changed.wait_timeout_while(state, WAIT_TIMEOUT, |(_, answered)| !*answered);
        assert!(
            !waited.unwrap().1.timed_out(),
            "no probe was answered in time"
        );
        assert!(proxy.answers_ping() && proxy.answers_ping());
    }

    /// The discovery row of this server in the given state.
    pub fn target_row(&self, state: &str) -> Value {
        target_row(&self.uid, &self.addr.to_string(), state)
    }
}

/// A discovery row in zone `a` with capacity 1.
pub fn target_row(uid: &str, endpoint: &str, state: &str) -> Value {
    json!({"uid": uid, "endpoint": endpoint, "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}
