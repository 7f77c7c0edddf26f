//! Stage five: passes lines on both ways, unchanged, until one side ends or the client is moved.

use std::future::pending;
use std::io;
use std::os::fd::AsFd;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep_until, timeout};
use tracing::{debug, info, warn};
use violetwind_balancer::api::{Outcome, Report, ServerId};

use crate::acceptor::{ClientConnection, SharedState};
use crate::attempt::ServerConnection;
use crate::handover::{ConnectionOffer, OfferReply};
use crate::limits::Limits;
use crate::line_protocol::{self, LineScanner, OpenLine, ServerLine};
use crate::log_throttle::LogThrottle;
use crate::request_tracker::RequestTracker;
use crate::ring_buffer::RingBuffer;
use violetwind_engine::ConnectionCommand;
use violetwind_service::handover::Connection;

/// One direction of a connection.
#[derive(Debug, Default)]
struct Way {
    scanner: LineScanner,
    /// Bytes at the front of the ring that end with the end of a line.
    whole: usize,
    /// The last byte written was within a line.
    within_line: bool,
    /// Only whole lines go on: what has gone on of a line whose end never comes leaves no place for a word.
    by_lines: bool,
    /// The reading side has seen the end of the stream, and it was passed on.
    ended: bool,
    closed: bool,
    /// Not the reading side has ended, but who would get what it sends.
    stopped: bool,
}

/// Which socket broke.
#[derive(Debug)]
enum Broken {
    Reading,
    Writing,
}

impl Way {
    /// Notes bytes that were added to the ring behind `before` others.
    fn hear(&mut self, bytes: &[u8], before: usize, mut line: impl FnMut(&[u8])) {
        self.scanner.feed(bytes, |head, end| {
            self.whole = before + end;
            line(head);
        });
    }

    /// How much of what is held may go on now.
    fn due(&self, ring: &RingBuffer) -> usize {
        match self.by_lines && !self.ended && ring.free_bytes() > 0 {
            true => self.whole,
            false => ring.len(),
        }
    }

    /// Nothing more goes this way: who would read it has gone.
    fn stop(&mut self, ring: &mut RingBuffer) {
        ring.truncate(0);
        self.whole = 0;
        (self.ended, self.closed, self.stopped) = (true, true, true);
    }

    /// Reads and writes until neither goes on, or so many times. True if anything was read or written.
    fn pump(
        &mut self,
        ring: &mut RingBuffer,
        from: &TcpStream,
        to: &TcpStream,
        reads: usize,
        mut line: impl FnMut(&[u8]),
    ) -> Result<bool, Broken> {
        let mut moved = false;
        for _ in 0..reads {
            let mut now = false;
            if !self.ended && ring.free_bytes() > 0 {
                let before = ring.len();
                let read = ring.read_from(from, |bytes| self.hear(bytes, before, &mut line));
                match read {
                    Ok(Some(0)) => self.ended = true,
                    Ok(Some(_)) => now = true,
                    Ok(None) => {}
                    Err(_) => return Err(Broken::Reading),
                }
            }
            let due = self.due(ring);
            if due > 0 {
                match ring.write_to(to, due) {
                    Ok(Some(sent)) => {
                        self.within_line = sent != self.whole;
                        self.whole = self.whole.saturating_sub(sent);
                        now = true;
                    }
                    Ok(None) => {}
                    Err(_) => return Err(Broken::Writing),
                }
            }
            if !now {
                break;
            }
            moved = true;
        }
        Ok(moved)
    }

    /// Passes the end of the stream on, once all before it is.
    async fn pass_end(&mut self, ring: &RingBuffer, to: &mut TcpStream) {
        if self.ended && !self.closed && ring.is_empty() {
            self.closed = true;
            // A side that is broken already needs no end.
            let _ = to.shutdown().await;
        }
    }

