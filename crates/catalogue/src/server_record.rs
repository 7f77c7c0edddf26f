//! What is known of one server, and what to believe of it.

use crate::catalogue::SourceId;
use crate::limits::Limits;
use crate::types::{EffectiveStatus, Instance, Millis, SourceReport, SourceStatus, StatusReason};

#[derive(Debug, Default)]
pub(crate) struct ServerRecord {
    pub reports: Vec<SourceReport>,
    /// Probes and lines in a row that it left unanswered.
    pub missed_responses: u32,
    /// When it was first seen, or seen again, where that means that its process may be cold.
    pub observed_start: Option<Millis>,
    /// Times it turned suspect, fading, and when that was last worked out.
    penalty: (f64, Millis),
    /// It is suspect by a source that is believed.
    in_episode: bool,
    damped: bool,
    /// Absent for so long that it is gone, though it may answer.
    pub absence_expired: bool,
    pub last_published: Option<PublishedStatus>,
    /// Since when nobody lists it: the key that `Catalogue::unlisted` holds for it.
    pub unlisted_since: Option<Millis>,
}

/// What the engine was last told.
#[derive(Clone, Debug)]
pub(crate) struct PublishedStatus {
    pub status: EffectiveStatus,
    pub started_at: Option<Millis>,
    pub instance: Instance,
}

impl ServerRecord {
    pub fn new(observed_start: Option<Millis>) -> Self {
        Self {
            observed_start,
            ..Self::default()
        }
    }

    pub fn report_of(&self, source: SourceId) -> Option<&SourceReport> {
        self.reports.iter().find(|said| said.source == source)
    }

    pub fn is_listed(&self) -> bool {
        self.reports.iter().any(|said| said.status.is_listed())
    }

    /// When the last source stopped listing it.
    pub fn last_listed_at(&self) -> Millis {
        self.reports
            .iter()
            .map(|said| said.since)
            .max()
            .unwrap_or(0)
    }

    /// The description that counts: that of the first source that lists it, else of the first.
    pub fn primary_report(&self) -> Option<&SourceReport> {
        let listing = self.reports.iter().filter(|said| said.status.is_listed());
        listing
            .min_by_key(|said| said.source)
            .or_else(|| self.reports.iter().min_by_key(|said| said.source))
    }

    pub fn instance(&self) -> Option<&Instance> {
        self.primary_report().map(|said| &said.instance)
    }

    /// A drain binds, whoever else says otherwise.
    pub fn is_draining(&self) -> bool {
        self.reports.iter().any(|said| said.status.is_binding())
    }

    /// What to believe of it, given which sources are doubted.
    pub fn evaluate(
        &self,
        doubted: impl Fn(SourceId) -> bool,
        limits: &Limits,
    ) -> (EffectiveStatus, StatusReason) {
        let dead = self.missed_responses >= limits.max_unanswered;
        if self.is_draining() {
            return match () {
                () if self.is_listed() => (EffectiveStatus::Draining, StatusReason::DrainReported),
                () if dead => (EffectiveStatus::Gone, StatusReason::Unresponsive),
                () if self.absence_expired => (EffectiveStatus::Gone, StatusReason::AbsenceExpired),
                () => (EffectiveStatus::Draining, StatusReason::DrainReported),
            };
        }
        let (mut ready, mut failing, mut absent, mut excused) = (false, false, false, false);
        for said in &self.reports {
            match said.status {
                SourceStatus::Ready => ready = true,
                heard if heard.is_suspect() && doubted(said.source) => excused = true,
                SourceStatus::Failing => failing = true,
                _ => absent = true,
            }
        }
        // A source that still lists it makes another's silence on it no suspicion.
        let absent = absent && !ready && !failing && !excused;
        if dead && (failing || !ready) {
            return (EffectiveStatus::Gone, StatusReason::Unresponsive);
        }
        match () {
            () if absent && self.absence_expired => {
                (EffectiveStatus::Gone, StatusReason::AbsenceExpired)
            }
            () if absent => (EffectiveStatus::Suspected, StatusReason::Unlisted),
            () if failing => (EffectiveStatus::Suspected, StatusReason::ReportedFailing),
            () if self.damped => (EffectiveStatus::Suspected, StatusReason::FlapDamped),
            () if excused && !ready => (EffectiveStatus::Ready, StatusReason::SourceDistrusted),
            () => (EffectiveStatus::Ready, StatusReason::AllReady),
        }
    }

    /// Whether time alone may change what is believed of it, or probes do.
    pub fn needs_reevaluation(&self) -> bool {
        let excused = |said: &SourceReport| said.status.is_suspect();
        self.damped || self.in_episode || !self.is_listed() || self.reports.iter().any(excused)
    }

    pub fn flap_penalty(&self, now: Millis, limits: &Limits) -> f64 {
        let (penalty, at) = self.penalty;
        let halves = now.saturating_sub(at) as f64 / limits.flap_half_life.max(1) as f64;
        penalty * 0.5_f64.powf(halves)
    }

    /// Closes a moment: counts a turn to suspicion by sources that are believed, and holds a server that
    /// turned too often.
    pub fn update_flap_state(
        &mut self,
        now: Millis,
        doubted: impl Fn(SourceId) -> bool,
        limits: &Limits,
    ) {
        let suspect = self
            .reports
            .iter()
            .any(|said| said.status.is_suspect() && !doubted(said.source))
            && !self.is_draining();
        let penalty = self.flap_penalty(now, limits) + f64::from(suspect && !self.in_episode);
        self.in_episode = suspect;
        self.penalty = (penalty, now);
        if penalty >= limits.flap_suppress_threshold {
            self.damped = true;
        } else if penalty < limits.flap_reuse_threshold {
            self.damped = false;
        }
    }

    /// Whether nobody lists it by words that are believed: then its time runs.
    pub fn is_absence_trusted(&self, doubted: impl Fn(SourceId) -> bool) -> bool {
        !self.absence_expired
            && !self.is_listed()
            && self
                .reports
                .iter()
                .all(|said| said.status == SourceStatus::Left || !doubted(said.source))
    }
}
