//! A client that sends one request, exchanges messages while its connection is up, and records the outcome.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use socket2::SockRef;

/// How a client behaves.
#[derive(Clone, Debug)]
pub struct ClientBehaviour {
    pub class: String,
    /// How long the client waits for `UP`.
    pub deadline: Duration,
    /// The client disconnects this long after its `OPEN`, unless it has an answer by then.
    pub disconnect_after: Option<(Duration, DisconnectKind)>,
    /// How long the client exchanges messages once its connection is up, and the pause between two of them.
    pub session_duration: Duration,
    pub message_interval: Duration,
    /// The client first sends `PING`, and pauses for this long before its `OPEN`.
    pub pause_before_open: Option<Duration>,
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisconnectKind {
    Close,
    HalfClose,
    Reset,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The proxy could not be reached, or closed the connection before the `OPEN` was written.
    NotTaken,
    Up,
    Bye,
    Busy,
    /// Any other answer line.
    Failed(String),
    /// The connection was closed or reset without an answer.
    Closed,
    Reset,
    /// No answer arrived until long after the deadline.
    Silence,
    /// The client disconnected before an answer.
    Left,
}

/// The end of a connection that was up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConnectionOutcome {
    /// The client ended it, with its last line answered.
    ByClient,
    Moved,
    /// Closed or reset without `MOVE`.
    Cut,
    /// A line of the client was not answered for this long.
    Held(Duration),
    /// A line arrived that is not the expected answer.
    Spoilt(String),
}

/// A client's record of its request.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    pub id: String,
    pub class: String,
    pub deadline: Duration,
    /// When the last byte of its `OPEN` was written.
    pub sent_at: Instant,
    pub outcome: RequestOutcome,
    pub answered_at: Instant,
    pub disconnected_at: Option<Instant>,
    pub connection_outcome: Option<ConnectionOutcome>,
    pub ended_at: Instant,
}

/// Added to a time limit: an answer that has not arrived by then is taken as never arriving.
const NO_ANSWER_MARGIN: Duration = Duration::from_secs(3);
/// The proxy has to end a connection to a server that sends nothing back within this time.
const SILENT_SERVER_LIMIT: Duration = Duration::from_secs(7);

/// Sends a request to a proxy, and follows the connection to its end.
pub fn run_client(proxy: SocketAddr, id: &str, behaviour: &ClientBehaviour) -> RequestRecord {
    let now = Instant::now();
    let mut record = RequestRecord {
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
        return record;
    };
    let _ = stream.set_nodelay(true);
    if let Some(pause) = behaviour.pause_before_open {
        let is_answered = stream.write_all(b"PING\r\n").is_ok()
            && read_line(&mut stream, NO_ANSWER_MARGIN).is_ok();
        thread::sleep(pause);
        if !is_answered || has_ended(&stream) {
            return record;
        }
    }
    let deadline_ms = behaviour.deadline.as_millis();
    let line = format!(
        "OPEN {id} 7f3a9c21e0b4d655 c={},d={deadline_ms}\r\n",
        behaviour.class
    );
    if stream.write_all(line.as_bytes()).is_err() {
        return record;
    }
    record.sent_at = Instant::now();
    record.outcome = read_first_answer(&mut stream, behaviour, &mut record.disconnected_at);
    record.answered_at = Instant::now();
    if record.outcome == RequestOutcome::Up {
        record.connection_outcome = Some(exchange_messages(&mut stream, behaviour));
    }
    record.ended_at = Instant::now();
    record
}

/// Whether the proxy has closed a connection or sent a final line on it, so that no request is to be sent on it.
fn has_ended(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Waits for the answer to the `OPEN`, and disconnects once `disconnect_after` has passed without one.
fn read_first_answer(
    stream: &mut TcpStream,
    behaviour: &ClientBehaviour,
    disconnected_at: &mut Option<Instant>,
) -> RequestOutcome {
    let timeout = behaviour.deadline + NO_ANSWER_MARGIN;
    let time_limit = behaviour
        .disconnect_after
        .map_or(timeout, |(after, _)| after.min(timeout));
    let line = match read_line(stream, time_limit) {
        Ok(line) => line,
        Err(error) if is_timeout(&error) => {
            let Some((_, kind)) = behaviour.disconnect_after else {
                return RequestOutcome::Silence;
            };
            *disconnected_at = Some(Instant::now());
            match kind {
                DisconnectKind::Close => {}
                DisconnectKind::HalfClose => {
                    let _ = stream.shutdown(Shutdown::Write);
                    // The client still reads, but it counts as disconnected whatever arrives.
                    let _ = read_line(stream, NO_ANSWER_MARGIN);
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

/// Exchanges messages on a connection that is up until either side ends it.
fn exchange_messages(stream: &mut TcpStream, behaviour: &ClientBehaviour) -> ConnectionOutcome {
    let session_end = Instant::now() + behaviour.session_duration;
    let mut number = 0;
    while Instant::now() < session_end {
        number += 1;
        let sent_at = Instant::now();
        if stream
            .write_all(format!("SAY {number}\r\n").as_bytes())
            .is_err()
        {
            // Lines that the peer sent before it ended the connection are still to be read.
            return read_remaining_lines(stream, number);
        }
        match read_line(stream, SILENT_SERVER_LIMIT + NO_ANSWER_MARGIN) {
            Ok(line) if line == format!("OK SAY {number}") => {
                let elapsed = sent_at.elapsed();
                if elapsed > Duration::from_secs(1) {
                    return ConnectionOutcome::Held(elapsed);
                }
            }
            Ok(line) if line == "MOVE" => return ConnectionOutcome::Moved,
            Ok(line) => return ConnectionOutcome::Spoilt(line),
            Err(error) if is_timeout(&error) => return ConnectionOutcome::Held(sent_at.elapsed()),
            Err(_) => return ConnectionOutcome::Cut,
        }
        thread::sleep(
            behaviour
                .message_interval
                .min(session_end.saturating_duration_since(Instant::now())),
        );
    }
    ConnectionOutcome::ByClient
}

/// Reads the lines left on a connection whose peer has ended it.
fn read_remaining_lines(stream: &mut TcpStream, number: usize) -> ConnectionOutcome {
    loop {
        match read_line(stream, NO_ANSWER_MARGIN) {
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

/// Reads the next line without its end. Reads byte by byte, so that the bytes after it stay in the socket.
fn read_line(stream: &mut TcpStream, time_limit: Duration) -> io::Result<String> {
    let deadline = Instant::now() + time_limit;
    let mut line = Vec::new();
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(remaining))?;
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
