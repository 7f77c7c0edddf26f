//! Messages between a proxy and its successor. Each message is one frame: the magic bytes `VWHO`, the version, the
//! length of the body, the body (postcard), and a CRC-32 of all preceding bytes. A frame that can't be decoded is an
//! error, and its receiver continues as if the peer were absent.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Bans, Limits, OperatorChange};

/// Magic bytes at the start of each frame.
const MAGIC: [u8; 4] = *b"VWHO";
/// Frame version. Messages of another version are not understood, and their sender counts as absent.
const VERSION: u8 = 1;
/// Length of the magic, the version and the body length.
const HEADER_BYTES: usize = 9;
const CHECKSUM_BYTES: usize = 4;

/// A message of the handover. The numbers identify a change or an offered connection, so that answers can be matched.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// First message of the successor: it has started.
    Hello,
    /// Answer of the old process to [`Message::Hello`]: its state. The clients' listener is sent along.
    State(HandoverState),
    /// The successor accepts clients from now on; the old process has to stop accepting them.
    Serving,
    /// The old process has stopped accepting clients.
    Stopped,
    /// Number of descriptors in use in the old process.
    DescriptorsInUse(u32),
    /// An operator's change that applies to both processes.
    Change(u32, OperatorChange),
    /// The change with this number is in force in the other process.
    ChangeApplied(u32),
    /// The old process offers an established connection; its two sockets are sent along.
    ConnectionOffer(u32, Connection),
    /// The successor can take over the connection.
    ConnectionAccepted(u32),
    /// The old process keeps the connection: the successor can't take it over, or, from the old process, it has
    /// withdrawn an offer that the successor answered late.
    ConnectionDeclined(u32),
    /// The connection belongs to the successor from this message on. Until then either process may end, and the other
    /// one has the connection.
    ConnectionTransferred(u32),
    /// The sender has read its configuration files again on SIGHUP; the receiver has to do so too. Sent only to a
    /// process that has sent [`Message::UNDERSTANDS_RELOADS`].
    ConfigReloaded,
}

impl Message {
    /// Announces that the sender understands [`Message::ConfigReloaded`]. Changes are numbered from 1, so that builds
    /// before that message ignore the announcement.
    pub const UNDERSTANDS_RELOADS: Self = Self::ChangeApplied(0);
}

/// An established connection, offered at a line boundary; the offering process has no buffered data of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Connection {
    /// The client's first line, without its line end.
    pub first_line: Vec<u8>,
    /// Number of the connected server.
    pub server: u32,
    /// Value of the connection's last `LOAD` line.
    pub load: Option<f64>,
    /// How long a line of the client has been waiting for any data from the server, in milliseconds.
    pub unanswered_ms: Option<u32>,
}

/// State of the old process that its successor adopts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    pub bans: Bans,
    /// Whether an operator's `LEAVE` is in force.
    pub has_left: bool,
    /// Address of the discovery service, if a reload has changed it.
    pub discovery_address: Option<String>,
    /// Number of descriptors in use in the old process.
    pub descriptors_in_use: u32,
}

/// Why a frame can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    InvalidFrame,
    UnknownVersion(u8),
    TooLong,
    ChecksumMismatch,
    InvalidBody,
}

impl fmt::Display for FrameError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::InvalidFrame => out.write_str("invalid frame"),
            Self::UnknownVersion(version) => write!(out, "unknown frame version {version}"),
            Self::TooLong => out.write_str("frame too long"),
            Self::ChecksumMismatch => out.write_str("frame checksum mismatch"),
            Self::InvalidBody => out.write_str("invalid frame body"),
        }
    }
}

/// Encodes a body as a frame. Returns `None` if the body is longer than the limit.
pub fn encode_frame(body: &impl Serialize, limits: &Limits) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(body).ok()?;
    if body.len() > limits.max_frame_bytes {
        return None;
    }
    let mut frame = MAGIC.to_vec();
    frame.push(VERSION);
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(body);
    frame.extend(crc32fast::hash(&frame).to_le_bytes());
    Some(frame)
}

/// Decodes the first frame of `bytes`. Returns its body and the length of the frame, or `None` while the frame is
/// incomplete.
pub fn decode_frame<T: DeserializeOwned>(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<(T, usize)>, FrameError> {
    let magic_bytes = bytes.len().min(MAGIC.len());
    if bytes[..magic_bytes] != MAGIC[..magic_bytes] {
        return Err(FrameError::InvalidFrame);
    }
    if let Some(&version) = bytes.get(MAGIC.len())
        && version != VERSION
    {
        return Err(FrameError::UnknownVersion(version));
    }
    let Some(header) = bytes.get(..HEADER_BYTES) else {
        return Ok(None);
    };
    let length = u32::from_le_bytes([header[5], header[6], header[7], header[8]]) as usize;
    if length > limits.max_frame_bytes {
        return Err(FrameError::TooLong);
    }
    let (body_end, frame_end) = (
        HEADER_BYTES + length,
        HEADER_BYTES + length + CHECKSUM_BYTES,
    );
    let Some(frame) = bytes.get(..frame_end) else {
        return Ok(None);
    };
    let checksum = crc32fast::hash(&frame[..body_end]).to_le_bytes();
    if checksum != frame[body_end..] {
        return Err(FrameError::ChecksumMismatch);
    }
    match postcard::take_from_bytes(&frame[HEADER_BYTES..body_end]) {
        Ok((body, [])) => Ok(Some((body, frame_end))),
        _ => Err(FrameError::InvalidBody),
    }
}

/// Decodes the content of a file of bans, which has to be exactly one complete frame.
pub fn decode_bans(bytes: &[u8], limits: &Limits) -> Result<Bans, FrameError> {
    match decode_frame(bytes, limits)? {
        Some((bans, frame_end)) if frame_end == bytes.len() => Ok(bans),
        _ => Err(FrameError::InvalidFrame),
    }
}

/// Decodes messages from a stream of bytes that arrives in pieces of any size.
#[derive(Debug, Default)]
pub struct MessageDecoder {
    buffer: Vec<u8>,
}

impl MessageDecoder {
    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next message, or `None` while it is incomplete.
    pub fn next(&mut self, limits: &Limits) -> Result<Option<Message>, FrameError> {
        let Some((message, frame_end)) = decode_frame(&self.buffer, limits)? else {
            return Ok(None);
        };
        self.buffer.drain(..frame_end);
        Ok(Some(message))
    }
}
