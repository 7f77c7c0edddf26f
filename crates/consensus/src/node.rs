//! One member: elections, replication, commitment, reads.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::limits::Limits;
use crate::log::Log;
use crate::messages::{
    DurableState, DurableWrite, Entry, Index, Input, Members, MembershipChange, Message,
    MessageBody, Millis, NodeId, Output, Payload, ReadId, Snapshot, Term, WriteSeq,
};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// Why something was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The leader, as far as it is known here, has to be asked.
    NotLeader(Option<NodeId>),
    /// A leader that hands over, or has not committed anything of its own term yet.
    NotNow,
    /// At a limit: entries without a majority, waiting readers, members, the size of an entry.
    Full,
    /// The change before it is not committed yet.
    Changing,
    /// The change makes no sense: nobody of that id, already one, the last voter, or too far behind.
    Senseless,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub role: Role,
    pub term: Term,
    pub leader: Option<NodeId>,
    pub commit_index: Index,
    pub last_index: Index,
    pub snapshot_index: Index,
    /// Whether it waits to be vouched for.
    pub awaits_staleness_check: bool,
    pub is_stale: bool,
}

/// What a leader knows of another member.
#[derive(Clone, Debug)]
struct Progress {
    matched: Index,
    next: Index,
    /// The last indices of the batches on the way.
    in_flight: VecDeque<Index>,
    round: u64,
    heard: Millis,
    /// The snapshot on the way, how much of it has come, and when a piece was last sent.
    piece: Option<(Arc<Snapshot>, usize, Millis)>,
}

impl Progress {
    fn new(next: Index, now: Millis) -> Self {
        let in_flight = VecDeque::new();
        Self {
            matched: 0,
            next,
            in_flight,
            round: 0,
            heard: now,
            piece: None,
        }
    }
}

#[derive(Clone, Debug)]
struct Incoming {
    from: NodeId,
    snapshot: Snapshot,
}

#[derive(Clone, Debug)]
pub struct Node {
    id: NodeId,
    limits: Limits,
    rng: Pcg32,
    now: Millis,
    term: Term,
    vote: Option<NodeId>,
    log: Log,
    commit: Index,
    role: Role,
    leader: Option<NodeId>,
    /// When a leader of this term was last heard.
    heard: Option<Millis>,
    election_at: Millis,
    heartbeat_at: Millis,
    votes: BTreeMap<NodeId, bool>,
    /// All up to here stands in this leader's log too.
    verified: Index,
    incoming: Option<Incoming>,

    peers: BTreeMap<NodeId, Progress>,
    /// An entry of the own term is committed.
    settled: bool,
    round: u64,
    waiting: Vec<ReadId>,
    reads: VecDeque<(u64, ReadId, Index)>,
    transfer: Option<(NodeId, Millis)>,

    seq: WriteSeq,
    durable: WriteSeq,
    durable_index: Index,
    /// Writes on the way to the disk, and the last index that each brings there.
    writes: VecDeque<(WriteSeq, Index)>,
    pending: Option<DurableWrite>,
    /// The write that term and vote stand on.
    hard: WriteSeq,
    held: VecDeque<(WriteSeq, NodeId, Message)>,

    seen: BTreeMap<NodeId, WriteSeq>,
    unsaved: BTreeSet<NodeId>,
    vouched: BTreeSet<NodeId>,
    barred: bool,
    hello_at: Millis,
    stale: bool,
    out: Vec<Output>,
}

impl Node {
    /// Goes on from a directory; `seed` draws the times of elections.
    pub fn new(id: NodeId, disk: DurableState, limits: Limits, seed: u64, now: Millis) -> Self {
        let snapshot = disk.snapshot.unwrap_or(Snapshot {
            index: 0,
            term: 0,
            members: Members::default(),
            data: Vec::new(),
        });
        let mut out = Vec::new();
        if snapshot.index > 0 {
            out.push(Output::SnapshotInstalled(snapshot.clone()));
        }
        let log = Log::new(snapshot, disk.entries);
        let mut node = Self {
            id,
            rng: Pcg32::seed_from_u64(seed ^ id.0),
            now,
            term: disk.term,
            vote: disk.voted_for,
            commit: log.snapshot.index,
            role: Role::Follower,
            leader: None,
            heard: None,
            election_at: now,
            heartbeat_at: now,
            votes: BTreeMap::new(),
            verified: 0,
            incoming: None,
            peers: BTreeMap::new(),
            settled: false,
            round: 0,
            waiting: Vec::new(),
            reads: VecDeque::new(),
            transfer: None,
            seq: disk.seq,
            durable: disk.seq,
            durable_index: log.last_index(),
            writes: VecDeque::new(),
            pending: None,
            hard: disk.seq,
            held: VecDeque::new(),
            seen: disk.seen_seqs,
            unsaved: BTreeSet::new(),
            vouched: BTreeSet::new(),
            barred: true,
            hello_at: now,
            stale: false,
            out,
            limits,
            log,
        };
        node.election_at = now + node.draw();
        node.weigh_vouchers();
        node
    }

