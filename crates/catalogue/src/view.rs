//! The catalogue itself: tellings in, facts out.

use std::collections::{BTreeMap, BTreeSet};

use crate::doubt::Doubt;
use crate::limits::Limits;
use crate::record::{Record, Told};
use crate::words::{Belief, Fact, Heard, Instance, Millis, Row, Said, Seen, Telling, Why, Word};

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
    pub unknown: u64,
    /// Times a source came to be doubted.
    pub doubts: u64,
}

/// A source as it stands.
#[derive(Clone, Debug)]
pub struct SourceView<'a> {
    pub id: SourceId,
    pub name: &'a str,
    pub listed: usize,
    /// When it last answered, and since when it has not.
    pub answered: Option<Millis>,
    pub lost_since: Option<Millis>,
    pub doubted_since: Option<Millis>,
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
    doubt: Doubt,
}

#[derive(Debug)]
pub struct Catalogue {
    limits: Limits,
    sources: Vec<Source>,
    servers: BTreeMap<Box<str>, Record>,
    /// Servers that nobody lists, by when they were last listed.
    unlisted: BTreeSet<(Millis, Box<str>)>,
    /// Servers whose belief time may change.
    pending: BTreeSet<Box<str>>,
    /// Servers to judge before the next facts go out, and to settle when the moment closes.
    dirty: BTreeSet<Box<str>>,
    touched: BTreeSet<Box<str>>,
    evicted: Vec<Fact>,
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
        if at >= self.limits.sources.min(usize::from(SourceId::MAX)) {
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
    pub fn retire(&mut self, now: Millis, source: SourceId) -> Vec<Fact> {
        self.advance(now);
        if let Some(source) = self.sources.get_mut(usize::from(source)) {
            source.retiring |= std::mem::take(&mut source.live);
            source.reading = None;
        }
        self.release();
        self.facts()
    }

    /// Takes what a source says, and returns what changes by it.
    pub fn tell(&mut self, now: Millis, source: SourceId, telling: Telling) -> Vec<Fact> {
        self.advance(now);
        let now = self.now;
        let at = usize::from(source);
        let Some(teller) = self.sources.get_mut(at).filter(|source| source.live) else {
            return Vec::new();
        };
        if let Telling::Lost = telling {
            teller.reading = None;
            teller.lost_since.get_or_insert(now);
            return self.facts();
        }
        teller.answered = Some(now);
        teller.lost_since = None;
        match telling {
            Telling::Whole(rows) => self.whole(source, true, true, rows),
            Telling::Part { first, last, rows } => self.whole(source, first, last, rows),
            Telling::Changes(rows) => {
                for row in rows {
                    self.row(source, row);
                }
            }
            Telling::Stale(rows) => {
                // A drain is a drain, however old the word; nothing else is believed.
                for row in rows.into_iter().filter(|row| row.word == Word::Draining) {
                    self.row(source, row);
                }
            }
            Telling::Same | Telling::Lost => {}
        }
        self.release();
        self.facts()
    }

    /// A server answered a probe, or brought something back for a line or an attempt; or it did not.
    pub fn heard_of(&mut self, now: Millis, uid: &str, answered: bool) -> Vec<Fact> {
        let Some(record) = self.servers.get_mut(uid) else {
            return Vec::new();
        };
        let misses = match answered {
            true => 0,
            false => record.misses.saturating_add(1),
        };
        if std::mem::replace(&mut record.misses, misses) == misses || !record.pending() {
            return Vec::new();
        }
        self.advance(now);
        self.touch(uid.into());
        self.facts()
    }

    /// When time alone may change something next.
    pub fn next_wake(&self) -> Option<Millis> {
        let busy = [&self.pending, &self.touched, &self.dirty];
        let busy = busy.iter().any(|set| !set.is_empty());
        let doubted = self.sources.iter().any(|source| source.doubt.judged);
        (busy || doubted).then_some(self.looked_at + self.limits.tick)
    }

    /// Looks again at all that depends on time.
    pub fn wake(&mut self, now: Millis) -> Vec<Fact> {
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
    pub fn servers(&self) -> impl Iterator<Item = Seen<'_>> {
        self.servers.iter().filter_map(|(uid, record)| {
            let (belief, why) = self.judge(record);
            Some(Seen {
                uid,
                belief,
                why,
                instance: record.instance()?,
                said: &record.said,
                penalty: record.penalty(self.now, &self.limits),
            })
        })
    }

    pub fn sources(&self) -> impl Iterator<Item = SourceView<'_>> {
        let live = self.sources.iter().enumerate().filter(|(_, s)| s.live);
        live.map(|(id, source)| SourceView {
            id: id as SourceId,
            name: &source.name,
            listed: source.doubt.listed(),
            answered: source.answered,
            lost_since: source.lost_since,
            doubted_since: source.doubt.since(),
        })
    }

