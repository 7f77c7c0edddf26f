//! What operators and their programs call for, and what the fleet looks like from here.

use super::*;

impl Member {
    pub(super) fn handle_call(&mut self, token: Number, call: OperatorCall) {
        let (now, limits) = (self.now, &self.config.limits);
        let answer = match call {
            OperatorCall::HoldDuty { duty, token } => {
                match self.session_client.hold_duty(&duty, &token, now, limits) {
                    Ok((fence, left)) => OperatorAnswer::Held {
                        fence,
                        remaining: left,
                    },
                    Err(why) => OperatorAnswer::NotHeld(why),
                }
            }
            OperatorCall::EndHold { duty, token } => {
                self.session_client.end_hold(&duty, &token);
                OperatorAnswer::Done
            }
            OperatorCall::AcquireUnit {
                budget,
                token: unit,
                hold_timeout: within,
                max_wait: wait,
            } => {
                let ask = UnitRequest {
                    call_number: token,
                    budget,
                    token: unit,
                    hold_timeout: within,
                    deadline: now + wait,
                };
                return self.acquire_unit(ask);
            }
            OperatorCall::ReleaseUnit {
                budget,
                token: unit,
            } => {
                if self.units.held.remove(&(budget.clone(), unit)).is_some() {
                    self.session_client.release_unit(&budget);
                }
                OperatorAnswer::Done
            }
            OperatorCall::FleetView
            | OperatorCall::FleetAction(_)
            | OperatorCall::WorkAction(_)
            | OperatorCall::WorkView => {
                let ask = match call {
                    OperatorCall::FleetAction(order) => LeaderRequest::FleetAction(order),
                    OperatorCall::WorkAction(staff) => LeaderRequest::WorkAction(staff),
                    OperatorCall::WorkView => LeaderRequest::WorkView,
                    _ => LeaderRequest::FleetView,
                };
                return self.send_call(PendingCall {
                    call_number: token,
                    request: ask,
                    started_at: now,
                    sent_at: now,
                });
            }
        };
        self.outputs.push(Output::Answer(token, answer));
    }

    pub(super) fn acquire_unit(&mut self, ask: UnitRequest) {
        let (now, limits) = (self.now, &self.config.limits);
        let key = (ask.budget.clone(), ask.token.clone());
        let def = self
            .session_client
            .budgets()
            .iter()
            .find(|def| def.name == ask.budget);
        let held = def.is_some_and(|def| def.kind == BudgetKind::Concurrent);
        if held && let Some(until) = self.units.held.get_mut(&key) {
            *until = (*until).max(now + ask.hold_timeout);
            return self.outputs.push(Output::Answer(
                ask.call_number,
                OperatorAnswer::UnitAcquired,
            ));
        }
        let answer = match self.session_client.acquire_unit(&ask.budget, now, limits) {
            Acquisition::Granted => {
                if held {
                    self.units.held.insert(key, now + ask.hold_timeout);
                }
                OperatorAnswer::UnitAcquired
            }
            Acquisition::Denied { .. }
                if now < ask.deadline && self.units.waiting.len() < limits.max_unit_waiters =>
            {
                return self.units.waiting.push_back(ask);
            }
            Acquisition::Denied { retry_after: again } => {
                OperatorAnswer::NoUnit { retry_after: again }
            }
            Acquisition::UnknownBudget => {
                OperatorAnswer::Refused("this member has no such budget".into())
            }
        };
        self.outputs.push(Output::Answer(ask.call_number, answer));
    }

    /// Units that have come back, and those who wait for one: in their order.
    pub(super) fn serve_unit_waiters(&mut self) {
        let now = self.now;
        let over: Vec<_> = self
            .units
            .held
            .extract_if(.., |_, until| now >= *until)
            .collect();
        for ((budget, _), _) in over {
            self.session_client.release_unit(&budget);
        }
        if self.units.waiting.is_empty() {
            return;
        }
        for ask in std::mem::take(&mut self.units.waiting) {
            let used = self
                .session_client
                .budget_usage(&ask.budget, now, &self.config.limits);
            if now < ask.deadline && used.is_some_and(|(busy, allowed)| busy >= allowed) {
                self.units.waiting.push_back(ask);
            } else {
                self.acquire_unit(ask);
            }
        }
    }

