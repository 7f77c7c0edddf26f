//! The catalogue itself: tellings in, facts out.

use std::collections::{BTreeMap, BTreeSet};

use crate::limits::Limits;
use crate::server_record::{PublishedStatus, ServerRecord};
use crate::trust::SourceTrust;
use crate::types::{
    EffectiveStatus, Instance, Millis, ReportedStatus, Row, ServerView, SourceReport, SourceStatus,
    SourceUpdate, StatusChange, StatusReason,
};

/// A source's number; lower ones go before higher ones where descriptions differ.
pub type SourceId = u8;

/// What was passed over or given up, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// New servers for which there was no room.
    pub refused: u64,
    /// Servers forgotten to make room.
    pub evicted: u64,
    /// Rows without an address of a server that was not known.
    pub unaddressed_rows: u64,
    /// Times a source came to be doubted.
    pub distrusted_sources: u64,
}

/// A source as it stands.
#[derive(Clone, Debug)]
pub struct SourceView<'a> {
    pub id: SourceId,
    pub name: &'a str,
    pub listed_servers: usize,
    /// When it last answered, and since when it has not.
    pub last_answer_at: Option<Millis>,
    pub unavailable_since: Option<Millis>,
    pub distrusted_since: Option<Millis>,
}

#[derive(Debug, Default)]
struct Source {
    name: Box<str>,
    live: bool,
    /// Taken away; its words stay until all others have spoken once.
    retiring: bool,
    told: bool,
    answered: Option<Millis>,
    lost_since: Option<Millis>,
    /// Servers on which it has a word.
    voices: usize,
    /// The number of its last whole list, and since when parts of that are being told.
    mark: u64,
    reading: Option<Millis>,
    doubt: SourceTrust,
}

#[derive(Debug)]
pub struct Catalogue {
    limits: Limits,
    sources: Vec<Source>,
    servers: BTreeMap<Box<str>, ServerRecord>,
    /// Servers that nobody lists, by when they were last listed.
    unlisted: BTreeSet<(Millis, Box<str>)>,
    /// Servers whose belief time may change.
    pending: BTreeSet<Box<str>>,
    /// Servers to judge before the next facts go out, and to settle when the moment closes.
    dirty: BTreeSet<Box<str>>,
    touched: BTreeSet<Box<str>>,
    evicted: Vec<StatusChange>,
    now: Millis,
    looked_at: Millis,
    /// Servers that may turn gone by long absence, in thousandths.
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
            looked_at: 0,
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

    /// Adds a source; none if there are too many.
    pub fn add_source(&mut self, name: &str) -> Option<SourceId> {
        let free = |source: &Source| !source.live && !source.retiring && source.voices == 0;
        let at = self.sources.iter().position(free);
        let at = at.unwrap_or(self.sources.len());
        if at >= self.limits.max_sources.min(usize::from(SourceId::MAX)) {
            return None;
        }
        let source = Source {
            name: name.into(),
            live: true,
            ..Source::default()
        };
        match self.sources.get_mut(at) {
            Some(place) => *place = source,
            None => self.sources.push(source),
        }
        Some(at as SourceId)
    }

    /// Takes a source away. Its words stand until every other has spoken once, so that a change of
    /// sources leaves no moment without a list; then servers that no other lists are absent.
    pub fn retire_source(&mut self, now: Millis, source: SourceId) -> Vec<StatusChange> {
        self.advance(now);
        if let Some(source) = self.sources.get_mut(usize::from(source)) {
            source.retiring |= std::mem::take(&mut source.live);
            source.reading = None;
        }
        self.release();
        self.facts()
    }

