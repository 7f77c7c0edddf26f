//! Budgets of the whole fleet in the model: the division, meters and shares that proxies use, and in place of the log
//! and its links an exchange with all of them every so often. What one exchange asks for, the next has.

use std::collections::{BTreeMap, BTreeSet};

use violetwind_balancer::api::{Allowance, QuotaKind, QuotaUsage, Seconds};
use violetwind_fleet::budget::{
    BudgetDefinition, BudgetKind, BudgetShares, Meters, Part, ShareAllocator,
};
use violetwind_fleet::{Limits, Name, Number, SessionId};

use crate::scenario::{Budget, Scenario};

/// A lease that does not end: nobody is cut off from this fleet.
const FOR_EVER: u64 = 1 << 40;

struct Member {
    session: SessionId,
    process: Number,
    meters: Meters,
    /// The number of the word that is in force, by budget.
    words: BTreeMap<Name, Number>,
    /// The shares that it knows, and how often they have changed.
    version: Number,
    known: Vec<(Name, violetwind_fleet::budget::Share)>,
}

pub struct BudgetModel {
    divided: Vec<(Budget, BudgetDefinition)>,
    limits: Limits,
    shares: BTreeMap<Name, BudgetShares>,
    divider: ShareAllocator,
    members: Vec<Member>,
    next: Number,
    /// When what sessions left behind may be given again.
    due: Vec<(u64, Name, Number)>,
}

/// What a proxy is told, by its number.
pub type AllowanceUpdate = (usize, QuotaKind, Allowance);

fn ms(secs: Seconds) -> u64 {
    (secs * 1e3) as u64
}

impl BudgetModel {
    pub fn new(set: &Scenario) -> Self {
        let members = set.proxies as u64;
        let def = |budget: &Budget| BudgetDefinition {
            name: format!("{:?}", budget.quota_kind),
            kind: BudgetKind::Rate,
            total: budget.total,
            floor: budget.floor,
            window: ms(budget.window),
            max_members: members,
            version: 1,
        };
        let divided = set.budgets.iter().filter(|budget| budget.divided_by_need);
        let divided: Vec<_> = divided
            .map(|budget| (budget.clone(), def(budget)))
            .collect();
        let shares = divided
            .iter()
            .map(|(_, def)| (def.name.clone(), BudgetShares::new(def.clone())));
        let mut budgets = Self {
            shares: shares.collect(),
            divided,
            limits: Limits::default(),
            divider: ShareAllocator::default(),
            members: Vec::new(),
            next: 0,
            due: Vec::new(),
        };
        for _ in 0..set.proxies {
            let member = budgets.member(0.0);
            budgets.members.push(member);
        }
        budgets
    }

    /// What proxies have from their start, before any exchange: fixed parts that sum to the whole, or floors.
    pub fn initial_allowances(&self, set: &Scenario, proxy: usize) -> Vec<(QuotaKind, Allowance)> {
        let fixed = |budget: &Budget| {
            let (whole, proxies) = (budget.total, set.proxies as u64);
            let units = match budget.divided_by_need {
                true => 0,
                false => whole / proxies + u64::from((proxy as u64) < whole % proxies),
            };
            let allowance = Allowance {
                units,
                lease_end: f64::INFINITY,
                units_after_lease: units,
                span: budget.window,
                fleet_units: whole,
                max_wait: 0.0,
            };
            (budget.quota_kind, allowance)
        };
        // Cold servers have the module's own division where no other is asked for.
        let counted = set
            .budgets
            .iter()
            .filter(|b| b.divided_by_need || b.quota_kind != QuotaKind::Cold);
        counted.map(fixed).collect()
    }

    pub fn is_empty(&self) -> bool {
        self.divided.is_empty()
    }

    fn member(&mut self, now: Seconds) -> Member {
        self.next += 1;
        let defs: Vec<BudgetDefinition> = self.divided.iter().map(|(_, def)| def.clone()).collect();
        let outside: BTreeSet<Name> = defs.iter().map(|def| def.name.clone()).collect();
        Member {
            session: self.next,
            process: self.next,
            meters: Meters::new(&defs, &outside, ms(now), &self.limits),
            words: BTreeMap::new(),
            version: 0,
            known: Vec::new(),
        }
    }

