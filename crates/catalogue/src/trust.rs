//! Whether a source itself is to be doubted: how much of what it lists turned suspect lately.

use std::collections::BTreeMap;

use crate::limits::Limits;
use crate::types::{Millis, SourceStatus};

/// The suspicious words of one source, counted by when they turned so.
#[derive(Debug, Default)]
pub(crate) struct SourceTrust {
    /// Servers that it lists.
    listed: usize,
    failing: BTreeMap<Millis, usize>,
    absent: BTreeMap<Millis, usize>,
    since: Option<Millis>,
    calm_since: Option<Millis>,
    /// What was made of it when servers were last judged.
    pub was_distrusted: bool,
}

impl SourceTrust {
    /// Counts a word, or with `add` false takes it out again.
    pub fn count_report(&mut self, heard: SourceStatus, bad_since: Millis, add: bool) {
        let by = |count: &mut usize| match add {
            true => *count += 1,
            false => *count -= 1,
        };
        if heard.is_listed() {
            by(&mut self.listed);
        }
        let counts = match heard {
            SourceStatus::Failing => &mut self.failing,
            SourceStatus::Absent => &mut self.absent,
            _ => return,
        };
        let count = counts.entry(bad_since).or_default();
        by(count);
        if *count == 0 {
            counts.remove(&bad_since);
        }
    }

    /// How many servers it lists.
    pub fn listed_servers(&self) -> usize {
        self.listed
    }

    fn mass(&self, from: Millis, share: f64, least: usize) -> bool {
        let sum = |counts: &BTreeMap<Millis, usize>| counts.range(from..).map(|c| c.1).sum();
        let (failing, absent): (usize, usize) = (sum(&self.failing), sum(&self.absent));
        let bad = failing + absent;
        bad >= least && bad as f64 > share * (self.listed + absent) as f64
    }

    /// Whether it is doubted at that time, should nothing more be told.
    pub fn is_distrusted(&self, now: Millis, limits: &Limits) -> bool {
        let from = now.saturating_sub(limits.distrust_window);
        self.since.is_some() || self.mass(from, limits.distrust_ratio, limits.distrust_min_servers)
    }

    /// Closes a moment: begins or ends the doubt by what was told until then.
    pub fn update(&mut self, now: Millis, limits: &Limits) {
        let Some(since) = self.since else {
            self.since = self.is_distrusted(now, limits).then_some(now);
            self.calm_since = None;
            return;
        };
        let from = since.saturating_sub(limits.distrust_window);
        if self.mass(
            from,
            limits.distrust_ratio / 2.0,
            limits.distrust_min_servers,
        ) {
            self.calm_since = None;
        } else if self.calm_since.is_none() {
            self.calm_since = Some(now);
        }
        let calm = self
            .calm_since
            .is_some_and(|at| now >= at + limits.trust_recovery_delay);
        if calm || now >= since + limits.max_distrust_time {
            // What has been suspect for all that time is older than the window, and is believed now.
            self.since = None;
        }
    }

    /// Since when it is doubted.
    pub fn distrusted_since(&self) -> Option<Millis> {
        self.since
    }
}
