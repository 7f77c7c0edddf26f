//! A voter's log: what goes out of it, what is applied, and snapshots of that.

use super::*;

impl Member {
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

    pub(super) fn name_of(&self, id: NodeId) -> Option<Name> {
        let known = self
            .running()
            .and_then(|running| running.node.members().0.get(&id));
        let met = || {
            self.peer_ids
                .iter()
                .find(|(_, met)| **met == id)
                .map(|(name, _)| name.clone())
        };
        known.map(|member| member.name.clone()).or_else(met)
    }

    pub(super) fn handle_consensus_output(&mut self, output: LogOutput) {
        let (now, limits) = (self.now, self.config.limits.clone());
        match output {
            LogOutput::Send(id, message) => {
                if let Some(to) = self.name_of(id) {
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
                let reads = std::mem::take(&mut running.pending_reads).into_values();
                let proposals = proposals.map(|(_, from, number, _)| (from, number));
                let waiting: Vec<_> = proposals
                    .chain(reads.map(|(from, number, _)| (from, number)))
                    .collect();
                for (from, number) in waiting {
                    self.reply(from, number, LeaderReply::NotLeader(None));
                }
            }
            LogOutput::ReadReady(token, _) => {
                let read = self
                    .running_mut()
                    .and_then(|running| running.pending_reads.remove(&token));
                if let Some((from, number, ask)) = read {
                    self.answer_confirmed_read(from, number, ask);
                }
            }
            LogOutput::ReadFailed(token) => {
                let read = self
                    .running_mut()
                    .and_then(|running| running.pending_reads.remove(&token));
                if let Some((from, number, _)) = read {
                    self.reply(from, number, LeaderReply::NotLeader(None));
                }
            }
            LogOutput::Stale { own, seen } => self.events.push(Event::Stale { own, seen }),
        }
    }

    /// This program is too old for the log: it keeps it and votes, and settles nothing by it.
    fn halt(&mut self, why: String) {
        if let Some(running) = self.running_mut() {
            running.halt_reason = Some(why.clone());
            self.events.push(Event::Halted { why });
        }
    }

    pub(super) fn apply_entry(&mut self, entry: violetwind_consensus::Entry) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self.running_mut() else {
            return;
        };
        // Behind what it can't read nothing is as the others have it.
        if running.halt_reason.is_some() {
            return;
        }
        running.applied_index = entry.index;
        let leads = running.node.is_ready_leader();
        if running.pending_raise == Some(entry.index) {
            running.pending_raise = None;
        }
        let waiting = running.pending_proposals.remove(&entry.index);
        let effect = match entry.payload {
            Payload::Command(bytes) => match Command::decode(&bytes) {
                Ok(command) => {
                    let before = leads.then(|| running.duty_holders());
                    let touched = leader::affected_budgets(&command);
                    let raised: BTreeSet<SessionId> = match &command {
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
                    touched
                        .iter()
                        .for_each(|budget| running.allocator.mark_changed(budget));
                    if let Some(before) = before {
                        let after = running.duty_holders();
                        let moved = after
                            .into_iter()
                            .filter(|(duty, at)| before.get(duty) != Some(at));
                        let moved: BTreeSet<_> =
                            moved.filter_map(|(_, (holder, _))| holder).collect();
                        running
                            .leases
                            .retain_sessions(|id| running.state.sessions().contains_key(&id));
                        running
                            .allocator
                            .retain_sessions(|id| running.state.sessions().contains_key(&id));
                        running
                            .work_reports
                            .retain_sessions(|id| running.state.sessions().contains_key(&id));
                        let moved = moved.into_iter().map(|(id, _)| id);
                        let urgent: BTreeSet<SessionId> = moved.collect();
                        let grown: Vec<_> = raised.difference(&urgent).copied().collect();
                        urgent
                            .into_iter()
                            .for_each(|id| self.notify_session(id, true));
                        grown
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
        let Some((term, from, number, ask)) = waiting else {
            return;
        };
        let Some(running) = self.running_mut() else {
            return;
        };
        let told = match effect {
            _ if term != entry.term => LeaderReply::NotLeader(None),
            Effect::Joined(session) => {
                running.leases.grant(session, now, &limits);
                let held = running.state.held_duties(session);
                LeaderReply::Joined {
                    session,
                    applied_index: running.applied_index,
                    held_duties: held,
                    shares: running.state.shares(session),
                }
            }
            Effect::JoinOutdated(seen) => LeaderReply::JoinOutdated(seen),
            Effect::NameInUse => LeaderReply::RetryLater("another session has this name".into()),
            Effect::Refused(why) => LeaderReply::Refused(why.into()),
            Effect::WorkRefused(why) => LeaderReply::Refused(why),
            Effect::Done => match ask {
                LeaderRequest::LowerShare { session, need, .. } => {
                    let known = running.state.budgets().get(&need.budget);
                    LeaderReply::ShareLowered(
                        known.map(|known| known.share(session)).unwrap_or_default(),
                    )
                }
                // Members of the log follow.
                LeaderRequest::FleetAction(
                    FleetAction::AdmitMember { .. } | FleetAction::EvictMember { .. },
                ) => return,
                LeaderRequest::StopServing { .. } => LeaderReply::ServingStopped,
                _ => LeaderReply::Done,
            },
        };
        self.reply(from, number, told);
    }

    pub(super) fn notify_session(&mut self, session: SessionId, at_once: bool) {
        let Some(running) = self.running() else {
            return;
        };
        let Some(known) = running.state.sessions().get(&session) else {
            return;
        };
        let (name, at) = (known.name.clone(), running.applied_index);
        let (shares, lower) = (
            running.state.shares(session),
            running.allocator.lower_targets(session),
        );
        if name == self.config.node {
            self.session_client
                .apply_session_update(session, at, &shares, &lower);
            if at_once {
                self.session_client.renew_now(self.now);
            }
        } else {
            let nudge = PeerMessage::SessionUpdate {
                session,
                applied_index: at,
                shares,
                lower_targets: lower,
                renew_now: at_once,
            };
            self.outputs.push(Output::Send(name, nudge));
        }
    }

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
            pending_reads: BTreeMap::new(),
            last_read_id: 0,
            membership_jobs: BTreeMap::new(),
            allocator: ShareAllocator::default(),
            work_reports: work_orders::WorkReports::default(),
            pending_raise: None,
            stranded_since: BTreeMap::new(),
            halt_reason: None,
        }
    }

    /// Who holds what, and whether it is asked back.
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

    /// The next step of letting a member in; what to answer when it is done or can't be.
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
        // One that does not vote has no part in the log.
        let Some(id) = id else {
            return Some(LeaderReply::Done);
        };
        let members = self.node.members();
        let change = match members.id_by_name(name) {
            Some(known) if known != id => MembershipChange::Remove(known),
            Some(_) if members.is_voter(id) => return Some(LeaderReply::Done),
            Some(_) => MembershipChange::Promote(id),
            None => MembershipChange::AddLearner(id, name.clone()),
        };
        match self.node.change_membership(change) {
            Err(Rejection::Full) => {
                Some(LeaderReply::Refused("too many members of the log".into()))
            }
            // The change before it is on its way, or the member has not got the log yet.
            _ => None,
        }
    }

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
