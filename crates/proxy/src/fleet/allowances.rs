//! Passes parts of the fleet's budgets to the balancer, which counts their use, and reports the use to the fleet. Runs
//! on the engine's thread, and only if there are budgets that the balancer counts.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, MissedTickBehavior, interval};
use tracing::{debug, warn};
use violetwind_balancer::api::{Allowance, QuotaKind};
use violetwind_engine::EngineEvent;
use violetwind_fleet::budget::{BudgetDefinition, BudgetKind, Part};
use violetwind_fleet::{Name, Number};

use super::settings::{BudgetSubject, FleetSettings};
use super::{BudgetUpdate, FleetHandle, boottime_ms};
use crate::config::ActiveConfig;
use crate::operator_service::OperatorService;

/// A budget that the balancer counts.
struct CountedBudget {
    definition: BudgetDefinition,
    subject: BudgetSubject,
    /// The latest part from the fleet, and its number.
    latest_part: Option<(Number, Part)>,
    /// The allowance last sent to the balancer, with its quota and the end of its lease.
    last_sent: Option<(QuotaKind, Allowance, Instant)>,
    /// The number of the part that the balancer's allowance is based on.
    part_number_in_force: Number,
}

/// The exchange of allowances and usage with the balancer.
pub struct Allowances {
    budgets: BTreeMap<Name, CountedBudget>,
    updates: mpsc::Receiver<BudgetUpdate>,
    fleet: FleetHandle,
    engine: mpsc::Sender<EngineEvent>,
    config: ActiveConfig,
    service: Rc<OperatorService>,
    started: Instant,
    exchange_interval: Duration,
    /// How long a request may wait for a larger part, if its deadline allows: an exchange that is not answered within
    /// the lease ends with the lease, and a longer wait would be futile.
    max_exchange_time: Duration,
}

impl Allowances {
    /// Returns `None` if the balancer counts no budget.
    pub fn new(
        settings: &FleetSettings,
        (fleet, updates): (FleetHandle, mpsc::Receiver<BudgetUpdate>),
        engine: mpsc::Sender<EngineEvent>,
        config: ActiveConfig,
        service: Rc<OperatorService>,
    ) -> Option<Self> {
        let budgets = settings
            .balancer_budgets
            .iter()
            .filter_map(|(name, subject)| {
                let definition = settings
                    .budgets
                    .iter()
                    .find(|definition| definition.name == *name)?
                    .clone();
                let budget = CountedBudget {
                    definition,
                    subject: subject.clone(),
                    latest_part: None,
                    last_sent: None,
                    part_number_in_force: 0,
                };
                Some((name.clone(), budget))
            });
        let budgets: BTreeMap<Name, CountedBudget> = budgets.collect();
        (!budgets.is_empty()).then(|| Self {
            budgets,
            updates,
            fleet,
            engine,
            config,
            service,
            started: Instant::now(),
            exchange_interval: settings.link_limits.usage_interval,
            max_exchange_time: Duration::from_millis(settings.limits.lease_duration),
        })
    }

    /// Sends the initial allowances, the floors alone, before the first request.
    pub async fn send_initial(&mut self) {
        self.exchange_with_balancer().await;
    }

