//! Frames between members: a length, a checksum, a value. The first on each link says who speaks.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::LengthDelimitedCodec;
use violetwind_consensus::NodeId;
use violetwind_fleet::{Name, PeerMessage};

/// Before the first value, so that another version can be told from anything else.
/// The first bytes of a link.
pub const MAGIC: &[u8] = b"violetwind fleet";
pub const VERSION: u8 = 2;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub fleet: Name,
    pub from: Name,
    pub to: Name,
    /// The sender's directory, where it has one.
    pub node_id: Option<NodeId>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Handshake {
    Hello(Hello),
    Refused(String),
}

pub fn frame_codec(frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(frame_bytes)
        .new_codec()
}

/// A frame with its checksum behind it.
pub fn with_checksum(mut bytes: Vec<u8>) -> Bytes {
    let crc = crc32fast::hash(&bytes[4..]);
    bytes[..4].copy_from_slice(&crc.to_le_bytes());
    bytes.into()
}

fn checked(frame: &BytesMut) -> Result<&[u8], String> {
    let (crc, rest) = frame
        .split_first_chunk::<4>()
        .ok_or("a frame without a checksum")?;
    match u32::from_le_bytes(*crc) == crc32fast::hash(rest) {
        true => Ok(rest),
        false => Err("a frame whose checksum differs".into()),
    }
}

pub fn encode_handshake(first: &Handshake) -> Bytes {
    let mut bytes = vec![0; 4];
    bytes.extend_from_slice(MAGIC);
    bytes.push(VERSION);
    with_checksum(postcard::to_extend(first, bytes).expect("plain data can be written"))
}

/// # Errors
/// No member of any fleet, or one of another version.
pub fn decode_handshake(frame: &BytesMut) -> Result<Handshake, String> {
    let rest = checked(frame)?
        .strip_prefix(MAGIC)
        .ok_or("no member of a fleet speaks here")?;
    match rest.split_first() {
        Some((&VERSION, rest)) => postcard::from_bytes(rest).map_err(|error| error.to_string()),
        Some((version, _)) => Err(format!(
            "it speaks version {version}, this program {VERSION}"
        )),
        None => Err("it tells no version".into()),
    }
}

/// Nothing to say.
pub fn encode_ping() -> Bytes {
    with_checksum(vec![0; 4])
}

pub fn encode_peer(peer: &PeerMessage) -> Bytes {
    with_checksum(postcard::to_extend(peer, vec![0; 4]).expect("plain data can be written"))
}

/// None for a ping.
///
/// # Errors
/// Altered, or nothing that this version knows.
pub fn decode_peer(frame: &BytesMut) -> Result<Option<PeerMessage>, String> {
    match checked(frame)? {
        [] => Ok(None),
        rest => postcard::from_bytes(rest)
            .map(Some)
            .map_err(|error| format!("a frame: {error}")),
    }
}
