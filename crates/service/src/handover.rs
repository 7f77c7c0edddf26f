//! What a proxy and its successor say to each other, one frame a message: [`MAGIC`], the version, the
//! length of the body, the body (postcard), and a CRC-32 of all before it. What can't be read is an error,
//! and whoever reads it goes on as if nobody were there.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Bans, Limits, OperatorChange};

const MAGIC: [u8; 4] = *b"VWHO";
/// Another version's messages are not understood, and count as absent.
const VERSION: u8 = 1;
const HEADER_BYTES: usize = 9;
const CHECKSUM_BYTES: usize = 4;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The successor is there; first of all.
    Hello,
    /// What holds here; the clients' listener comes with it.
    State(HandoverState),
    /// The successor accepts clients from now on; the old process stops, and says so.
    Serving,
    Stopped,
    /// So many descriptors are in use here.
    DescriptorsInUse(u32),
    /// An operator's word that binds both, and the answer that it is in force.
    Change(u32, OperatorChange),
    ChangeApplied(u32),
    /// A connection that is up; its two sockets come with it. It is the successor's with the last word.
    ConnectionOffer(u32, Connection),
    ConnectionAccepted(u32),
    ConnectionDeclined(u32),
    ConnectionTransferred(u32),
}

/// A connection between two lines, with nothing of it held in the process that offers it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Connection {
    /// The client's first line, without its end.
    pub first_line: Vec<u8>,
    /// The number of its server.
    pub server: u32,
    /// The figure of its last `LOAD` line.
    pub load: Option<f64>,
    /// For how long a line of the client waits for the server to say anything.
    pub unanswered_ms: Option<u32>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    pub bans: Bans,
    /// The proxy is left.
    pub has_left: bool,
    /// Where discovery is, if a reload has moved it.
    pub discovery_address: Option<String>,
    /// Descriptors in use.
    pub descriptors_in_use: u32,
}

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
            Self::InvalidFrame => out.write_str("no message"),
            Self::UnknownVersion(version) => write!(out, "version {version} is not known here"),
            Self::TooLong => out.write_str("too long"),
            Self::ChecksumMismatch => out.write_str("the checksum is wrong"),
            Self::InvalidBody => out.write_str("the body makes no sense"),
        }
    }
}

/// A frame with this body; none if it would be too long.
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

/// The body of the first frame of what came and the frame's length, once it is whole.
pub fn decode_frame<T: DeserializeOwned>(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<(T, usize)>, FrameError> {
    let begun = bytes.len().min(MAGIC.len());
    if bytes[..begun] != MAGIC[..begun] {
        return Err(FrameError::InvalidFrame);
    }
    if let Some(&version) = bytes.get(MAGIC.len())
        && version != VERSION
    {
        return Err(FrameError::UnknownVersion(version));
    }
    let Some(head) = bytes.get(..HEADER_BYTES) else {
        return Ok(None);
    };
    let length = u32::from_le_bytes([head[5], head[6], head[7], head[8]]) as usize;
    if length > limits.max_frame_bytes {
        return Err(FrameError::TooLong);
    }
    let (body_end, end) = (
        HEADER_BYTES + length,
        HEADER_BYTES + length + CHECKSUM_BYTES,
    );
    let Some(frame) = bytes.get(..end) else {
        return Ok(None);
    };
    let sum = crc32fast::hash(&frame[..body_end]).to_le_bytes();
    if sum != frame[body_end..] {
        return Err(FrameError::ChecksumMismatch);
    }
    match postcard::take_from_bytes(&frame[HEADER_BYTES..body_end]) {
        Ok((body, [])) => Ok(Some((body, end))),
        _ => Err(FrameError::InvalidBody),
    }
}

/// The bans as they stand in a file, if that holds one whole frame and nothing else.
pub fn decode_bans(bytes: &[u8], limits: &Limits) -> Result<Bans, FrameError> {
    match decode_frame(bytes, limits)? {
        Some((bans, end)) if end == bytes.len() => Ok(bans),
        _ => Err(FrameError::InvalidFrame),
    }
}

/// Reads messages in pieces of any size.
#[derive(Debug, Default)]
pub struct MessageDecoder {
    buffer: Vec<u8>,
}

impl MessageDecoder {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message.
    pub fn next(&mut self, limits: &Limits) -> Result<Option<Message>, FrameError> {
        let Some((message, end)) = decode_frame(&self.buffer, limits)? else {
            return Ok(None);
        };
        self.buffer.drain(..end);
        Ok(Some(message))
    }
}
