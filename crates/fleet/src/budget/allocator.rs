//! Who gets how much: max-min fair by need, in whole units. Where all is quiet nothing is said.

use std::collections::BTreeMap;

use super::{BudgetShares, Need};
use crate::messages::{Name, SessionId};

/// What a leader knows of needs. Nothing of it outlives the leader: members tell the next one anew.
#[derive(Clone, Debug, Default)]
pub struct ShareAllocator {
    needs: BTreeMap<Name, BTreeMap<SessionId, (u64, u64)>>,
    /// What members are asked to lower their shares to.
    lower: BTreeMap<SessionId, BTreeMap<Name, u64>>,
    /// Budgets whose needs have changed since they were last divided.
    changed: Vec<Name>,
}

/// A share that is to grow: budget, session, units, the version that it stands on.
pub type ShareRaise = (Name, SessionId, u64, u64);

impl ShareAllocator {
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    pub fn update_needs(&mut self, session: SessionId, needs: &[Need]) {
        for need in needs {
            let known = self.needs.entry(need.budget.clone()).or_default();
            let told = (need.in_use, need.wanted);
            let before = match told {
                (0, 0) => known.remove(&session),
                _ => known.insert(session, told),
            };
            if before != Some(told) {
                self.mark_changed(&need.budget);
            }
        }
    }

    pub fn mark_changed(&mut self, budget: &str) {
        if !self.changed.iter().any(|known| known == budget) {
            self.changed.push(budget.to_string());
        }
    }

    pub fn mark_all_changed(&mut self) {
        let names: Vec<Name> = self.needs.keys().cloned().collect();
        names.iter().for_each(|budget| self.mark_changed(budget));
    }

    /// Sessions that have ended need nothing.
    pub fn retain_sessions(&mut self, is_there: impl Fn(SessionId) -> bool) {
        let mut changed = Vec::new();
        for (budget, of) in &mut self.needs {
            let before = of.len();
            of.retain(|session, _| is_there(*session));
            if of.len() != before {
                changed.push(budget.clone());
            }
        }
        self.lower.retain(|session, _| is_there(*session));
        changed.iter().for_each(|budget| self.mark_changed(budget));
    }

    pub fn lower_targets(&self, session: SessionId) -> Vec<(Name, u64)> {
        let of = self.lower.get(&session).into_iter().flatten();
        of.map(|(budget, to)| (budget.clone(), *to)).collect()
    }

    /// Divides what has changed. Says whose shares are to grow, and who is to be asked to lower its own.
    pub fn allocate(
        &mut self,
        budgets: &BTreeMap<Name, BudgetShares>,
        weight: impl Fn(SessionId) -> u64,
    ) -> (Vec<ShareRaise>, Vec<SessionId>) {
        let (mut raises, mut asked) = (Vec::new(), Vec::new());
        for name in std::mem::take(&mut self.changed) {
            for of in self.lower.values_mut() {
                of.remove(&name);
            }
            let Some(budget) = budgets.get(&name) else {
                self.needs.remove(&name);
                continue;
            };
            let none = BTreeMap::new();
            let needs = self.needs.get(&name).unwrap_or(&none);
            let stranded: u64 = budget
                .stranded()
                .values()
                .map(|stranded| stranded.units)
                .sum();
            let room = budget.pool().saturating_sub(stranded);
            let wants: Vec<_> = needs
                .iter()
                .map(|(id, (_, wants))| (*id, *wants, weight(*id)))
                .collect();
            let real = fair(&wants, room);
            // What is left goes to those who use some, so that their next one need not wait.
            let using = wants.iter().filter(|(_, wants, _)| *wants > 0);
            let ahead: Vec<_> = using
                .map(|(id, wants, weight)| (*id, 1 + wants / 8, *weight))
                .collect();
            let ahead = fair(&ahead, room - real.values().sum::<u64>());
            let target = |session: &SessionId| {
                real.get(session).unwrap_or(&0) + ahead.get(session).unwrap_or(&0)
            };
            let mut free = budget.free();
            // More is out than there is since the whole was lowered: it is not given out again.
            let mut short = budget.allocated().saturating_sub(budget.pool());
            // Who lacks something comes before anybody's room ahead.
            let mut raised: BTreeMap<SessionId, u64> = BTreeMap::new();
            for aims in [|real: u64, _: u64| real, |_, target| target] {
                for (session, wanted) in &real {
                    let share = budget.share(*session);
                    let units = raised.get(session).copied().unwrap_or(share.units);
                    let more = aims(*wanted, target(session)).saturating_sub(units);
                    let now = more.min(free);
                    if now > 0 {
                        raised.insert(*session, units + now);
                        free -= now;
                    }
                }
            }
            for (session, wanted) in &real {
                let units = raised
                    .get(session)
                    .copied()
                    .unwrap_or(budget.share(*session).units);
                short += wanted.saturating_sub(units);
            }
            for (session, units) in raised {
                raises.push((name.clone(), session, units, budget.share(session).version));
            }
            // What nobody lacks stays where it is.
            for (session, share) in budget.shares() {
                let over = share.units.saturating_sub(target(session));
                let back = over.min(short);
                if back > 0 {
                    short -= back;
                    self.lower
                        .entry(*session)
                        .or_default()
                        .insert(name.clone(), share.units - back);
                    asked.push(*session);
                }
            }
        }
        self.lower.retain(|_, of| !of.is_empty());
        (raises, asked)
    }
}