    /// Takes what a source says, and returns what changes by it.
    pub fn apply_update(
        &mut self,
        now: Millis,
        source: SourceId,
        telling: SourceUpdate,
    ) -> Vec<StatusChange> {
        self.advance(now);
        let now = self.now;
        let at = usize::from(source);
        let Some(teller) = self.sources.get_mut(at).filter(|source| source.live) else {
            return Vec::new();
        };
        if let SourceUpdate::Unavailable = telling {
            teller.reading = None;
            teller.lost_since.get_or_insert(now);
            return self.facts();
        }
        teller.answered = Some(now);
        teller.lost_since = None;
        match telling {
            SourceUpdate::Snapshot(rows) => self.whole(source, true, true, rows),
            SourceUpdate::SnapshotPart { first, last, rows } => {
                self.whole(source, first, last, rows)
            }
            SourceUpdate::Delta(rows) => {
                for row in rows {
                    self.row(source, row);
                }
            }
            SourceUpdate::StaleSnapshot(rows) => {
                // A drain is a drain, however old the word; nothing else is believed.
                for row in rows
                    .into_iter()
                    .filter(|row| row.status == ReportedStatus::Draining)
                {
                    self.row(source, row);
                }
            }
            SourceUpdate::Unchanged | SourceUpdate::Unavailable => {}
        }
        self.release();
        self.facts()
    }

    /// A server answered a probe, or brought something back for a line or an attempt; or it did not.
    pub fn record_liveness(&mut self, now: Millis, uid: &str, answered: bool) -> Vec<StatusChange> {
        let Some(record) = self.servers.get_mut(uid) else {
            return Vec::new();
        };
        let misses = match answered {
            true => 0,
            false => record.missed_responses.saturating_add(1),
        };
        if std::mem::replace(&mut record.missed_responses, misses) == misses
            || !record.needs_reevaluation()
        {
            return Vec::new();
        }
        self.advance(now);
        self.touch(uid.into());
        self.facts()
    }

    /// When time alone may change something next.
    pub fn next_tick(&self) -> Option<Millis> {
        let busy = [&self.pending, &self.touched, &self.dirty];
        let busy = busy.iter().any(|set| !set.is_empty());
        let doubted = self
            .sources
            .iter()
            .any(|source| source.doubt.was_distrusted);
        (busy || doubted).then_some(self.looked_at + self.limits.tick_interval)
    }

    /// Looks again at all that depends on time.
    pub fn tick(&mut self, now: Millis) -> Vec<StatusChange> {
        self.advance(now);
        let span = self.now.saturating_sub(self.looked_at);
        self.looked_at = self.now;
        // Those that were held, or whose source is believed again, change by time alone.
        self.touched.extend(self.pending.iter().cloned());
        self.settle();
        self.ripen(span);
        self.dirty.extend(self.pending.iter().cloned());
        self.facts()
    }

