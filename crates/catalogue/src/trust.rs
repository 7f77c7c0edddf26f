//! Decides whether a source is distrusted: whether too large a part of its servers became suspect recently.

use std::collections::BTreeMap;

use crate::limits::Limits;
use crate::types::{Millis, SourceStatus};

/// Counts the failing and absent servers of one source by the time at which they became suspect, and keeps
/// whether the source is distrusted.
#[derive(Debug, Default)]
pub(crate) struct SourceTrust {
    /// The number of servers that the source lists.
    listed: usize,
    failing: BTreeMap<Millis, usize>,
    absent: BTreeMap<Millis, usize>,
    distrusted_since: Option<Millis>,
    /// While the source is distrusted: since when few enough servers are suspect for it to be trusted again.
    recovering_since: Option<Millis>,
    /// Whether the source was distrusted when the servers were last evaluated.
    pub was_distrusted: bool,
}

impl SourceTrust {
    /// Adds a report to the counts, or removes it from them if `add` is false.
    pub fn count_report(&mut self, status: SourceStatus, suspect_since: Millis, add: bool) {
        let adjust = |count: &mut usize| match add {
            true => *count += 1,
            false => *count -= 1,
        };
        if status.is_listed() {
            adjust(&mut self.listed);
        }
        let counts = match status {
            SourceStatus::Failing => &mut self.failing,
            SourceStatus::Absent => &mut self.absent,
            _ => return,
        };
        let count = counts.entry(suspect_since).or_default();
        adjust(count);
        if *count == 0 {
            counts.remove(&suspect_since);
        }
    }

    /// The number of servers that the source lists.
    pub fn listed_servers(&self) -> usize {
        self.listed
    }

    /// Whether the servers that became suspect at `since` or later are at least `min_servers`, and more than `ratio`
    /// of all servers that the source lists or has lost.
    fn exceeds_share(&self, since: Millis, ratio: f64, min_servers: usize) -> bool {
        let count_since =
            |counts: &BTreeMap<Millis, usize>| counts.range(since..).map(|entry| entry.1).sum();
        let (failing, absent): (usize, usize) =
            (count_since(&self.failing), count_since(&self.absent));
        let suspect = failing + absent;
        suspect >= min_servers && suspect as f64 > ratio * (self.listed + absent) as f64
    }

    /// Whether the source is distrusted at `now` if no further update arrives.
    pub fn is_distrusted(&self, now: Millis, limits: &Limits) -> bool {
        let since = now.saturating_sub(limits.distrust_window);
        self.distrusted_since.is_some()
            || self.exceeds_share(since, limits.distrust_ratio, limits.distrust_min_servers)
    }

    /// Starts or ends the distrust once all updates with the timestamp `now` are applied.
    pub fn update(&mut self, now: Millis, limits: &Limits) {
        let Some(distrusted_since) = self.distrusted_since else {
            self.distrusted_since = self.is_distrusted(now, limits).then_some(now);
            self.recovering_since = None;
            return;
        };
        let since = distrusted_since.saturating_sub(limits.distrust_window);
        if self.exceeds_share(
            since,
            limits.distrust_ratio / 2.0,
            limits.distrust_min_servers,
        ) {
            self.recovering_since = None;
        } else if self.recovering_since.is_none() {
            self.recovering_since = Some(now);
        }
        let recovered = self
            .recovering_since
            .is_some_and(|recovering_since| now >= recovering_since + limits.trust_recovery_delay);
        if recovered || now >= distrusted_since + limits.max_distrust_time {
            // Servers that were suspect all this time became so before the window, so their reports count again.
            self.distrusted_since = None;
        }
    }

    /// Since when the source is distrusted.
    pub fn distrusted_since(&self) -> Option<Millis> {
        self.distrusted_since
    }
}
