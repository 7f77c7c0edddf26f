//! What a voter does with its log, which `crates/consensus` keeps: handles the outputs of the consensus node, applies
//! committed entries, and handles snapshots of the state. Also proposes the steps of admissions and evictions of
//! members (`advance_admission`, `advance_eviction`).

use super::*;

impl Member {
    /// Handles all outputs of the consensus node, including those that the handling causes.
    pub(super) fn process_consensus_outputs(&mut self) {
        loop {
            let Some(running) = self.running_mut() else {
                return;
            };
            let outputs = running.node.take_outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.handle_consensus_output(output);
            }
        }
    }

    /// The name of the member with that directory id, from the log's members or the connected peers.
    pub(super) fn member_name(&self, id: NodeId) -> Option<Name> {
        let member = self
            .running()
            .and_then(|running| running.node.members().0.get(&id));
        let peer_name = || {
            self.peer_ids
                .iter()
                .find(|(_, peer_id)| **peer_id == id)
                .map(|(name, _)| name.clone())
        };
        member.map(|member| member.name.clone()).or_else(peer_name)
    }

    pub(super) fn handle_consensus_output(&mut self, output: LogOutput) {
        let (now, limits) = (self.now, self.config.limits.clone());
        match output {
            LogOutput::Send(id, message) => {
                if let Some(to) = self.member_name(id) {
                    let from = self.id.unwrap_or_default();
                    self.outputs.push(Output::Send(
                        to,
                        PeerMessage::Consensus {
                            from,
                            to: id,
                            message,
                        },
                    ));
                }
            }
            LogOutput::Write(write) => {
                let seq = write.seq;
                self.save_record(MemberRecord::Write(write), PendingSave::Write(seq));
            }
            LogOutput::Committed(entries) => {
                for entry in entries {
                    self.apply_entry(entry);
                }
                self.snapshot_if_due(&limits);
            }
            LogOutput::SnapshotInstalled(snapshot) => {
                let Some(running) = self.running_mut() else {
                    return;
                };
                running.applied_index = snapshot.index;
                match State::decode(&snapshot.data) {
                    Ok(state) => (running.state, running.halt_reason) = (state, None),
                    Err(error) => self.halt(format!("a snapshot can't be read: {error}")),
                }
            }
            LogOutput::LeaderReady(term) => {
                self.events.push(Event::Leads { term });
                if let Some(running) = self.running_mut() {
                    let sessions = running.state.sessions().keys().copied();
                    running.leases.start_term(sessions, now, &limits);
                    running.allocator.clear();
                    running.work_reports.clear();
                    running.pending_raise = None;
                    running.stranded_since.clear();
                }
            }
            LogOutput::SteppedDown(term) => {
                self.events.push(Event::Follows { term });
                let Some(running) = self.running_mut() else {
                    return;
                };
                running.leases.clear();
                running.membership_jobs.clear();
                let proposals = std::mem::take(&mut running.pending_proposals).into_values();
                let reads = std::mem::take(&mut running.pending_confirmations).into_values();
                let proposals = proposals.map(|(_, from, number, _)| (from, number));
                let requests: Vec<_> = proposals
                    .chain(reads.map(|(from, number, _)| (from, number)))
                    .collect();
                for (from, number) in requests {
                    self.reply(from, number, LeaderReply::NotLeader(None));
                }
            }
            LogOutput::ReadReady(read_id, _) => {
                let read = self
                    .running_mut()
                    .and_then(|running| running.pending_confirmations.remove(&read_id));
                if let Some((from, number, request)) = read {
                    self.answer_when_confirmed(from, number, request);
                }
            }
            LogOutput::ReadFailed(read_id) => {
                let read = self
                    .running_mut()
                    .and_then(|running| running.pending_confirmations.remove(&read_id));
                if let Some((from, number, _)) = read {
                    self.reply(from, number, LeaderReply::NotLeader(None));
                }
            }
            LogOutput::Stale { own, seen } => self.events.push(Event::Stale { own, seen }),
        }
    }

    /// Stops applying the log, which this program is too old to read. The member still stores the log and votes.
    fn halt(&mut self, why: String) {
        if let Some(running) = self.running_mut() {
            running.halt_reason = Some(why.clone());
            self.events.push(Event::Halted { why });
        }
    }

    /// Applies a committed entry, notifies sessions that it concerns, and replies to the request that proposed it.
    pub(super) fn apply_entry(&mut self, entry: violetwind_consensus::Entry) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self.running_mut() else {
            return;
        };
        // After an entry that was not applied the state differs from that of the other members.
        if running.halt_reason.is_some() {
            return;
        }
        running.applied_index = entry.index;
        let is_leader = running.node.is_ready_leader();
        if running.pending_raise == Some(entry.index) {
            running.pending_raise = None;
        }
        let proposal = running.pending_proposals.remove(&entry.index);
        let effect = match entry.payload {
            Payload::Command(bytes) => match Command::decode(&bytes) {
                Ok(command) => {
                    let before = is_leader.then(|| running.duty_holders());
                    let budgets = leader::affected_budgets(&command);
                    let raised_sessions: BTreeSet<SessionId> = match &command {
                        Command::RaiseShares { changes } => {
                            changes.iter().map(|(_, id, ..)| *id).collect()
                        }
                        _ => BTreeSet::new(),
                    };
                    if matches!(
                        command,
                        Command::Leave { .. } | Command::CloseSessions { .. }
                    ) {
                        running.allocator.mark_all_changed();
                    }
                    let effect = running.state.apply(command);
                    budgets
                        .iter()
                        .for_each(|budget| running.allocator.mark_changed(budget));
                    if let Some(before) = before {
                        let after = running.duty_holders();
                        let changed = after
                            .into_iter()
                            .filter(|(duty, holding)| before.get(duty) != Some(holding));
                        let changed_holders: BTreeSet<_> =
                            changed.filter_map(|(_, (holder, _))| holder).collect();
                        running
                            .leases
                            .retain_sessions(|id| running.state.sessions().contains_key(&id));
                        running
                            .allocator
                            .retain_sessions(|id| running.state.sessions().contains_key(&id));
                        running
                            .work_reports
                            .retain_sessions(|id| running.state.sessions().contains_key(&id));
                        let changed_sessions = changed_holders.into_iter().map(|(id, _)| id);
                        let sessions_to_renew: BTreeSet<SessionId> = changed_sessions.collect();
                        let sessions_to_update: Vec<_> = raised_sessions
                            .difference(&sessions_to_renew)
                            .copied()
                            .collect();
                        sessions_to_renew
                            .into_iter()
                            .for_each(|id| self.notify_session(id, true));
                        sessions_to_update
                            .into_iter()
                            .for_each(|id| self.notify_session(id, false));
                    }
                    effect
                }
                Err(error) => {
                    self.halt(format!("entry {} can't be read: {error}", entry.index));
                    Effect::Refused("it can't be read")
                }
            },
            Payload::Noop | Payload::Members(_) => Effect::Done,
        };
        let Some((term, from, number, request)) = proposal else {
            return;
        };
        let Some(running) = self.running_mut() else {
            return;
        };
        let reply = match effect {
            _ if term != entry.term => LeaderReply::NotLeader(None),
            Effect::Joined(session) => {
                running.leases.grant(session, now, &limits);
                let held_duties = running.state.held_duties(session);
                LeaderReply::Joined {
                    session,
                    applied_index: running.applied_index,
                    held_duties,
                    shares: running.state.shares(session),
                }
            }
            Effect::JoinOutdated(required_number) => LeaderReply::JoinOutdated(required_number),
            Effect::NameInUse => LeaderReply::RetryLater("another session has this name".into()),
            Effect::Refused(why) => LeaderReply::Refused(why.into()),
            Effect::WorkRefused(why) => LeaderReply::Refused(why),
            Effect::Done => match request {
                LeaderRequest::LowerShare { session, need, .. } => {
                    let budget = running.state.budgets().get(&need.budget);
                    LeaderReply::ShareLowered(
                        budget
                            .map(|budget| budget.share(session))
                            .unwrap_or_default(),
                    )
                }
                // The change of the log's members follows; the reply is sent when that is done.
                LeaderRequest::FleetAction(
                    FleetAction::AdmitMember { .. } | FleetAction::EvictMember { .. },
                ) => return,
                LeaderRequest::StopServing { .. } => LeaderReply::ServingStopped,
                _ => LeaderReply::Done,
            },
        };
        self.reply(from, number, reply);
    }

    /// Sends a session its shares and lower targets; with `renew_now` its member renews at once, and learns of its
    /// duties from the reply.
    pub(super) fn notify_session(&mut self, session: SessionId, renew_now: bool) {
        let Some(running) = self.running() else {
            return;
        };
        let Some(recipient) = running.state.sessions().get(&session) else {
            return;
        };
        let (name, applied_index) = (recipient.name.clone(), running.applied_index);
        let (shares, lower_targets) = (
            running.state.shares(session),
            running.allocator.lower_targets(session),
        );
        if name == self.config.node {
            self.session_client.apply_session_update(
                session,
                applied_index,
                &shares,
                &lower_targets,
            );
            if renew_now {
                self.session_client.renew_now(self.now);
            }
        } else {
            let update = PeerMessage::SessionUpdate {
                session,
                applied_index,
                shares,
                lower_targets,
                renew_now,
            };
            self.outputs.push(Output::Send(name, update));
        }
    }

    /// Takes a snapshot of the state and compacts the log, if enough entries were applied since the last one.
    pub(super) fn snapshot_if_due(&mut self, limits: &Limits) {
        if let Some(running) = self.running_mut()
            && running.halt_reason.is_none()
            && running.applied_index
                >= running.node.status().snapshot_index + limits.snapshot_interval_entries
        {
            let data = running.state.encode();
            running.node.compact(running.applied_index, data);
        }
    }
}

