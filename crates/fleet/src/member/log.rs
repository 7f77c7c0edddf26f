//! A voter's log: what goes out of it, what is applied, and snapshots of that.

use super::*;

impl Member {
    pub(super) fn pump(&mut self) {
        loop {
            let Some(running) = self.running_mut() else {
                return;
            };
            let outputs = running.node.outputs();
            if outputs.is_empty() {
                return;
            }
            for output in outputs {
                self.log_output(output);
            }
        }
    }

    pub(super) fn name_of(&self, id: NodeId) -> Option<Name> {
        let known = self
            .running()
            .and_then(|running| running.node.members().0.get(&id));
        let met = || {
            self.met
                .iter()
                .find(|(_, met)| **met == id)
                .map(|(name, _)| name.clone())
        };
        known.map(|member| member.name.clone()).or_else(met)
    }

    pub(super) fn log_output(&mut self, output: LogOutput) {
        let (now, limits) = (self.now, self.config.limits.clone());
        match output {
            LogOutput::Send(id, message) => {
                if let Some(to) = self.name_of(id) {
                    let from = self.id.unwrap_or_default();
                    self.out.push(Output::Send(
                        to,
                        Peer::Log {
                            from,
                            to: id,
                            message,
                        },
                    ));
                }
            }
            LogOutput::Write(write) => {
                let seq = write.seq;
                self.save(Record::Write(write), Save::Write(seq));
            }
            LogOutput::Committed(entries) => {
                for entry in entries {
                    self.apply(entry);
                }
                self.snapshot(&limits);
            }
            LogOutput::Restored(snapshot) => {
                let Some(running) = self.running_mut() else {
                    return;
                };
                running.applied = snapshot.index;
                match State::decode(&snapshot.data) {
                    Ok(state) => (running.state, running.halted) = (state, None),
                    Err(error) => self.halt(format!("a snapshot can't be read: {error}")),
                }
            }
            LogOutput::Leads(term) => {
                self.events.push(Event::Leads { term });
                if let Some(running) = self.running_mut() {
                    let sessions = running.state.sessions().keys().copied();
                    running.grantor.begin(sessions, now, &limits);
                    running.divider.clear();
                    running.board.clear();
                    running.raising = None;
                    running.cooling.clear();
                }
            }
            LogOutput::Follows(term) => {
                self.events.push(Event::Follows { term });
                let Some(running) = self.running_mut() else {
                    return;
                };
                running.grantor.end();
                running.jobs.clear();
                let proposals = std::mem::take(&mut running.proposals).into_values();
                let reads = std::mem::take(&mut running.reads).into_values();
                let proposals = proposals.map(|(_, from, number, _)| (from, number));
                let waiting: Vec<_> = proposals
                    .chain(reads.map(|(from, number, _)| (from, number)))
                    .collect();
                for (from, number) in waiting {
                    self.reply(from, number, Told::NotLeader(None));
                }
            }
            LogOutput::Read(token, _) => {
                let read = self
                    .running_mut()
                    .and_then(|running| running.reads.remove(&token));
                if let Some((from, number, ask)) = read {
                    self.confirmed(from, number, ask);
                }
            }
            LogOutput::ReadFailed(token) => {
                let read = self
                    .running_mut()
                    .and_then(|running| running.reads.remove(&token));
                if let Some((from, number, _)) = read {
                    self.reply(from, number, Told::NotLeader(None));
                }
            }
            LogOutput::Stale { own, seen } => self.events.push(Event::Stale { own, seen }),
        }
    }

    /// This program is too old for the log: it keeps it and votes, and settles nothing by it.
    fn halt(&mut self, why: String) {
        if let Some(running) = self.running_mut() {
            running.halted = Some(why.clone());
            self.events.push(Event::Halted { why });
        }
    }

