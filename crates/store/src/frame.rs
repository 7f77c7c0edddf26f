//! Checksummed records: a length, the CRC-32 of length and body, and a body (postcard).

use serde::{Deserialize, Serialize};

/// The size of length and checksum before each body.
const HEADER_BYTES: usize = 8;
/// The largest body, a snapshot or a batch of entries, in bytes.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Encodes a value as one record.
pub(crate) fn encode(value: &impl Serialize) -> Vec<u8> {
    let bytes = postcard::to_extend(value, vec![0; HEADER_BYTES]);
    let mut bytes: Vec<u8> = bytes.expect("plain data can be serialized");
    let length = (bytes.len() - HEADER_BYTES) as u32;
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    let crc = checksum(&bytes);
    bytes[4..HEADER_BYTES].copy_from_slice(&crc.to_le_bytes());
    bytes
}

/// Decodes the record at the start of `bytes`, and returns it with its length in bytes.
///
/// # Errors
/// If the bytes don't start with a valid record; the text states the reason.
pub(crate) fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<(T, usize), String> {
    if bytes.len() < HEADER_BYTES {
        return Err("the record is truncated".into());
    }
    let read_u32 =
        |at: usize| u32::from_le_bytes(bytes[at..at + 4].try_into().expect("four bytes"));
    let length = read_u32(0) as usize;
    if length > MAX_BODY_BYTES {
        return Err(format!(
            "the record length of {length} bytes exceeds the limit"
        ));
    }
    let Some(record) = bytes.get(..HEADER_BYTES + length) else {
        return Err("the record is truncated".into());
    };
    if checksum(record) != read_u32(4) {
        return Err("the record is corrupted: its checksum differs".into());
    }
    let decoded = postcard::from_bytes(&record[HEADER_BYTES..]);
    Ok((
        decoded.map_err(|error| format!("the record can't be decoded: {error}"))?,
        record.len(),
    ))
}

fn checksum(record: &[u8]) -> u32 {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&record[..4]);
    crc.update(&record[HEADER_BYTES..]);
    crc.finalize()
}
