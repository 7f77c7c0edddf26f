//! Frames between members: a length, a checksum and a value. The first frame on each link is a handshake that names the
//! sender.

use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use tokio_util::codec::LengthDelimitedCodec;
use violetwind_consensus::NodeId;
use violetwind_fleet::{Name, PeerMessage};

/// Precedes the handshake on a link, so that a member of another version is distinguished from any other sender.
pub const MAGIC: &[u8] = b"violetwind fleet";
/// The version of the frames.
pub const VERSION: u8 = 2;

/// The handshake of a member: its fleet, its name, and the expected name of the peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hello {
    pub fleet: Name,
    pub from: Name,
    pub to: Name,
    /// The id of the sender's directory, if it has one.
    pub node_id: Option<NodeId>,
}

/// The first frame of each side of a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Handshake {
    Hello(Hello),
    /// The link is refused, with the reason.
    Refused(String),
}

/// The codec that splits a stream into frames of at most `frame_bytes` bytes.
pub fn frame_codec(frame_bytes: usize) -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(frame_bytes)
        .new_codec()
}

/// Fills in the checksum of a frame: the first four bytes receive the CRC-32 of the rest.
pub fn with_checksum(mut bytes: Vec<u8>) -> Bytes {
    let crc = crc32fast::hash(&bytes[4..]);
    bytes[..4].copy_from_slice(&crc.to_le_bytes());
    bytes.into()
}

/// Returns the content of a frame after its checksum.
fn verify_checksum(frame: &BytesMut) -> Result<&[u8], String> {
    let (crc, rest) = frame
        .split_first_chunk::<4>()
        .ok_or("a frame without a checksum")?;
    match u32::from_le_bytes(*crc) == crc32fast::hash(rest) {
        true => Ok(rest),
        false => Err("a frame whose checksum differs".into()),
    }
}

/// Encodes a handshake frame.
pub fn encode_handshake(handshake: &Handshake) -> Bytes {
    let mut bytes = vec![0; 4];
    bytes.extend_from_slice(MAGIC);
    bytes.push(VERSION);
    with_checksum(postcard::to_extend(handshake, bytes).expect("plain data can be serialized"))
}

/// Decodes a handshake frame.
///
/// # Errors
/// If the sender is no fleet member or has another version; the text is sent to the peer.
pub fn decode_handshake(frame: &BytesMut) -> Result<Handshake, String> {
    let rest = verify_checksum(frame)?
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

/// Encodes a ping: an empty frame that keeps a link alive.
pub fn encode_ping() -> Bytes {
    with_checksum(vec![0; 4])
}

/// Encodes a message to a peer.
pub fn encode_peer(message: &PeerMessage) -> Bytes {
    with_checksum(postcard::to_extend(message, vec![0; 4]).expect("plain data can be serialized"))
}

/// Decodes a frame after the handshake; `None` for a ping.
///
/// # Errors
/// If the checksum differs or the message is unknown to this version.
pub fn decode_peer(frame: &BytesMut) -> Result<Option<PeerMessage>, String> {
    match verify_checksum(frame)? {
        [] => Ok(None),
        rest => postcard::from_bytes(rest)
            .map(Some)
            .map_err(|error| format!("decoding a frame: {error}")),
    }
}
