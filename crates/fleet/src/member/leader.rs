//! The leader's part: asks of members, leases that end, who is let in or put out, and the division of budgets.

use super::*;

impl Member {
    pub(super) fn handle_request(&mut self, from: Name, number: Number, ask: LeaderRequest) {
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
        if running.pending_reads.len() + running.pending_proposals.len()
            >= limits.max_pending_leader_requests
        {
            self.events.push(Event::Full {
                what: "asks at a leader",
            });
            return self.reply(from, number, LeaderReply::RetryLater("too many ask".into()));
        }
        if let Some(told) = self.handle_work_request(&from, number, &ask) {
            return self.reply(from, number, told);
        }
        let of_work = match &ask {
            LeaderRequest::StopServing { .. } | LeaderRequest::ProposeWorkChange { .. } => {
                match self.work_command(&from, &ask) {
                    Ok(command) => Some(command),
                    Err(told) => return self.reply(from, number, *told),
                }
            }
            _ => None,
        };
        let Some(running) = self.running_mut() else {
            return;
        };
        let command = match &ask {
            LeaderRequest::StopServing { .. }
            | LeaderRequest::ProposeWorkChange { .. }
            | LeaderRequest::ReportWork { .. }
            | LeaderRequest::PollAsCoordinator { .. } => of_work,
            LeaderRequest::Renew { session, .. } => {
                let known = running.state.sessions().get(session);
                let own = known.is_some_and(|known| known.name == from);
                let barred = running.state.blocked_members().contains(&from);
                if !own || !running.leases.is_renewable(*session) {
                    return self.reply(from, number, LeaderReply::SessionNotFound);
                }
                if barred {
                    // The lease runs out.
                    return self.reply(from, number, LeaderReply::RetryLater("put out".into()));
                }
                None
            }
            LeaderRequest::FleetView => None,
            LeaderRequest::Join {
                nonce,
                wanted_duties: wants,
                replaced_session: replaces,
                incarnation: process,
                last_seen_number: seen,
                weight,
                budgets,
                units_in_use: uses,
            } => {
                // A session that there is already is confirmed like a renewal.
                let known = running.state.session_by_name(&from);
                match known {
                    Some((id, known)) if known.nonce == *nonce => {
                        if !running.leases.is_renewable(id) {
                            return self.reply(
                                from,
                                number,
                                LeaderReply::RetryLater("it is ending".into()),
                            );
                        }
                        None
                    }
                    Some((id, _)) if *replaces != Some(id) => {
                        let told = LeaderReply::RetryLater("another session has this name".into());
                        return self.reply(from, number, told);
                    }
                    _ if *seen < running.state.required_last_seen_number(&from) => {
                        let unseen = running.state.required_last_seen_number(&from);
                        return self.reply(from, number, LeaderReply::JoinOutdated(unseen));
                    }
                    _ => {
                        let (name, nonce, wants) = (from.clone(), *nonce, wants.clone());
                        Some(Command::Join {
                            name,
                            nonce,
                            wanted_duties: wants,
                            replaced_session: *replaces,
                            incarnation: *process,
                            last_seen_number: *seen,
                            weight: *weight,
                            budgets: budgets.clone(),
                            units_in_use: uses.clone(),
                        })
                    }
                }
            }
            LeaderRequest::ReleaseDuty {
                session,
                duty,
                fence,
                preferred_holder: to,
            } => {
                let (session, fence) = (*session, *fence);
                Some(Command::ReleaseDuty {
                    session,
                    duty: duty.clone(),
                    fence,
                    preferred_holder: to.clone(),
                })
            }
            LeaderRequest::LowerShare {
                session,
                need,
                units: to,
                share_version: version,
            } => {
                let known = running.state.sessions().get(session);
                if known.is_none_or(|known| known.name != from) {
                    return self.reply(from, number, LeaderReply::SessionNotFound);
                }
                // Or what was wanted a while ago would be given back to it.
                let needs = std::slice::from_ref(need);
                running.allocator.update_needs(*session, needs);
                let (session, to, version) = (*session, *to, *version);
                Some(Command::LowerShare {
                    session,
                    budget: need.budget.clone(),
                    units: to,
                    share_version: version,
                })
            }
            LeaderRequest::BeginLeave { session } | LeaderRequest::Leave { session, .. } => {
                let known = running.state.sessions().get(session);
                if known.is_none_or(|known| known.name != from) {
                    return self.reply(from, number, LeaderReply::SessionNotFound);
                }
                let session = *session;
                Some(match &ask {
                    LeaderRequest::Leave {
                        units_in_use: uses, ..
                    } => {
                        running.leases.mark_closing(session);
                        Command::Leave {
                            session,
                            units_in_use: uses.clone(),
                        }
                    }
                    _ => Command::BeginLeave { session },
                })
            }
            LeaderRequest::FleetAction(FleetAction::DeclareMemberLost { node }) => {
                Some(Command::DeclareMemberLost { name: node.clone() })
            }
            LeaderRequest::FleetAction(FleetAction::HandOffDuty {
                duty,
                preferred_holder: to,
            }) => Some(Command::HandOffDuty {
                duty: duty.clone(),
                preferred_holder: to.clone(),
            }),
            // Looked at once a majority has confirmed that this member still leads: its books may have an order as done
            // already though a later leader has undone it, and a machine as empty that is in use again.
            LeaderRequest::FleetAction(
                FleetAction::AdmitMember { .. } | FleetAction::EvictMember { .. },
            ) => None,
            LeaderRequest::WorkAction(_) | LeaderRequest::WorkView => None,
        };
        match command {
            None => self.read(from, number, ask),
            Some(command) => self.propose(command, from, number, ask),
        }
    }

