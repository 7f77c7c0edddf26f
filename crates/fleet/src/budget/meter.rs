//! Counts what one member uses of each budget, and decides what it may use. All times are by the member's own clock.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use violetwind_consensus::Millis;

use super::{BudgetDefinition, BudgetKind, Need, Share};
use crate::limits::Limits;
use crate::messages::Name;

/// The result of a request for one unit of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquisition {
    Granted,
    /// No unit is left at this member; a retry is worthwhile after `retry_after` milliseconds.
    Denied {
        retry_after: Millis,
    },
    /// This member has no such budget, or it is counted by another component of the process.
    UnknownBudget,
}

/// The units of a budget that another component of this process, which counts the budget itself, may use: `units`
/// before the time `until` of this member's clock, and `after` from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Units that may be used before `until`.
    pub units: u64,
    /// The end of the lease, or 0 if no share is usable.
    pub until: Millis,
    /// Units that may be used from `until` on: the floor.
    pub after: u64,
    /// Of a rate budget: the span in which the units are counted, longer than the window to allow for clocks that run
    /// fast.
    pub span: Millis,
    /// Whether an exchange with the leader may bring more units: the lease is valid, the leader has not left a need
    /// unmet for the unmet-need timeout, the share is not the whole pool already, and it is not being lowered.
    pub hopeful: bool,
}

/// A need that was reported to the leader and that the share does not cover, in units beyond the floor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NeedLeftOpen {
    pub budget: Name,
    /// Units wanted.
    pub wanted: u64,
    /// Units of the share.
    pub units: u64,
}

/// How long the leader has left a need unmet.
#[derive(Clone, Copy, Debug)]
struct UnmetNeed {
    /// The time of the first answer that left it unmet.
    since: Millis,
    /// The number of answers since then, that one included.
    answers: u32,
}

/// The state of a budget that another component of the process counts: what was sent to it, and what it has reported.
#[derive(Clone, Debug, Default)]
struct ExternalCounter {
    last_part: Option<Part>,
    /// The usable units have been reduced, and the component has not been notified of that yet.
    has_unsent_reduction: bool,
    /// The number of the last part sent.
    sent_number: u64,
    /// The number of the last part that was in force for a usage report.
    confirmed_number: u64,
    in_use: u64,
    /// Requests that the component has denied, counted from its start.
    denied_total: u64,
}

/// One budget at this member.
#[derive(Clone, Debug)]
struct Meter {
    definition: BudgetDefinition,
    /// When the floor becomes usable. An earlier process's use of a rate budget is unknown here.
    floor_valid_from: Millis,
    share: Share,
    /// Set while renewals are answered with less than was needed, until the share is raised.
    unmet_need: Option<UnmetNeed>,
    /// The units that the leader requests the share to be lowered to.
    lower_target: Option<u64>,
    /// The smallest upper bound of its use that this member has offered to the leader, and the version of the share
    /// that the offer is based on.
    lowered_to: Option<(u64, u64)>,
    /// Units of a concurrency budget in use.
    held: u64,
    /// When units of a rate budget were used, within the window.
    used_at: VecDeque<Millis>,
    /// When requests were denied, within the span in which they count as needs.
    denied_at: VecDeque<Millis>,
    external: Option<ExternalCounter>,
}

impl Meter {
    /// The window of a rate budget by this member's clock, longer than the defined one because the clock may run fast.
    fn local_window(&self, limits: &Limits) -> Millis {
        self.definition.window
            + (self.definition.window * limits.max_clock_drift_permille).div_ceil(1000)
            + 1
    }

    /// Drops uses that have left the window, and denied requests that no longer count as needs.
    fn remove_expired(&mut self, now: Millis, limits: &Limits) {
        let window = self.local_window(limits);
        while self.used_at.front().is_some_and(|at| now >= *at + window) {
            self.used_at.pop_front();
        }
        let span = match self.definition.kind {
            BudgetKind::Concurrent => limits.renew_interval / 2,
            BudgetKind::Rate => window,
        };
        while self.denied_at.front().is_some_and(|at| now >= *at + span) {
            self.denied_at.pop_front();
        }
    }

    fn in_use(&self) -> u64 {
        if let Some(external) = &self.external {
            return external.in_use;
        }
        match self.definition.kind {
            BudgetKind::Concurrent => self.held,
            BudgetKind::Rate => self.used_at.len() as u64,
        }
    }

    fn floor(&self, now: Millis) -> u64 {
        match now >= self.floor_valid_from {
            true => self.definition.floor,
            false => 0,
        }
    }

    /// Units in use beyond the floor, which the share has to cover.
    fn in_use_beyond_floor(&self, now: Millis) -> u64 {
        self.in_use().saturating_sub(self.floor(now))
    }

