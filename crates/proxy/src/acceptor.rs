//! Stage one: accepts connections, reads the first line of each, and answers what needs no server.

use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use tracing::{debug, info};

use crate::admission::{self, OpenIds};
use crate::config::ActiveConfig;
use crate::limits::{DescriptorPool, Limits};
use crate::line_protocol::{self, FirstLine};
use crate::load_classifier::LoadClassifier;
use crate::log_throttle::LogThrottle;
use crate::operator_service::{OperatorService, ProcessState};
use crate::pending_slots::{PendingSlot, PendingSlots};
use crate::recording::Recording;
use crate::ring_buffer::RingBuffer;
use violetwind_engine::EngineEvent;
use violetwind_net::{try_write, write_all};

/// What all connections share.
pub struct SharedState {
    pub config: ActiveConfig,
    pub limits: Rc<Limits>,
    pub request_descriptors: DescriptorPool,
    pub pending_slots: PendingSlots,
    pub open_ids: OpenIds,
    pub log_throttle: LogThrottle,
    pub load_classifier: Rc<RefCell<LoadClassifier>>,
    pub recording: Option<Recording>,
    pub engine: mpsc::Sender<EngineEvent>,
    /// Whether the list has come from discovery.
    ready: watch::Receiver<bool>,
    pub service: Rc<OperatorService>,
    started: Instant,
    ids: Cell<u64>,
}

impl SharedState {
    pub fn new(
        config: &ActiveConfig,
        limits: &Rc<Limits>,
        (requests, first_lines): (DescriptorPool, PendingSlots),
        engine: mpsc::Sender<EngineEvent>,
        ready: watch::Receiver<bool>,
        service: Rc<OperatorService>,
        recording: Option<Recording>,
    ) -> Rc<Self> {
        Rc::new(Self {
            config: config.clone(),
            limits: limits.clone(),
            request_descriptors: requests,
            pending_slots: first_lines,
            open_ids: OpenIds::default(),
            log_throttle: LogThrottle::new(limits.max_log_lines, limits.log_window),
            load_classifier: Rc::new(RefCell::new(LoadClassifier::new(
                config.get().servers_report_delay,
            ))),
            recording,
            engine,
            ready,
            service,
            started: Instant::now(),
            ids: Cell::new(0),
        })
    }

    /// A number of this process's own: a client may repeat its id.
    pub fn next_request_id(&self) -> u64 {
        self.ids.replace(self.ids.get() + 1)
    }

    /// With discovery down for long, the list of the last run must do.
    fn ready(&self) -> bool {
        *self.ready.borrow() || self.started.elapsed() >= self.limits.first_list_timeout
    }
}

/// A client's side of a connection.
#[derive(Debug)]
pub struct ClientConnection {
    pub stream: TcpStream,
    /// What the client has sent and no server has got yet.
    pub ring: RingBuffer,
    pub arrived: Instant,
    /// Until its request is admitted.
    pub pending_slot: Option<PendingSlot>,
}

/// Accepts for good. With no place left the oldest that has said nothing goes.
pub async fn accept_clients(
    listener: Rc<TcpListener>,
    mut accepting: watch::Receiver<bool>,
    shared: Rc<SharedState>,
) {
    loop {
        let place = shared.pending_slots.acquire().await;
        // The queue is another process's while this one does not accept.
        let accepted = tokio::select! {
            biased;
            stopped = accepting.wait_for(|on| !on) => Err(stopped.is_err()),
            accepted = listener.accept() => Ok(accepted),
        };
        let accepted = match accepted {
            Ok(accepted) => accepted,
            Err(true) => return,
            Err(false) => {
                drop(place);
                if accepting.wait_for(|on| *on).await.is_err() {
                    return;
                }
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let probes = TcpKeepalive::new()
                    .with_time(shared.limits.keepalive_idle)
                    .with_interval(shared.limits.keepalive_interval)
                    .with_retries(3);
                let _ = SockRef::from(&stream).set_tcp_keepalive(&probes);
                place.allow_eviction();
                let client = ClientConnection {
                    stream,
                    ring: RingBuffer::new(shared.limits.ring_buffer_bytes),
                    arrived: Instant::now(),
                    pending_slot: Some(place),
                };
                tokio::task::spawn_local(take_in(client, shared.clone()));
            }
            Err(error) => {
                // One that left while it waited, or a shortage: others are served on.
                if let Some(left_out) = shared.log_throttle.try_acquire() {
                    info!(%error, left_out, "accept");
                }
                sleep(shared.limits.accept_retry_delay).await;
            }
        }
    }
}

