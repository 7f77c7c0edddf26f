//! Operators who put members out, let them in and look at the fleet: what they were told has to be as if calls had happened one
//! at a time.

use rand::Rng;
use violetwind_consensus::Millis;
use violetwind_fleet::{FleetAction, FleetView, Name, Number, OperatorAnswer, OperatorCall};

use super::{InjectedBug, World};
use crate::linearizability::{self, Certainty, Operation};

/// Who was asked, what for, and when.
pub(super) type PendingCall = (Name, Option<(Name, bool)>, Millis);

impl World {
    /// A member is put out, or let in, by somebody at another.
    pub(super) fn submit_membership_order(&mut self, at: &str, node: &str, out: bool) {
        let order = match out {
            true => FleetAction::EvictMember { node: node.into() },
            false => FleetAction::AdmitMember { node: node.into() },
        };
        let asked = (at.to_string(), Some((node.to_string(), out)), self.now);
        self.pending_operator_calls
            .insert(self.last_number + 1, asked);
        self.submit_order(at, order);
    }

    /// Somebody looks, somewhere.
    pub(super) fn request_view(&mut self) {
        if !self.views_enabled || !self.rng.random_bool(0.01) {
            return;
        }
        let names: Vec<Name> = self.hosts.keys().cloned().collect();
        let at = names[self.rng.random_range(0..names.len())].clone();
        if self.hosts[&at].member.is_some() && self.hosts[&at].stopped_until <= self.now {
            let asked = (at.clone(), None, self.now);
            self.pending_operator_calls
                .insert(self.last_number + 1, asked);
            self.submit_call(&at, OperatorCall::FleetView);
        }
    }

    pub(super) fn record_answer(&mut self, (_, order, from): PendingCall, answer: &OperatorAnswer) {
        let until = self.now;
        let call = |what| linearizability::Call { what, from, until };
        match (order, answer) {
            (Some((node, out)), answer) => {
                let surely = match answer {
                    OperatorAnswer::Done => Certainty::Yes,
                    _ => Certainty::Maybe,
                };
                let mut call = call(Operation::Write(out, surely));
                if surely == Certainty::Maybe {
                    // It may still be on its way.
                    call.until = u64::MAX;
                }
                self.call_history.entry(node).or_default().push(call);
            }
            (None, OperatorAnswer::FleetView(view)) if view.majority => {
                let seen = Self::seen(view);
                for (node, out) in seen {
                    let stale =
                        self.injected_bug == InjectedBug::StaleViews && self.rng.random_bool(0.5);
                    let from = if stale { from + 400 } else { from };
                    let call = linearizability::Call {
                        what: Operation::Read(out),
                        from,
                        until: until.max(from) + if stale { 1 } else { 0 },
                    };
                    self.call_history.entry(node).or_default().push(call);
                }
            }
            _ => {}
        }
    }

    fn seen(view: &FleetView) -> Vec<(Name, bool)> {
        let members = view.members.iter();
        members
            .map(|member| (member.node.clone(), member.state == "out"))
            .collect()
    }

    /// Who is put out still serves, and would be waited for: operators let everybody in, as often as it takes.
    pub fn admit_all(&mut self) {
        for _ in 0..20 {
            let leader = self.leader();
            let state = leader.and_then(|name| self.hosts[&name].member.as_ref()?.state());
            let barred: Vec<Name> = state.map_or(Vec::new(), |s| {
                s.blocked_members().iter().cloned().collect()
            });
            if barred.is_empty() || self.violation.is_some() {
                return;
            }
            let by = self.hosts.keys().next().expect("a member").clone();
            barred
                .iter()
                .for_each(|node| self.submit_membership_order(&by, node, false));
            self.run_for(1000);
        }
    }

    /// What operators were told has to fit together, once all is over.
    pub fn check_history(&mut self) {
        if !self.views_enabled {
            return;
        }
        self.views_enabled = false;
        let open: Vec<(Number, _)> = std::mem::take(&mut self.pending_operator_calls)
            .into_iter()
            .collect();
        for (_, (_, order, from)) in open {
            if let Some((node, out)) = order {
                let what = Operation::Write(out, Certainty::Maybe);
                let until = u64::MAX;
                let call = linearizability::Call { what, from, until };
                self.call_history.entry(node).or_default().push(call);
            }
        }
        let history = std::mem::take(&mut self.call_history);
        for (node, mut calls) in history {
            let writes = |call: &linearizability::Call| matches!(call.what, Operation::Write(..));
            if !calls.iter().any(writes) {
                continue;
            }
            calls.sort_by_key(|call| call.from);
            // Looks while nothing was asked for tell nothing new: a few around each order are enough.
            let near = |at: usize| {
                let around = at.saturating_sub(4)..(at + 8).min(calls.len());
                calls[around].iter().any(writes)
            };
            let kept: Vec<linearizability::Call> = (0..calls.len())
                .filter(|at| near(*at))
                .map(|at| calls[at])
                .collect();
            if !linearizability::is_linearizable(&kept) {
                self.record_violation(format!("One At A Time: what was said of {node}: {kept:?}"));
            }
        }
    }
}
