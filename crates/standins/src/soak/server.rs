//! A server that records every attempt, and injects faults when its mode selects them.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::SockRef;

/// How a server answers an `OPEN` line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerMode {
    /// Answers `UP` after this many milliseconds, then answers each line.
    Serve(u64),
    /// Reads the line and sends nothing; open connections get no more answers either.
    Hang,
    /// Resets the connection once the line is read.
    Reset,
    /// Closes the connection once the line is read.
    Close,
    /// Answers `ERR`.
    Error,
    /// Answers `BUSY`: the request has not run.
    Busy,
    /// Answers with a line that is not part of the protocol.
    Garble,
    /// Sends `UP` without the end of its line, and nothing more.
    HalfLine,
    /// Answers `BYE`.
    Bye,
}

impl ServerMode {
    /// Whether an attempt answered in this mode may have run.
    pub fn may_have_run(self) -> bool {
        self != Self::Busy
    }
}

/// The record of an attempt: a completely received `OPEN` line.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    pub id: String,
    pub server: String,
    /// When its connection was accepted, and when the last byte of the line had arrived.
    pub accepted_at: Instant,
    pub received_at: Instant,
    pub mode: ServerMode,
    /// When the proxy or this server ended the connection.
    pub ended_at: Option<Instant>,
    pub ended_by_server: bool,
}

/// State shared by the threads of a server.
#[derive(Debug)]
struct Shared {
    uid: String,
    mode: Mutex<ServerMode>,
    /// Whether probe connections are closed as soon as a probe is answered.
    closes_probes: Mutex<bool>,
    attempts: Mutex<Vec<AttemptRecord>>,
    open_attempts: AtomicUsize,
    /// The number of connections that load the server fully.
    capacity: usize,
    /// Sockets of all connections, for the reset in a crash.
    sockets: Mutex<BTreeMap<usize, TcpStream>>,
    next_connection: AtomicUsize,
    is_up: Mutex<bool>,
}

/// A running server and its record of attempts.
#[derive(Debug)]
pub struct SoakServer {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl SoakServer {
    /// Starts a server on a free loopback port, in mode `Serve(0)`.
    pub fn start(uid: &str, capacity: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("no loopback port could be bound");
        let addr = listener
            .local_addr()
            .expect("the listener has no local address");
        let shared = Arc::new(Shared {
            uid: uid.to_string(),
            mode: Mutex::new(ServerMode::Serve(0)),
            closes_probes: Mutex::new(false),
            attempts: Mutex::default(),
            open_attempts: AtomicUsize::new(0),
            capacity,
            sockets: Mutex::default(),
            next_connection: AtomicUsize::new(0),
            is_up: Mutex::new(true),
        });
        spawn_accept_loop(listener, shared.clone());
        Self { addr, shared }
    }

    /// The server's uid in the list of servers.
    pub fn uid(&self) -> &str {
        &self.shared.uid
    }

    /// Changes the mode of attempts from now on. `Hang` also silences open connections and `STATS`.
    pub fn set_mode(&self, mode: ServerMode) {
        *self.shared.mode.lock().unwrap() = mode;
    }

    /// Sets whether probe connections are closed as soon as a probe is answered.
    pub fn set_close_probes(&self, close: bool) {
        *self.shared.closes_probes.lock().unwrap() = close;
    }

    /// The discovery row of this server.
    pub fn target_row(&self, state: &str, boot_ms: u64) -> Value {
        let mut row = crate::target_row(self.uid(), &self.addr.to_string(), state);
        row["boot_ms"] = json!(boot_ms);
        row
    }

    /// Resets all connections, and new ones until [`Self::restart`].
    pub fn crash(&self) {
        *self.shared.is_up.lock().unwrap() = false;
        let sockets = std::mem::take(&mut *self.shared.sockets.lock().unwrap());
        for socket in sockets.into_values() {
            reset(&socket);
        }
    }

    /// Accepts connections again after a crash.
    pub fn restart(&self) {
        *self.shared.is_up.lock().unwrap() = true;
    }

    /// The number of connections accepted so far.
    pub fn connection_count(&self) -> usize {
        self.shared.next_connection.load(Ordering::Relaxed)
    }

    /// The records of all attempts so far.
    pub fn attempts(&self) -> Vec<AttemptRecord> {
        self.shared.attempts.lock().unwrap().clone()
    }
}

/// Accepts connections in a thread of its own, each served by another thread.
fn spawn_accept_loop(listener: TcpListener, shared: Arc<Shared>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if !*shared.is_up.lock().unwrap() {
                reset(&stream);
                continue;
            }
            let shared = shared.clone();
            let number = shared.next_connection.fetch_add(1, Ordering::Relaxed);
            if let Ok(socket) = stream.try_clone() {
                shared.sockets.lock().unwrap().insert(number, socket);
            }
            let handle = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                // An I/O error means that the peer has gone, which ends the connection.
                let _ = shared.serve_connection(stream);
                shared.sockets.lock().unwrap().remove(&number);
            });
            handle.expect("no thread could be started");
        }
    });
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

