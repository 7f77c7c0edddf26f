//! Sizes, counts and times of the replicated log.

use crate::messages::Millis;

/// Limits of a node. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A follower starts an election after a random time in `election_timeout..2 * election_timeout` without a message
    /// from a leader. A leader steps down after `election_timeout` without responses from a majority.
    pub election_timeout: Millis,
    /// The longest time between two messages from the leader to each member.
    pub heartbeat_interval: Millis,
    /// Bytes of one batch of entries; a larger entry is sent in a batch of its own.
    pub max_batch_bytes: usize,
    /// Unacknowledged batches in flight to one member.
    pub max_in_flight_batches: usize,
    /// The largest payload of one entry; larger ones are rejected.
    pub max_entry_bytes: usize,
    /// Uncommitted entries in the leader's log; more are rejected.
    pub max_uncommitted_entries: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Bytes of a whole snapshot that a member accepts.
    pub max_snapshot_bytes: usize,
    /// Reads that await confirmation by a majority; more are rejected.
    pub max_pending_reads: usize,
    /// Entries that a member may lack when it is promoted to a voter.
    pub max_promotion_lag: u64,
    /// Members, both voters and learners.
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
