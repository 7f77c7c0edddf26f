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

use crate::limits::{Descriptors, Limits, Permit};
use crate::line::{self, Word};
use crate::ring::Ring;
use violetwind_engine::{EngineEvent, ProbeSender};
use violetwind_net::{DialError, connect, write_all};

/// All probers, by server.
#[derive(Debug)]
pub struct Probes {
    limits: Rc<Limits>,
    /// Apart from the clients', so that neither starves the other.
    descriptors: Descriptors,
    /// `STATS` where probes bring load reports, else `PING`.
    question: &'static [u8],
    engine: mpsc::Sender<EngineEvent>,
    probers: HashMap<ServerId, mpsc::Sender<SocketAddr>>,
}

impl Probes {
    pub fn new(limits: Rc<Limits>, reports: bool, engine: mpsc::Sender<EngineEvent>) -> Self {
        Self {
            descriptors: Descriptors::new(limits.probe_descriptors),
            limits,
            question: if reports { b"STATS\r\n" } else { b"PING\r\n" },
            engine,
            probers: HashMap::new(),
        }
    }
}

impl ProbeSender for Probes {
    fn send_probe(&mut self, server: ServerId, at: SocketAddr) -> bool {
        // A prober that was idle for long has ended.
        let running = self.probers.get(&server).filter(|tx| !tx.is_closed());
        let tx = running.cloned().unwrap_or_else(|| {
            let (tx, rx) = mpsc::channel(self.limits.probes);
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
    descriptors: Descriptors,
    question: &'static [u8],
    /// Its connection while that lasts, with the descriptor it holds.
    kept: Option<(SocketAddr, TcpStream, Permit)>,
}

impl Prober {
    pub fn new(
        server: ServerId,
        limits: Rc<Limits>,
        descriptors: Descriptors,
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
        while let Ok(Some(endpoint)) = timeout(self.limits.idle_probe, asked.recv()).await {
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
    pub async fn probe(&mut self, endpoint: SocketAddr) -> Result<Word, Outcome> {
        let until = Instant::now() + self.limits.probe;
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
        let Some(permit) = self.descriptors.take(1) else {
            return Err(Outcome::NotSent);
        };
        let until_up = until.min(Instant::now() + self.limits.connect);
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
    async fn ask(&self, stream: &mut TcpStream) -> io::Result<(Word, bool)> {
        let mut ring = Ring::new(self.limits.line_bytes);
        match ring.read_now(stream)? {
            None => {}
            Some(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Some(_) => return Err(io::ErrorKind::InvalidData.into()),
        }
        write_all(stream, self.question).await?;
        let line = ring.first_line(stream).await?;
        Ok((line::word(&line), ring.holds_one_line()))
    }
}

fn answer(answer: Result<Word, Outcome>) -> (Outcome, Report) {
    match answer {
        Ok(Word::Pong(report)) => (Outcome::Ok, report),
        Ok(Word::Busy(report)) => (Outcome::Full, report),
        Ok(Word::Err(report)) => (Outcome::Error, report),
        Ok(_) => (Outcome::Error, Report::default()),
        Err(outcome) => (outcome, Report::default()),
    }
}
