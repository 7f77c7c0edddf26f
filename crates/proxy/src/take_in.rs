//! Stage one: accepts connections, reads the first line of each, and answers what needs no server.

use std::cell::Cell;
use std::rc::Rc;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::{debug, info, warn};

use crate::admit;
use crate::config::Config;
use crate::driver::Notice;
use crate::limits::{Descriptors, Limits, Permit};
use crate::line::{self, First};
use crate::ring::Ring;

/// What all connections share.
#[derive(Debug)]
pub struct Shared {
    pub config: Rc<Config>,
    pub limits: Rc<Limits>,
    pub descriptors: Descriptors,
    pub driver: mpsc::Sender<Notice>,
    /// Whether the list has come from discovery.
    ready: watch::Receiver<bool>,
    started: Instant,
    ids: Cell<u64>,
}

impl Shared {
    pub fn new(
        config: &Rc<Config>,
        limits: &Rc<Limits>,
        descriptors: &Descriptors,
        driver: mpsc::Sender<Notice>,
        ready: watch::Receiver<bool>,
    ) -> Rc<Self> {
        Rc::new(Self {
            config: config.clone(),
            limits: limits.clone(),
            descriptors: descriptors.clone(),
            driver,
            ready,
            started: Instant::now(),
            ids: Cell::new(0),
        })
    }

    /// A number of this process's own: a client may repeat its id.
    pub fn next_id(&self) -> u64 {
        self.ids.replace(self.ids.get() + 1)
    }

    /// With discovery down for long, the list of the last run must do.
    fn ready(&self) -> bool {
        *self.ready.borrow() || self.started.elapsed() >= self.limits.list_wait
    }
}

/// A client's side of a connection. Its descriptor counts until it is dropped.
#[derive(Debug)]
pub struct Client {
    pub stream: TcpStream,
    /// What the client has sent and no server has got yet.
    pub ring: Ring,
    pub arrived: Instant,
    _permit: Permit,
}

/// Accepts for good. With no descriptor left new connections wait in the listener's queue.
pub async fn accept(listener: TcpListener, shared: Rc<Shared>) {
    let mut told = false;
    loop {
        let Some(permit) = shared.descriptors.take() else {
            if !std::mem::replace(&mut told, true) {
                warn!("no descriptor left: new connections wait");
            }
            sleep(shared.limits.accept_again).await;
            continue;
        };
        told = false;
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let probes = TcpKeepalive::new()
                    .with_time(shared.limits.keep_alive)
                    .with_interval(shared.limits.keep_alive_again)
                    .with_retries(3);
                let _ = SockRef::from(&stream).set_tcp_keepalive(&probes);
                let client = Client {
                    stream,
                    ring: Ring::new(shared.limits.ring_bytes),
                    arrived: Instant::now(),
                    _permit: permit,
                };
                tokio::task::spawn_local(take_in(client, shared.clone()));
            }
            Err(error) => {
                // One that left while it waited, or a shortage: others are served on.
                info!(%error, "accept");
                sleep(shared.limits.accept_again).await;
            }
        }
    }
}

async fn take_in(mut client: Client, shared: Rc<Shared>) {
    let mut within = match shared.descriptors.scarce() {
        true => shared.limits.first_line_scarce,
        false => shared.limits.first_line,
    };
    loop {
        let until = Instant::now() + within;
        let line = match timeout_at(until, client.line(shared.limits.line_bytes)).await {
            Ok(Ok(Some(line))) => line,
            Ok(Ok(None)) => return,
            Ok(Err(error)) => {
                info!(%error, "a first line that can't be read");
                return client.answer("ERR", &shared.limits).await;
            }
            Err(_) => {
                info!("a client never finished its first line");
                return client.answer("ERR", &shared.limits).await;
            }
        };
        client.arrived = Instant::now();
        debug!(line = %String::from_utf8_lossy(&line), "first line");
        match line::first(&line) {
            Some(First::Ping) => {
                let word = if shared.ready() { "PONG" } else { "ERR" };
                if !client.say(word, &shared.limits).await {
                    return;
                }
                within = shared.limits.idle_probe;
            }
            Some(First::Stats) => {
                if !client.say("NO", &shared.limits).await {
                    return;
                }
            }
            Some(First::Open(open)) => return admit::admit(client, &open, &shared).await,
            None => {
                info!(line = %line::shown(&line), "unknown line");
                return client.answer("ERR", &shared.limits).await;
            }
        }
    }
}

impl Client {
    /// The next line; none if the client left before.
    async fn line(&mut self, longest: usize) -> Result<Option<Vec<u8>>, String> {
        loop {
            if let Some(line) = self.ring.take_line() {
                return match line.len() <= longest {
                    true => Ok(Some(line)),
                    false => Err("over-long".into()),
                };
            }
            if self.ring.len() > longest {
                return Err("over-long".into());
            }
            match self.ring.fill(&self.stream).await {
                Ok(0) if !self.ring.is_empty() => return Err("half a line".into()),
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) => {}
            }
        }
    }

    /// Returns when the client has ended its side; reads on meanwhile, as far as there is room.
    pub async fn left(&mut self) {
        while self.ring.free() > 0 {
            if let Ok(0) | Err(_) = self.ring.fill(&self.stream).await {
                return;
            }
        }
        std::future::pending().await
    }

    /// Writes a line; false if the client does not take it.
    async fn say(&mut self, word: &str, limits: &Limits) -> bool {
        let line = format!("{word}\r\n");
        let write = self.stream.write_all(line.as_bytes());
        matches!(timeout(limits.farewell, write).await, Ok(Ok(())))
    }

    /// Writes the last line and ends the connection so that it arrives: closing with bytes unread
    /// would reset it.
    pub async fn answer(mut self, word: &str, limits: &Limits) {
        debug!(word, "answer");
        if self.say(word, limits).await {
            self.farewell(limits).await;
        }
    }

    pub async fn farewell(&mut self, limits: &Limits) {
        let _ = self.stream.shutdown().await;
        let drain = async {
            loop {
                self.ring.truncate(0);
                if let Ok(0) | Err(_) = self.ring.fill(&self.stream).await {
                    return;
                }
            }
        };
        let _ = timeout(limits.farewell, drain).await;
    }
}
