//! The state machine of one node: elections, log replication, commitment and linearizable reads.

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

/// The role of a node in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Role {
    Follower,
    /// Collects pre-votes without entering a new term.
    PreCandidate,
    /// Collects votes in a new term.
    Candidate,
    Leader,
}

/// Why a call was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// This node is not the leader; contains the leader's id, if it is known.
    NotLeader(Option<NodeId>),
    /// The leader is transferring leadership, or has not committed an entry of its own term yet.
    NotNow,
    /// A limit is reached: uncommitted entries, pending reads, members, or the size of an entry.
    Full,
    /// The previous membership change is not committed yet.
    Changing,
    /// The change is invalid: the id is unknown, the member exists already, it is the last voter, or the member to
    /// promote lags too far behind.
    Senseless,
}

/// A node's state for status reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    pub role: Role,
    pub term: Term,
    pub leader: Option<NodeId>,
    pub commit_index: Index,
    pub last_index: Index,
    pub snapshot_index: Index,
    /// Whether the staleness check after the start is still running: the node neither votes nor acknowledges.
    pub awaits_staleness_check: bool,
    /// Whether the directory is an older copy; the node then ignores all inputs.
    pub is_stale: bool,
}

/// A leader's replication state for another member.
#[derive(Clone, Debug)]
struct Progress {
    /// The last index that the member has acknowledged.
    match_index: Index,
    /// The first index to send next.
    next_index: Index,
    /// The last index of each batch that is sent and not acknowledged.
    in_flight: VecDeque<Index>,
    /// The latest round that the member has answered.
    acked_round: u64,
    last_response_at: Millis,
    /// The snapshot in transfer, the number of bytes received by the member, and the time of the last chunk sent.
    snapshot_transfer: Option<(Arc<Snapshot>, usize, Millis)>,
}

impl Progress {
    fn new(next_index: Index, now: Millis) -> Self {
        let in_flight = VecDeque::new();
        Self {
            match_index: 0,
            next_index,
            in_flight,
            acked_round: 0,
            last_response_at: now,
            snapshot_transfer: None,
        }
    }
}

/// A snapshot that the leader is transferring to this node.
#[derive(Clone, Debug)]
struct IncomingSnapshot {
    from: NodeId,
    snapshot: Snapshot,
}

/// A node of the replicated log. It does no I/O: inputs go into [`Node::handle`], effects come out of
/// [`Node::take_outputs`].
#[derive(Clone, Debug)]
pub struct Node {
    id: NodeId,
    limits: Limits,
    rng: Pcg32,
    now: Millis,
    term: Term,
    voted_for: Option<NodeId>,
    log: Log,
    commit_index: Index,
    role: Role,
    leader: Option<NodeId>,
    /// When the leader of this term last sent a message.
    leader_contact_at: Option<Millis>,
    election_deadline: Millis,
    next_heartbeat_at: Millis,
    /// Responses to this node's requests for pre-votes or votes.
    votes: BTreeMap<NodeId, bool>,
    /// The log up to this index is known to match the log of this term's leader.
    verified_index: Index,
    incoming_snapshot: Option<IncomingSnapshot>,

    peers: BTreeMap<NodeId, Progress>,
    /// Whether this leader has committed an entry of its own term.
    has_committed_own_term: bool,
    /// The number of the latest heartbeat round; a round that a majority has answered confirms the leadership.
    round: u64,
    /// Reads for the next round.
    queued_reads: Vec<ReadId>,
    /// Reads of the current round: the round, the read, and the commit index when the round began.
    confirming_reads: VecDeque<(u64, ReadId, Index)>,
    /// The target and the deadline of a leadership transfer.
    transfer: Option<(NodeId, Millis)>,

    last_write_seq: WriteSeq,
    /// All writes up to this one are on disk.
    durable_seq: WriteSeq,
    /// The last log index that is on disk.
    durable_index: Index,
    /// Writes that are not on disk yet, each with its last log index.
    in_flight_writes: VecDeque<(WriteSeq, Index)>,
    pending_write: Option<DurableWrite>,
    /// The write that makes the current term and vote durable.
    hard_state_seq: WriteSeq,
    /// Messages that are sent once the write is on disk.
    held_messages: VecDeque<(WriteSeq, NodeId, Message)>,

    /// The highest `durable_seq` received from each member.
    seen_seqs: BTreeMap<NodeId, WriteSeq>,
    /// Members whose entry in `seen_seqs` is not written yet.
    unsaved_seen_ids: BTreeSet<NodeId>,
    /// Members that have confirmed that they have seen no write of this directory later than its last one.
    staleness_confirmations: BTreeSet<NodeId>,
    awaits_staleness_check: bool,
    next_staleness_request_at: Millis,
    is_stale: bool,
    outputs: Vec<Output>,
}

