//! Transfer of established connections to the successor process during an upgrade. A relay stops at a line
//! boundary, with no buffered bytes, and offers both sockets. The successor validates the client's first line
//! as for a new connection and continues the relay. The transfer is invisible to the client and the server.

use std::cell::Cell;
use std::os::fd::OwnedFd;
use std::rc::Rc;

use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tracing::debug;
use violetwind_balancer::api::Request;
use violetwind_engine::EngineEvent;
use violetwind_service::handover::Connection;

use crate::acceptor::{ClientConnection, SharedState};
use crate::admission::{self, OpenIdGuard};
use crate::attempt::ServerConnection;
use crate::limits::DescriptorPermit;
use crate::line_protocol::{self, FirstLine};
use crate::relay::{self, RelayState};
use crate::request_tracker::RequestTracker;
use crate::ring_buffer::RingBuffer;

/// An established connection that a relay offers to the successor process.
pub struct ConnectionOffer {
    pub connection: Connection,
    /// The client's socket, then the server's.
    pub fds: [OwnedFd; 2],
    pub reply: OfferReply,
}

/// Who decides next about an offered connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OfferState {
    /// The relay may withdraw the offer, and the session may begin the transfer.
    Open,
    /// The relay has taken the connection back.
    Withdrawn,
    /// The session is transferring the connection.
    Transferring,
}

/// Creates the two ends of an offer: for the session with the successor, and for the relay.
pub fn offer_channel() -> (OfferReply, PendingOffer) {
    let state = Rc::new(Cell::new(OfferState::Open));
    let (sender, transferred) = oneshot::channel();
    let reply = OfferReply {
        state: state.clone(),
        transferred: sender,
    };
    (reply, PendingOffer { state, transferred })
}

/// The session's end of an offer. When this is dropped unused, the relay keeps the connection and continues.
pub struct OfferReply {
    state: Rc<Cell<OfferState>>,
    transferred: oneshot::Sender<()>,
}

impl OfferReply {
    /// Whether the relay has taken the connection back.
    pub fn is_withdrawn(&self) -> bool {
        self.state.get() == OfferState::Withdrawn
    }

    /// Begins the transfer, after which the relay can't withdraw the offer. Returns false if it already has.
    pub fn begin_transfer(&self) -> bool {
        let is_open = self.state.get() == OfferState::Open;
        if is_open {
            self.state.set(OfferState::Transferring);
        }
        is_open
    }

    /// Reports that the connection now belongs to the successor.
    pub fn confirm(self) {
        // The relay waits for the end of a transfer that has begun, so the receiver still exists.
        let _ = self.transferred.send(());
    }
}

/// The relay's end of an offer.
pub struct PendingOffer {
    state: Rc<Cell<OfferState>>,
    transferred: oneshot::Receiver<()>,
}

impl PendingOffer {
    /// Waits for the end of the offer. Returns whether the connection now belongs to the successor.
    pub async fn is_transferred(&mut self) -> bool {
        (&mut self.transferred).await.is_ok()
    }

    /// Withdraws the offer. Returns false if the transfer has begun.
    pub fn withdraw(&self) -> bool {
        let is_open = self.state.get() == OfferState::Open;
        if is_open {
            self.state.set(OfferState::Withdrawn);
        }
        is_open
    }
}

/// A validated connection received from the predecessor, which still owns it until the transfer is confirmed.
pub struct AdoptedConnection {
    connection: Connection,
    client: TcpStream,
    server: TcpStream,
    request: Request,
    guards: (DescriptorPermit, OpenIdGuard),
}

impl AdoptedConnection {
    /// Validates a received connection and reserves its resources. On an error the connection stays with the
    /// predecessor.
    pub fn from_offer(
        connection: Connection,
        fds: Option<[OwnedFd; 2]>,
        shared: &SharedState,
    ) -> Result<Self, String> {
        let [client, server] = fds.ok_or("its sockets were not received")?;
        let stream = |fd| {
            let stream = std::net::TcpStream::from(fd);
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        };
        let to_text = |error: std::io::Error| error.to_string();
        let (client, server) = (
            stream(client).map_err(to_text)?,
            stream(server).map_err(to_text)?,
        );
        let Some(FirstLine::Open(open)) = line_protocol::parse_first_line(&connection.first_line)
        else {
            return Err("its first line is not an OPEN request".into());
        };
        let (request, id) = admission::validate_request(&open, shared)?;
        // The predecessor releases the same number of descriptors.
        let permit = shared
            .request_descriptors
            .acquire_transferred(2)
            .ok_or("no descriptor left")?;
        Ok(Self {
            client,
            server,
            request,
            guards: (permit, id),
            connection,
        })
    }

    /// Starts a task that continues the relay in this process.
    pub fn start_relay(self, shared: &Rc<SharedState>) {
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let Self {
                connection,
                client,
                server,
                request,
                guards,
            } = self;
            let limits = &shared.limits;
            let (command_sender, commands) = mpsc::channel(limits.command_queue_capacity);
            let tracker = RequestTracker::new(&request, Instant::now(), &shared);
            tracker.mark_up();
            debug!(server = connection.server, "a connection was taken over");
            let server_number = connection.server;
            tracker
                .notify_engine(EngineEvent::Adopted(request, server_number, command_sender))
                .await;
            if let Some(load) = connection.load {
                tracker.report_load(server_number, load).await;
            }
            let client = ClientConnection {
                stream: client,
                ring: RingBuffer::new(limits.ring_buffer_bytes),
                arrived: Instant::now(),
                pending_slot: None,
            };
            let server = ServerConnection {
                stream: server,
                ring: RingBuffer::new(limits.ring_buffer_bytes),
            };
            let unanswered_for = connection
                .unanswered_ms
                .map(|ms| std::time::Duration::from_millis(ms.into()));
            let relay_state = RelayState {
                load: connection.load,
                waiting_since: unanswered_for
                    .and_then(|elapsed| Instant::now().checked_sub(elapsed)),
            };
            // `from_offer` has already parsed this line, so it always parses here.
            let Some(FirstLine::Open(open)) =
                line_protocol::parse_first_line(&connection.first_line)
            else {
                return;
            };
            let open_and_state = (&open, relay_state);
            relay::run_relay(
                client,
                server,
                server_number,
                commands,
                tracker,
                open_and_state,
                &shared,
            )
            .await;
            drop(guards);
        });
    }
}