    /// The units of the share, or fewer while it is being lowered.
    fn usable_share(&self) -> u64 {
        let share = self.share.units.min(self.lower_target.unwrap_or(u64::MAX));
        match self.lowered_to {
            Some((units, version)) if version == self.share.version => share.min(units),
            _ => share,
        }
    }

    fn allowed(&self, now: Millis, has_lease: bool) -> u64 {
        self.floor(now) + if has_lease { self.usable_share() } else { 0 }
    }

    /// Whether the part sent last is in force where the budget is counted, so that the reported use can't exceed it.
    fn is_usage_confirmed(&self) -> bool {
        let is_confirmed = |external: &ExternalCounter| {
            external.confirmed_number == external.sent_number && !external.has_unsent_reduction
        };
        self.external.as_ref().is_none_or(is_confirmed)
    }
}

/// All budgets of one member.
#[derive(Clone, Debug, Default)]
pub struct Meters {
    meters: BTreeMap<Name, Meter>,
    /// The needs last reported to the leader of `reported_term`.
    reported_needs: BTreeMap<Name, Need>,
    reported_term: u64,
    /// The version of the newest list of shares applied.
    shares_version: u64,
}

impl Meters {
    /// Meters for the defined budgets; those named in `external` are counted by another component of the process.
    /// `started_at` is when this process started: the floor of a rate budget becomes usable one window later, because
    /// an earlier process of the same name may have used it just before.
    pub fn new(
        definitions: &[BudgetDefinition],
        external: &BTreeSet<Name>,
        started_at: Millis,
        limits: &Limits,
    ) -> Self {
        let meter = |definition: &BudgetDefinition| {
            let mut meter = Meter {
                definition: definition.clone(),
                floor_valid_from: started_at,
                share: Share::default(),
                unmet_need: None,
                lower_target: None,
                lowered_to: None,
                held: 0,
                used_at: VecDeque::new(),
                denied_at: VecDeque::new(),
                external: external
                    .contains(&definition.name)
                    .then(ExternalCounter::default),
            };
            if definition.kind == BudgetKind::Rate {
                meter.floor_valid_from = started_at + meter.local_window(limits);
            }
            (definition.name.clone(), meter)
        };
        Self {
            meters: definitions.iter().map(meter).collect(),
            ..Self::default()
        }
    }

    pub fn is_empty(&self) -> bool {
        self.meters.is_empty()
    }

    /// Takes one unit if it may be used now. Without a valid session lease (`has_lease`) only the floor may be used.
    pub fn acquire(
        &mut self,
        budget: &str,
        now: Millis,
        has_lease: bool,
        limits: &Limits,
    ) -> Acquisition {
        let meter = self
            .meters
            .get_mut(budget)
            .filter(|meter| meter.external.is_none());
        let Some(meter) = meter else {
            return Acquisition::UnknownBudget;
        };
        meter.remove_expired(now, limits);
        if meter.in_use() < meter.allowed(now, has_lease) {
            match meter.definition.kind {
                BudgetKind::Concurrent => meter.held += 1,
                BudgetKind::Rate => meter.used_at.push_back(now),
            }
            return Acquisition::Granted;
        }
        if (meter.denied_at.len() as u64) < meter.definition.total {
            meter.denied_at.push_back(now);
        }
        let window = meter.local_window(limits);
        let retry_after = match (meter.definition.kind, meter.used_at.front()) {
            (BudgetKind::Rate, Some(first)) => (first + window)
                .saturating_sub(now)
                .min(limits.renew_interval),
            _ => limits.renew_interval,
        };
        Acquisition::Denied {
            retry_after: retry_after.max(1),
        }
    }

    /// The parts that have changed since they were last sent to the components that count budgets themselves, each with
    /// its number. `lease_end` is when the shares become invalid.
    pub fn changed_parts(
        &mut self,
        now: Millis,
        lease_end: Millis,
        limits: &Limits,
    ) -> Vec<(Name, u64, Part)> {
        let mut parts = Vec::new();
        for (name, meter) in &mut self.meters {
            let (floor, usable, window) = (
                meter.floor(now),
                meter.usable_share(),
                meter.definition.window,
            );
            // The time alone does not suffice, the number of answers counts as well: on a busy machine or over a slow
            // link answers arrive late, and so do the raises that they announce.
            let is_unmet = meter.unmet_need.is_some_and(|unmet| {
                now >= unmet.since + limits.unmet_need_timeout
                    && unmet.answers >= limits.unmet_need_min_answers
            });
            let has_whole_pool = meter.share.units >= meter.definition.pool();
            let hopeful =
                now < lease_end && !is_unmet && !has_whole_pool && meter.lower_target.is_none();
            let Some(external) = &mut meter.external else {
                continue;
            };
            let until = if now < lease_end && usable > 0 {
                lease_end
            } else {
                0
            };
            let units = floor + if until > 0 { usable } else { 0 };
            // The window is extended by 2 %, twice the clock drift: the component may use another clock than this
            // member.
            let part = Part {
                units,
                until,
                after: floor,
                span: window + window / 50 + 1,
                hopeful,
            };
            external.has_unsent_reduction = false;
            if external.last_part != Some(part) {
                external.last_part = Some(part);
                external.sent_number += 1;
                parts.push((name.clone(), external.sent_number, part));
            }
        }
        parts
    }

