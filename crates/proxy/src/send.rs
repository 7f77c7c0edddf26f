//! Stage four: one attempt at one server, from the connect to the server's first line.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};
use violetwind_balancer::api::{Outcome, Report};

use crate::limits::Limits;
use crate::line::{self, Open, Word};
use crate::probe::skip_block;
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
/// the connection, which gives the attempt up.
pub async fn attempt(
    endpoint: SocketAddr,
    open: &Open<'_>,
    within: Duration,
    limits: &Limits,
) -> Attempt {
    let start = Instant::now();
    let until = start + within;
    let failed = |outcome| Attempt::Failed(outcome, Report::default());
    let connect = TcpStream::connect(endpoint);
    let Ok(Ok(stream)) = timeout_at(until.min(start + limits.connect), connect).await else {
        return failed(Outcome::ConnectFailed);
    };
    let _ = stream.set_nodelay(true);
    let left = until.saturating_duration_since(Instant::now());
    match timeout_at(
        until,
        write(&stream, &open.waiting(left.as_millis() as u64)),
    )
    .await
    {
        Ok(Ok(())) => {}
        // Without the line's last byte nothing can have run.
        _ => return failed(Outcome::ConnectFailed),
    }
    let mut server = Server {
        stream,
        ring: Ring::new(limits.ring_bytes),
    };
    match timeout_at(until, server.first_line()).await {
        Err(_) => failed(Outcome::TimedOut),
        Ok(Err(_)) => failed(Outcome::Reset),
        Ok(Ok(line)) => match line::word(&line) {
            Word::Up => Attempt::Up(server),
            Word::Bye(_) => Attempt::Served(server),
            Word::Move => failed(Outcome::Cancelled),
            Word::Busy(report) => Attempt::Failed(Outcome::Full, report),
            Word::Err(report) => Attempt::Failed(Outcome::Error, report),
            _ => {
                let line = String::from_utf8_lossy(&line[..line.len().min(80)]).into_owned();
                tracing::warn!(%endpoint, line, "a server's line that is unknown");
                failed(Outcome::Error)
            }
        },
    }
}

async fn write(stream: &TcpStream, line: &[u8]) -> io::Result<()> {
    let mut rest = line;
    while !rest.is_empty() {
        stream.writable().await?;
        if let Some(sent) = skip_block(stream.try_write(rest))? {
            rest = &rest[sent..];
        }
    }
    Ok(())
}

impl Server {
    /// Reads until the first line is whole; it stays in the ring.
    async fn first_line(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(line) = self.ring.peek_line() {
                return Ok(line);
            }
            if self.ring.free() == 0 {
                return Err(io::ErrorKind::InvalidData.into());
            }
            self.stream.readable().await?;
            if skip_block(self.ring.read_from(&self.stream, |_| {}))? == Some(0) {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}
