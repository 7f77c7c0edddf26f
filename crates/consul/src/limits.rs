//! Every size and time of the source.

use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The longest body, its most rows, the longest row and the longest field of one that is kept.
    pub body_bytes: usize,
    pub rows: usize,
    pub row_bytes: usize,
    pub field_bytes: usize,
    /// Bytes of a body, and rows of a list, that are dealt with before connections are served again.
    pub slice_bytes: usize,
    pub slice_rows: usize,
    /// The longest token file.
    pub token_bytes: u64,
    /// How often that file is looked at while a call is out.
    pub token_every: Duration,
    pub connect: Duration,
    /// How long a call may wait for a change; the API adds up to a sixteenth.
    pub wait: Duration,
    /// How much longer the head of an answer may take.
    pub slack: Duration,
    /// From one part of a body to the next, and for all of it.
    pub body_idle: Duration,
    pub body_most: Duration,
    /// An answer whose server heard from the leader longer ago is stale: only its drains count.
    pub stale_most: Duration,
    /// Between an answer and the next call: at least this, and so many times what reading it took.
    pub gap: Duration,
    pub gap_times: u32,
    /// Where no index is told, how often is asked.
    pub poll: Duration,
    /// Waits between failed calls: the first, doubled up to the longest, times 0.5 to 1 by chance.
    pub backoff: Duration,
    pub backoff_most: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            body_bytes: 256 << 20,
            rows: 40_000,
            row_bytes: 64 << 10,
            field_bytes: 256,
            slice_bytes: 64 << 10,
            slice_rows: 256,
            token_bytes: 4096,
            token_every: ms(1000),
            connect: ms(1000),
            wait: ms(55_000),
            slack: ms(5000),
            body_idle: ms(5000),
            body_most: ms(30_000),
            stale_most: ms(10_000),
            gap: ms(100),
            gap_times: 4,
            poll: ms(1000),
            backoff: ms(100),
            backoff_most: ms(10_000),
        }
    }
}