    /// Records the use that another component reports of a budget, while the part of that number was in force there.
    /// `denied_total` counts denied requests from the component's start.
    pub fn record_external_usage(
        &mut self,
        budget: &str,
        part_number: u64,
        in_use: u64,
        denied_total: u64,
        now: Millis,
    ) {
        if let Some(meter) = self.meters.get_mut(budget)
            && let Some(external) = &mut meter.external
        {
            external.confirmed_number = external.confirmed_number.max(part_number);
            external.in_use = in_use;
            let newly_denied = denied_total
                .saturating_sub(external.denied_total)
                .min(meter.definition.total);
            external.denied_total = denied_total;
            for _ in 0..newly_denied {
                if (meter.denied_at.len() as u64) < meter.definition.total {
                    meter.denied_at.push_back(now);
                }
            }
        }
    }

    /// Whether the known use of every budget can't be exceeded: each part sent last is in force where it is counted.
    pub fn is_usage_confirmed(&self) -> bool {
        self.meters.values().all(Meter::is_usage_confirmed)
    }

    /// Returns one unit of a concurrency budget.
    pub fn release(&mut self, budget: &str) {
        if let Some(meter) = self.meters.get_mut(budget) {
            meter.held = meter.held.saturating_sub(1);
        }
    }

    /// The units in use now and the units allowed now; `None` if this member has no such budget.
    pub fn usage(
        &mut self,
        budget: &str,
        now: Millis,
        has_lease: bool,
        limits: &Limits,
    ) -> Option<(u64, u64)> {
        let meter = self.meters.get_mut(budget)?;
        meter.remove_expired(now, limits);
        Some((meter.in_use(), meter.allowed(now, has_lease)))
    }

    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.meters.keys()
    }

    /// Whether a request was denied that a larger share would have served, and the leader has not been notified of the
    /// need.
    pub fn has_unreported_need(&self) -> bool {
        self.meters.iter().any(|(name, meter)| {
            let reported = self
                .reported_needs
                .get(name)
                .map_or(0, |reported| reported.wanted);
            !meter.denied_at.is_empty() && reported <= meter.share.units
        })
    }

    /// The units in use beyond the floors, for a session that starts or ends.
    pub fn units_in_use(&mut self, now: Millis, limits: &Limits) -> Vec<(Name, u64)> {
        let units = self.meters.iter_mut().map(|(name, meter)| {
            meter.remove_expired(now, limits);
            (name.clone(), meter.in_use_beyond_floor(now))
        });
        units.filter(|(_, units)| *units > 0).collect()
    }

    /// The needs to report to the leader of `term`: those that differ from the ones reported, at most
    /// `max_needs_per_renewal` at a time.
    pub fn next_needs(&mut self, now: Millis, term: u64, limits: &Limits) -> Vec<Need> {
        if term != self.reported_term {
            self.reported_needs.clear();
            self.reported_term = term;
        }
        let mut needs = Vec::new();
        for (name, meter) in &mut self.meters {
            meter.remove_expired(now, limits);
            let in_use = meter.in_use_beyond_floor(now);
            let denied = meter.denied_at.len() as u64;
            let wanted = (in_use + denied).min(meter.definition.pool());
            let need = Need {
                budget: name.clone(),
                in_use,
                wanted,
            };
            let reported = self.reported_needs.get(name);
            // Every change is reported, however small: it is sent with a renewal that is due anyway.
            let is_same = reported.is_some_and(|reported| *reported == need);
            if is_same || (reported.is_none() && wanted == 0 && in_use == 0) {
                continue;
            }
            self.reported_needs.insert(name.clone(), need.clone());
            needs.push(need);
            if needs.len() >= limits.max_needs_per_renewal {
                break;
            }
        }
        needs
    }

    /// Records that the leader has answered a renewal. Returns the reported needs that the shares don't cover and that
    /// were not known as unmet before.
    pub fn update_unmet_needs(&mut self, now: Millis, limits: &Limits) -> Vec<NeedLeftOpen> {
        let mut newly_unmet = Vec::new();
        for (name, meter) in &mut self.meters {
            let wanted = self
                .reported_needs
                .get(name)
                .map_or(0, |reported| reported.wanted);
            let units = meter.share.units;
            meter.unmet_need = match meter.unmet_need {
                None if wanted > units => {
                    let budget = name.clone();
                    newly_unmet.push(NeedLeftOpen {
                        budget,
                        wanted,
                        units,
                    });
                    Some(UnmetNeed {
                        since: now,
                        answers: 1,
                    })
                }
                Some(unmet) if now >= unmet.since + limits.unmet_need_cooldown => None,
                Some(unmet) => Some(UnmetNeed {
                    answers: unmet.answers.saturating_add(1),
                    ..unmet
                }),
                None => None,
            };
        }
        newly_unmet
    }

    /// The version of the newest list of shares applied.
    pub fn shares_version(&self) -> u64 {
        self.shares_version
    }

    /// Applies the session's shares as of a version of the log's list; an older list than the one known is ignored.
    pub fn set_shares(&mut self, version: u64, shares: &[(Name, Share)]) {
        if version < self.shares_version {
            return;
        }
        self.shares_version = version;
        for (name, meter) in &mut self.meters {
            let listed = shares.iter().find(|(budget, _)| budget == name);
            let share = listed.map(|(_, share)| *share).unwrap_or_default();
            if share.units > meter.share.units {
                meter.unmet_need = None;
            }
            meter.share = share;
        }
    }

    /// Removes all shares after the end of the session, so that only the floors may be used.
    pub fn clear_shares(&mut self) {
        self.shares_version = 0;
        self.reported_needs.clear();
        for meter in self.meters.values_mut() {
            (meter.share, meter.lower_target, meter.lowered_to) = (Share::default(), None, None);
            if let Some(external) = &mut meter.external {
                external.has_unsent_reduction = true;
            }
        }
    }

    /// Sets the units that the leader requests shares to be lowered to. From now on no new units are used beyond them.
    pub fn set_lower_targets(&mut self, targets: &[(Name, u64)]) {
        for (name, meter) in &mut self.meters {
            let target = targets.iter().find(|(budget, _)| budget == name);
            let target = target.map(|(_, units)| *units);
            if meter.lower_target != target {
                meter.lower_target = target;
                if let Some(external) = &mut meter.external {
                    external.has_unsent_reduction = true;
                }
            }
        }
    }

    /// Applies a share as recorded in the log after this member's request to lower it.
    pub fn update_share(&mut self, budget: &str, share: Share) {
        if let Some(meter) = self.meters.get_mut(budget) {
            let known = meter.share;
            let is_newer = share.version > known.version;
            if is_newer || share.version == known.version && share.units < known.units {
                meter.share = share;
            }
        }
    }

    /// The next share that can be lowered: down to the target or, if that is more, to the units in use; below the
    /// target if less is wanted. Returns the need, the units to lower the share to, and the version of the share that
    /// this is based on. The same request is not repeated for a budget for which `is_pending` is true.
    pub fn next_share_to_lower(
        &mut self,
        now: Millis,
        limits: &Limits,
        is_pending: impl Fn(&Name) -> bool,
    ) -> Option<(Need, u64, u64)> {
        for (name, meter) in &mut self.meters {
            meter.remove_expired(now, limits);
            let version = meter.share.version;
            if let Some(target) = meter.lower_target.filter(|_| meter.is_usage_confirmed()) {
                let offered = meter
                    .lowered_to
                    .filter(|(_, based_on)| *based_on == version);
                let offered = offered.map_or(u64::MAX, |(units, _)| units);
                let (in_use, denied) =
                    (meter.in_use_beyond_floor(now), meter.denied_at.len() as u64);
                let wanted = (in_use + denied).min(meter.definition.pool());
                // A component that counts the budget itself has been sent the target, and may use that many units
                // meanwhile.
                let kept = match meter.external {
                    Some(_) => target,
                    None => target.min(wanted),
                };
                let units = kept.max(in_use).min(offered);
                if units < meter.share.units && (units < offered || !is_pending(name)) {
                    // No more units are used from now on, even if the request is lost.
                    meter.lowered_to = Some((units, version));
                    let budget = name.clone();
                    let need = Need {
                        budget,
                        in_use,
                        wanted,
                    };
                    // The request may be delayed or lost: this value equals no need, so that the next renewal reports
                    // the need again.
                    let unreported = Need {
                        in_use: u64::MAX,
                        ..need.clone()
                    };
                    self.reported_needs.insert(name.clone(), unreported);
                    return Some((need, units, version));
                }
            }
        }
        None
    }
}
