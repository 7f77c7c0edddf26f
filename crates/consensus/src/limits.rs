//! Every size, count and time of the log.

use crate::messages::Millis;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A follower that hears no leader for a time drawn from `election..2 * election` asks for votes; a
    /// leader that a majority has not answered for `election` steps down.
    pub election_timeout: Millis,
    /// A leader speaks to everybody at least this often.
    pub heartbeat_interval: Millis,
    /// Payload bytes of one batch of entries; a single larger entry goes alone.
    pub max_batch_bytes: usize,
    /// Batches on the way to one member that it has not answered.
    pub max_in_flight_batches: usize,
    /// The largest payload of one entry; larger ones are refused.
    pub max_entry_bytes: usize,
    /// Entries that a leader appends without a majority having them; more are refused.
    pub max_uncommitted_entries: usize,
    /// Bytes of a snapshot in one message, and of a whole one that a member takes.
    pub snapshot_chunk_bytes: usize,
    pub max_snapshot_bytes: usize,
    /// Readers that wait for a majority; more are refused.
    pub max_pending_reads: usize,
    /// Who is let vote lacks no more entries than these.
    pub max_promotion_lag: u64,
    /// Members, voters and others.
    pub max_members: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            election_timeout: 500,
            heartbeat_interval: 100,
            max_batch_bytes: 64 << 10,
            max_in_flight_batches: 8,
            max_entry_bytes: 256 << 10,
            max_uncommitted_entries: 4096,
            snapshot_chunk_bytes: 64 << 10,
            max_snapshot_bytes: 16 << 20,
            max_pending_reads: 4096,
            max_promotion_lag: 64,
            max_members: 32,
        }
    }
}
