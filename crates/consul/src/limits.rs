//! The limits and timeouts of the Consul source.

use std::time::Duration;

/// The limits of a Consul source.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The maximum size of a response body.
    pub max_body_bytes: usize,
    /// The maximum number of rows in a body.
    pub max_rows: usize,
    pub max_row_bytes: usize,
    /// The maximum length of a field that is kept from a row.
    pub max_field_bytes: usize,
    /// How many bytes of a body are parsed before other tasks may run.
    pub chunk_bytes: usize,
    /// The maximum number of rows of a snapshot that are sent to the engine at once.
    pub chunk_rows: usize,
    /// The maximum size of the token file.
    pub max_token_bytes: u64,
    /// How often the token file is read while a query is in flight.
    pub token_poll_interval: Duration,
    pub connect_timeout: Duration,
    /// How long a query may block until the list changes; Consul adds up to a sixteenth.
    pub blocking_wait: Duration,
    /// How long the head of the response may take beyond the blocking wait.
    pub response_margin: Duration,
    /// The maximum time between two frames of a body.
    pub body_idle_timeout: Duration,
    /// The maximum time for a whole body.
    pub body_timeout: Duration,
    /// A response is stale, and only its drains take effect, if the last contact of the answering Consul server
    /// with the leader is longer ago than this.
    pub max_staleness: Duration,
    /// The delay between a response and the next query: `min_query_delay`, or `query_delay_factor` times the time
    /// that parsing took if that is longer.
    pub min_query_delay: Duration,
    pub query_delay_factor: u32,
    /// The minimum delay between queries while responses carry no usable index or are stale.
    pub poll_interval: Duration,
    /// The backoff after failed queries: it starts at `initial_backoff` and doubles up to `max_backoff`, each time
    /// multiplied by a random factor from 0.5 to 1.
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
