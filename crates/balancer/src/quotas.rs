//! What this balancer may use of what several balancers share, and what it uses of that. Bookkeeping without decisions.
//!
//! A unit that counts within a span is in use from the decision until a whole span after the line that it is for was
//! written. The dial in between may take long, and servers count lines: counted from the decision, units of two
//! spans would meet within one.

use std::collections::{BTreeMap, VecDeque};

use crate::api::{Allowance, QuotaKind, RequestId, Seconds, ServerId};

/// Whoever counts at the other end may see a line so much sooner or later.
const SLACK: Seconds = 0.05;

/// What units are counted of: a matter as a whole, or at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Counter {
    matter: QuotaKind,
    server: Option<ServerId>,
}

#[derive(Clone, Copy, Debug)]
struct Part {
    allowance: Allowance,
    /// How often it was too small.
    denied: u64,
}

#[derive(Debug, Default)]
pub struct Quotas {
    parts: BTreeMap<QuotaKind, Part>,
    /// When units that count within a span were used.
    used: BTreeMap<Counter, VecDeque<Seconds>>,
    /// Units of attempts whose lines have not been written yet, and how many there are of each kind.
    unwritten: BTreeMap<RequestId, Vec<Counter>>,
    pending: BTreeMap<Counter, u64>,
}

impl Quotas {
    /// A part from now on.
    pub fn set_allowance(&mut self, matter: QuotaKind, allowance: Allowance) {
        let part = self.parts.entry(matter).or_insert(Part {
            allowance,
            denied: 0,
        });
        part.allowance = allowance;
    }

    pub fn is_limited(&self, matter: QuotaKind) -> bool {
        self.parts.contains_key(&matter)
    }

    /// All parts, with how often each was too small.
    pub fn denials(&self) -> Vec<(QuotaKind, u64)> {
        let denied = |(matter, part): (&QuotaKind, &Part)| (*matter, part.denied);
        self.parts.iter().map(denied).collect()
    }

    /// The units that may be used now; none where no part was told.
    pub fn allowed_units(&self, matter: QuotaKind, now: Seconds) -> Option<u64> {
        let allowance = self.parts.get(&matter)?.allowance;
        let leased = now < allowance.until;
        Some(if leased {
            allowance.units
        } else {
            allowance.after
        })
    }

    /// The units of all balancers together.
    pub fn fleet_units(&self, matter: QuotaKind) -> Option<u64> {
        Some(self.parts.get(&matter)?.allowance.whole)
    }

    /// How long after its coming a request may wait for a part that has no room for it.
    pub fn max_wait(&self, matter: QuotaKind) -> Seconds {
        let part = self.parts.get(&matter);
        part.map_or(0.0, |part| part.allowance.wait)
    }

    /// A larger part would have been used.
    pub fn record_denial(&mut self, matter: QuotaKind) {
        if let Some(part) = self.parts.get_mut(&matter) {
            part.denied += 1;
        }
    }

    /// One unit is used now, if there is such a part.
    pub fn spend_unit(&mut self, matter: QuotaKind, now: Seconds) {
        let server = None;
        self.add(Counter { matter, server }, now);
    }

    /// One unit is in use for an attempt whose line is still to be written, if there is such a part.
    pub fn reserve_unit(&mut self, id: RequestId, matter: QuotaKind, server: Option<ServerId>) {
        if self.is_limited(matter) {
            let counter = Counter { matter, server };
            self.unwritten.entry(id).or_default().push(counter);
            *self.pending.entry(counter).or_default() += 1;
        }
    }

    /// Whether the writing of a request's line starts a span.
    pub fn awaits_write(&self, id: RequestId) -> bool {
        self.unwritten.contains_key(&id)
    }

    /// The line of the latest attempt was written by now.
    pub fn mark_written(&mut self, id: RequestId, now: Seconds) {
        for counter in self.take_reserved(id) {
            self.add(counter, now);
        }
    }

    /// The latest attempt ended without a line: its units are free.
    pub fn release_units(&mut self, id: RequestId) {
        self.take_reserved(id);
    }

    fn take_reserved(&mut self, id: RequestId) -> Vec<Counter> {
        let counters = self.unwritten.remove(&id).unwrap_or_default();
        for counter in &counters {
            let pending = self.pending.get_mut(counter).expect("reserved before");
            *pending -= 1;
            if *pending == 0 {
                self.pending.remove(counter);
            }
        }
        counters
    }

    /// How much longer a unit that was just taken may be used: those beyond what is left after the lease end with it.
    pub fn remaining_lease(
        &self,
        matter: QuotaKind,
        server: Option<ServerId>,
        now: Seconds,
    ) -> Option<Seconds> {
        let allowance = self.parts.get(&matter)?.allowance;
        let used = self.used_of(Counter { matter, server }, now);
        let leased = now < allowance.until && used > allowance.after;
        leased.then_some(allowance.until - now)
    }

    /// What is in use of a part that counts within a span; of one that counts at each server, at `server`.
    pub fn used_at_server(&self, matter: QuotaKind, server: ServerId, now: Seconds) -> u64 {
        let server = Some(server);
        self.used_of(Counter { matter, server }, now)
    }

    /// The same where most is in use.
    pub fn max_used(&self, matter: QuotaKind, now: Seconds) -> u64 {
        let first = Counter {
            matter,
            server: None,
        };
        let last = Counter {
            matter,
            server: Some(ServerId::MAX),
        };
        let used = self.used.range(first..=last).map(|(counter, _)| *counter);
        let pending = self
            .pending
            .range(first..=last)
            .map(|(counter, _)| *counter);
        let each = used
            .chain(pending)
            .map(|counter| self.used_of(counter, now));
        each.max().unwrap_or(0)
    }

    fn used_of(&self, counter: Counter, now: Seconds) -> u64 {
        let since = self.since(counter.matter, now);
        let used = self.used.get(&counter);
        let used = used.map_or(0, |used| {
            used.len() - used.partition_point(|at| *at < since)
        });
        used as u64 + self.pending.get(&counter).copied().unwrap_or(0)
    }

    /// Units that were used before this are free again.
    fn since(&self, matter: QuotaKind, now: Seconds) -> Seconds {
        let span = self
            .parts
            .get(&matter)
            .map_or(0.0, |part| part.allowance.span);
        now - span - SLACK
    }

    fn add(&mut self, counter: Counter, now: Seconds) {
        if !self.is_limited(counter.matter) {
            return;
        }
        let since = self.since(counter.matter, now);
        let own = self.used.entry(counter).or_default();
        own.push_back(now);
        while own.front().is_some_and(|at| *at < since) {
            own.pop_front();
        }
        // A server that gets nothing more is not cold for ever.
        self.used.retain(|of, used| {
            of.matter != counter.matter || used.back().is_some_and(|at| *at >= since)
        });
    }
}
