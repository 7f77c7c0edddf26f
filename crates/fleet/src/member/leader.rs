//! The leader's tasks: requests of members, expired leases, admissions and evictions, and the division of budgets.

use super::*;

impl RunningVoter {
    /// Whether the same request of the same member and number waits for its reply.
    fn has_pending_request(&self, from: &Name, number: Number, request: &LeaderRequest) -> bool {
        let proposed = self
            .pending_proposals
            .values()
            .map(|(_, from, number, request)| (from, *number, request));
        let unconfirmed = self
            .pending_confirmations
            .values()
            .map(|(from, number, request)| (from, *number, request));
        let has_request = proposed
            .chain(unconfirmed)
            .any(|pending| pending == (from, number, request));
        let has_membership_job = |node: &Name| {
            self.membership_jobs
                .get(node)
                .is_some_and(|job| job.requester == *from && job.request_number == number)
        };
        match request {
            LeaderRequest::FleetAction(
                FleetAction::AdmitMember { node } | FleetAction::EvictMember { node },
            ) => has_request || has_membership_job(node),
            _ => has_request,
        }
    }
}

impl Member {
    /// Handles a member's request, at once or after it has been committed or the leadership confirmed.
    pub(super) fn handle_request(&mut self, from: Name, number: Number, request: LeaderRequest) {
        let leader = self.known_leader();
        let limits = self.config.limits.clone();
        let Some(running) = self
            .running_mut()
            .filter(|running| running.node.is_ready_leader())
        else {
            return self.reply(from, number, LeaderReply::NotLeader(leader));
        };
        if running.halt_reason.is_some() {
            return self.reply(
                from,
                number,
                LeaderReply::RetryLater("this leader can't read its log".into()),
            );
        }
        // The reply to the earlier try answers this one too.
        let is_operator_call = number & OPERATOR_CALL_BIT != 0;
        if is_operator_call && running.has_pending_request(&from, number, &request) {
            return;
        }
        if running.pending_confirmations.len() + running.pending_proposals.len()
            >= limits.max_pending_leader_requests
        {
            self.events.push(Event::Full {
                what: "requests pending at a leader",
            });
            return self.reply(from, number, LeaderReply::RetryLater("too many ask".into()));
        }
        if let Some(reply) = self.handle_work_request(&from, number, &request) {
            return self.reply(from, number, reply);
        }
        let work_command = match &request {
            LeaderRequest::StopServing { .. } | LeaderRequest::ProposeWorkChange { .. } => {
                match self.work_command(&from, &request) {
                    Ok(command) => Some(command),
                    Err(reply) => return self.reply(from, number, *reply),
                }
            }
            _ => None,
        };
        let Some(running) = self.running_mut() else {
            return;
        };
        let command = match &request {
            LeaderRequest::StopServing { .. }
            | LeaderRequest::ProposeWorkChange { .. }
            | LeaderRequest::ReportWork { .. }
            | LeaderRequest::PollAsCoordinator { .. } => work_command,
            LeaderRequest::Renew { session, .. } => {
                let known_session = running.state.sessions().get(session);
                let is_own = known_session.is_some_and(|known_session| known_session.name == from);
                let is_blocked = running.state.blocked_members().contains(&from);
                if !is_own || !running.leases.is_renewable(*session) {
                    return self.reply(from, number, LeaderReply::SessionNotFound);
                }
                if is_blocked {
                    // The lease is not renewed, so it expires.
                    return self.reply(from, number, LeaderReply::RetryLater("put out".into()));
                }
                None
            }
            LeaderRequest::FleetView => None,
            LeaderRequest::Join {
                nonce,
                wanted_duties,
                replaced_session,
                incarnation,
                last_seen_number,
                weight,
                budgets,
                units_in_use,
            } => {
                // An existing session of the same nonce is confirmed like a renewal.
                let known_session = running.state.session_by_name(&from);
                match known_session {
                    Some((id, known_session)) if known_session.nonce == *nonce => {
                        if !running.leases.is_renewable(id) {
                            return self.reply(
                                from,
                                number,
                                LeaderReply::RetryLater("it is ending".into()),
                            );
                        }
                        None
                    }
                    Some((id, _)) if *replaced_session != Some(id) => {
                        let reply = LeaderReply::RetryLater("another session has this name".into());
                        return self.reply(from, number, reply);
                    }
                    _ if *last_seen_number < running.state.required_last_seen_number(&from) => {
                        let required_number = running.state.required_last_seen_number(&from);
                        return self.reply(
                            from,
                            number,
                            LeaderReply::JoinOutdated(required_number),
                        );
                    }
                    _ => {
                        let (name, nonce, wanted_duties) =
                            (from.clone(), *nonce, wanted_duties.clone());
                        Some(Command::Join {
                            name,
                            nonce,
                            wanted_duties,
                            replaced_session: *replaced_session,
                            incarnation: *incarnation,
                            last_seen_number: *last_seen_number,
                            weight: *weight,
                            budgets: budgets.clone(),
                            units_in_use: units_in_use.clone(),
                        })
                    }
                }
            }
            LeaderRequest::ReleaseDuty {
                session,
                duty,
                fence,
                preferred_holder,
            } => {
                let (session, fence) = (*session, *fence);
                Some(Command::ReleaseDuty {
                    session,
                    duty: duty.clone(),
                    fence,
                    preferred_holder: preferred_holder.clone(),
                })
            }
            LeaderRequest::LowerShare {
                session,
                need,
                units,
                share_version,
            } => {
                let known_session = running.state.sessions().get(session);
                if known_session.is_none_or(|known_session| known_session.name != from) {
                    return self.reply(from, number, LeaderReply::SessionNotFound);
                }
                // Otherwise the share would be raised again for a need that was reported earlier.
                let needs = std::slice::from_ref(need);
                running.allocator.update_needs(*session, needs);
                let (session, units, share_version) = (*session, *units, *share_version);
                Some(Command::LowerShare {
                    session,
                    budget: need.budget.clone(),
                    units,
                    share_version,
                })
            }
            LeaderRequest::BeginLeave { session } | LeaderRequest::Leave { session, .. } => {
                let known_session = running.state.sessions().get(session);
                if known_session.is_none_or(|known_session| known_session.name != from) {
                    return self.reply(from, number, LeaderReply::SessionNotFound);
                }
                let session = *session;
                Some(match &request {
                    LeaderRequest::Leave { units_in_use, .. } => Command::Leave {
                        session,
                        units_in_use: units_in_use.clone(),
                    },
                    _ => Command::BeginLeave { session },
                })
            }
            LeaderRequest::FleetAction(FleetAction::DeclareMemberLost { node }) => {
                Some(Command::DeclareMemberLost { name: node.clone() })
            }
            LeaderRequest::FleetAction(FleetAction::HandOffDuty {
                duty,
                preferred_holder,
            }) => Some(Command::HandOffDuty {
                duty: duty.clone(),
                preferred_holder: preferred_holder.clone(),
            }),
            // Evaluated only after a majority has confirmed that this member still leads. Its state may be outdated: it
            // may show an action as done that a later leader has undone, or a machine as empty that is in use again.
            LeaderRequest::FleetAction(
                FleetAction::AdmitMember { .. } | FleetAction::EvictMember { .. },
            ) => None,
            LeaderRequest::WorkAction(_) | LeaderRequest::WorkView => None,
        };
        match command {
            None => self.confirm_leadership(from, number, request),
            Some(command) => self.propose(command, from, number, request),
        }
    }