impl Node {
    /// Creates a node from the state of its directory; `seed` randomizes election timeouts.
    pub fn new(
        id: NodeId,
        durable_state: DurableState,
        limits: Limits,
        seed: u64,
        now: Millis,
    ) -> Self {
        let snapshot = durable_state.snapshot.unwrap_or(Snapshot {
            index: 0,
            term: 0,
            members: Members::default(),
            data: Vec::new(),
        });
        let mut outputs = Vec::new();
        if snapshot.index > 0 {
            outputs.push(Output::SnapshotInstalled(snapshot.clone()));
        }
        let log = Log::new(snapshot, durable_state.entries);
        let mut node = Self {
            id,
            rng: Pcg32::seed_from_u64(seed ^ id.0),
            now,
            term: durable_state.term,
            voted_for: durable_state.voted_for,
            commit_index: log.snapshot.index,
            role: Role::Follower,
            leader: None,
            leader_contact_at: None,
            election_deadline: now,
            next_heartbeat_at: now,
            votes: BTreeMap::new(),
            verified_index: 0,
            incoming_snapshot: None,
            peers: BTreeMap::new(),
            has_committed_own_term: false,
            round: 0,
            queued_reads: Vec::new(),
            confirming_reads: VecDeque::new(),
            transfer: None,
            last_write_seq: durable_state.seq,
            durable_seq: durable_state.seq,
            durable_index: log.last_index(),
            in_flight_writes: VecDeque::new(),
            pending_write: None,
            hard_state_seq: durable_state.seq,
            held_messages: VecDeque::new(),
            seen_seqs: durable_state.seen_seqs,
            unsaved_seen_ids: BTreeSet::new(),
            staleness_confirmations: BTreeSet::new(),
            awaits_staleness_check: true,
            next_staleness_request_at: now,
            is_stale: false,
            outputs,
            limits,
            log,
        };
        node.election_deadline = now + node.draw_election_timeout();
        node.update_staleness_check();
        node
    }

    pub fn id(&self) -> NodeId {
        self.id
    }

    /// The latest membership in the log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    /// A summary of the state for status reports.
    pub fn status(&self) -> Status {
        Status {
            role: self.role,
            term: self.term,
            leader: self.leader,
            commit_index: self.commit_index,
            last_index: self.log.last_index(),
            snapshot_index: self.log.snapshot.index,
            awaits_staleness_check: self.awaits_staleness_check,
            is_stale: self.is_stale,
        }
    }

    /// Hashes the state that determines further behaviour, except times and random numbers: a state explorer treats
    /// two nodes with the same hash as equal.
    pub fn hash_state(&self, hasher: &mut impl Hasher) {
        (
            self.id,
            self.term,
            self.voted_for,
            self.commit_index,
            self.role,
            self.leader,
        )
            .hash(hasher);
        (
            self.has_leader(),
            &self.votes,
            self.verified_index,
            self.has_committed_own_term,
            self.round,
        )
            .hash(hasher);
        (
            self.last_write_seq,
            self.durable_seq,
            self.durable_index,
            &self.in_flight_writes,
            self.hard_state_seq,
        )
            .hash(hasher);
        (
            &self.seen_seqs,
            &self.staleness_confirmations,
            self.awaits_staleness_check,
            self.is_stale,
            &self.queued_reads,
            &self.confirming_reads,
        )
            .hash(hasher);
        (
            self.log.snapshot.index,
            self.log.last_index(),
            self.transfer.map(|(to, _)| to),
        )
            .hash(hasher);
        for index in self.log.snapshot.index + 1..=self.log.last_index() {
            self.log.get(index).hash(hasher);
        }
        for (id, peer) in &self.peers {
            (
                id,
                peer.match_index,
                peer.next_index,
                &peer.in_flight,
                peer.acked_round,
            )
                .hash(hasher);
        }
        self.held_messages.hash(hasher);
    }

    /// Whether this node is the leader and its state machine includes every entry committed in earlier terms.
    pub fn is_ready_leader(&self) -> bool {
        self.role == Role::Leader && self.has_committed_own_term
    }

    /// The number of voters, including this leader, that have responded within the last `window` milliseconds.
    pub fn active_voter_count(&self, window: Millis) -> usize {
        let is_active = |id: &NodeId| {
            let peer = self.peers.get(id);
            *id == self.id || peer.is_some_and(|peer| peer.last_response_at + window > self.now)
        };
        self.members().voters().filter(is_active).count()
    }

    /// Processes one input at time `now`. A stale node ignores all inputs.
    pub fn handle(&mut self, now: Millis, input: Input) {
        self.now = self.now.max(now);
        if self.is_stale {
            return;
        }
        match input {
            Input::Tick => self.handle_tick(),
            Input::Message(from, message) => self.handle_message(from, message),
            Input::Persisted(seq) => self.handle_persisted(seq),
        }
    }

