//! Calls of operators and their programs, and this member's view of the fleet.

use super::*;

impl Member {
    /// Handles an operator's call: answers it here, or sends it to the leader.
    pub(super) fn handle_call(&mut self, call_number: Number, call: OperatorCall) {
        let (now, limits) = (self.now, &self.config.limits);
        let answer = match call {
            OperatorCall::HoldDuty { duty, token } => {
                match self.session_client.hold_duty(&duty, &token, now, limits) {
                    Ok((fence, remaining)) => OperatorAnswer::Held { fence, remaining },
                    Err(why) => OperatorAnswer::NotHeld(why),
                }
            }
            OperatorCall::EndHold { duty, token } => {
                self.session_client.end_hold(&duty, &token);
                OperatorAnswer::Done
            }
            OperatorCall::AcquireUnit {
                budget,
                token,
                hold_timeout,
                max_wait,
            } => {
                let request = UnitRequest {
                    call_number,
                    budget,
                    token,
                    hold_timeout,
                    deadline: now + max_wait,
                };
                return self.acquire_unit(request);
            }
            OperatorCall::ReleaseUnit { budget, token } => {
                if self.units.held.remove(&(budget.clone(), token)).is_some() {
                    self.session_client.release_unit(&budget);
                }
                OperatorAnswer::Done
            }
            OperatorCall::FleetView
            | OperatorCall::FleetAction(_)
            | OperatorCall::WorkAction(_)
            | OperatorCall::WorkView => {
                let request = match call {
                    OperatorCall::FleetAction(action) => LeaderRequest::FleetAction(action),
                    OperatorCall::WorkAction(action) => LeaderRequest::WorkAction(action),
                    OperatorCall::WorkView => LeaderRequest::WorkView,
                    _ => LeaderRequest::FleetView,
                };
                return self.start_call(call_number, request);
            }
        };
        self.outputs.push(Output::Answer(call_number, answer));
    }

    /// Answers a call for a unit, or queues it until a unit is available or its deadline has passed.
    pub(super) fn acquire_unit(&mut self, request: UnitRequest) {
        let (now, limits) = (self.now, &self.config.limits);
        let key = (request.budget.clone(), request.token.clone());
        let definition = self
            .session_client
            .budgets()
            .iter()
            .find(|definition| definition.name == request.budget);
        let is_concurrent =
            definition.is_some_and(|definition| definition.kind == BudgetKind::Concurrent);
        if is_concurrent && let Some(release_at) = self.units.held.get_mut(&key) {
            *release_at = (*release_at).max(now + request.hold_timeout);
            return self.outputs.push(Output::Answer(
                request.call_number,
                OperatorAnswer::UnitAcquired,
            ));
        }
        let answer = match self
            .session_client
            .acquire_unit(&request.budget, now, limits)
        {
            Acquisition::Granted => {
                if is_concurrent {
                    self.units.held.insert(key, now + request.hold_timeout);
                }
                OperatorAnswer::UnitAcquired
            }
            Acquisition::Denied { .. }
                if now < request.deadline && self.units.waiting.len() < limits.max_unit_waiters =>
            {
                return self.units.waiting.push_back(request);
            }
            Acquisition::Denied { retry_after } => OperatorAnswer::NoUnit { retry_after },
            Acquisition::UnknownBudget => {
                OperatorAnswer::Refused("this member has no such budget".into())
            }
        };
        self.outputs
            .push(Output::Answer(request.call_number, answer));
    }

    /// Releases units whose hold timeout has passed, then serves the waiting calls in their order.
    pub(super) fn serve_unit_waiters(&mut self) {
        let now = self.now;
        let timed_out: Vec<_> = self
            .units
            .held
            .extract_if(.., |_, release_at| now >= *release_at)
            .collect();
        for ((budget, _), _) in timed_out {
            self.session_client.release_unit(&budget);
        }
        if self.units.waiting.is_empty() {
            return;
        }
        for request in std::mem::take(&mut self.units.waiting) {
            let usage = self
                .session_client
                .budget_usage(&request.budget, now, &self.config.limits);
            if now < request.deadline && usage.is_some_and(|(in_use, allowed)| in_use >= allowed) {
                self.units.waiting.push_back(request);
            } else {
                self.acquire_unit(request);
            }
        }
    }

    /// Sends the request of a new call to the leader.
    fn start_call(&mut self, call_number: Number, request: LeaderRequest) {
        self.last_call_number += 1;
        let number = self.last_call_number;
        let call = PendingCall {
            call_number,
            request,
            started_at: self.now,
            sent_at: self.now,
            retry_at: self.now,
        };
        self.pending_calls.insert(number, call);
        self.send_call(number);
    }

