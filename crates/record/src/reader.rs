//! Reads a recording up to its end, or up to where it was cut or altered.

use std::io::{ErrorKind, Read};

use crate::{MAGIC, MAX_RECORD_BYTES, Record};

/// How a recording ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordingEnd {
    Whole,
    /// Within a record, at this byte.
    Cut(u64),
    /// At a record whose checksum or length is wrong, at this byte.
    Altered(u64),
    /// It is no recording, or one of another version.
    Foreign,
    /// The file can't be read further, at this byte.
    Unreadable(u64),
}

pub struct Reader<R> {
    from: R,
    at: u64,
    end: Option<RecordingEnd>,
    begun: bool,
}

impl<R: Read> Reader<R> {
    pub fn new(from: R) -> Self {
        Self {
            from,
            at: 0,
            end: None,
            begun: false,
        }
    }

    /// How it ended; none before the last record was read.
    pub fn end(&self) -> Option<RecordingEnd> {
        self.end
    }

    /// Fills a buffer, or says why not; an end before the first byte is the end of the file.
    fn fill(&mut self, buffer: &mut [u8], may_end: bool) -> Result<(), RecordingEnd> {
        let mut got = 0;
        while got < buffer.len() {
            match self.from.read(&mut buffer[got..]) {
                Ok(0) if got == 0 && may_end => return Err(RecordingEnd::Whole),
                Ok(0) => return Err(RecordingEnd::Cut(self.at + got as u64)),
                Ok(more) => got += more,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(RecordingEnd::Unreadable(self.at + got as u64)),
            }
        }
        self.at += got as u64;
        Ok(())
    }

    fn record(&mut self) -> Result<Record, RecordingEnd> {
        if !std::mem::replace(&mut self.begun, true) {
            let mut magic = [0; MAGIC.len()];
            self.fill(&mut magic, false)?;
            if magic != *MAGIC {
                return Err(RecordingEnd::Foreign);
            }
        }
        let begin = self.at;
        let (mut length, mut sum) = ([0; 4], [0; 4]);
        self.fill(&mut length, true)?;
        self.fill(&mut sum, false)?;
        let length = u32::from_le_bytes(length) as usize;
        if length > MAX_RECORD_BYTES {
            return Err(RecordingEnd::Altered(begin));
        }
        let mut bytes = vec![0; length];
        self.fill(&mut bytes, false)?;
        if crc32fast::hash(&bytes) != u32::from_le_bytes(sum) {
            return Err(RecordingEnd::Altered(begin));
        }
        postcard::from_bytes(&bytes).map_err(|_| RecordingEnd::Altered(begin))
    }
}

impl<R: Read> Iterator for Reader<R> {
    type Item = Record;

    fn next(&mut self) -> Option<Record> {
        if self.end.is_some() {
            return None;
        }
        match self.record() {
            Ok(record) => Some(record),
            Err(end) => {
                self.end = Some(end);
                None
            }
        }
    }
}
