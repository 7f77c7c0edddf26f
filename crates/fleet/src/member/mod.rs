//! One process of the fleet: a voter's log and state, the leader's part where it leads, and the client's part
//! that all have.

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

/// Numbers of asks on behalf of operators have this bit, a member's own have not.
const OPERATOR_CALL_BIT: Number = 1 << 63;

#[derive(Clone, Debug)]
pub struct Config {
    /// This member's own name.
    pub node: Name,
    /// All members that the file names, and whether they are meant to vote.
    pub peers: BTreeMap<Name, bool>,
    /// What this member is able to hold.
    pub duties: Vec<Name>,
    pub budgets: Vec<BudgetDefinition>,
    /// Those of them that are counted elsewhere in this process, not by takers here.
    pub external_budgets: BTreeSet<Name>,
    /// Whether it takes part in work on machines.
    pub work_enabled: bool,
    pub limits: Limits,
}

impl Config {
    fn voters(&self) -> BTreeSet<Name> {
        let voters = self.peers.iter().filter(|(_, votes)| **votes);
        voters.map(|(name, _)| name.clone()).collect()
    }
}

/// A voter, before and after there is a fleet.
#[derive(Clone, Debug)]
enum Voter {
    Forming(Formation),
    Running(Box<RunningVoter>),
}

#[derive(Clone, Debug)]
struct RunningVoter {
    node: Node,
    state: State,
    applied_index: Index,
    leases: LeaseTable,
    /// Asks that wait for an entry of this term to be applied.
    pending_proposals: BTreeMap<Index, (Term, Name, Number, LeaderRequest)>,
    /// Asks that wait until a majority has confirmed the leader.
    pending_reads: BTreeMap<ReadId, (Name, Number, LeaderRequest)>,
    last_read_id: ReadId,
    /// Members that are being let in or put out, step by step.
    membership_jobs: BTreeMap<Name, MembershipJob>,
    allocator: ShareAllocator,
    work_reports: work_orders::WorkReports,
    /// Shares that are to grow stand in this entry.
    pending_raise: Option<Index>,
    /// Since when a stranded share is known here, and whether its process was known to be gone.
    stranded_since: BTreeMap<(Name, Number, bool), Millis>,
    agreed_members: Option<violetwind_consensus::Members>,
    /// The last log or state that could not be read: this program is too old for it.
    halt_reason: Option<String>,
}

#[derive(Clone, Debug)]
struct MembershipJob {
    /// Let in, or put out.
    is_admission: bool,
    requester: Name,
    request_number: Number,
}

#[derive(Clone, Debug)]
struct PendingCall {
    call_number: Number,
    request: LeaderRequest,
    started_at: Millis,
    sent_at: Millis,
}

/// Who asks for a unit of a budget.
#[derive(Clone, Debug)]
struct UnitRequest {
    call_number: Number,
    budget: Name,
    token: Name,
    hold_timeout: Millis,
    deadline: Millis,
}

/// Units that are out at programs of operators, until when, and who waits for one.
#[derive(Clone, Debug, Default)]
struct OperatorUnits {
    held: BTreeMap<(Name, Name), Millis>,
    waiting: VecDeque<UnitRequest>,
}

/// Whom to ask.
#[derive(Clone, Debug)]
struct LeaderLocator {
    voters: Vec<Name>,
    leader: Option<Name>,
    next_voter: usize,
}

impl LeaderLocator {
    fn request_target(&self) -> Option<Name> {
        let turn = || {
            self.voters
                .get(self.next_voter % self.voters.len().max(1))
                .cloned()
        };
        self.leader.clone().or_else(turn)
    }

    fn mark_failed(&mut self) {
        self.leader = None;
        self.next_voter += 1;
    }
}

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
    /// Its part in work on machines, if it has one.
    work_participant: Option<work_orders::WorkParticipant>,
    last_call_number: Number,
    pending_saves: VecDeque<(Number, PendingSave)>,
    last_record_number: Number,
    now: Millis,
    seed: u64,
    next_formation_at: Millis,
    is_stranger: bool,
    is_quitting: bool,
    /// Having left its session, it hands the lead on from then on.
    leadership_transfer_at: Option<Millis>,
    has_ended: bool,
    outputs: Vec<Output>,
    events: Vec<Event>,
}

#[derive(Clone, Debug)]
enum PendingSave {
    Agreed(violetwind_consensus::Members),
    Formed,
    Write(u64),
}

