//! Operators who put members out, let them in and look at the fleet: what they were told has to be as if calls had happened one
//! at a time.

use rand::Rng;
use violetwind_consensus::Millis;
use violetwind_fleet::{Answer, Call, Name, Number, Order, View};

use super::{Planted, World};
use crate::linear::{self, Surely, What};

/// Who was asked, what for, and when.
pub(super) type Asked = (Name, Option<(Name, bool)>, Millis);

impl World {
    /// A member is put out, or let in, by somebody at another.
    pub(super) fn vote_on(&mut self, at: &str, node: &str, out: bool) {
        let order = match out {
            true => Order::PutOut { node: node.into() },
            false => Order::LetIn { node: node.into() },
        };
        let asked = (at.to_string(), Some((node.to_string(), out)), self.now);
        self.asked_out.insert(self.next + 1, asked);
        self.order(at, order);
    }

    /// Somebody looks, somewhere.
    pub(super) fn look(&mut self) {
        if !self.looks || !self.rng.random_bool(0.01) {
            return;
        }
        let names: Vec<Name> = self.hosts.keys().cloned().collect();
        let at = names[self.rng.random_range(0..names.len())].clone();
        if self.hosts[&at].member.is_some() && self.hosts[&at].stopped <= self.now {
            let asked = (at.clone(), None, self.now);
            self.asked_out.insert(self.next + 1, asked);
            self.call(&at, Call::View);
        }
    }

    pub(super) fn told_out(&mut self, (_, order, from): Asked, answer: &Answer) {
        let until = self.now;
        let call = |what| linear::Call { what, from, until };
        match (order, answer) {
            (Some((node, out)), answer) => {
                let surely = match answer {
                    Answer::Done => Surely::Yes,
                    _ => Surely::Maybe,
                };
                let mut call = call(What::Write(out, surely));
                if surely == Surely::Maybe {
                    // It may still be on its way.
                    call.until = u64::MAX;
                }
                self.history.entry(node).or_default().push(call);
            }
            (None, Answer::View(view)) if view.majority => {
                let seen = Self::seen(view);
                for (node, out) in seen {
                    let stale = self.planted == Planted::StaleViews && self.rng.random_bool(0.5);
                    let from = if stale { from + 400 } else { from };
                    let call = linear::Call {
                        what: What::Read(out),
                        from,
                        until: until.max(from) + if stale { 1 } else { 0 },
                    };
                    self.history.entry(node).or_default().push(call);
                }
            }
            _ => {}
        }
    }

    fn seen(view: &View) -> Vec<(Name, bool)> {
        let members = view.members.iter();
        members
            .map(|member| (member.node.clone(), member.state == "out"))
            .collect()
    }

    /// Who is put out still serves, and would be waited for: operators let everybody in, as often as it takes.
    pub fn let_all_in(&mut self) {
        for _ in 0..20 {
            let leader = self.leader();
            let state = leader.and_then(|name| self.hosts[&name].member.as_ref()?.state());
            let barred: Vec<Name> =
                state.map_or(Vec::new(), |s| s.barred().iter().cloned().collect());
            if barred.is_empty() || self.wrong.is_some() {
                return;
            }
            let by = self.hosts.keys().next().expect("a member").clone();
            barred
                .iter()
                .for_each(|node| self.vote_on(&by, node, false));
            self.run(1000);
        }
    }

    /// What operators were told has to fit together, once all is over.
    pub fn check_history(&mut self) {
        if !self.looks {
            return;
        }
        self.looks = false;
        let open: Vec<(Number, _)> = std::mem::take(&mut self.asked_out).into_iter().collect();
        for (_, (_, order, from)) in open {
            if let Some((node, out)) = order {
                let what = What::Write(out, Surely::Maybe);
                let until = u64::MAX;
                let call = linear::Call { what, from, until };
                self.history.entry(node).or_default().push(call);
            }
        }
        let history = std::mem::take(&mut self.history);
        for (node, mut calls) in history {
            let writes = |call: &linear::Call| matches!(call.what, What::Write(..));
            if !calls.iter().any(writes) {
                continue;
            }
            calls.sort_by_key(|call| call.from);
            // Looks while nothing was asked for tell nothing new: a few around each order are enough.
            let near = |at: usize| {
                let around = at.saturating_sub(4)..(at + 8).min(calls.len());
                calls[around].iter().any(writes)
            };
            let kept: Vec<linear::Call> = (0..calls.len())
                .filter(|at| near(*at))
                .map(|at| calls[at])
                .collect();
            if !linear::linearizable(&kept) {
                self.found(format!("One At A Time: what was said of {node}: {kept:?}"));
            }
        }
    }
}
