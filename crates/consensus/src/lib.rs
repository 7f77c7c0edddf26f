//! A replicated log with majority commitment, after "In Search of an Understandable Consensus Algorithm" (Ongaro and
//! Ousterhout) and Ongaro's thesis: randomized elections with pre-vote and check-quorum, replication with
//! conflict hints and a bounded number of batches in flight, chunked snapshots, one membership change at a time,
//! non-voting members, leadership transfer, and read index.
//!
//! [`Node::handle`] processes one [`Input`] at a time, with the milliseconds of a monotonic clock;
//! [`Node::take_outputs`] returns the [`Output`]s: messages, writes to sync, committed entries. The node is
//! deterministic: the same settings, seed and inputs always give the same outputs. Invariants, with their names in the
//! design note and in the tests:
//!
//! - *Election Safety*: at most one leader per term.
//! - *Log Matching*, *Leader Completeness*, *State Machine Safety*: as in the paper.
//! - *Sync Before Answer*: a vote, a term or an entry is acknowledged only after the write that contains it is
//!   acknowledged ([`Input::Persisted`]); a leader counts its own copy only then, too.
//! - *Vouched For*: a node that starts from a directory neither votes nor acknowledges until a majority has confirmed
//!   that no member has seen a later write of this directory. If a member has seen one, the node is permanently stale.

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