    /// A proxy's process is gone: what it had stays aside for a window.
    pub fn handle_proxy_restart(&mut self, now: Seconds, proxy: usize) {
        if self.is_empty() {
            return;
        }
        let fresh = self.member(now);
        let old = std::mem::replace(&mut self.members[proxy], fresh);
        for (_, def) in &self.divided {
            let shares = self.shares.get_mut(&def.name).expect("made for each");
            self.next += 1;
            shares.strand_share(
                old.session,
                (&proxy.to_string(), old.process),
                None,
                self.next,
            );
            let window =
                def.window + 2 * (def.window * self.limits.max_clock_drift_permille).div_ceil(1000);
            self.due
                .push((ms(now) + window + 1, def.name.clone(), self.next));
            self.divider.mark_changed(&def.name);
        }
        let sessions: BTreeSet<SessionId> = self.members.iter().map(|m| m.session).collect();
        self.divider
            .retain_sessions(|session| sessions.contains(&session));
    }

    /// All tell what they use and need, and are told their parts.
    pub fn run_exchange(
        &mut self,
        now: Seconds,
        mut uses: impl FnMut(usize) -> Vec<QuotaUsage>,
    ) -> Vec<AllowanceUpdate> {
        let (at, limits) = (ms(now), self.limits.clone());
        let due = self.due.extract_if(.., |(due, ..)| *due <= at);
        for (_, name, number) in due.collect::<Vec<_>>() {
            if let Some(shares) = self.shares.get_mut(&name) {
                shares.release_stranded(number);
                self.divider.mark_changed(&name);
            }
        }
        for (proxy, member) in self.members.iter_mut().enumerate() {
            for used in uses(proxy) {
                let of = self
                    .divided
                    .iter()
                    .find(|(budget, _)| budget.quota_kind == used.quota);
                if let Some((_, def)) = of {
                    let word = member.words.get(&def.name).copied().unwrap_or(0);
                    member.meters.record_external_usage(
                        &def.name,
                        word,
                        used.in_use,
                        used.denied,
                        at,
                    );
                }
            }
            let needs = member.meters.next_needs(at, 1, &limits);
            self.divider.update_needs(member.session, &needs);
            while let Some((need, to, version)) =
                member.meters.next_share_to_lower(at, &limits, |_| false)
            {
                let (session, name) = (member.session, need.budget.clone());
                self.divider.update_needs(session, &[need]);
                let shares = self.shares.get_mut(&name).expect("made for each");
                if shares.lower_share(member.session, to, version) {
                    self.divider.mark_changed(&name);
                }
                member
                    .meters
                    .update_share(&name, shares.share(member.session));
            }
        }
        let (raises, _) = self.divider.allocate(&self.shares, |_| 1);
        for (name, session, units, version) in raises {
            let shares = self.shares.get_mut(&name).expect("made for each");
            shares.raise_share(session, units, version);
        }
        let mut told = Vec::new();
        for (proxy, member) in self.members.iter_mut().enumerate() {
            let mine = self
                .shares
                .iter()
                .map(|(name, s)| (name.clone(), s.share(member.session)));
            let mine: Vec<_> = mine.collect();
            if mine != member.known {
                member.version += 1;
                member.meters.set_shares(member.version, &mine);
                member.known = mine;
            }
            member
                .meters
                .set_lower_targets(&self.divider.lower_targets(member.session));
            for (name, word, part) in member.meters.changed_parts(at, FOR_EVER, &limits) {
                let of = self.divided.iter().find(|(_, def)| def.name == name);
                let Some((budget, _)) = of else { continue };
                member.words.insert(name, word);
                told.push((proxy, budget.quota_kind, allowance(budget, part)));
            }
        }
        told
    }
}

fn allowance(budget: &Budget, part: Part) -> Allowance {
    Allowance {
        units: part.units,
        lease_end: if part.until > 0 { f64::INFINITY } else { 0.0 },
        units_after_lease: part.after,
        span: part.span as f64 / 1e3,
        fleet_units: budget.total,
        // Nothing that a client would wait for is a budget here.
        max_wait: 0.0,
    }
}
