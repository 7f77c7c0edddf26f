//! Asks servers for their load, over one connection a server that is kept while it is used.

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

/// All probers, by server.
#[derive(Debug)]
pub struct ProberPool {
    limits: Rc<Limits>,
    /// Apart from the clients', so that neither starves the other.
    descriptors: DescriptorPool,
    /// `STATS` where probes bring load reports, else `PING`.
    question: &'static [u8],
    engine: mpsc::Sender<EngineEvent>,
    probers: HashMap<ServerId, mpsc::Sender<SocketAddr>>,
}

impl ProberPool {
    pub fn new(limits: Rc<Limits>, reports: bool, engine: mpsc::Sender<EngineEvent>) -> Self {
        Self {
            descriptors: DescriptorPool::new(limits.probe_descriptors),
            limits,
            question: if reports { b"STATS\r\n" } else { b"PING\r\n" },
            engine,
            probers: HashMap::new(),
        }
    }
}

impl ProbeSender for ProberPool {
    fn send_probe(&mut self, server: ServerId, at: SocketAddr) -> bool {
        // A prober that was idle for long has ended.
        let running = self.probers.get(&server).filter(|tx| !tx.is_closed());
        let tx = running.cloned().unwrap_or_else(|| {
            let (tx, rx) = mpsc::channel(self.limits.probe_queue_capacity);
            let (limits, descriptors) = (self.limits.clone(), self.descriptors.clone());
            let prober = Prober::new(server, limits, descriptors, self.question);
            tokio::task::spawn_local(prober.run(rx, self.engine.clone()));
            self.probers.insert(server, tx.clone());
            tx
        });
        tx.try_send(at).is_ok()
    }
}

/// Asks one server.
#[derive(Debug)]
pub struct Prober {
    server: ServerId,
    limits: Rc<Limits>,
    descriptors: DescriptorPool,
    question: &'static [u8],
    /// Its connection while that lasts, with the descriptor it holds.
    kept: Option<(SocketAddr, TcpStream, DescriptorPermit)>,
}

impl Prober {
    pub fn new(
        server: ServerId,
        limits: Rc<Limits>,
        descriptors: DescriptorPool,
        question: &'static [u8],
    ) -> Self {
        Self {
            server,
            limits,
            descriptors,
            question,
            kept: None,
        }
    }

    async fn run(
        mut self,
        mut asked: mpsc::Receiver<SocketAddr>,
        engine: mpsc::Sender<EngineEvent>,
    ) {
        while let Ok(Some(endpoint)) = timeout(self.limits.idle_timeout, asked.recv()).await {
            let (outcome, report) = answer(self.probe(endpoint).await);
            if outcome != Outcome::Ok {
                debug!(server = self.server, ?outcome, "probe");
            }
            let notice = EngineEvent::Probed(self.server, outcome, report);
            if engine.send(notice).await.is_err() {
                return;
            }
        }
    }

    /// What the server answers, or how it does not.
    pub async fn probe(&mut self, endpoint: SocketAddr) -> Result<ServerLine, Outcome> {
        let until = Instant::now() + self.limits.probe_timeout;
        if let Some((at, mut stream, permit)) = self.kept.take().filter(|kept| kept.0 == endpoint) {
            match timeout_at(until, self.ask(&mut stream)).await {
                Ok(Ok((word, again))) => {
                    self.kept = again.then_some((at, stream, permit));
                    return Ok(word);
                }
                // It may have ended since; that says nothing about the server.
                Ok(Err(_)) => {}
                // The time is over: a fresh one would seem not to come up. The next probe has one.
                Err(_) => return Err(Outcome::TimedOut),
            }
        }
        let Some(permit) = self.descriptors.try_acquire(1) else {
            return Err(Outcome::NotSent);
        };
        let until_up = until.min(Instant::now() + self.limits.connect_timeout);
        let mut stream = match timeout_at(until_up, connect(endpoint)).await {
            Ok(Ok(stream)) => stream,
            // A shortage of this machine says nothing about the server.
            Ok(Err(DialError::Local(_))) => return Err(Outcome::LocalFailure),
            Ok(Err(DialError::Peer(_))) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let _ = stream.set_nodelay(true);
        match timeout_at(until, self.ask(&mut stream)).await {
            Ok(Ok((word, again))) => {
                self.kept = again.then_some((endpoint, stream, permit));
                Ok(word)
            }
            Ok(Err(_)) => Err(Outcome::Reset),
            Err(_) => Err(Outcome::TimedOut),
        }
    }

    /// Asks on a connection that has nothing to say yet: what lies there is the answer to another question,
    /// or the end.
    /// And whether another question may follow there.
    async fn ask(&self, stream: &mut TcpStream) -> io::Result<(ServerLine, bool)> {
        let mut ring = RingBuffer::new(self.limits.max_line_bytes);
        match ring.read_now(stream)? {
            None => {}
            Some(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Some(_) => return Err(io::ErrorKind::InvalidData.into()),
        }
        write_all(stream, self.question).await?;
        let line = ring.fill_until_line(stream).await?;
        Ok((
            line_protocol::parse_server_line(&line),
            ring.holds_one_line(),
        ))
    }
}

fn answer(answer: Result<ServerLine, Outcome>) -> (Outcome, Report) {
    match answer {
        Ok(ServerLine::Pong(report)) => (Outcome::Ok, report),
        Ok(ServerLine::Busy(report)) => (Outcome::Full, report),
        Ok(ServerLine::Err(report)) => (Outcome::Error, report),
        Ok(_) => (Outcome::Error, Report::default()),
        Err(outcome) => (outcome, Report::default()),
    }
}
