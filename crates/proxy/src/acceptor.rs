//! Stage one: accepts client connections, reads their first lines, and answers the lines that need no server.

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

/// State shared by all client connections.
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
    /// Whether there is a list of servers: discovery has sent one, or the last run's list is in use.
    has_list: watch::Receiver<bool>,
    pub operator_service: Rc<OperatorService>,
    started: Instant,
    next_id: Cell<u64>,
}

impl SharedState {
    pub fn new(
        config: &ActiveConfig,
        limits: &Rc<Limits>,
        (requests, first_lines): (DescriptorPool, PendingSlots),
        engine: mpsc::Sender<EngineEvent>,
        has_list: watch::Receiver<bool>,
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
            has_list,
            operator_service: service,
            started: Instant::now(),
            next_id: Cell::new(0),
        })
    }

    /// Returns a request id that is unique within this process; clients may reuse their own ids.
    pub fn next_request_id(&self) -> u64 {
        self.next_id.replace(self.next_id.get() + 1)
    }

    /// Whether `PING` may be answered with `PONG`: there is a list from discovery, or one of the last run to which
    /// changes can be applied; a successor's wait for a list is over; or `first_list_timeout` is over. The engine uses
    /// the last run's list from the start; this only decides from when the proxy counts as ready with it.
    fn is_ready(&self) -> bool {
        *self.has_list.borrow() || self.started.elapsed() >= self.limits.first_list_timeout
    }
}

/// The client's side of a connection.
#[derive(Debug)]
pub struct ClientConnection {
    pub stream: TcpStream,
    /// Bytes received from the client that have not been sent to a server.
    pub ring: RingBuffer,
    /// When the last line was received; before the first line, when the connection was accepted.
    pub arrived: Instant,
    /// The slot of a connection whose request is not admitted yet.
    pub pending_slot: Option<PendingSlot>,
}

/// Accepts connections until the sender of `accepting` is dropped. When all pending slots are in use, the connection
/// that has been idle the longest is evicted.
pub async fn accept_clients(
    listener: Rc<TcpListener>,
    mut accepting: watch::Receiver<bool>,
    shared: Rc<SharedState>,
) {
    loop {
        let slot = shared.pending_slots.acquire().await;
        // While this process does not accept, the other process that shares the socket accepts from its queue.
        // `Err(true)`: the sender is dropped, and accepting ends for good; `Err(false)`: accepting is paused.
        let accepted = tokio::select! {
            biased;
            stopped = accepting.wait_for(|is_accepting| !is_accepting) => Err(stopped.is_err()),
            accepted = listener.accept() => Ok(accepted),
        };
        let accepted = match accepted {
            Ok(accepted) => accepted,
            Err(true) => return,
            Err(false) => {
                drop(slot);
                if accepting
                    .wait_for(|is_accepting| *is_accepting)
                    .await
                    .is_err()
                {
                    return;
                }
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                let keepalive = TcpKeepalive::new()
                    .with_time(shared.limits.keepalive_idle)
                    .with_interval(shared.limits.keepalive_interval)
                    .with_retries(3);
                let _ = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
                slot.allow_eviction();
                let client = ClientConnection {
                    stream,
                    ring: RingBuffer::new(shared.limits.ring_buffer_bytes),
                    arrived: Instant::now(),
                    pending_slot: Some(slot),
                };
                tokio::task::spawn_local(read_first_lines(client, shared.clone()));
            }
            Err(error) => {
                // Either the client left while it was queued, or resources are short: other clients are still served.
                if let Some(left_out) = shared.log_throttle.try_acquire() {
                    info!(%error, left_out, "accept failed");
                }
                sleep(shared.limits.accept_retry_delay).await;
            }
        }
    }
}

