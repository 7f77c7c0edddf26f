//! What this balancer may use of what several balancers share, and what it uses of that. Bookkeeping without decisions.
//!
//! A unit that counts within a span is in use from the decision until a whole span after the line that it is for was
//! written. The dial in between may take long, and servers count lines: counted from the decision, units of two
//! spans would meet within one.

use std::collections::{BTreeMap, VecDeque};

use crate::api::{Allowance, Matter, RequestId, Secs, ServerId};

/// Whoever counts at the other end may see a line so much sooner or later.
const SLACK: Secs = 0.05;

/// What units are counted of: a matter as a whole, or at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Counter {
    matter: Matter,
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
    parts: BTreeMap<Matter, Part>,
    /// When units that count within a span were used.
    used: BTreeMap<Counter, VecDeque<Secs>>,
    /// Units of attempts whose lines have not been written yet, and how many there are of each kind.
    unwritten: BTreeMap<RequestId, Vec<Counter>>,
    pending: BTreeMap<Counter, u64>,
}

impl Quotas {
    /// A part from now on.
    pub fn allow(&mut self, matter: Matter, allowance: Allowance) {
        let part = self.parts.entry(matter).or_insert(Part {
            allowance,
            denied: 0,
        });
        part.allowance = allowance;
    }

    pub fn has(&self, matter: Matter) -> bool {
        self.parts.contains_key(&matter)
    }

    /// All parts, with how often each was too small.
    pub fn denials(&self) -> Vec<(Matter, u64)> {
        let denied = |(matter, part): (&Matter, &Part)| (*matter, part.denied);
        self.parts.iter().map(denied).collect()
    }

    /// The units that may be used now; none where no part was told.
    pub fn units(&self, matter: Matter, now: Secs) -> Option<u64> {
        let allowance = self.parts.get(&matter)?.allowance;
        let leased = now < allowance.until;
        Some(if leased {
            allowance.units
        } else {
            allowance.after
        })
    }

    /// The units of all balancers together.
    pub fn whole(&self, matter: Matter) -> Option<u64> {
        Some(self.parts.get(&matter)?.allowance.whole)
    }

    /// How long after its coming a request may wait for a part that has no room for it.
    pub fn wait(&self, matter: Matter) -> Secs {
        let part = self.parts.get(&matter);
        part.map_or(0.0, |part| part.allowance.wait)
    }

    /// A larger part would have been used.
    pub fn deny(&mut self, matter: Matter) {
        if let Some(part) = self.parts.get_mut(&matter) {
            part.denied += 1;
        }
    }

    /// One unit is used now, if there is such a part.
    pub fn spend(&mut self, matter: Matter, now: Secs) {
        let server = None;
        self.add(Counter { matter, server }, now);
    }

    /// One unit is in use for an attempt whose line is still to be written, if there is such a part.
    pub fn reserve(&mut self, id: RequestId, matter: Matter, server: Option<ServerId>) {
        if self.has(matter) {
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
    pub fn written(&mut self, id: RequestId, now: Secs) {
        for counter in self.take_reserved(id) {
            self.add(counter, now);
        }
    }

    /// The latest attempt ended without a line: its units are free.
    pub fn release(&mut self, id: RequestId) {
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
    pub fn lease_left(&self, matter: Matter, server: Option<ServerId>, now: Secs) -> Option<Secs> {
        let allowance = self.parts.get(&matter)?.allowance;
        let used = self.used_of(Counter { matter, server }, now);
        let leased = now < allowance.until && used > allowance.after;
        leased.then_some(allowance.until - now)
    }

    /// What is in use of a part that counts within a span; of one that counts at each server, at `server`.
    pub fn used_at(&self, matter: Matter, server: ServerId, now: Secs) -> u64 {
        let server = Some(server);
        self.used_of(Counter { matter, server }, now)
    }

    /// The same where most is in use.
    pub fn used(&self, matter: Matter, now: Secs) -> u64 {
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

    fn used_of(&self, counter: Counter, now: Secs) -> u64 {
        let since = self.since(counter.matter, now);
        let used = self.used.get(&counter);
        let used = used.map_or(0, |used| {
            used.len() - used.partition_point(|at| *at < since)
        });
        used as u64 + self.pending.get(&counter).copied().unwrap_or(0)
    }

    /// Units that were used before this are free again.
    fn since(&self, matter: Matter, now: Secs) -> Secs {
        let span = self
            .parts
            .get(&matter)
            .map_or(0.0, |part| part.allowance.span);
        now - span - SLACK
    }

    fn add(&mut self, counter: Counter, now: Secs) {
        if !self.has(counter.matter) {
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
