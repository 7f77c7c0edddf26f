//! This balancer's allowances of the quotas that several balancers share, and its use of them. Bookkeeping only, no
//! decisions.
//!
//! A unit of a quota with a span is in use from the decision until a whole span after its request's line was written.
//! The dial in between may take long, and servers count lines: if units counted from the decision, the lines of two
//! spans could be written within one.

use std::collections::{BTreeMap, VecDeque};

use crate::api::{Allowance, QuotaKind, RequestId, Seconds, ServerId};

/// Largest difference between the times at which this balancer and an observer at the server see a line.
const COUNTING_TOLERANCE: Seconds = 0.05;

/// The key under which units are counted: a quota as a whole, or a quota at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Counter {
    kind: QuotaKind,
    server: Option<ServerId>,
}

/// The allowance of one quota.
#[derive(Clone, Copy, Debug)]
struct Limit {
    allowance: Allowance,
    /// How often the allowance was too small.
    denied: u64,
}

/// The quotas of a balancer, with the units of them that are in use.
#[derive(Debug, Default)]
pub struct Quotas {
    limits: BTreeMap<QuotaKind, Limit>,
    /// When units of quotas with a span were used.
    spent_at: BTreeMap<Counter, VecDeque<Seconds>>,
    /// Units of attempts whose lines have not been written yet, and the number of such units for each counter.
    unwritten_units: BTreeMap<RequestId, Vec<Counter>>,
    pending_units: BTreeMap<Counter, u64>,
}

impl Quotas {
    /// Sets the allowance of a quota from now on.
    pub fn set_allowance(&mut self, kind: QuotaKind, allowance: Allowance) {
        let limit = self.limits.entry(kind).or_insert(Limit {
            allowance,
            denied: 0,
        });
        limit.allowance = allowance;
    }

    /// Whether the quota has an allowance.
    pub fn is_limited(&self, kind: QuotaKind) -> bool {
        self.limits.contains_key(&kind)
    }

    /// All quotas that have an allowance, with the number of denials of each.
    pub fn denials(&self) -> Vec<(QuotaKind, u64)> {
        let denials = |(kind, limit): (&QuotaKind, &Limit)| (*kind, limit.denied);
        self.limits.iter().map(denials).collect()
    }

    /// The units that may be used now; `None` without an allowance, where the use is not limited.
    pub fn allowed_units(&self, kind: QuotaKind, now: Seconds) -> Option<u64> {
        let allowance = self.limits.get(&kind)?.allowance;
        let is_leased = now < allowance.lease_end;
        Some(if is_leased {
            allowance.units
        } else {
            allowance.units_after_lease
        })
    }

    /// The units that all balancers have together; `None` without an allowance.
    pub fn fleet_units(&self, kind: QuotaKind) -> Option<u64> {
        Some(self.limits.get(&kind)?.allowance.fleet_units)
    }

    /// How long after its arrival a request may wait for a unit of a quota that has none left.
    pub fn max_wait(&self, kind: QuotaKind) -> Seconds {
        let limit = self.limits.get(&kind);
        limit.map_or(0.0, |limit| limit.allowance.max_wait)
    }

    /// Counts a denial: a larger allowance would have been used.
    pub fn record_denial(&mut self, kind: QuotaKind) {
        if let Some(limit) = self.limits.get_mut(&kind) {
            limit.denied += 1;
        }
    }

    /// Counts one unit as used now, if the quota has an allowance.
    pub fn spend_unit(&mut self, kind: QuotaKind, now: Seconds) {
        let server = None;
        self.record_spent(Counter { kind, server }, now);
    }

    /// Reserves one unit for an attempt whose line is still to be written, if the quota has an allowance.
    pub fn reserve_unit(&mut self, id: RequestId, kind: QuotaKind, server: Option<ServerId>) {
        if self.is_limited(kind) {
            let counter = Counter { kind, server };
            self.unwritten_units.entry(id).or_default().push(counter);
            *self.pending_units.entry(counter).or_default() += 1;
        }
    }

