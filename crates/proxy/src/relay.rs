//! Stage five: relays lines unchanged in both directions until one side ends or the client is moved. To the client it
//! forwards whole lines, so that it can insert a `MOVE` of its own; a part of a line is forwarded only if the buffer is
//! full or the server has ended its stream.
//!
//! The engine may give a request up, as admission ends, before it handles the report that the connection is up. It
//! then knows nothing of the connection, and the client has its `UP`: the relay moves the client itself.

mod direction;
mod pending_commands;

use std::future::pending;
use std::io;
use std::net::Shutdown;
use std::os::fd::AsFd;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tracing::{debug, info, warn};
use violetwind_balancer::api::{Outcome, Report, ServerId};

use self::direction::{BrokenSide, Direction};
use self::pending_commands::PendingCommands;
use crate::acceptor::{ClientConnection, SharedState};
use crate::attempt::ServerConnection;
use crate::handover::{ConnectionOffer, PendingOffer, offer_channel};
use crate::limits::Limits;
use crate::line_protocol::{self, OpenLine, ServerLine};
use crate::log_throttle::LogThrottle;
use crate::request_tracker::RequestTracker;
use crate::ring_buffer::RingBuffer;
use violetwind_engine::ConnectionCommand;
use violetwind_service::handover::Connection;

/// Why [`Relay::run`] returned. The relay has ended, except after `BetweenLines`.
#[derive(Debug)]
enum RelayEnd {
    /// Both streams have ended, or one has and nothing was relayed for a while; the server ended its stream first.
    ServerClosed,
    /// As `ServerClosed`, but the server did not end first.
    ClientClosed,
    /// The server's socket failed. Also returned if `MOVE` can't be inserted because the server has stopped within a
    /// line.
    ServerBroke,
    /// The client's socket failed.
    ClientBroke,
    /// `MOVE` was inserted for the client.
    Moved,
    /// The connection is between lines, so that a successor can take it over.
    BetweenLines,
}

impl RelayEnd {
    fn is_by_server(&self) -> bool {
        matches!(self, Self::ServerClosed | Self::ServerBroke)
    }
}

/// One relayed connection.
struct Relay<'a> {
    client: ClientConnection,
    server: ServerConnection,
    to_server: Direction,
    to_client: Direction,
    /// Arrival time of the client's oldest line after which the server has sent no line.
    waiting_since: Option<Instant>,
    /// How the attempt ends if the connection ends now, according to the server's last `BYE` or `MOVE` line; `Reset` as
    /// long as there is no such line.
    outcome: (Outcome, Report),
    /// The connection's load from the last `LOAD` line, until it is reported to the engine.
    unreported_load: Option<f64>,
    /// The load that the server sent last.
    last_load: Option<f64>,
    pending: PendingCommands,
    /// When the connection may be offered to the successor again.
    next_offer_at: Option<Instant>,
    /// The successor may still hold copies of the sockets, of an offer that was withdrawn.
    offer_withdrawn: bool,
    limits: &'a Limits,
    log_throttle: &'a LogThrottle,
}

/// The state of a relay that is passed on when another process takes the connection over.
#[derive(Debug, Default)]
pub struct RelayState {
    /// The load that the server sent last, in microseconds of work per second.
    pub load: Option<f64>,
    /// Arrival time of the client's oldest line after which the server has sent no line.
    pub waiting_since: Option<Instant>,
}