    pub(super) fn send_call(&mut self, mut call: PendingCall) {
        self.last_call_number += 1;
        call.sent_at = self.now;
        let (number, ask) = (self.last_call_number, call.request.clone());
        self.pending_calls.insert(number, call);
        if let Some(to) = self.leader_locator.request_target() {
            self.send_request(to, number, ask);
        }
    }

    /// Nobody that leads has answered in time.
    pub(super) fn fail_call(&mut self, call: PendingCall) {
        let why = self.no_majority_reason();
        let answer = match call.request {
            LeaderRequest::FleetView => {
                OperatorAnswer::FleetView(self.fleet_view_without_leader(why))
            }
            LeaderRequest::WorkView => OperatorAnswer::WorkView(self.work_view_without_leader(why)),
            // A member is let in or put out in steps, each of which is committed.
            LeaderRequest::FleetAction(
                FleetAction::AdmitMember { .. } | FleetAction::EvictMember { .. },
            ) => OperatorAnswer::Refused(format!("not done yet, call again: {why}")),
            _ => OperatorAnswer::Refused(why),
        };
        self.outputs.push(Output::Answer(call.call_number, answer));
    }

    pub(super) fn no_majority_reason(&self) -> String {
        match &self.voter {
            Some(Voter::Forming(formation)) => formation.pending_reason(),
            Some(Voter::Running(running)) if running.halt_reason.is_some() => {
                running.halt_reason.clone().unwrap_or_default()
            }
            _ => {
                let since = self
                    .now
                    .saturating_sub(self.session_client.last_answered_at());
                format!("nobody that leads has answered for {since} ms")
            }
        }
    }

    pub(super) fn fill_local_fields(&mut self, view: &mut FleetView) {
        for budget in &mut view.budgets {
            let used =
                self.session_client
                    .budget_usage(&budget.name, self.now, &self.config.limits);
            (budget.used_here, budget.allowed_here) = used.unwrap_or_default();
        }
        view.node = self.config.node.clone();
        for duty in &mut view.duties {
            let held = self
                .session_client
                .held_fence(&duty.name, self.now, &self.config.limits);
            duty.mine = held.is_some_and(|(fence, _)| Some(fence) == duty.fence);
        }
    }

    /// What is known here without a leader: nothing of the others' duties.
    pub(super) fn fleet_view_without_leader(&mut self, why: String) -> FleetView {
        let defs = self.config.budgets.clone();
        let budgets = defs.into_iter().map(|def| {
            let used = self
                .session_client
                .budget_usage(&def.name, self.now, &self.config.limits);
            let (used_here, allowed_here) = used.unwrap_or_default();
            BudgetView {
                name: def.name,
                whole: None,
                version: def.version,
                floors: def.floor * def.max_members,
                shared: 0,
                stranded: 0,
                free: 0,
                used_here,
                allowed_here,
            }
        });
        let budgets = budgets.collect();
        let log = self.consensus_status();
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
            let held = self
                .session_client
                .held_fence(name, self.now, &self.config.limits);
            DutyView {
                name: name.clone(),
                holder: held.map(|_| self.config.node.clone()),
                fence: held.map(|(fence, _)| fence),
                mine: held.is_some(),
            }
        });
        FleetView {
            node: self.config.node.clone(),
            leader: None,
            term: log.as_ref().map_or(0, |log| log.term),
            commit: log.as_ref().map_or(0, |log| log.commit_index),
            majority: false,
            members: members.collect(),
            duties: duties.collect(),
            budgets,
            why: Some(why),
        }
    }
}
