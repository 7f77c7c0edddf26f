//! Recordings of traffic. A file starts with [`MAGIC`], followed by records: each consists of the length and the
//! CRC-32 of its body (both 32 bits, little-endian) and the body, encoded with postcard. A file that is truncated or
//! altered is read up to that point, which the reader reports. Request IDs are not recorded, and groups only as
//! hashes.

mod reader;
mod writer;

use serde::{Deserialize, Serialize};

pub use reader::{Reader, RecordingEnd};
pub use writer::{Limits, Recorder};

/// The first bytes of each file, with the version of the format.
pub const MAGIC: &[u8; 8] = b"VWREC01\n";
/// The maximum length of a record's body, for writing and reading.
pub const MAX_RECORD_BYTES: usize = 4096;

/// One record of a file. Its encoding depends on the order of variants and fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The first record of each file: when the file was started, in Unix milliseconds, and the names of the request
    /// classes in the order of their numbers.
    Start {
        unix_ms: u64,
        classes: Vec<String>,
    },
    Request(Request),
    /// The number of requests since the previous record that could not be recorded.
    Dropped(u64),
}

/// One request, recorded once it and its connection have ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// When the request arrived, in microseconds since the start of the proxy.
    pub at_us: u64,
    pub class: u16,
    pub tenant: Option<u16>,
    /// The hash of the group's name.
    pub group: Option<u64>,
    pub timeout_ms: u32,
    pub answer: Answer,
    /// The time from the arrival of the request to its answer.
    pub latency_us: u64,
    /// The time from the answer to the end of the connection; 0 if no connection was established.
    pub connected_ms: u64,
    /// The last reported load of the connection, in microseconds of work per second.
    pub load: Option<u32>,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Up,
    Refused,
    Failed,
    /// The client left before it got an answer.
    ClientLeft,
}

/// Encodes a record with its length and checksum; none if it exceeds [`MAX_RECORD_BYTES`].
pub(crate) fn encode_record(record: &Record) -> Option<Vec<u8>> {
    let bytes = postcard::to_stdvec(record).ok()?;
    if bytes.len() > MAX_RECORD_BYTES {
        return None;
    }
    let mut frame = Vec::with_capacity(8 + bytes.len());
    frame.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
    frame.extend_from_slice(&bytes);
    Some(frame)
}
