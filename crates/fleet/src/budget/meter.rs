//! What one member uses of each budget, and what it may. All times are its own.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use violetwind_consensus::Millis;

use super::{BudgetDefinition, BudgetKind, Need, Share};
use crate::limits::Limits;
use crate::messages::Name;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquisition {
    Granted,
    /// The budget has none left here; worth asking again after so long.
    Denied {
        retry_after: Millis,
    },
    UnknownBudget,
}

/// What whoever counts a budget elsewhere in this process is told: so much until a moment of this member's clock,
/// and so much from then on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    pub units: u64,
    pub until: Millis,
    pub after: u64,
    /// Of a rate: the span within which it is counted, which allows for clocks that run fast.
    pub span: Millis,
    /// More may come with an exchange: no need has been left open for as long as one takes.
    pub hopeful: bool,
}

/// A need that the leader knows and has not met: the units beyond the floor that are wanted, and those that there are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NeedLeftOpen {
    pub budget: Name,
    pub wanted: u64,
    pub units: u64,
}

/// Since when the leader has left a need open, and in how many answers.
#[derive(Clone, Copy, Debug)]
struct Short {
    since: Millis,
    answers: u32,
}

/// A budget that is counted elsewhere: what was told there, and what was heard back.
#[derive(Clone, Debug, Default)]
struct Outside {
    told: Option<Part>,
    /// Less counts from now on, and that has not been told.
    less: bool,
    /// Numbers of the words told; what is heard names the last that was in force.
    seq: u64,
    heard: u64,
    busy: u64,
    denied: u64,
}

#[derive(Clone, Debug)]
struct Meter {
    def: BudgetDefinition,
    /// From then on the floor may be used: what a process before this one used of a rate is forgotten.
    floor_from: Millis,
    share: Share,
    /// Renewals were answered with less than was needed, until more comes.
    short: Option<Short>,
    /// What the leader wishes it to go down to.
    target: Option<u64>,
    /// The least that was said to be used at most, and the version of the share that this stands on.
    lower: Option<(u64, u64)>,
    held: u64,
    used: VecDeque<Millis>,
    denied: VecDeque<Millis>,
    outside: Option<Outside>,
}

impl Meter {
    /// A rate's window by this member's clock, which may run fast.
    fn window(&self, limits: &Limits) -> Millis {
        self.def.window + (self.def.window * limits.max_clock_drift_permille).div_ceil(1000) + 1
    }

    fn forget(&mut self, now: Millis, limits: &Limits) {
        let window = self.window(limits);
        while self.used.front().is_some_and(|at| now >= *at + window) {
            self.used.pop_front();
        }
        let span = match self.def.kind {
            BudgetKind::Concurrent => limits.renew_interval / 2,
            BudgetKind::Rate => window,
        };
        while self.denied.front().is_some_and(|at| now >= *at + span) {
            self.denied.pop_front();
        }
    }

    fn busy(&self) -> u64 {
        if let Some(outside) = &self.outside {
            return outside.busy;
        }
        match self.def.kind {
            BudgetKind::Concurrent => self.held,
            BudgetKind::Rate => self.used.len() as u64,
        }
    }

    fn floor(&self, now: Millis) -> u64 {
        match now >= self.floor_from {
            true => self.def.floor,
            false => 0,
        }
    }

    /// In use beyond the floor: what the share has to cover.
    fn beyond(&self, now: Millis) -> u64 {
        self.busy().saturating_sub(self.floor(now))
    }

    /// The share, or less where it is being lowered.
    fn usable(&self) -> u64 {
        let share = self.share.units.min(self.target.unwrap_or(u64::MAX));
        match self.lower {
            Some((to, version)) if version == self.share.version => share.min(to),
            _ => share,
        }
    }

    fn allowed(&self, now: Millis, leased: bool) -> u64 {
        self.floor(now) + if leased { self.usable() } else { 0 }
    }

