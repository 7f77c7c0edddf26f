//! The bounded buffer of one direction of one connection.

use std::io;

use tokio::net::TcpStream;
use violetwind_net::{read_now, try_read, try_write};

#[derive(Debug)]
pub struct RingBuffer {
    /// Of its size once something has come: most that connect to harm say nothing.
    bytes: Box<[u8]>,
    size: usize,
    head: usize,
    len: usize,
}

impl RingBuffer {
    pub fn new(size: usize) -> Self {
        Self {
            bytes: Box::default(),
            size,
            head: 0,
            len: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn free_bytes(&self) -> usize {
        self.size - self.len
    }

    fn allocate(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = vec![0; self.size].into_boxed_slice();
        }
    }

    /// Reads once what the socket has, as far as it fits in one piece, and hands it to `seen` too.
    /// 0 is the end of the stream, `None` a socket that has nothing; the ring must not be full.
    pub fn read_from(
        &mut self,
        stream: &TcpStream,
        seen: impl FnOnce(&[u8]),
    ) -> io::Result<Option<usize>> {
        self.allocate();
        let size = self.size;
        let tail = (self.head + self.len) % size;
        let end = if tail < self.head { self.head } else { size };
        let got = try_read(stream, &mut self.bytes[tail..end])?;
        if let Some(got) = got {
            seen(&self.bytes[tail..tail + got]);
            self.len += got;
        }
        Ok(got)
    }

    /// Reads once by the socket itself, whether or not the runtime has heard that it may.
    pub fn read_now(&mut self, stream: &TcpStream) -> io::Result<Option<usize>> {
        self.allocate();
        let tail = (self.head + self.len) % self.size;
        let end = if tail < self.head {
            self.head
        } else {
            self.size
        };
        let got = read_now(stream, &mut self.bytes[tail..end])?;
        self.len += got.unwrap_or(0);
        Ok(got)
    }

    /// Waits for what comes and reads once. 0 is the end of the stream; the ring must not be full.
    pub async fn fill(&mut self, stream: &TcpStream) -> io::Result<usize> {
        loop {
            stream.readable().await?;
            if let Some(got) = self.read_from(stream, |_| {})? {
                return Ok(got);
            }
        }
    }

    /// Reads until the first line is whole; it stays in the ring.
    pub async fn fill_until_line(&mut self, stream: &TcpStream) -> io::Result<Vec<u8>> {
        loop {
            if let Some(line) = self.peek_line() {
                return Ok(line);
            }
            if self.free_bytes() == 0 {
                return Err(io::ErrorKind::InvalidData.into());
            }
            if self.fill(stream).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Writes once what the socket takes of the first so many bytes; `None` if it takes none now.
    pub fn write_to(&mut self, stream: &TcpStream, most: usize) -> io::Result<Option<usize>> {
        let end = (self.head + self.len.min(most)).min(self.bytes.len());
        let sent = try_write(stream, &self.bytes[self.head..end])?;
        self.skip(sent.unwrap_or(0));
        Ok(sent)
    }

    fn skip(&mut self, count: usize) {
        self.len -= count;
        // An empty ring starts over: a first line then lies in one piece.
        self.head = match self.len {
            0 => 0,
            _ => (self.head + count) % self.bytes.len(),
        };
    }

    /// Drops all but the first bytes.
    pub fn truncate(&mut self, len: usize) {
        self.len = self.len.min(len);
    }

    /// Appends bytes; false if they don't fit.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        if bytes.len() > self.free_bytes() {
            return false;
        }
        self.allocate();
        for &byte in bytes {
            let at = (self.head + self.len) % self.bytes.len();
            self.bytes[at] = byte;
            self.len += 1;
        }
        true
    }

    fn at(&self, place: usize) -> u8 {
        self.bytes[(self.head + place) % self.bytes.len()]
    }

    /// The length of the first line with its end, if it is whole.
    fn line_len(&self) -> Option<usize> {
        (0..self.len)
            .position(|place| self.at(place) == b'\n')
            .map(|at| at + 1)
    }

    /// Whether there is a whole line and nothing behind it.
    pub fn holds_one_line(&self) -> bool {
        self.line_len() == Some(self.len)
    }

    /// A copy of the first line without its end, if it is whole.
    pub fn peek_line(&self) -> Option<Vec<u8>> {
        let end = self.line_len()?;
        let mut line: Vec<u8> = (0..end - 1).map(|place| self.at(place)).collect();
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Some(line)
    }

    /// Takes the first line out.
    pub fn take_line(&mut self) -> Option<Vec<u8>> {
        let line = self.peek_line()?;
        let end = self.line_len()?;
        self.skip(end);
        Some(line)
    }

    /// What is held, in one piece, for a scan of what was read before a relay began.
    pub fn to_vec(&self) -> Vec<u8> {
        (0..self.len).map(|place| self.at(place)).collect()
    }
}
