//! One side of a connection in the line protocol, for clients and servers that a test implements itself.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use socket2::SockRef;

use crate::WAIT_TIMEOUT;

/// How a connection ended.
#[derive(Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// End of stream.
    Closed,
    Reset,
}

/// One side of a connection in the line protocol. Unless documented otherwise, methods panic on an I/O error and when
/// nothing arrives within `WAIT_TIMEOUT`.
#[derive(Debug)]
pub struct LineConnection {
    pub(crate) reader: BufReader<TcpStream>,
}

impl LineConnection {
    /// Wraps a connected stream, with `TCP_NODELAY` and a read timeout set.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Self {
            reader: BufReader::new(stream),
        }
    }

    pub fn connect(addr: SocketAddr) -> Self {
        Self::new(TcpStream::connect(addr).unwrap())
    }

    /// Sends a line, adding CRLF.
    pub fn send_line(&mut self, line: &str) {
        self.send_bytes(format!("{line}\r\n").as_bytes());
    }

    /// Sends a line, adding CRLF, to a peer that may have closed the connection.
    ///
    /// # Errors
    /// The write failed.
    pub fn try_send_line(&mut self, line: &str) -> std::io::Result<()> {
        self.reader
            .get_mut()
            .write_all(format!("{line}\r\n").as_bytes())
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.reader.get_mut().write_all(bytes).unwrap();
    }

    /// Reads the next line without its CRLF.
    ///
    /// # Errors
    /// The connection ended before the line.
    pub fn try_read_line(&mut self) -> Result<String, ConnectionEnd> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Err(ConnectionEnd::Closed),
            Ok(_) => {
                let text = line.strip_suffix("\r\n");
                Ok(text
                    .unwrap_or_else(|| panic!("line without CRLF: {line:?}"))
                    .into())
            }
            Err(error) if error.kind() == ErrorKind::ConnectionReset => Err(ConnectionEnd::Reset),
            Err(error) => panic!("no line was read: {error}"),
        }
    }

    /// Reads the next line without its CRLF.
    pub fn read_line(&mut self) -> String {
        self.try_read_line()
            .expect("the connection ended before a line")
    }

    /// Reads exactly `count` bytes.
    pub fn read_bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.reader.read_exact(&mut bytes).unwrap();
        bytes
    }

    /// Waits for the end of the connection, before which no line may arrive.
    pub fn expect_end(&mut self) -> ConnectionEnd {
        self.try_read_line()
            .expect_err("a line arrived in place of the end")
    }

    /// Whether the connection stays open without any byte arriving for `time`.
    pub fn is_quiet_for(&mut self, time: Duration) -> bool {
        let stream = self.reader.get_ref();
        stream.set_read_timeout(Some(time)).unwrap();
        let buffered = self.reader.fill_buf().map(<[u8]>::len);
        let stream = self.reader.get_ref();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        matches!(buffered, Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
    }

    /// Whether a byte is waiting to be read, or the connection has ended.
    pub fn has_unread(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Waits until a byte has arrived, and leaves it unread.
    pub fn wait_readable(&self) {
        assert!(self.reader.get_ref().peek(&mut [0]).unwrap() > 0);
    }

    /// Resets the connection after the bytes sent so far.
    pub fn reset(self) {
        let _ = SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO));
    }

    /// Closes the sending direction only.
    pub fn half_close(&self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Sends bytes until all are written or a write blocks for `within`; returns the number of bytes written.
    pub fn send_until_blocked(&mut self, bytes: &[u8], within: Duration) -> usize {
        let stream = self.reader.get_mut();
        stream.set_write_timeout(Some(within)).unwrap();
        let mut sent = 0;
        while sent < bytes.len() {
            match stream.write(&bytes[sent..]) {
                Ok(count) => sent += count,
                Err(_) => break,
            }
        }
        sent
    }
}
