//! What goes in and out.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Milliseconds of a clock that does not go back.
pub type Millis = u64;
pub type Term = u64;
pub type Index = u64;
/// Writes are numbered in the order in which they have to reach the disk, without gaps, over the whole life
/// of a directory.
pub type Seq = u64;
/// Names what waits for an answer; chosen by the caller.
pub type Token = u64;

/// One directory of one member: whoever begins with an empty directory is somebody else.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct NodeId(pub u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Under which its address is found.
    pub name: String,
    pub votes: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Members(pub BTreeMap<NodeId, Member>);

impl Members {
    pub fn voters(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.0
            .iter()
            .filter(|(_, member)| member.votes)
            .map(|(id, _)| *id)
    }

    pub fn votes(&self, id: NodeId) -> bool {
        self.0.get(&id).is_some_and(|member| member.votes)
    }

    /// How many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The id of the member of that name.
    pub fn named(&self, name: &str) -> Option<NodeId> {
        let mut found = self.0.iter().filter(|(_, member)| member.name == name);
        found.next().map(|(id, _)| *id)
    }
}

/// One change of the members; any two majorities before and after it share a voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member that gets the log and does not vote yet.
    Add(NodeId, String),
    /// Lets a member vote; refused until it has nearly all of the log.
    Promote(NodeId),
    Remove(NodeId),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a leader's term.
    Nothing,
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
    pub fn bytes(&self) -> usize {
        match &self.payload {
            Payload::Nothing => 16,
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
    pub durable: Seq,
    pub body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// "Have you seen me further than this?", after a start.
    Hello,
    /// How far the receiver was seen.
    Seen(Seq),
    /// Would be voted for in the term named, which nobody takes up by it.
    PreVote {
        last: Index,
        last_term: Term,
    },
    PreVoted {
        granted: bool,
    },
    Vote {
        last: Index,
        last_term: Term,
        transfer: bool,
    },
    Voted {
        granted: bool,
    },
    Append {
        prev: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        commit: Index,
        round: u64,
    },
    /// All up to `matched` is on the sender's disk as the leader has it; `next` asks for another place.
    Appended {
        matched: Index,
        next: Option<Index>,
        round: u64,
    },
    Piece {
        index: Index,
        term: Term,
        members: Members,
        offset: u64,
        data: Vec<u8>,
        last: bool,
        round: u64,
    },
    /// So much of the snapshot has come.
    Pieced {
        index: Index,
        offset: u64,
        round: u64,
    },
    /// Ask for votes now: the leader hands over.
    TimeoutNow,
}

/// What must be on disk, in the order of `seq`, before it is acknowledged. Parts that are not there change
/// nothing. In this order: the snapshot replaces all before it and, unless `keep` says where the log goes
/// on, all entries; entries from `truncate` on are dropped; `append` follows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Write {
    pub seq: Seq,
    pub term: Term,
    pub vote: Option<NodeId>,
    /// How far other directories have been seen.
    pub seen: Vec<(NodeId, Seq)>,
    pub snapshot: Option<Snapshot>,
    pub keep: bool,
    pub truncate: Option<Index>,
    pub append: Vec<Entry>,
}

/// What a directory holds: all writes put together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Disk {
    pub seq: Seq,
    pub term: Term,
    pub vote: Option<NodeId>,
    pub seen: BTreeMap<NodeId, Seq>,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<Entry>,
}

impl Disk {
    /// What the very first members begin with.
    pub fn genesis(members: Members) -> Self {
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
    pub fn apply(&mut self, write: Write) -> Result<(), String> {
        if write.seq != self.seq + 1 {
            return Err(format!("write {} follows write {}", write.seq, self.seq));
        }
        if write.term < self.term {
            return Err(format!("term {} follows term {}", write.term, self.term));
        }
        self.seq = write.seq;
        (self.term, self.vote) = (write.term, write.vote);
        for (id, seq) in write.seen {
            let seen = self.seen.entry(id).or_default();
            *seen = seq.max(*seen);
        }
        if let Some(snapshot) = write.snapshot {
            match write.keep {
                true => self.entries.retain(|entry| entry.index > snapshot.index),
                false => self.entries.clear(),
            }
            self.snapshot = Some(snapshot);
        }
        if let Some(from) = write.truncate {
            self.entries.retain(|entry| entry.index < from);
        }
        for entry in write.append {
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
    Persisted(Seq),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    Send(NodeId, Message),
    /// To be synced; answered with [`Input::Persisted`].
    Write(Write),
    /// Committed entries in order, each exactly once in the life of a process.
    Committed(Vec<Entry>),
    /// The state machine is to be what the snapshot says; committed entries go on behind it.
    Restored(Snapshot),
    /// This node leads, and its state machine has all that was committed before its term.
    Leads(Term),
    /// It does not lead any more.
    Follows(Term),
    /// What is applied up to `Index` was in force after the read was asked for.
    Read(Token, Index),
    /// The read can't be answered here any more.
    ReadFailed(Token),
    /// Another has seen this directory further: it is an older copy, and never votes again.
    Stale {
        own: Seq,
        seen: Seq,
    },
}
