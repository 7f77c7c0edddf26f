//! Division of budgets among sessions: weighted max-min fairness over the reported needs, in whole units. Only budgets
//! whose needs or shares have changed are divided again, so a fleet with steady needs exchanges no messages.

use std::collections::BTreeMap;

use super::{BudgetShares, Need};
use crate::messages::{Name, SessionId};

/// The needs that members have reported to the leader. They are not replicated: after a change of leader, members
/// report their needs to the new one.
#[derive(Clone, Debug, Default)]
pub struct ShareAllocator {
    /// Per budget and session: units in use and units wanted.
    needs: BTreeMap<Name, BTreeMap<SessionId, (u64, u64)>>,
    /// The units that each session is requested to lower its shares to, per budget.
    lower_targets: BTreeMap<SessionId, BTreeMap<Name, u64>>,
    /// Budgets whose needs have changed since they were last divided.
    changed_budgets: Vec<Name>,
}

/// A share to be raised: the budget, the session, the new number of units, and the version of the share that the raise
/// is based on.
pub type ShareRaise = (Name, SessionId, u64, u64);

impl ShareAllocator {
    /// Discards all needs and lower targets.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Records needs that a session has reported; a need of zero units removes the entry.
    pub fn update_needs(&mut self, session: SessionId, needs: &[Need]) {
        for need in needs {
            let session_needs = self.needs.entry(need.budget.clone()).or_default();
            let reported = (need.in_use, need.wanted);
            let previous = match reported {
                (0, 0) => session_needs.remove(&session),
                _ => session_needs.insert(session, reported),
            };
            if previous != Some(reported) {
                self.mark_changed(&need.budget);
            }
        }
    }

    /// Marks a budget for the next [`Self::allocate`].
    pub fn mark_changed(&mut self, budget: &str) {
        if !self.changed_budgets.iter().any(|known| known == budget) {
            self.changed_budgets.push(budget.to_string());
        }
    }

    /// Marks every budget with a reported need for the next [`Self::allocate`].
    pub fn mark_all_changed(&mut self) {
        let names: Vec<Name> = self.needs.keys().cloned().collect();
        names.iter().for_each(|budget| self.mark_changed(budget));
    }

    /// Removes the needs and lower targets of sessions that have ended.
    pub fn retain_sessions(&mut self, is_active: impl Fn(SessionId) -> bool) {
        let mut changed = Vec::new();
        for (budget, session_needs) in &mut self.needs {
            let count_before = session_needs.len();
            session_needs.retain(|session, _| is_active(*session));
            if session_needs.len() != count_before {
                changed.push(budget.clone());
            }
        }
        self.lower_targets.retain(|session, _| is_active(*session));
        changed.iter().for_each(|budget| self.mark_changed(budget));
    }

    /// The budgets of which the session is requested to lower its share, with the units to lower each to.
    pub fn lower_targets(&self, session: SessionId) -> Vec<(Name, u64)> {
        let targets = self.lower_targets.get(&session).into_iter().flatten();
        targets
            .map(|(budget, target)| (budget.clone(), *target))
            .collect()
    }

