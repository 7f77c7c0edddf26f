//! The catalogue: applies source updates and returns status changes.

use std::collections::{BTreeMap, BTreeSet};

use crate::limits::Limits;
use crate::server_record::{PublishedStatus, ServerRecord};
use crate::trust::SourceTrust;
use crate::types::{
    EffectiveStatus, Instance, Millis, ReportedStatus, Row, ServerView, SourceReport, SourceStatus,
    SourceUpdate, StatusChange, StatusReason,
};

/// The number of a source. Where descriptions of a server differ, that of the lower number is used.
pub type SourceId = u8;

/// Counts of refused and evicted servers, ignored rows and distrusted sources since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// New servers that were refused because the catalogue was full.
    pub refused: u64,
    /// Servers that were evicted to make room for others.
    pub evicted: u64,
    /// Rows without an address for a server that was not in the catalogue.
    pub unaddressed_rows: u64,
    /// How often a source became distrusted.
    pub distrusted_sources: u64,
}

/// A view of the state of one source.
#[derive(Clone, Debug)]
pub struct SourceView<'a> {
    pub id: SourceId,
    pub name: &'a str,
    pub listed_servers: usize,
    /// When the source last answered.
    pub last_answer_at: Option<Millis>,
    /// Since when the source has not answered.
    pub unavailable_since: Option<Millis>,
    pub distrusted_since: Option<Millis>,
}

#[derive(Debug, Default)]
struct Source {
    name: Box<str>,
    /// Whether the source was added and has not been retired.
    live: bool,
    /// Retired; its reports stay until every live source has delivered a complete snapshot.
    retiring: bool,
    /// Whether the source has delivered a complete snapshot.
    has_snapshot: bool,
    last_answer_at: Option<Millis>,
    unavailable_since: Option<Millis>,
    /// The number of servers for which the source has a report.
    report_count: usize,
    /// The number of the source's latest snapshot.
    snapshot_number: u64,
    /// When that snapshot started, while parts of it are still outstanding.
    snapshot_started_at: Option<Millis>,
    trust: SourceTrust,
}

/// All servers that the sources list, with the status derived for each.
#[derive(Debug)]
pub struct Catalogue {
    limits: Limits,
    sources: Vec<Source>,
    servers: BTreeMap<Box<str>, ServerRecord>,
    /// Servers that no source lists, ordered by when they were last listed.
    unlisted: BTreeSet<(Millis, Box<str>)>,
    /// Servers whose status may change through elapsed time alone, or is not ready.
    pending: BTreeSet<Box<str>>,
    /// Servers to evaluate before the next changes are returned.
    dirty: BTreeSet<Box<str>>,
    /// Servers whose flap damping is updated once all updates of the current timestamp are applied.
    touched: BTreeSet<Box<str>>,
    /// Changes for removed servers that have not been returned yet.
    evicted: Vec<StatusChange>,
    now: Millis,
    last_tick_at: Millis,
    /// How many servers may become gone through the absence timeout, in thousandths.
    gone_budget: u64,
    counts: Counts,
}

