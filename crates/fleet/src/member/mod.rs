//! One process of the fleet: the log and state if it is a voter, the leader's tasks while it leads, and the client
//! side of a session, which every member has.

mod leader;
mod log;
mod operators;
mod work_orders;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use violetwind_consensus::{
    Index, Input as LogInput, MembershipChange, Millis, Node, NodeId, Output as LogOutput, Payload,
    ReadId, Rejection, Term,
};

use crate::budget::{Acquisition, BudgetDefinition, BudgetKind, ShareAllocator};
use crate::events::{Event, LossReason};
use crate::formation::{Formation, FormationStep};
use crate::leases::LeaseTable;
use crate::limits::Limits;
use crate::messages::{
    BudgetView, DutyView, FleetAction, FleetView, FormationStatus, Input, LeaderReply,
    LeaderRequest, MemberRecord, MemberView, Name, Number, OperatorAnswer, OperatorCall, Output,
    PeerMessage, SavedState, SessionId,
};
use crate::session_client::SessionClient;
use crate::state::{Command, Effect, State};

/// Set in the numbers of requests on behalf of operators, and clear in those of the member's own session.
const OPERATOR_CALL_BIT: Number = 1 << 63;

/// The configuration of a member.
#[derive(Clone, Debug)]
pub struct Config {
    /// This member's own name.
    pub node: Name,
    /// All configured members, and whether they are configured as voters.
    pub peers: BTreeMap<Name, bool>,
    /// The duties that this member can hold.
    pub duties: Vec<Name>,
    pub budgets: Vec<BudgetDefinition>,
    /// The budgets that are counted elsewhere in this process, not by units acquired at this member.
    pub external_budgets: BTreeSet<Name>,
    /// Whether this member takes part in work orders on machines.
    pub work_enabled: bool,
    pub limits: Limits,
}

impl Config {
    fn voters(&self) -> BTreeSet<Name> {
        let voters = self.peers.iter().filter(|(_, votes)| **votes);
        voters.map(|(name, _)| name.clone()).collect()
    }
}

/// A voter before and after the fleet is formed.
#[derive(Clone, Debug)]
enum Voter {
    Forming(Formation),
    Running(Box<RunningVoter>),
}

/// A voter of a formed fleet.
#[derive(Clone, Debug)]
struct RunningVoter {
    node: Node,
    state: State,
    applied_index: Index,
    leases: LeaseTable,
    /// Requests whose replies wait until the log entry of that index and term is applied.
    pending_proposals: BTreeMap<Index, (Term, Name, Number, LeaderRequest)>,
    /// Requests that wait until a majority has confirmed that this member still leads.
    pending_confirmations: BTreeMap<ReadId, (Name, Number, LeaderRequest)>,
    last_read_id: ReadId,
    /// Admissions and evictions in progress, by member.
    membership_jobs: BTreeMap<Name, MembershipJob>,
    allocator: ShareAllocator,
    work_reports: work_orders::WorkReports,
    /// The log entry that raises shares and is not applied yet.
    pending_raise: Option<Index>,
    /// When each stranded share was first seen here. The key has the budget, the number of the stranded share, and
    /// whether its process is known to be gone.
    stranded_since: BTreeMap<(Name, Number, bool), Millis>,
    agreed_members: Option<violetwind_consensus::Members>,
    /// Why this program can't read an entry or a snapshot; it is too old for the log then, and applies nothing.
    halt_reason: Option<String>,
}

/// The admission or eviction of a member, and the request to reply to when it is done.
#[derive(Clone, Debug)]
struct MembershipJob {
    /// Whether the member is admitted, not evicted.
    is_admission: bool,
    requester: Name,
    request_number: Number,
}

/// An operator's call that waits for the leader's reply.
#[derive(Clone, Debug)]
struct PendingCall {
    call_number: Number,
    request: LeaderRequest,
    started_at: Millis,
    sent_at: Millis,
    /// When the request is sent again.
    retry_at: Millis,
}

