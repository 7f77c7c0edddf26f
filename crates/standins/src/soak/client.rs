//! A client that asks once, talks while it is served, and writes down what it saw.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

/// How a client behaves.
#[derive(Clone, Debug)]
pub struct ClientBehaviour {
    pub class: String,
    /// How long it waits for `UP`.
    pub deadline: Duration,
    /// It leaves so long after its line, if it has no answer by then.
    pub disconnect_after: Option<(Duration, DisconnectKind)>,
    /// How long it talks once it is served, and how often.
    pub session_duration: Duration,
    pub message_interval: Duration,
    /// It says `PING` first and rests for so long before its line.
    pub pause_before_open: Option<Duration>,
}

/// How it leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectKind {
    Close,
    HalfClose,
    Reset,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The proxy could not be reached, or turned it away before its line was written.
    NotTaken,
    Up,
    Bye,
    Busy,
    Failed(String),
    /// The connection was closed or reset without an answer.
    Closed,
    Reset,
    /// Nothing came long after its time.
    Silence,
    /// It left first.
    Left,
}

/// How a connection that was up ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionOutcome {
    /// By the client itself, its last line answered.
    ByClient,
    Moved,
    /// Closed or reset without `MOVE`.
    Cut,
    /// A line of the client was not answered for so long.
    Held(Duration),
    /// Something else than an answer came.
    Spoilt(String),
}

#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub id: String,
    pub class: String,
    pub deadline: Duration,
    /// When its last byte was written.
    pub sent_at: Instant,
    pub outcome: RequestOutcome,
    pub answered_at: Instant,
    pub disconnected_at: Option<Instant>,
    pub connection_outcome: Option<ConnectionOutcome>,
    pub ended_at: Instant,
}

/// Far past any time: what has not come by then never comes.
const NEVER: Duration = Duration::from_secs(3);
/// A server that brings nothing back is to be left within this.
const SILENT: Duration = Duration::from_secs(7);

/// Asks at a proxy and stays until the end.
pub fn run_client(proxy: SocketAddr, id: &str, behaviour: &ClientBehaviour) -> RequestRecord {
    let now = Instant::now();
    let mut account = RequestRecord {
        id: id.to_string(),
        class: behaviour.class.clone(),
        deadline: behaviour.deadline,
        sent_at: now,
        outcome: RequestOutcome::NotTaken,
        answered_at: now,
        disconnected_at: None,
        connection_outcome: None,
        ended_at: now,
    };
    let Ok(mut stream) = TcpStream::connect(proxy) else {
        return account;
    };
    let _ = stream.set_nodelay(true);
    if let Some(rest) = behaviour.pause_before_open {
        let pong = stream.write_all(b"PING\r\n").is_ok() && read_line(&mut stream, NEVER).is_ok();
        thread::sleep(rest);
        if !pong || ended(&stream) {
            return account;
        }
    }
    let ms = behaviour.deadline.as_millis();
    let line = format!(
        "OPEN {id} 7f3a9c21e0b4d655 c={},d={ms}\r\n",
        behaviour.class
    );
    if stream.write_all(line.as_bytes()).is_err() {
        return account;
    }
    account.sent_at = Instant::now();
    account.outcome = first_answer(&mut stream, behaviour, &mut account.disconnected_at);
    account.answered_at = Instant::now();
    if account.outcome == RequestOutcome::Up {
        account.connection_outcome = Some(talk(&mut stream, behaviour));
    }
    account.ended_at = Instant::now();
    account
}

/// Whether the proxy has ended a connection or said a last line on it: nothing is sent there any more.
fn ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

fn first_answer(
    stream: &mut TcpStream,
    behaviour: &ClientBehaviour,
    left: &mut Option<Instant>,
) -> RequestOutcome {
    let patience = behaviour.deadline + NEVER;
    let within = behaviour
        .disconnect_after
        .map_or(patience, |(after, _)| after.min(patience));
    let line = match read_line(stream, within) {
        Ok(line) => line,
        Err(error) if is_timeout(&error) => {
            let Some((_, how)) = behaviour.disconnect_after else {
                return RequestOutcome::Silence;
            };
            *left = Some(Instant::now());
            match how {
                DisconnectKind::Close => {}
                DisconnectKind::HalfClose => {
                    let _ = stream.shutdown(Shutdown::Write);
                    // It reads on: whatever comes, it has left.
                    let _ = read_line(stream, NEVER);
                }
                DisconnectKind::Reset => {
                    drop(SockRef::from(&*stream).set_linger(Some(Duration::ZERO)))
                }
            }
            return RequestOutcome::Left;
        }
        Err(error) if error.kind() == ErrorKind::UnexpectedEof => return RequestOutcome::Closed,
        Err(_) => return RequestOutcome::Reset,
    };
    match line.split(' ').next() {
        Some("UP") => RequestOutcome::Up,
        Some("BYE") => RequestOutcome::Bye,
        Some("BUSY") => RequestOutcome::Busy,
        _ => RequestOutcome::Failed(line),
    }
}

/// Talks on a connection that is up until its own end or another's.
fn talk(stream: &mut TcpStream, behaviour: &ClientBehaviour) -> ConnectionOutcome {
    let until = Instant::now() + behaviour.session_duration;
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let said = Instant::now();
        if stream
            .write_all(format!("SAY {number}\r\n").as_bytes())
            .is_err()
        {
            // What the other side said before it ended is still to be read.
            return last_words(stream, number);
        }
        match read_line(stream, SILENT + NEVER) {
            Ok(line) if line == format!("OK SAY {number}") => {
                let took = said.elapsed();
                if took > Duration::from_secs(1) {
                    return ConnectionOutcome::Held(took);
                }
            }
            Ok(line) if line == "MOVE" => return ConnectionOutcome::Moved,
            Ok(line) => return ConnectionOutcome::Spoilt(line),
            Err(error) if is_timeout(&error) => return ConnectionOutcome::Held(said.elapsed()),
            Err(_) => return ConnectionOutcome::Cut,
        }
        thread::sleep(
            behaviour
                .message_interval
                .min(until.saturating_duration_since(Instant::now())),
        );
    }
    ConnectionOutcome::ByClient
}

fn last_words(stream: &mut TcpStream, number: usize) -> ConnectionOutcome {
    loop {
        match read_line(stream, NEVER) {
            Ok(line) if line == "MOVE" => return ConnectionOutcome::Moved,
            Ok(line) if line == format!("OK SAY {number}") => {}
            Ok(line) => return ConnectionOutcome::Spoilt(line),
            Err(_) => return ConnectionOutcome::Cut,
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

/// The next line without its end. Byte by byte: what follows it stays in the socket.
fn read_line(stream: &mut TcpStream, within: Duration) -> io::Result<String> {
    let until = Instant::now() + within;
    let mut line = Vec::new();
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let mut byte = [0];
        if stream.read(&mut byte)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match byte[0] {
            b'\n' => break,
            b'\r' => {}
            other => line.push(other),
        }
    }
    Ok(String::from_utf8_lossy(&line).into_owned())
}
