//! Stage four: a single attempt at one server, from the connect to the server's first line.

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
    /// Bytes received from the server that have not been sent to the client.
    pub ring: RingBuffer,
}

/// The result of one attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The connection is up; the ring begins with the server's `UP` line.
    Up(ServerConnection),
    /// The server has served the request and sent `BYE`: the ring holds the bytes to relay to the client.
    Served(ServerConnection),
    /// The attempt failed; the report is the load report in the server's line, if there was one.
    Failed(Outcome, Report),
}

/// Logs a server's line that is not a valid answer, and returns the outcome of the attempt: an error, because the
/// request may have run. The log is throttled, so that broken servers can't fill it.
fn log_unknown_line(endpoint: SocketAddr, line: &[u8], log_throttle: &LogThrottle) -> Outcome {
    if let Some(left_out) = log_throttle.try_acquire() {
        warn!(%endpoint, line = %line_protocol::log_excerpt(line), left_out, "a server's line that is unknown");
    }
    Outcome::Error
}

/// An established connection.
struct Dialed {
    stream: TcpStream,
    /// A lack of resources on this machine delayed the dial.
    delayed: bool,
}

/// Dials a server. A dial that fails because this machine lacks resources is retried until the deadline, since the
/// server is not at fault.
async fn dial(
    endpoint: SocketAddr,
    deadline: Instant,
    limits: &Limits,
    log_throttle: &LogThrottle,
) -> Result<Dialed, Outcome> {
    let mut delayed = false;
    loop {
        let now = Instant::now();
        let connect_deadline = deadline.min(now + limits.connect_timeout);
        let error = match timeout_at(connect_deadline, connect(endpoint)).await {
            Ok(Ok(stream)) => return Ok(Dialed { stream, delayed }),
            Ok(Err(DialError::Local(error))) => error,
            Ok(Err(DialError::Peer(_))) => return Err(Outcome::ConnectFailed),
            // Waiting for resources left the dial too little time.
            Err(_) if delayed => return Err(Outcome::LocalFailure),
            // The request had too little time left for the timeout to be evidence against the server.
            Err(_) if connect_deadline - now < limits.connect_timeout / 2 => {
                return Err(Outcome::NotSent);
            }
            Err(_) => return Err(Outcome::ConnectFailed),
        };
        if let Some(left_out) = log_throttle.try_acquire() {
            warn!(%endpoint, %error, left_out, "dial failed for lack of resources on this machine");
        }
        if Instant::now() + limits.dial_retry_interval >= deadline {
            return Err(Outcome::LocalFailure);
        }
        delayed = true;
        sleep(limits.dial_retry_interval).await;
    }
}

/// An attempt as the balancer decided it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    pub request: RequestId,
    pub server: ServerId,
    pub endpoint: SocketAddr,
    pub timeout: Duration,
}

/// Sends the client's line to a server and waits for the server's first line. Dropping the future closes the
/// connection and so abandons the attempt. The conditions of the decision may cease to hold during the dial:
/// `still_valid` is called right before the line is written, and if it returns false, nothing is sent.
/// `on_written` is awaited right after the write.
pub async fn run_attempt(
    target: AttemptTarget,
    open: &OpenLine<'_>,
    still_valid: impl Fn() -> bool,
    on_written: impl AsyncFnOnce(),
    (limits, log_throttle): (&Limits, &LogThrottle),
) -> AttemptResult {
    let endpoint = target.endpoint;
    let start = Instant::now();
    let deadline = start + target.timeout;
    let failed = |outcome| AttemptResult::Failed(outcome, Report::default());
    let Dialed { stream, delayed } = match dial(endpoint, deadline, limits, log_throttle).await {
        Ok(dialed) => dialed,
        Err(outcome) => return failed(outcome),
    };
    let _ = stream.set_nodelay(true);
    if !still_valid() {
        return failed(Outcome::NotSent);
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    let line = open.encode_with_wait(remaining.as_millis() as u64);
    let write_start_us = enabled!(Level::DEBUG).then(monotonic_us);
    let Ok(Ok(())) = timeout_at(deadline, write_all(&stream, &line)).await else {
        // The server has not received the end of the line, so the request can't have run.
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
    match timeout_at(deadline, server.ring.fill_until_line(&server.stream)).await {
        // A lack of resources on this machine left the server less time: the request may have run, and the server is
        // not at fault.
        Err(_) if delayed => failed(Outcome::Cancelled),
        Err(_) => failed(Outcome::TimedOut),
        Ok(Err(_)) => failed(Outcome::Reset),
        Ok(Ok(line)) => match line_protocol::parse_server_line(&line) {
            // A line that is too long is invalid.
            _ if line.len() > limits.max_line_bytes => {
                failed(log_unknown_line(endpoint, &line, log_throttle))
            }
            ServerLine::Up => AttemptResult::Up(server),
            ServerLine::Bye(_) => AttemptResult::Served(server),
            ServerLine::Move => failed(Outcome::Cancelled),
            // `BUSY` means that the request never ran only if nothing follows the line.
            ServerLine::Busy(report) if server.ring.holds_one_line() => {
                AttemptResult::Failed(Outcome::Full, report)
            }
            ServerLine::Err(report) => AttemptResult::Failed(Outcome::Error, report),
            _ => failed(log_unknown_line(endpoint, &line, log_throttle)),
        },
    }
}
