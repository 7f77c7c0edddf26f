//! The reports of all sources on one server, and the effective status derived from them.

use crate::catalogue::SourceId;
use crate::limits::Limits;
use crate::types::{EffectiveStatus, Instance, Millis, SourceReport, SourceStatus, StatusReason};

/// The state that the catalogue keeps for one server.
#[derive(Debug, Default)]
pub(crate) struct ServerRecord {
    /// At most one report per source, sorted by source.
    pub reports: Vec<SourceReport>,
    /// Consecutive probes and `OPEN` lines without a response.
    pub missed_responses: u32,
    /// When the server was first seen, or seen again, if its process may be cold because of that.
    pub observed_start: Option<Millis>,
    /// The decaying count of transitions to suspect, and when it was last updated.
    penalty: (f64, Millis),
    /// Whether a trusted source currently reports the server as failing or absent.
    in_episode: bool,
    /// Whether flap damping keeps the server suspected.
    damped: bool,
    /// Unlisted for longer than [`Limits::absence_timeout`]: the server is gone even if it still answers.
    pub absence_expired: bool,
    pub last_published: Option<PublishedStatus>,
    /// Since when no source lists the server; the key of its entry in `Catalogue::unlisted`.
    pub unlisted_since: Option<Millis>,
}

/// The status that was last published to the engine.
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
        self.reports.iter().find(|report| report.source == source)
    }

    pub fn is_listed(&self) -> bool {
        self.reports.iter().any(|report| report.status.is_listed())
    }

    /// The time of the latest status change among the reports; for an unlisted server, when the last source
    /// stopped listing it.
    pub fn last_listed_at(&self) -> Millis {
        self.reports
            .iter()
            .map(|report| report.since)
            .max()
            .unwrap_or(0)
    }

    /// The report whose instance description is used: that of the lowest-numbered source that lists the server,
    /// otherwise that of the lowest-numbered source.
    pub fn primary_report(&self) -> Option<&SourceReport> {
        let listing_reports = self
            .reports
            .iter()
            .filter(|report| report.status.is_listed());
        listing_reports
            .min_by_key(|report| report.source)
            .or_else(|| self.reports.iter().min_by_key(|report| report.source))
    }

    pub fn instance(&self) -> Option<&Instance> {
        self.primary_report().map(|report| &report.instance)
    }

    /// Whether any source reports a drain or a removal. Both take precedence over the reports of all other sources.
    pub fn is_draining(&self) -> bool {
        self.reports.iter().any(|report| report.status.is_binding())
    }

    /// Derives the effective status and its reason; `is_distrusted` returns whether a source is distrusted.
    pub fn evaluate(
        &self,
        is_distrusted: impl Fn(SourceId) -> bool,
        limits: &Limits,
    ) -> (EffectiveStatus, StatusReason) {
        let unresponsive = self.missed_responses >= limits.max_unanswered;
        if self.is_draining() {
            return match () {
                () if self.is_listed() => (EffectiveStatus::Draining, StatusReason::DrainReported),
                () if unresponsive => (EffectiveStatus::Gone, StatusReason::Unresponsive),
                () if self.absence_expired => (EffectiveStatus::Gone, StatusReason::AbsenceExpired),
                () => (EffectiveStatus::Draining, StatusReason::DrainReported),
            };
        }
        let (mut ready, mut failing, mut absent, mut distrusted) = (false, false, false, false);
        for report in &self.reports {
            match report.status {
                SourceStatus::Ready => ready = true,
                status if status.is_suspect() && is_distrusted(report.source) => distrusted = true,
                SourceStatus::Failing => failing = true,
                _ => absent = true,
            }
        }
        // Absence from one source is no ground for suspicion while another source lists the server.
        let absent = absent && !ready && !failing && !distrusted;
        if unresponsive && (failing || !ready) {
            return (EffectiveStatus::Gone, StatusReason::Unresponsive);
        }
        match () {
            () if absent && self.absence_expired => {
                (EffectiveStatus::Gone, StatusReason::AbsenceExpired)
            }
            () if absent => (EffectiveStatus::Suspected, StatusReason::Unlisted),
            () if failing => (EffectiveStatus::Suspected, StatusReason::ReportedFailing),
            () if self.damped => (EffectiveStatus::Suspected, StatusReason::FlapDamped),
            () if distrusted && !ready => (EffectiveStatus::Ready, StatusReason::SourceDistrusted),
            () => (EffectiveStatus::Ready, StatusReason::AllReady),
        }
    }

    /// Whether the effective status may change through elapsed time or probe results alone.
    pub fn needs_reevaluation(&self) -> bool {
        let is_suspect = |report: &SourceReport| report.status.is_suspect();
        self.damped || self.in_episode || !self.is_listed() || self.reports.iter().any(is_suspect)
    }

    /// The flap penalty decayed to `now`.
    pub fn flap_penalty(&self, now: Millis, limits: &Limits) -> f64 {
        let (penalty, updated_at) = self.penalty;
        let half_lives =
            now.saturating_sub(updated_at) as f64 / limits.flap_half_life.max(1) as f64;
        penalty * 0.5_f64.powf(half_lives)
    }

    /// Updates flap damping once all updates with the timestamp `now` are applied: adds one to the penalty when
    /// trusted sources newly report the server as failing or absent, and starts or ends damping by the thresholds.
    pub fn update_flap_state(
        &mut self,
        now: Millis,
        is_distrusted: impl Fn(SourceId) -> bool,
        limits: &Limits,
    ) {
        let suspect = self
            .reports
            .iter()
            .any(|report| report.status.is_suspect() && !is_distrusted(report.source))
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

    /// Whether the absence timeout applies: the server is unlisted, and each report is either an explicit removal
    /// or comes from a trusted source.
    pub fn is_absence_trusted(&self, is_distrusted: impl Fn(SourceId) -> bool) -> bool {
        !self.absence_expired
            && !self.is_listed()
            && self
                .reports
                .iter()
                .all(|report| report.status == SourceStatus::Left || !is_distrusted(report.source))
    }
}