/// An operator's call for a unit of a budget.
#[derive(Clone, Debug)]
struct UnitRequest {
    call_number: Number,
    budget: Name,
    token: Name,
    hold_timeout: Millis,
    deadline: Millis,
}

/// Units that operators' programs hold, by budget and token, with the time at which each is released; and the calls
/// that wait for a unit.
#[derive(Clone, Debug, Default)]
struct OperatorUnits {
    held: BTreeMap<(Name, Name), Millis>,
    waiting: VecDeque<UnitRequest>,
}

/// Selects the voter to which requests for the leader are sent.
#[derive(Clone, Debug)]
struct LeaderLocator {
    voters: Vec<Name>,
    leader: Option<Name>,
    next_voter: usize,
}

impl LeaderLocator {
    fn request_target(&self) -> Option<Name> {
        let next_voter = || {
            self.voters
                .get(self.next_voter % self.voters.len().max(1))
                .cloned()
        };
        self.leader.clone().or_else(next_voter)
    }

    fn mark_failed(&mut self) {
        self.leader = None;
        self.next_voter += 1;
    }
}

/// One process of the fleet. It does no I/O: all effects are [`Output`]s of [`Member::handle`].
#[derive(Clone, Debug)]
pub struct Member {
    config: Config,
    voter: Option<Voter>,
    id: Option<NodeId>,
    session_client: SessionClient,
    leader_locator: LeaderLocator,
    peer_ids: BTreeMap<Name, NodeId>,
    pending_calls: BTreeMap<Number, PendingCall>,
    units: OperatorUnits,
    /// This member's part in work orders on machines, if it takes part in them.
    work_participant: Option<work_orders::WorkParticipant>,
    last_call_number: Number,
    pending_saves: VecDeque<(Number, PendingSave)>,
    last_record_number: Number,
    now: Millis,
    seed: u64,
    next_formation_at: Millis,
    is_stranger: bool,
    is_quitting: bool,
    /// When this member begins to transfer leadership, after it has left its session.
    leadership_transfer_at: Option<Millis>,
    has_ended: bool,
    outputs: Vec<Output>,
    events: Vec<Event>,
}

/// What a record that is being saved contains.
#[derive(Clone, Debug)]
enum PendingSave {
    Agreed(violetwind_consensus::Members),
    Formed,
    Write(u64),
}

impl Member {
    /// Starts a member. `saved` is the content of its directory, `None` for a member without one, which never votes.
    /// `seed` must differ between processes.
    pub fn new(config: Config, saved: Option<SavedState>, seed: u64, now: Millis) -> Self {
        let voters = config.voters();
        let id = saved.as_ref().map(|saved| saved.id);
        let voter = saved.map(|saved| match saved.is_formed {
            true => Voter::Running(Box::new(RunningVoter::new(
                saved,
                &config.limits,
                seed,
                now,
            ))),
            false => {
                let own_name = config.node.clone();
                Voter::Forming(Formation::new(
                    own_name,
                    saved.id,
                    voters.clone(),
                    saved.agreed_members,
                ))
            }
        });
        let voters: Vec<Name> = voters.into_iter().collect();
        let next_voter = seed as usize % voters.len().max(1);
        Self {
            session_client: SessionClient::new(
                config.duties.clone(),
                config.budgets.clone(),
                &config.external_budgets,
                seed,
                now,
                &config.limits,
            ),
            leader_locator: LeaderLocator {
                voters,
                leader: None,
                next_voter,
            },
            voter,
            id,
            peer_ids: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            units: OperatorUnits::default(),
            work_participant: config
                .work_enabled
                .then(work_orders::WorkParticipant::default),
            last_call_number: OPERATOR_CALL_BIT,
            pending_saves: VecDeque::new(),
            last_record_number: 0,
            now,
            seed,
            next_formation_at: now,
            is_stranger: false,
            is_quitting: false,
            leadership_transfer_at: None,
            has_ended: false,
            outputs: Vec::new(),
            events: Vec::new(),
            config,
        }
    }

    /// The id of this member's directory, if it has one.
    pub fn id(&self) -> Option<NodeId> {
        self.id
    }