impl Catalogue {
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            sources: Vec::new(),
            servers: BTreeMap::new(),
            unlisted: BTreeSet::new(),
            pending: BTreeSet::new(),
            dirty: BTreeSet::new(),
            touched: BTreeSet::new(),
            evicted: Vec::new(),
            now: 0,
            last_tick_at: 0,
            gone_budget: 0,
            counts: Counts::default(),
        }
    }

    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Adds a source. Returns none if [`Limits::max_sources`] is reached.
    pub fn add_source(&mut self, name: &str) -> Option<SourceId> {
        let is_free =
            |source: &Source| !source.live && !source.retiring && source.report_count == 0;
        let index = self.sources.iter().position(is_free);
        let index = index.unwrap_or(self.sources.len());
        if index >= self.limits.max_sources.min(usize::from(SourceId::MAX)) {
            return None;
        }
        let source = Source {
            name: name.into(),
            live: true,
            ..Source::default()
        };
        match self.sources.get_mut(index) {
            Some(slot) => *slot = source,
            None => self.sources.push(source),
        }
        Some(index as SourceId)
    }

    /// Retires a source. Its reports stay in effect until every live source has delivered a complete snapshot, so
    /// that a change of sources never leaves the catalogue without a server list. After that, servers that no
    /// other source lists are absent.
    pub fn retire_source(&mut self, now: Millis, source: SourceId) -> Vec<StatusChange> {
        self.advance_clock(now);
        if let Some(source) = self.sources.get_mut(usize::from(source)) {
            source.retiring |= std::mem::take(&mut source.live);
            source.snapshot_started_at = None;
        }
        self.release_retired_sources();
        self.collect_changes()
    }

    /// Applies an update from a source and returns the resulting changes.
    pub fn apply_update(
        &mut self,
        now: Millis,
        source: SourceId,
        update: SourceUpdate,
    ) -> Vec<StatusChange> {
        self.advance_clock(now);
        let now = self.now;
        let index = usize::from(source);
        let Some(source_state) = self.sources.get_mut(index).filter(|source| source.live) else {
            return Vec::new();
        };
        if let SourceUpdate::Unavailable = update {
            source_state.snapshot_started_at = None;
            source_state.unavailable_since.get_or_insert(now);
            return self.collect_changes();
        }
        source_state.last_answer_at = Some(now);
        source_state.unavailable_since = None;
        match update {
            SourceUpdate::Snapshot(rows) => self.apply_snapshot_part(source, true, true, rows),
            SourceUpdate::SnapshotPart { first, last, rows } => {
                self.apply_snapshot_part(source, first, last, rows)
            }
            SourceUpdate::Delta(rows) => {
                for row in rows {
                    self.apply_row(source, row);
                }
            }
            SourceUpdate::StaleSnapshot(rows) => {
                // A drain takes effect however old the list is; all other rows are ignored.
                for row in rows
                    .into_iter()
                    .filter(|row| row.status == ReportedStatus::Draining)
                {
                    self.apply_row(source, row);
                }
            }
            SourceUpdate::Unchanged | SourceUpdate::Unavailable => {}
        }
        self.release_retired_sources();
        self.collect_changes()
    }

    /// Records whether a server responded to a probe, an `OPEN` line or an attempt.
    pub fn record_liveness(&mut self, now: Millis, uid: &str, answered: bool) -> Vec<StatusChange> {
        let Some(record) = self.servers.get_mut(uid) else {
            return Vec::new();
        };
        let missed_responses = match answered {
            true => 0,
            false => record.missed_responses.saturating_add(1),
        };
        if std::mem::replace(&mut record.missed_responses, missed_responses) == missed_responses
            || !record.needs_reevaluation()
        {
            return Vec::new();
        }
        self.advance_clock(now);
        self.mark_changed(uid.into());
        self.collect_changes()
    }

    /// When [`Catalogue::tick`] is due next; none if no status depends on elapsed time.
    pub fn next_tick(&self) -> Option<Millis> {
        let work_pending = [&self.pending, &self.touched, &self.dirty];
        let work_pending = work_pending.iter().any(|set| !set.is_empty());
        let any_distrusted = self
            .sources
            .iter()
            .any(|source| source.trust.was_distrusted);
        (work_pending || any_distrusted).then_some(self.last_tick_at + self.limits.tick_interval)
    }

    /// Evaluates again everything that depends on elapsed time.
    pub fn tick(&mut self, now: Millis) -> Vec<StatusChange> {
        self.advance_clock(now);
        let elapsed = self.now.saturating_sub(self.last_tick_at);
        self.last_tick_at = self.now;
        // The status changes by elapsed time alone when flap damping ends or a source is trusted again.
        self.touched.extend(self.pending.iter().cloned());
        self.close_timestamp();
        self.expire_unlisted_servers(elapsed);
        self.dirty.extend(self.pending.iter().cloned());
        self.collect_changes()
    }

    /// Returns all servers, ordered by uid.
    pub fn servers(&self) -> impl Iterator<Item = ServerView<'_>> {
        self.servers.iter().filter_map(|(uid, record)| {
            let (status, reason) = self.evaluate_server(record);
            Some(ServerView {
                uid,
                status,
                reason,
                instance: record.instance()?,
                reports: &record.reports,
                flap_penalty: record.flap_penalty(self.now, &self.limits),
            })
        })
    }

    /// Returns the sources that have not been retired.
    pub fn sources(&self) -> impl Iterator<Item = SourceView<'_>> {
        let live = self
            .sources
            .iter()
            .enumerate()
            .filter(|(_, source)| source.live);
        live.map(|(id, source)| SourceView {
            id: id as SourceId,
            name: &source.name,
            listed_servers: source.trust.listed_servers(),
            last_answer_at: source.last_answer_at,
            unavailable_since: source.unavailable_since,
            distrusted_since: source.trust.distrusted_since(),
        })
    }

    pub fn contains(&self, uid: &str) -> bool {
        self.servers.contains_key(uid)
    }

    pub fn len(&self) -> usize {
        self.servers.len()
    }

    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    // Applying updates.

    /// Applies a complete snapshot, or one part of it.
    fn apply_snapshot_part(&mut self, source: SourceId, first: bool, last: bool, rows: Vec<Row>) {
        let now = self.now;
        let source_state = &mut self.sources[usize::from(source)];
        if first {
            source_state.snapshot_number += 1;
            source_state.snapshot_started_at = Some(now);
        } else if source_state.snapshot_started_at.is_none() {
            // The snapshot was aborted after its earlier parts, so the remaining parts are ignored.
            return;
        }
        for row in rows {
            self.apply_row(source, row);
        }
        if last {
            self.mark_absent_servers(source);
            let source_state = &mut self.sources[usize::from(source)];
            source_state.snapshot_started_at = None;
            source_state.has_snapshot = true;
        }
    }

    fn apply_row(&mut self, source: SourceId, row: Row) {
        let status = match row.status {
            ReportedStatus::Ready => SourceStatus::Ready,
            ReportedStatus::Failing => SourceStatus::Failing,
            ReportedStatus::Draining => SourceStatus::Draining,
            ReportedStatus::Left => SourceStatus::Left,
        };
        if !self.servers.contains_key(&row.uid) {
            if status == SourceStatus::Left || row.instance.is_none() {
                self.counts.unaddressed_rows += u64::from(status != SourceStatus::Left);
                return;
            }
            if !self.ensure_capacity() {
                self.counts.refused += 1;
                return;
            }
        }
        self.record_report(source, &row.uid, status, row.instance);
    }

    /// Makes room for one more server, if necessary by evicting an unlisted one. Returns whether there is room.
    fn ensure_capacity(&mut self) -> bool {
        if self.servers.len() < self.limits.max_servers {
            return true;
        }
        let Some((_, uid)) = self.unlisted.first().cloned() else {
            return false;
        };
        self.counts.evicted += 1;
        self.remove_server(&uid, StatusReason::Evicted);
        true
    }

    /// Removes a server, and queues a change to gone unless that was published before.
    fn remove_server(&mut self, uid: &str, reason: StatusReason) {
        let Some(record) = self.servers.remove(uid) else {
            return;
        };
        for report in &record.reports {
            self.uncount_report(report);
            self.sources[usize::from(report.source)].report_count -= 1;
        }
        if let Some(since) = record.unlisted_since {
            self.unlisted.remove(&(since, uid.into()));
        }
        for set in [&mut self.pending, &mut self.dirty, &mut self.touched] {
            set.remove(uid);
        }
        let previously_published = record
            .last_published
            .as_ref()
            .filter(|published| published.status != EffectiveStatus::Gone);
        if let (Some(_), Some(instance)) = (previously_published, record.instance()) {
            self.evicted.push(StatusChange {
                uid: uid.into(),
                status: EffectiveStatus::Gone,
                reason,
                instance: instance.clone(),
                started_at: None,
            });
        }
    }

    fn uncount_report(&mut self, report: &SourceReport) {
        let source = &mut self.sources[usize::from(report.source)];
        source
            .trust
            .count_report(report.status, report.suspect_since, false);
    }

    /// Records a source's report on a server that is in the catalogue or for which there is room.
    fn record_report(
        &mut self,
        source: SourceId,
        uid: &str,
        status: SourceStatus,
        instance: Option<Instance>,
    ) {
        let now = self.now;
        let snapshot_number = self.sources[usize::from(source)].snapshot_number;
        // Servers in the first snapshot of a source may have been running for a long time.
        let has_snapshot = self.sources[usize::from(source)].has_snapshot;
        let is_new = !self.servers.contains_key(uid);
        if is_new {
            let record = ServerRecord::new(has_snapshot.then_some(now));
            self.servers.insert(uid.into(), record);
        }
        let Some(record) = self.servers.get_mut(uid) else {
            return;
        };
        let position = record
            .reports
            .iter()
            .position(|report| report.source == source);
        let (previous_key, changed) = match position {
            Some(position) => {
                let report = &mut record.reports[position];
                report.snapshot_number = snapshot_number;
                let previous_key = report.trust_key();
                let mut changed = report.status != status;
                if let Some(instance) = instance.filter(|instance| *instance != report.instance) {
                    let address_changed = instance.endpoint != report.instance.endpoint;
                    let reregistered = instance.registration_index
                        != report.instance.registration_index
                        && !report.status.is_listed();
                    if address_changed
                        || reregistered
                        || instance.registration_index > report.instance.registration_index
                    {
                        // A new process runs under the same uid.
                        record.observed_start = Some(now);
                        record.missed_responses = 0;
                    }
                    report.instance = instance;
                    changed = true;
                }
                if report.status != status {
                    report.since = now;
                    if status.is_suspect() && !report.status.is_suspect() {
                        report.suspect_since = now;
                    }
                    report.status = status;
                }
                (Some(previous_key), changed)
            }
            None => {
                let Some(instance) = instance else { return };
                record.reports.push(SourceReport {
                    source,
                    status,
                    since: now,
                    suspect_since: now,
                    instance,
                    snapshot_number,
                });
                record.reports.sort_by_key(|report| report.source);
                (None, true)
            }
        };
        let current_key = record
            .report_of(source)
            .expect("report recorded above")
            .trust_key();
        if current_key.0.is_listed() {
            record.absence_expired = false;
        }
        let source_state = &mut self.sources[usize::from(source)];
        match previous_key {
            Some((status, suspect_since)) => {
                source_state
                    .trust
                    .count_report(status, suspect_since, false)
            }
            None => source_state.report_count += 1,
        }
        source_state
            .trust
            .count_report(current_key.0, current_key.1, true);
        if changed {
            self.mark_changed(uid.into());
        }
    }

    /// Marks a server for evaluation and updates the index of unlisted servers.
    fn mark_changed(&mut self, uid: Box<str>) {
        let Some(record) = self.servers.get_mut(&uid) else {
            return;
        };
        let since = (!record.is_listed()).then(|| record.last_listed_at());
        if record.unlisted_since != since {
            if let Some(old) = record.unlisted_since {
                self.unlisted.remove(&(old, uid.clone()));
            }
            if let Some(new) = since {
                self.unlisted.insert((new, uid.clone()));
            }
            record.unlisted_since = since;
        }
        self.dirty.insert(uid.clone());
        self.touched.insert(uid);
    }

    /// Records as absent, or as left after a drain, the servers that the latest snapshot of a source omits.
    fn mark_absent_servers(&mut self, source: SourceId) {
        let snapshot_number = self.sources[usize::from(source)].snapshot_number;
        let unlisted_status = |record: &ServerRecord| {
            let report = record.report_of(source)?;
            (report.snapshot_number != snapshot_number && report.status.is_listed())
                .then_some(report.status)
        };
        let unlisted: Vec<(Box<str>, SourceStatus)> = self
            .servers
            .iter()
            .filter_map(|(uid, record)| Some((uid.clone(), unlisted_status(record)?)))
            .collect();
        for (uid, previous) in unlisted {
            // A drained server is expected to leave the list.
            let status = match previous {
                SourceStatus::Draining => SourceStatus::Left,
                _ => SourceStatus::Absent,
            };
            self.record_report(source, &uid, status, None);
        }
    }

    /// Drops the reports of retired sources once every live source has delivered a complete snapshot. A server
    /// without another source's report becomes absent or left.
    fn release_retired_sources(&mut self) {
        if !self.sources.iter().any(|source| source.retiring) {
            return;
        }
        let mut live = self.sources.iter().filter(|source| source.live);
        if !live.all(|source| source.has_snapshot) {
            return;
        }
        for index in 0..self.sources.len() {
            if !std::mem::take(&mut self.sources[index].retiring) {
                continue;
            }
            let source = index as SourceId;
            let reported_uids: Vec<Box<str>> = self
                .servers
                .iter()
                .filter(|(_, record)| record.report_of(source).is_some())
                .map(|(uid, _)| uid.clone())
                .collect();
            for uid in reported_uids {
                let record = self.servers.get_mut(&uid).expect("uid comes from the map");
                let is_other = |report: &SourceReport| report.source != source;
                if record.reports.iter().any(is_other) {
                    let position = record.reports.iter().position(|report| !is_other(report));
                    let report = record
                        .reports
                        .remove(position.expect("the source has a report on this server"));
                    self.uncount_report(&report);
                    self.sources[usize::from(source)].report_count -= 1;
                    self.mark_changed(uid);
                } else {
                    let status = match record.report_of(source).map(|report| report.status) {
                        Some(status) if status.is_binding() => SourceStatus::Left,
                        _ => SourceStatus::Absent,
                    };
                    self.record_report(source, &uid, status, None);
                }
            }
        }
    }

    // Elapsed time.

    /// Sets the current time, after closing the previous timestamp. An earlier time is ignored.
    fn advance_clock(&mut self, now: Millis) {
        if now > self.now {
            self.close_timestamp();
            self.now = now;
        }
    }

    /// Updates the trust in all sources, and flap damping for the servers touched since the last call, once all
    /// updates of the current timestamp are applied.
    fn close_timestamp(&mut self) {
        let now = self.now;
        for source in &mut self.sources {
            let previously_distrusted_since = source.trust.distrusted_since();
            source.trust.update(now, &self.limits);
            self.counts.distrusted_sources += u64::from(
                previously_distrusted_since.is_none() && source.trust.distrusted_since().is_some(),
            );
        }
        self.reevaluate_source_trust();
        for uid in std::mem::take(&mut self.touched) {
            if let Some(record) = self.servers.get_mut(&uid) {
                let sources = &self.sources;
                let is_distrusted = |id: SourceId| sources[usize::from(id)].trust.was_distrusted;
                record.update_flap_state(now, is_distrusted, &self.limits);
            }
        }
    }

    /// Marks for evaluation all servers that a source reports as failing or absent if that source has just become
    /// distrusted or trusted.
    fn reevaluate_source_trust(&mut self) {
        let mut changed_sources = Vec::new();
        for (index, source) in self.sources.iter_mut().enumerate() {
            let is_in_use = source.live || source.retiring;
            let distrusted = is_in_use && source.trust.is_distrusted(self.now, &self.limits);
            if source.trust.was_distrusted != distrusted {
                source.trust.was_distrusted = distrusted;
                changed_sources.push(index as SourceId);
            }
        }
        if changed_sources.is_empty() {
            return;
        }
        for (uid, record) in &self.servers {
            let is_affected = |report: &SourceReport| {
                report.status.is_suspect() && changed_sources.contains(&report.source)
            };
            if record.reports.iter().any(is_affected) {
                self.dirty.insert(uid.clone());
                self.touched.insert(uid.clone());
            }
        }
    }

    /// Expires servers that have been unlisted for the absence timeout, at a bounded rate, and removes expired
    /// ones that have been unlisted for twice that time.
    fn expire_unlisted_servers(&mut self, elapsed: Millis) {
        let limits = &self.limits;
        let gone_per_s = (limits.max_gone_ratio_per_s * self.servers.len() as f64).max(1.0);
        let max_budget = (gone_per_s * 1000.0) as u64;
        self.gone_budget =
            (self.gone_budget + (gone_per_s * elapsed as f64) as u64).min(max_budget.max(1000));
        let expiry_cutoff = self.now.saturating_sub(limits.absence_timeout);
        let mut expired = Vec::new();
        let mut to_remove = Vec::new();
        for (since, uid) in self
            .unlisted
            .iter()
            .take_while(|(since, _)| *since <= expiry_cutoff)
        {
            let record = &self.servers[uid];
            let is_distrusted = |id: SourceId| self.sources[usize::from(id)].trust.was_distrusted;
            let is_retention_over = since.saturating_add(2 * limits.absence_timeout) <= self.now;
            let published = record.last_published.as_ref();
            let is_gone =
                published.is_some_and(|published| published.status == EffectiveStatus::Gone);
            if is_gone && is_retention_over && record.absence_expired {
                to_remove.push(uid.clone());
            } else if record.is_absence_trusted(is_distrusted) {
                // The budget limits connection moves. After a drain, or once the server was published as gone, its
                // connections have been moved already.
                if !record.is_draining() && !is_gone {
                    if self.gone_budget < 1000 {
                        continue;
                    }
                    self.gone_budget -= 1000;
                }
                expired.push(uid.clone());
            }
        }
        for uid in expired {
            if let Some(record) = self.servers.get_mut(&uid) {
                record.absence_expired = true;
                self.dirty.insert(uid);
            }
        }
        for uid in to_remove {
            self.remove_server(&uid, StatusReason::AbsenceExpired);
        }
    }

    // Publishing changes.

    fn evaluate_server(&self, record: &ServerRecord) -> (EffectiveStatus, StatusReason) {
        let is_distrusted = |id: SourceId| self.sources[usize::from(id)].trust.was_distrusted;
        record.evaluate(is_distrusted, &self.limits)
    }

    /// Returns the changes since the last call.
    fn collect_changes(&mut self) -> Vec<StatusChange> {
        self.reevaluate_source_trust();
        let mut changes = std::mem::take(&mut self.evicted);
        // An incomplete snapshot may look like the loss of the missing servers, so only drains are published until
        // it is complete, or until a tick interval after it started.
        let earliest_start = self.now.saturating_sub(self.limits.tick_interval);
        let is_recent = |source: &Source| {
            source
                .snapshot_started_at
                .is_some_and(|at| at >= earliest_start)
        };
        let snapshot_incomplete = self.sources.iter().any(is_recent);
        let mut deferred = BTreeSet::new();
        for uid in std::mem::take(&mut self.dirty) {
            let Some(record) = self.servers.get(&uid) else {
                continue;
            };
            if snapshot_incomplete && !record.is_draining() {
                deferred.insert(uid);
                continue;
            }
            let (status, reason) = self.evaluate_server(record);
            let needs_reevaluation = record.needs_reevaluation();
            let record = self.servers.get_mut(&uid).expect("looked up above");
            let previous_status = record
                .last_published
                .as_ref()
                .map(|published| published.status);
            if previous_status == Some(EffectiveStatus::Gone) && status != EffectiveStatus::Gone {
                // The server was gone and is back: its process may have been restarted.
                record.observed_start = Some(self.now);
                record.missed_responses = 0;
            }
            let Some(report) = record.primary_report() else {
                continue;
            };
            let observed_start = record.observed_start;
            let started_at = report.instance.started_at.max(observed_start);
            let is_unchanged = |published: &PublishedStatus| {
                published.status == status
                    && published.started_at == started_at
                    && published.instance == report.instance
            };
            let is_unchanged = record.last_published.as_ref().is_some_and(is_unchanged);
            let instance = report.instance.clone();
            match needs_reevaluation || status != EffectiveStatus::Ready {
                true => self.pending.insert(uid.clone()),
                false => self.pending.remove(&uid),
            };
            if is_unchanged {
                continue;
            }
            record.last_published = Some(PublishedStatus {
                status,
                started_at,
                instance: instance.clone(),
            });
            changes.push(StatusChange {
                uid,
                status,
                reason,
                instance,
                started_at,
            });
        }
        self.dirty = deferred;
        changes
    }
}

impl SourceReport {
    /// The status and the time under which [`SourceTrust`] counts this report.
    fn trust_key(&self) -> (SourceStatus, Millis) {
        (self.status, self.suspect_since)
    }
}