impl Shared {
    /// Answers probes on a connection, and serves an attempt once an `OPEN` arrives.
    fn serve_connection(&self, stream: TcpStream) -> io::Result<()> {
        let accepted_at = Instant::now();
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::with_capacity(4096, stream);
        loop {
            let Some(line) = read_line(&mut reader)? else {
                return Ok(());
            };
            match line.split(' ').next() {
                Some("PING") => writer.write_all(b"PONG\r\n")?,
                Some("STATS") => {
                    let load =
                        self.open_attempts.load(Ordering::Relaxed) as f64 / self.capacity as f64;
                    if *self.mode.lock().unwrap() == ServerMode::Hang {
                        continue;
                    }
                    writer.write_all(format!("PONG x0={load:.3}\r\n").as_bytes())?;
                    if *self.closes_probes.lock().unwrap() {
                        return Ok(());
                    }
                }
                Some("OPEN") => return self.serve_attempt(&line, accepted_at, writer, reader),
                _ => return writer.write_all(b"SYNTAX\r\n"),
            }
        }
    }

    /// Records an attempt, and serves it to its end.
    fn serve_attempt(
        &self,
        line: &str,
        accepted_at: Instant,
        mut writer: TcpStream,
        mut reader: BufReader<TcpStream>,
    ) -> io::Result<()> {
        let mode = *self.mode.lock().unwrap();
        let attempt = AttemptRecord {
            id: line.split(' ').nth(1).unwrap_or_default().to_string(),
            server: self.uid.clone(),
            accepted_at,
            received_at: Instant::now(),
            mode,
            ended_at: None,
            ended_by_server: false,
        };
        let index = {
            let mut attempts = self.attempts.lock().unwrap();
            attempts.push(attempt);
            attempts.len() - 1
        };
        self.open_attempts.fetch_add(1, Ordering::Relaxed);
        let ended_by_server = self.answer_attempt(mode, index, &mut writer, &mut reader);
        self.open_attempts.fetch_sub(1, Ordering::Relaxed);
        let mut attempts = self.attempts.lock().unwrap();
        attempts[index].ended_at = Some(Instant::now());
        attempts[index].ended_by_server = ended_by_server;
        Ok(())
    }

    /// Serves one attempt to its end. Returns whether this server ended it.
    fn answer_attempt(
        &self,
        mode: ServerMode,
        index: usize,
        writer: &mut TcpStream,
        reader: &mut BufReader<TcpStream>,
    ) -> bool {
        let mut send = |text: &[u8]| writer.write_all(text).is_ok();
        match mode {
            ServerMode::Serve(delay) => {
                if !stays_quiet_for(reader, Duration::from_millis(delay)) {
                    return false;
                }
                send(format!("UP {:x}\r\n", index + 1).as_bytes());
                return self.echo(writer, reader);
            }
            ServerMode::Hang => {}
            ServerMode::Reset => {
                reset(writer);
                return true;
            }
            ServerMode::Close => return true,
            ServerMode::Error => {
                send(b"ERR\r\n");
                return true;
            }
            ServerMode::Busy => {
                send(b"BUSY\r\n");
                return true;
            }
            ServerMode::Bye => {
                send(b"BYE\r\n");
                return true;
            }
            ServerMode::Garble => drop(send(b"\xffUPSIDE \x00down\r\n")),
            ServerMode::HalfLine => drop(send(b"UP 77")),
        }
        // Nothing more is sent until the proxy gives up the attempt.
        while let Ok(Some(_)) = read_line(reader) {}
        false
    }

    /// Answers each line until the connection ends. Returns whether this server has crashed meanwhile.
    fn echo(&self, writer: &mut TcpStream, reader: &mut BufReader<TcpStream>) -> bool {
        while let Ok(Some(line)) = read_line(reader) {
            if *self.mode.lock().unwrap() == ServerMode::Hang {
                continue;
            }
            if writer
                .write_all(format!("OK {line}\r\n").as_bytes())
                .is_err()
            {
                break;
            }
        }
        !*self.is_up.lock().unwrap()
    }
}

/// Waits for `delay`. Returns false if the proxy ends the connection or sends more bytes meanwhile.
fn stays_quiet_for(reader: &mut BufReader<TcpStream>, delay: Duration) -> bool {
    if delay.is_zero() {
        return true;
    }
    let _ = reader.get_ref().set_read_timeout(Some(delay));
    let is_quiet = reader
        .fill_buf()
        .is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
    let _ = reader.get_ref().set_read_timeout(None);
    is_quiet
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = String::new();
    match reader.read_line(&mut line)? {
        0 => Ok(None),
        _ => Ok(Some(line.trim_end().to_string())),
    }
}
