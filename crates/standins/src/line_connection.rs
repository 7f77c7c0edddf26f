//! One side of a conversation in lines, for clients and for servers played by hand.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use socket2::SockRef;

use crate::WAIT_TIMEOUT;

/// How a connection ended.
#[derive(Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    Closed,
    Reset,
}

/// One side of a conversation in lines.
#[derive(Debug)]
pub struct LineConnection {
    pub(crate) reader: BufReader<TcpStream>,
}

impl LineConnection {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        Self {
            reader: BufReader::new(stream),
        }
    }

    pub fn connect(to: SocketAddr) -> Self {
        Self::new(TcpStream::connect(to).unwrap())
    }

    pub fn send_line(&mut self, line: &str) {
        self.send_bytes(format!("{line}\r\n").as_bytes());
    }

    /// The same, where the other side may have gone.
    pub fn try_send_line(&mut self, line: &str) -> std::io::Result<()> {
        self.reader
            .get_mut()
            .write_all(format!("{line}\r\n").as_bytes())
    }

    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.reader.get_mut().write_all(bytes).unwrap();
    }

    /// The next line without its end, or how the connection ended.
    pub fn try_read_line(&mut self) -> Result<String, ConnectionEnd> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) => Err(ConnectionEnd::Closed),
            Ok(_) => {
                let text = line.strip_suffix("\r\n");
                Ok(text.unwrap_or_else(|| panic!("no CRLF: {line:?}")).into())
            }
            Err(error) if error.kind() == ErrorKind::ConnectionReset => Err(ConnectionEnd::Reset),
            Err(error) => panic!("nothing came: {error}"),
        }
    }

    pub fn read_line(&mut self) -> String {
        self.try_read_line().expect("a line")
    }

    /// The next so many bytes.
    pub fn read_bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.reader.read_exact(&mut bytes).unwrap();
        bytes
    }

    /// How the connection ends, with nothing more before that.
    pub fn expect_end(&mut self) -> ConnectionEnd {
        self.try_read_line().expect_err("the end")
    }

    /// Whether something comes within such a time.
    pub fn is_quiet_for(&mut self, time: Duration) -> bool {
        let stream = self.reader.get_ref();
        stream.set_read_timeout(Some(time)).unwrap();
        let got = self.reader.fill_buf().map(<[u8]>::len);
        let stream = self.reader.get_ref();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        matches!(got, Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut))
    }

    /// Whether something has come, or the connection has ended.
    pub fn has_unread(&self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Waits until something has come, and leaves it unread.
    pub fn wait_readable(&self) {
        assert!(self.reader.get_ref().peek(&mut [0]).unwrap() > 0);
    }

    /// Ends the connection with a reset, behind whatever was said before.
    pub fn reset(self) {
        let _ = SockRef::from(self.reader.get_ref()).set_linger(Some(Duration::ZERO));
    }

    pub fn half_close(&self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Sends bytes until the other side takes no more, or so many are through.
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
