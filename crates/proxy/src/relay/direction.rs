//! One direction of a relayed connection: reads from one side, finds the ends of lines, and writes to the other side.

use std::future::pending;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::line_protocol::LineScanner;
use crate::ring_buffer::RingBuffer;

/// One direction of a connection.
#[derive(Debug, Default)]
pub(super) struct Direction {
    pub(super) scanner: LineScanner,
    /// Bytes at the front of the ring up to the end of the last complete line.
    pub(super) complete_bytes: usize,
    /// The last byte written did not end a line.
    pub(super) written_mid_line: bool,
    /// Forward complete lines only: the proxy can't insert a line of its own after a partial line that is never
    /// completed.
    pub(super) whole_lines_only: bool,
    /// The sender has ended its stream.
    pub(super) read_ended: bool,
    /// The end of the stream was forwarded to the receiver.
    pub(super) write_closed: bool,
    /// The direction was ended because the receiver reads no more, not because the sender ended its stream.
    pub(super) receiver_gone: bool,
}

/// The side of a direction whose socket failed.
#[derive(Debug)]
pub(super) enum BrokenSide {
    Reading,
    Writing,
}

impl Direction {
    /// Scans bytes that were appended to the ring after `buffered_bytes` earlier ones, and calls `on_line` with the
    /// head of each line that is completed.
    pub(super) fn scan(
        &mut self,
        bytes: &[u8],
        buffered_bytes: usize,
        mut on_line: impl FnMut(&[u8]),
    ) {
        self.scanner.feed(bytes, |head, end| {
            self.complete_bytes = buffered_bytes + end;
            on_line(head);
        });
    }

    /// The number of buffered bytes that may be written now.
    fn sendable_bytes(&self, ring: &RingBuffer) -> usize {
        match self.whole_lines_only && !self.read_ended && ring.free_bytes() > 0 {
            true => self.complete_bytes,
            false => ring.len(),
        }
    }

    /// Ends this direction and discards its buffered bytes, because the receiver reads no more.
    pub(super) fn stop(&mut self, ring: &mut RingBuffer) {
        ring.truncate(0);
        self.complete_bytes = 0;
        (self.read_ended, self.write_closed, self.receiver_gone) = (true, true, true);
    }

    /// Reads and writes until neither makes progress, `max_reads` times at most. Returns whether anything was read or
    /// written.
    pub(super) fn pump(
        &mut self,
        ring: &mut RingBuffer,
        from: &TcpStream,
        to: &TcpStream,
        max_reads: usize,
        mut on_line: impl FnMut(&[u8]),
    ) -> Result<bool, BrokenSide> {
        let mut any_progress = false;
        for _ in 0..max_reads {
            let mut progress = false;
            if !self.read_ended && ring.free_bytes() > 0 {
                let buffered_bytes = ring.len();
                let read =
                    ring.read_from(from, |bytes| self.scan(bytes, buffered_bytes, &mut on_line));
                match read {
                    Ok(Some(0)) => self.read_ended = true,
                    Ok(Some(_)) => progress = true,
                    Ok(None) => {}
                    Err(_) => return Err(BrokenSide::Reading),
                }
            }
            let sendable = self.sendable_bytes(ring);
            if sendable > 0 {
                match ring.write_to(to, sendable) {
                    Ok(Some(sent)) => {
                        self.written_mid_line = sent != self.complete_bytes;
                        self.complete_bytes = self.complete_bytes.saturating_sub(sent);
                        progress = true;
                    }
                    Ok(None) => {}
                    Err(_) => return Err(BrokenSide::Writing),
                }
            }
            if !progress {
                break;
            }
            any_progress = true;
        }
        Ok(any_progress)
    }

    /// Forwards the end of the stream once all bytes before it have been written.
    pub(super) async fn forward_end(&mut self, ring: &RingBuffer, to: &mut TcpStream) {
        if self.read_ended && !self.write_closed && ring.is_empty() {
            self.write_closed = true;
            // Fails only if the connection is broken already: then there is no end to forward.
            let _ = to.shutdown().await;
        }
    }

    /// Waits until a read or a write may succeed.
    pub(super) async fn wait_ready(&self, ring: &RingBuffer, from: &TcpStream, to: &TcpStream) {
        let read = async {
            match !self.read_ended && ring.free_bytes() > 0 {
                true => from.readable().await,
                false => pending().await,
            }
        };
        let write = async {
            match self.sendable_bytes(ring) > 0 {
                true => to.writable().await,
                false => pending().await,
            }
        };
        // An error is returned by the next read or write.
        tokio::select! {
            _ = read => {}
            _ = write => {}
        }
    }
}