    /// Returns the outputs since the last call, and starts a round for queued reads.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        if !self.is_stale {
            self.start_read_round();
        }
        self.flush_pending_write();
        std::mem::take(&mut self.outputs)
    }

    /// Appends a command. It takes effect when an entry with the returned term and index is committed.
    ///
    /// # Errors
    /// [`Rejection::NotLeader`], [`Rejection::NotNow`], or [`Rejection::Full`] when the command is too large or too
    /// many entries are uncommitted.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<(Term, Index), Rejection> {
        self.check_append_allowed()?;
        if command.len() > self.limits.max_entry_bytes {
            return Err(Rejection::Full);
        }
        Ok((self.term, self.append_entry(Payload::Command(command))))
    }

    /// Appends a membership change.
    ///
    /// # Errors
    /// A rejection while another change is uncommitted, for an invalid change, and for the promotion of a member that
    /// lags by more than `max_promotion_lag` entries.
    pub fn change_membership(
        &mut self,
        change: MembershipChange,
    ) -> Result<(Term, Index), Rejection> {
        self.check_append_allowed()?;
        let (members_index, members) = self.log.members();
        if members_index > self.commit_index {
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
                // The member must have acknowledged at least the entry that added it: otherwise an empty log would
                // count as caught up with a short one.
                let match_index = self.peers.get(&id).map_or(0, |peer| peer.match_index);
                let lag = self.log.last_index() - match_index;
                let is_caught_up =
                    match_index >= members_index && lag <= self.limits.max_promotion_lag;
                let member = members
                    .0
                    .get_mut(&id)
                    .filter(|member| is_caught_up && !member.is_voter);
                member.ok_or(Rejection::Senseless)?.is_voter = true;
            }
            MembershipChange::Remove(id) => {
                members.0.remove(&id).ok_or(Rejection::Senseless)?;
                if members.voters().next().is_none() {
                    return Err(Rejection::Senseless);
                }
            }
        }
        let index = self.append_entry(Payload::Members(members.clone()));
        let (next_index, now) = (self.log.last_index(), self.now);
        for id in members.0.keys().filter(|id| **id != self.id) {
            self.peers
                .entry(*id)
                .or_insert_with(|| Progress::new(next_index, now));
        }
        self.replicate_to_all(false);
        Ok((self.term, index))
    }

    /// Requests a linearizable read. [`Output::ReadReady`] names the index that must be applied first.
    ///
    /// # Errors
    /// [`Rejection::NotLeader`], [`Rejection::NotNow`], or [`Rejection::Full`] when too many reads are pending.
    pub fn request_read(&mut self, read_id: ReadId) -> Result<(), Rejection> {
        if self.role != Role::Leader {
            return Err(Rejection::NotLeader(self.leader));
        }
        if !self.has_committed_own_term {
            return Err(Rejection::NotNow);
        }
        if self.queued_reads.len() + self.confirming_reads.len() >= self.limits.max_pending_reads {
            return Err(Rejection::Full);
        }
        self.queued_reads.push(read_id);
        Ok(())
    }

    /// Transfers leadership to another voter once it has the whole log. The transfer is abandoned after
    /// `election_timeout`.
    ///
    /// # Errors
    /// [`Rejection::NotLeader`], or [`Rejection::Senseless`] when the target is not another voter.
    pub fn transfer_leadership(&mut self, to: NodeId) -> Result<(), Rejection> {
        if self.role != Role::Leader {
            return Err(Rejection::NotLeader(self.leader));
        }
        if to == self.id || !self.members().is_voter(to) {
            return Err(Rejection::Senseless);
        }
        self.transfer = Some((to, self.now + self.limits.election_timeout));
        self.send_timeout_now_if_caught_up();
        Ok(())
    }

    /// Returns the recently active voter with the most complete log, as the target of a leadership transfer.
    pub fn transfer_target(&self) -> Option<NodeId> {
        let voters = self.members().voters().filter(|id| *id != self.id);
        let is_active = |id: &NodeId| {
            self.peers
                .get(id)
                .is_some_and(|peer| peer.last_response_at + self.limits.election_timeout > self.now)
        };
        voters
            .filter(is_active)
            .max_by_key(|id| self.peers.get(id).map(|peer| peer.match_index))
    }

    /// Replaces the entries up to `index` with a snapshot; `data` is the state machine after the entry at `index`.
    ///
    /// # Panics
    /// If that entry is not committed.
    pub fn compact(&mut self, index: Index, data: Vec<u8>) {
        assert!(
            index <= self.commit_index,
            "snapshot of uncommitted entries"
        );
        if index <= self.log.snapshot.index {
            return;
        }
        let term = self
            .log
            .term(index)
            .expect("a committed entry after the snapshot is in the log");
        let members = self.log.members_at(index).clone();
        let snapshot = Snapshot {
            index,
            term,
            members,
            data,
        };
        self.flush_pending_write();
        let write = self.pending_write_mut();
        (write.snapshot, write.keep_suffix) = (Some(snapshot.clone()), true);
        self.log.compact(snapshot);
    }

    fn check_append_allowed(&self) -> Result<(), Rejection> {
        match self.role {
            Role::Leader if !self.has_committed_own_term || self.transfer.is_some() => {
                Err(Rejection::NotNow)
            }
            Role::Leader
                if self.log.last_index() - self.commit_index
                    >= self.limits.max_uncommitted_entries as u64 =>
            {
                Err(Rejection::Full)
            }
            Role::Leader => Ok(()),
            _ => Err(Rejection::NotLeader(self.leader)),
        }
    }

    // Timers.

    fn draw_election_timeout(&mut self) -> Millis {
        let timeout = self.limits.election_timeout;
        self.rng.random_range(timeout..2 * timeout)
    }

    fn handle_tick(&mut self) {
        if self.awaits_staleness_check {
            if self.now >= self.next_staleness_request_at {
                self.next_staleness_request_at = self.now + self.limits.heartbeat_interval;
                for id in self.other_member_ids() {
                    self.send(id, MessageBody::StalenessRequest);
                }
            }
            return;
        }
        if self.role == Role::Leader {
            if self.active_voter_count(self.limits.election_timeout) < self.members().majority() {
                // Check-quorum: a leader without responses from a majority steps down.
                self.become_follower(self.term, None);
                return;
            }
            if self
                .transfer
                .is_some_and(|(_, deadline)| self.now >= deadline)
            {
                self.transfer = None;
            }
            if self.now >= self.next_heartbeat_at {
                self.round += 1;
                self.replicate_to_all(true);
            }
        } else if self.now >= self.election_deadline {
            self.start_election(true, false);
        }
    }

    fn other_member_ids(&self) -> Vec<NodeId> {
        self.members()
            .0
            .keys()
            .copied()
            .filter(|id| *id != self.id)
            .collect()
    }

    fn other_voter_ids(&self) -> Vec<NodeId> {
        self.members()
            .voters()
            .filter(|id| *id != self.id)
            .collect()
    }

    // Durable writes.

    /// Returns the write that collects changes until it is flushed.
    fn pending_write_mut(&mut self) -> &mut DurableWrite {
        if self.pending_write.is_none() {
            self.last_write_seq += 1;
            let unsaved_ids = std::mem::take(&mut self.unsaved_seen_ids);
            let unsaved_seqs = unsaved_ids
                .into_iter()
                .filter_map(|id| Some((id, *self.seen_seqs.get(&id)?)));
            self.pending_write = Some(DurableWrite {
                seq: self.last_write_seq,
                seen_seqs: unsaved_seqs.collect(),
                ..DurableWrite::default()
            });
        }
        self.pending_write.as_mut().expect("created above")
    }

    fn flush_pending_write(&mut self) {
        if let Some(mut write) = self.pending_write.take() {
            (write.term, write.voted_for) = (self.term, self.voted_for);
            let last_entry_index = write.entries.last().map(|entry| entry.index);
            let snapshot_index = write.snapshot.as_ref().map(|snapshot| snapshot.index);
            self.in_flight_writes
                .push_back((write.seq, last_entry_index.or(snapshot_index).unwrap_or(0)));
            self.outputs.push(Output::Write(write));
        }
    }

    fn set_hard_state(&mut self, term: Term, voted_for: Option<NodeId>) {
        if (self.term, self.voted_for) != (term, voted_for) {
            (self.term, self.voted_for) = (term, voted_for);
            self.hard_state_seq = self.pending_write_mut().seq;
        }
    }

    fn handle_persisted(&mut self, seq: WriteSeq) {
        self.durable_seq = self.durable_seq.max(seq.min(self.last_write_seq));
        let previous_index = self.acknowledgeable_index();
        while let Some((write_seq, index)) = self.in_flight_writes.front().copied() {
            if write_seq > self.durable_seq {
                break;
            }
            self.in_flight_writes.pop_front();
            self.durable_index = self.durable_index.max(index);
        }
        while self
            .held_messages
            .front()
            .is_some_and(|(write_seq, ..)| *write_seq <= self.durable_seq)
        {
            let (_, to, mut message) = self
                .held_messages
                .pop_front()
                .expect("the queue is not empty");
            message.durable_seq = self.durable_seq;
            self.outputs.push(Output::Send(to, message));
        }
        match self.role {
            Role::Leader => self.advance_commit_and_reads(),
            Role::Candidate
                if self.hard_state_seq <= self.durable_seq
                    && !self.votes.contains_key(&self.id) =>
            {
                self.votes.insert(self.id, true);
                self.count_votes();
            }
            Role::Follower if self.acknowledgeable_index() > previous_index => {
                if let Some(leader) = self.leader {
                    let match_index = self.acknowledgeable_index();
                    self.send(
                        leader,
                        MessageBody::AppendResponse {
                            match_index,
                            next_index_hint: None,
                            round: 0,
                        },
                    );
                }
            }
            _ => {}
        }
    }

    /// The highest index that a follower may acknowledge: it is on disk and matches the leader's log.
    fn acknowledgeable_index(&self) -> Index {
        self.verified_index.min(self.durable_index)
    }

    fn send(&mut self, to: NodeId, body: MessageBody) {
        let term = match body {
            MessageBody::PreVoteRequest { .. } => self.term + 1,
            _ => self.term,
        };
        self.send_with_term(to, term, body);
    }

    fn send_with_term(&mut self, to: NodeId, term: Term, body: MessageBody) {
        let message = Message {
            term,
            durable_seq: self.durable_seq,
            body,
        };
        // Sync Before Answer: no message depends on a term or a vote that is not on disk yet.
        if self.hard_state_seq > self.durable_seq {
            // Bounds the queue: the oldest message is dropped, as a network link may drop it.
            if self.held_messages.len() >= 16 * self.limits.max_members {
                self.held_messages.pop_front();
            }
            self.held_messages
                .push_back((self.hard_state_seq, to, message));
        } else {
            self.outputs.push(Output::Send(to, message));
        }
    }

    // The staleness check after a start.

    /// Ends the staleness check once enough members have confirmed that this directory is not an older copy.
    fn update_staleness_check(&mut self) {
        let members = self.members();
        let voter_count = members.voters().count();
        let required = match (voter_count, members.is_voter(self.id)) {
            (0, _) => 1,
            (_, true) => members.majority() - 1,
            (_, false) => members.majority(),
        };
        let confirmations = self
            .staleness_confirmations
            .iter()
            .filter(|id| voter_count == 0 || members.is_voter(**id));
        if self.awaits_staleness_check && confirmations.count() >= required {
            self.awaits_staleness_check = false;
            self.election_deadline = self.now + self.draw_election_timeout();
        }
    }

    fn record_seen_seq(&mut self, from: NodeId, durable_seq: WriteSeq) {
        if self.members().0.contains_key(&from) {
            let seen_seq = self.seen_seqs.entry(from).or_default();
            if durable_seq > *seen_seq {
                *seen_seq = durable_seq;
                self.unsaved_seen_ids.insert(from);
            }
        }
    }

    // Messages.

    fn handle_message(&mut self, from: NodeId, message: Message) {
        self.record_seen_seq(from, message.durable_seq);
        match message.body {
            MessageBody::StalenessRequest => {
                let seen_seq = self.seen_seqs.get(&from).copied().unwrap_or(0);
                return self.send(from, MessageBody::StalenessResponse(seen_seq));
            }
            MessageBody::StalenessResponse(seen_seq) => {
                if seen_seq > self.durable_seq {
                    self.is_stale = true;
                    self.role = Role::Follower;
                    self.held_messages.clear();
                    self.outputs.push(Output::Stale {
                        own: self.durable_seq,
                        seen: seen_seq,
                    });
                } else {
                    self.staleness_confirmations.insert(from);
                    self.update_staleness_check();
                }
                return;
            }
            _ if self.awaits_staleness_check => {
                return self.send(from, MessageBody::StalenessRequest);
            }
            MessageBody::PreVoteRequest {
                last_index,
                last_term,
            } => {
                return self.handle_pre_vote_request(from, message.term, last_index, last_term);
            }
            MessageBody::PreVoteResponse { granted: true } => {
                if self.role == Role::PreCandidate && message.term == self.term + 1 {
                    self.votes.insert(from, true);
                    self.count_votes();
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
                // Informs the leader of an older term that a newer term has begun.
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
            self.become_follower(message.term, None);
        }
        match message.body {
            MessageBody::VoteRequest {
                last_index,
                last_term,
                ..
            } => self.handle_vote_request(from, last_index, last_term),
            MessageBody::VoteResponse { granted } if self.role == Role::Candidate => {
                self.votes.insert(from, granted);
                self.count_votes();
            }
            MessageBody::AppendRequest {
                prev_index,
                prev_term,
                entries,
                commit_index,
                round,
            } => {
                self.accept_leader(from);
                self.handle_append_request(from, prev_index, prev_term, entries, round);
                self.commit_to(commit_index.min(self.verified_index));
            }
            MessageBody::SnapshotChunk {
                index,
                term,
                members,
                offset,
                data,
                is_last,
                round,
            } => {
                self.accept_leader(from);
                let chunk = Snapshot {
                    index,
                    term,
                    members,
                    data,
                };
                self.handle_snapshot_chunk(from, chunk, offset as usize, is_last, round);
            }
            MessageBody::AppendResponse {
                match_index,
                next_index_hint,
                round,
            } if self.role == Role::Leader => {
                self.handle_append_response(from, match_index, next_index_hint, round);
            }
            MessageBody::SnapshotChunkResponse {
                index,
                next_offset,
                round,
            } if self.role == Role::Leader => {
                self.handle_snapshot_chunk_response(from, index, next_offset as usize, round);
            }
            MessageBody::TimeoutNow if self.leader == Some(from) => {
                self.start_election(false, true)
            }
            _ => {}
        }
    }

    /// Whether this node leads or received a leader's message within `election_timeout`. It then grants no
    /// vote, except in a leadership transfer.
    fn has_leader(&self) -> bool {
        let is_recent = |contact_at: Millis| self.now < contact_at + self.limits.election_timeout;
        self.role == Role::Leader
            || (self.leader.is_some() && self.leader_contact_at.is_some_and(is_recent))
    }

    fn is_log_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    // Elections.

    fn become_follower(&mut self, term: Term, leader: Option<NodeId>) {
        let was_leader = self.role == Role::Leader;
        if term > self.term {
            self.set_hard_state(term, None);
            self.verified_index = 0;
            self.incoming_snapshot = None;
            self.leader_contact_at = None;
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.votes.clear();
        self.election_deadline = self.now + self.draw_election_timeout();
        if was_leader {
            self.peers.clear();
            self.has_committed_own_term = false;
            self.transfer = None;
            self.leader_contact_at = None;
            let queued = self.queued_reads.drain(..);
            let confirming = self
                .confirming_reads
                .drain(..)
                .map(|(_, read_id, _)| read_id);
            let failed: Vec<_> = queued.chain(confirming).map(Output::ReadFailed).collect();
            self.outputs.extend(failed);
            self.outputs.push(Output::SteppedDown(self.term));
        }
    }

    /// Follows the sender as the leader of this term.
    fn accept_leader(&mut self, from: NodeId) {
        if self.role != Role::Follower || self.leader != Some(from) {
            self.become_follower(self.term, Some(from));
        }
        self.leader_contact_at = Some(self.now);
        self.election_deadline = self.now + self.draw_election_timeout();
    }

    fn start_election(&mut self, is_pre_vote: bool, is_transfer: bool) {
        self.election_deadline = self.now + self.draw_election_timeout();
        if !self.members().is_voter(self.id) {
            return;
        }
        self.leader = None;
        self.votes.clear();
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        if is_pre_vote {
            self.role = Role::PreCandidate;
            self.votes.insert(self.id, true);
            for id in self.other_voter_ids() {
                self.send(
                    id,
                    MessageBody::PreVoteRequest {
                        last_index,
                        last_term,
                    },
                );
            }
            self.count_votes();
        } else {
            self.role = Role::Candidate;
            self.verified_index = 0;
            self.incoming_snapshot = None;
            self.set_hard_state(self.term + 1, Some(self.id));
            for id in self.other_voter_ids() {
                self.send(
                    id,
                    MessageBody::VoteRequest {
                        last_index,
                        last_term,
                        is_transfer,
                    },
                );
            }
        }
    }

    fn handle_pre_vote_request(
        &mut self,
        from: NodeId,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let granted =
            !self.has_leader() && term > self.term && self.is_log_up_to_date(last_index, last_term);
        if granted {
            self.send_with_term(from, term, MessageBody::PreVoteResponse { granted });
        } else if term <= self.term {
            // Notifies the sender of the current term, which is newer.
            self.send(from, MessageBody::VoteResponse { granted });
        }
    }

    fn handle_vote_request(&mut self, from: NodeId, last_index: Index, last_term: Term) {
        let can_vote = self.voted_for.is_none() || self.voted_for == Some(from);
        let granted = can_vote
            && self.role == Role::Follower
            && self.is_log_up_to_date(last_index, last_term);
        if granted {
            self.set_hard_state(self.term, Some(from));
            self.election_deadline = self.now + self.draw_election_timeout();
        }
        self.send(from, MessageBody::VoteResponse { granted });
    }

    /// Starts the next stage of the election once a majority has granted its vote.
    fn count_votes(&mut self) {
        let members = self.members();
        let is_granted_by_voter =
            |(id, granted): &(&NodeId, &bool)| **granted && members.is_voter(**id);
        if self.votes.iter().filter(is_granted_by_voter).count() < members.majority() {
            return;
        }
        match self.role {
            Role::PreCandidate => self.start_election(false, false),
            Role::Candidate => self.become_leader(),
            Role::Follower | Role::Leader => {}
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.has_committed_own_term = false;
        self.round = 0;
        let (next_index, now) = (self.log.last_index() + 1, self.now);
        self.peers = self
            .other_member_ids()
            .into_iter()
            .map(|id| (id, Progress::new(next_index, now)))
            .collect();
        self.append_entry(Payload::Noop);
        self.round += 1;
        self.replicate_to_all(true);
        self.advance_commit_and_reads();
    }

    // Replication: the leader's side.

    fn append_entry(&mut self, payload: Payload) -> Index {
        let entry = Entry {
            term: self.term,
            index: self.log.last_index() + 1,
            payload,
        };
        let index = entry.index;
        self.pending_write_mut().entries.push(entry.clone());
        self.log.push(entry);
        self.replicate_to_all(false);
        index
    }

    fn replicate_to_all(&mut self, heartbeat: bool) {
        if heartbeat {
            self.next_heartbeat_at = self.now + self.limits.heartbeat_interval;
        }
        let ids: Vec<_> = self.peers.keys().copied().collect();
        for id in ids {
            self.replicate_to(id, heartbeat);
        }
    }

    /// Sends a member the entries or the snapshot chunk that it lacks, within the in-flight window. With `heartbeat` at
    /// least one message is sent.
    fn replicate_to(&mut self, to: NodeId, mut heartbeat: bool) {
        let (commit_index, round, last_index) =
            (self.commit_index, self.round, self.log.last_index());
        loop {
            let Some(peer) = self.peers.get_mut(&to) else {
                return;
            };
            if peer.next_index <= self.log.snapshot.index || peer.snapshot_transfer.is_some() {
                let resend_interval = 2 * self.limits.heartbeat_interval;
                let snapshot = self.log.snapshot.clone();
                let is_new_transfer = peer.snapshot_transfer.is_none();
                let transfer = peer
                    .snapshot_transfer
                    .get_or_insert((snapshot, 0, self.now));
                if is_new_transfer || self.now >= transfer.2 + resend_interval {
                    self.send_snapshot_chunk(to);
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
            let prev_index = peer.next_index - 1;
            let has_window = peer.in_flight.len() < self.limits.max_in_flight_batches;
            let entries = match has_window && peer.next_index <= last_index {
                true => self
                    .log
                    .entries_from(peer.next_index, self.limits.max_batch_bytes),
                false => Vec::new(),
            };
            if entries.is_empty() && !heartbeat {
                return;
            }
            heartbeat = false;
            if let Some(entry) = entries.last() {
                peer.next_index = entry.index + 1;
                peer.in_flight.push_back(entry.index);
            }
            let prev_term = self
                .log
                .term(prev_index)
                .expect("entries from the snapshot on are in the log");
            self.send(
                to,
                MessageBody::AppendRequest {
                    prev_index,
                    prev_term,
                    entries,
                    commit_index,
                    round,
                },
            );
        }
    }

    fn send_snapshot_chunk(&mut self, to: NodeId) {
        let (now, round) = (self.now, self.round);
        let Some(peer) = self.peers.get_mut(&to) else {
            return;
        };
        let Some((snapshot, offset, sent_at)) = &mut peer.snapshot_transfer else {
            return;
        };
        *sent_at = now;
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

    fn handle_snapshot_chunk_response(
        &mut self,
        from: NodeId,
        index: Index,
        next_offset: usize,
        round: u64,
    ) {
        let now = self.now;
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.last_response_at = now;
        peer.acked_round = peer.acked_round.max(round);
        if let Some((snapshot, sent_offset, _)) = &mut peer.snapshot_transfer
            && snapshot.index == index
            && next_offset <= snapshot.data.len()
        {
            let should_send_next = next_offset != *sent_offset && next_offset < snapshot.data.len();
            *sent_offset = next_offset.min(snapshot.data.len());
            if should_send_next {
                self.send_snapshot_chunk(from);
            }
        }
        self.advance_commit_and_reads();
    }

    fn handle_append_response(
        &mut self,
        from: NodeId,
        match_index: Index,
        next_index_hint: Option<Index>,
        round: u64,
    ) {
        let (now, last_index) = (self.now, self.log.last_index());
        let Some(peer) = self.peers.get_mut(&from) else {
            return;
        };
        peer.last_response_at = now;
        peer.acked_round = peer.acked_round.max(round);
        if match_index > peer.match_index {
            peer.match_index = match_index;
            peer.next_index = peer.next_index.max(match_index + 1);
            if peer
                .snapshot_transfer
                .as_ref()
                .is_some_and(|(snapshot, ..)| snapshot.index <= match_index)
            {
                peer.snapshot_transfer = None;
            }
        }
        while peer
            .in_flight
            .front()
            .is_some_and(|index| *index <= peer.match_index)
        {
            peer.in_flight.pop_front();
        }
        if let Some(next_index) = next_index_hint {
            peer.next_index = next_index.clamp(peer.match_index + 1, last_index + 1);
            peer.in_flight.clear();
        }
        self.replicate_to(from, false);
        self.send_timeout_now_if_caught_up();
        self.advance_commit_and_reads();
    }

    fn send_timeout_now_if_caught_up(&mut self) {
        if let Some((to, _)) = self.transfer
            && self
                .peers
                .get(&to)
                .is_some_and(|peer| peer.match_index == self.log.last_index())
        {
            self.send(to, MessageBody::TimeoutNow);
        }
    }

    /// Commits entries that are on a majority of voters, and completes reads whose round a majority has answered.
    fn advance_commit_and_reads(&mut self) {
        if self.role != Role::Leader {
            return;
        }
        let (majority, voters) = (self.members().majority(), self.members().voters());
        let (mut match_indices, mut rounds): (Vec<_>, Vec<_>) = voters
            .map(|id| match self.peers.get(&id) {
                Some(peer) => (peer.match_index, peer.acked_round),
                None if id == self.id => (self.durable_index, self.round),
                None => (0, 0),
            })
            .unzip();
        match_indices.sort_unstable_by(|a, b| b.cmp(a));
        rounds.sort_unstable_by(|a, b| b.cmp(a));
        let (match_index, round) = (match_indices[majority - 1], rounds[majority - 1]);
        // Only entries of the leader's own term are committed by counting replicas.
        if match_index > self.commit_index && self.log.term(match_index) == Some(self.term) {
            self.commit_to(match_index);
        }
        while self
            .confirming_reads
            .front()
            .is_some_and(|(read_round, ..)| *read_round <= round)
        {
            let (_, read_id, index) = self
                .confirming_reads
                .pop_front()
                .expect("the queue is not empty");
            self.outputs.push(Output::ReadReady(read_id, index));
        }
    }

    /// Starts one round for all queued reads, unless the previous read round is unconfirmed.
    fn start_read_round(&mut self) {
        if self.role != Role::Leader
            || self.queued_reads.is_empty()
            || !self.confirming_reads.is_empty()
        {
            return;
        }
        self.round += 1;
        for read_id in std::mem::take(&mut self.queued_reads) {
            self.confirming_reads
                .push_back((self.round, read_id, self.commit_index));
        }
        self.replicate_to_all(true);
        self.advance_commit_and_reads();
    }

    /// Commits the entries up to `index`, and steps down if a committed change has removed this leader's vote.
    fn commit_to(&mut self, index: Index) {
        if index <= self.commit_index {
            return;
        }
        let from = self.commit_index + 1;
        let committed = (from..=index).map(|entry_index| {
            self.log
                .get(entry_index)
                .expect("an entry to commit is in the log")
                .clone()
        });
        let committed: Vec<_> = committed.collect();
        self.commit_index = index;
        let has_own_term = committed.iter().any(|entry| entry.term == self.term);
        self.outputs.push(Output::Committed(committed));
        if self.role != Role::Leader {
            return;
        }
        if has_own_term && !self.has_committed_own_term {
            self.has_committed_own_term = true;
            self.outputs.push(Output::LeaderReady(self.term));
        }
        let (members_index, members) = self.log.members();
        if members_index <= index {
            let (is_removed, remaining) = (!members.is_voter(self.id), members.0.clone());
            self.peers.retain(|id, _| remaining.contains_key(id));
            if is_removed {
                self.become_follower(self.term, None);
            }
        }
    }

    // Replication: the follower's side.

    fn handle_append_request(
        &mut self,
        from: NodeId,
        prev_index: Index,
        prev_term: Term,
        entries: Vec<Entry>,
        round: u64,
    ) {
        let snapshot_index = self.log.snapshot.index;
        let end_index = prev_index + entries.len() as Index;
        if prev_index > snapshot_index && self.log.term(prev_index) != Some(prev_term) {
            let next_index = match self.log.term(prev_index) {
                None => self.log.last_index() + 1,
                Some(_) => self.log.first_index_of_term(prev_index),
            };
            let match_index = self.acknowledgeable_index();
            return self.send(
                from,
                MessageBody::AppendResponse {
                    match_index,
                    next_index_hint: Some(next_index),
                    round,
                },
            );
        }
        for entry in entries
            .into_iter()
            .filter(|entry| entry.index > snapshot_index)
        {
            if self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            if entry.index <= self.log.last_index() {
                self.truncate_log_from(entry.index);
            }
            self.pending_write_mut().entries.push(entry.clone());
            self.log.push(entry);
        }
        self.verified_index = self.verified_index.max(end_index);
        let match_index = self.acknowledgeable_index();
        self.send(
            from,
            MessageBody::AppendResponse {
                match_index,
                next_index_hint: None,
                round,
            },
        );
    }

    /// Drops uncommitted entries that conflict with the leader's log.
    fn truncate_log_from(&mut self, from: Index) {
        assert!(
            from > self.commit_index,
            "committed entries are never truncated"
        );
        self.flush_pending_write();
        self.pending_write_mut().truncate_from = Some(from);
        self.log.truncate_from(from);
        self.durable_index = self.durable_index.min(from - 1);
        for (_, index) in &mut self.in_flight_writes {
            *index = (*index).min(from - 1);
        }
    }

    fn handle_snapshot_chunk(
        &mut self,
        from: NodeId,
        chunk: Snapshot,
        offset: usize,
        is_last: bool,
        round: u64,
    ) {
        let index = chunk.index;
        if index <= self.commit_index {
            // The leader has every committed entry (Leader Completeness).
            self.verified_index = self.verified_index.max(self.commit_index);
            let match_index = self.acknowledgeable_index();
            return self.send(
                from,
                MessageBody::AppendResponse {
                    match_index,
                    next_index_hint: None,
                    round,
                },
            );
        }
        let is_same_snapshot = |incoming: &IncomingSnapshot| {
            incoming.from == from
                && (incoming.snapshot.index, incoming.snapshot.term) == (index, chunk.term)
        };
        if !self
            .incoming_snapshot
            .as_ref()
            .is_some_and(is_same_snapshot)
        {
            let data = Vec::new();
            self.incoming_snapshot = Some(IncomingSnapshot {
                from,
                snapshot: Snapshot {
                    data,
                    ..chunk.clone()
                },
            });
        }
        let incoming = self.incoming_snapshot.as_mut().expect("created above");
        let data = &mut incoming.snapshot.data;
        let mut is_complete = false;
        if offset == data.len() && data.len() + chunk.data.len() <= self.limits.max_snapshot_bytes {
            data.extend_from_slice(&chunk.data);
            is_complete = is_last;
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
        if is_complete {
            let incoming = self.incoming_snapshot.take().expect("created above");
            self.install_snapshot(incoming.snapshot);
        }
    }

    fn install_snapshot(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        let keep_suffix = self.log.term(index) == Some(snapshot.term);
        self.flush_pending_write();
        let write = self.pending_write_mut();
        (write.snapshot, write.keep_suffix) = (Some(snapshot.clone()), keep_suffix);
        if keep_suffix {
            self.log.compact(snapshot.clone());
        } else {
            self.log = Log::new(snapshot.clone(), Vec::new());
            self.durable_index = 0;
            for (_, index) in &mut self.in_flight_writes {
                *index = 0;
            }
        }
        self.verified_index = self.verified_index.max(index);
        self.commit_index = index;
        self.outputs.push(Output::SnapshotInstalled(snapshot));
    }
}