    /// Sends a call's request to the leader. Its number stays the same in all retries, so the first reply answers it,
    /// whichever try it belongs to.
    fn send_call(&mut self, number: Number) {
        let (now, reply_timeout) = (self.now, self.config.limits.renew_interval / 2);
        let Some(call) = self.pending_calls.get_mut(&number) else {
            return;
        };
        call.sent_at = now;
        call.retry_at = now + reply_timeout;
        let request = call.request.clone();
        if let Some(to) = self.leader_locator.request_target() {
            self.send_request(to, number, request);
        }
    }

    /// Answers a call with the leader's reply, or sends it again soon if the voter that replied can't serve it.
    pub(super) fn handle_call_reply(&mut self, number: Number, reply: LeaderReply) {
        let retry_at = self.now + self.config.limits.request_retry_delay;
        let Some(call) = self.pending_calls.get_mut(&number) else {
            return;
        };
        let answer = match reply {
            LeaderReply::NotLeader(_) | LeaderReply::RetryLater(_) => {
                call.retry_at = call.retry_at.min(retry_at);
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
        if let Some(call) = self.pending_calls.remove(&number) {
            self.outputs.push(Output::Answer(call.call_number, answer));
        }
    }

    /// Sends the calls again that are due, and answers those for which no leader has replied in time.
    pub(super) fn retry_calls(&mut self) {
        let (now, call_timeout) = (self.now, self.config.limits.call_timeout);
        let timed_out: Vec<(Number, PendingCall)> = self
            .pending_calls
            .extract_if(.., |_, call| now >= call.started_at + call_timeout)
            .collect();
        for (_, call) in timed_out {
            self.fail_call(call);
        }
        let due_calls: Vec<(Number, Millis)> = self
            .pending_calls
            .iter()
            .filter(|(_, call)| now >= call.retry_at)
            .map(|(number, call)| (*number, call.sent_at))
            .collect();
        let reply_timeout = self.config.limits.renew_interval / 2;
        for (number, sent_at) in due_calls {
            let is_unanswered = now >= sent_at + reply_timeout;
            if is_unanswered && self.session_client.last_answered_at() < sent_at {
                self.leader_locator.mark_failed();
            }
            self.send_call(number);
        }
    }

    /// Answers a call for which no leader has replied in time.
    fn fail_call(&mut self, call: PendingCall) {
        let why = self.no_majority_reason();
        let answer = match call.request {
            LeaderRequest::FleetView => {
                OperatorAnswer::FleetView(self.fleet_view_without_leader(why))
            }
            LeaderRequest::WorkView => OperatorAnswer::WorkView(self.work_view_without_leader(why)),
            // An admission or eviction takes several steps, each committed on its own; a repeated call continues it.
            LeaderRequest::FleetAction(
                FleetAction::AdmitMember { .. } | FleetAction::EvictMember { .. },
            ) => OperatorAnswer::Refused(format!("not done yet, call again: {why}")),
            _ => OperatorAnswer::Refused(why),
        };
        self.outputs.push(Output::Answer(call.call_number, answer));
    }

    /// The reason why no leader answers, according to this member.
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

    /// Fills in the fields of a leader's view that describe this member.
    pub(super) fn fill_local_fields(&mut self, view: &mut FleetView) {
        for budget in &mut view.budgets {
            let usage =
                self.session_client
                    .budget_usage(&budget.name, self.now, &self.config.limits);
            (budget.used_here, budget.allowed_here) = usage.unwrap_or_default();
        }
        view.node = self.config.node.clone();
        for duty in &mut view.duties {
            let held = self
                .session_client
                .held_fence(&duty.name, self.now, &self.config.limits);
            duty.mine = held.is_some_and(|(fence, _)| Some(fence) == duty.fence);
        }
    }

    /// The view of the fleet from this member's own state, without a leader: it does not include the duties and
    /// shares of other members.
    pub(super) fn fleet_view_without_leader(&mut self, why: String) -> FleetView {
        let definitions = self.config.budgets.clone();
        let budgets = definitions.into_iter().map(|definition| {
            let usage =
                self.session_client
                    .budget_usage(&definition.name, self.now, &self.config.limits);
            let (used_here, allowed_here) = usage.unwrap_or_default();
            BudgetView {
                name: definition.name,
                whole: None,
                version: definition.version,
                floors: definition.floor * definition.max_members,
                shared: 0,
                stranded: 0,
                free: 0,
                used_here,
                allowed_here,
            }
        });
        let budgets = budgets.collect();
        let status = self.consensus_status();
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
            term: status.as_ref().map_or(0, |status| status.term),
            commit: status.as_ref().map_or(0, |status| status.commit_index),
            majority: false,
            members: members.collect(),
            duties: duties.collect(),
            budgets,
            why: Some(why),
        }
    }
}