/// Relays a connection until it ends, then reports its end to the engine. A successor that takes the connection over
/// continues it instead.
pub async fn run_relay(
    client: ClientConnection,
    server: ServerConnection,
    server_id: ServerId,
    mut commands: mpsc::Receiver<ConnectionCommand>,
    tracker: RequestTracker,
    (open, state): (&OpenLine<'_>, RelayState),
    shared: &SharedState,
) {
    let limits = &*shared.limits;
    let mut relay = Relay {
        client,
        server,
        to_server: Direction::default(),
        to_client: Direction {
            whole_lines_only: true,
            ..Direction::default()
        },
        waiting_since: state.waiting_since,
        outcome: (Outcome::Reset, Report::default()),
        unreported_load: None,
        last_load: state.load,
        pending: PendingCommands::default(),
        next_offer_at: None,
        offer_withdrawn: false,
        limits,
        log_throttle: &shared.log_throttle,
    };
    // Bytes that were received together with the first lines belong to the connection.
    let buffered = relay.client.ring.to_vec();
    relay.to_server.scan(&buffered, 0, |_| {});
    let buffered = relay.server.ring.to_vec();
    let (outcome, load) = (&mut relay.outcome, &mut relay.unreported_load);
    relay
        .to_client
        .scan(&buffered, 0, |head| apply_server_line(head, outcome, load));
    let end = loop {
        match relay.run(server_id, &mut commands, &tracker).await {
            RelayEnd::BetweenLines => {
                let offered = relay.offer_to_successor(open, server_id, &mut commands, shared);
                if offered.await {
                    debug!("the successor has taken the connection over");
                    return tracker.report_client_left().await;
                }
            }
            end => break end,
        }
    };
    debug!(server = server_id, id = open.id, ?end, "relay ended");
    let wrote_rest = end.is_by_server() && relay.write_complete_lines().await;
    let (client_may_send, has_last_line) = (relay.client_may_send(), relay.has_last_line());
    let Relay {
        mut client,
        server,
        outcome,
        offer_withdrawn,
        ..
    } = relay;
    if offer_withdrawn {
        end_shared_socket(&server.stream);
    }
    match end {
        // Bytes that the client sends meanwhile must not reset the connection before it has read the last line.
        RelayEnd::ServerClosed => {
            tracker.report_end(server_id, outcome).await;
            if client_may_send {
                client.linger_close(limits).await;
            }
        }
        RelayEnd::ClientClosed => tracker.report_client_left().await,
        // The client's connection is reset too, unless the reset could overtake lines not yet received by the client.
        RelayEnd::ServerBroke => {
            tracker.report_end(server_id, outcome).await;
            match wrote_rest || has_last_line {
                true => client.linger_close(limits).await,
                false => drop(client.stream.set_zero_linger()),
            }
        }
        RelayEnd::ClientBroke => {
            tracker.report_client_left().await;
            let _ = server.stream.set_zero_linger();
        }
        // Only `Moved` gets here: after `BetweenLines` the loop above continues or returns.
        RelayEnd::Moved | RelayEnd::BetweenLines => {
            tracker
                .report_end(server_id, (Outcome::Cancelled, Report::default()))
                .await;
            drop(server);
            client.linger_close(limits).await;
        }
    }
    if offer_withdrawn {
        end_shared_socket(&client.stream);
    }
}

/// Ends both directions of a connection of which another process may hold a copy, so that closing it here does not.
fn end_shared_socket(stream: &TcpStream) {
    // Fails only if the connection has ended already.
    let _ = SockRef::from(stream).shutdown(Shutdown::Both);
}

/// Evaluates a server's line, which is forwarded to the client as well: updates the load or the outcome.
fn apply_server_line(head: &[u8], outcome: &mut (Outcome, Report), load: &mut Option<f64>) {
    // Most lines concern only the client and the server.
    if !["LOAD ", "BYE", "MOVE"]
        .iter()
        .any(|prefix| head.starts_with(prefix.as_bytes()))
    {
        return;
    }
    match line_protocol::parse_server_line(head) {
        ServerLine::Load(value) => *load = Some(value),
        ServerLine::Bye(report) => *outcome = (Outcome::Ok, report),
        ServerLine::Move => *outcome = (Outcome::Cancelled, Report::default()),
        _ => {}
    }
}

impl Relay<'_> {
    /// Relays until the connection ends, or is between lines and to be handed over.
    async fn run(
        &mut self,
        server_id: ServerId,
        commands: &mut mpsc::Receiver<ConnectionCommand>,
        tracker: &RequestTracker,
    ) -> RelayEnd {
        let mut last_activity = Instant::now();
        let mut server_ended_first = false;
        loop {
            match self.pump() {
                Ok(true) => last_activity = Instant::now(),
                Ok(false) => {}
                Err(end) => return end,
            }
            if let Some(load) = self.unreported_load.take() {
                self.last_load = Some(load);
                match load <= self.limits.max_connection_load {
                    true => tracker.report_load(server_id, load).await,
                    false => {
                        if let Some(left_out) = self.log_throttle.try_acquire() {
                            info!(load, left_out, "ignoring an implausible connection load");
                        }
                    }
                }
            }
            // A connection on which the server has sent its last line needs no `MOVE`.
            if self.pending.given_up && self.has_last_line() {
                return RelayEnd::ServerClosed;
            }
            if let Some(move_deadline) = self.pending.move_deadline {
                let late = move_deadline <= Instant::now();
                let can_insert_line =
                    self.to_client.complete_bytes > 0 || !self.to_client.written_mid_line;
                let (line_complete, waiting_since) = (
                    self.to_client.scanner.is_between_lines(),
                    self.waiting_since,
                );
                let overdue = move_deadline + self.limits.linger_timeout <= Instant::now()
                    || self.pending.move_now;
                if can_insert_line
                    && (overdue || line_complete && (late || waiting_since.is_none()))
                {
                    self.write_move().await;
                    return RelayEnd::Moved;
                }
                if overdue {
                    // The server has stopped within a line, so that `MOVE` can't be inserted: this counts as a
                    // failure of the server's socket.
                    return RelayEnd::ServerBroke;
                }
            }
            if self.is_offer_due() {
                return RelayEnd::BetweenLines;
            }
            server_ended_first |= self.to_client.read_ended && self.client_may_send();
            let (client, server) = (&mut self.client, &mut self.server);
            self.to_server
                .forward_end(&client.ring, &mut server.stream)
                .await;
            self.to_client
                .forward_end(&server.ring, &mut client.stream)
                .await;
            let end = match server_ended_first {
                true => RelayEnd::ServerClosed,
                false => RelayEnd::ClientClosed,
            };
            if self.to_server.write_closed && self.to_client.write_closed {
                return end;
            }
            // While the ring is full because the client does not read, the server does not count as unresponsive.
            let since = self.waiting_since.filter(|_| server.ring.free_bytes() > 0);
            let silent_at = since.map(|since| since + self.limits.server_silence_timeout);
            let half_close_end = (self.to_server.write_closed || self.to_client.write_closed)
                .then(|| last_activity + self.limits.half_close_timeout);
            let move_at = self.pending.move_deadline.map(|move_deadline| {
                match move_deadline <= Instant::now() {
                    true => move_deadline + self.limits.linger_timeout,
                    false => move_deadline,
                }
            });
            // An offer that is due and not made waits for a line to end.
            let offer_at = self.next_offer_at.filter(|at| *at > Instant::now());
            let wake_at = [move_at, silent_at, half_close_end, offer_at]
                .into_iter()
                .flatten()
                .min();
            tokio::select! {
                () = self.to_server.wait_ready(&client.ring, &client.stream, &server.stream) => {}
                () = self.to_client.wait_ready(&server.ring, &server.stream, &client.stream) => {}
                () = self.pending.receive(commands, self.limits) => if self.pending.given_up {
                    debug!(server = server_id, "the request was given up as its connection came up");
                },
                () = sleep_until_some(wake_at) => {
                    let now = Instant::now();
                    if silent_at.is_some_and(|at| at <= now) {
                        info!(server = server_id, "the server does not answer: moving its client");
                        tracker.report_silence(server_id).await;
                        self.waiting_since = None;
                        self.pending.move_deadline = Some(now);
                    } else if half_close_end.is_some_and(|at| at <= now) {
                        return end;
                    }
                }
            }
        }
    }

    /// Whether the server has sent the last line of the connection. `Reset` is the initial outcome.
    fn has_last_line(&self) -> bool {
        self.outcome.0 != Outcome::Reset
    }

    /// Whether the client may send more: the end of its stream has not been read.
    fn client_may_send(&self) -> bool {
        !self.to_server.read_ended || self.to_server.receiver_gone
    }

    /// Whether both directions are between lines, no bytes are buffered, and the server has sent no last line.
    fn is_idle(&self) -> bool {
        let is_idle = |direction: &Direction, ring: &RingBuffer| {
            direction.scanner.is_between_lines() && !direction.read_ended && ring.is_empty()
        };
        is_idle(&self.to_server, &self.client.ring)
            && is_idle(&self.to_client, &self.server.ring)
            && !self.has_last_line()
    }

    /// Whether to offer the connection to the successor now.
    fn is_offer_due(&self) -> bool {
        self.pending.handover_requested
            && self.pending.move_deadline.is_none()
            && self.next_offer_at.is_none_or(|at| at <= Instant::now())
            && self.is_idle()
    }

    /// Offers the connection to the successor and returns whether the successor has accepted it. Nothing is read from
    /// the connection meanwhile, so this takes `transfer_queue_timeout` and `transfer_answer_timeout` at most, and ends as
    /// soon as a move is commanded.
    async fn offer_to_successor(
        &mut self,
        open: &OpenLine<'_>,
        server_id: ServerId,
        commands: &mut mpsc::Receiver<ConnectionCommand>,
        shared: &SharedState,
    ) -> bool {
        self.pending.handover_requested = false;
        let Some(successor) = shared.operator_service.successor_sender() else {
            return false;
        };
        // Descriptors are duplicated only once the queue to the successor has room.
        let Some(queue_slot) = self.reserve_queue_slot(&successor, commands).await else {
            return false;
        };
        let duplicate = |stream: &TcpStream| stream.as_fd().try_clone_to_owned();
        let (Ok(client), Ok(server)) = (
            duplicate(&self.client.stream),
            duplicate(&self.server.stream),
        ) else {
            warn!(
                server = server_id,
                "no descriptor left to hand the connection over: it stays with this process"
            );
            return false;
        };
        let waiting_ms = self.waiting_since.map(|since| since.elapsed().as_millis());
        let (reply, offer) = offer_channel();
        queue_slot.send(ConnectionOffer {
            connection: Connection {
                first_line: open.to_line(),
                server: server_id,
                load: self.last_load,
                unanswered_ms: waiting_ms.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX)),
            },
            fds: [client, server],
            reply,
        });
        self.wait_for_transfer(offer, server_id, commands).await
    }

    /// Waits for room in the queue to the successor. If there is none in time, lines are relayed again, and the next
    /// offer is tried after `transfer_retry_interval`.
    async fn reserve_queue_slot<'q>(
        &mut self,
        successor: &'q mpsc::Sender<ConnectionOffer>,
        commands: &mut mpsc::Receiver<ConnectionCommand>,
    ) -> Option<mpsc::Permit<'q, ConnectionOffer>> {
        let limits = self.limits;
        tokio::select! {
            biased;
            // The session with the successor may have ended.
            queue_slot = successor.reserve() => return queue_slot.ok(),
            () = self.pending.receive(commands, limits) => {}
            () = sleep(limits.transfer_queue_timeout) => {
                self.next_offer_at = Some(Instant::now() + limits.transfer_retry_interval);
            }
        }
        self.pending.handover_requested = true;
        None
    }

    /// Waits for the end of an offer, and withdraws it if the successor does not answer or a move is commanded. Returns
    /// whether the connection now belongs to the successor.
    async fn wait_for_transfer(
        &mut self,
        mut offer: PendingOffer,
        server_id: ServerId,
        commands: &mut mpsc::Receiver<ConnectionCommand>,
    ) -> bool {
        let limits = self.limits;
        let answer_deadline = Instant::now() + limits.transfer_answer_timeout;
        while self.pending.move_deadline.is_none() {
            tokio::select! {
                biased;
                is_transferred = offer.is_transferred() => return is_transferred,
                () = self.pending.receive(commands, limits) => {}
                () = sleep_until(answer_deadline) => break,
            }
        }
        if !offer.withdraw() {
            // The transfer has begun: only its end tells whose the connection is.
            return offer.is_transferred().await;
        }
        self.offer_withdrawn = true;
        if let Some(left_out) = self.log_throttle.try_acquire() {
            info!(
                server = server_id,
                left_out, "the successor has not answered an offer: the connection stays here"
            );
        }
        false
    }

    /// Relays the bytes that are ready in both directions. Returns whether anything was read or written.
    fn pump(&mut self) -> Result<bool, RelayEnd> {
        let (client, server) = (&mut self.client, &mut self.server);
        let max_reads = self.limits.max_consecutive_reads;
        let mut client_line_ended = false;
        let sent = self.to_server.pump(
            &mut client.ring,
            &client.stream,
            &server.stream,
            max_reads,
            |_| client_line_ended = true,
        );
        let sent = match sent {
            Ok(sent) => sent,
            Err(BrokenSide::Reading) => return Err(RelayEnd::ClientBroke),
            // A server that reads no more may have sent a last line, which is still to be read.
            Err(BrokenSide::Writing) => {
                self.to_server.stop(&mut client.ring);
                true
            }
        };
        if client_line_ended {
            self.waiting_since.get_or_insert_with(Instant::now);
        }
        let (outcome, load) = (&mut self.outcome, &mut self.unreported_load);
        let mut server_line_ended = false;
        let received = self
            .to_client
            .pump(
                &mut server.ring,
                &server.stream,
                &client.stream,
                max_reads,
                |head| {
                    server_line_ended = true;
                    apply_server_line(head, outcome, load);
                },
            )
            .map_err(|broken| match broken {
                BrokenSide::Reading => RelayEnd::ServerBroke,
                BrokenSide::Writing => RelayEnd::ClientBroke,
            })?;
        if server_line_ended {
            self.waiting_since = None;
        }
        Ok(sent || received)
    }

    /// Writes the complete lines that are buffered for the client, then `MOVE`.
    async fn write_move(&mut self) {
        self.write_lines_and(b"MOVE\r\n").await;
    }

    /// Writes the complete lines of the server that are still buffered; returns false if there are none.
    async fn write_complete_lines(&mut self) -> bool {
        let has_lines = self.to_client.complete_bytes > 0;
        if has_lines {
            self.write_lines_and(b"").await;
        }
        has_lines
    }

    /// Writes the complete lines that are buffered for the client, then `last_line`, for `linger_timeout` at most.
    async fn write_lines_and(&mut self, last_line: &[u8]) {
        let (ring, stream) = (&mut self.server.ring, &self.client.stream);
        ring.truncate(self.to_client.complete_bytes);
        let write = async {
            let mut line_pushed = ring.push(last_line);
            while !ring.is_empty() || !line_pushed {
                stream.writable().await?;
                ring.write_to(stream, usize::MAX)?;
                line_pushed = line_pushed || ring.push(last_line);
            }
            io::Result::Ok(())
        };
        // A client that has left, or reads nothing more, does not get the lines.
        let _ = timeout(self.limits.linger_timeout, write).await;
    }
}

/// Waits until an instant, or forever if there is none.
async fn sleep_until_some(wake_at: Option<Instant>) {
    match wake_at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
