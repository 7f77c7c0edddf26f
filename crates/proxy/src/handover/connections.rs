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

use crate::admit::{self, OpenId};
use crate::book::Booking;
use crate::limits::Permit;
use crate::line::{self, First};
use crate::relay::{self, Heard};
use crate::ring::Ring;
use crate::send::Server;
use crate::take_in::{Client, Shared};

/// A connection that a relay gives up, if the successor takes it.
pub struct Given {
    pub connection: Connection,
    /// The client's socket and the server's.
    pub fds: [OwnedFd; 2],
    pub answer: Offered,
}

/// The way back to the relay, which goes on when it is dropped.
pub struct Offered(pub oneshot::Sender<()>);

impl Offered {
    pub fn given(self) {
        // A relay waits for as long as this side of the way is there.
        let _ = self.0.send(());
    }
}

/// A connection that has come, and is not this process's yet.
pub struct Adopted {
    connection: Connection,
    client: TcpStream,
    server: TcpStream,
    request: Request,
    hold: (Permit, OpenId),
}

impl Adopted {
    /// Checks what came. What stands in the way leaves the connection where it was.
    pub fn take(
        connection: Connection,
        fds: Option<[OwnedFd; 2]>,
        shared: &Shared,
    ) -> Result<Self, String> {
        let [client, server] = fds.ok_or("its sockets did not come")?;
        let stream = |fd| {
            let stream = std::net::TcpStream::from(fd);
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        };
        let text = |error: std::io::Error| error.to_string();
        let (client, server) = (stream(client).map_err(text)?, stream(server).map_err(text)?);
        let Some(First::Open(open)) = line::first(&connection.line) else {
            return Err("its first line is none".into());
        };
        let (request, id) = admit::understand(&open, shared)?;
        // The other process frees as many.
        let permit = shared.requests.take_over(2).ok_or("no descriptor left")?;
        Ok(Self {
            client,
            server,
            request,
            hold: (permit, id),
            connection,
        })
    }

    /// Relays on from here.
    pub fn serve(self, shared: &Rc<Shared>) {
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
            let (to, orders) = mpsc::channel(limits.orders);
            let booking = Booking::new(&request, Instant::now(), &shared);
            booking.up();
            debug!(server = connection.server, "a connection was taken over");
            let on = connection.server;
            booking.tell(EngineEvent::Adopted(request, on, to)).await;
            if let Some(load) = connection.load {
                booking.load(on, load).await;
            }
            let client = Client {
                stream: client,
                ring: Ring::new(limits.ring_bytes),
                arrived: Instant::now(),
                place: None,
            };
            let server = Server {
                stream: server,
                ring: Ring::new(limits.ring_bytes),
            };
            let waits = connection
                .waits_ms
                .map(|ms| std::time::Duration::from_millis(ms.into()));
            let heard = Heard {
                load: connection.load,
                waiting_since: waits.and_then(|waits| Instant::now().checked_sub(waits)),
            };
            // It was read when the connection came.
            let Some(First::Open(open)) = line::first(&connection.line) else {
                return;
            };
            let heard = (&open, heard);
            relay::relay(client, server, on, orders, booking, heard, &shared).await;
            drop(hold);
        });
    }
}
