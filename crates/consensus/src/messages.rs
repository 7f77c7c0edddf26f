//! Inputs, outputs, messages between nodes, and what is stored on disk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Milliseconds of a monotonic clock.
pub type Millis = u64;
/// The number of an election term.
pub type Term = u64;
/// The position of an entry in the log, from 1.
pub type Index = u64;
/// The number of a durable write. Writes are numbered without gaps over the whole life of a directory, in the order in
/// which they must reach the disk.
pub type WriteSeq = u64;
/// Identifies a pending read; chosen by the caller.
pub type ReadId = u64;

/// Identifies one directory of one member: a member that starts with an empty directory has a new id.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u64);

/// A member of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The name under which the member's address is configured.
    pub name: String,
    /// Whether the member votes; otherwise it only receives the log.
    pub is_voter: bool,
}

/// The membership: all members by their ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members(pub BTreeMap<NodeId, Member>);

impl Members {
    /// The ids of the voters, in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.0
            .iter()
            .filter(|(_, member)| member.is_voter)
            .map(|(id, _)| *id)
    }

    /// Whether this id belongs to a voter.
    pub fn is_voter(&self, id: NodeId) -> bool {
        self.0.get(&id).is_some_and(|member| member.is_voter)
    }

    /// The number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The id of the member with this name.
    pub fn id_by_name(&self, name: &str) -> Option<NodeId> {
        let mut matching = self.0.iter().filter(|(_, member)| member.name == name);
        matching.next().map(|(id, _)| *id)
    }
}

/// A change of one member. Any majority before the change and any majority after it share a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a non-voting member that receives the log, with its name.
    AddLearner(NodeId, String),
    /// Makes a member a voter; rejected until it has nearly all of the log.
    Promote(NodeId),
    /// Removes a member.
    Remove(NodeId),
}

/// The content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// No content: the first entry of a leader's term.
    Noop,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The membership from this entry on.
    Members(Members),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub index: Index,
    pub payload: Payload,
}

impl Entry {
    /// The approximate size in bytes, for limits.
    pub fn byte_len(&self) -> usize {
        match &self.payload {
            Payload::Noop => 16,
            Payload::Command(bytes) => 16 + bytes.len(),
            Payload::Members(members) => 16 + 64 * members.0.len(),
        }
    }
}

/// The state machine and the membership after the entry at `index`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: Index,
    pub term: Term,
    pub members: Members,
    pub data: Vec<u8>,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term; for pre-votes the term of the election that would follow.
    pub term: Term,
    /// The last write on the sender's disk when the message was sent.
    pub durable_seq: WriteSeq,
    pub body: MessageBody,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// Sent after a start: requests the highest `durable_seq` that the receiver has seen from the sender.
    StalenessRequest,
    /// The highest `durable_seq` that the sender has seen from the receiver.
    StalenessResponse(WriteSeq),
    /// Asks whether the receiver would grant its vote in the message's term. Neither node enters that term.
    PreVoteRequest { last_index: Index, last_term: Term },
    /// The answer to a pre-vote request; if granted, it has the request's term.
    PreVoteResponse { granted: bool },
    /// Requests the receiver's vote in the message's term.
    VoteRequest {
        last_index: Index,
        last_term: Term,
        /// Whether the current leader has requested this election.
        is_transfer: bool,
    },
    /// The answer to a vote request. A rejected pre-vote from an older term gets this answer too, which carries the
    /// current term.
    VoteResponse { granted: bool },
    /// Entries that follow `prev_index`; without entries a heartbeat.
    AppendRequest {
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit_index: Index,
        round: u64,
    },
    /// The sender has the leader's log on disk up to `match_index`; `next_index_hint` requests entries from another
    /// index, after a mismatch.
    AppendResponse {
        match_index: Index,
        next_index_hint: Option<Index>,
        round: u64,
    },
    /// A part of a snapshot's data from `offset` on.
    SnapshotChunk {
        index: Index,
        term: Term,
        members: Members,
        offset: u64,
        data: Vec<u8>,
        is_last: bool,
        round: u64,
    },
    /// The sender has the snapshot's data up to `next_offset`.
    SnapshotChunkResponse {
        index: Index,
        next_offset: u64,
        round: u64,
    },
    /// Instructs the receiver to start an election at once, for a leadership transfer.
    TimeoutNow,
}

