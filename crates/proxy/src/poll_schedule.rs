//! Schedule of the calls to discovery: which call is next, and when. It does no I/O and reads no clock; random
//! values are passed in.
//!
//! All proxies call one service, which handles calls one after the other and also spends time on those that it
//! rejects. Proxies that start or fail together must not call together: each waits a random part of the time that
//! the calls of the whole fleet take.

use std::time::Duration;

use crate::limits::Limits;

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryQuery {
    /// The whole list, answered immediately.
    Snapshot,
    /// The changes since a version, answered as soon as there are any.
    ChangesSince(u64),
}

/// Reason why a call returned no list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryFailure {
    /// The service rejected the call, for example because it no longer has the requested version.
    VersionExpired(String),
    /// A watch received no answer, not even an empty one, before its timeout. The service may be working all the
    /// same, and changes that it sent in the meantime count as announced to this proxy.
    WatchTimeout(String),
    /// Any other failure; repeating the same call may succeed.
    Other(String),
}

impl QueryFailure {
    /// Returns the error text.
    pub fn into_message(self) -> String {
        match self {
            Self::VersionExpired(message) | Self::WatchTimeout(message) | Self::Other(message) => {
                message
            }
        }
    }
}

/// How an answer has to be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Apply its rows.
    Apply,
    /// It contains no changes.
    Unchanged,
    /// It can't be applied to the current list.
    OutOfOrder,
}

/// State of the schedule: the known version and the backoff.
#[derive(Debug)]
pub struct PollSchedule {
    version: Option<u64>,
    has_answered: bool,
    /// A timed-out watch was repeated without a backoff, and that call has not been answered yet.
    immediate_retry_pending: bool,
    max_initial_delay: Duration,
    next_backoff: Duration,
    initial_backoff: Duration,
    max_backoff: Duration,
    max_unanswered_backoff: Duration,
    min_query_interval: Duration,
}

impl PollSchedule {
    /// Creates a schedule. `known_version` is the version of the list kept from the last run, if there is one.
    pub fn new(limits: &Limits, known_version: Option<u64>) -> Self {
        Self {
            version: known_version,
            has_answered: known_version.is_some(),
            immediate_retry_pending: false,
            max_initial_delay: limits.max_initial_delay,
            next_backoff: limits.initial_backoff,
            initial_backoff: limits.initial_backoff,
            max_backoff: limits.max_backoff,
            max_unanswered_backoff: limits.max_unanswered_backoff.min(limits.max_backoff),
            min_query_interval: limits.min_query_interval,
        }
    }

    /// Returns the call to make next: for changes if a version is known, otherwise for the whole list.
    pub fn next_query(&self) -> DiscoveryQuery {
        self.version
            .map_or(DiscoveryQuery::Snapshot, DiscoveryQuery::ChangesSince)
    }

    /// Returns the delay before the first call, for a random value from 0 to 1. Without a known list there is no delay,
    /// as the proxy can't serve before the answer.
    pub fn initial_delay(&self, random: f64) -> Duration {
        match self.version {
            Some(_) => self.max_initial_delay.mul_f64(random),
            None => Duration::ZERO,
        }
    }

    /// Handles an answer that arrived after `elapsed`. Returns how to handle it and the delay before the next call.
    pub fn on_answer(
        &mut self,
        version: u64,
        is_snapshot: bool,
        rows: usize,
        elapsed: Duration,
    ) -> (Verdict, Duration) {
        (self.has_answered, self.immediate_retry_pending) = (true, false);
        self.next_backoff = self.initial_backoff;
        // A decreasing version, or changes without a known list, can't be applied.
        if !is_snapshot
            && self
                .version
                .is_none_or(|known_version| version < known_version)
        {
            self.version = None;
            return (Verdict::OutOfOrder, self.min_query_interval);
        }
        self.version = Some(version);
        if is_snapshot || rows > 0 {
            // A watch is continuous only if the next call follows immediately.
            return (Verdict::Apply, Duration::ZERO);
        }
        // Immediate answers without changes must not cause a busy loop.
        let delay = match elapsed < self.min_query_interval {
            true => self.min_query_interval,
            false => Duration::ZERO,
        };
        (Verdict::Unchanged, delay)
    }

    /// Handles a failure. Returns the delay before the next call, for a random value from 0 to 1.
    pub fn on_failure(&mut self, failure: &QueryFailure, random: f64) -> Duration {
        if matches!(failure, QueryFailure::VersionExpired(_)) {
            self.version = None;
        }
        // A single broken watch does not mean that the watches of all proxies broke. It is repeated without a
        // backoff, before the changes that it missed count as announced. If that call fails too, the proxy backs
        // off as after any other failure.
        if matches!(failure, QueryFailure::WatchTimeout(_))
            && !std::mem::replace(&mut self.immediate_retry_pending, true)
        {
            return self.min_query_interval.mul_f64(random);
        }
        let delay = self.next_backoff.mul_f64(0.25 + 0.75 * random);
        let max_backoff = match self.has_answered {
            true => self.max_backoff,
            false => self.max_unanswered_backoff,
        };
        self.next_backoff = (self.next_backoff * 2).min(max_backoff);
        delay
    }
}
