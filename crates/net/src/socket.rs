//! Single reads and writes, and writes of all bytes.

use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::os::fd::AsFd;

use socket2::SockRef;
use tokio::net::{TcpStream, UnixStream};

/// A stream socket with the runtime's view of its readiness.
pub trait Socket: AsFd {
    /// Makes one read call without waiting.
    ///
    /// # Errors
    /// As returned by the system; `WouldBlock` clears the readiness.
    fn read_once(&self, buffer: &mut [u8]) -> io::Result<usize>;

    /// Makes one write call without waiting.
    ///
    /// # Errors
    /// As returned by the system; `WouldBlock` clears the readiness.
    fn write_once(&self, bytes: &[u8]) -> io::Result<usize>;

    /// Waits until a write may succeed.
    fn writable(&self) -> impl Future<Output = io::Result<()>>;
}

impl Socket for TcpStream {
    fn read_once(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.try_read(buffer)
    }

    fn write_once(&self, bytes: &[u8]) -> io::Result<usize> {
        self.try_write(bytes)
    }

    fn writable(&self) -> impl Future<Output = io::Result<()>> {
        TcpStream::writable(self)
    }
}

impl Socket for UnixStream {
    fn read_once(&self, buffer: &mut [u8]) -> io::Result<usize> {
        self.try_read(buffer)
    }

    fn write_once(&self, bytes: &[u8]) -> io::Result<usize> {
        self.try_write(bytes)
    }

    fn writable(&self) -> impl Future<Output = io::Result<()>> {
        UnixStream::writable(self)
    }
}

/// Repeats a call until it is not interrupted (`EINTR`).
///
/// # Errors
/// Any other failure.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Converts the result of a call: `None` if the socket was not ready (`WouldBlock`).
fn none_if_not_ready<T>(result: io::Result<T>) -> io::Result<Option<T>> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    }
}

/// Reads once if the runtime considers the socket ready. Returns the number of bytes, 0 at the end of the stream, or
/// `None` if the socket was not ready.
///
/// # Errors
/// The connection is broken.
pub fn try_read(socket: &impl Socket, buffer: &mut [u8]) -> io::Result<Option<usize>> {
    none_if_not_ready(retry_interrupted(|| socket.read_once(buffer)))
}

/// Writes once if the runtime considers the socket ready. Returns the number of bytes, or `None` if the socket was not
/// ready.
///
/// # Errors
/// The connection is broken.
pub fn try_write(socket: &impl Socket, bytes: &[u8]) -> io::Result<Option<usize>> {
    none_if_not_ready(retry_interrupted(|| socket.write_once(bytes)))
}

/// Reads once from the socket itself, whether or not the runtime considers it ready.
///
/// # Errors
/// The connection is broken.
pub fn read_now(stream: &TcpStream, buffer: &mut [u8]) -> io::Result<Option<usize>> {
    none_if_not_ready(retry_interrupted(|| (&*SockRef::from(stream)).read(buffer)))
}

/// Whether the connection is open without unread input: no bytes, no end of the stream, no error.
pub fn is_open_and_idle(stream: &TcpStream) -> bool {
    let peeked = retry_interrupted(|| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]));
    matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
}

/// Writes all bytes. If the future is dropped at an await, some of the bytes may have been written.
///
/// # Errors
/// The connection is broken.
pub async fn write_all(socket: &impl Socket, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match try_write(socket, bytes)? {
            Some(0) => return Err(ErrorKind::WriteZero.into()),
            Some(written) => bytes = &bytes[written..],
            None => socket.writable().await?,
        }
    }
    Ok(())
}
