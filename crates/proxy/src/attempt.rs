//! Stage four: one attempt at one server, from the connect to the server's first line.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::{Level, debug, enabled, warn};
use violetwind_balancer::api::{Outcome, Report, RequestId, ServerId};
use violetwind_engine::monotonic_us;
use violetwind_net::{DialError, connect, write_all};

use crate::limits::Limits;
use crate::line_protocol::{self, OpenLine, ServerLine};
use crate::log_throttle::LogThrottle;
use crate::ring_buffer::RingBuffer;

/// The server's side of a connection.
#[derive(Debug)]
pub struct ServerConnection {
    pub stream: TcpStream,
    /// What the server has sent and the client has not got yet.
    pub ring: RingBuffer,
}

#[derive(Debug)]
pub enum AttemptResult {
    /// The ring begins with the server's `UP`.
    Up(ServerConnection),
    /// Served to its end at once: the ring holds what the client gets.
    Served(ServerConnection),
    Failed(Outcome, Report),
}

/// What a server's answer comes to that is none: the request may have run. Servers that are broken must not fill
/// the log.
fn spoilt(endpoint: SocketAddr, line: &[u8], repeats: &LogThrottle) -> Outcome {
    if let Some(left_out) = repeats.try_acquire() {
        warn!(%endpoint, line = %line_protocol::log_excerpt(line), left_out, "a server's line that is unknown");
    }
    Outcome::Error
}

/// A connection that is up, and whether a shortage of this machine held it up.
struct Dialled {
    stream: TcpStream,
    delayed: bool,
}

/// Dials a server. While this machine is short of what a dial takes, that is waited for: no server is to blame.
async fn dial(
    endpoint: SocketAddr,
    until: Instant,
    limits: &Limits,
    repeats: &LogThrottle,
) -> Result<Dialled, Outcome> {
    let mut delayed = false;
    loop {
        let now = Instant::now();
        let until_up = until.min(now + limits.connect_timeout);
        let error = match timeout_at(until_up, connect(endpoint)).await {
            Ok(Ok(stream)) => return Ok(Dialled { stream, delayed }),
            Ok(Err(DialError::Local(error))) => error,
            Ok(Err(DialError::Peer(_))) => return Err(Outcome::ConnectFailed),
            // The shortage left it too little time.
            Err(_) if delayed => return Err(Outcome::LocalFailure),
            // The request had so little that nothing is known of the server.
            Err(_) if until_up - now < limits.connect_timeout / 2 => return Err(Outcome::NotSent),
            Err(_) => return Err(Outcome::ConnectFailed),
        };
        if let Some(left_out) = repeats.try_acquire() {
            warn!(%endpoint, %error, left_out, "this machine is short of what a dial takes");
        }
        if Instant::now() + limits.dial_retry_interval >= until {
            return Err(Outcome::LocalFailure);
        }
        delayed = true;
        sleep(limits.dial_retry_interval).await;
    }
}

/// One attempt as it was decided.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    pub request: RequestId,
    pub server: ServerId,
    pub endpoint: SocketAddr,
    pub timeout: Duration,
}

/// Sends the client's line to a server and waits for what comes back. Dropping the future closes
/// the connection, which gives the attempt up. The dial takes its time, and what held when the attempt was
/// decided may hold no more: `still_valid` is asked right before the line is written, and without its word nothing
/// is sent. `on_written` is awaited right behind the writing.
pub async fn run_attempt(
    target: AttemptTarget,
    open: &OpenLine<'_>,
    still_valid: impl Fn() -> bool,
    on_written: impl AsyncFnOnce(),
    (limits, repeats): (&Limits, &LogThrottle),
) -> AttemptResult {
    let endpoint = target.endpoint;
    let start = Instant::now();
    let until = start + target.timeout;
    let failed = |outcome| AttemptResult::Failed(outcome, Report::default());
    let Dialled { stream, delayed } = match dial(endpoint, until, limits, repeats).await {
        Ok(dialled) => dialled,
        Err(outcome) => return failed(outcome),
    };
    let _ = stream.set_nodelay(true);
    if !still_valid() {
        return failed(Outcome::NotSent);
    }
    let left = until.saturating_duration_since(Instant::now());
    let line = open.encode_with_wait(left.as_millis() as u64);
    let write_start_us = enabled!(Level::DEBUG).then(monotonic_us);
    let Ok(Ok(())) = timeout_at(until, write_all(&stream, &line)).await else {
        // Without the line's last byte nothing can have run.
        return failed(Outcome::ConnectFailed);
    };
    debug!(
        id = open.id,
        request = target.request,
        server = target.server,
        write_start_us,
        write_end_us = monotonic_us(),
        "line written"
    );
    on_written().await;
    let mut server = ServerConnection {
        stream,
        ring: RingBuffer::new(limits.ring_buffer_bytes),
    };
    match timeout_at(until, server.ring.fill_until_line(&server.stream)).await {
        // The server had only what a shortage of this machine left it: it may have run, and is not to blame.
        Err(_) if delayed => failed(Outcome::Cancelled),
        Err(_) => failed(Outcome::TimedOut),
        Ok(Err(_)) => failed(Outcome::Reset),
        Ok(Ok(line)) => match line_protocol::parse_server_line(&line) {
            // A line that is too long is none.
            _ if line.len() > limits.max_line_bytes => failed(spoilt(endpoint, &line, repeats)),
            ServerLine::Up => AttemptResult::Up(server),
            ServerLine::Bye(_) => AttemptResult::Served(server),
            ServerLine::Move => failed(Outcome::Cancelled),
            // Only where nothing follows it does it say that the request never ran.
            ServerLine::Busy(report) if server.ring.holds_one_line() => {
                AttemptResult::Failed(Outcome::Full, report)
            }
            ServerLine::Err(report) => AttemptResult::Failed(Outcome::Error, report),
            _ => failed(spoilt(endpoint, &line, repeats)),
        },
    }
}
