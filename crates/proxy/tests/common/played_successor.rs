//! A successor that the test plays: it takes part in the handover as far as the test says.

use std::io::{Read, Write};
use std::os::unix::net::UnixStream;
use std::time::Duration;

use violetwind_service::handover::{self, Message, MessageDecoder};

use super::Proxy;

/// Longest wait for a message of the proxy.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A successor that the test plays.
pub struct PlayedSuccessor {
    stream: UnixStream,
    decoder: MessageDecoder,
    limits: violetwind_service::Limits,
}

impl PlayedSuccessor {
    /// Connects to the proxy and sends the hello.
    pub fn connect(old: &Proxy) -> Self {
        let stream = UnixStream::connect(old.dir().join("violetwind.sock")).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let mut successor = Self {
            stream,
            decoder: MessageDecoder::default(),
            limits: violetwind_service::Limits::default(),
        };
        successor.send(&Message::Hello);
        successor
    }

    pub fn send(&mut self, message: &Message) {
        let frame = handover::encode_frame(message, &self.limits).unwrap();
        self.stream.write_all(&frame).unwrap();
    }

    /// Reads messages until `is_last` holds for one. Returns all that were read.
    pub fn read_until(&mut self, is_last: impl Fn(&Message) -> bool) -> Vec<Message> {
        let mut messages = Vec::new();
        let mut buffer = [0; 512];
        loop {
            while let Some(message) = self.decoder.next(&self.limits).unwrap() {
                messages.push(message);
                if messages.last().is_some_and(&is_last) {
                    return messages;
                }
            }
            let count = self.stream.read(&mut buffer).unwrap();
            assert!(count > 0, "the session has ended after {messages:?}");
            self.decoder.feed(&buffer[..count]);
        }
    }
}
