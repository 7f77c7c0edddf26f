//! The bounded buffer of one direction of one connection.

use std::io;

use tokio::net::TcpStream;
use violetwind_net::{read_now, try_read, try_write};

/// A byte ring of fixed size.
#[derive(Debug)]
pub struct RingBuffer {
    /// Allocated when the first bytes are to be stored, because most hostile connections never send any.
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

    /// The number of bytes that can be appended.
    pub fn free_bytes(&self) -> usize {
        self.size - self.len
    }

    fn allocate(&mut self) {
        if self.bytes.is_empty() {
            self.bytes = vec![0; self.size].into_boxed_slice();
        }
    }

    /// Reads once from the socket, as much as fits contiguously, and passes the bytes to `on_read` as well. Returns 0
    /// at the end of the stream and `None` if the socket is not ready. The ring must not be full.
    pub fn read_from(
        &mut self,
        stream: &TcpStream,
        on_read: impl FnOnce(&[u8]),
    ) -> io::Result<Option<usize>> {
        self.allocate();
        let size = self.size;
        let tail = (self.head + self.len) % size;
        let end = if tail < self.head { self.head } else { size };
        let read_bytes = try_read(stream, &mut self.bytes[tail..end])?;
        if let Some(read_bytes) = read_bytes {
            on_read(&self.bytes[tail..tail + read_bytes]);
            self.len += read_bytes;
        }
        Ok(read_bytes)
    }

    /// Reads once from the socket itself, whether or not the runtime considers it ready.
    pub fn read_now(&mut self, stream: &TcpStream) -> io::Result<Option<usize>> {
        self.allocate();
        let tail = (self.head + self.len) % self.size;
        let end = if tail < self.head {
            self.head
        } else {
            self.size
        };
        let read_bytes = read_now(stream, &mut self.bytes[tail..end])?;
        self.len += read_bytes.unwrap_or(0);
        Ok(read_bytes)
    }

    /// Waits until the socket is readable and reads once. Returns 0 at the end of the stream. The ring must not be
    /// full.
    pub async fn fill(&mut self, stream: &TcpStream) -> io::Result<usize> {
        loop {
            stream.readable().await?;
            if let Some(read_bytes) = self.read_from(stream, |_| {})? {
                return Ok(read_bytes);
            }
        }
    }

    /// Reads until the ring holds a complete line and returns a copy of it; the line stays in the ring. Fails if the
    /// ring is full or the stream ends first.
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

    /// Writes once, `max_bytes` of the first bytes at most, and removes the written bytes. Returns `None` if the
    /// socket is not ready.
    pub fn write_to(&mut self, stream: &TcpStream, max_bytes: usize) -> io::Result<Option<usize>> {
        let end = (self.head + self.len.min(max_bytes)).min(self.bytes.len());
        let sent = try_write(stream, &self.bytes[self.head..end])?;
        self.skip(sent.unwrap_or(0));
        Ok(sent)
    }

    fn skip(&mut self, count: usize) {
        self.len -= count;
        // An empty ring starts over at index 0, so that a first line is contiguous.
        self.head = match self.len {
            0 => 0,
            _ => (self.head + count) % self.bytes.len(),
        };
    }

    /// Drops all bytes behind the first `len`.
    pub fn truncate(&mut self, len: usize) {
        self.len = self.len.min(len);
    }

    /// Appends bytes; returns false and appends nothing if they don't fit.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        if bytes.len() > self.free_bytes() {
            return false;
        }
        self.allocate();
        for &byte in bytes {
            let index = (self.head + self.len) % self.bytes.len();
            self.bytes[index] = byte;
            self.len += 1;
        }
        true
    }

    fn byte_at(&self, offset: usize) -> u8 {
        self.bytes[(self.head + offset) % self.bytes.len()]
    }

    /// The length of the first line with its line end, if it is complete.
    fn line_len(&self) -> Option<usize> {
        (0..self.len)
            .position(|offset| self.byte_at(offset) == b'\n')
            .map(|offset| offset + 1)
    }

    /// Whether the ring holds exactly one complete line and nothing behind it.
    pub fn holds_one_line(&self) -> bool {
        self.line_len() == Some(self.len)
    }

    /// A copy of the first line without its line end, if it is complete.
    pub fn peek_line(&self) -> Option<Vec<u8>> {
        let end = self.line_len()?;
        let mut line: Vec<u8> = (0..end - 1).map(|offset| self.byte_at(offset)).collect();
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Some(line)
    }

    /// Removes the first line and returns it without its line end, if it is complete.
    pub fn take_line(&mut self) -> Option<Vec<u8>> {
        let line = self.peek_line()?;
        let end = self.line_len()?;
        self.skip(end);
        Some(line)
    }

    /// A contiguous copy of all bytes, for a scan of the bytes read before the relay began.
    pub fn to_vec(&self) -> Vec<u8> {
        (0..self.len).map(|offset| self.byte_at(offset)).collect()
    }
}