    /// Has a majority confirm, by a read index, that this member leads; then [`Self::answer_when_confirmed`] handles
    /// the request.
    fn confirm_leadership(&mut self, from: Name, number: Number, request: LeaderRequest) {
        let Some(running) = self.running_mut() else {
            return;
        };
        running.last_read_id += 1;
        let read_id = running.last_read_id;
        running
            .pending_confirmations
            .insert(read_id, (from.clone(), number, request));
        if let Err(rejection) = running.node.request_read(read_id) {
            running.pending_confirmations.remove(&read_id);
            self.reply(from, number, rejection_reply(&rejection));
        }
    }

    /// Proposes a command, and replies after it is applied.
    fn propose(&mut self, command: Command, from: Name, number: Number, request: LeaderRequest) {
        let Some(running) = self.running_mut() else {
            return;
        };
        match running.node.propose(command.encode()) {
            Ok((term, index)) => {
                // Only now: a lease that is marked no longer expires by itself.
                if let Command::Leave { session, .. } = &command {
                    running.leases.mark_closing(*session);
                }
                let proposal = (term, from, number, request);
                running.pending_proposals.insert(index, proposal);
            }
            Err(rejection) => self.reply(from, number, rejection_reply(&rejection)),
        }
    }

    /// Handles a request after a majority has confirmed, later than its arrival, that this member still leads: answers
    /// a query, grants a lease, proposes a change to the log, or starts an admission or eviction.
    pub(super) fn answer_when_confirmed(
        &mut self,
        from: Name,
        number: Number,
        request: LeaderRequest,
    ) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self.running_mut() else {
            return;
        };
        if running.halt_reason.is_some() {
            return self.reply(
                from,
                number,
                LeaderReply::RetryLater("this leader can't read its log".into()),
            );
        }
        let reply = match request {
            LeaderRequest::FleetAction(FleetAction::AdmitMember { node }) => {
                return self.start_membership_job(node, true, (from, number));
            }
            LeaderRequest::FleetAction(FleetAction::EvictMember { node }) => {
                return self.start_membership_job(node, false, (from, number));
            }
            LeaderRequest::WorkAction(_) => match self.work_command(&from, &request) {
                Ok(command) => return self.propose(command, from, number, request),
                Err(reply) => *reply,
            },
            LeaderRequest::WorkView => match self.work_view() {
                Some(view) => LeaderReply::WorkView(view),
                None => LeaderReply::NotLeader(None),
            },
            LeaderRequest::Renew {
                session,
                needs,
                known_version,
            } => {
                let is_known = running.state.sessions().contains_key(&session);
                if is_known && running.leases.is_renewable(session) {
                    running.leases.grant(session, now, &limits);
                    let held_duties = running.state.held_duties(session);
                    {
                        running.allocator.update_needs(session, &needs);
                        let shares = running.state.shares(session);
                        LeaderReply::Renewed {
                            applied_index: running.applied_index,
                            held_duties,
                            duties_to_release: running.state.duties_to_release(session),
                            shares: (shares.0 != known_version).then_some(shares),
                            lower_targets: running.allocator.lower_targets(session),
                            term: running.node.status().term,
                        }
                    }
                } else {
                    LeaderReply::SessionNotFound
                }
            }
            LeaderRequest::Join { nonce, .. } => match running.state.session_by_name(&from) {
                Some((session, known_session))
                    if known_session.nonce == nonce && running.leases.is_renewable(session) =>
                {
                    running.leases.grant(session, now, &limits);
                    LeaderReply::Joined {
                        session,
                        applied_index: running.applied_index,
                        held_duties: running.state.held_duties(session),
                        shares: running.state.shares(session),
                    }
                }
                _ => LeaderReply::RetryLater("it has ended meanwhile".into()),
            },
            LeaderRequest::FleetView => LeaderReply::FleetView(self.fleet_view()),
            _ => LeaderReply::RetryLater("no read".into()),
        };
        self.reply(from, number, reply);
    }

    /// Starts the admission or eviction of a member, which takes several log entries; the operator's call is answered
    /// when it is done.
    fn start_membership_job(
        &mut self,
        node: Name,
        is_admission: bool,
        (from, number): (Name, Number),
    ) {
        let Some(running) = self.running_mut() else {
            return;
        };
        let job = MembershipJob {
            is_admission,
            requester: from,
            request_number: number,
        };
        if let Some(earlier) = running.membership_jobs.insert(node, job) {
            let reply = LeaderReply::Refused("another order came".into());
            self.reply(earlier.requester, earlier.request_number, reply);
        }
        self.run_leader_tasks();
    }

    /// The state of the fleet according to this leader.
    pub(super) fn fleet_view(&mut self) -> FleetView {
        if self.running().is_none() {
            return self.fleet_view_without_leader("no log here".into());
        }
        let running = self.running().expect("checked above");
        let (log_members, status, limits) = (
            running.node.members(),
            running.node.status(),
            &self.config.limits,
        );
        let sessions = running.state.sessions();
        let mut names: BTreeSet<&Name> = self.config.peers.keys().collect();
        names.extend(sessions.values().map(|session| &session.name));
        // An evicted member that never votes may be neither configured here nor have a session, but operators still
        // have to see it.
        names.extend(running.state.blocked_members());
        names.extend(log_members.0.values().map(|member| &member.name));
        let members = names.into_iter().map(|name| {
            let session = running.state.session_by_name(name);
            let renewed_at = session.and_then(|(id, _)| running.leases.last_renewed_at(id));
            let silence = renewed_at.map(|renewed_at| self.now.saturating_sub(renewed_at));
            let id_in_log = log_members.id_by_name(name);
            let is_configured_voter = self.config.peers.get(name).copied().unwrap_or(false);
            let state = if running.state.blocked_members().contains(name) {
                "out"
            } else if is_configured_voter
                && id_in_log.is_none_or(|id| {
                    self.peer_ids
                        .get(name)
                        .is_some_and(|peer_id| *peer_id != id)
                })
            {
                "stranger"
            } else {
                match silence {
                    None => "none",
                    Some(silence) if silence > 2 * limits.renew_interval => "silent",
                    Some(_) => "live",
                }
            };
            MemberView {
                node: name.clone(),
                votes: id_in_log.is_some_and(|id| log_members.is_voter(id)),
                state: state.into(),
                since_ms: silence,
            }
        });
        let duties = running.state.duties().iter().map(|(name, duty)| {
            let holder = duty.holder.and_then(|(id, _)| sessions.get(&id));
            DutyView {
                name: name.clone(),
                holder: holder.map(|session| session.name.clone()),
                fence: duty.holder.map(|(_, fence)| fence),
                mine: false,
            }
        });
        let budgets = running.state.budgets().iter().map(|(name, budget)| {
            let shared = budget.shares().values().map(|share| share.units).sum();
            let stranded = budget
                .stranded()
                .values()
                .map(|stranded| stranded.units)
                .sum();
            BudgetView {
                name: name.clone(),
                whole: Some(budget.definition().total),
                version: budget.definition().version,
                floors: budget.definition().total.saturating_sub(budget.pool()),
                shared,
                stranded,
                free: budget.free(),
                used_here: 0,
                allowed_here: 0,
            }
        });
        FleetView {
            node: self.config.node.clone(),
            leader: self.known_leader(),
            term: status.term,
            commit: status.commit_index,
            majority: running
                .node
                .active_voter_count(limits.consensus.election_timeout)
                >= log_members.majority(),
            members: members.collect(),
            duties: duties.collect(),
            budgets: budgets.collect(),
            why: None,
        }
    }

    /// The periodic tasks of a leader: ends expired sessions, divides budgets, and advances admissions and evictions.
    pub(super) fn run_leader_tasks(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self
            .running_mut()
            .filter(|running| running.node.is_ready_leader())
        else {
            return;
        };
        if running.halt_reason.is_some() {
            // Another voter may be able to read the log. Until one leads, sessions only expire at their holders.
            if let Some(target) = running.node.transfer_target() {
                let _ = running.node.transfer_leadership(target);
            }
            return;
        }
        let expired = running.leases.expired_sessions(now);
        if !expired.is_empty() {
            let avoided_sessions = running
                .leases
                .silent_sessions(now, 2 * limits.renew_interval);
            let command = Command::CloseSessions {
                sessions: expired.clone(),
                avoided_sessions,
            };
            if running.node.propose(command.encode()).is_ok() {
                let mut ended_events = Vec::new();
                for id in expired {
                    running.leases.mark_closing(id);
                    if let Some(session) = running.state.sessions().get(&id) {
                        let since =
                            now.saturating_sub(running.leases.last_renewed_at(id).unwrap_or(now));
                        let (name, why) = (session.name.clone(), LossReason::NotRenewed { since });
                        ended_events.push(Event::Ended { name, why });
                    }
                }
                self.events.extend(ended_events);
            }
        }
        self.allocate_budgets();
        let jobs: Vec<(Name, MembershipJob)> = match self.running() {
            Some(running) => running
                .membership_jobs
                .iter()
                .map(|(name, job)| (name.clone(), job.clone()))
                .collect(),
            None => return,
        };
        for (name, job) in jobs {
            let id = self.peer_ids.get(&name).copied();
            let own_id = (name == self.config.node).then_some(self.id).flatten();
            let is_configured_voter = self.config.peers.get(&name).copied().unwrap_or(false);
            let Some(running) = self.running_mut() else {
                return;
            };
            let reply = match job.is_admission {
                true => {
                    running.advance_admission(&name, id.or(own_id).filter(|_| is_configured_voter))
                }
                false => running.advance_eviction(&name),
            };
            if let Some(reply) = reply {
                running.membership_jobs.remove(&name);
                self.reply(job.requester, job.request_number, reply);
            }
        }
    }

    /// Divides budgets whose needs have changed, and releases stranded units that are no longer in use.
    pub(super) fn allocate_budgets(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self
            .running_mut()
            .filter(|running| running.node.is_ready_leader())
        else {
            return;
        };
        let mut due = Vec::new();
        let mut current_keys = BTreeSet::new();
        for (name, budget) in running.state.budgets() {
            let definition = budget.definition();
            for (number, stranded) in budget.stranded() {
                let reclaim_delay = match definition.kind {
                    // After this time the window has passed at every member, even if clocks drift by the allowed
                    // maximum.
                    BudgetKind::Rate => {
                        definition.window
                            + 2 * (definition.window * limits.max_clock_drift_permille)
                                .div_ceil(1000)
                            + 1
                    }
                    BudgetKind::Concurrent if stranded.is_process_gone => limits.reclaim_delay,
                    BudgetKind::Concurrent => continue,
                };
                let key = (name.clone(), *number, stranded.is_process_gone);
                let since = *running.stranded_since.entry(key.clone()).or_insert(now);
                if now >= since + reclaim_delay {
                    due.push((name.clone(), *number));
                }
                current_keys.insert(key);
            }
        }
        running
            .stranded_since
            .retain(|key, _| current_keys.contains(key));
        if !due.is_empty() {
            let command = Command::ReleaseStranded { stranded: due };
            let _ = running.node.propose(command.encode());
        }
        if running.pending_raise.is_some() {
            return;
        }
        let state = &running.state;
        let (mut raises, lowers) = running.allocator.allocate(state.budgets(), |id| {
            state
                .sessions()
                .get(&id)
                .map_or(1, |session| session.weight)
        });
        // A session whose definition of the budget differs in kind or window from the one in force gets no units.
        raises.retain(|(budget, session, ..)| state.matches_definition(*session, budget));
        if !raises.is_empty() {
            let command = Command::RaiseShares {
                changes: raises.clone(),
            };
            match running.node.propose(command.encode()) {
                Ok((_, index)) => running.pending_raise = Some(index),
                Err(_) => raises
                    .iter()
                    .for_each(|(budget, ..)| running.allocator.mark_changed(budget)),
            }
        }
        let sessions_to_lower: BTreeSet<SessionId> = lowers.into_iter().collect();
        sessions_to_lower
            .into_iter()
            .for_each(|id| self.notify_session(id, true));
    }
}

/// The reply to a request that the log has rejected.
fn rejection_reply(rejection: &Rejection) -> LeaderReply {
    match rejection {
        Rejection::NotLeader(_) => LeaderReply::NotLeader(None),
        _ => LeaderReply::RetryLater(format!("{rejection:?}")),
    }
}

/// The budgets that a command may have changed.
pub(super) fn affected_budgets(command: &Command) -> BTreeSet<Name> {
    match command {
        Command::RaiseShares { changes } => {
            changes.iter().map(|(budget, ..)| budget.clone()).collect()
        }
        Command::LowerShare { budget, .. } => [budget.clone()].into(),
        Command::ReleaseStranded { stranded } => {
            stranded.iter().map(|(budget, _)| budget.clone()).collect()
        }
        Command::Join { budgets, .. } => budgets
            .iter()
            .map(|definition| definition.name.clone())
            .collect(),
        _ => BTreeSet::new(),
    }
}