    /// The fencing number of a duty that this process holds at `now`, which has to be read from the clock immediately
    /// before the call.
    pub fn held_fence(&self, duty: &str, now: Millis) -> Option<Number> {
        let held = self
            .session_client
            .held_fence(duty, now, &self.config.limits);
        held.map(|(fence, _)| fence)
    }

    /// The session of this member, if its lease has not expired.
    pub fn session(&self) -> Option<SessionId> {
        self.session_client.session()
    }

    /// Whether this member leads the fleet and can serve requests.
    pub fn is_ready_leader(&self) -> bool {
        self.running()
            .is_some_and(|running| running.node.is_ready_leader())
    }

    /// The status of the consensus log, if this member is a voter of a formed fleet.
    pub fn consensus_status(&self) -> Option<violetwind_consensus::Status> {
        self.running().map(|running| running.node.status())
    }

    /// The replicated state, if this member is a voter of a formed fleet.
    pub fn state(&self) -> Option<&State> {
        self.running().map(|running| &running.state)
    }

    fn running(&self) -> Option<&RunningVoter> {
        match &self.voter {
            Some(Voter::Running(running)) => Some(running),
            _ => None,
        }
    }

    fn running_mut(&mut self) -> Option<&mut RunningVoter> {
        match &mut self.voter {
            Some(Voter::Running(running)) => Some(running),
            _ => None,
        }
    }

