//! Establishes connections to peers.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use tokio::net::{TcpSocket, TcpStream};

use crate::exhaustion::is_resource_exhaustion;

/// The reason for which no connection was established.
#[derive(Debug)]
pub enum DialError {
    /// This machine lacks resources or has no route at the moment: the connect never reached the peer.
    Local(io::Error),
    /// The peer refuses the connection, is down or can't be reached.
    Peer(io::Error),
}

impl DialError {
    /// The I/O error.
    pub fn into_inner(self) -> io::Error {
        match self {
            Self::Local(error) | Self::Peer(error) => error,
        }
    }
}

/// Opens a TCP connection to a peer. It has no timeout of its own.
///
/// # Errors
/// See [`DialError`].
pub async fn connect(to: SocketAddr) -> Result<TcpStream, DialError> {
    let socket = match to {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    // Any failure to create a socket is local.
    let socket = socket.map_err(DialError::Local)?;
    socket.connect(to).await.map_err(|error| {
        match is_resource_exhaustion(&error) || error.kind() == ErrorKind::NetworkUnreachable {
            true => DialError::Local(error),
            false => DialError::Peer(error),
        }
    })
}