    /// Answers once a majority has confirmed that this member leads, by [`Self::confirmed`].
    fn read(&mut self, from: Name, number: Number, ask: LeaderRequest) {
        let Some(running) = self.running_mut() else {
            return;
        };
        running.last_read_id += 1;
        let token = running.last_read_id;
        running
            .pending_reads
            .insert(token, (from.clone(), number, ask));
        if let Err(refused) = running.node.request_read(token) {
            running.pending_reads.remove(&token);
            self.reply(from, number, not_now(&refused));
        }
    }

    /// Answers once the command is in the log.
    fn propose(&mut self, command: Command, from: Name, number: Number, ask: LeaderRequest) {
        let Some(running) = self.running_mut() else {
            return;
        };
        match running.node.propose(command.encode()) {
            Ok((term, index)) => {
                let waiting = (term, from, number, ask);
                running.pending_proposals.insert(index, waiting);
            }
            Err(refused) => self.reply(from, number, not_now(&refused)),
        }
    }

    /// A majority has confirmed, after the ask came, that this member still leads.
    pub(super) fn answer_confirmed_read(&mut self, from: Name, number: Number, ask: LeaderRequest) {
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
        let told = match ask {
            LeaderRequest::FleetAction(FleetAction::AdmitMember { node }) => {
                return self.begin_job(node, true, (from, number));
            }
            LeaderRequest::FleetAction(FleetAction::EvictMember { node }) => {
                return self.begin_job(node, false, (from, number));
            }
            LeaderRequest::WorkAction(_) => match self.work_command(&from, &ask) {
                Ok(command) => return self.propose(command, from, number, ask),
                Err(told) => *told,
            },
            LeaderRequest::WorkView => match self.work_view() {
                Some(view) => LeaderReply::WorkView(view),
                None => LeaderReply::NotLeader(None),
            },
            LeaderRequest::Renew {
                session,
                needs,
                known_version: have,
            } => {
                let there = running.state.sessions().contains_key(&session);
                if there && running.leases.is_renewable(session) {
                    running.leases.grant(session, now, &limits);
                    let held = running.state.held_duties(session);
                    {
                        running.allocator.update_needs(session, &needs);
                        let shares = running.state.shares(session);
                        LeaderReply::Renewed {
                            applied_index: running.applied_index,
                            held_duties: held,
                            duties_to_release: running.state.duties_to_release(session),
                            shares: (shares.0 != have).then_some(shares),
                            lower_targets: running.allocator.lower_targets(session),
                            term: running.node.status().term,
                        }
                    }
                } else {
                    LeaderReply::SessionNotFound
                }
            }
            LeaderRequest::Join { nonce, .. } => match running.state.session_by_name(&from) {
                Some((session, known))
                    if known.nonce == nonce && running.leases.is_renewable(session) =>
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
        self.reply(from, number, told);
    }

    /// Lets a member in or puts it out, step by step; the operator who asked has the answer when it is done.
    fn begin_job(&mut self, node: Name, into: bool, (from, number): (Name, Number)) {
        let Some(running) = self.running_mut() else {
            return;
        };
        let job = MembershipJob {
            is_admission: into,
            requester: from,
            request_number: number,
        };
        if let Some(earlier) = running.membership_jobs.insert(node, job) {
            let told = LeaderReply::Refused("another order came".into());
            self.reply(earlier.requester, earlier.request_number, told);
        }
        self.run_leader_tasks();
    }

    pub(super) fn fleet_view(&mut self) -> FleetView {
        if self.running().is_none() {
            return self.fleet_view_without_leader("no log here".into());
        }
        let running = self.running().expect("just seen");
        let (log, status, limits) = (
            running.node.members(),
            running.node.status(),
            &self.config.limits,
        );
        let sessions = running.state.sessions();
        let mut names: BTreeSet<&Name> = self.config.peers.keys().collect();
        names.extend(sessions.values().map(|session| &session.name));
        // One that never votes and is put out is in no file and has no session: staff have to see it all the same.
        names.extend(running.state.blocked_members());
        names.extend(log.0.values().map(|member| &member.name));
        let members = names.into_iter().map(|name| {
            let session = running.state.session_by_name(name);
            let renewed = session.and_then(|(id, _)| running.leases.last_renewed_at(id));
            let since = renewed.map(|renewed| self.now.saturating_sub(renewed));
            let in_log = log.id_by_name(name);
            let wants_to_vote = self.config.peers.get(name).copied().unwrap_or(false);
            let state = if running.state.blocked_members().contains(name) {
                "out"
            } else if wants_to_vote
                && in_log.is_none_or(|id| self.peer_ids.get(name).is_some_and(|met| *met != id))
            {
                "stranger"
            } else {
                match since {
                    None => "none",
                    Some(since) if since > 2 * limits.renew_interval => "silent",
                    Some(_) => "live",
                }
            };
            MemberView {
                node: name.clone(),
                votes: in_log.is_some_and(|id| log.is_voter(id)),
                state: state.into(),
                since_ms: since,
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
                >= log.majority(),
            members: members.collect(),
            duties: duties.collect(),
            budgets: budgets.collect(),
            why: None,
        }
    }

    /// What a leader does by itself: ends leases, and goes on with who is let in or put out.
    pub(super) fn run_leader_tasks(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self
            .running_mut()
            .filter(|running| running.node.is_ready_leader())
        else {
            return;
        };
        if running.halt_reason.is_some() {
            // Another may be able to read it; until then sessions only run out where they are held.
            if let Some(to) = running.node.transfer_target() {
                let _ = running.node.transfer_leadership(to);
            }
            return;
        }
        let over = running.leases.expired_sessions(now);
        if !over.is_empty() {
            let avoid = running
                .leases
                .silent_sessions(now, 2 * limits.renew_interval);
            let command = Command::CloseSessions {
                sessions: over.clone(),
                avoided_sessions: avoid,
            };
            if running.node.propose(command.encode()).is_ok() {
                let mut ended = Vec::new();
                for id in over {
                    running.leases.mark_closing(id);
                    if let Some(session) = running.state.sessions().get(&id) {
                        let since =
                            now.saturating_sub(running.leases.last_renewed_at(id).unwrap_or(now));
                        let (name, why) = (session.name.clone(), LossReason::NotRenewed { since });
                        ended.push(Event::Ended { name, why });
                    }
                }
                self.events.extend(ended);
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
            let own = (name == self.config.node).then_some(self.id).flatten();
            let votes = self.config.peers.get(&name).copied().unwrap_or(false);
            let Some(running) = self.running_mut() else {
                return;
            };
            let told = match job.is_admission {
                true => running.advance_admission(&name, id.or(own).filter(|_| votes)),
                false => running.advance_eviction(&name),
            };
            if let Some(told) = told {
                running.membership_jobs.remove(&name);
                self.reply(job.requester, job.request_number, told);
            }
        }
    }

    /// Divides budgets whose needs have changed, and frees what is not in use any more.
    pub(super) fn allocate_budgets(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self
            .running_mut()
            .filter(|running| running.node.is_ready_leader())
        else {
            return;
        };
        let mut due = Vec::new();
        let mut there = BTreeSet::new();
        for (name, budget) in running.state.budgets() {
            let def = budget.definition();
            for (number, stranded) in budget.stranded() {
                let span = match def.kind {
                    // Whatever clocks say, the window has passed for everybody.
                    BudgetKind::Rate => {
                        def.window
                            + 2 * (def.window * limits.max_clock_drift_permille).div_ceil(1000)
                            + 1
                    }
                    BudgetKind::Concurrent if stranded.is_process_gone => limits.reclaim_delay,
                    BudgetKind::Concurrent => continue,
                };
                let key = (name.clone(), *number, stranded.is_process_gone);
                let since = *running.stranded_since.entry(key.clone()).or_insert(now);
                if now >= since + span {
                    due.push((name.clone(), *number));
                }
                there.insert(key);
            }
        }
        running.stranded_since.retain(|key, _| there.contains(key));
        if !due.is_empty() {
            let command = Command::ReleaseStranded { stranded: due };
            let _ = running.node.propose(command.encode());
        }
        if running.pending_raise.is_some() {
            return;
        }
        let state = &running.state;
        let (mut raises, lowers) = running.allocator.allocate(state.budgets(), |id| {
            state.sessions().get(&id).map_or(1, |known| known.weight)
        });
        // Who counts another way than is in force gets nothing.
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
        let asked: BTreeSet<SessionId> = lowers.into_iter().collect();
        asked
            .into_iter()
            .for_each(|id| self.notify_session(id, true));
    }
}

/// Why the log takes nothing from this member now.
fn not_now(refused: &Rejection) -> LeaderReply {
    match refused {
        Rejection::NotLeader(_) => LeaderReply::NotLeader(None),
        _ => LeaderReply::RetryLater(format!("{refused:?}")),
    }
}

/// Budgets that a command may have changed.
pub(super) fn affected_budgets(command: &Command) -> BTreeSet<Name> {
    match command {
        Command::RaiseShares { changes } => {
            changes.iter().map(|(budget, ..)| budget.clone()).collect()
        }
        Command::LowerShare { budget, .. } => [budget.clone()].into(),
        Command::ReleaseStranded { stranded } => {
            stranded.iter().map(|(budget, _)| budget.clone()).collect()
        }
        Command::Join { budgets, .. } => budgets.iter().map(|def| def.name.clone()).collect(),
        _ => BTreeSet::new(),
    }
}