    pub fn knows(&self, uid: &str) -> bool {
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
        let heard = match row.word {
            Word::Ready => Heard::Ready,
            Word::Failing => Heard::Failing,
            Word::Draining => Heard::Draining,
            Word::Left => Heard::Left,
        };
        if !self.servers.contains_key(&row.uid) {
            if heard == Heard::Left || row.instance.is_none() {
                self.counts.unknown += u64::from(heard != Heard::Left);
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
        if self.servers.len() < self.limits.servers {
            return true;
        }
        let Some((_, uid)) = self.unlisted.first().cloned() else {
            return false;
        };
        self.counts.evicted += 1;
        self.remove(&uid, Why::NoRoom);
        true
    }

    /// Forgets a server; the engine hears that it is gone if it has not yet.
    fn remove(&mut self, uid: &str, why: Why) {
        let Some(record) = self.servers.remove(uid) else {
            return;
        };
        for said in &record.said {
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
            .told
            .as_ref()
            .filter(|told| told.belief != Belief::Gone);
        if let (Some(_), Some(instance)) = (known, record.instance()) {
            self.evicted.push(Fact {
                uid: uid.into(),
                belief: Belief::Gone,
                why,
                instance: instance.clone(),
                born: None,
            });
        }
    }

    fn uncount(&mut self, said: &Said) {
        let source = &mut self.sources[usize::from(said.source)];
        source.doubt.count(said.heard, said.bad_since, false);
    }

    /// Notes a source's word on a server that is known, or that there is room for.
    fn say(&mut self, source: SourceId, uid: &str, heard: Heard, instance: Option<Instance>) {
        let now = self.now;
        let mark = self.sources[usize::from(source)].mark;
        // A list read for the first time tells of servers that may have run for long.
        let news = self.sources[usize::from(source)].told;
        let new = !self.servers.contains_key(uid);
        if new {
            let record = Record::new(news.then_some(now));
            self.servers.insert(uid.into(), record);
        }
        let Some(record) = self.servers.get_mut(uid) else {
            return;
        };
        let old = record.said.iter().position(|said| said.source == source);
        let (before, changed) = match old {
            Some(at) => {
                let said = &mut record.said[at];
                said.mark = mark;
                let before = said.words();
                let mut changed = said.heard != heard;
                if let Some(instance) = instance.filter(|instance| *instance != said.instance) {
                    let moved = instance.endpoint != said.instance.endpoint;
                    let again = instance.epoch != said.instance.epoch && !said.heard.listed();
                    if moved || again || instance.epoch > said.instance.epoch {
                        // Another process behind the same identity.
                        record.born_seen = Some(now);
                        record.misses = 0;
                    }
                    said.instance = instance;
                    changed = true;
                }
                if said.heard != heard {
                    said.since = now;
                    if heard.suspicious() && !said.heard.suspicious() {
                        said.bad_since = now;
                    }
                    said.heard = heard;
                }
                (Some(before), changed)
            }
            None => {
                let Some(instance) = instance else { return };
                record.said.push(Said {
                    source,
                    heard,
                    since: now,
                    bad_since: now,
                    instance,
                    mark,
                });
                record.said.sort_by_key(|said| said.source);
                (None, true)
            }
        };
        let after = record.of(source).expect("said just now").words();
        if after.0.listed() {
            record.ripe = false;
        }
        let place = &mut self.sources[usize::from(source)];
        match before {
            Some((heard, bad_since)) => place.doubt.count(heard, bad_since, false),
            None => place.voices += 1,
        }
        place.doubt.count(after.0, after.1, true);
        if changed {
            self.touch(uid.into());
        }
    }

    /// Marks a server for judgement, and keeps the index of those that nobody lists.
    fn touch(&mut self, uid: Box<str>) {
        let Some(record) = self.servers.get_mut(&uid) else {
            return;
        };
        let since = (!record.listed()).then(|| record.last_listed());
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
        let out = |record: &Record| {
            let said = record.of(source)?;
            (said.mark != mark && said.heard.listed()).then_some(said.heard)
        };
        let left_out: Vec<(Box<str>, Heard)> = self
            .servers
            .iter()
            .filter_map(|(uid, record)| Some((uid.clone(), out(record)?)))
            .collect();
        for (uid, before) in left_out {
            // After a drain the end was to be expected.
            let heard = match before {
                Heard::Draining => Heard::Left,
                _ => Heard::Absent,
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
                .filter(|(_, record)| record.of(source).is_some())
                .map(|(uid, _)| uid.clone())
                .collect();
            for uid in spoken {
                let record = self.servers.get_mut(&uid).expect("listed just now");
                let other = |said: &Said| said.source != source;
                if record.said.iter().any(other) {
                    let at = record.said.iter().position(|said| !other(said));
                    let said = record.said.remove(at.expect("it has a word"));
                    self.uncount(&said);
                    self.sources[usize::from(source)].voices -= 1;
                    self.touch(uid);
                } else {
                    let heard = match record.of(source).map(|said| said.heard) {
                        Some(heard) if heard.binds() => Heard::Left,
                        _ => Heard::Absent,
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
            let before = source.doubt.since();
            source.doubt.settle(now, &self.limits);
            self.counts.doubts += u64::from(before.is_none() && source.doubt.since().is_some());
        }
        self.judge_sources();
        for uid in std::mem::take(&mut self.touched) {
            if let Some(record) = self.servers.get_mut(&uid) {
                let sources = &self.sources;
                let doubted = |id: SourceId| sources[usize::from(id)].doubt.judged;
                record.settle(now, doubted, &self.limits);
            }
        }
    }

    /// Judges anew all servers of which a source that has just come to be doubted, or believed, thinks
    /// ill.
    fn judge_sources(&mut self) {
        let mut turned = Vec::new();
        for (at, source) in self.sources.iter_mut().enumerate() {
            let speaks = source.live || source.retiring;
            let doubted = speaks && source.doubt.now(self.now, &self.limits);
            if source.doubt.judged != doubted {
                source.doubt.judged = doubted;
                turned.push(at as SourceId);
            }
        }
        if turned.is_empty() {
            return;
        }
        for (uid, record) in &self.servers {
            let ill = |said: &Said| said.heard.suspicious() && turned.contains(&said.source);
            if record.said.iter().any(ill) {
                self.dirty.insert(uid.clone());
                self.touched.insert(uid.clone());
            }
        }
    }

    /// Lets servers that nobody has listed for long turn gone, a bounded number a second, and forgets
    /// those that have been gone for as long again.
    fn ripen(&mut self, span: Millis) {
        let limits = &self.limits;
        let a_second = (limits.gone_share * self.servers.len() as f64).max(1.0);
        let most = (a_second * 1000.0) as u64;
        self.gone_budget = (self.gone_budget + (a_second * span as f64) as u64).min(most.max(1000));
        let due = self.now.saturating_sub(limits.absent_for);
        let mut ripe = Vec::new();
        let mut over = Vec::new();
        for (since, uid) in self.unlisted.iter().take_while(|(since, _)| *since <= due) {
            let record = &self.servers[uid];
            let doubted = |id: SourceId| self.sources[usize::from(id)].doubt.judged;
            let forget = since.saturating_add(2 * limits.absent_for) <= self.now;
            let told = record.told.as_ref();
            let gone = told.is_some_and(|told| told.belief == Belief::Gone);
            if gone && forget && record.ripe {
                over.push(uid.clone());
            } else if record.ripens(doubted) {
                // After a drain, or once it was told gone, its clients have been moved already.
                if !record.drained() && !gone {
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
                record.ripe = true;
                self.dirty.insert(uid);
            }
        }
        for uid in over {
            self.remove(&uid, Why::AbsentForLong);
        }
    }

    // Facts.

    fn judge(&self, record: &Record) -> (Belief, Why) {
        let doubted = |id: SourceId| self.sources[usize::from(id)].doubt.judged;
        record.judge(doubted, &self.limits)
    }

    /// What has changed since the last facts.
    fn facts(&mut self) -> Vec<Fact> {
        self.judge_sources();
        let mut facts = std::mem::take(&mut self.evicted);
        // Half of a list may look like a loss of the other half: until its end only drains go out.
        let begun = self.now.saturating_sub(self.limits.tick);
        let reading = |source: &Source| source.reading.is_some_and(|at| at >= begun);
        let half = self.sources.iter().any(reading);
        let mut held = BTreeSet::new();
        for uid in std::mem::take(&mut self.dirty) {
            let Some(record) = self.servers.get(&uid) else {
                continue;
            };
            if half && !record.drained() {
                held.insert(uid);
                continue;
            }
            let (belief, why) = self.judge(record);
            let pending = record.pending();
            let record = self.servers.get_mut(&uid).expect("found just now");
            let was = record.told.as_ref().map(|told| told.belief);
            if was == Some(Belief::Gone) && belief != Belief::Gone {
                // Back from the dead: its process may have been started anew.
                record.born_seen = Some(self.now);
                record.misses = 0;
            }
            let Some(said) = record.described() else {
                continue;
            };
            let seen = record.born_seen;
            let born = said.instance.born.max(seen);
            let same = |told: &Told| {
                told.belief == belief && told.born == born && told.instance == said.instance
            };
            let same = record.told.as_ref().is_some_and(same);
            let instance = said.instance.clone();
            match pending || belief != Belief::Ready {
                true => self.pending.insert(uid.clone()),
                false => self.pending.remove(&uid),
            };
            if same {
                continue;
            }
            record.told = Some(Told {
                belief,
                born,
                instance: instance.clone(),
            });
            facts.push(Fact {
                uid,
                belief,
                why,
                instance,
                born,
            });
        }
        self.dirty = held;
        facts
    }
}

impl Said {
    fn words(&self) -> (Heard, Millis) {
        (self.heard, self.bad_since)
    }
}
