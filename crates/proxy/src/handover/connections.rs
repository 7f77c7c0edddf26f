//! Connections that go from one process to its successor while they are up. A relay that is between lines,
//! with nothing held, stops, and offers both sockets; the successor checks the client's first line as if it
//! had come to it, and relays on. Neither side of the connection notices.

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

/// A connection that a relay gives up, if the successor takes it.
pub struct ConnectionOffer {
    pub connection: Connection,
    /// The client's socket and the server's.
    pub fds: [OwnedFd; 2],
    pub reply: OfferReply,
}

/// The way back to the relay, which goes on when it is dropped.
pub struct OfferReply(pub oneshot::Sender<()>);

impl OfferReply {
    pub fn confirm(self) {
        // A relay waits for as long as this side of the way is there.
        let _ = self.0.send(());
    }
}

/// A connection that has come, and is not this process's yet.
pub struct AdoptedConnection {
    connection: Connection,
    client: TcpStream,
    server: TcpStream,
    request: Request,
    hold: (DescriptorPermit, OpenIdGuard),
}

impl AdoptedConnection {
    /// Checks what came. What stands in the way leaves the connection where it was.
    pub fn from_offer(
        connection: Connection,
        fds: Option<[OwnedFd; 2]>,
        shared: &SharedState,
    ) -> Result<Self, String> {
        let [client, server] = fds.ok_or("its sockets did not come")?;
        let stream = |fd| {
            let stream = std::net::TcpStream::from(fd);
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        };
        let text = |error: std::io::Error| error.to_string();
        let (client, server) = (stream(client).map_err(text)?, stream(server).map_err(text)?);
        let Some(FirstLine::Open(open)) = line_protocol::parse_first_line(&connection.first_line)
        else {
            return Err("its first line is none".into());
        };
        let (request, id) = admission::validate_request(&open, shared)?;
        // The other process frees as many.
        let permit = shared
            .request_descriptors
            .acquire_transferred(2)
            .ok_or("no descriptor left")?;
        Ok(Self {
            client,
            server,
            request,
            hold: (permit, id),
            connection,
        })
    }

    /// Relays on from here.
    pub fn start_relay(self, shared: &Rc<SharedState>) {
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let Self {
                connection,
                client,
                server,
                request,
                hold,
            } = self;
            let limits = &shared.limits;
            let (to, orders) = mpsc::channel(limits.order_queue_capacity);
            let booking = RequestTracker::new(&request, Instant::now(), &shared);
            booking.mark_up();
            debug!(server = connection.server, "a connection was taken over");
            let on = connection.server;
            booking
                .notify_engine(EngineEvent::Adopted(request, on, to))
                .await;
            if let Some(load) = connection.load {
                booking.report_load(on, load).await;
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
            let waits = connection
                .unanswered_ms
                .map(|ms| std::time::Duration::from_millis(ms.into()));
            let heard = RelayState {
                load: connection.load,
                waiting_since: waits.and_then(|waits| Instant::now().checked_sub(waits)),
            };
            // It was read when the connection came.
            let Some(FirstLine::Open(open)) =
                line_protocol::parse_first_line(&connection.first_line)
            else {
                return;
            };
            let heard = (&open, heard);
            relay::run_relay(client, server, on, orders, booking, heard, &shared).await;
            drop(hold);
        });
    }
}
