//! A TCP connection for libraries that require `AsyncRead` and `AsyncWrite`.

use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::socket::{try_read, try_write};

/// A TCP connection that remains ready after short reads and writes. Clones share the connection, and one may be read
/// while another is written. The connection closes when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct SharedTcpStream(Arc<TcpStream>);

impl SharedTcpStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }
}

impl AsyncRead for SharedTcpStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            if let Some(read) = try_read(&*self.0, buffer.initialize_unfilled())? {
                buffer.advance(read);
                return Poll::Ready(Ok(()));
            }
        }
    }
}

impl AsyncWrite for SharedTcpStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(context))?;
            if let Some(written) = try_write(&*self.0, bytes)? {
                return Poll::Ready(Ok(written));
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.0).shutdown(Shutdown::Write))
    }
}