    /// Every server, in the order of identities.
    pub fn servers(&self) -> impl Iterator<Item = ServerView<'_>> {
        self.servers.iter().filter_map(|(uid, record)| {
            let (belief, why) = self.judge(record);
            Some(ServerView {
                uid,
                status: belief,
                reason: why,
                instance: record.instance()?,
                reports: &record.reports,
                flap_penalty: record.flap_penalty(self.now, &self.limits),
            })
        })
    }

    pub fn sources(&self) -> impl Iterator<Item = SourceView<'_>> {
        let live = self.sources.iter().enumerate().filter(|(_, s)| s.live);
        live.map(|(id, source)| SourceView {
            id: id as SourceId,
            name: &source.name,
            listed_servers: source.doubt.listed_servers(),
            last_answer_at: source.answered,
            unavailable_since: source.lost_since,
            distrusted_since: source.doubt.distrusted_since(),
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

    // Words.

    /// Takes a whole list, or a part of one.
    fn whole(&mut self, source: SourceId, first: bool, last: bool, rows: Vec<Row>) {
        let now = self.now;
        let teller = &mut self.sources[usize::from(source)];
        if first {
            teller.mark += 1;
            teller.reading = Some(now);
        } else if teller.reading.is_none() {
            // Its beginning was given up.
            return;
        }
        for row in rows {
            self.row(source, row);
        }
        if last {
            self.leave_out(source);
            let teller = &mut self.sources[usize::from(source)];
            teller.reading = None;
            teller.told = true;
        }
    }

    fn row(&mut self, source: SourceId, row: Row) {
        let heard = match row.status {
            ReportedStatus::Ready => SourceStatus::Ready,
            ReportedStatus::Failing => SourceStatus::Failing,
            ReportedStatus::Draining => SourceStatus::Draining,
            ReportedStatus::Left => SourceStatus::Left,
        };
        if !self.servers.contains_key(&row.uid) {
            if heard == SourceStatus::Left || row.instance.is_none() {
                self.counts.unaddressed_rows += u64::from(heard != SourceStatus::Left);
                return;
            }
            if !self.make_room() {
                self.counts.refused += 1;
                return;
            }
        }
        self.say(source, &row.uid, heard, row.instance);
    }

    /// Whether there is room for one more server, if need be by forgetting one that nobody lists.
    fn make_room(&mut self) -> bool {
        if self.servers.len() < self.limits.max_servers {
            return true;
        }
        let Some((_, uid)) = self.unlisted.first().cloned() else {
            return false;
        };
        self.counts.evicted += 1;
        self.remove(&uid, StatusReason::Evicted);
        true
    }

    /// Forgets a server; the engine hears that it is gone if it has not yet.
    fn remove(&mut self, uid: &str, why: StatusReason) {
        let Some(record) = self.servers.remove(uid) else {
            return;
        };
        for said in &record.reports {
            self.uncount(said);
            self.sources[usize::from(said.source)].voices -= 1;
        }
        if let Some(since) = record.unlisted_since {
            self.unlisted.remove(&(since, uid.into()));
        }
        for set in [&mut self.pending, &mut self.dirty, &mut self.touched] {
            set.remove(uid);
        }
        let known = record
            .last_published
            .as_ref()
            .filter(|told| told.status != EffectiveStatus::Gone);
        if let (Some(_), Some(instance)) = (known, record.instance()) {
            self.evicted.push(StatusChange {
                uid: uid.into(),
                status: EffectiveStatus::Gone,
                reason: why,
                instance: instance.clone(),
                born: None,
            });
        }
    }

    fn uncount(&mut self, said: &SourceReport) {
        let source = &mut self.sources[usize::from(said.source)];
        source
            .doubt
            .count_report(said.status, said.suspect_since, false);
    }

    /// Notes a source's word on a server that is known, or that there is room for.
    fn say(
        &mut self,
        source: SourceId,
        uid: &str,
        heard: SourceStatus,
        instance: Option<Instance>,
    ) {
        let now = self.now;
        let mark = self.sources[usize::from(source)].mark;
        // A list read for the first time tells of servers that may have run for long.
        let news = self.sources[usize::from(source)].told;
        let new = !self.servers.contains_key(uid);
        if new {
            let record = ServerRecord::new(news.then_some(now));
            self.servers.insert(uid.into(), record);
        }
        let Some(record) = self.servers.get_mut(uid) else {
            return;
        };
        let old = record.reports.iter().position(|said| said.source == source);
        let (before, changed) = match old {
            Some(at) => {
                let said = &mut record.reports[at];
                said.snapshot_number = mark;
                let before = said.words();
                let mut changed = said.status != heard;
                if let Some(instance) = instance.filter(|instance| *instance != said.instance) {
                    let moved = instance.endpoint != said.instance.endpoint;
                    let again = instance.epoch != said.instance.epoch && !said.status.is_listed();
                    if moved || again || instance.epoch > said.instance.epoch {
                        // Another process behind the same identity.
                        record.observed_start = Some(now);
                        record.missed_responses = 0;
                    }
                    said.instance = instance;
                    changed = true;
                }
                if said.status != heard {
                    said.since = now;
                    if heard.is_suspect() && !said.status.is_suspect() {
                        said.suspect_since = now;
                    }
                    said.status = heard;
                }
                (Some(before), changed)
            }
            None => {
                let Some(instance) = instance else { return };
                record.reports.push(SourceReport {
                    source,
                    status: heard,
                    since: now,
                    suspect_since: now,
                    instance,
                    snapshot_number: mark,
                });
                record.reports.sort_by_key(|said| said.source);
                (None, true)
            }
        };
        let after = record.report_of(source).expect("said just now").words();
        if after.0.is_listed() {
            record.absence_expired = false;
        }
        let place = &mut self.sources[usize::from(source)];
        match before {
            Some((heard, bad_since)) => place.doubt.count_report(heard, bad_since, false),
            None => place.voices += 1,
        }
        place.doubt.count_report(after.0, after.1, true);
        if changed {
            self.touch(uid.into());
        }
    }

    /// Marks a server for judgement, and keeps the index of those that nobody lists.
    fn touch(&mut self, uid: Box<str>) {
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

    /// What the last whole list of a source left out.
    fn leave_out(&mut self, source: SourceId) {
        let mark = self.sources[usize::from(source)].mark;
        let out = |record: &ServerRecord| {
            let said = record.report_of(source)?;
            (said.snapshot_number != mark && said.status.is_listed()).then_some(said.status)
        };
        let left_out: Vec<(Box<str>, SourceStatus)> = self
            .servers
            .iter()
            .filter_map(|(uid, record)| Some((uid.clone(), out(record)?)))
            .collect();
        for (uid, before) in left_out {
            // After a drain the end was to be expected.
            let heard = match before {
                SourceStatus::Draining => SourceStatus::Left,
                _ => SourceStatus::Absent,
            };
            self.say(source, &uid, heard, None);
        }
    }

    /// Lets go of the words of sources that were taken away, once all others have spoken.
    fn release(&mut self) {
        if !self.sources.iter().any(|source| source.retiring) {
            return;
        }
        let mut live = self.sources.iter().filter(|source| source.live);
        if !live.all(|source| source.told) {
            return;
        }
        for at in 0..self.sources.len() {
            if !std::mem::take(&mut self.sources[at].retiring) {
                continue;
            }
            let source = at as SourceId;
            let spoken: Vec<Box<str>> = self
                .servers
                .iter()
                .filter(|(_, record)| record.report_of(source).is_some())
                .map(|(uid, _)| uid.clone())
                .collect();
            for uid in spoken {
                let record = self.servers.get_mut(&uid).expect("listed just now");
                let other = |said: &SourceReport| said.source != source;
                if record.reports.iter().any(other) {
                    let at = record.reports.iter().position(|said| !other(said));
                    let said = record.reports.remove(at.expect("it has a word"));
                    self.uncount(&said);
                    self.sources[usize::from(source)].voices -= 1;
                    self.touch(uid);
                } else {
                    let heard = match record.report_of(source).map(|said| said.status) {
                        Some(heard) if heard.is_binding() => SourceStatus::Left,
                        _ => SourceStatus::Absent,
                    };
                    self.say(source, &uid, heard, None);
                }
            }
        }
    }

    // Time.

    /// Closes the moment before, if time has gone on. It never goes back.
    fn advance(&mut self, now: Millis) {
        if now > self.now {
            self.settle();
            self.now = now;
        }
    }

    /// Closes the present moment for all that was touched in it.
    fn settle(&mut self) {
        let now = self.now;
        for source in &mut self.sources {
            let before = source.doubt.distrusted_since();
            source.doubt.update(now, &self.limits);
            self.counts.distrusted_sources +=
                u64::from(before.is_none() && source.doubt.distrusted_since().is_some());
        }
        self.judge_sources();
        for uid in std::mem::take(&mut self.touched) {
            if let Some(record) = self.servers.get_mut(&uid) {
                let sources = &self.sources;
                let doubted = |id: SourceId| sources[usize::from(id)].doubt.was_distrusted;
                record.update_flap_state(now, doubted, &self.limits);
            }
        }
    }

    /// Judges anew all servers of which a source that has just come to be doubted, or believed, thinks
    /// ill.
    fn judge_sources(&mut self) {
        let mut turned = Vec::new();
        for (at, source) in self.sources.iter_mut().enumerate() {
            let speaks = source.live || source.retiring;
            let doubted = speaks && source.doubt.is_distrusted(self.now, &self.limits);
            if source.doubt.was_distrusted != doubted {
                source.doubt.was_distrusted = doubted;
                turned.push(at as SourceId);
            }
        }
        if turned.is_empty() {
            return;
        }
        for (uid, record) in &self.servers {
            let ill =
                |said: &SourceReport| said.status.is_suspect() && turned.contains(&said.source);
            if record.reports.iter().any(ill) {
                self.dirty.insert(uid.clone());
                self.touched.insert(uid.clone());
            }
        }
    }

    /// Lets servers that nobody has listed for long turn gone, a bounded number a second, and forgets
    /// those that have been gone for as long again.
    fn ripen(&mut self, span: Millis) {
        let limits = &self.limits;
        let a_second = (limits.max_gone_ratio_per_s * self.servers.len() as f64).max(1.0);
        let most = (a_second * 1000.0) as u64;
        self.gone_budget = (self.gone_budget + (a_second * span as f64) as u64).min(most.max(1000));
        let due = self.now.saturating_sub(limits.absence_timeout);
        let mut ripe = Vec::new();
        let mut over = Vec::new();
        for (since, uid) in self.unlisted.iter().take_while(|(since, _)| *since <= due) {
            let record = &self.servers[uid];
            let doubted = |id: SourceId| self.sources[usize::from(id)].doubt.was_distrusted;
            let forget = since.saturating_add(2 * limits.absence_timeout) <= self.now;
            let told = record.last_published.as_ref();
            let gone = told.is_some_and(|told| told.status == EffectiveStatus::Gone);
            if gone && forget && record.absence_expired {
                over.push(uid.clone());
            } else if record.is_absence_trusted(doubted) {
                // After a drain, or once it was told gone, its clients have been moved already.
                if !record.is_draining() && !gone {
                    if self.gone_budget < 1000 {
                        continue;
                    }
                    self.gone_budget -= 1000;
                }
                ripe.push(uid.clone());
            }
        }
        for uid in ripe {
            if let Some(record) = self.servers.get_mut(&uid) {
                record.absence_expired = true;
                self.dirty.insert(uid);
            }
        }
        for uid in over {
            self.remove(&uid, StatusReason::AbsenceExpired);
        }
    }

    // Facts.

    fn judge(&self, record: &ServerRecord) -> (EffectiveStatus, StatusReason) {
        let doubted = |id: SourceId| self.sources[usize::from(id)].doubt.was_distrusted;
        record.evaluate(doubted, &self.limits)
    }

    /// What has changed since the last facts.
    fn facts(&mut self) -> Vec<StatusChange> {
        self.judge_sources();
        let mut facts = std::mem::take(&mut self.evicted);
        // Half of a list may look like a loss of the other half: until its end only drains go out.
        let begun = self.now.saturating_sub(self.limits.tick_interval);
        let reading = |source: &Source| source.reading.is_some_and(|at| at >= begun);
        let half = self.sources.iter().any(reading);
        let mut held = BTreeSet::new();
        for uid in std::mem::take(&mut self.dirty) {
            let Some(record) = self.servers.get(&uid) else {
                continue;
            };
            if half && !record.is_draining() {
                held.insert(uid);
                continue;
            }
            let (belief, why) = self.judge(record);
            let pending = record.needs_reevaluation();
            let record = self.servers.get_mut(&uid).expect("found just now");
            let was = record.last_published.as_ref().map(|told| told.status);
            if was == Some(EffectiveStatus::Gone) && belief != EffectiveStatus::Gone {
                // Back from the dead: its process may have been started anew.
                record.observed_start = Some(self.now);
                record.missed_responses = 0;
            }
            let Some(said) = record.primary_report() else {
                continue;
            };
            let seen = record.observed_start;
            let born = said.instance.born.max(seen);
            let same = |told: &PublishedStatus| {
                told.status == belief && told.started_at == born && told.instance == said.instance
            };
            let same = record.last_published.as_ref().is_some_and(same);
            let instance = said.instance.clone();
            match pending || belief != EffectiveStatus::Ready {
                true => self.pending.insert(uid.clone()),
                false => self.pending.remove(&uid),
            };
            if same {
                continue;
            }
            record.last_published = Some(PublishedStatus {
                status: belief,
                started_at: born,
                instance: instance.clone(),
            });
            facts.push(StatusChange {
                uid,
                status: belief,
                reason: why,
                instance,
                born,
            });
        }
        self.dirty = held;
        facts
    }
}

impl SourceReport {
    fn words(&self) -> (SourceStatus, Millis) {
        (self.status, self.suspect_since)
    }
}
