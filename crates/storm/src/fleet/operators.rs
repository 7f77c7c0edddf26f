//! Simulates operators that put members out, let them in and request views of the fleet. Their calls and the answers
//! have to be linearizable (One At A Time).

use rand::Rng;
use violetwind_consensus::Millis;
use violetwind_fleet::{FleetAction, FleetView, Name, Number, OperatorAnswer, OperatorCall};

use super::{InjectedBug, World};
use crate::linearizability::{self, Certainty, Operation};

/// An operator call without an answer yet: the member called, the change (member and whether it is put out; none for a
/// view) and the time of the call.
pub(super) type PendingCall = (Name, Option<(Name, bool)>, Millis);

impl World {
    /// Submits an operator's action at member `at` that puts `node` out, or lets it in.
    pub(super) fn submit_membership_order(&mut self, at: &str, node: &str, put_out: bool) {
        let action = match put_out {
            true => FleetAction::EvictMember { node: node.into() },
            false => FleetAction::AdmitMember { node: node.into() },
        };
        let call = (at.to_string(), Some((node.to_string(), put_out)), self.now);
        self.pending_operator_calls
            .insert(self.last_number + 1, call);
        self.submit_action(at, action);
    }

    /// Requests a view of the fleet at a random member, at random times.
    pub(super) fn request_view(&mut self) {
        if !self.views_enabled || !self.rng.random_bool(0.01) {
            return;
        }
        let names: Vec<Name> = self.hosts.keys().cloned().collect();
        let at = names[self.rng.random_range(0..names.len())].clone();
        if self.hosts[&at].member.is_some() && self.hosts[&at].stopped_until <= self.now {
            let call = (at.clone(), None, self.now);
            self.pending_operator_calls
                .insert(self.last_number + 1, call);
            self.submit_call(&at, OperatorCall::FleetView);
        }
    }

    /// Adds an answered operator call to the history.
    pub(super) fn record_answer(
        &mut self,
        (_, change, from): PendingCall,
        answer: &OperatorAnswer,
    ) {
        let until = self.now;
        let call = |what| linearizability::Call { what, from, until };
        match (change, answer) {
            (Some((node, put_out)), answer) => {
                let certainty = match answer {
                    OperatorAnswer::Done => Certainty::Yes,
                    _ => Certainty::Maybe,
                };
                let mut call = call(Operation::Write(put_out, certainty));
                if certainty == Certainty::Maybe {
                    // The change may still take effect later.
                    call.until = u64::MAX;
                }
                self.call_history.entry(node).or_default().push(call);
            }
            (None, OperatorAnswer::FleetView(view)) if view.majority => {
                let observed = Self::observed_states(view);
                for (node, put_out) in observed {
                    let is_stale =
                        self.injected_bug == InjectedBug::StaleViews && self.rng.random_bool(0.5);
                    let from = if is_stale { from + 400 } else { from };
                    let call = linearizability::Call {
                        what: Operation::Read(put_out),
                        from,
                        until: until.max(from) + if is_stale { 1 } else { 0 },
                    };
                    self.call_history.entry(node).or_default().push(call);
                }
            }
            _ => {}
        }
    }

    /// The members of a view, and whether each is put out.
    fn observed_states(view: &FleetView) -> Vec<(Name, bool)> {
        let members = view.members.iter();
        members
            .map(|member| (member.node.clone(), member.state == "out"))
            .collect()
    }

    /// Lets all members in, repeating the calls until no member is put out. A member that is put out still serves, so a
    /// work order would wait for its confirmation.
    pub fn admit_all_members(&mut self) {
        for _ in 0..20 {
            let leader = self.leader();
            let state = leader.and_then(|name| self.hosts[&name].member.as_ref()?.state());
            let blocked: Vec<Name> = state.map_or(Vec::new(), |state| {
                state.blocked_members().iter().cloned().collect()
            });
            if blocked.is_empty() || self.violation.is_some() {
                return;
            }
            let by = self
                .hosts
                .keys()
                .next()
                .expect("the fleet has a member")
                .clone();
            blocked
                .iter()
                .for_each(|node| self.submit_membership_order(&by, node, false));
            self.run_for(1000);
        }
    }

    /// Checks at the end of a run that the operators' calls are linearizable for each member. Calls without an answer
    /// count as writes that may have taken effect.
    pub fn check_history(&mut self) {
        if !self.views_enabled {
            return;
        }
        self.views_enabled = false;
        let unanswered: Vec<(Number, _)> = std::mem::take(&mut self.pending_operator_calls)
            .into_iter()
            .collect();
        for (_, (_, change, from)) in unanswered {
            if let Some((node, put_out)) = change {
                let what = Operation::Write(put_out, Certainty::Maybe);
                let until = u64::MAX;
                let call = linearizability::Call { what, from, until };
                self.call_history.entry(node).or_default().push(call);
            }
        }
        let history = std::mem::take(&mut self.call_history);
        for (node, mut calls) in history {
            let is_write = |call: &linearizability::Call| matches!(call.what, Operation::Write(..));
            if !calls.iter().any(is_write) {
                continue;
            }
            calls.sort_by_key(|call| call.from);
            // Reads far from any write add no information; the few around each write are enough.
            let is_near_write = |at: usize| {
                let around = at.saturating_sub(4)..(at + 8).min(calls.len());
                calls[around].iter().any(is_write)
            };
            let kept: Vec<linearizability::Call> = (0..calls.len())
                .filter(|at| is_near_write(*at))
                .map(|at| calls[at])
                .collect();
            if !linearizability::is_linearizable(&kept) {
                self.record_violation(format!(
                    "One At A Time: calls about {node} are not linearizable: {kept:?}"
                ));
            }
        }
    }
}
