//! Whether a source itself is to be doubted: how much of what it lists turned suspect lately.

use std::collections::BTreeMap;

use crate::limits::Limits;
use crate::words::{Heard, Millis};

/// The suspicious words of one source, counted by when they turned so.
#[derive(Debug, Default)]
pub(crate) struct Doubt {
    /// Servers that it lists.
    listed: usize,
    failing: BTreeMap<Millis, usize>,
    absent: BTreeMap<Millis, usize>,
    since: Option<Millis>,
    calm_since: Option<Millis>,
    /// What was made of it when servers were last judged.
    pub judged: bool,
}

impl Doubt {
    /// Counts a word, or with `add` false takes it out again.
    pub fn count(&mut self, heard: Heard, bad_since: Millis, add: bool) {
        let by = |count: &mut usize| match add {
            true => *count += 1,
            false => *count -= 1,
        };
        if heard.listed() {
            by(&mut self.listed);
        }
        let counts = match heard {
            Heard::Failing => &mut self.failing,
            Heard::Absent => &mut self.absent,
            _ => return,
        };
        let count = counts.entry(bad_since).or_default();
        by(count);
        if *count == 0 {
            counts.remove(&bad_since);
        }
    }

    /// How many servers it lists.
    pub fn listed(&self) -> usize {
        self.listed
    }

    fn mass(&self, from: Millis, share: f64, least: usize) -> bool {
        let sum = |counts: &BTreeMap<Millis, usize>| counts.range(from..).map(|c| c.1).sum();
        let (failing, absent): (usize, usize) = (sum(&self.failing), sum(&self.absent));
        let bad = failing + absent;
        bad >= least && bad as f64 > share * (self.listed + absent) as f64
    }

    /// Whether it is doubted at that time, should nothing more be told.
    pub fn now(&self, now: Millis, limits: &Limits) -> bool {
        let from = now.saturating_sub(limits.doubt_window);
        self.since.is_some() || self.mass(from, limits.doubt_share, limits.doubt_least)
    }

    /// Closes a moment: begins or ends the doubt by what was told until then.
    pub fn settle(&mut self, now: Millis, limits: &Limits) {
        let Some(since) = self.since else {
            self.since = self.now(now, limits).then_some(now);
            self.calm_since = None;
            return;
        };
        let from = since.saturating_sub(limits.doubt_window);
        if self.mass(from, limits.doubt_share / 2.0, limits.doubt_least) {
            self.calm_since = None;
        } else if self.calm_since.is_none() {
            self.calm_since = Some(now);
        }
        let calm = self
            .calm_since
            .is_some_and(|at| now >= at + limits.trust_after);
        if calm || now >= since + limits.doubt_most {
            // What has been suspect for all that time is older than the window, and is believed now.
            self.since = None;
        }
    }

    /// Since when it is doubted.
    pub fn since(&self) -> Option<Millis> {
        self.since
    }
}
