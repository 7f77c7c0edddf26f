//! Stage four: one attempt at one server, from the connect to the server's first line.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use tracing::warn;
use violetwind_balancer::api::{Outcome, Report};

use crate::limits::Limits;
use crate::line::{self, Open, Word};
use crate::ring::Ring;

/// The server's side of a connection.
#[derive(Debug)]
pub struct Server {
    pub stream: TcpStream,
    /// What the server has sent and the client has not got yet.
    pub ring: Ring,
}

#[derive(Debug)]
pub enum Attempt {
    /// The ring begins with the server's `UP`.
    Up(Server),
    /// Served to its end at once: the ring holds what the client gets.
    Served(Server),
    Failed(Outcome, Report),
}

/// Sends the client's line to a server and waits for what comes back. Dropping the future closes
/// the connection, which gives the attempt up. One that was recalled before it had a connection sends
/// nothing: a server that drains is given nothing new.
pub async fn attempt(
    endpoint: SocketAddr,
    open: &Open<'_>,
    within: Duration,
    recalled: &Cell<bool>,
    limits: &Limits,
) -> Attempt {
    let start = Instant::now();
    let until = start + within;
    let failed = |outcome| Attempt::Failed(outcome, Report::default());
    let connect = TcpStream::connect(endpoint);
    let Ok(Ok(mut stream)) = timeout_at(until.min(start + limits.connect), connect).await else {
        return failed(Outcome::ConnectFailed);
    };
    if recalled.get() {
        return failed(Outcome::NotSent);
    }
    let _ = stream.set_nodelay(true);
    let left = until.saturating_duration_since(Instant::now());
    let line = open.waiting(left.as_millis() as u64);
    let Ok(Ok(())) = timeout_at(until, stream.write_all(&line)).await else {
        // Without the line's last byte nothing can have run.
        return failed(Outcome::ConnectFailed);
    };
    let mut server = Server {
        stream,
        ring: Ring::new(limits.ring_bytes),
    };
    match timeout_at(until, server.ring.first_line(&server.stream)).await {
        Err(_) => failed(Outcome::TimedOut),
        Ok(Err(_)) => failed(Outcome::Reset),
        Ok(Ok(line)) => match line::word(&line) {
            Word::Up => Attempt::Up(server),
            Word::Bye(_) => Attempt::Served(server),
            Word::Move => failed(Outcome::Cancelled),
            Word::Busy(report) => Attempt::Failed(Outcome::Full, report),
            Word::Err(report) => Attempt::Failed(Outcome::Error, report),
            _ => {
                warn!(%endpoint, line = %line::shown(&line), "a server's line that is unknown");
                failed(Outcome::Error)
            }
        },
    }
}

#[cfg(test)]
mod tests {
    use tokio::io::AsyncReadExt;
    use tokio::net::TcpListener;

    use super::*;
    use crate::limits::Basis;

    /// A request on its way when its server is told to drain: it has a connection, and sends nothing.
    #[test]
    fn a_recalled_attempt_sends_no_byte() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.unwrap().block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let at = listener.local_addr().unwrap();
            let open = Open {
                id: "9b1f03aa5c7e2d41",
                key: "7f3a9c21e0b4d655",
                fields: "c=watch",
            };
            let limits = Limits::new(Basis::default());
            let recalled = Cell::new(true);
            let attempt = attempt(at, &open, Duration::from_secs(2), &recalled, &limits).await;
            assert!(matches!(attempt, Attempt::Failed(Outcome::NotSent, _)));
            let mut got = Vec::new();
            let (mut server, _) = listener.accept().await.unwrap();
            server.read_to_end(&mut got).await.unwrap();
            assert!(got.is_empty());
        });
    }
}