    pub fn id(&self) -> NodeId {
        self.id
    }

    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            term: self.term,
            leader: self.leader,
            commit_index: self.commit,
            last_index: self.log.last_index(),
            snapshot_index: self.log.snapshot.index,
            awaits_staleness_check: self.barred,
            is_stale: self.stale,
        }
    }

    /// What settles how it acts next, apart from times and what is drawn: two nodes of one digest are alike
    /// to an explorer of states.
    pub fn hash_state(&self, into: &mut impl Hasher) {
        (
            self.id,
            self.term,
            self.vote,
            self.commit,
            self.role,
            self.leader,
        )
            .hash(into);
        (
            self.has_leader(),
            &self.votes,
            self.verified,
            self.settled,
            self.round,
        )
            .hash(into);
        (
            self.seq,
            self.durable,
            self.durable_index,
            &self.writes,
            self.hard,
        )
            .hash(into);
        (
            &self.seen,
            &self.vouched,
            self.barred,
            self.stale,
            &self.waiting,
            &self.reads,
        )
            .hash(into);
        (
            self.log.snapshot.index,
            self.log.last_index(),
            self.transfer.map(|(to, _)| to),
        )
            .hash(into);
        for index in self.log.snapshot.index + 1..=self.log.last_index() {
            self.log.get(index).hash(into);
        }
        for (id, peer) in &self.peers {
            (id, peer.matched, peer.next, &peer.in_flight, peer.round).hash(into);
        }
        self.held.hash(into);
    }

    /// Whether this node leads and has all that was committed before its term.
    pub fn is_ready_leader(&self) -> bool {
        self.role == Role::Leader && self.settled
    }

    /// The voters that this leader has heard within `within`, itself among them.
    pub fn active_voter_count(&self, within: Millis) -> usize {
        let heard = |id: &NodeId| {
            let peer = self.peers.get(id);
            *id == self.id || peer.is_some_and(|peer| peer.heard + within > self.now)
        };
        self.members().voters().filter(heard).count()
    }

    pub fn handle(&mut self, now: Millis, input: Input) {
        self.now = self.now.max(now);
        if self.stale {
            return;
        }
        match input {
            Input::Tick => self.tick(),
            Input::Message(from, message) => self.message(from, message),
            Input::Persisted(seq) => self.persisted(seq),
        }
    }

    /// All there is to do since it was last asked.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        if !self.stale {
            self.begin_round();
        }
        self.flush();
        std::mem::take(&mut self.out)
    }

    /// Appends a command; it holds once an entry of this term and index is committed.
    ///
    /// # Errors
    /// Only a leader takes commands, and only so many without a majority.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(Term, Index), Rejection> {
        self.may_append()?;
        if command.len() > self.limits.max_entry_bytes {
            return Err(Rejection::Full);
        }
        Ok((self.term, self.append(Payload::Command(command))))
    }

    /// Appends a change of who is a member.
    ///
    /// # Errors
    /// One change at a time; nobody votes who has not nearly all of the log.
    pub fn change_membership(
        &mut self,
        change: MembershipChange,
    ) -> Result<(Term, Index), Rejection> {
        self.may_append()?;
        let (at, members) = self.log.members();
        if at > self.commit {
            return Err(Rejection::Changing);
        }
        let mut members = members.clone();
        match change {
            MembershipChange::AddLearner(id, name) => {
                if members.0.len() >= self.limits.max_members {
                    return Err(Rejection::Full);
                }
                if members.0.contains_key(&id) || members.id_by_name(&name).is_some() {
                    return Err(Rejection::Senseless);
                }
                members.0.insert(
                    id,
                    crate::Member {
                        name,
                        is_voter: false,
                    },
                );
            }
            MembershipChange::Promote(id) => {
                // It has acknowledged at least that it is a member: an empty log is not close to a short one.
                let matched = self.peers.get(&id).map_or(0, |peer| peer.matched);
                let behind = self.log.last_index() - matched;
                let close = matched >= at && behind <= self.limits.max_promotion_lag;
                let member = members
                    .0
                    .get_mut(&id)
                    .filter(|member| close && !member.is_voter);
                member.ok_or(Rejection::Senseless)?.is_voter = true;
            }
            MembershipChange::Remove(id) => {
                members.0.remove(&id).ok_or(Rejection::Senseless)?;
                if members.voters().next().is_none() {
                    return Err(Rejection::Senseless);
                }
            }
        }
        let index = self.append(Payload::Members(members.clone()));
        let (next, now) = (self.log.last_index(), self.now);
        for id in members.0.keys().filter(|id| **id != self.id) {
            self.peers
                .entry(*id)
                .or_insert_with(|| Progress::new(next, now));
        }
        self.broadcast(false);
        Ok((self.term, index))
    }

    /// Asks for [`Output::Read`]: what is applied then was in force after this call.
    ///
    /// # Errors
    /// Only a leader can tell, and only for so many at once.
    pub fn request_read(&mut self, token: ReadId) -> Result<(), Rejection> {
        if self.role != Role::Leader {
            return Err(Rejection::NotLeader(self.leader));
        }
        if !self.settled {
            return Err(Rejection::NotNow);
        }
        if self.waiting.len() + self.reads.len() >= self.limits.max_pending_reads {
            return Err(Rejection::Full);
        }
        self.waiting.push(token);
        Ok(())
    }

    /// Hands the lead to another voter once that has the whole log; given up after an election's time.
    ///
    /// # Errors
    /// Only a leader can, to another voter.
    pub fn transfer_leadership(&mut self, to: NodeId) -> Result<(), Rejection> {
        if self.role != Role::Leader {
            return Err(Rejection::NotLeader(self.leader));
        }
        if to == self.id || !self.members().is_voter(to) {
            return Err(Rejection::Senseless);
        }
        self.transfer = Some((to, self.now + self.limits.election_timeout));
        self.hand_over();
        Ok(())
    }

    /// The voter that is furthest with the log, for a transfer.
    pub fn transfer_target(&self) -> Option<NodeId> {
        let voters = self.members().voters().filter(|id| *id != self.id);
        let lately = |id: &NodeId| {
            self.peers
                .get(id)
                .is_some_and(|peer| peer.heard + self.limits.election_timeout > self.now)
        };
        voters
            .filter(lately)
            .max_by_key(|id| self.peers.get(id).map(|peer| peer.matched))
    }

    /// Puts the state machine as it is after the entry at `index` in the place of the entries up to it.
    ///
    /// # Panics
    /// Where that entry is not committed.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) {
        assert!(index <= self.commit, "a snapshot of what is not committed");
        if index <= self.log.snapshot.index {
            return;
        }
        let term = self
            .log
            .term(index)
            .expect("committed, and behind the snapshot");
        let members = self.log.members_at(index).clone();
        let snapshot = Snapshot {
            index,
            term,
            members,
            data,
        };
        self.flush();
        let write = self.write();
        (write.snapshot, write.keep_suffix) = (Some(snapshot.clone()), true);
        self.log.compact(snapshot);
    }

    fn may_append(&self) -> Result<(), Rejection> {
        match self.role {
            Role::Leader if !self.settled || self.transfer.is_some() => Err(Rejection::NotNow),
            Role::Leader
                if self.log.last_index() - self.commit
                    >= self.limits.max_uncommitted_entries as u64 =>
            {
                Err(Rejection::Full)
            }
            Role::Leader => Ok(()),
            _ => Err(Rejection::NotLeader(self.leader)),
        }
    }

    // Time.

    fn draw(&mut self) -> Millis {
        let election = self.limits.election_timeout;
        self.rng.random_range(election..2 * election)
    }

    fn tick(&mut self) {
        if self.barred {
            if self.now >= self.hello_at {
                self.hello_at = self.now + self.limits.heartbeat_interval;
                for id in self.others() {
                    self.send(id, MessageBody::StalenessRequest);
                }
            }
            return;
        }
        if self.role == Role::Leader {
            if self.active_voter_count(self.limits.election_timeout) < self.members().majority() {
                // Check-quorum: who can't be followed does not lead.
                self.follow(self.term, None);
                return;
            }
            if self.transfer.is_some_and(|(_, until)| self.now >= until) {
                self.transfer = None;
            }
            if self.now >= self.heartbeat_at {
                self.round += 1;
                self.broadcast(true);
            }
        } else if self.now >= self.election_at {
            self.campaign(true, false);
        }
    }

    fn others(&self) -> Vec<NodeId> {
        self.members()
            .0
            .keys()
            .copied()
            .filter(|id| *id != self.id)
            .collect()
    }

    fn voters(&self) -> Vec<NodeId> {
        self.members()
            .voters()
            .filter(|id| *id != self.id)
            .collect()
    }

    // The disk.

    fn write(&mut self) -> &mut DurableWrite {
        if self.pending.is_none() {
            self.seq += 1;
            let unsaved = std::mem::take(&mut self.unsaved);
            let seen = unsaved
                .into_iter()
                .filter_map(|id| Some((id, *self.seen.get(&id)?)));
            self.pending = Some(DurableWrite {
                seq: self.seq,
                seen_seqs: seen.collect(),
                ..DurableWrite::default()
            });
        }
        self.pending.as_mut().expect("just made")
    }

    fn flush(&mut self) {
        if let Some(mut write) = self.pending.take() {
            (write.term, write.voted_for) = (self.term, self.vote);
            let last = write.entries.last().map(|entry| entry.index);
            let swallowed = write.snapshot.as_ref().map(|snapshot| snapshot.index);
            self.writes
                .push_back((write.seq, last.or(swallowed).unwrap_or(0)));
            self.out.push(Output::Write(write));
        }
    }

    fn hard_state(&mut self, term: Term, vote: Option<NodeId>) {
        if (self.term, self.vote) != (term, vote) {
            (self.term, self.vote) = (term, vote);
            self.hard = self.write().seq;
        }
    }

    fn persisted(&mut self, seq: WriteSeq) {
        self.durable = self.durable.max(seq.min(self.seq));
        let before = self.matched();
        while let Some((at, index)) = self.writes.front().copied() {
            if at > self.durable {
                break;
            }
            self.writes.pop_front();
            self.durable_index = self.durable_index.max(index);
        }
        while self
            .held
            .front()
            .is_some_and(|(at, ..)| *at <= self.durable)
        {
            let (_, to, mut message) = self.held.pop_front().expect("just seen");
            message.durable_seq = self.durable;
            self.out.push(Output::Send(to, message));
        }
        match self.role {
            Role::Leader => self.advance(),
            Role::Candidate if self.hard <= self.durable && !self.votes.contains_key(&self.id) => {
                self.votes.insert(self.id, true);
                self.tally();
            }
            Role::Follower if self.matched() > before => {
                if let Some(leader) = self.leader {
                    let matched = self.matched();
                    self.send(
                        leader,
                        MessageBody::AppendResponse {
                            match_index: matched,
                            next_index_hint: None,
                            round: 0,
                        },
                    );
                }
            }
            _ => {}
        }
    }

    /// What a follower may acknowledge: on its disk, and as its leader has it.
    fn matched(&self) -> Index {
        self.verified.min(self.durable_index)
    }

    fn send(&mut self, to: NodeId, body: MessageBody) {
        let term = match body {
            MessageBody::PreVoteRequest { .. } => self.term + 1,
            _ => self.term,
        };
        self.send_as(to, term, body);
    }

    fn send_as(&mut self, to: NodeId, term: Term, body: MessageBody) {
        let message = Message {
            term,
            durable_seq: self.durable,
            body,
        };
        // Sync Before Answer: nothing is said that a term or a vote not yet on disk stands behind.
        if self.hard > self.durable {
            // A bound: what is older than this many is lost, as on any link.
            if self.held.len() >= 16 * self.limits.max_members {
                self.held.pop_front();
            }
            self.held.push_back((self.hard, to, message));
        } else {
            self.out.push(Output::Send(to, message));
        }
    }

    // Who is vouched for.

    fn weigh_vouchers(&mut self) {
        let members = self.members();
        let voters = members.voters().count();
        let needed = match (voters, members.is_voter(self.id)) {
            (0, _) => 1,
            (_, true) => members.majority() - 1,
            (_, false) => members.majority(),
        };
        let vouched = self
            .vouched
            .iter()
            .filter(|id| voters == 0 || members.is_voter(**id));
        if self.barred && vouched.count() >= needed {
            self.barred = false;
            self.election_at = self.now + self.draw();
        }
    }

    fn seen(&mut self, from: NodeId, durable: WriteSeq) {
        if self.members().0.contains_key(&from) {
            let seen = self.seen.entry(from).or_default();
            if durable > *seen {
                *seen = durable;
                self.unsaved.insert(from);
            }
        }
    }

    // Messages.

    fn message(&mut self, from: NodeId, message: Message) {
        self.seen(from, message.durable_seq);
        match message.body {
            MessageBody::StalenessRequest => {
                let seen = self.seen.get(&from).copied().unwrap_or(0);
                return self.send(from, MessageBody::StalenessResponse(seen));
            }
            MessageBody::StalenessResponse(seen) => {
                if seen > self.durable {
                    self.stale = true;
                    self.role = Role::Follower;
                    self.held.clear();
                    self.out.push(Output::Stale {
                        own: self.durable,
                        seen,
                    });
                } else {
                    self.vouched.insert(from);
                    self.weigh_vouchers();
                }
                return;
            }
            _ if self.barred => return self.send(from, MessageBody::StalenessRequest),
            MessageBody::PreVoteRequest {
                last_index: last,
                last_term,
            } => {
                return self.pre_vote(from, message.term, last, last_term);
            }
            MessageBody::PreVoteResponse { granted: true } => {
                if self.role == Role::PreCandidate && message.term == self.term + 1 {
                    self.votes.insert(from, true);
                    self.tally();
                }
                return;
            }
            MessageBody::VoteRequest {
                is_transfer: false, ..
            } if self.has_leader() => return,
            _ => {}
        }
        if message.term < self.term {
            if matches!(
                message.body,
                MessageBody::AppendRequest { .. } | MessageBody::SnapshotChunk { .. }
            ) {
                // A leader of an older term learns so.
                self.send(
                    from,
                    MessageBody::AppendResponse {
                        match_index: 0,
                        next_index_hint: None,
                        round: 0,
                    },
                );
            }
            return;
        }
        if message.term > self.term {
            self.follow(message.term, None);
        }
        match message.body {
            MessageBody::VoteRequest {
                last_index: last,
                last_term,
                ..
            } => self.vote(from, last, last_term),
            MessageBody::VoteResponse { granted } if self.role == Role::Candidate => {
                self.votes.insert(from, granted);
                self.tally();
            }
            MessageBody::AppendRequest {
                prev_index: prev,
                prev_term,
                entries,
                commit_index: commit,
                round,
            } => {
                self.heed(from);
                self.take(from, prev, prev_term, entries, round);
                self.commit_to(commit.min(self.verified));
            }
            MessageBody::SnapshotChunk {
                index,
                term,
                members,
                offset,
                data,
                is_last: last,
                round,
            } => {
                self.heed(from);
                let piece = Snapshot {
                    index,
                    term,
                    members,
                    data,
                };
                self.piece(from, piece, offset as usize, last, round);
            }
            MessageBody::AppendResponse {
                match_index: matched,
                next_index_hint: next,
                round,
            } if self.role == Role::Leader => {
                self.appended(from, matched, next, round);
            }
            MessageBody::SnapshotChunkResponse {
                index,
                next_offset: offset,
                round,
            } if self.role == Role::Leader => {
                self.pieced(from, index, offset as usize, round);
            }
            MessageBody::TimeoutNow if self.leader == Some(from) => self.campaign(false, true),
            _ => {}
        }
    }

    /// Whether a leader was heard so lately that nobody else may ask for votes.
    fn has_leader(&self) -> bool {
        let lately = |heard: Millis| self.now < heard + self.limits.election_timeout;
        self.role == Role::Leader || (self.leader.is_some() && self.heard.is_some_and(lately))
    }

    fn up_to_date(&self, last: Index, last_term: Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last_index())
    }

    // Elections.

    fn follow(&mut self, term: Term, leader: Option<NodeId>) {
        let led = self.role == Role::Leader;
        if term > self.term {
            self.hard_state(term, None);
            self.verified = 0;
            self.incoming = None;
            self.heard = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.election_at = self.now + self.draw();
        if led {
            self.peers.clear();
            self.settled = false;
            self.transfer = None;
            self.heard = None;
            let waiting = self.waiting.drain(..);
            let reads = self.reads.drain(..).map(|(_, token, _)| token);
            let failed: Vec<_> = waiting.chain(reads).map(Output::ReadFailed).collect();
            self.out.extend(failed);
            self.out.push(Output::SteppedDown(self.term));
        }
    }

    /// Takes the sender for the leader of this term.
    fn heed(&mut self, from: NodeId) {
        if self.role != Role::Follower || self.leader != Some(from) {
            self.follow(self.term, Some(from));
        }
        self.heard = Some(self.now);
        self.election_at = self.now + self.draw();
    }

    fn campaign(&mut self, pre: bool, transfer: bool) {
        self.election_at = self.now + self.draw();
        if !self.members().is_voter(self.id) {
            return;
        }
        self.leader = None;
        self.votes.clear();
        let (last, last_term) = (self.log.last_index(), self.log.last_term());
        if pre {
            self.role = Role::PreCandidate;
            self.votes.insert(self.id, true);
            for id in self.voters() {
                self.send(
                    id,
                    MessageBody::PreVoteRequest {
                        last_index: last,
                        last_term,
                    },
                );
            }
            self.tally();
        } else {
            self.role = Role::Candidate;
            self.verified = 0;
            self.incoming = None;
            self.hard_state(self.term + 1, Some(self.id));
            for id in self.voters() {
                self.send(
                    id,
                    MessageBody::VoteRequest {
                        last_index: last,
                        last_term,
                        is_transfer: transfer,
                    },
                );
            }
        }
    }

    fn pre_vote(&mut self, from: NodeId, term: Term, last: Index, last_term: Term) {
        let granted = !self.has_leader() && term > self.term && self.up_to_date(last, last_term);
        if granted {
            self.send_as(from, term, MessageBody::PreVoteResponse { granted });
        } else if term <= self.term {
            // Its term is behind: it learns of this one.
            self.send(from, MessageBody::VoteResponse { granted });
        }
    }

    fn vote(&mut self, from: NodeId, last: Index, last_term: Term) {
        let free = self.vote.is_none() || self.vote == Some(from);
        let granted = free && self.role == Role::Follower && self.up_to_date(last, last_term);
        if granted {
            self.hard_state(self.term, Some(from));
            self.election_at = self.now + self.draw();
        }
        self.send(from, MessageBody::VoteResponse { granted });
    }

    fn tally(&mut self) {
        let members = self.members();
        let granted = |(id, granted): &(&NodeId, &bool)| **granted && members.is_voter(**id);
        if self.votes.iter().filter(granted).count() < members.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.campaign(false, false),
            Role::Candidate => self.lead(),
            Role::Follower | Role::Leader => {}
        }
    }

    fn lead(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.settled = false;
        self.round = 0;
        let (next, now) = (self.log.last_index() + 1, self.now);
        self.peers = self
            .others()
            .into_iter()
            .map(|id| (id, Progress::new(next, now)))
            .collect();
        self.append(Payload::Noop);
        self.round += 1;
        self.broadcast(true);
        self.advance();
    }

    // A leader's log.

    fn append(&mut self, payload: Payload) -> Index {
        let entry = Entry {
            term: self.term,
            index: self.log.last_index() + 1,
            payload,
        };
        let index = entry.index;
        self.write().entries.push(entry.clone());
        self.log.push(entry);
        self.broadcast(false);
        index
    }

    fn broadcast(&mut self, heartbeat: bool) {
        if heartbeat {
            self.heartbeat_at = self.now + self.limits.heartbeat_interval;
        }
        let ids: Vec<_> = self.peers.keys().copied().collect();
        for id in ids {
            self.replicate(id, heartbeat);
        }
    }

    /// Sends a member what it lacks as far as the window allows; a heartbeat in any case if asked.
    fn replicate(&mut self, to: NodeId, mut heartbeat: bool) {
        let (commit, round, last) = (self.commit, self.round, self.log.last_index());
        loop {
            let Some(peer) = self.peers.get_mut(&to) else {
                return;
            };
            if peer.next <= self.log.snapshot.index || peer.piece.is_some() {
                let resend = 2 * self.limits.heartbeat_interval;
                let snapshot = self.log.snapshot.clone();
                let fresh = peer.piece.is_none();
                let piece = peer.piece.get_or_insert((snapshot, 0, self.now));
                if fresh || self.now >= piece.2 + resend {
                    self.send_piece(to);
                }
                if heartbeat {
                    let entries = Vec::new();
                    let body = MessageBody::AppendRequest {
                        prev_index: 0,
                        prev_term: 0,
                        entries,
                        commit_index: 0,
                        round,
                    };
                    self.send(to, body);
                }
                return;
            }
            let prev = peer.next - 1;
            let room = peer.in_flight.len() < self.limits.max_in_flight_batches;
            let entries = match room && peer.next <= last {
                true => self
                    .log
                    .entries_from(peer.next, self.limits.max_batch_bytes),
                false => Vec::new(),
            };
            if entries.is_empty() && !heartbeat {
                return;
            }
            heartbeat = false;
            if let Some(entry) = entries.last() {
                peer.next = entry.index + 1;
                peer.in_flight.push_back(entry.index);
            }
            let prev_term = self.log.term(prev).expect("behind the snapshot");
            self.send(
                to,
                MessageBody::AppendRequest {
                    prev_index: prev,
                    prev_term,
                    entries,
                    commit_index: commit,
                    round,
                },
            );
        }
    }

    fn send_piece(&mut self, to: NodeId) {
        let (now, round) = (self.now, self.round);
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        let Some((snapshot, offset, sent)) = &mut peer.piece else {
            return;
        };
        *sent = now;
        let end = (*offset + self.limits.snapshot_chunk_bytes).min(snapshot.data.len());
        let body = MessageBody::SnapshotChunk {
            index: snapshot.index,
            term: snapshot.term,
            members: snapshot.members.clone(),
            offset: *offset as u64,
            data: snapshot.data[*offset..end].to_vec(),
            is_last: end == snapshot.data.len(),
            round,
        };
        self.send(to, body);
    }

    fn pieced(&mut self, from: NodeId, index: Index, offset: usize, round: u64) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.heard = now;
        peer.round = peer.round.max(round);
        if let Some((snapshot, at, _)) = &mut peer.piece
            && snapshot.index == index
            && offset <= snapshot.data.len()
        {
            let more = offset != *at && offset < snapshot.data.len();
            *at = offset.min(snapshot.data.len());
            if more {
                self.send_piece(from);
            }
        }
        self.advance();
    }

    fn appended(&mut self, from: NodeId, matched: Index, next: Option<Index>, round: u64) {
        let (now, last) = (self.now, self.log.last_index());
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.heard = now;
        peer.round = peer.round.max(round);
        if matched > peer.matched {
            peer.matched = matched;
            peer.next = peer.next.max(matched + 1);
            if peer
                .piece
                .as_ref()
                .is_some_and(|(snapshot, ..)| snapshot.index <= matched)
            {
                peer.piece = None;
            }
        }
        while peer
            .in_flight
            .front()
            .is_some_and(|index| *index <= peer.matched)
        {
            peer.in_flight.pop_front();
        }
        if let Some(next) = next {
            peer.next = next.clamp(peer.matched + 1, last + 1);
            peer.in_flight.clear();
        }
        self.replicate(from, false);
        self.hand_over();
        self.advance();
    }

    fn hand_over(&mut self) {
        if let Some((to, _)) = self.transfer
            && self
                .peers
                .get(&to)
                .is_some_and(|peer| peer.matched == self.log.last_index())
        {
            self.send(to, MessageBody::TimeoutNow);
        }
    }

    /// Commits what a majority has, and answers reads that a majority has confirmed.
    fn advance(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let (majority, voters) = (self.members().majority(), self.members().voters());
        let (mut matched, mut rounds): (Vec<_>, Vec<_>) = voters
            .map(|id| match self.peers.get(&id) {
                Some(peer) => (peer.matched, peer.round),
                None if id == self.id => (self.durable_index, self.round),
                None => (0, 0),
            })
            .unzip();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let (matched, round) = (matched[majority - 1], rounds[majority - 1]);
        // Only entries of the own term are committed by counting.
        if matched > self.commit && self.log.term(matched) == Some(self.term) {
            self.commit_to(matched);
        }
        while self.reads.front().is_some_and(|(at, ..)| *at <= round) {
            let (_, token, index) = self.reads.pop_front().expect("just seen");
            self.out.push(Output::ReadReady(token, index));
        }
    }

    /// One round for all who wait, and the next when it has come back.
    fn begin_round(&mut self) {
        if self.role != Role::Leader || self.waiting.is_empty() || !self.reads.is_empty() {
            return;
        }
        self.round += 1;
        for token in std::mem::take(&mut self.waiting) {
            self.reads.push_back((self.round, token, self.commit));
        }
        self.broadcast(true);
        self.advance();
    }

    fn commit_to(&mut self, index: Index) {
        if index <= self.commit {
            return;
        }
        let from = self.commit + 1;
        let committed = (from..=index).map(|at| self.log.get(at).expect("verified").clone());
        let committed: Vec<_> = committed.collect();
        self.commit = index;
        let own = committed.iter().any(|entry| entry.term == self.term);
        self.out.push(Output::Committed(committed));
        if self.role != Role::Leader {
            return;
        }
        if own && !self.settled {
            self.settled = true;
            self.out.push(Output::LeaderReady(self.term));
        }
        let (at, members) = self.log.members();
        if at <= index {
            let (out, stays) = (!members.is_voter(self.id), members.0.clone());
            self.peers.retain(|id, _| stays.contains_key(id));
            if out {
                self.follow(self.term, None);
            }
        }
    }

    // A follower's log.

    fn take(
        &mut self,
        from: NodeId,
        prev: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        round: u64,
    ) {
        let swallowed = self.log.snapshot.index;
        let end = prev + entries.len() as Index;
        if prev > swallowed && self.log.term(prev) != Some(prev_term) {
            let next = match self.log.term(prev) {
                None => self.log.last_index() + 1,
                Some(_) => self.log.first_index_of_term(prev),
            };
            let matched = self.matched();
            return self.send(
                from,
                MessageBody::AppendResponse {
                    match_index: matched,
                    next_index_hint: Some(next),
                    round,
                },
            );
        }
        for entry in entries.into_iter().filter(|entry| entry.index > swallowed) {
            if self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.truncate(entry.index);
            }
            self.write().entries.push(entry.clone());
            self.log.push(entry);
        }
        self.verified = self.verified.max(end);
        let matched = self.matched();
        self.send(
            from,
            MessageBody::AppendResponse {
                match_index: matched,
                next_index_hint: None,
                round,
            },
        );
    }

    fn truncate(&mut self, from: Index) {
        assert!(from > self.commit, "a committed entry is never dropped");
        self.flush();
        self.write().truncate_from = Some(from);
        self.log.truncate_from(from);
        self.durable_index = self.durable_index.min(from - 1);
        for (_, index) in &mut self.writes {
            *index = (*index).min(from - 1);
        }
    }

    fn piece(&mut self, from: NodeId, piece: Snapshot, offset: usize, last: bool, round: u64) {
        let index = piece.index;
        if index <= self.commit {
            // Whoever leads has all that is committed (Leader Completeness).
            self.verified = self.verified.max(self.commit);
            let matched = self.matched();
            return self.send(
                from,
                MessageBody::AppendResponse {
                    match_index: matched,
                    next_index_hint: None,
                    round,
                },
            );
        }
        let same = |at: &Incoming| {
            at.from == from && (at.snapshot.index, at.snapshot.term) == (index, piece.term)
        };
        if !self.incoming.as_ref().is_some_and(same) {
            let data = Vec::new();
            self.incoming = Some(Incoming {
                from,
                snapshot: Snapshot {
                    data,
                    ..piece.clone()
                },
            });
        }
        let incoming = self.incoming.as_mut().expect("just made");
        let data = &mut incoming.snapshot.data;
        let mut done = false;
        if offset == data.len() && data.len() + piece.data.len() <= self.limits.max_snapshot_bytes {
            data.extend_from_slice(&piece.data);
            done = last;
        }
        let offset = data.len() as u64;
        self.send(
            from,
            MessageBody::SnapshotChunkResponse {
                index,
                next_offset: offset,
                round,
            },
        );
        if done {
            let incoming = self.incoming.take().expect("just seen");
            self.install(incoming.snapshot);
        }
    }

    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        let keep = self.log.term(index) == Some(snapshot.term);
        self.flush();
        let write = self.write();
        (write.snapshot, write.keep_suffix) = (Some(snapshot.clone()), keep);
        if keep {
            self.log.compact(snapshot.clone());
        } else {
            self.log = Log::new(snapshot.clone(), Vec::new());
            self.durable_index = 0;
            for (_, index) in &mut self.writes {
                *index = 0;
            }
        }
        self.verified = self.verified.max(index);
        self.commit = index;
        self.out.push(Output::SnapshotInstalled(snapshot));
    }
}