/// A change of the durable state. Writes must reach the disk in the order of `seq`, each before it is acknowledged. Its
/// parts are applied in this order, and absent parts change nothing: the snapshot replaces all entries up to its index,
/// or, without `keep_suffix`, all entries; entries from `truncate_from` on are dropped; `entries` are appended.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableWrite {
    pub seq: WriteSeq,
    pub term: Term,
    pub voted_for: Option<NodeId>,
    /// The highest `durable_seq` received from each other member for which it has changed.
    pub seen_seqs: Vec<(NodeId, WriteSeq)>,
    pub snapshot: Option<Snapshot>,
    /// Whether the entries after the snapshot are kept.
    pub keep_suffix: bool,
    pub truncate_from: Option<Index>,
    pub entries: Vec<Entry>,
}

/// The content of a directory: the result of all its writes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DurableState {
    pub seq: WriteSeq,
    pub term: Term,
    pub voted_for: Option<NodeId>,
    pub seen_seqs: BTreeMap<NodeId, WriteSeq>,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// The state with which the first members of a new log start.
    pub fn bootstrap(members: Members) -> Self {
        let snapshot = Snapshot {
            index: 0,
            term: 0,
            members,
            data: Vec::new(),
        };
        Self {
            snapshot: Some(snapshot),
            ..Self::default()
        }
    }

    /// Applies the next write.
    ///
    /// # Errors
    /// If the write does not follow the previous ones; an intact directory contains no such write.
    pub fn apply(&mut self, write: DurableWrite) -> Result<(), String> {
        if write.seq != self.seq + 1 {
            return Err(format!("write {} follows write {}", write.seq, self.seq));
        }
        if write.term < self.term {
            return Err(format!("term {} follows term {}", write.term, self.term));
        }
        self.seq = write.seq;
        (self.term, self.voted_for) = (write.term, write.voted_for);
        for (id, seq) in write.seen_seqs {
            let seen_seq = self.seen_seqs.entry(id).or_default();
            *seen_seq = seq.max(*seen_seq);
        }
        if let Some(snapshot) = write.snapshot {
            match write.keep_suffix {
                true => self.entries.retain(|entry| entry.index > snapshot.index),
                false => self.entries.clear(),
            }
            self.snapshot = Some(snapshot);
        }
        if let Some(from) = write.truncate_from {
            self.entries.retain(|entry| entry.index < from);
        }
        for entry in write.entries {
            let last_index = self.entries.last().map(|entry| entry.index);
            let last_index = last_index
                .or(self.snapshot.as_ref().map(|snapshot| snapshot.index))
                .unwrap_or(0);
            if entry.index != last_index + 1 {
                return Err(format!("entry {} follows entry {last_index}", entry.index));
            }
            self.entries.push(entry);
        }
        Ok(())
    }
}

/// An event that a node processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; required at least ten times per heartbeat interval.
    Tick,
    /// A message and its sender.
    Message(NodeId, Message),
    /// All writes up to this one are on disk.
    Persisted(WriteSeq),
}

/// An effect that the caller of a node has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A message and its receiver.
    Send(NodeId, Message),
    /// A write to sync; acknowledged with [`Input::Persisted`].
    Write(DurableWrite),
    /// Committed entries in order, each exactly once during the life of a process.
    Committed(Vec<Entry>),
    /// The snapshot replaces the state machine; committed entries after it follow.
    SnapshotInstalled(Snapshot),
    /// This node leads, and its state machine includes every entry committed before its term.
    LeaderReady(Term),
    /// This node no longer leads.
    SteppedDown(Term),
    /// The read may be served once the state machine has applied `Index`.
    ReadReady(ReadId, Index),
    /// The read can no longer be served here.
    ReadFailed(ReadId),
    /// Another member has seen a later write of this directory: it is an older copy, and this node never votes again.
    Stale {
        /// The last write in this directory.
        own: WriteSeq,
        /// The last write that the other member has seen.
        seen: WriteSeq,
    },
}
