//! What operators and their programs call for, and what the fleet looks like from here.

use super::*;

impl Member {
    pub(super) fn call(&mut self, token: Number, call: Call) {
        let (now, limits) = (self.now, &self.config.limits);
        let answer = match call {
            Call::Hold { duty, token } => match self.holder.hold(&duty, &token, now, limits) {
                Ok((fence, left)) => Answer::Held { fence, left },
                Err(why) => Answer::NotHeld(why),
            },
            Call::Done { duty, token } => {
                self.holder.done(&duty, &token);
                Answer::Done
            }
            Call::Take {
                budget,
                token: unit,
                within,
                wait,
            } => {
                let ask = UnitAsked {
                    number: token,
                    budget,
                    token: unit,
                    within,
                    until: now + wait,
                };
                return self.take(ask);
            }
            Call::Give {
                budget,
                token: unit,
            } => {
                if self.units.out.remove(&(budget.clone(), unit)).is_some() {
                    self.holder.give(&budget);
                }
                Answer::Done
            }
            Call::View | Call::Order(_) | Call::Staff(_) | Call::WorkView => {
                let ask = match call {
                    Call::Order(order) => Ask::Order(order),
                    Call::Staff(staff) => Ask::Staff(staff),
                    Call::WorkView => Ask::WorkView,
                    _ => Ask::View,
                };
                return self.send_call(CallOut {
                    token,
                    ask,
                    begun: now,
                    asked: now,
                });
            }
        };
        self.out.push(Output::Answer(token, answer));
    }

    pub(super) fn take(&mut self, ask: UnitAsked) {
        let (now, limits) = (self.now, &self.config.limits);
        let key = (ask.budget.clone(), ask.token.clone());
        let def = self
            .holder
            .budgets()
            .iter()
            .find(|def| def.name == ask.budget);
        let held = def.is_some_and(|def| def.kind == Kind::Held);
        if held && let Some(until) = self.units.out.get_mut(&key) {
            *until = (*until).max(now + ask.within);
            return self.out.push(Output::Answer(ask.number, Answer::Taken));
        }
        let answer = match self.holder.take(&ask.budget, now, limits) {
            Taken::Yes => {
                if held {
                    self.units.out.insert(key, now + ask.within);
                }
                Answer::Taken
            }
            Taken::No { .. } if now < ask.until && self.units.waiting.len() < limits.waits => {
                return self.units.waiting.push_back(ask);
            }
            Taken::No { again } => Answer::NoUnit { again },
            Taken::Unknown => Answer::Refused("this member has no such budget".into()),
        };
        self.out.push(Output::Answer(ask.number, answer));
    }

    /// Units that have come back, and those who wait for one: in their order.
    pub(super) fn serve_units(&mut self) {
        let now = self.now;
        let over: Vec<_> = self
            .units
            .out
            .extract_if(.., |_, until| now >= *until)
            .collect();
        for ((budget, _), _) in over {
            self.holder.give(&budget);
        }
        if self.units.waiting.is_empty() {
            return;
        }
        for ask in std::mem::take(&mut self.units.waiting) {
            let used = self.holder.used(&ask.budget, now, &self.config.limits);
            if now < ask.until && used.is_some_and(|(busy, allowed)| busy >= allowed) {
                self.units.waiting.push_back(ask);
            } else {
                self.take(ask);
            }
        }
    }

    pub(super) fn send_call(&mut self, mut call: CallOut) {
        self.next_call += 1;
        call.asked = self.now;
        let (number, ask) = (self.next_call, call.ask.clone());
        self.calls.insert(number, call);
        if let Some(to) = self.compass.target() {
            self.send_ask(to, number, ask);
        }
    }

    /// Nobody that leads has answered in time.
    pub(super) fn give_up(&mut self, call: CallOut) {
        let why = self.without_majority();
        let answer = match call.ask {
            Ask::View => Answer::View(self.view_alone(why)),
            Ask::WorkView => Answer::WorkView(self.work_alone(why)),
            // A member is let in or put out in steps, each of which is committed.
            Ask::Order(Order::LetIn { .. } | Order::PutOut { .. }) => {
                Answer::Refused(format!("not done yet, call again: {why}"))
            }
            _ => Answer::Refused(why),
        };
        self.out.push(Output::Answer(call.token, answer));
    }

    pub(super) fn without_majority(&self) -> String {
        match &self.voter {
            Some(Voter::Forming(formation)) => formation.waits_for(),
            Some(Voter::Running(running)) if running.halted.is_some() => {
                running.halted.clone().unwrap_or_default()
            }
            _ => {
                let since = self.now.saturating_sub(self.holder.answered());
                format!("nobody that leads has answered for {since} ms")
            }
        }
    }

    pub(super) fn own(&mut self, view: &mut View) {
        for budget in &mut view.budgets {
            let used = self
                .holder
                .used(&budget.name, self.now, &self.config.limits);
            (budget.used_here, budget.allowed_here) = used.unwrap_or_default();
        }
        view.node = self.config.node.clone();
        for duty in &mut view.duties {
            let held = self.holder.holds(&duty.name, self.now, &self.config.limits);
            duty.mine = held.is_some_and(|(fence, _)| Some(fence) == duty.fence);
        }
    }

    /// What is known here without a leader: nothing of the others' duties.
    pub(super) fn view_alone(&mut self, why: String) -> View {
        let defs = self.config.budgets.clone();
        let budgets = defs.into_iter().map(|def| {
            let used = self.holder.used(&def.name, self.now, &self.config.limits);
            let (used_here, allowed_here) = used.unwrap_or_default();
            BudgetView {
                name: def.name,
                whole: None,
                version: def.version,
                floors: def.floor * def.members,
                shared: 0,
                stranded: 0,
                free: 0,
                used_here,
                allowed_here,
            }
        });
        let budgets = budgets.collect();
        let log = self.log();
        let members = self.config.peers.iter().map(|(node, votes)| MemberView {
            node: node.clone(),
            votes: *votes,
            state: if *node == self.config.node {
                "live"
            } else {
                "unknown"
            }
            .into(),
            since_ms: None,
        });
        let duties = self.config.duties.iter().map(|name| {
            let held = self.holder.holds(name, self.now, &self.config.limits);
            DutyView {
                name: name.clone(),
                holder: held.map(|_| self.config.node.clone()),
                fence: held.map(|(fence, _)| fence),
                mine: held.is_some(),
            }
        });
        View {
            node: self.config.node.clone(),
            leader: None,
            term: log.as_ref().map_or(0, |log| log.term),
            commit: log.as_ref().map_or(0, |log| log.commit),
            majority: false,
            members: members.collect(),
            duties: duties.collect(),
            budgets,
            why: Some(why),
        }
    }
}