    /// Whether the span of a unit starts when the line of this request is written.
    pub fn awaits_write(&self, id: RequestId) -> bool {
        self.unwritten_units.contains_key(&id)
    }

    /// Records that the line of the latest attempt has been written: the spans of its units start now.
    pub fn mark_written(&mut self, id: RequestId, now: Seconds) {
        for counter in self.take_reserved(id) {
            self.record_spent(counter, now);
        }
    }

    /// Releases the units of the latest attempt, which ended before its line was written.
    pub fn release_units(&mut self, id: RequestId) {
        self.take_reserved(id);
    }

    fn take_reserved(&mut self, id: RequestId) -> Vec<Counter> {
        let counters = self.unwritten_units.remove(&id).unwrap_or_default();
        for counter in &counters {
            let pending = self
                .pending_units
                .get_mut(counter)
                .expect("reserved units are counted");
            *pending -= 1;
            if *pending == 0 {
                self.pending_units.remove(counter);
            }
        }
        counters
    }

    /// How much longer a unit that has just come into use may be used. Units in excess of the allowance's
    /// `units_after_lease` expire with the lease; `None` for the others.
    pub fn remaining_lease(
        &self,
        kind: QuotaKind,
        server: Option<ServerId>,
        now: Seconds,
    ) -> Option<Seconds> {
        let allowance = self.limits.get(&kind)?.allowance;
        let units = self.units_in_use(Counter { kind, server }, now);
        let is_leased = now < allowance.lease_end && units > allowance.units_after_lease;
        is_leased.then_some(allowance.lease_end - now)
    }

    /// The units in use at `server`, of a quota with a span that counts for each server.
    pub fn used_at_server(&self, kind: QuotaKind, server: ServerId, now: Seconds) -> u64 {
        let server = Some(server);
        self.units_in_use(Counter { kind, server }, now)
    }

    /// The units in use of a quota with a span; for one that counts for each server, the most at any server.
    pub fn max_used(&self, kind: QuotaKind, now: Seconds) -> u64 {
        let first = Counter { kind, server: None };
        let last = Counter {
            kind,
            server: Some(ServerId::MAX),
        };
        let with_spent = self
            .spent_at
            .range(first..=last)
            .map(|(counter, _)| *counter);
        let with_pending = self
            .pending_units
            .range(first..=last)
            .map(|(counter, _)| *counter);
        let units = with_spent
            .chain(with_pending)
            .map(|counter| self.units_in_use(counter, now));
        units.max().unwrap_or(0)
    }

    fn units_in_use(&self, counter: Counter, now: Seconds) -> u64 {
        let span_start = self.span_start(counter.kind, now);
        let spent = self.spent_at.get(&counter);
        let spent = spent.map_or(0, |spent| {
            spent.len() - spent.partition_point(|at| *at < span_start)
        });
        spent as u64 + self.pending_units.get(&counter).copied().unwrap_or(0)
    }

    /// The start of the current span: units that were used before it are free again.
    fn span_start(&self, kind: QuotaKind, now: Seconds) -> Seconds {
        let span = self
            .limits
            .get(&kind)
            .map_or(0.0, |limit| limit.allowance.span);
        now - span - COUNTING_TOLERANCE
    }

    fn record_spent(&mut self, counter: Counter, now: Seconds) {
        if !self.is_limited(counter.kind) {
            return;
        }
        let span_start = self.span_start(counter.kind, now);
        let spent = self.spent_at.entry(counter).or_default();
        spent.push_back(now);
        while spent.front().is_some_and(|at| *at < span_start) {
            spent.pop_front();
        }
        // Counters whose spans are over are removed: a server does not stay cold, and its counter would never be used
        // again.
        self.spent_at.retain(|other, spent_units| {
            other.kind != counter.kind || spent_units.back().is_some_and(|at| *at >= span_start)
        });
    }
}