    /// Whether what was told last is in force where it is counted, so that what was heard binds.
    fn settled(&self) -> bool {
        let heard = |outside: &Outside| outside.heard == outside.seq && !outside.less;
        self.outside.as_ref().is_none_or(heard)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Meters {
    meters: BTreeMap<Name, Meter>,
    /// What the leader of that term was last told.
    told: BTreeMap<Name, Need>,
    told_term: u64,
    /// The newest list of shares that was taken.
    have: u64,
}

impl Meters {
    /// `begun` is when this process began; `after_another` that one of the same name may just have ended.
    pub fn new(
        defs: &[BudgetDefinition],
        outside: &BTreeSet<Name>,
        begun: Millis,
        limits: &Limits,
    ) -> Self {
        let meter = |def: &BudgetDefinition| {
            let mut meter = Meter {
                def: def.clone(),
                floor_from: begun,
                share: Share::default(),
                short: None,
                target: None,
                lower: None,
                held: 0,
                used: VecDeque::new(),
                denied: VecDeque::new(),
                outside: outside.contains(&def.name).then(Outside::default),
            };
            if def.kind == BudgetKind::Rate {
                meter.floor_from = begun + meter.window(limits);
            }
            (def.name.clone(), meter)
        };
        Self {
            meters: defs.iter().map(meter).collect(),
            ..Self::default()
        }
    }

    pub fn is_empty(&self) -> bool {
        self.meters.is_empty()
    }

    /// One unit, if it may be used now; `leased` is whether the session's lease counts.
    pub fn acquire(
        &mut self,
        budget: &str,
        now: Millis,
        leased: bool,
        limits: &Limits,
    ) -> Acquisition {
        let meter = self
            .meters
            .get_mut(budget)
            .filter(|meter| meter.outside.is_none());
        let Some(meter) = meter else {
            return Acquisition::UnknownBudget;
        };
        meter.forget(now, limits);
        if meter.busy() < meter.allowed(now, leased) {
            match meter.def.kind {
                BudgetKind::Concurrent => meter.held += 1,
                BudgetKind::Rate => meter.used.push_back(now),
            }
            return Acquisition::Granted;
        }
        if (meter.denied.len() as u64) < meter.def.total {
            meter.denied.push_back(now);
        }
        let window = meter.window(limits);
        let again = match (meter.def.kind, meter.used.front()) {
            (BudgetKind::Rate, Some(first)) => (first + window)
                .saturating_sub(now)
                .min(limits.renew_interval),
            _ => limits.renew_interval,
        };
        Acquisition::Denied {
            retry_after: again.max(1),
        }
    }

    /// What whoever counts elsewhere is to be told: a number, and the part. `end` is the end of the lease, as far as
    /// shares count by it.
    pub fn changed_parts(
        &mut self,
        now: Millis,
        end: Millis,
        limits: &Limits,
    ) -> Vec<(Name, u64, Part)> {
        let mut parts = Vec::new();
        for (name, meter) in &mut self.meters {
            let (floor, usable, window) = (meter.floor(now), meter.usable(), meter.def.window);
            // By answers too: on a busy machine, or over a slow link, they come late, and so does what they announce.
            let open = meter.short.is_some_and(|short| {
                now >= short.since + limits.unmet_need_timeout
                    && short.answers >= limits.unmet_need_min_answers
            });
            let all = meter.share.units >= meter.def.pool();
            let hopeful = now < end && !open && !all && meter.target.is_none();
            let Some(outside) = &mut meter.outside else {
                continue;
            };
            let until = if now < end && usable > 0 { end } else { 0 };
            let units = floor + if until > 0 { usable } else { 0 };
            // Twice the drift: the clock there may not be this one.
            let part = Part {
                units,
                until,
                after: floor,
                span: window + window / 50 + 1,
                hopeful,
            };
            outside.less = false;
            if outside.told != Some(part) {
                outside.told = Some(part);
                outside.seq += 1;
                parts.push((name.clone(), outside.seq, part));
            }
        }
        parts
    }

    /// What is used elsewhere, once the word of that number was in force there.
    pub fn record_external_usage(
        &mut self,
        budget: &str,
        seq: u64,
        busy: u64,
        denied: u64,
        now: Millis,
    ) {
        if let Some(meter) = self.meters.get_mut(budget)
            && let Some(outside) = &mut meter.outside
        {
            outside.heard = outside.heard.max(seq);
            outside.busy = busy;
            let more = denied.saturating_sub(outside.denied).min(meter.def.total);
            outside.denied = denied;
            for _ in 0..more {
                if (meter.denied.len() as u64) < meter.def.total {
                    meter.denied.push_back(now);
                }
            }
        }
    }

    /// Whether all that is said of what is in use holds.
    pub fn is_usage_confirmed(&self) -> bool {
        self.meters.values().all(Meter::settled)
    }

    /// A held unit is not in use any more.
    pub fn release(&mut self, budget: &str) {
        if let Some(meter) = self.meters.get_mut(budget) {
            meter.held = meter.held.saturating_sub(1);
        }
    }

    /// In use now, and allowed now.
    pub fn usage(
        &mut self,
        budget: &str,
        now: Millis,
        leased: bool,
        limits: &Limits,
    ) -> Option<(u64, u64)> {
        let meter = self.meters.get_mut(budget)?;
        meter.forget(now, limits);
        Some((meter.busy(), meter.allowed(now, leased)))
    }

    pub fn names(&self) -> impl Iterator<Item = &Name> {
        self.meters.keys()
    }

    /// Whether somebody was turned away whom a larger share would serve.
    pub fn has_unreported_need(&self) -> bool {
        self.meters.iter().any(|(name, meter)| {
            let told = self.told.get(name).map_or(0, |told| told.wanted);
            !meter.denied.is_empty() && told <= meter.share.units
        })
    }

    /// What is in use beyond floors, for a session that begins or ends.
    pub fn units_in_use(&mut self, now: Millis, limits: &Limits) -> Vec<(Name, u64)> {
        let each = self.meters.iter_mut().map(|(name, meter)| {
            meter.forget(now, limits);
            (name.clone(), meter.beyond(now))
        });
        each.filter(|(_, beyond)| *beyond > 0).collect()
    }

    /// What the leader of `term` does not know yet, some of it at a time.
    pub fn next_needs(&mut self, now: Millis, term: u64, limits: &Limits) -> Vec<Need> {
        if term != self.told_term {
            self.told.clear();
            self.told_term = term;
        }
        let mut needs = Vec::new();
        for (name, meter) in &mut self.meters {
            meter.forget(now, limits);
            let busy = meter.beyond(now);
            let denied = meter.denied.len() as u64;
            let wants = (busy + denied).min(meter.def.pool());
            let need = Need {
                budget: name.clone(),
                in_use: busy,
                wanted: wants,
            };
            let known = self.told.get(name);
            // It goes with a renewal that is due anyway.
            let same = known.is_some_and(|known| *known == need);
            if same || (known.is_none() && wants == 0 && busy == 0) {
                continue;
            }
            self.told.insert(name.clone(), need.clone());
            needs.push(need);
            if needs.len() >= limits.max_needs_per_renewal {
                break;
            }
        }
        needs
    }

    /// The leader has answered a renewal: which needs that it knows it has left open, of those that it had met before.
    pub fn update_unmet_needs(&mut self, now: Millis, limits: &Limits) -> Vec<NeedLeftOpen> {
        let mut left_open = Vec::new();
        for (name, meter) in &mut self.meters {
            let wanted = self.told.get(name).map_or(0, |told| told.wanted);
            let units = meter.share.units;
            meter.short = match meter.short {
                None if wanted > units => {
                    let budget = name.clone();
                    left_open.push(NeedLeftOpen {
                        budget,
                        wanted,
                        units,
                    });
                    Some(Short {
                        since: now,
                        answers: 1,
                    })
                }
                Some(short) if now >= short.since + limits.unmet_need_cooldown => None,
                Some(short) => Some(Short {
                    answers: short.answers.saturating_add(1),
                    ..short
                }),
                None => None,
            };
        }
        left_open
    }

    pub fn shares_version(&self) -> u64 {
        self.have
    }

    /// Shares as the log has them for this session.
    pub fn set_shares(&mut self, version: u64, shares: &[(Name, Share)]) {
        if version < self.have {
            return;
        }
        self.have = version;
        for (name, meter) in &mut self.meters {
            let told = shares.iter().find(|(budget, _)| budget == name);
            let share = told.map(|(_, share)| *share).unwrap_or_default();
            if share.units > meter.share.units {
                meter.short = None;
            }
            meter.share = share;
        }
    }

    /// The session is over: only floors are left.
    pub fn clear_shares(&mut self) {
        self.have = 0;
        self.told.clear();
        for meter in self.meters.values_mut() {
            (meter.share, meter.target, meter.lower) = (Share::default(), None, None);
            if let Some(outside) = &mut meter.outside {
                outside.less = true;
            }
        }
    }

    /// What the leader wishes shares to go down to: no more is used from now on.
    pub fn set_lower_targets(&mut self, targets: &[(Name, u64)]) {
        for (name, meter) in &mut self.meters {
            let target = targets.iter().find(|(budget, _)| budget == name);
            let target = target.map(|(_, to)| *to);
            if meter.target != target {
                meter.target = target;
                if let Some(outside) = &mut meter.outside {
                    outside.less = true;
                }
            }
        }
    }

    /// The share as the log had it after a word of this member.
    pub fn update_share(&mut self, budget: &str, share: Share) {
        if let Some(meter) = self.meters.get_mut(budget) {
            let known = meter.share;
            let newer = share.version > known.version;
            if newer || share.version == known.version && share.units < known.units {
                meter.share = share;
            }
        }
    }

    /// What can be lowered now: down to the target, or to what is in use, and below the target where less is wanted;
    /// with the version that it stands on, and what is wanted. A word that `is_out` is not said again.
    pub fn next_share_to_lower(
        &mut self,
        now: Millis,
        limits: &Limits,
        is_out: impl Fn(&Name) -> bool,
    ) -> Option<(Need, u64, u64)> {
        for (name, meter) in &mut self.meters {
            meter.forget(now, limits);
            let version = meter.share.version;
            if let Some(target) = meter.target.filter(|_| meter.settled()) {
                let said = meter.lower.filter(|(_, same)| *same == version);
                let said = said.map_or(u64::MAX, |(to, _)| to);
                let (busy, denied) = (meter.beyond(now), meter.denied.len() as u64);
                let wants = (busy + denied).min(meter.def.pool());
                // Whoever counts elsewhere has been told the target, and may use that much meanwhile.
                let wanted = match meter.outside {
                    Some(_) => target,
                    None => target.min(wants),
                };
                let to = wanted.max(busy).min(said);
                if to < meter.share.units && (to < said || !is_out(name)) {
                    // Nothing beyond it is used from here on, whatever becomes of the word.
                    meter.lower = Some((to, version));
                    let budget = name.clone();
                    let need = Need {
                        budget,
                        in_use: busy,
                        wanted: wants,
                    };
                    // The word may come late, or never: the next renewal tells it again.
                    let again = Need {
                        in_use: u64::MAX,
                        ..need.clone()
                    };
                    self.told.insert(name.clone(), again);
                    return Some((need, to, version));
                }
            }
        }
        None
    }
}