    /// Returns when either socket may let it go on.
    async fn ready(&self, ring: &RingBuffer, from: &TcpStream, to: &TcpStream) {
        let read = async {
            match !self.ended && ring.free_bytes() > 0 {
                true => from.readable().await,
                false => pending().await,
            }
        };
        let write = async {
            match self.due(ring) > 0 {
                true => to.writable().await,
                false => pending().await,
            }
        };
        // An error shows at the next read or write.
        tokio::select! {
            _ = read => {}
            _ = write => {}
        }
    }
}

/// How a relay ended.
#[derive(Debug)]
enum End {
    ServerClosed,
    ClientClosed,
    ServerBroke,
    ClientBroke,
    Moved,
    /// It stops for a successor to take it.
    BetweenLines,
}

impl End {
    fn is_by_server(&self) -> bool {
        matches!(self, Self::ServerClosed | Self::ServerBroke)
    }
}

struct Relay<'a> {
    client: ClientConnection,
    server: ServerConnection,
    up: Way,
    down: Way,
    /// Since when a line of the client waits for the server to say anything.
    waiting_since: Option<Instant>,
    /// What the server's last word means for the books.
    outcome: (Outcome, Report),
    /// The connection's load as last told, until the engine has it.
    load: Option<f64>,
    /// The same as the server told it last.
    told: Option<f64>,
    /// A move was ordered, and goes ahead then whatever is under way.
    move_by: Option<Instant>,
    /// Nothing is waited for any more.
    move_now: bool,
    /// A successor gets the connection as soon as it is between lines.
    to_heir: bool,
    limits: &'a Limits,
    repeats: &'a LogThrottle,
}

/// What a relay has heard that goes on at another process.
#[derive(Debug, Default)]
pub struct RelayState {
    pub load: Option<f64>,
    pub waiting_since: Option<Instant>,
}

