//! A server that keeps account of every attempt it is sent, and fails on command.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use socket2::SockRef;

/// How a server deals with an `OPEN` line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerMode {
    /// `UP` after so many milliseconds, then an answer to each line.
    Serve(u64),
    /// The line is read and nothing comes back; open connections fall silent too.
    Hang,
    /// The connection is reset once the line is read.
    Reset,
    /// It is closed once the line is read.
    Close,
    /// `ERR`.
    Error,
    /// `BUSY`: the request has not run.
    Busy,
    /// A line that is none of the protocol's.
    Garble,
    /// `UP` without the end of its line, and nothing more.
    HalfLine,
    /// `BYE` at once.
    Bye,
}

impl ServerMode {
    /// Whether an attempt that met this may have run.
    pub fn may_have_run(self) -> bool {
        self != Self::Busy
    }
}

/// One `OPEN` line that came in whole.
#[derive(Clone, Debug)]
pub struct AttemptRecord {
    pub id: String,
    pub server: String,
    /// When its connection was accepted, and when its last byte had come.
    pub accepted_at: Instant,
    pub received_at: Instant,
    pub mode: ServerMode,
    /// When the proxy ended the connection, or this server did.
    pub ended_at: Option<Instant>,
    pub ended_by_server: bool,
}

#[derive(Debug)]
struct Shared {
    uid: String,
    mode: Mutex<ServerMode>,
    /// Whether idle probe connections are closed as soon as they are answered.
    closes_probes: Mutex<bool>,
    arrivals: Mutex<Vec<AttemptRecord>>,
    open: AtomicUsize,
    /// Connections that load it fully.
    capacity: usize,
    /// Sockets of all its connections, so that a crash resets them.
    sockets: Mutex<BTreeMap<usize, TcpStream>>,
    next: AtomicUsize,
    up: Mutex<bool>,
}

/// A server with its account.
#[derive(Debug)]
pub struct SoakServer {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl SoakServer {
    pub fn start(uid: &str, capacity: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("bound");
        let shared = Arc::new(Shared {
            uid: uid.to_string(),
            mode: Mutex::new(ServerMode::Serve(0)),
            closes_probes: Mutex::new(false),
            arrivals: Mutex::default(),
            open: AtomicUsize::new(0),
            capacity,
            sockets: Mutex::default(),
            next: AtomicUsize::new(0),
            up: Mutex::new(true),
        });
        accept(listener, shared.clone());
        Self { addr, shared }
    }

    pub fn uid(&self) -> &str {
        &self.shared.uid
    }

    pub fn set_mode(&self, mode: ServerMode) {
        *self.shared.mode.lock().unwrap() = mode;
    }

    pub fn set_close_probes(&self, closes: bool) {
        *self.shared.closes_probes.lock().unwrap() = closes;
    }

    /// The row of a list that shows it.
    pub fn target_row(&self, state: &str, boot_ms: u64) -> Value {
        let mut row = crate::target_row(self.uid(), &self.addr.to_string(), state);
        row["boot_ms"] = json!(boot_ms);
        row
    }

    /// All its connections are reset, and new ones are from now on.
    pub fn crash(&self) {
        *self.shared.up.lock().unwrap() = false;
        let sockets = std::mem::take(&mut *self.shared.sockets.lock().unwrap());
        for socket in sockets.into_values() {
            reset(&socket);
        }
    }

    pub fn restart(&self) {
        *self.shared.up.lock().unwrap() = true;
    }

    /// Connections that came so far.
    pub fn connection_count(&self) -> usize {
        self.shared.next.load(Ordering::Relaxed)
    }

    pub fn attempts(&self) -> Vec<AttemptRecord> {
        self.shared.arrivals.lock().unwrap().clone()
    }
}

fn accept(listener: TcpListener, shared: Arc<Shared>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            if !*shared.up.lock().unwrap() {
                reset(&stream);
                continue;
            }
            let shared = shared.clone();
            let number = shared.next.fetch_add(1, Ordering::Relaxed);
            if let Ok(kept) = stream.try_clone() {
                shared.sockets.lock().unwrap().insert(number, kept);
            }
            let spawned = thread::Builder::new().stack_size(128 << 10).spawn(move || {
                // A peer that has gone ends the talk.
                let _ = shared.talk(stream);
                shared.sockets.lock().unwrap().remove(&number);
            });
            spawned.expect("a thread");
        }
    });
}

fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

impl Shared {
    fn talk(&self, stream: TcpStream) -> io::Result<()> {
        let accepted = Instant::now();
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut lines = BufReader::with_capacity(4096, stream);
        loop {
            let Some(line) = read_line(&mut lines)? else {
                return Ok(());
            };
            match line.split(' ').next() {
                Some("PING") => writer.write_all(b"PONG\r\n")?,
                Some("STATS") => {
                    let load = self.open.load(Ordering::Relaxed) as f64 / self.capacity as f64;
                    if *self.mode.lock().unwrap() == ServerMode::Hang {
                        continue;
                    }
                    writer.write_all(format!("PONG x0={load:.3}\r\n").as_bytes())?;
                    if *self.closes_probes.lock().unwrap() {
                        return Ok(());
                    }
                }
                Some("OPEN") => return self.serve(&line, accepted, writer, lines),
                _ => return writer.write_all(b"SYNTAX\r\n"),
            }
        }
    }

    fn serve(
        &self,
        line: &str,
        accepted: Instant,
        mut writer: TcpStream,
        mut lines: BufReader<TcpStream>,
    ) -> io::Result<()> {
        let mode = *self.mode.lock().unwrap();
        let arrival = AttemptRecord {
            id: line.split(' ').nth(1).unwrap_or_default().to_string(),
            server: self.uid.clone(),
            accepted_at: accepted,
            received_at: Instant::now(),
            mode,
            ended_at: None,
            ended_by_server: false,
        };
        let number = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(arrival);
            arrivals.len() - 1
        };
        self.open.fetch_add(1, Ordering::Relaxed);
        let by_server = self.answer(mode, number, &mut writer, &mut lines);
        self.open.fetch_sub(1, Ordering::Relaxed);
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals[number].ended_at = Some(Instant::now());
        arrivals[number].ended_by_server = by_server;
        Ok(())
    }

    /// Deals with one attempt to its end; whether this server ended it.
    fn answer(
        &self,
        mode: ServerMode,
        number: usize,
        writer: &mut TcpStream,
        lines: &mut BufReader<TcpStream>,
    ) -> bool {
        let mut say = |text: &[u8]| writer.write_all(text).is_ok();
        match mode {
            ServerMode::Serve(delay) => {
                if !lasts_for(lines, Duration::from_millis(delay)) {
                    return false;
                }
                say(format!("UP {:x}\r\n", number + 1).as_bytes());
                return self.echo(writer, lines);
            }
            ServerMode::Hang => {}
            ServerMode::Reset => {
                reset(writer);
                return true;
            }
            ServerMode::Close => return true,
            ServerMode::Error => {
                say(b"ERR\r\n");
                return true;
            }
            ServerMode::Busy => {
                say(b"BUSY\r\n");
                return true;
            }
            ServerMode::Bye => {
                say(b"BYE\r\n");
                return true;
            }
            ServerMode::Garble => drop(say(b"\xffUPSIDE \x00down\r\n")),
            ServerMode::HalfLine => drop(say(b"UP 77")),
        }
        // Nothing more is said; the proxy gives it up.
        while let Ok(Some(_)) = read_line(lines) {}
        false
    }

    /// Answers each line until the proxy ends the connection; whether this server was told to crash meanwhile.
    fn echo(&self, writer: &mut TcpStream, lines: &mut BufReader<TcpStream>) -> bool {
        while let Ok(Some(line)) = read_line(lines) {
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
        !*self.up.lock().unwrap()
    }
}

/// Waits for so long; false if the proxy ends the connection or sends on meanwhile.
fn lasts_for(lines: &mut BufReader<TcpStream>, delay: Duration) -> bool {
    if delay.is_zero() {
        return true;
    }
    let _ = lines.get_ref().set_read_timeout(Some(delay));
    let quiet = lines
        .fill_buf()
        .is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
    let _ = lines.get_ref().set_read_timeout(None);
    quiet
}

fn read_line(lines: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = String::new();
    match lines.read_line(&mut line)? {
        0 => Ok(None),
        _ => Ok(Some(line.trim_end().to_string())),
    }
}
