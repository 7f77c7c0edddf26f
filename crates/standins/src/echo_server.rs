//! A server of lines that serves by itself: it takes every `OPEN` it has room for, answers each line and
//! each probe, and goes wrong on command.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::boottime_ms;

/// How it goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Takes connections and says nothing.
    Silent,
    /// Answers each `OPEN` with `ERR`.
    Failing,
    /// Answers each line this much later.
    Slow(Duration),
}

/// A client's connection here, by the clock that all processes of the machine share; it lasts until `u64::MAX` for as
/// long as it is open.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Visit {
    pub id: String,
    pub from: u64,
    pub until: u64,
}

#[derive(Debug)]
struct State {
    fault: Fault,
    room: usize,
    open: usize,
    /// When each `OPEN` came.
    opened: Vec<Instant>,
    /// Each connection that was taken.
    visits: Vec<Visit>,
    streams: Vec<TcpStream>,
}

#[derive(Clone, Debug)]
pub struct EchoServer {
    pub addr: SocketAddr,
    pub uid: String,
    state: Arc<Mutex<State>>,
}

impl EchoServer {
    /// Starts one with room for so many connections.
    pub fn start(uid: &str, room: usize) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State {
            fault: Fault::None,
            room,
            open: 0,
            opened: Vec::new(),
            visits: Vec::new(),
            streams: Vec::new(),
        };
        let worker = Self {
            addr: listener.local_addr()?,
            uid: uid.to_string(),
            state: Arc::new(Mutex::new(state)),
        };
        let of_thread = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = of_thread.clone();
                thread::spawn(move || worker.talk(stream));
            }
        });
        Ok(worker)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic")
    }

    pub fn set_fault(&self, fault: Fault) {
        self.state().fault = fault;
    }

    /// Resets every connection that it has, as a process that is killed.
    pub fn reset_connections(&self) {
        for stream in self.state().streams.drain(..) {
            // One that has ended already needs no end.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn open_connections(&self) -> usize {
        self.state().open
    }

    /// Every connection that it has taken, in their order.
    pub fn visits(&self) -> Vec<Visit> {
        self.state().visits.clone()
    }

    /// How many `OPEN` lines have come after a moment.
    pub fn count_opens_after(&self, moment: Instant) -> usize {
        let state = self.state();
        state.opened.iter().filter(|at| **at > moment).count()
    }

    fn talk(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        let mut up = None;
        let mut line = String::new();
        while reader.read_line(&mut line).unwrap_or(0) > 0 {
            let fault = self.state().fault;
            if let Fault::Slow(by) = fault {
                thread::sleep(by);
            }
            let answer = match line.split(' ').next().map(str::trim) {
                _ if fault == Fault::Silent => None,
                Some("OPEN") => Some(self.take(&out, fault, &line, &mut up)),
                Some("PING" | "STATS") => {
                    let state = self.state();
                    let load = state.open as f64 / state.room.max(1) as f64;
                    Some(format!("PONG x0={load:.3}"))
                }
                _ => Some(format!("OK {}", line.trim_end())),
            };
            line.clear();
            let written = answer.map(|answer| out.write_all(format!("{answer}\r\n").as_bytes()));
            if matches!(written, Some(Err(_))) {
                break;
            }
        }
        if let Some(visit) = up {
            let mut state = self.state();
            state.open -= 1;
            state.visits[visit].until = boottime_ms();
        }
    }

    fn take(&self, stream: &TcpStream, fault: Fault, line: &str, up: &mut Option<usize>) -> String {
        let mut state = self.state();
        state.opened.push(Instant::now());
        if fault == Fault::Failing {
            return "ERR".into();
        }
        if state.open >= state.room {
            return "BUSY".into();
        }
        state.open += 1;
        *up = Some(state.visits.len());
        state.visits.push(Visit {
            id: line.split_whitespace().nth(1).unwrap_or_default().into(),
            from: boottime_ms(),
            until: u64::MAX,
        });
        let receipt = state.opened.len();
        state.streams.extend(stream.try_clone());
        format!("UP {}-{receipt}", self.uid)
    }
}
