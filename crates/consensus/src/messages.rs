//! What goes in and out.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Milliseconds of a clock that does not go back.
pub type Millis = u64;
pub type Term = u64;
pub type Index = u64;
/// Writes are numbered in the order in which they have to reach the disk, without gaps, over the whole life
/// of a directory.
pub type WriteSeq = u64;
/// Names what waits for an answer; chosen by the caller.
pub type ReadId = u64;

/// One directory of one member: whoever begins with an empty directory is somebody else.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Under which its address is found.
    pub name: String,
    pub is_voter: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members(pub BTreeMap<NodeId, Member>);

impl Members {
    pub fn voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.0
            .iter()
            .filter(|(_, member)| member.is_voter)
            .map(|(id, _)| *id)
    }

    pub fn is_voter(&self, id: NodeId) -> bool {
        self.0.get(&id).is_some_and(|member| member.is_voter)
    }

    /// How many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The id of the member of that name.
    pub fn id_by_name(&self, name: &str) -> Option<NodeId> {
        let mut found = self.0.iter().filter(|(_, member)| member.name == name);
        found.next().map(|(id, _)| *id)
    }
}

/// One change of the members; any two majorities before and after it share a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A member that gets the log and does not vote yet.
    AddLearner(NodeId, String),
    /// Lets a member vote; refused until it has nearly all of the log.
    Promote(NodeId),
    Remove(NodeId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a leader's term.
    Noop,
    Command(Vec<u8>),
    Members(Members),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    pub term: Term,
    pub index: Index,
    pub payload: Payload,
}

impl Entry {
    pub fn byte_len(&self) -> usize {
        match &self.payload {
            Payload::Noop => 16,
            Payload::Command(bytes) => 16 + bytes.len(),
            Payload::Members(members) => 16 + 64 * members.0.len(),
        }
    }
}

/// The state machine after the entry at `index`, and who was a member then.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: Index,
    pub term: Term,
    pub members: Members,
    pub data: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    pub term: Term,
    /// How far the sender's directory was when it sent this.
    pub durable_seq: WriteSeq,
    pub body: MessageBody,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum MessageBody {
    /// "Have you seen me further than this?", after a start.
    StalenessRequest,
    /// How far the receiver was seen.
    StalenessResponse(WriteSeq),
    /// Would be voted for in the term named, which nobody takes up by it.
    PreVoteRequest {
        last_index: Index,
        last_term: Term,
    },
    PreVoteResponse {
        granted: bool,
    },
    VoteRequest {
        last_index: Index,
        last_term: Term,
        is_transfer: bool,
    },
    VoteResponse {
        granted: bool,
    },
    AppendRequest {
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit_index: Index,
        round: u64,
    },
    /// All up to `matched` is on the sender's disk as the leader has it; `next` asks for another place.
    AppendResponse {
        match_index: Index,
        next_index_hint: Option<Index>,
        round: u64,
    },
    SnapshotChunk {
        index: Index,
        term: Term,
        members: Members,
        offset: u64,
        data: Vec<u8>,
        is_last: bool,
        round: u64,
    },
    /// So much of the snapshot has come.
    SnapshotChunkResponse {
        index: Index,
        next_offset: u64,
        round: u64,
    },
    /// Ask for votes now: the leader hands over.
    TimeoutNow,
}

/// What must be on disk, in the order of `seq`, before it is acknowledged. Parts that are not there change
/// nothing. In this order: the snapshot replaces all before it and, unless `keep` says where the log goes
/// on, all entries; entries from `truncate` on are dropped; `append` follows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableWrite {
    pub seq: WriteSeq,
    pub term: Term,
    pub voted_for: Option<NodeId>,
    /// How far other directories have been seen.
    pub seen_seqs: Vec<(NodeId, WriteSeq)>,
    pub snapshot: Option<Snapshot>,
    pub keep_suffix: bool,
    pub truncate_from: Option<Index>,
    pub entries: Vec<Entry>,
}

/// What a directory holds: all writes put together.
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
    /// What the very first members begin with.
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

    /// Puts the next write over what is there.
    ///
    /// # Errors
    /// A write that does not follow the ones before it, which no sound directory holds.
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
            let seen = self.seen_seqs.entry(id).or_default();
            *seen = seq.max(*seen);
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
            let last = self.entries.last().map(|entry| entry.index);
            let last = last
                .or(self.snapshot.as_ref().map(|snapshot| snapshot.index))
                .unwrap_or(0);
            if entry.index != last + 1 {
                return Err(format!("entry {} follows entry {last}", entry.index));
            }
            self.entries.push(entry);
        }
        Ok(())
    }
}

#[derive(Clone, Debug)]
pub enum Input {
    /// Time has passed; due at least ten times a heartbeat.
    Tick,
    Message(NodeId, Message),
    /// All writes up to this one are on disk.
    Persisted(WriteSeq),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send(NodeId, Message),
    /// To be synced; answered with [`Input::Persisted`].
    Write(DurableWrite),
    /// Committed entries in order, each exactly once in the life of a process.
    Committed(Vec<Entry>),
    /// The state machine is to be what the snapshot says; committed entries go on behind it.
    SnapshotInstalled(Snapshot),
    /// This node leads, and its state machine has all that was committed before its term.
    LeaderReady(Term),
    /// It does not lead any more.
    SteppedDown(Term),
    /// What is applied up to `Index` was in force after the read was asked for.
    ReadReady(ReadId, Index),
    /// The read can't be answered here any more.
    ReadFailed(ReadId),
    /// Another has seen this directory further: it is an older copy, and never votes again.
    Stale {
        own: WriteSeq,
        seen: WriteSeq,
    },
}