impl Member {
    /// `saved` is what the directory holds, none for a member without one, which never votes. `seed` is another
    /// one with each process.
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
                let me = config.node.clone();
                Voter::Forming(Formation::new(
                    me,
                    saved.id,
                    voters.clone(),
                    saved.agreed_members,
                ))
            }
        });
        let voters: Vec<Name> = voters.into_iter().collect();
        let next = seed as usize % voters.len().max(1);
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
                next_voter: next,
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

    pub fn id(&self) -> Option<NodeId> {
        self.id
    }

    /// The fencing number of a duty that this process holds at `now`, by a clock that is read right before.
    pub fn held_fence(&self, duty: &str, now: Millis) -> Option<Number> {
        let held = self
            .session_client
            .held_fence(duty, now, &self.config.limits);
        held.map(|(fence, _)| fence)
    }

    pub fn session(&self) -> Option<SessionId> {
        self.session_client.session()
    }

    pub fn is_ready_leader(&self) -> bool {
        self.running()
            .is_some_and(|running| running.node.is_ready_leader())
    }

    pub fn consensus_status(&self) -> Option<violetwind_consensus::Status> {
        self.running().map(|running| running.node.status())
    }

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
                part_number: part,
                in_use: busy,
                denied,
            } => {
                let limits = self.config.limits.clone();
                self.session_client.record_external_usage(
                    (&budget, part, busy, denied),
                    self.now,
                    &limits,
                );
            }
            Input::Call(token, call) => self.handle_call(token, call),
            Input::LocalWorkStatus(local) => self.update_local_work(local),
            Input::Quit | Input::QuitAfterDrain => {
                if matches!(input, Input::QuitAfterDrain) && self.work_participant.is_some() {
                    self.session_client.set_leave_after_drain(true);
                }
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
        // An ask of its own may have gone to itself.
        self.process_consensus_outputs();
        let events = self.events.drain(..).map(Output::Event);
        self.outputs.extend(events);
        std::mem::take(&mut self.outputs)
    }

    /// Only those that the file lets vote have a part in the log.
    fn record_peer_id(&mut self, name: Name, id: NodeId) {
        if self.leader_locator.voters.contains(&name) {
            self.peer_ids.insert(name, id);
        }
    }

    // Time.

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
        let patience = limits.renew_interval / 2;
        let late: Vec<_> = self
            .pending_calls
            .iter()
            .filter(|(_, call)| now >= call.sent_at + patience)
            .collect();
        let late: Vec<Number> = late.into_iter().map(|(number, _)| *number).collect();
        for number in late {
            let call = self.pending_calls.remove(&number).expect("just seen");
            if now >= call.started_at + limits.renew_interval + patience {
                self.fail_call(call);
            } else {
                self.leader_locator.mark_failed();
                self.send_call(call);
            }
        }
    }

    fn advance_formation(&mut self) {
        if let Some(Voter::Forming(formation)) = &mut self.voter {
            let step = formation.next_step();
            if self.now >= self.next_formation_at {
                self.next_formation_at = self.now + self.config.limits.consensus.heartbeat_interval;
                let form = formation.status();
                for name in self
                    .leader_locator
                    .voters
                    .iter()
                    .filter(|name| **name != self.config.node)
                {
                    self.outputs.push(Output::Send(
                        name.clone(),
                        PeerMessage::Formation(form.clone()),
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
            .is_some_and(|(at, _)| *at <= number)
        {
            let (_, save) = self.pending_saves.pop_front().expect("just seen");
            match (save, &mut self.voter) {
                (PendingSave::Agreed(members), Some(Voter::Forming(formation))) => {
                    formation.mark_agreed(members)
                }
                (PendingSave::Formed, Some(Voter::Forming(formation))) => {
                    let form = formation.status();
                    let mut saved = SavedState {
                        agreed_members: form.agreed_members,
                        ..SavedState::new(form.id)
                    };
                    saved
                        .apply(MemberRecord::Formed)
                        .expect("it only sets the first members");
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

    // Frames.

    fn handle_peer_message(&mut self, from: Name, peer: PeerMessage) {
        let now = self.now;
        match peer {
            PeerMessage::Formation(form) => {
                self.record_peer_id(from.clone(), form.id);
                let answer = match &mut self.voter {
                    Some(Voter::Forming(formation)) => {
                        formation.receive_status(from, form);
                        return self.advance_formation();
                    }
                    Some(Voter::Running(running)) if !form.is_formed => FormationStatus {
                        id: running.node.id(),
                        known_ids: BTreeMap::new(),
                        agreed_members: running.agreed_members.clone(),
                        is_formed: true,
                    },
                    _ => return,
                };
                self.outputs
                    .push(Output::Send(from, PeerMessage::Formation(answer)));
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
                        // Only members of a fleet that has formed speak so, and to members only.
                        let on_its_way = self
                            .pending_saves
                            .iter()
                            .any(|(_, save)| matches!(save, PendingSave::Formed));
                        if !on_its_way {
                            self.save_record(MemberRecord::Formed, PendingSave::Formed);
                        }
                    }
                    None => {}
                }
            }
            PeerMessage::Request(number, ask) => self.handle_request(from, number, ask),
            PeerMessage::Reply(number, told) => self.handle_reply(from, number, told),
            PeerMessage::SessionUpdate {
                session,
                applied_index: at,
                shares,
                lower_targets: lower,
                renew_now: at_once,
            } => {
                self.session_client
                    .apply_session_update(session, at, &shares, &lower);
                if at_once {
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
        while let Some((number, ask)) = self
            .session_client
            .next_request(self.now, &self.config.limits)
        {
            match self.leader_locator.request_target() {
                Some(to) => self.send_request(to, number, ask),
                None => return,
            }
        }
    }

    /// The leader that the log here knows.
    fn known_leader(&self) -> Option<Name> {
        let running = self.running()?;
        let leader = running.node.status().leader?;
        Some(running.node.members().0.get(&leader)?.name.clone())
    }

    fn send_request(&mut self, to: Name, number: Number, ask: LeaderRequest) {
        if to == self.config.node {
            self.handle_request(to, number, ask);
        } else {
            self.outputs
                .push(Output::Send(to, PeerMessage::Request(number, ask)));
        }
    }

    fn reply(&mut self, to: Name, number: Number, told: LeaderReply) {
        if to == self.config.node {
            self.handle_reply(to, number, told);
        } else {
            self.outputs
                .push(Output::Send(to, PeerMessage::Reply(number, told)));
        }
    }

    fn handle_reply(&mut self, from: Name, number: Number, told: LeaderReply) {
        if let LeaderReply::NotLeader(leader) = &told {
            match leader {
                Some(leader) if *leader != from && self.leader_locator.voters.contains(leader) => {
                    self.leader_locator.leader = Some(leader.clone());
                }
                _ if self
                    .leader_locator
                    .leader
                    .as_ref()
                    .is_none_or(|known| *known == from) =>
                {
                    self.leader_locator.mark_failed();
                }
                _ => {}
            }
        }
        if number & work_orders::WORK_REQUEST_BIT != 0 {
            return self.handle_work_reply(told);
        }
        if number & OPERATOR_CALL_BIT == 0 {
            let limits = self.config.limits.clone();
            let taken = self.session_client.handle_reply(
                number,
                &told,
                self.now,
                &limits,
                &mut self.events,
            );
            if taken {
                self.leader_locator.leader = Some(from);
            } else if matches!(&told, LeaderReply::NotLeader(leader) if leader.is_some() && *leader == self.leader_locator.leader)
            {
                // The way is known: no need to wait.
                self.session_client.request_soon(self.now, &limits);
            }
            return;
        }
        let Some(call) = self.pending_calls.remove(&number) else {
            return;
        };
        let answer = match told {
            LeaderReply::NotLeader(_) | LeaderReply::RetryLater(_) => {
                self.pending_calls.insert(number, call);
                return;
            }
            LeaderReply::FleetView(mut view) => {
                self.fill_local_fields(&mut view);
                OperatorAnswer::FleetView(view)
            }
            LeaderReply::Done => OperatorAnswer::Done,
            LeaderReply::WorkView(view) => OperatorAnswer::WorkView(view),
            LeaderReply::Refused(why) => OperatorAnswer::Refused(why),
            LeaderReply::Joined { .. }
            | LeaderReply::Renewed { .. }
            | LeaderReply::JoinOutdated(_)
            | LeaderReply::ShareLowered(_)
            | LeaderReply::MachineList { .. }
            | LeaderReply::CoordinatorUpdate(_)
            | LeaderReply::ServingStopped
            | LeaderReply::SessionNotFound => OperatorAnswer::Refused("no answer that fits".into()),
        };
        self.outputs.push(Output::Answer(call.call_number, answer));
    }

    // The end.

    fn finish_quit(&mut self) {
        if !self.is_quitting || !self.session_client.has_left() || self.has_ended {
            return;
        }
        // Who got something by it asks this leader once more; then the lead goes to somebody else, so that
        // nobody has to miss it first.
        let until = *self
            .leadership_transfer_at
            .get_or_insert(self.now + self.config.limits.renew_interval / 4);
        let given_up = self.now >= until + self.config.limits.consensus.election_timeout;
        if let Some(running) = self
            .running_mut()
            .filter(|running| running.node.is_ready_leader())
        {
            let to = running.node.transfer_target().filter(|_| !given_up);
            if let Some(to) = to {
                if self.now >= until {
                    let _ = self
                        .running_mut()
                        .map(|running| running.node.transfer_leadership(to));
                    self.process_consensus_outputs();
                }
                return;
            }
        }
        self.has_ended = true;
        self.outputs.push(Output::Ended);
    }
}
