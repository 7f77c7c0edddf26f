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

use crate::driver::Notice;
use crate::limits::{Descriptors, Limits, Permit};
use crate::line::{self, Word};
use crate::ring::Ring;

/// All probers, by server.
#[derive(Debug)]
pub struct Probes {
    limits: Rc<Limits>,
    /// Apart from the clients', so that neither starves the other.
    descriptors: Descriptors,
    /// `STATS` where probes bring load reports, else `PING`.
    question: &'static [u8],
    probers: HashMap<ServerId, mpsc::Sender<SocketAddr>>,
}

impl Probes {
    pub fn new(limits: Rc<Limits>, reports: bool) -> Self {
        Self {
            descriptors: Descriptors::new(limits.probe_descriptors),
            limits,
            question: if reports { b"STATS\r\n" } else { b"PING\r\n" },
            probers: HashMap::new(),
        }
    }

    /// Probes a server at an address; the answer comes as a notice. False if too many wait there.
    pub fn probe(
        &mut self,
        server: ServerId,
        at: SocketAddr,
        driver: &mpsc::Sender<Notice>,
    ) -> bool {
        // A prober that was idle for long has ended.
        let running = self.probers.get(&server).filter(|tx| !tx.is_closed());
        let tx = running.cloned().unwrap_or_else(|| {
            let (tx, rx) = mpsc::channel(self.limits.probes);
            let prober = Prober {
                server,
                limits: self.limits.clone(),
                descriptors: self.descriptors.clone(),
                question: self.question,
                kept: None,
            };
            tokio::task::spawn_local(prober.run(rx, driver.clone()));
            self.probers.insert(server, tx.clone());
            tx
        });
        tx.try_send(at).is_ok()
    }
}

struct Prober {
    server: ServerId,
    limits: Rc<Limits>,
    descriptors: Descriptors,
    question: &'static [u8],
    /// Its connection while that lasts, with the descriptor it holds.
    kept: Option<(SocketAddr, TcpStream, Permit)>,
}

impl Prober {
    async fn run(mut self, mut asked: mpsc::Receiver<SocketAddr>, driver: mpsc::Sender<Notice>) {
        while let Ok(Some(endpoint)) = timeout(self.limits.idle_probe, asked.recv()).await {
            let (outcome, report) = self.probe(endpoint).await;
            if outcome != Outcome::Ok {
                debug!(server = self.server, ?outcome, "probe");
            }
            let notice = Notice::Probed(self.server, outcome, report);
            if driver.send(notice).await.is_err() {
                return;
            }
        }
    }

    async fn probe(&mut self, endpoint: SocketAddr) -> (Outcome, Report) {
        let until = Instant::now() + self.limits.probe;
        // A kept connection may have ended since; that says nothing about the server.
        if let Some((at, stream, permit)) = self.kept.take().filter(|kept| kept.0 == endpoint)
            && let Ok(Ok(word)) = timeout_at(until, self.ask(&stream)).await
        {
            self.kept = Some((at, stream, permit));
            return answer(word);
        }
        let Some(permit) = self.descriptors.take(1) else {
            return (Outcome::NotSent, Report::default());
        };
        let connect = timeout_at(
            until.min(Instant::now() + self.limits.connect),
            TcpStream::connect(endpoint),
        );
        let Ok(Ok(stream)) = connect.await else {
            return (Outcome::ConnectFailed, Report::default());
        };
        let _ = stream.set_nodelay(true);
        match timeout_at(until, self.ask(&stream)).await {
            Ok(Ok(word)) => {
                self.kept = Some((endpoint, stream, permit));
                answer(word)
            }
            Ok(Err(_)) => (Outcome::Reset, Report::default()),
            Err(_) => (Outcome::TimedOut, Report::default()),
        }
    }

    async fn ask(&self, stream: &TcpStream) -> io::Result<Word> {
        let mut out = Ring::new(16);
        out.push(self.question);
        while !out.is_empty() {
            stream.writable().await?;
            skip_block(out.write_to(stream))?;
        }
        let mut ring = Ring::new(self.limits.line_bytes);
        loop {
            if let Some(line) = ring.take_line() {
                return Ok(line::word(&line));
            }
            if ring.free() == 0 {
                return Err(io::ErrorKind::InvalidData.into());
            }
            stream.readable().await?;
            if skip_block(ring.read_from(stream, |_| {}))? == Some(0) {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

fn answer(word: Word) -> (Outcome, Report) {
    match word {
        Word::Pong(report) => (Outcome::Ok, report),
        Word::Busy(report) => (Outcome::Full, report),
        Word::Err(report) => (Outcome::Error, report),
        _ => (Outcome::Error, Report::default()),
    }
}

/// What a socket call did, `None` if the socket was not ready after all.
pub fn skip_block<T>(result: io::Result<T>) -> io::Result<Option<T>> {
    match result {
        Ok(done) => Ok(Some(done)),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}