async fn take_in(mut client: ClientConnection, shared: Rc<SharedState>) {
    let limits = &shared.limits;
    let mut within = limits.first_line_timeout;
    let (error, line) = loop {
        let until = Instant::now() + within;
        let told_to_go = client
            .pending_slot
            .as_ref()
            .map(PendingSlot::eviction_signal)
            .unwrap_or_default();
        let read = tokio::select! {
            biased;
            read = timeout_at(until, client.line(limits.max_line_bytes)) => Some(read),
            () = told_to_go.notified() => None,
        };
        let line = match read {
            Some(Ok(Ok(Some(line)))) => line,
            Some(Ok(Ok(None))) => return,
            Some(Ok(Err(error))) => break (error, client.ring.to_vec()),
            // Who rested for long and comes in this very moment may come again.
            Some(Err(_)) if client.ring.is_empty() => {
                return client.answer_and_close("BUSY", limits).await;
            }
            Some(Err(_)) => break ("it never ended", client.ring.to_vec()),
            // A request may have come in the same moment.
            None => match client.look(limits.max_line_bytes) {
                Some(line) => {
                    // It has its answer, and goes all the same unless it is admitted.
                    told_to_go.notify_one();
                    line
                }
                None if shared.pending_slots.is_closing() => {
                    return client.answer_and_close("BUSY", limits).await;
                }
                None => return client.turn_away(),
            },
        };
        client.arrived = Instant::now();
        debug!(line = %line_protocol::log_excerpt(&line), "first line");
        let word = match line_protocol::parse_first_line(&line) {
            Some(FirstLine::Open(open)) => {
                return admission::admit_request(client, &open, &shared).await;
            }
            // A proxy that is left is no place for new clients, whether or not it could serve them.
            Some(FirstLine::Ping) if shared.ready() && !shared.service.has_left() => "PONG",
            Some(FirstLine::Ping) => "ERR",
            Some(FirstLine::Stats) => "NO",
            None => break ("it is unknown", line),
        };
        // One who asks waits for the answer. Hundreds of lines at once would keep the others waiting.
        if !client.ring.is_empty() {
            break ("more follows it", line);
        }
        if !client.say(word, limits).await {
            return;
        }
        if shared.service.process_state() == ProcessState::Superseded
            || shared.pending_slots.is_closing()
        {
            // Who goes on asking finds the successor, or another proxy.
            return client.linger_close(limits).await;
        }
        if let Some(place) = &mut client.pending_slot {
            place.touch();
        }
        within = limits.idle_timeout;
        sleep(limits.min_line_interval).await;
    };
    if let Some(left_out) = shared.log_throttle.try_acquire() {
        info!(error, line = %line_protocol::log_excerpt(&line), left_out, "a first line that can't be served");
    }
    client.answer_and_close("ERR", limits).await;
}

impl ClientConnection {
    /// The next line; none if the client left before.
    async fn line(&mut self, longest: usize) -> Result<Option<Vec<u8>>, &'static str> {
        loop {
            if let Some(line) = self.ring.take_line() {
                return match line.len() <= longest {
                    true => Ok(Some(line)),
                    false => Err("it is too long"),
                };
            }
            if self.ring.len() > longest {
                return Err("it is too long");
            }
            match self.ring.fill(&self.stream).await {
                Ok(0) if !self.ring.is_empty() => return Err("it ends half-way"),
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) => {}
            }
        }
    }

    /// The line that lies unread in the socket, by the socket itself: the runtime hears of it only when it
    /// looks next.
    fn look(&mut self, longest: usize) -> Option<Vec<u8>> {
        while self.ring.len() <= longest && self.ring.free_bytes() > 0 {
            match self.ring.read_now(&self.stream) {
                Ok(Some(1..)) => {}
                Ok(Some(0) | None) | Err(_) => break,
            }
        }
        self.ring.take_line().filter(|line| line.len() <= longest)
    }

    /// Lets it go for others: at once, without waiting for it to take its answer.
    fn turn_away(self) {
        let _ = try_write(&self.stream, b"BUSY\r\n");
    }

    /// Whether it has sent more by now.
    pub fn has_sent_more(&mut self) -> bool {
        // An end, or an error, shows again when it is read the next time.
        let read = self.ring.read_from(&self.stream, |_| {});
        matches!(read, Ok(Some(1..)))
    }

    /// Writes a line; false if the client does not take it.
    async fn say(&mut self, word: &str, limits: &Limits) -> bool {
        let line = format!("{word}\r\n");
        let write = write_all(&self.stream, line.as_bytes());
        matches!(timeout(limits.linger_timeout, write).await, Ok(Ok(())))
    }

    /// Writes the last line and ends the connection so that it arrives: closing with bytes unread
    /// would reset it.
    pub async fn answer_and_close(mut self, word: &str, limits: &Limits) {
        debug!(word, "answer");
        if self.say(word, limits).await {
            self.linger_close(limits).await;
        }
    }

    pub async fn linger_close(&mut self, limits: &Limits) {
        let _ = self.stream.shutdown().await;
        let drain = async {
            let mut left = limits.max_linger_bytes;
            while left > 0 {
                self.ring.truncate(0);
                match self.ring.fill(&self.stream).await {
                    Ok(0) | Err(_) => return,
                    Ok(got) => left = left.saturating_sub(got),
                }
            }
        };
        // Others wait for its place.
        let evicted = async {
            match self
                .pending_slot
                .as_ref()
                .map(PendingSlot::wait_for_eviction)
            {
                Some(evicted) => evicted.await,
                None => pending().await,
            }
        };
        tokio::select! {
            _ = timeout(limits.linger_timeout, drain) => {}
            () = evicted => {}
        }
    }
}
