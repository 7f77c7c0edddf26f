//! Message stream over the Unix socket between a process and its successor, with passed file descriptors.

use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};

use rustix::io::retry_on_intr;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags, recvmsg, sendmsg,
};
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::time::timeout;
use violetwind_net::write_all;
use violetwind_service::handover::{Message, MessageDecoder, encode_frame};

use crate::limits::Limits;

/// Maximum number of descriptors sent with one message.
const MAX_FDS_PER_MESSAGE: usize = 2;

/// One end of the connection between a process and its successor.
pub struct Link {
    stream: UnixStream,
    messages: MessageDecoder,
    /// Received descriptors that `take_fds` has not returned yet.
    fds: VecDeque<OwnedFd>,
}

impl Link {
    /// Wraps a connected socket.
    pub fn new(stream: UnixStream) -> Self {
        Self {
            stream,
            messages: MessageDecoder::default(),
            fds: VecDeque::new(),
        }
    }

    /// Sends a message without descriptors.
    pub async fn send(&mut self, message: &Message, limits: &Limits) -> io::Result<()> {
        self.send_with_fds(message, &[], limits).await
    }

    /// Sends a message, with the descriptors attached to its first byte. Fails when the message exceeds the frame
    /// limit, or when the peer does not read it within `stop_ack_timeout`.
    pub async fn send_with_fds(
        &mut self,
        message: &Message,
        fds: &[BorrowedFd<'_>],
        limits: &Limits,
    ) -> io::Result<()> {
        let bytes = encode_frame(message, &limits.service).ok_or(io::ErrorKind::InvalidData)?;
        let write = async {
            let mut sent = 0;
            if !fds.is_empty() {
                let stream = &self.stream;
                let first = stream.async_io(Interest::WRITABLE, || {
                    let mut space = [MaybeUninit::uninit();
                        rustix::cmsg_space!(ScmRights(MAX_FDS_PER_MESSAGE))];
                    let mut ancillary = SendAncillaryBuffer::new(&mut space);
                    if !ancillary.push(SendAncillaryMessage::ScmRights(fds)) {
                        return Err(io::ErrorKind::InvalidInput.into());
                    }
                    let parts = [IoSlice::new(&bytes)];
                    let send = || sendmsg(stream, &parts, &mut ancillary, SendFlags::NOSIGNAL);
                    Ok(retry_on_intr(send)?)
                });
                sent = first.await?;
            }
            write_all(&self.stream, &bytes[sent..]).await
        };
        let written = timeout(limits.stop_ack_timeout, write).await;
        written.map_err(|_| io::Error::other("the peer does not read the message in time"))?
    }

    /// Receives the next message. Fails at the end of the stream, on an invalid message, or when the peer has
    /// passed too many descriptors. Cancel-safe: it may be dropped at any await and called again.
    pub async fn recv(&mut self, limits: &Limits) -> io::Result<Message> {
        loop {
            let next = self.messages.next(&limits.service);
            if let Some(message) = next.map_err(|fault| io::Error::other(fault.to_string()))? {
                return Ok(message);
            }
            let stream = &self.stream;
            let mut buffer = [0; 4096];
            let read = stream.async_io(Interest::READABLE, || {
                let mut space =
                    [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_FDS_PER_MESSAGE))];
                let mut ancillary = RecvAncillaryBuffer::new(&mut space);
                let mut parts = [IoSliceMut::new(&mut buffer)];
                let received = retry_on_intr(|| {
                    recvmsg(stream, &mut parts, &mut ancillary, RecvFlags::CMSG_CLOEXEC)
                })?;
                let mut fds = Vec::new();
                for message in ancillary.drain() {
                    if let RecvAncillaryMessage::ScmRights(received_fds) = message {
                        fds.extend(received_fds);
                    }
                }
                Ok((received.bytes, fds))
            });
            let (received, fds) = read.await?;
            if received == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.messages.feed(&buffer[..received]);
            self.fds.extend(fds);
            if self.fds.len() > MAX_FDS_PER_MESSAGE * limits.max_concurrent_transfers {
                return Err(io::Error::other("too many descriptors received"));
            }
        }
    }

    /// Returns the `N` descriptors that came with the last received message, or `None` when fewer have arrived.
    pub fn take_fds<const N: usize>(&mut self) -> Option<[OwnedFd; N]> {
        if self.fds.len() < N {
            return None;
        }
        let fds: Vec<OwnedFd> = self.fds.drain(..N).collect();
        fds.try_into().ok()
    }
}
