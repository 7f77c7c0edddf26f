//! Recorded traffic. A file begins with [`MAGIC`]; then come records, each its length and its CRC-32 (both
//! little-endian, 32 bits) and as many bytes of postcard. A file that was cut or altered is read up to
//! there, and the reader says so. Ids are not recorded, groups as hashes.

mod reader;
mod writer;

use serde::{Deserialize, Serialize};

pub use reader::{Reader, RecordingEnd};
pub use writer::{Limits, Recorder};

pub const MAGIC: &[u8; 8] = b"VWREC01\n";
/// The longest record that is written or read.
pub const MAX_RECORD_BYTES: usize = 4096;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// First in each file: when it began, in Unix milliseconds, and the names that numbers stand for.
    Start {
        unix_ms: u64,
        classes: Vec<String>,
    },
    Request(Request),
    /// So many requests since the last record found no room on the way to the file.
    Dropped(u64),
}

/// One request, told when nothing more comes of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// When it came, in microseconds after the start of the proxy.
    pub at_us: u64,
    pub class: u16,
    pub tenant: Option<u16>,
    /// A hash of the group's name.
    pub group: Option<u64>,
    pub timeout_ms: u32,
    pub answer: Answer,
    /// From its coming to its answer.
    pub latency_us: u64,
    /// From the answer to the end of the connection; 0 for one that never was up.
    pub connected_ms: u64,
    /// The load last told, in microseconds of work a second.
    pub load: Option<u32>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    Up,
    Refused,
    Failed,
    /// The client left before.
    ClientLeft,
}

/// A record as it stands in a file.
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
