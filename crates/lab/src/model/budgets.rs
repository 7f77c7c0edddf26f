//! Fleet-wide budgets in the simulation. Allocator, meters and shares are those that proxies use. A periodic exchange
//! with all proxies replaces the replicated log and its links: a need reported in one exchange is met in the next.

use std::collections::{BTreeMap, BTreeSet};

use violetwind_balancer::api::{Allowance, QuotaKind, QuotaUsage, Seconds};
use violetwind_fleet::budget::{
    BudgetDefinition, BudgetKind, BudgetShares, Meters, Part, ShareAllocator,
};
use violetwind_fleet::{Limits, Name, Number, SessionId};

use crate::scenario::{Budget, Scenario};

/// End in milliseconds of a lease that never ends, because no proxy is cut off from the simulated fleet.
const NEVER_ENDING_LEASE: u64 = 1 << 40;

/// Budget state of one proxy process.
struct Member {
    session: SessionId,
    process: Number,
    meters: Meters,
    /// Number of the part in force, by budget.
    part_numbers: BTreeMap<Name, Number>,
    /// Number of changes of `sent_shares` so far.
    version: Number,
    /// Shares that were last sent to the proxy.
    sent_shares: Vec<(Name, violetwind_fleet::budget::Share)>,
}

/// Budgets of the simulated fleet that are divided by need.
pub struct BudgetModel {
    divided: Vec<(Budget, BudgetDefinition)>,
    limits: Limits,
    shares: BTreeMap<Name, BudgetShares>,
    allocator: ShareAllocator,
    members: Vec<Member>,
    last_number: Number,
    /// Time in milliseconds at which the stranded share of an ended session is released, its budget and its number.
    releases: Vec<(u64, Name, Number)>,
}

/// New allowance of a proxy, given by the proxy's index.
pub type AllowanceUpdate = (usize, QuotaKind, Allowance);

fn ms(seconds: Seconds) -> u64 {
    (seconds * 1e3) as u64
}

impl BudgetModel {
    /// Creates the shares of the scenario's budgets and a member for each proxy.
    pub fn new(scenario: &Scenario) -> Self {
        let members = scenario.proxies as u64;
        let definition = |budget: &Budget| BudgetDefinition {
            name: format!("{:?}", budget.quota_kind),
            kind: BudgetKind::Rate,
            total: budget.total,
            floor: budget.floor,
            window: ms(budget.window),
            max_members: members,
            version: 1,
        };
        let divided = scenario
            .budgets
            .iter()
            .filter(|budget| budget.divided_by_need);
        let divided: Vec<_> = divided
            .map(|budget| (budget.clone(), definition(budget)))
            .collect();
        let shares = divided.iter().map(|(_, definition)| {
            (
                definition.name.clone(),
                BudgetShares::new(definition.clone()),
            )
        });
        let mut budgets = Self {
            shares: shares.collect(),
            divided,
            limits: Limits::default(),
            allocator: ShareAllocator::default(),
            members: Vec::new(),
            last_number: 0,
            releases: Vec::new(),
        };
        for _ in 0..scenario.proxies {
            let member = budgets.new_member(0.0);
            budgets.members.push(member);
        }
        budgets
    }

    /// Allowances of a proxy at its start, before any exchange: a fixed part (the parts of all proxies sum to the
    /// total), or none of a budget that is divided by need.
    pub fn initial_allowances(
        &self,
        scenario: &Scenario,
        proxy: usize,
    ) -> Vec<(QuotaKind, Allowance)> {
        let initial_allowance = |budget: &Budget| {
            let (total, proxies) = (budget.total, scenario.proxies as u64);
            let units = match budget.divided_by_need {
                true => 0,
                false => total / proxies + u64::from((proxy as u64) < total % proxies),
            };
            let allowance = Allowance {
                units,
                lease_end: f64::INFINITY,
                units_after_lease: units,
                span: budget.window,
                fleet_units: total,
                max_wait: 0.0,
            };
            (budget.quota_kind, allowance)
        };
        // The limit on cold servers is divided by the balancer itself unless the scenario divides it by need.
        let budgets = scenario
            .budgets
            .iter()
            .filter(|b| b.divided_by_need || b.quota_kind != QuotaKind::Cold);
        budgets.map(initial_allowance).collect()
    }

    /// Whether no budget is divided by need.
    pub fn is_empty(&self) -> bool {
        self.divided.is_empty()
    }

    fn new_member(&mut self, now: Seconds) -> Member {
        self.last_number += 1;
        let definitions: Vec<BudgetDefinition> = self
            .divided
            .iter()
            .map(|(_, definition)| definition.clone())
            .collect();
        let external: BTreeSet<Name> = definitions
            .iter()
            .map(|definition| definition.name.clone())
            .collect();
        Member {
            session: self.last_number,
            process: self.last_number,
            meters: Meters::new(&definitions, &external, ms(now), &self.limits),
            part_numbers: BTreeMap::new(),
            version: 0,
            sent_shares: Vec::new(),
        }
    }

