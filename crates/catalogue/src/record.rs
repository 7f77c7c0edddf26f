//! What is known of one server, and what to believe of it.

use crate::limits::Limits;
use crate::view::SourceId;
use crate::words::{Belief, Heard, Instance, Millis, Said, Why};

#[derive(Debug, Default)]
pub(crate) struct Record {
    pub said: Vec<Said>,
    /// Probes and lines in a row that it left unanswered.
    pub misses: u32,
    /// When it was first seen, or seen again, where that means that its process may be cold.
    pub born_seen: Option<Millis>,
    /// Times it turned suspect, fading, and when that was last worked out.
    penalty: (f64, Millis),
    /// It is suspect by a source that is believed.
    in_episode: bool,
    damped: bool,
    /// Absent for so long that it is gone, though it may answer.
    pub ripe: bool,
    pub told: Option<Told>,
    /// Since when nobody lists it: the key that `Catalogue::unlisted` holds for it.
    pub unlisted_since: Option<Millis>,
}

/// What the engine was last told.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    pub belief: Belief,
    pub born: Option<Millis>,
    pub instance: Instance,
}

impl Record {
    pub fn new(born_seen: Option<Millis>) -> Self {
        Self {
            born_seen,
            ..Self::default()
        }
    }

    pub fn of(&self, source: SourceId) -> Option<&Said> {
        self.said.iter().find(|said| said.source == source)
    }

    pub fn listed(&self) -> bool {
        self.said.iter().any(|said| said.heard.listed())
    }

    /// When the last source stopped listing it.
    pub fn last_listed(&self) -> Millis {
        self.said.iter().map(|said| said.since).max().unwrap_or(0)
    }

    /// The description that counts: that of the first source that lists it, else of the first.
    pub fn described(&self) -> Option<&Said> {
        let listing = self.said.iter().filter(|said| said.heard.listed());
        listing
            .min_by_key(|said| said.source)
            .or_else(|| self.said.iter().min_by_key(|said| said.source))
    }

    pub fn instance(&self) -> Option<&Instance> {
        self.described().map(|said| &said.instance)
    }

    /// A drain binds, whoever else says otherwise.
    pub fn drained(&self) -> bool {
        self.said.iter().any(|said| said.heard.binds())
    }

    /// What to believe of it, given which sources are doubted.
    pub fn judge(&self, doubted: impl Fn(SourceId) -> bool, limits: &Limits) -> (Belief, Why) {
        let dead = self.misses >= limits.unanswered;
        if self.drained() {
            return match () {
                () if self.listed() => (Belief::Draining, Why::DrainTold),
                () if dead => (Belief::Gone, Why::Unanswered),
                () if self.ripe => (Belief::Gone, Why::AbsentForLong),
                () => (Belief::Draining, Why::DrainTold),
            };
        }
        let (mut ready, mut failing, mut absent, mut excused) = (false, false, false, false);
        for said in &self.said {
            match said.heard {
                Heard::Ready => ready = true,
                heard if heard.suspicious() && doubted(said.source) => excused = true,
                Heard::Failing => failing = true,
                _ => absent = true,
            }
        }
        // A source that still lists it makes another's silence on it no suspicion.
        let absent = absent && !ready && !failing && !excused;
        if dead && (failing || !ready) {
            return (Belief::Gone, Why::Unanswered);
        }
        match () {
            () if absent && self.ripe => (Belief::Gone, Why::AbsentForLong),
            () if absent => (Belief::Suspected, Why::NobodyListsIt),
            () if failing => (Belief::Suspected, Why::OneSaysFailing),
            () if self.damped => (Belief::Suspected, Why::Damped),
            () if excused && !ready => (Belief::Ready, Why::SourceDoubted),
            () => (Belief::Ready, Why::AllSayReady),
        }
    }

    /// Whether time alone may change what is believed of it, or probes do.
    pub fn pending(&self) -> bool {
        let excused = |said: &Said| said.heard.suspicious();
        self.damped || self.in_episode || !self.listed() || self.said.iter().any(excused)
    }

    pub fn penalty(&self, now: Millis, limits: &Limits) -> f64 {
        let (penalty, at) = self.penalty;
        let halves = now.saturating_sub(at) as f64 / limits.flap_half.max(1) as f64;
        penalty * 0.5_f64.powf(halves)
    }

    /// Closes a moment: counts a turn to suspicion by sources that are believed, and holds a server that
    /// turned too often.
    pub fn settle(&mut self, now: Millis, doubted: impl Fn(SourceId) -> bool, limits: &Limits) {
        let suspect = self
            .said
            .iter()
            .any(|said| said.heard.suspicious() && !doubted(said.source))
            && !self.drained();
        let penalty = self.penalty(now, limits) + f64::from(suspect && !self.in_episode);
        self.in_episode = suspect;
        self.penalty = (penalty, now);
        if penalty >= limits.flap_damped {
            self.damped = true;
        } else if penalty < limits.flap_free {
            self.damped = false;
        }
    }

    /// Whether nobody lists it by words that are believed: then its time runs.
    pub fn ripens(&self, doubted: impl Fn(SourceId) -> bool) -> bool {
        !self.ripe
            && !self.listed()
            && self
                .said
                .iter()
                .all(|said| said.heard == Heard::Left || !doubted(said.source))
    }
}