    /// Runs until the engine ends.
    pub async fn run(mut self) {
        let mut ticks = interval(self.exchange_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                update = self.updates.recv() => match update {
                    Some(update) => self.record_update(update),
                    // The fleet's thread has ended: the parts expire with their leases, and the floors remain.
                    None => return self.run_without_fleet(ticks).await,
                }
            }
            while let Ok(update) = self.updates.try_recv() {
                self.record_update(update);
            }
            if !self.exchange_with_balancer().await {
                return;
            }
        }
    }

    /// Continues the exchange without further parts, until the engine ends.
    async fn run_without_fleet(mut self, mut ticks: tokio::time::Interval) {
        while self.exchange_with_balancer().await {
            ticks.tick().await;
        }
    }

    fn record_update(&mut self, (name, number, part): BudgetUpdate) {
        if let Some(budget) = self.budgets.get_mut(&name) {
            debug!(
                budget = name,
                number,
                ?part,
                mono_ms = boottime_ms(),
                "budget part received"
            );
            budget.latest_part = Some((number, part));
        }
    }

    /// Sends changed allowances to the balancer and reports its usage to the fleet. Returns `false` once the engine has
    /// ended.
    async fn exchange_with_balancer(&mut self) -> bool {
        let (has_predecessor, started) = (self.service.has_predecessor(), self.started);
        let config = self.config.get();
        let mut changes = Vec::new();
        for budget in self.budgets.values_mut() {
            let quota = match &budget.subject {
                BudgetSubject::Retries => Some(QuotaKind::Further),
                BudgetSubject::Moves => Some(QuotaKind::Moves),
                BudgetSubject::Probes => Some(QuotaKind::Probes),
                BudgetSubject::Cold => Some(QuotaKind::Cold),
                BudgetSubject::Class(name) => config.names.class_index(name).map(QuotaKind::Class),
                BudgetSubject::Tenant(name) => {
                    config.names.tenant_index(Some(name)).map(QuotaKind::Tenant)
                }
            };
            // The class or tenant may be added by a later reload of the settings.
            let Some(quota) = quota else {
                continue;
            };
            let (number, part) = budget.effective_part(has_predecessor, started);
            // The instant is taken first: a lease may appear shorter than it is, never longer.
            let (instant, now_ms) = (Instant::now(), boottime_ms());
            let until = instant + Duration::from_millis(part.until.saturating_sub(now_ms));
            let allowance = Allowance {
                units: part.units,
                lease_end: 0.0,
                units_after_lease: part.after,
                span: part.span as f64 / 1000.0,
                fleet_units: budget.definition.total,
                max_wait: if part.hopeful {
                    self.max_exchange_time.as_secs_f64()
                } else {
                    0.0
                },
            };
            let is_unchanged = budget
                .last_sent
                .is_some_and(|(sent_quota, sent_allowance, _)| {
                    (sent_quota, sent_allowance) == (quota, allowance)
                });
            if !is_unchanged || part.until > now_ms || budget.part_number_in_force != number {
                changes.push((quota, allowance, until));
                budget.last_sent = Some((quota, allowance, until));
            }
            budget.part_number_in_force = number;
        }
        let (reply, usages) = oneshot::channel();
        if self
            .engine
            .send(EngineEvent::Allowances(changes, reply))
            .await
            .is_err()
        {
            return false;
        }
        let Ok(usages) = usages.await else {
            return false;
        };
        for (name, budget) in &self.budgets {
            let sent_quota = budget.last_sent.map(|(quota, ..)| quota);
            match usages.iter().find(|usage| Some(usage.quota) == sent_quota) {
                Some(usage) => self.fleet.report_usage(
                    name,
                    budget.part_number_in_force,
                    usage.in_use,
                    usage.denied,
                ),
                None if sent_quota.is_some() => {
                    warn!(budget = name, "the balancer does not count this budget")
                }
                // The settings name no such class or tenant, so no request can use the budget.
                None => self
                    .fleet
                    .report_usage(name, budget.part_number_in_force, 0, 0),
            }
        }
        true
    }
}

impl CountedBudget {
    /// Returns the part in force and its number: the fleet's latest part, or the floor alone. During an upgrade, while
    /// the predecessor process still runs, the floor belongs to the predecessor. Without a part from the fleet, the
    /// floor of a rate budget is 0 during the first window after the start.
    fn effective_part(&self, has_predecessor: bool, started: Instant) -> (Number, Part) {
        let window = self.definition.window + self.definition.window / 50 + 1;
        let is_first_window = self.definition.kind == BudgetKind::Rate
            && started.elapsed() < Duration::from_millis(window);
        let floor = if is_first_window {
            0
        } else {
            self.definition.floor
        };
        let floor_only = Part {
            units: floor,
            until: 0,
            after: floor,
            span: window,
            hopeful: false,
        };
        let (number, part) = self.latest_part.unwrap_or((0, floor_only));
        match has_predecessor {
            true => {
                let units = part.units.saturating_sub(self.definition.floor);
                (
                    number,
                    Part {
                        units,
                        after: 0,
                        ..part
                    },
                )
            }
            false => (number, part),
        }
    }
}