    pub(super) fn apply(&mut self, entry: violetwind_consensus::Entry) {
        let (now, limits) = (self.now, self.config.limits.clone());
        let Some(running) = self.running_mut() else {
            return;
        };
        // Behind what it can't read nothing is as the others have it.
        if running.halted.is_some() {
            return;
        }
        running.applied = entry.index;
        let leads = running.node.leads();
        if running.raising == Some(entry.index) {
            running.raising = None;
        }
        let waiting = running.proposals.remove(&entry.index);
        let effect = match entry.payload {
            Payload::Command(bytes) => match Command::decode(&bytes) {
                Ok(command) => {
                    let before = leads.then(|| running.holders());
                    let touched = leader::touched(&command);
                    let raised: BTreeSet<SessionId> = match &command {
                        Command::Raise { changes } => {
                            changes.iter().map(|(_, id, ..)| *id).collect()
                        }
                        _ => BTreeSet::new(),
                    };
                    if matches!(command, Command::Leave { .. } | Command::Close { .. }) {
                        running.divider.touch_all();
                    }
                    let effect = running.state.apply(command);
                    touched
                        .iter()
                        .for_each(|budget| running.divider.touch(budget));
                    if let Some(before) = before {
                        let after = running.holders();
                        let moved = after
                            .into_iter()
                            .filter(|(duty, at)| before.get(duty) != Some(at));
                        let moved: BTreeSet<_> =
                            moved.filter_map(|(_, (holder, _))| holder).collect();
                        running
                            .grantor
                            .keep(|id| running.state.sessions().contains_key(&id));
                        running
                            .divider
                            .keep(|id| running.state.sessions().contains_key(&id));
                        running
                            .board
                            .keep(|id| running.state.sessions().contains_key(&id));
                        let moved = moved.into_iter().map(|(id, _)| id);
                        let urgent: BTreeSet<SessionId> = moved.collect();
                        let grown: Vec<_> = raised.difference(&urgent).copied().collect();
                        urgent.into_iter().for_each(|id| self.nudge(id, true));
                        grown.into_iter().for_each(|id| self.nudge(id, false));
                    }
                    effect
                }
                Err(error) => {
                    self.halt(format!("entry {} can't be read: {error}", entry.index));
                    Effect::Refused("it can't be read")
                }
            },
            Payload::Nothing | Payload::Members(_) => Effect::Done,
        };
        let Some((term, from, number, ask)) = waiting else {
            return;
        };
        let Some(running) = self.running_mut() else {
            return;
        };
        let told = match effect {
            _ if term != entry.term => Told::NotLeader(None),
            Effect::Joined(session) => {
                running.grantor.grant(session, now, &limits);
                let held = running.state.held(session);
                Told::Joined {
                    session,
                    at: running.applied,
                    held,
                    shares: running.state.shares(session),
                }
            }
            Effect::Unseen(seen) => Told::Unseen(seen),
            Effect::NameInUse => Told::Later("another session has this name".into()),
            Effect::Refused(why) => Told::Refused(why.into()),
            Effect::Against(why) => Told::Refused(why),
            Effect::Done => match ask {
                Ask::Lower { session, need, .. } => {
                    let known = running.state.budgets().get(&need.budget);
                    Told::Lowered(known.map(|known| known.share(session)).unwrap_or_default())
                }
                // Members of the log follow.
                Ask::Order(Order::LetIn { .. } | Order::PutOut { .. }) => return,
                Ask::Off { .. } => Told::NobodyServed,
                _ => Told::Done,
            },
        };
        self.reply(from, number, told);
    }

    pub(super) fn nudge(&mut self, session: SessionId, at_once: bool) {
        let Some(running) = self.running() else {
            return;
        };
        let Some(known) = running.state.sessions().get(&session) else {
            return;
        };
        let (name, at) = (known.name.clone(), running.applied);
        let (shares, lower) = (
            running.state.shares(session),
            running.divider.lower(session),
        );
        if name == self.config.node {
            self.holder.news(session, at, &shares, &lower);
            if at_once {
                self.holder.nudge(self.now);
            }
        } else {
            let nudge = Peer::Nudge {
                session,
                at,
                shares,
                lower,
                at_once,
            };
            self.out.push(Output::Send(name, nudge));
        }
    }

    pub(super) fn snapshot(&mut self, limits: &Limits) {
        if let Some(running) = self.running_mut()
            && running.halted.is_none()
            && running.applied >= running.node.status().snapshot + limits.snapshot_every
        {
            let data = running.state.encode();
            running.node.compact(running.applied, data);
        }
    }
}

impl Running {
    pub(super) fn new(saved: Saved, limits: &Limits, seed: u64, now: Millis) -> Self {
        Self {
            agreed: saved.agreed,
            node: Node::new(saved.id, saved.disk, limits.log.clone(), seed, now),
            state: State::default(),
            applied: 0,
            grantor: Grantor::default(),
            proposals: BTreeMap::new(),
            reads: BTreeMap::new(),
            next_read: 0,
            jobs: BTreeMap::new(),
            divider: Divider::default(),
            board: work::Board::default(),
            raising: None,
            cooling: BTreeMap::new(),
            halted: None,
        }
    }

    /// Who holds what, and whether it is asked back.
    pub(super) fn holders(&self) -> BTreeMap<Name, (Option<(SessionId, Number)>, bool)> {
        let duties = self.state.duties().iter();
        duties
            .map(|(name, duty)| (name.clone(), (duty.holder, duty.asked.is_some())))
            .collect()
    }

    /// The next step of letting a member in; what to answer when it is done or can't be.
    pub(super) fn let_in(&mut self, name: &Name, id: Option<NodeId>) -> Option<Told> {
        if self.state.barred().contains(name) {
            let command = Command::Unbar { name: name.clone() };
            let _ = self.node.propose(command.encode());
            return None;
        }
        // One that does not vote has no part in the log.
        let Some(id) = id else {
            return Some(Told::Done);
        };
        let members = self.node.members();
        let change = match members.named(name) {
            Some(known) if known != id => Change::Remove(known),
            Some(_) if members.votes(id) => return Some(Told::Done),
            Some(_) => Change::Promote(id),
            None => Change::Add(id, name.clone()),
        };
        match self.node.change(change) {
            Err(Refused::Full) => Some(Told::Refused("too many members of the log".into())),
            // The change before it is on its way, or the member has not got the log yet.
            _ => None,
        }
    }

    pub(super) fn put_out(&mut self, name: &Name) -> Option<Told> {
        if !self.state.barred().contains(name) {
            let command = Command::Bar { name: name.clone() };
            let _ = self.node.propose(command.encode());
            return None;
        }
        let Some(id) = self.node.members().named(name) else {
            return Some(Told::Done);
        };
        match self.node.change(Change::Remove(id)) {
            Err(Refused::Senseless) => Some(Told::Refused("it is the last that votes".into())),
            _ => None,
        }
    }
}
