//! Connections to peers.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use tokio::net::{TcpSocket, TcpStream};

use crate::exhaustion::is_resource_exhaustion;

/// Why no connection came up.
#[derive(Debug)]
pub enum DialError {
    /// This machine is short of something, or has no route for a moment: the peer was never asked.
    Local(io::Error),
    /// The peer refuses, is down, or can't be reached.
    Peer(io::Error),
}

impl DialError {
    pub fn into_inner(self) -> io::Error {
        match self {
            Self::Local(error) | Self::Peer(error) => error,
        }
    }
}

/// Dials a peer.
///
/// # Errors
/// See [`DialError`]; no time limit is kept here.
pub async fn connect(to: SocketAddr) -> Result<TcpStream, DialError> {
    let socket = match to {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    };
    // Whatever keeps a socket from being made is this machine's own.
    let socket = socket.map_err(DialError::Local)?;
    socket.connect(to).await.map_err(|error| {
        match is_resource_exhaustion(&error) || error.kind() == ErrorKind::NetworkUnreachable {
            true => DialError::Local(error),
            false => DialError::Peer(error),
        }
    })
}
