//! A server of the line protocol that runs independently of the test: it accepts every `OPEN` within its capacity,
//! answers each line and each probe, and injects faults when a test selects them.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::boottime_ms;

/// A fault of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Works without a fault.
    None,
    /// Accepts connections and sends nothing.
    Silent,
    /// Answers each `OPEN` with `ERR`.
    Failing,
    /// Answers each line after this delay.
    Slow(Duration),
}

/// A client connection that the server accepted. Times are milliseconds of the clock that all processes of the
/// machine share; `until` is `u64::MAX` while the connection is open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Visit {
    pub id: String,
    pub from: u64,
    pub until: u64,
}

#[derive(Debug)]
struct State {
    fault: Fault,
    capacity: usize,
    open_count: usize,
    /// Arrival time of each `OPEN`.
    open_times: Vec<Instant>,
    /// All accepted connections, open and ended.
    visits: Vec<Visit>,
    streams: Vec<TcpStream>,
}

/// A running server; clones control the same one.
#[derive(Clone, Debug)]
pub struct EchoServer {
    pub addr: SocketAddr,
    pub uid: String,
    state: Arc<Mutex<State>>,
}

impl EchoServer {
    /// Starts a server on a free loopback port that accepts up to `capacity` connections at a time.
    ///
    /// # Errors
    /// The port cannot be bound.
    pub fn start(uid: &str, capacity: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            fault: Fault::None,
            capacity,
            open_count: 0,
            open_times: Vec::new(),
            visits: Vec::new(),
            streams: Vec::new(),
        };
        let server = Self {
            addr: listener.local_addr()?,
            uid: uid.to_string(),
            state: Arc::new(Mutex::new(state)),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = accepting.clone();
                thread::spawn(move || server.serve_connection(stream));
            }
        });
        Ok(server)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("a thread of the server panicked")
    }

    /// Replaces the fault, also for open connections.
    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Shuts down all connections, as if the server's process had been killed.
    pub fn reset_connections(&self) {
        for stream in self.state().streams.drain(..) {
            // Fails for a connection that has ended already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// The number of accepted connections that are open.
    pub fn open_connections(&self) -> usize {
        self.state().open_count
    }

    /// All accepted connections so far, in the order of their acceptance.
    pub fn visits(&self) -> Vec<Visit> {
        self.state().visits.clone()
    }

    /// The number of `OPEN` lines received after `moment`.
    pub fn count_opens_after(&self, moment: Instant) -> usize {
        let state = self.state();
        state.open_times.iter().filter(|at| **at > moment).count()
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut visit_index = None;
        let mut line = String::new();
        while reader.read_line(&mut line).unwrap_or(0) > 0 {
            let fault = self.state().fault;
            if let Fault::Slow(delay) = fault {
                thread::sleep(delay);
            }
            let answer = match line.split(' ').next().map(str::trim) {
                _ if fault == Fault::Silent => None,
                Some("OPEN") => Some(self.answer_open(&writer, fault, &line, &mut visit_index)),
                Some("PING" | "STATS") => {
                    let state = self.state();
                    let load = state.open_count as f64 / state.capacity.max(1) as f64;
                    Some(format!("PONG x0={load:.3}"))
                }
                _ => Some(format!("OK {}", line.trim_end())),
            };
            line.clear();
            let written = answer.map(|answer| writer.write_all(format!("{answer}\r\n").as_bytes()));
            if matches!(written, Some(Err(_))) {
                break;
            }
        }
        if let Some(index) = visit_index {
            let mut state = self.state();
            state.open_count -= 1;
            state.visits[index].until = boottime_ms();
        }
    }

    /// Answers an `OPEN`; `visit_index` becomes the index of the visit if the connection is accepted.
    fn answer_open(
        &self,
        stream: &TcpStream,
        fault: Fault,
        line: &str,
        visit_index: &mut Option<usize>,
    ) -> String {
        let mut state = self.state();
        state.open_times.push(Instant::now());
        if fault == Fault::Failing {
            return "ERR".into();
        }
        if state.open_count >= state.capacity {
            return "BUSY".into();
        }
        state.open_count += 1;
        *visit_index = Some(state.visits.len());
        state.visits.push(Visit {
            id: line.split_whitespace().nth(1).unwrap_or_default().into(),
            from: boottime_ms(),
            until: u64::MAX,
        });
        let open_number = state.open_times.len();
        state.streams.extend(stream.try_clone());
        format!("UP {}-{open_number}", self.uid)
    }
}
