//! A replicated log by majority, after "In Search of an Understandable Consensus Algorithm" (Ongaro and
//! Ousterhout) and Ongaro's thesis: randomized elections with pre-vote and check-quorum, replication with
//! conflict hints and bounded batches in flight, snapshots in pieces, one change of the voters at a time,
//! members that do not vote, leadership transfer, and read index.
//!
//! [`Node::handle`] takes an [`Input`] at a time (milliseconds of a clock that does not go back) and returns
//! [`Output`]s: messages, writes to be synced, committed entries. The same settings, seed and inputs always
//! give the same outputs. Invariants, by the names that the design note and the tests use:
//!
//! - *Election Safety*: at most one leader a term.
//! - *Log Matching*, *Leader Completeness*, *State Machine Safety*: as in the paper.
//! - *Sync Before Answer*: a vote, a term or an entry is answered only after the write it stands on is
//!   acknowledged ([`Input::Persisted`]); a leader counts itself only then, too.
//! - *Vouched For*: a node that starts from a directory neither votes nor acknowledges until a majority has
//!   told it that nobody saw it further than its directory is; one that was seen further is stale for good.

mod limits;
mod log;
mod messages;
mod node;

pub use limits::Limits;
pub use log::Log;
pub use messages::{
    DurableState, DurableWrite, Entry, Index, Input, Member, Members, MembershipChange, Message,
    MessageBody, Millis, NodeId, Output, Payload, ReadId, Snapshot, Term, WriteSeq,
};
pub use node::{Node, Rejection, Role, Status};
