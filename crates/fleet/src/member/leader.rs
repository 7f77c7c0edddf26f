//! The leader's part: asks of members, leases that end, who is let in or put out, and the division of budgets.

use super::*;

impl Member {
    pub(super) fn asked(&mut self, from: Name, number: Number, ask: Ask) {
        let leader = self.leader_here();
        let limits = self.config.limits.clone();
        let Some(running) = self.running_mut().filter(|running| running.node.leads()) else {
            return self.reply(from, number, Told::NotLeader(leader));
        };
        if running.halted.is_some() {
            return self.reply(
                from,
                number,
                Told::Later("this leader can't read its log".into()),
            );
        }
        if running.reads.len() + running.proposals.len() >= limits.asks {
            self.events.push(Event::Full {
                what: "asks at a leader",
            });
            return self.reply(from, number, Told::Later("too many ask".into()));
        }
        if let Some(told) = self.asked_work(&from, number, &ask) {
            return self.reply(from, number, told);
        }
        let of_work = match &ask {
            Ask::Off { .. } | Ask::Propose { .. } => match self.work_command(&from, &ask) {
                Ok(command) => Some(command),
                Err(told) => return self.reply(from, number, *told),
            },
            _ => None,
        };
        let Some(running) = self.running_mut() else {
            return;
        };
        let command = match &ask {
            Ask::Off { .. } | Ask::Propose { .. } | Ask::Work { .. } | Ask::Conduct { .. } => {
                of_work
            }
            Ask::Renew { session, .. } => {
                let known = running.state.sessions().get(session);
                let own = known.is_some_and(|known| known.name == from);
                let barred = running.state.barred().contains(&from);
                if !own || !running.grantor.renewable(*session) {
                    return self.reply(from, number, Told::Gone);
                }
                if barred {
                    // The lease runs out.
                    return self.reply(from, number, Told::Later("put out".into()));
                }
                None
            }
            Ask::View => None,
            Ask::Join {
                nonce,
                wants,
                replaces,
                process,
                seen,
                weight,
                budgets,
                uses,
            } => {
                // A session that there is already is confirmed like a renewal.
                let known = running.state.session_of(&from);
                match known {
                    Some((id, known)) if known.nonce == *nonce => {
                        if !running.grantor.renewable(id) {
                            return self.reply(from, number, Told::Later("it is ending".into()));
                        }
                        None
                    }
                    Some((id, _)) if *replaces != Some(id) => {
                        let told = Told::Later("another session has this name".into());
                        return self.reply(from, number, told);
                    }
                    _ if *seen < running.state.unseen(&from) => {
                        let unseen = running.state.unseen(&from);
                        return self.reply(from, number, Told::Unseen(unseen));
                    }
                    _ => {
                        let (name, nonce, wants) = (from.clone(), *nonce, wants.clone());
                        Some(Command::Join {
                            name,
                            nonce,
                            wants,
                            replaces: *replaces,
                            process: *process,
                            seen: *seen,
                            weight: *weight,
                            budgets: budgets.clone(),
                            uses: uses.clone(),
                        })
                    }
                }
            }
            Ask::Release {
                session,
                duty,
                fence,
                to,
            } => {
                let (session, fence) = (*session, *fence);
                Some(Command::Release {
                    session,
                    duty: duty.clone(),
                    fence,
                    to: to.clone(),
                })
            }
            Ask::Lower {
                session,
                need,
                to,
                version,
            } => {
                let known = running.state.sessions().get(session);
                if known.is_none_or(|known| known.name != from) {
                    return self.reply(from, number, Told::Gone);
                }
                // Or what was wanted a while ago would be given back to it.
                let needs = std::slice::from_ref(need);
                running.divider.need(*session, needs);
                let (session, to, version) = (*session, *to, *version);
                Some(Command::Lower {
                    session,
                    budget: need.budget.clone(),
                    to,
                    version,
                })
            }
            Ask::Retire { session } | Ask::Leave { session, .. } => {
                let known = running.state.sessions().get(session);
                if known.is_none_or(|known| known.name != from) {
                    return self.reply(from, number, Told::Gone);
                }
                let session = *session;
                Some(match &ask {
                    Ask::Leave { uses, .. } => {
                        running.grantor.close(session);
                        Command::Leave {
                            session,
                            uses: uses.clone(),
                        }
                    }
                    _ => Command::Retire { session },
                })
            }
            Ask::Order(Order::Gone { node }) => Some(Command::Gone { name: node.clone() }),
            Ask::Order(Order::HandOn { duty, to }) => Some(Command::HandOn {
                duty: duty.clone(),
                to: to.clone(),
            }),
            // Looked at once a majority has confirmed that this member still leads: its books may have an order as done
            // already though a later leader has undone it, and a machine as empty that is in use again.
            Ask::Order(Order::LetIn { .. } | Order::PutOut { .. }) => None,
            Ask::Staff(_) | Ask::WorkView => None,
        };
        match command {
            None => self.read(from, number, ask),
            Some(command) => self.propose(command, from, number, ask),
        }
    }

