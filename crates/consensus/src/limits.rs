//! Every size, count and time of the log.

use crate::words::Millis;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A follower that hears no leader for a time drawn from `election..2 * election` asks for votes; a
    /// leader that a majority has not answered for `election` steps down.
    pub election: Millis,
    /// A leader speaks to everybody at least this often.
    pub heartbeat: Millis,
    /// Payload bytes of one batch of entries; a single larger entry goes alone.
    pub batch_bytes: usize,
    /// Batches on the way to one member that it has not answered.
    pub in_flight: usize,
    /// The largest payload of one entry; larger ones are refused.
    pub entry_bytes: usize,
    /// Entries that a leader appends without a majority having them; more are refused.
    pub uncommitted: usize,
    /// Bytes of a snapshot in one message, and of a whole one that a member takes.
    pub piece_bytes: usize,
    pub snapshot_bytes: usize,
    /// Readers that wait for a majority; more are refused.
    pub reads: usize,
    /// Who is let vote lacks no more entries than these.
    pub promote_behind: u64,
    /// Members, voters and others.
    pub members: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            election: 500,
            heartbeat: 100,
            batch_bytes: 64 << 10,
            in_flight: 8,
            entry_bytes: 256 << 10,
            uncommitted: 4096,
            piece_bytes: 64 << 10,
            snapshot_bytes: 16 << 20,
            reads: 4096,
            promote_behind: 64,
            members: 32,
        }
    }
}