pub async fn run_relay(
    client: ClientConnection,
    server: ServerConnection,
    on: ServerId,
    mut orders: mpsc::Receiver<ConnectionCommand>,
    booking: RequestTracker,
    (open, heard): (&OpenLine<'_>, RelayState),
    shared: &SharedState,
) {
    let limits = &*shared.limits;
    let mut relay = Relay {
        client,
        server,
        up: Way::default(),
        down: Way {
            by_lines: true,
            ..Way::default()
        },
        waiting_since: heard.waiting_since,
        outcome: (Outcome::Reset, Report::default()),
        load: None,
        told: heard.load,
        move_by: None,
        move_now: false,
        to_heir: false,
        limits,
        repeats: &shared.log_throttle,
    };
    // What came with the first lines belongs to the connection.
    let held = relay.client.ring.to_vec();
    relay.up.hear(&held, 0, |_| {});
    let held = relay.server.ring.to_vec();
    let (outcome, load) = (&mut relay.outcome, &mut relay.load);
    relay
        .down
        .hear(&held, 0, |head| understand(head, outcome, load));
    let end = loop {
        match relay.run(on, &mut orders, &booking).await {
            End::BetweenLines => {
                if relay.offer(open, on, shared).await {
                    debug!("the successor has it");
                    return booking.report_client_left().await;
                }
            }
            end => break end,
        }
    };
    debug!(server = on, id = open.id, ?end, "relay");
    let owed = end.is_by_server() && relay.give_rest().await;
    let client_sends = relay.client_sends();
    let Relay {
        mut client,
        server,
        outcome,
        ..
    } = relay;
    match end {
        // What the client sends meanwhile must not reset the connection before it has read the last line.
        End::ServerClosed => {
            booking.report_end(on, outcome).await;
            if client_sends {
                client.linger_close(limits).await;
            }
        }
        End::ClientClosed => booking.report_client_left().await,
        // The other side ends in the same way, by a reset, unless that overtook what it is owed.
        End::ServerBroke => {
            let last_word = outcome.0 != Outcome::Reset;
            booking.report_end(on, outcome).await;
            match owed || last_word {
                true => client.linger_close(limits).await,
                false => drop(client.stream.set_zero_linger()),
            }
        }
        End::ClientBroke => {
            booking.report_client_left().await;
            let _ = server.stream.set_zero_linger();
        }
        End::Moved | End::BetweenLines => {
            booking
                .report_end(on, (Outcome::Cancelled, Report::default()))
                .await;
            drop(server);
            client.linger_close(limits).await;
        }
    }
}

/// Notes what a server's line means beside its way to the client.
fn understand(head: &[u8], outcome: &mut (Outcome, Report), load: &mut Option<f64>) {
    // Most lines are the clients' own business.
    if !["LOAD ", "BYE", "MOVE"]
        .iter()
        .any(|word| head.starts_with(word.as_bytes()))
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
    async fn run(
        &mut self,
        on: ServerId,
        orders: &mut mpsc::Receiver<ConnectionCommand>,
        booking: &RequestTracker,
    ) -> End {
        let mut active = Instant::now();
        let mut server_first = false;
        loop {
            match self.pump() {
                Ok(true) => active = Instant::now(),
                Ok(false) => {}
                Err(end) => return end,
            }
            if let Some(load) = self.load.take() {
                self.told = Some(load);
                match load <= self.limits.max_connection_load {
                    true => booking.report_load(on, load).await,
                    false => {
                        if let Some(left_out) = self.repeats.try_acquire() {
                            info!(load, left_out, "a load that makes no sense is passed over");
                        }
                    }
                }
            }
            if let Some(by) = self.move_by {
                let late = by <= Instant::now();
                let between = self.down.whole > 0 || !self.down.within_line;
                let (whole, asks) = (self.down.scanner.is_between_lines(), self.waiting_since);
                let over = by + self.limits.linger_timeout <= Instant::now() || self.move_now;
                if between && (over || whole && (late || asks.is_none())) {
                    self.say_move().await;
                    return End::Moved;
                }
                if over {
                    // A server that has stopped within a line leaves no place for a word.
                    return End::ServerBroke;
                }
            }
            if self.to_heir && self.move_by.is_none() && self.rests() {
                self.to_heir = false;
                return End::BetweenLines;
            }
            server_first |= self.down.ended && self.client_sends();
            let (client, server) = (&mut self.client, &mut self.server);
            self.up.pass_end(&client.ring, &mut server.stream).await;
            self.down.pass_end(&server.ring, &mut client.stream).await;
            let end = match server_first {
                true => End::ServerClosed,
                false => End::ClientClosed,
            };
            if self.up.closed && self.down.closed {
                return end;
            }
            // A client that does not read says nothing about its server.
            let since = self.waiting_since.filter(|_| server.ring.free_bytes() > 0);
            let silent = since.map(|since| since + self.limits.server_silence_timeout);
            let half_closed = (self.up.closed || self.down.closed)
                .then(|| active + self.limits.half_close_timeout);
            let moving = self.move_by.map(|by| match by <= Instant::now() {
                true => by + self.limits.linger_timeout,
                false => by,
            });
            let due = [moving, silent, half_closed].into_iter().flatten().min();
            tokio::select! {
                () = self.up.ready(&client.ring, &client.stream, &server.stream) => {}
                () = self.down.ready(&server.ring, &server.stream, &client.stream) => {}
                order = orders.recv() => match order {
                    // Told twice, it is out of time.
                    Some(ConnectionCommand::Move) if self.move_by.is_some() => self.move_now = true,
                    Some(ConnectionCommand::Move) => {
                        self.move_by = Some(Instant::now() + self.limits.move_timeout);
                    }
                    Some(ConnectionCommand::HandOver) => self.to_heir = true,
                    Some(_) => {}
                    // The engine is gone, and so is the process.
                    None => return End::ServerBroke,
                },
                () = until(due) => {
                    let now = Instant::now();
                    if silent.is_some_and(|at| at <= now) {
                        info!(server = on, "a server is silent: its client is moved");
                        booking.report_silence(on).await;
                        self.waiting_since = None;
                        self.move_by = Some(now);
                    } else if half_closed.is_some_and(|at| at <= now) {
                        return end;
                    }
                }
            }
        }
    }

    /// Whether the client may send more: its end has not been read.
    fn client_sends(&self) -> bool {
        !self.up.ended || self.up.stopped
    }

    /// Whether it is between lines both ways and nothing of it is held here.
    fn rests(&self) -> bool {
        let rests = |way: &Way, ring: &RingBuffer| {
            way.scanner.is_between_lines() && !way.ended && ring.is_empty()
        };
        rests(&self.up, &self.client.ring)
            && rests(&self.down, &self.server.ring)
            && self.outcome.0 == Outcome::Reset
    }

    /// Offers the connection to the successor; false if that does not take it. Nothing is read meanwhile.
    async fn offer(&self, open: &OpenLine<'_>, on: ServerId, shared: &SharedState) -> bool {
        let Some(heir) = shared.service.successor_sender() else {
            return false;
        };
        // Descriptors are doubled only once there is room on the way.
        let Ok(room) = heir.reserve().await else {
            return false;
        };
        let double = |stream: &TcpStream| stream.as_fd().try_clone_to_owned();
        let (Ok(client), Ok(server)) = (double(&self.client.stream), double(&self.server.stream))
        else {
            warn!(
                server = on,
                "no descriptor left to offer a connection: it stays"
            );
            return false;
        };
        let waits = self.waiting_since.map(|since| since.elapsed().as_millis());
        let (answer, given) = oneshot::channel();
        room.send(ConnectionOffer {
            connection: Connection {
                first_line: open.to_line(),
                server: on,
                load: self.told,
                unanswered_ms: waits.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX)),
            },
            fds: [client, server],
            reply: OfferReply(answer),
        });
        given.await.is_ok()
    }

    fn pump(&mut self) -> Result<bool, End> {
        let (client, server) = (&mut self.client, &mut self.server);
        let reads = self.limits.max_consecutive_reads;
        let mut asked = false;
        let sent = self.up.pump(
            &mut client.ring,
            &client.stream,
            &server.stream,
            reads,
            |_| asked = true,
        );
        let sent = match sent {
            Ok(sent) => sent,
            Err(Broken::Reading) => return Err(End::ClientBroke),
            // A server that reads no more may have said its last word, which is still to be read.
            Err(Broken::Writing) => {
                self.up.stop(&mut client.ring);
                true
            }
        };
        if asked {
            self.waiting_since.get_or_insert_with(Instant::now);
        }
        let (outcome, load) = (&mut self.outcome, &mut self.load);
        let mut heard = false;
        let got = self
            .down
            .pump(
                &mut server.ring,
                &server.stream,
                &client.stream,
                reads,
                |head| {
                    heard = true;
                    understand(head, outcome, load);
                },
            )
            .map_err(|broken| match broken {
                Broken::Reading => End::ServerBroke,
                Broken::Writing => End::ClientBroke,
            })?;
        if heard {
            self.waiting_since = None;
        }
        Ok(sent || got)
    }

    /// Writes the whole lines that are held, and `MOVE` behind them.
    async fn say_move(&mut self) {
        self.give(b"MOVE\r\n").await;
    }

    /// Writes the whole lines that a server has left behind; false if there are none.
    async fn give_rest(&mut self) -> bool {
        let some = self.down.whole > 0;
        if some {
            self.give(b"").await;
        }
        some
    }

    /// Writes the whole lines that are held, and another one.
    async fn give(&mut self, line: &[u8]) {
        let (ring, stream) = (&mut self.server.ring, &self.client.stream);
        ring.truncate(self.down.whole);
        let write = async {
            let mut said = ring.push(line);
            while !ring.is_empty() || !said {
                stream.writable().await?;
                ring.write_to(stream, usize::MAX)?;
                said = said || ring.push(line);
            }
            io::Result::Ok(())
        };
        // A client that takes nothing more, or has left, can't be told.
        let _ = timeout(self.limits.linger_timeout, write).await;
    }
}

async fn until(due: Option<Instant>) {
    match due {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
