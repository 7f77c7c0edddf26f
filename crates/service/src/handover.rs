//! What a proxy and its successor say to each other, one frame a message: [`MAGIC`], the version, the
//! length of the body, the body (postcard), and a CRC-32 of all before it. What can't be read is an error,
//! and whoever reads it goes on as if nobody were there.

use std::fmt;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::{Bans, Change, Limits};

const MAGIC: [u8; 4] = *b"VWHO";
/// Another version's messages are not understood, and count as absent.
const VERSION: u8 = 1;
const HEAD: usize = 9;
const TAIL: usize = 4;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The successor is there; first of all.
    Hello,
    /// What holds here; the clients' listener comes with it.
    State(State),
    /// The successor accepts clients from now on; the old process stops, and says so.
    Serving,
    Stopped,
    /// So many descriptors are in use here.
    Holds(u32),
    /// An operator's word that binds both, and the answer that it is in force.
    Change(u32, Change),
    InForce(u32),
    /// A connection that is up; its two sockets come with it. It is the successor's with the last word.
    Connection(u32, Connection),
    Taken(u32),
    NotTaken(u32),
    Yours(u32),
}

/// A connection between two lines, with nothing of it held in the process that offers it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Connection {
    /// The client's first line, without its end.
    pub line: Vec<u8>,
    /// The number of its server.
    pub server: u32,
    /// The figure of its last `LOAD` line.
    pub load: Option<f64>,
    /// For how long a line of the client waits for the server to say anything.
    pub waits_ms: Option<u32>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    pub bans: Bans,
    /// The proxy is left.
    pub left: bool,
    /// Where discovery is, if a reload has moved it.
    pub discovery: Option<String>,
    /// Descriptors in use.
    pub holds: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    NoFrame,
    Version(u8),
    TooLong,
    Checksum,
    Body,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Self::NoFrame => out.write_str("no message"),
            Self::Version(version) => write!(out, "version {version} is not known here"),
            Self::TooLong => out.write_str("too long"),
            Self::Checksum => out.write_str("the checksum is wrong"),
            Self::Body => out.write_str("the body makes no sense"),
        }
    }
}

/// A frame with this body; none if it would be too long.
pub fn frame(body: &impl Serialize, limits: &Limits) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(body).ok()?;
    if body.len() > limits.frame_bytes {
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
pub fn unframe<T: DeserializeOwned>(
    bytes: &[u8],
    limits: &Limits,
) -> Result<Option<(T, usize)>, Fault> {
    let begun = bytes.len().min(MAGIC.len());
    if bytes[..begun] != MAGIC[..begun] {
        return Err(Fault::NoFrame);
    }
    if let Some(&version) = bytes.get(MAGIC.len())
        && version != VERSION
    {
        return Err(Fault::Version(version));
    }
    let Some(head) = bytes.get(..HEAD) else {
        return Ok(None);
    };
    let length = u32::from_le_bytes([head[5], head[6], head[7], head[8]]) as usize;
    if length > limits.frame_bytes {
        return Err(Fault::TooLong);
    }
    let (body_end, end) = (HEAD + length, HEAD + length + TAIL);
    let Some(frame) = bytes.get(..end) else {
        return Ok(None);
    };
    let sum = crc32fast::hash(&frame[..body_end]).to_le_bytes();
    if sum != frame[body_end..] {
        return Err(Fault::Checksum);
    }
    match postcard::take_from_bytes(&frame[HEAD..body_end]) {
        Ok((body, [])) => Ok(Some((body, end))),
        _ => Err(Fault::Body),
    }
}

/// The bans as they stand in a file, if that holds one whole frame and nothing else.
pub fn read_bans(bytes: &[u8], limits: &Limits) -> Result<Bans, Fault> {
    match unframe(bytes, limits)? {
        Some((bans, end)) if end == bytes.len() => Ok(bans),
        _ => Err(Fault::NoFrame),
    }
}

/// Reads messages in pieces of any size.
#[derive(Debug, Default)]
pub struct Messages {
    held: Vec<u8>,
}

impl Messages {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole message.
    pub fn next(&mut self, limits: &Limits) -> Result<Option<Message>, Fault> {
        let Some((message, end)) = unframe(&self.held, limits)? else {
            return Ok(None);
        };
        self.held.drain(..end);
        Ok(Some(message))
    }
}