impl RunningVoter {
    /// Starts a voter of a formed fleet from what its directory contains.
    pub(super) fn new(saved: SavedState, limits: &Limits, seed: u64, now: Millis) -> Self {
        Self {
            agreed_members: saved.agreed_members,
            node: Node::new(
                saved.id,
                saved.consensus_state,
                limits.consensus.clone(),
                seed,
                now,
            ),
            state: State::default(),
            applied_index: 0,
            leases: LeaseTable::default(),
            pending_proposals: BTreeMap::new(),
            pending_confirmations: BTreeMap::new(),
            last_read_id: 0,
            membership_jobs: BTreeMap::new(),
            allocator: ShareAllocator::default(),
            work_reports: work_orders::WorkReports::default(),
            pending_raise: None,
            stranded_since: BTreeMap::new(),
            halt_reason: None,
        }
    }

    /// The holder of each duty, and whether a handoff of the duty is requested.
    pub(super) fn duty_holders(&self) -> BTreeMap<Name, (Option<(SessionId, Number)>, bool)> {
        let duties = self.state.duties().iter();
        duties
            .map(|(name, duty)| {
                (
                    name.clone(),
                    (duty.holder, duty.requested_handoff.is_some()),
                )
            })
            .collect()
    }

    /// Proposes the next step of the admission of a member. Returns the reply when the admission is done or has failed.
    pub(super) fn advance_admission(
        &mut self,
        name: &Name,
        id: Option<NodeId>,
    ) -> Option<LeaderReply> {
        if self.state.blocked_members().contains(name) {
            let command = Command::UnblockMember { name: name.clone() };
            let _ = self.node.propose(command.encode());
            return None;
        }
        // A member that does not vote is not a member of the log.
        let Some(id) = id else {
            return Some(LeaderReply::Done);
        };
        let members = self.node.members();
        let change = match members.id_by_name(name) {
            Some(known_id) if known_id != id => MembershipChange::Remove(known_id),
            Some(_) if members.is_voter(id) => return Some(LeaderReply::Done),
            Some(_) => MembershipChange::Promote(id),
            None => MembershipChange::AddLearner(id, name.clone()),
        };
        match self.node.change_membership(change) {
            Err(Rejection::Full) => {
                Some(LeaderReply::Refused("too many members of the log".into()))
            }
            // The previous change is not committed yet, or the member has not received the log yet.
            _ => None,
        }
    }

    /// Proposes the next step of the eviction of a member. Returns the reply when the eviction is done or has failed.
    pub(super) fn advance_eviction(&mut self, name: &Name) -> Option<LeaderReply> {
        if !self.state.blocked_members().contains(name) {
            let command = Command::BlockMember { name: name.clone() };
            let _ = self.node.propose(command.encode());
            return None;
        }
        let Some(id) = self.node.members().id_by_name(name) else {
            return Some(LeaderReply::Done);
        };
        match self.node.change_membership(MembershipChange::Remove(id)) {
            Err(Rejection::Senseless) => {
                Some(LeaderReply::Refused("it is the last that votes".into()))
            }
            _ => None,
        }
    }
}