async fn read_first_lines(mut client: ClientConnection, shared: Rc<SharedState>) {
    let limits = &shared.limits;
    let mut line_timeout = limits.first_line_timeout;
    let (error, line) = loop {
        let deadline = Instant::now() + line_timeout;
        let eviction = client
            .pending_slot
            .as_ref()
            .map(PendingSlot::eviction_signal)
            .unwrap_or_default();
        let read = tokio::select! {
            biased;
            read = timeout_at(deadline, client.read_line(limits.max_line_bytes)) => Some(read),
            () = eviction.notified() => None,
        };
        let line = match read {
            Some(Ok(Ok(Some(line)))) => line,
            Some(Ok(Ok(None))) => return,
            Some(Ok(Err(error))) => break (error, client.ring.to_vec()),
            // An idle client may send its next line just before it receives this close: `BUSY` means that it may retry.
            Some(Err(_)) if client.ring.is_empty() => {
                return client.answer_and_close("BUSY", limits).await;
            }
            Some(Err(_)) => {
                break (
                    "the line is incomplete at the timeout",
                    client.ring.to_vec(),
                );
            }
            // A line may have arrived together with the eviction signal.
            None => match client.read_available_line(limits.max_line_bytes) {
                Some(line) => {
                    // The line is answered; unless its request is admitted, the connection is evicted afterwards.
                    eviction.notify_one();
                    line
                }
                None if shared.pending_slots.is_closing() => {
                    return client.answer_and_close("BUSY", limits).await;
                }
                None => return client.reject_immediately(),
            },
        };
        client.arrived = Instant::now();
        debug!(line = %line_protocol::log_excerpt(&line), "first line");
        let answer = match line_protocol::parse_first_line(&line) {
            Some(FirstLine::Open(open)) => {
                return admission::admit_request(client, &open, &shared).await;
            }
            // A proxy that has been taken out of use accepts no new clients, even if it could serve them.
            Some(FirstLine::Ping) if shared.is_ready() && !shared.operator_service.has_left() => {
                "PONG"
            }
            Some(FirstLine::Ping) => "ERR",
            Some(FirstLine::Stats) => "NO",
            None => break ("the line is not a known command", line),
        };
        // A client has to wait for each answer: hundreds of lines at once would delay the other clients.
        if !client.ring.is_empty() {
            break ("more data follows the line", line);
        }
        if !client.write_line(answer, limits).await {
            return;
        }
        if shared.operator_service.process_state() == ProcessState::Superseded
            || shared.pending_slots.is_closing()
        {
            // On its next connection the client reaches the successor, or another proxy.
            return client.linger_close(limits).await;
        }
        if let Some(slot) = &mut client.pending_slot {
            slot.touch();
        }
        line_timeout = limits.idle_timeout;
        sleep(limits.min_line_interval).await;
    };
    if let Some(left_out) = shared.log_throttle.try_acquire() {
        info!(error, line = %line_protocol::log_excerpt(&line), left_out, "a first line that can't be served");
    }
    client.answer_and_close("ERR", limits).await;
}

impl ClientConnection {
    /// Reads the next line; `None` if the client left without sending one. Fails if the line is longer than
    /// `max_bytes` or ends without a line end.
    async fn read_line(&mut self, max_bytes: usize) -> Result<Option<Vec<u8>>, &'static str> {
        loop {
            if let Some(line) = self.ring.take_line() {
                return match line.len() <= max_bytes {
                    true => Ok(Some(line)),
                    false => Err("the line is too long"),
                };
            }
            if self.ring.len() > max_bytes {
                return Err("the line is too long");
            }
            match self.ring.fill(&self.stream).await {
                Ok(0) if !self.ring.is_empty() => return Err("the line has no line end"),
                Ok(0) | Err(_) => return Ok(None),
                Ok(_) => {}
            }
        }
    }

    /// Takes the line that is unread in the socket, if it is complete. Reads the socket directly: the runtime
    /// notices new data only at its next poll.
    fn read_available_line(&mut self, max_bytes: usize) -> Option<Vec<u8>> {
        while self.ring.len() <= max_bytes && self.ring.free_bytes() > 0 {
            match self.ring.read_now(&self.stream) {
                Ok(Some(1..)) => {}
                Ok(Some(0) | None) | Err(_) => break,
            }
        }
        self.ring.take_line().filter(|line| line.len() <= max_bytes)
    }

    /// Answers `BUSY` and closes at once, without waiting until the client has read the answer, so that the slot is
    /// free for another connection.
    fn reject_immediately(self) {
        let _ = try_write(&self.stream, b"BUSY\r\n");
    }

    /// Reads once and returns whether the client had sent more.
    pub fn has_sent_more(&mut self) -> bool {
        // The end of the stream, or an error, is reported again by the next read.
        let read = self.ring.read_from(&self.stream, |_| {});
        matches!(read, Ok(Some(1..)))
    }

    /// Writes a line; returns false if that fails or takes longer than `linger_timeout`.
    async fn write_line(&mut self, text: &str, limits: &Limits) -> bool {
        let line = format!("{text}\r\n");
        let write = write_all(&self.stream, line.as_bytes());
        matches!(timeout(limits.linger_timeout, write).await, Ok(Ok(())))
    }

    /// Writes the last line and closes the connection so that the line arrives: a close with unread bytes would
    /// reset the connection.
    pub async fn answer_and_close(mut self, answer: &str, limits: &Limits) {
        debug!(word = answer, "answer");
        if self.write_line(answer, limits).await {
            self.linger_close(limits).await;
        }
    }

    /// Ends the sending direction, then discards the client's further bytes until it closes, up to
    /// `max_linger_bytes` and for `linger_timeout` at most.
    pub async fn linger_close(&mut self, limits: &Limits) {
        let _ = self.stream.shutdown().await;
        let drain = async {
            let mut remaining = limits.max_linger_bytes;
            while remaining > 0 {
                self.ring.truncate(0);
                match self.ring.fill(&self.stream).await {
                    Ok(0) | Err(_) => return,
                    Ok(read) => remaining = remaining.saturating_sub(read),
                }
            }
        };
        // An eviction ends the wait: another connection needs the slot.
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
