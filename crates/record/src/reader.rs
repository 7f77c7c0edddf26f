//! Reads a recording up to its end, or up to the point where it is truncated or altered.

use std::io::{ErrorKind, Read};

use crate::{MAGIC, MAX_RECORD_BYTES, Record};

/// How a recording ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordingEnd {
    /// After a complete record, without a fault.
    Whole,
    /// Truncated within a record or the magic: the file ends at this byte.
    Cut(u64),
    /// The record that starts at this byte has a wrong length or checksum, or can't be decoded.
    Altered(u64),
    /// The file is no recording, or one of another version.
    Foreign,
    /// Reading the file failed at this byte.
    Unreadable(u64),
}

/// Iterates over the records of a recording.
pub struct Reader<R> {
    input: R,
    position: u64,
    end: Option<RecordingEnd>,
    has_started: bool,
}

impl<R: Read> Reader<R> {
    pub fn new(input: R) -> Self {
        Self {
            input,
            position: 0,
            end: None,
            has_started: false,
        }
    }

    /// How the recording ended; none until the iterator has returned `None`.
    pub fn end(&self) -> Option<RecordingEnd> {
        self.end
    }

    /// Fills the buffer, or returns how the recording ends. With `may_end` an end of the file before the first byte
    /// is a regular end.
    fn fill(&mut self, buffer: &mut [u8], may_end: bool) -> Result<(), RecordingEnd> {
        let mut filled = 0;
        while filled < buffer.len() {
            match self.input.read(&mut buffer[filled..]) {
                Ok(0) if filled == 0 && may_end => return Err(RecordingEnd::Whole),
                Ok(0) => return Err(RecordingEnd::Cut(self.position + filled as u64)),
                Ok(read) => filled += read,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(RecordingEnd::Unreadable(self.position + filled as u64)),
            }
        }
        self.position += filled as u64;
        Ok(())
    }

    fn read_record(&mut self) -> Result<Record, RecordingEnd> {
        if !std::mem::replace(&mut self.has_started, true) {
            let mut magic = [0; MAGIC.len()];
            self.fill(&mut magic, false)?;
            if magic != *MAGIC {
                return Err(RecordingEnd::Foreign);
            }
        }
        let record_start = self.position;
        let (mut length, mut checksum) = ([0; 4], [0; 4]);
        self.fill(&mut length, true)?;
        self.fill(&mut checksum, false)?;
        let length = u32::from_le_bytes(length) as usize;
        if length > MAX_RECORD_BYTES {
            return Err(RecordingEnd::Altered(record_start));
        }
        let mut bytes = vec![0; length];
        self.fill(&mut bytes, false)?;
        if crc32fast::hash(&bytes) != u32::from_le_bytes(checksum) {
            return Err(RecordingEnd::Altered(record_start));
        }
        postcard::from_bytes(&bytes).map_err(|_| RecordingEnd::Altered(record_start))
    }
}

impl<R: Read> Iterator for Reader<R> {
    type Item = Record;

    fn next(&mut self) -> Option<Record> {
        if self.end.is_some() {
            return None;
        }
        match self.read_record() {
            Ok(record) => Some(record),
            Err(end) => {
                self.end = Some(end);
                None
            }
        }
    }
}
