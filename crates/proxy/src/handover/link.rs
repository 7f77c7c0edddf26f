//! The Unix socket between a process and its successor: messages, and the descriptors that come with them.

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

/// Descriptors that come with one message at most.
const FDS: usize = 2;

pub struct Link {
    stream: UnixStream,
    messages: MessageDecoder,
    /// Those whose messages have not been read yet.
    fds: VecDeque<OwnedFd>,
}

impl Link {
    pub fn new(stream: UnixStream) -> Self {
        Self {
            stream,
            messages: MessageDecoder::default(),
            fds: VecDeque::new(),
        }
    }

    pub async fn send(&mut self, message: &Message, limits: &Limits) -> io::Result<()> {
        self.send_with_fds(message, &[], limits).await
    }

    /// Writes a message; descriptors come with its first byte.
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
                    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(FDS))];
                    let mut with = SendAncillaryBuffer::new(&mut space);
                    if !with.push(SendAncillaryMessage::ScmRights(fds)) {
                        return Err(io::ErrorKind::InvalidInput.into());
                    }
                    let parts = [IoSlice::new(&bytes)];
                    let send = || sendmsg(stream, &parts, &mut with, SendFlags::NOSIGNAL);
                    Ok(retry_on_intr(send)?)
                });
                sent = first.await?;
            }
            write_all(&self.stream, &bytes[sent..]).await
        };
        let written = timeout(limits.stop_ack_timeout, write).await;
        written.map_err(|_| io::Error::other("it takes nothing"))?
    }

    /// The next message; an error at the end, or at what can't be read. It may be given up at any await
    /// and asked for again.
    pub async fn recv(&mut self, limits: &Limits) -> io::Result<Message> {
        loop {
            let next = self.messages.next(&limits.service);
            if let Some(message) = next.map_err(|fault| io::Error::other(fault.to_string()))? {
                return Ok(message);
            }
            let stream = &self.stream;
            let mut piece = [0; 4096];
            let read = stream.async_io(Interest::READABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(FDS))];
                let mut with = RecvAncillaryBuffer::new(&mut space);
                let mut parts = [IoSliceMut::new(&mut piece)];
                let got = retry_on_intr(|| {
                    recvmsg(stream, &mut parts, &mut with, RecvFlags::CMSG_CLOEXEC)
                })?;
                let mut fds = Vec::new();
                for message in with.drain() {
                    if let RecvAncillaryMessage::ScmRights(more) = message {
                        fds.extend(more);
                    }
                }
                Ok((got.bytes, fds))
            });
            let (got, fds) = read.await?;
            if got == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.messages.feed(&piece[..got]);
            self.fds.extend(fds);
            if self.fds.len() > FDS * limits.max_concurrent_transfers {
                return Err(io::Error::other("too many descriptors"));
            }
        }
    }

    /// The descriptors of the message that was read last.
    pub fn take_fds<const N: usize>(&mut self) -> Option<[OwnedFd; N]> {
        if self.fds.len() < N {
            return None;
        }
        let fds: Vec<OwnedFd> = self.fds.drain(..N).collect();
        fds.try_into().ok()
    }
}
