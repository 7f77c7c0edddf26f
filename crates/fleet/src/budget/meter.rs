//! What one member uses of each budget, and what it may. All times are its own.

use std::collections::{BTreeMap, VecDeque};

use violetwind_consensus::Millis;

use super::{Def, Kind, Need, Share};
use crate::limits::Limits;
use crate::words::Name;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
    Yes,
    /// The budget has none left here; worth asking again after so long.
    No {
        again: Millis,
    },
    Unknown,
}

#[derive(Clone, Debug)]
struct Meter {
    def: Def,
    /// From then on the floor may be used: what a process before this one used of a rate is forgotten.
    floor_from: Millis,
    share: Share,
    /// Asked to go down to, and the version that this stands on.
    lower: Option<(u64, u64)>,
    held: u64,
    used: VecDeque<Millis>,
    denied: VecDeque<Millis>,
}

impl Meter {
    /// A rate's window by this member's clock, which may run fast.
    fn window(&self, limits: &Limits) -> Millis {
        self.def.window + (self.def.window * limits.drift_permille).div_ceil(1000) + 1
    }

    fn forget(&mut self, now: Millis, limits: &Limits) {
        let window = self.window(limits);
        while self.used.front().is_some_and(|at| now >= *at + window) {
            self.used.pop_front();
        }
        let span = match self.def.kind {
            Kind::Held => 2 * limits.renew,
            Kind::Rate => window,
        };
        while self.denied.front().is_some_and(|at| now >= *at + span) {
            self.denied.pop_front();
        }
    }

    fn busy(&self) -> u64 {
        match self.def.kind {
            Kind::Held => self.held,
            Kind::Rate => self.used.len() as u64,
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

    fn allowed(&self, now: Millis, leased: bool) -> u64 {
        let share = match self.lower {
            Some((to, version)) if version == self.share.version => self.share.units.min(to),
            _ => self.share.units,
        };
        self.floor(now) + if leased { share } else { 0 }
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
    pub fn new(defs: &[Def], begun: Millis, limits: &Limits) -> Self {
        let meter = |def: &Def| {
            let mut meter = Meter {
                def: def.clone(),
                floor_from: begun,
                share: Share::default(),
                lower: None,
                held: 0,
                used: VecDeque::new(),
                denied: VecDeque::new(),
            };
            if def.kind == Kind::Rate {
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
    pub fn take(&mut self, budget: &str, now: Millis, leased: bool, limits: &Limits) -> Taken {
        let Some(meter) = self.meters.get_mut(budget) else {
            return Taken::Unknown;
        };
        meter.forget(now, limits);
        if meter.busy() < meter.allowed(now, leased) {
            match meter.def.kind {
                Kind::Held => meter.held += 1,
                Kind::Rate => meter.used.push_back(now),
            }
            return Taken::Yes;
        }
        if (meter.denied.len() as u64) < meter.def.whole {
            meter.denied.push_back(now);
        }
        let window = meter.window(limits);
        let again = match (meter.def.kind, meter.used.front()) {
            (Kind::Rate, Some(first)) => (first + window).saturating_sub(now).min(limits.renew),
            _ => limits.renew,
        };
        Taken::No {
            again: again.max(1),
        }
    }

    /// A held unit is not in use any more.
    pub fn give(&mut self, budget: &str) {
        if let Some(meter) = self.meters.get_mut(budget) {
            meter.held = meter.held.saturating_sub(1);
        }
    }

    /// In use now, and allowed now.
    pub fn shown(
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
    pub fn pressed(&self) -> bool {
        self.meters.iter().any(|(name, meter)| {
            let told = self.told.get(name).map_or(0, |told| told.wants);
            !meter.denied.is_empty() && told <= meter.share.units
        })
    }

    /// What is in use beyond floors, for a session that begins or ends.
    pub fn uses(&mut self, now: Millis, limits: &Limits) -> Vec<(Name, u64)> {
        let each = self.meters.iter_mut().map(|(name, meter)| {
            meter.forget(now, limits);
            (name.clone(), meter.beyond(now))
        });
        each.filter(|(_, beyond)| *beyond > 0).collect()
    }

    /// What the leader of `term` does not know yet, some of it at a time.
    pub fn needs(&mut self, now: Millis, term: u64, limits: &Limits) -> Vec<Need> {
        if term != self.told_term {
            self.told.clear();
            self.told_term = term;
        }
        let mut needs = Vec::new();
        for (name, meter) in &mut self.meters {
            meter.forget(now, limits);
            let busy = meter.beyond(now);
            let denied = meter.denied.len() as u64;
            // A little more than is used, so that the next one need not wait; less again only when it is far off.
            let active = meter.busy() > meter.floor(now) / 2 || denied > 0;
            let ahead = if active { 1 + busy / 8 } else { 0 };
            let wants = (busy + denied + ahead).min(meter.def.pool());
            let need = Need {
                budget: name.clone(),
                busy,
                wants,
            };
            let known = self.told.get(name);
            let told = known.map_or(0, |known| known.wants);
            let near = wants <= told && told - wants <= told / 4 && (wants > 0 || told == 0);
            if known.is_some_and(|_| near) || (known.is_none() && wants == 0 && busy == 0) {
                continue;
            }
            self.told.insert(name.clone(), need.clone());
            needs.push(need);
            if needs.len() >= limits.needs {
                break;
            }
        }
        needs
    }

    pub fn have(&self) -> u64 {
        self.have
    }

    /// Shares as the log has them for this session.
    pub fn shares(&mut self, version: u64, shares: &[(Name, Share)]) {
        if version < self.have {
            return;
        }
        self.have = version;
        for (name, meter) in &mut self.meters {
            let told = shares.iter().find(|(budget, _)| budget == name);
            meter.share = told.map(|(_, share)| *share).unwrap_or_default();
        }
    }

    /// The session is over: only floors are left.
    pub fn lapse(&mut self) {
        self.have = 0;
        self.told.clear();
        for meter in self.meters.values_mut() {
            (meter.share, meter.lower) = (Share::default(), None);
        }
    }

    /// Asked to lower shares: from now on no more than that is used.
    pub fn lower(&mut self, targets: &[(Name, u64)]) {
        for (name, to) in targets {
            if let Some(meter) = self.meters.get_mut(name) {
                // A word that it uses no more than so much may be on its way: never back up upon one version.
                let version = meter.share.version;
                let to = match meter.lower {
                    Some((known, same)) if same == version => known.min(*to),
                    _ => *to,
                };
                meter.lower = Some((to, version));
            }
        }
    }

    /// What can be lowered now: down to the target, or to what is in use; with the version that it stands on.
    pub fn lowered(&mut self, now: Millis, limits: &Limits) -> Option<(Name, u64, u64)> {
        for (name, meter) in &mut self.meters {
            meter.forget(now, limits);
            if let Some((to, version)) = meter.lower
                && version == meter.share.version
            {
                let to = to.max(meter.beyond(now));
                if to < meter.share.units {
                    // Nothing beyond it is used from here on, whatever becomes of the word.
                    meter.lower = Some((to, version));
                    return Some((name.clone(), to, version));
                }
            }
        }
        None
    }
}