/// Max-min fair by weights: nobody gets more than it wants, and who gets less than it wants gets no less by its
/// weight than anybody else but for one unit. Takes session, wish and weight.
fn fair(wants: &[(SessionId, u64, u64)], room: u64) -> BTreeMap<SessionId, u64> {
    let mut by_want: Vec<_> = wants.to_vec();
    // Whose wish is smallest by its weight is served first, and leaves what it does not want to the others.
    by_want.sort_by(|a, b| (a.1 * b.2, a.0).cmp(&(b.1 * a.2, b.0)));
    let mut weights: u64 = by_want.iter().map(|(.., weight)| weight).sum();
    let mut left = room;
    let mut targets = BTreeMap::new();
    for (session, wants, weight) in by_want {
        let got = wants.min(left * weight / weights.max(1));
        targets.insert(session, got);
        (left, weights) = (left - got, weights - weight);
    }
    // Units that rounding has left go to whoever still wants one, one each, the smallest sessions first.
    for (session, wants, _) in wants {
        if left == 0 {
            break;
        }
        let got = targets.get_mut(session).expect("each has a target");
        if *got < *wants {
            *got += 1;
            left -= 1;
        }
    }
    targets
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn division_is_fair_and_loses_no_unit() {
        let shown = |wants: &[u64], room| -> Vec<u64> {
            let wants: Vec<_> = wants
                .iter()
                .enumerate()
                .map(|(at, wants)| (at as u64, *wants, 1))
                .collect();
            fair(&wants, room).into_values().collect()
        };
        assert_eq!(shown(&[9, 1, 4], 30), [9, 1, 4]);
        assert_eq!(shown(&[9, 1, 4], 10), [5, 1, 4]);
        assert_eq!(shown(&[9, 9, 9], 10), [3, 3, 4]);
        assert_eq!(shown(&[5, 5, 5, 5], 3).iter().sum::<u64>(), 3);
        assert_eq!(shown(&[0, 7], 3), [0, 3]);
        // By weights: three to one, and what the heavier does not want goes to the other.
        let weighed = |wants: [u64; 2], room| {
            fair(&[(1, wants[0], 3), (2, wants[1], 1)], room)
                .into_values()
                .collect::<Vec<_>>()
        };
        assert_eq!(weighed([50, 50], 40), [30, 10]);
        assert_eq!(weighed([10, 50], 40), [10, 30]);
        assert_eq!(weighed([50, 4], 40), [36, 4]);
    }
}