    /// Replaces the member of a restarted proxy. The share of the old process stays stranded for a window, lengthened
    /// by the possible clock drift.
    pub fn handle_proxy_restart(&mut self, now: Seconds, proxy: usize) {
        if self.is_empty() {
            return;
        }
        let new_member = self.new_member(now);
        let old_member = std::mem::replace(&mut self.members[proxy], new_member);
        for (_, definition) in &self.divided {
            let shares = self
                .shares
                .get_mut(&definition.name)
                .expect("new() creates shares for each budget");
            self.last_number += 1;
            shares.strand_share(
                old_member.session,
                (&proxy.to_string(), old_member.process),
                None,
                self.last_number,
            );
            let window = definition.window
                + 2 * (definition.window * self.limits.max_clock_drift_permille).div_ceil(1000);
            self.releases.push((
                ms(now) + window + 1,
                definition.name.clone(),
                self.last_number,
            ));
            self.allocator.mark_changed(&definition.name);
        }
        let sessions: BTreeSet<SessionId> = self.members.iter().map(|m| m.session).collect();
        self.allocator
            .retain_sessions(|session| sessions.contains(&session));
    }

    /// Collects usage and needs of all proxies, reallocates the shares, and returns the changed allowances.
    pub fn run_exchange(
        &mut self,
        now: Seconds,
        mut usage_of: impl FnMut(usize) -> Vec<QuotaUsage>,
    ) -> Vec<AllowanceUpdate> {
        let (at, limits) = (ms(now), self.limits.clone());
        let releases = self
            .releases
            .extract_if(.., |(release_at, ..)| *release_at <= at);
        for (_, name, number) in releases.collect::<Vec<_>>() {
            if let Some(shares) = self.shares.get_mut(&name) {
                shares.release_stranded(number);
                self.allocator.mark_changed(&name);
            }
        }
        for (proxy, member) in self.members.iter_mut().enumerate() {
            for usage in usage_of(proxy) {
                let divided = self
                    .divided
                    .iter()
                    .find(|(budget, _)| budget.quota_kind == usage.quota);
                if let Some((_, definition)) = divided {
                    let part_number = member
                        .part_numbers
                        .get(&definition.name)
                        .copied()
                        .unwrap_or(0);
                    member.meters.record_external_usage(
                        &definition.name,
                        part_number,
                        usage.in_use,
                        usage.denied,
                        at,
                    );
                }
            }
            let needs = member.meters.next_needs(at, 1, &limits);
            self.allocator.update_needs(member.session, &needs);
            while let Some((need, target, version)) =
                member.meters.next_share_to_lower(at, &limits, |_| false)
            {
                let (session, name) = (member.session, need.budget.clone());
                self.allocator.update_needs(session, &[need]);
                let shares = self
                    .shares
                    .get_mut(&name)
                    .expect("new() creates shares for each budget");
                if shares.lower_share(member.session, target, version) {
                    self.allocator.mark_changed(&name);
                }
                member
                    .meters
                    .update_share(&name, shares.share(member.session));
            }
        }
        let (raises, _) = self.allocator.allocate(&self.shares, |_| 1);
        for (name, session, units, version) in raises {
            let shares = self
                .shares
                .get_mut(&name)
                .expect("new() creates shares for each budget");
            shares.raise_share(session, units, version);
        }
        let mut updates = Vec::new();
        for (proxy, member) in self.members.iter_mut().enumerate() {
            let own_shares = self
                .shares
                .iter()
                .map(|(name, s)| (name.clone(), s.share(member.session)));
            let own_shares: Vec<_> = own_shares.collect();
            if own_shares != member.sent_shares {
                member.version += 1;
                member.meters.set_shares(member.version, &own_shares);
                member.sent_shares = own_shares;
            }
            member
                .meters
                .set_lower_targets(&self.allocator.lower_targets(member.session));
            for (name, part_number, part) in
                member.meters.changed_parts(at, NEVER_ENDING_LEASE, &limits)
            {
                let divided = self
                    .divided
                    .iter()
                    .find(|(_, definition)| definition.name == name);
                let Some((budget, _)) = divided else { continue };
                member.part_numbers.insert(name, part_number);
                updates.push((proxy, budget.quota_kind, allowance(budget, part)));
            }
        }
        updates
    }
}

fn allowance(budget: &Budget, part: Part) -> Allowance {
    Allowance {
        units: part.units,
        lease_end: if part.until > 0 { f64::INFINITY } else { 0.0 },
        units_after_lease: part.after,
        span: part.span as f64 / 1e3,
        fleet_units: budget.total,
        // No request waits for a budget in the simulation.
        max_wait: 0.0,
    }
}