    /// Answers once a majority has confirmed that this member leads, by [`Self::confirmed`].
    fn read(&mut self, from: Name, number: Number, ask: Ask) {
        let Some(running) = self.running_mut() else {
            return;
        };
        running.next_read += 1;
        let token = running.next_read;
        running.reads.insert(token, (from.clone(), number, ask));
        if let Err(refused) = running.node.read(token) {
            running.reads.remove(&token);
            self.reply(from, number, not_now(&refused));
        }
    }

    /// Answers once the command is in the log.
    fn propose(&mut self, command: Command, from: Name, number: Number, ask: Ask) {
        let Some(running) = self.running_mut() else {
            return;
        };
        match running.node.propose(command.encode()) {
            Ok((term, index)) => {
                let waiting = (term, from, number, ask);
                running.proposals.insert(index, waiting);
            }
            Err(refused) => self.reply(from, number, not_now(&refused)),
        }
    }

    /// A majority has confirmed, after the ask came, that this member still leads.
    pub(super) fn confirmed(&mut self, from: Name, number: Number, ask: Ask) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self.running_mut() else {
            return;
        };
        if running.halted.is_some() {
            return self.reply(
                from,
                number,
                Told::Later("this leader can't read its log".into()),
            );
        }
        let told = match ask {
            Ask::Order(Order::LetIn { node }) => {
                return self.begin_job(node, true, (from, number));
            }
            Ask::Order(Order::PutOut { node }) => {
                return self.begin_job(node, false, (from, number));
            }
            Ask::Staff(_) => match self.work_command(&from, &ask) {
                Ok(command) => return self.propose(command, from, number, ask),
                Err(told) => *told,
            },
            Ask::WorkView => match self.work_view() {
                Some(view) => Told::WorkView(view),
                None => Told::NotLeader(None),
            },
            Ask::Renew {
                session,
                needs,
                have,
            } => {
                let there = running.state.sessions().contains_key(&session);
                if there && running.grantor.renewable(session) {
                    running.grantor.grant(session, now, &limits);
                    let held = running.state.held(session);
                    {
                        running.divider.need(session, &needs);
                        let shares = running.state.shares(session);
                        Told::Renewed {
                            at: running.applied,
                            held,
                            give_up: running.state.give_up(session),
                            shares: (shares.0 != have).then_some(shares),
                            lower: running.divider.lower(session),
                            term: running.node.status().term,
                        }
                    }
                } else {
                    Told::Gone
                }
            }
            Ask::Join { nonce, .. } => match running.state.session_of(&from) {
                Some((session, known))
                    if known.nonce == nonce && running.grantor.renewable(session) =>
                {
                    running.grantor.grant(session, now, &limits);
                    Told::Joined {
                        session,
                        at: running.applied,
                        held: running.state.held(session),
                        shares: running.state.shares(session),
                    }
                }
                _ => Told::Later("it has ended meanwhile".into()),
            },
            Ask::View => Told::View(self.view()),
            _ => Told::Later("no read".into()),
        };
        self.reply(from, number, told);
    }

    /// Lets a member in or puts it out, step by step; the operator who asked has the answer when it is done.
    fn begin_job(&mut self, node: Name, into: bool, (from, number): (Name, Number)) {
        let Some(running) = self.running_mut() else {
            return;
        };
        let job = Job { into, from, number };
        if let Some(earlier) = running.jobs.insert(node, job) {
            let told = Told::Refused("another order came".into());
            self.reply(earlier.from, earlier.number, told);
        }
        self.lead();
    }

    pub(super) fn view(&mut self) -> View {
        if self.running().is_none() {
            return self.view_alone("no log here".into());
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
        names.extend(running.state.barred());
        names.extend(log.0.values().map(|member| &member.name));
        let members = names.into_iter().map(|name| {
            let session = running.state.session_of(name);
            let renewed = session.and_then(|(id, _)| running.grantor.renewed(id));
            let since = renewed.map(|renewed| self.now.saturating_sub(renewed));
            let in_log = log.named(name);
            let wants_to_vote = self.config.peers.get(name).copied().unwrap_or(false);
            let state = if running.state.barred().contains(name) {
                "out"
            } else if wants_to_vote
                && in_log.is_none_or(|id| self.met.get(name).is_some_and(|met| *met != id))
            {
                "stranger"
            } else {
                match since {
                    None => "none",
                    Some(since) if since > 2 * limits.renew => "silent",
                    Some(_) => "live",
                }
            };
            MemberView {
                node: name.clone(),
                votes: in_log.is_some_and(|id| log.votes(id)),
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
                whole: Some(budget.def().whole),
                version: budget.def().version,
                floors: budget.def().whole.saturating_sub(budget.pool()),
                shared,
                stranded,
                free: budget.free(),
                used_here: 0,
                allowed_here: 0,
            }
        });
        View {
            node: self.config.node.clone(),
            leader: self.leader_here(),
            term: status.term,
            commit: status.commit,
            majority: running.node.heard_within(limits.log.election) >= log.majority(),
            members: members.collect(),
            duties: duties.collect(),
            budgets: budgets.collect(),
            why: None,
        }
    }

    /// What a leader does by itself: ends leases, and goes on with who is let in or put out.
    pub(super) fn lead(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self.running_mut().filter(|running| running.node.leads()) else {
            return;
        };
        if running.halted.is_some() {
            // Another may be able to read it; until then sessions only run out where they are held.
            if let Some(to) = running.node.closest() {
                let _ = running.node.transfer(to);
            }
            return;
        }
        let over = running.grantor.over(now);
        if !over.is_empty() {
            let avoid = running.grantor.silent(now, 2 * limits.renew);
            let command = Command::Close {
                sessions: over.clone(),
                avoid,
            };
            if running.node.propose(command.encode()).is_ok() {
                let mut ended = Vec::new();
                for id in over {
                    running.grantor.close(id);
                    if let Some(session) = running.state.sessions().get(&id) {
                        let since = now.saturating_sub(running.grantor.renewed(id).unwrap_or(now));
                        let (name, why) = (session.name.clone(), Why::NotRenewed { since });
                        ended.push(Event::Ended { name, why });
                    }
                }
                self.events.extend(ended);
            }
        }
        self.divide();
        let jobs: Vec<(Name, Job)> = match self.running() {
            Some(running) => running
                .jobs
                .iter()
                .map(|(name, job)| (name.clone(), job.clone()))
                .collect(),
            None => return,
        };
        for (name, job) in jobs {
            let id = self.met.get(&name).copied();
            let own = (name == self.config.node).then_some(self.id).flatten();
            let votes = self.config.peers.get(&name).copied().unwrap_or(false);
            let Some(running) = self.running_mut() else {
                return;
            };
            let told = match job.into {
                true => running.let_in(&name, id.or(own).filter(|_| votes)),
                false => running.put_out(&name),
            };
            if let Some(told) = told {
                running.jobs.remove(&name);
                self.reply(job.from, job.number, told);
            }
        }
    }

    /// Divides budgets whose needs have changed, and frees what is not in use any more.
    pub(super) fn divide(&mut self) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self.running_mut().filter(|running| running.node.leads()) else {
            return;
        };
        let mut due = Vec::new();
        let mut there = BTreeSet::new();
        for (name, budget) in running.state.budgets() {
            let def = budget.def();
            for (number, stranded) in budget.stranded() {
                let span = match def.kind {
                    // Whatever clocks say, the window has passed for everybody.
                    Kind::Rate => {
                        def.window + 2 * (def.window * limits.drift_permille).div_ceil(1000) + 1
                    }
                    Kind::Held if stranded.gone => limits.linger,
                    Kind::Held => continue,
                };
                let key = (name.clone(), *number, stranded.gone);
                let since = *running.cooling.entry(key.clone()).or_insert(now);
                if now >= since + span {
                    due.push((name.clone(), *number));
                }
                there.insert(key);
            }
        }
        running.cooling.retain(|key, _| there.contains(key));
        if !due.is_empty() {
            let command = Command::Free { stranded: due };
            let _ = running.node.propose(command.encode());
        }
        if running.raising.is_some() {
            return;
        }
        let state = &running.state;
        let (mut raises, lowers) = running.divider.divide(state.budgets(), |id| {
            state.sessions().get(&id).map_or(1, |known| known.weight)
        });
        // Who counts another way than is in force gets nothing.
        raises.retain(|(budget, session, ..)| state.fits(*session, budget));
        if !raises.is_empty() {
            let command = Command::Raise {
                changes: raises.clone(),
            };
            match running.node.propose(command.encode()) {
                Ok((_, index)) => running.raising = Some(index),
                Err(_) => raises
                    .iter()
                    .for_each(|(budget, ..)| running.divider.touch(budget)),
            }
        }
        let asked: BTreeSet<SessionId> = lowers.into_iter().collect();
        asked.into_iter().for_each(|id| self.nudge(id, true));
    }
}

/// Why the log takes nothing from this member now.
fn not_now(refused: &Refused) -> Told {
    match refused {
        Refused::NotLeader(_) => Told::NotLeader(None),
        _ => Told::Later(format!("{refused:?}")),
    }
}

/// Budgets that a command may have changed.
pub(super) fn touched(command: &Command) -> BTreeSet<Name> {
    match command {
        Command::Raise { changes } => changes.iter().map(|(budget, ..)| budget.clone()).collect(),
        Command::Lower { budget, .. } => [budget.clone()].into(),
        Command::Free { stranded } => stranded.iter().map(|(budget, _)| budget.clone()).collect(),
        Command::Join { budgets, .. } => budgets.iter().map(|def| def.name.clone()).collect(),
        _ => BTreeSet::new(),
    }
}
