//! Every size and time of the source.

use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The longest body, its most rows, the longest row and the longest field of one that is kept.
    pub max_body_bytes: usize,
    pub max_rows: usize,
    pub max_row_bytes: usize,
    pub max_field_bytes: usize,
    /// Bytes of a body, and rows of a list, that are dealt with before connections are served again.
    pub chunk_bytes: usize,
    pub chunk_rows: usize,
    /// The longest token file.
    pub max_token_bytes: u64,
    /// How often that file is looked at while a call is out.
    pub token_poll_interval: Duration,
    pub connect_timeout: Duration,
    /// How long a call may wait for a change; the API adds up to a sixteenth.
    pub blocking_wait: Duration,
    /// How much longer the head of an answer may take.
    pub response_margin: Duration,
    /// From one part of a body to the next, and for all of it.
    pub body_idle_timeout: Duration,
    pub body_timeout: Duration,
    /// An answer whose server heard from the leader longer ago is stale: only its drains count.
    pub max_staleness: Duration,
    /// Between an answer and the next call: at least this, and so many times what reading it took.
    pub min_query_delay: Duration,
    pub query_delay_factor: u32,
    /// Where no index is told, how often is asked.
    pub poll_interval: Duration,
    /// Waits between failed calls: the first, doubled up to the longest, times 0.5 to 1 by chance.
    pub initial_backoff: Duration,
    pub max_backoff: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self {
            max_body_bytes: 256 << 20,
            max_rows: 40_000,
            max_row_bytes: 64 << 10,
            max_field_bytes: 256,
            chunk_bytes: 64 << 10,
            chunk_rows: 256,
            max_token_bytes: 4096,
            token_poll_interval: ms(1000),
            connect_timeout: ms(1000),
            blocking_wait: ms(55_000),
            response_margin: ms(5000),
            body_idle_timeout: ms(5000),
            body_timeout: ms(30_000),
            max_staleness: ms(10_000),
            min_query_delay: ms(100),
            query_delay_factor: 4,
            poll_interval: ms(1000),
            initial_backoff: ms(100),
            max_backoff: ms(10_000),
        }
    }
}
