//! Probes servers for their load. Each server has one probe connection, which is kept while it is in use.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};
use tracing::debug;
use violetwind_balancer::api::{Outcome, Report, ServerId};

use crate::limits::{DescriptorPermit, DescriptorPool, Limits};
use crate::line_protocol::{self, ServerLine};
use crate::ring_buffer::RingBuffer;
use violetwind_engine::{EngineEvent, ProbeSender};
use violetwind_net::{DialError, connect, write_all};

/// The probers of all servers.
#[derive(Debug)]
pub struct ProberPool {
    limits: Rc<Limits>,
    /// Separate from the descriptors for clients, so that neither can exhaust the other.
    descriptors: DescriptorPool,
    /// The line that probes send: `STATS` if probes collect load reports, else `PING`.
    probe_line: &'static [u8],
    engine: mpsc::Sender<EngineEvent>,
    probers: HashMap<ServerId, mpsc::Sender<SocketAddr>>,
}

impl ProberPool {
    pub fn new(
        limits: Rc<Limits>,
        collect_reports: bool,
        engine: mpsc::Sender<EngineEvent>,
    ) -> Self {
        Self {
            descriptors: DescriptorPool::new(limits.probe_descriptors),
            limits,
            probe_line: if collect_reports {
                b"STATS\r\n"
            } else {
                b"PING\r\n"
            },
            engine,
            probers: HashMap::new(),
        }
    }
}

impl ProbeSender for ProberPool {
    fn send_probe(&mut self, server: ServerId, address: SocketAddr) -> bool {
        // A prober ends once it has been idle for `idle_timeout`.
        let running = self
            .probers
            .get(&server)
            .filter(|sender| !sender.is_closed());
        let sender = running.cloned().unwrap_or_else(|| {
            let (sender, receiver) = mpsc::channel(self.limits.probe_queue_capacity);
            let (limits, descriptors) = (self.limits.clone(), self.descriptors.clone());
            let prober = Prober::new(server, limits, descriptors, self.probe_line);
            tokio::task::spawn_local(prober.run(receiver, self.engine.clone()));
            self.probers.insert(server, sender.clone());
            sender
        });
        sender.try_send(address).is_ok()
    }
}

/// Probes one server.
#[derive(Debug)]
pub struct Prober {
    server: ServerId,
    limits: Rc<Limits>,
    descriptors: DescriptorPool,
    probe_line: &'static [u8],
    /// The connection kept from the last probe, with the server's address and the permit of its descriptor.
    idle_connection: Option<(SocketAddr, TcpStream, DescriptorPermit)>,
}

impl Prober {
    pub fn new(
        server: ServerId,
        limits: Rc<Limits>,
        descriptors: DescriptorPool,
        probe_line: &'static [u8],
    ) -> Self {
        Self {
            server,
            limits,
            descriptors,
            probe_line,
            idle_connection: None,
        }
    }

    async fn run(
        mut self,
        mut requests: mpsc::Receiver<SocketAddr>,
        engine: mpsc::Sender<EngineEvent>,
    ) {
        while let Ok(Some(endpoint)) = timeout(self.limits.idle_timeout, requests.recv()).await {
            let (outcome, report) = outcome_and_report(self.probe(endpoint).await);
            if outcome != Outcome::Ok {
                debug!(server = self.server, ?outcome, "probe failed");
            }
            let event = EngineEvent::Probed(self.server, outcome, report);
            if engine.send(event).await.is_err() {
                return;
            }
        }
    }

    /// Sends one probe and returns the server's answer; fails with the outcome if there is none within
    /// `probe_timeout`.
    pub async fn probe(&mut self, endpoint: SocketAddr) -> Result<ServerLine, Outcome> {
        let deadline = Instant::now() + self.limits.probe_timeout;
        if let Some((address, mut stream, permit)) = self
            .idle_connection
            .take()
            .filter(|idle| idle.0 == endpoint)
        {
            match timeout_at(deadline, self.exchange(&mut stream)).await {
                Ok(Ok((answer, reusable))) => {
                    self.idle_connection = reusable.then_some((address, stream, permit));
                    return Ok(answer);
                }
                // The server may have closed the kept connection since, which is no evidence of a fault.
                Ok(Err(_)) => {}
                // No time is left: a new connection would end in `ConnectFailed`, whatever the server's state. The next
                // probe opens one.
                Err(_) => return Err(Outcome::TimedOut),
            }
        }
        let Some(permit) = self.descriptors.try_acquire(1) else {
            return Err(Outcome::NotSent);
        };
        let connect_deadline = deadline.min(Instant::now() + self.limits.connect_timeout);
        let mut stream = match timeout_at(connect_deadline, connect(endpoint)).await {
            Ok(Ok(stream)) => stream,
            // A lack of resources on this machine is no evidence against the server.
            Ok(Err(DialError::Local(_))) => return Err(Outcome::LocalFailure),
            Ok(Err(DialError::Peer(_))) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let _ = stream.set_nodelay(true);
        match timeout_at(deadline, self.exchange(&mut stream)).await {
            Ok(Ok((answer, reusable))) => {
                self.idle_connection = reusable.then_some((endpoint, stream, permit));
                Ok(answer)
            }
            Ok(Err(_)) => Err(Outcome::Reset),
            Err(_) => Err(Outcome::TimedOut),
        }
    }

    /// Sends the probe's line and reads the answer; returns it and whether the connection can be used again. Fails
    /// if there is anything to read before the line is sent: that is the answer to an earlier probe, or the end of
    /// the stream.
    async fn exchange(&self, stream: &mut TcpStream) -> io::Result<(ServerLine, bool)> {
        let mut ring = RingBuffer::new(self.limits.max_line_bytes);
        match ring.read_now(stream)? {
            None => {}
            Some(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Some(_) => return Err(io::ErrorKind::InvalidData.into()),
        }
        write_all(stream, self.probe_line).await?;
        let line = ring.fill_until_line(stream).await?;
        Ok((
            line_protocol::parse_server_line(&line),
            ring.holds_one_line(),
        ))
    }
}

fn outcome_and_report(answer: Result<ServerLine, Outcome>) -> (Outcome, Report) {
    match answer {
        Ok(ServerLine::Pong(report)) => (Outcome::Ok, report),
        Ok(ServerLine::Busy(report)) => (Outcome::Full, report),
        Ok(ServerLine::Err(report)) => (Outcome::Error, report),
        Ok(_) => (Outcome::Error, Report::default()),
        Err(outcome) => (outcome, Report::default()),
    }
}