    /// Handles an input at the time `now`, and returns the outputs that it causes.
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        if self.has_ended {
            return Vec::new();
        }
        match input {
            Input::Tick => self.tick(),
            Input::PeerConnected(name, Some(id)) => self.record_peer_id(name, id),
            Input::PeerConnected(name, None) => {
                self.peer_ids.remove(&name);
            }
            Input::PeerMessage(from, peer) => self.handle_peer_message(from, peer),
            Input::RecordsSaved(number) => self.confirm_saved(number),
            Input::ExternalUsage {
                budget,
                part_number,
                in_use,
                denied,
            } => {
                let limits = self.config.limits.clone();
                self.session_client.record_external_usage(
                    (&budget, part_number, in_use, denied),
                    self.now,
                    &limits,
                );
            }
            Input::Call(token, call) => self.handle_call(token, call),
            Input::LocalWorkStatus(local) => self.update_local_work(local),
            Input::Quit | Input::QuitAfterDrain => {
                // A process that drains may get a successor, which goes on for the proxy.
                let drains_first = matches!(input, Input::QuitAfterDrain);
                self.session_client
                    .set_leave_after_drain(drains_first && self.work_participant.is_some());
                self.is_quitting = true;
                self.session_client
                    .quit(self.now, &self.config.limits, &mut self.events);
            }
        }
        self.process_consensus_outputs();
        self.serve_unit_waiters();
        self.send_requests();
        self.send_work_requests();
        self.finish_quit();
        if !self.config.external_budgets.is_empty() {
            let parts = self
                .session_client
                .changed_parts(self.now, &self.config.limits);
            let parts = parts
                .into_iter()
                .map(|(budget, number, part)| Output::Part(budget, number, part));
            self.outputs.extend(parts);
        }
        // A request of this member may have been handled here, if it leads.
        self.process_consensus_outputs();
        let events = self.events.drain(..).map(Output::Event);
        self.outputs.extend(events);
        std::mem::take(&mut self.outputs)
    }

    /// Records the id of a peer's directory. Only configured voters take part in the log.
    fn record_peer_id(&mut self, name: Name, id: NodeId) {
        if self.leader_locator.voters.contains(&name) {
            self.peer_ids.insert(name, id);
        }
    }

    // Timers.

    fn tick(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        if let Some(running) = self.running_mut() {
            running.node.handle(now, LogInput::Tick);
        }
        if self.session_client.tick(now, &limits, &mut self.events) {
            self.leader_locator.mark_failed();
        }
        self.advance_formation();
        self.run_leader_tasks();
        self.retry_calls();
    }

    fn advance_formation(&mut self) {
        if let Some(Voter::Forming(formation)) = &mut self.voter {
            let step = formation.next_step();
            if self.now >= self.next_formation_at {
                self.next_formation_at = self.now + self.config.limits.consensus.heartbeat_interval;
                let status = formation.status();
                for name in self
                    .leader_locator
                    .voters
                    .iter()
                    .filter(|name| **name != self.config.node)
                {
                    self.outputs.push(Output::Send(
                        name.clone(),
                        PeerMessage::Formation(status.clone()),
                    ));
                }
            }
            if formation.is_stranger() && !self.is_stranger {
                self.is_stranger = true;
                self.events.extend(self.id.map(|id| Event::Stranger { id }));
            }
            match step {
                FormationStep::Wait => {}
                FormationStep::RecordAgreed(members) => {
                    self.save_record(
                        MemberRecord::Agreed(members.clone()),
                        PendingSave::Agreed(members),
                    );
                }
                FormationStep::RecordFormed => {
                    self.save_record(MemberRecord::Formed, PendingSave::Formed)
                }
            }
        }
    }

    fn save_record(&mut self, record: MemberRecord, save: PendingSave) {
        self.last_record_number += 1;
        self.pending_saves
            .push_back((self.last_record_number, save));
        self.outputs
            .push(Output::SaveRecord(self.last_record_number, record));
    }

    fn confirm_saved(&mut self, number: Number) {
        while self
            .pending_saves
            .front()
            .is_some_and(|(record_number, _)| *record_number <= number)
        {
            let (_, save) = self.pending_saves.pop_front().expect("checked above");
            match (save, &mut self.voter) {
                (PendingSave::Agreed(members), Some(Voter::Forming(formation))) => {
                    formation.mark_agreed(members)
                }
                (PendingSave::Formed, Some(Voter::Forming(formation))) => {
                    let status = formation.status();
                    let mut saved = SavedState {
                        agreed_members: status.agreed_members,
                        ..SavedState::new(status.id)
                    };
                    saved
                        .apply(MemberRecord::Formed)
                        .expect("a record of formation always applies");
                    let voters = self.leader_locator.voters.clone();
                    self.events.push(Event::Formed { voters });
                    let running =
                        RunningVoter::new(saved, &self.config.limits, self.seed, self.now);
                    self.voter = Some(Voter::Running(Box::new(running)));
                }
                (PendingSave::Write(seq), Some(Voter::Running(running))) => {
                    running.node.handle(self.now, LogInput::Persisted(seq));
                }
                _ => {}
            }
        }
    }

    // Peer messages and requests.

    fn handle_peer_message(&mut self, from: Name, peer: PeerMessage) {
        let now = self.now;
        match peer {
            PeerMessage::Formation(status) => {
                self.record_peer_id(from.clone(), status.id);
                let own_status = match &mut self.voter {
                    Some(Voter::Forming(formation)) => {
                        formation.receive_status(from, status);
                        return self.advance_formation();
                    }
                    Some(Voter::Running(running)) if !status.is_formed => FormationStatus {
                        id: running.node.id(),
                        known_ids: BTreeMap::new(),
                        agreed_members: running.agreed_members.clone(),
                        is_formed: true,
                    },
                    _ => return,
                };
                self.outputs
                    .push(Output::Send(from, PeerMessage::Formation(own_status)));
            }
            PeerMessage::Consensus {
                from: id,
                to,
                message,
            } => {
                if Some(to) != self.id {
                    return;
                }
                self.record_peer_id(from, id);
                match &mut self.voter {
                    Some(Voter::Running(running)) => {
                        running.node.handle(now, LogInput::Message(id, message));
                    }
                    Some(Voter::Forming(_)) => {
                        // Only members of a formed fleet send consensus messages, and only to members of its log: the
                        // fleet is formed, and this directory belongs to it.
                        let is_being_saved = self
                            .pending_saves
                            .iter()
                            .any(|(_, save)| matches!(save, PendingSave::Formed));
                        if !is_being_saved {
                            self.save_record(MemberRecord::Formed, PendingSave::Formed);
                        }
                    }
                    None => {}
                }
            }
            PeerMessage::Request(number, request) => self.handle_request(from, number, request),
            PeerMessage::Reply(number, reply) => self.handle_reply(from, number, reply),
            PeerMessage::SessionUpdate {
                session,
                applied_index,
                shares,
                lower_targets,
                renew_now,
            } => {
                self.session_client.apply_session_update(
                    session,
                    applied_index,
                    &shares,
                    &lower_targets,
                );
                if renew_now {
                    self.session_client.renew_now(now);
                }
            }
        }
    }

    fn send_requests(&mut self) {
        if let Some(leader) = self.known_leader() {
            if self.leader_locator.leader.as_ref() != Some(&leader) {
                self.session_client
                    .request_soon(self.now, &self.config.limits);
            }
            self.leader_locator.leader = Some(leader);
        }
        while let Some((number, request)) = self
            .session_client
            .next_request(self.now, &self.config.limits)
        {
            match self.leader_locator.request_target() {
                Some(to) => self.send_request(to, number, request),
                None => return,
            }
        }
    }

    /// The leader according to this member's log.
    fn known_leader(&self) -> Option<Name> {
        let running = self.running()?;
        let leader = running.node.status().leader?;
        Some(running.node.members().0.get(&leader)?.name.clone())
    }

    fn send_request(&mut self, to: Name, number: Number, request: LeaderRequest) {
        if to == self.config.node {
            self.handle_request(to, number, request);
        } else {
            self.outputs
                .push(Output::Send(to, PeerMessage::Request(number, request)));
        }
    }

    fn reply(&mut self, to: Name, number: Number, reply: LeaderReply) {
        if to == self.config.node {
            self.handle_reply(to, number, reply);
        } else {
            self.outputs
                .push(Output::Send(to, PeerMessage::Reply(number, reply)));
        }
    }

    fn handle_reply(&mut self, from: Name, number: Number, reply: LeaderReply) {
        if let LeaderReply::NotLeader(leader) = &reply {
            match leader {
                Some(leader) if *leader != from && self.leader_locator.voters.contains(leader) => {
                    self.leader_locator.leader = Some(leader.clone());
                }
                _ if self
                    .leader_locator
                    .leader
                    .as_ref()
                    .is_none_or(|leader| *leader == from) =>
                {
                    self.leader_locator.mark_failed();
                }
                _ => {}
            }
        }
        if number & work_orders::WORK_REQUEST_BIT != 0 {
            return self.handle_work_reply(reply);
        }
        if number & OPERATOR_CALL_BIT == 0 {
            let limits = self.config.limits.clone();
            let was_accepted = self.session_client.handle_reply(
                number,
                &reply,
                self.now,
                &limits,
                &mut self.events,
            );
            if was_accepted {
                self.leader_locator.leader = Some(from);
            } else if matches!(&reply, LeaderReply::NotLeader(leader) if leader.is_some() && *leader == self.leader_locator.leader)
            {
                // The leader is known, so the request need not wait for the retry delay.
                self.session_client.request_soon(self.now, &limits);
            }
            return;
        }
        self.handle_call_reply(number, reply);
    }

    // Shutdown.

    fn finish_quit(&mut self) {
        if !self.is_quitting || !self.session_client.has_left() || self.has_ended {
            return;
        }
        // Members that get this member's duties or shares renew once more at this leader. Then it transfers leadership,
        // so that the others don't have to detect its absence by an election timeout.
        let transfer_at = *self
            .leadership_transfer_at
            .get_or_insert(self.now + self.config.limits.renew_interval / 4);
        let has_timed_out = self.now >= transfer_at + self.config.limits.consensus.election_timeout;
        if let Some(running) = self
            .running_mut()
            .filter(|running| running.node.is_ready_leader())
        {
            let target = running.node.transfer_target().filter(|_| !has_timed_out);
            if let Some(target) = target {
                if self.now >= transfer_at {
                    let _ = self
                        .running_mut()
                        .map(|running| running.node.transfer_leadership(target));
                    self.process_consensus_outputs();
                }
                return;
            }
        }
        self.has_ended = true;
        self.outputs.push(Output::Ended);
    }
}
