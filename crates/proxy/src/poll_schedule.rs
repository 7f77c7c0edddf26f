//! What discovery is asked next, and when: no I/O and no clock, and chance comes in as a value.
//!
//! All proxies ask one service, which works through calls in turn and spends work on those it turns away
//! too. Proxies that start or fail together must not ask together: each waits by chance within the time
//! that the whole fleet's calls take.

use std::time::Duration;

use crate::limits::Limits;

/// The next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryQuery {
    /// The whole list, at once.
    Snapshot,
    /// What changed since a version, as soon as there is something.
    ChangesSince(u64),
}

/// Why a call brought no list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryFailure {
    /// The service does not know the version any more.
    VersionExpired(String),
    /// A watch brought nothing, not even that nothing is new, when its time was over: the service may work for all
    /// that, and what it wrote meanwhile counts as told.
    WatchTimeout(String),
    Other(String),
}

impl QueryFailure {
    pub fn into_message(self) -> String {
        match self {
            Self::VersionExpired(what) | Self::WatchTimeout(what) | Self::Other(what) => what,
        }
    }
}

/// What is to be done with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Apply,
    /// Nothing in it is new.
    Unchanged,
    /// It can't be applied to the list that is had.
    OutOfOrder,
}

#[derive(Debug)]
pub struct PollSchedule {
    version: Option<u64>,
    answered: bool,
    /// A silent watch was followed by a call at once, which has not been answered.
    prompt: bool,
    before_first: Duration,
    wait: Duration,
    first: Duration,
    most: Duration,
    most_fresh: Duration,
    gap: Duration,
}

impl PollSchedule {
    /// With the version of the list that is had from a last run, if there is one.
    pub fn new(limits: &Limits, known: Option<u64>) -> Self {
        Self {
            version: known,
            answered: known.is_some(),
            prompt: false,
            before_first: limits.max_initial_delay,
            wait: limits.initial_backoff,
            first: limits.initial_backoff,
            most: limits.max_backoff,
            most_fresh: limits.max_unanswered_backoff.min(limits.max_backoff),
            gap: limits.min_query_interval,
        }
    }

    pub fn next_query(&self) -> DiscoveryQuery {
        self.version
            .map_or(DiscoveryQuery::Snapshot, DiscoveryQuery::ChangesSince)
    }

    /// The wait before the first call: none where nothing can be served without its answer.
    pub fn initial_delay(&self, chance: f64) -> Duration {
        match self.version {
            Some(_) => self.before_first.mul_f64(chance),
            None => Duration::ZERO,
        }
    }

    /// An answer that took so long; and the wait before the next call.
    pub fn on_answer(
        &mut self,
        version: u64,
        whole: bool,
        rows: usize,
        took: Duration,
    ) -> (Verdict, Duration) {
        (self.answered, self.prompt) = (true, false);
        self.wait = self.first;
        // A version that goes back, or changes to a list never had, can't be applied.
        if !whole && self.version.is_none_or(|had| version < had) {
            self.version = None;
            return (Verdict::OutOfOrder, self.gap);
        }
        self.version = Some(version);
        if whole || rows > 0 {
            // A watch goes on only if the next call comes at once.
            return (Verdict::Apply, Duration::ZERO);
        }
        // An answer at once with nothing new must not become a busy loop.
        let wait = match took < self.gap {
            true => self.gap,
            false => Duration::ZERO,
        };
        (Verdict::Unchanged, wait)
    }

    /// The wait after a failure, by a chance from 0 to 1.
    pub fn on_failure(&mut self, failure: &QueryFailure, chance: f64) -> Duration {
        if matches!(failure, QueryFailure::VersionExpired(_)) {
            self.version = None;
        }
        // One of many watches that broke is no sign that all did: it is opened anew before what it missed counts. If
        // that brings nothing either, this proxy waits like all others.
        if matches!(failure, QueryFailure::WatchTimeout(_))
            && !std::mem::replace(&mut self.prompt, true)
        {
            return self.gap.mul_f64(chance);
        }
        let wait = self.wait.mul_f64(0.25 + 0.75 * chance);
        let most = match self.answered {
            true => self.most,
            false => self.most_fresh,
        };
        self.wait = (self.wait * 2).min(most);
        wait
    }
}