    /// Divides the budgets that have changed. Returns the shares to raise, and the sessions to be requested to lower
    /// theirs.
    pub fn allocate(
        &mut self,
        budgets: &BTreeMap<Name, BudgetShares>,
        weight: impl Fn(SessionId) -> u64,
    ) -> (Vec<ShareRaise>, Vec<SessionId>) {
        let (mut raises, mut sessions_to_lower) = (Vec::new(), Vec::new());
        for name in std::mem::take(&mut self.changed_budgets) {
            for targets in self.lower_targets.values_mut() {
                targets.remove(&name);
            }
            let Some(budget) = budgets.get(&name) else {
                self.needs.remove(&name);
                continue;
            };
            let no_needs = BTreeMap::new();
            let needs = self.needs.get(&name).unwrap_or(&no_needs);
            let stranded: u64 = budget
                .stranded()
                .values()
                .map(|stranded| stranded.units)
                .sum();
            let available = budget.pool().saturating_sub(stranded);
            let demands: Vec<_> = needs
                .iter()
                .map(|(id, (_, wanted))| (*id, *wanted, weight(*id)))
                .collect();
            let entitled = divide_max_min_fair(&demands, available);
            // The remainder becomes headroom of the sessions that need units, so that their next request is granted
            // without an exchange with the leader.
            let active = demands.iter().filter(|(_, wanted, _)| *wanted > 0);
            let headroom: Vec<_> = active
                .map(|(id, wanted, weight)| (*id, 1 + wanted / 8, *weight))
                .collect();
            let headroom =
                divide_max_min_fair(&headroom, available - entitled.values().sum::<u64>());
            let target = |session: &SessionId| {
                entitled.get(session).unwrap_or(&0) + headroom.get(session).unwrap_or(&0)
            };
            let mut free = budget.free();
            // After the total was lowered, more can be allocated than the pool holds: the excess is reclaimed and not
            // allocated again.
            let mut shortfall = budget.allocated().saturating_sub(budget.pool());
            // Unmet needs of all sessions are served before the headroom of any.
            let mut raised: BTreeMap<SessionId, u64> = BTreeMap::new();
            for select_target in [|entitled: u64, _: u64| entitled, |_, target| target] {
                for (session, entitled_units) in &entitled {
                    let share = budget.share(*session);
                    let units = raised.get(session).copied().unwrap_or(share.units);
                    let missing =
                        select_target(*entitled_units, target(session)).saturating_sub(units);
                    let granted = missing.min(free);
                    if granted > 0 {
                        raised.insert(*session, units + granted);
                        free -= granted;
                    }
                }
            }
            for (session, entitled_units) in &entitled {
                let units = raised
                    .get(session)
                    .copied()
                    .unwrap_or(budget.share(*session).units);
                shortfall += entitled_units.saturating_sub(units);
            }
            for (session, units) in raised {
                raises.push((name.clone(), session, units, budget.share(session).version));
            }
            // Shares above their target are lowered by no more than the shortfall: units that no other session lacks
            // stay where they are.
            for (session, share) in budget.shares() {
                let excess = share.units.saturating_sub(target(session));
                let reclaimed = excess.min(shortfall);
                if reclaimed > 0 {
                    shortfall -= reclaimed;
                    self.lower_targets
                        .entry(*session)
                        .or_default()
                        .insert(name.clone(), share.units - reclaimed);
                    sessions_to_lower.push(*session);
                }
            }
        }
        self.lower_targets.retain(|_, targets| !targets.is_empty());
        (raises, sessions_to_lower)
    }
}

/// Weighted max-min fair division of `available` units among demands of (session, units wanted, weight): no session
/// gets more than it wants, and a session that gets less than it wants gets, relative to its weight, no less than any
/// other, within one unit.
fn divide_max_min_fair(
    demands: &[(SessionId, u64, u64)],
    available: u64,
) -> BTreeMap<SessionId, u64> {
    let mut by_demand: Vec<_> = demands.to_vec();
    // The smallest demand relative to its weight is served first; what it leaves of its part goes to the larger ones.
    by_demand.sort_by(|a, b| (a.1 * b.2, a.0).cmp(&(b.1 * a.2, b.0)));
    let mut remaining_weight: u64 = by_demand.iter().map(|(.., weight)| weight).sum();
    let mut remaining = available;
    let mut targets = BTreeMap::new();
    for (session, wanted, weight) in by_demand {
        let units = wanted.min(remaining * weight / remaining_weight.max(1));
        targets.insert(session, units);
        (remaining, remaining_weight) = (remaining - units, remaining_weight - weight);
    }
    // Units left over by rounding go to unmet demands, one each, in the order of the demands.
    for (session, wanted, _) in demands {
        if remaining == 0 {
            break;
        }
        let units = targets
            .get_mut(session)
            .expect("every session has a target");
        if *units < *wanted {
            *units += 1;
            remaining -= 1;
        }
    }
    targets
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn divides_fairly_without_losing_units() {
        let divide = |wanted: &[u64], available| -> Vec<u64> {
            let demands: Vec<_> = wanted
                .iter()
                .enumerate()
                .map(|(index, wanted)| (index as u64, *wanted, 1))
                .collect();
            divide_max_min_fair(&demands, available)
                .into_values()
                .collect()
        };
        assert_eq!(divide(&[9, 1, 4], 30), [9, 1, 4]);
        assert_eq!(divide(&[9, 1, 4], 10), [5, 1, 4]);
        assert_eq!(divide(&[9, 9, 9], 10), [3, 3, 4]);
        assert_eq!(divide(&[5, 5, 5, 5], 3).iter().sum::<u64>(), 3);
        assert_eq!(divide(&[0, 7], 3), [0, 3]);
        // Weights of 3 to 1: units that the session of the larger weight does not want go to the other.
        let divide_weighted = |wanted: [u64; 2], available| {
            divide_max_min_fair(&[(1, wanted[0], 3), (2, wanted[1], 1)], available)
                .into_values()
                .collect::<Vec<_>>()
        };
        assert_eq!(divide_weighted([50, 50], 40), [30, 10]);
        assert_eq!(divide_weighted([10, 50], 40), [10, 30]);
        assert_eq!(divide_weighted([50, 4], 40), [36, 4]);
    }
}
