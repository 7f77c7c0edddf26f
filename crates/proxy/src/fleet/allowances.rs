//! Parts of the fleet's budgets on their way to the module, which counts them, and what it uses on the way back. On
//! the engine's thread; without a budget that the module counts there is nothing of it.

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

/// One budget that the module counts.
struct Counted {
    def: BudgetDefinition,
    of: BudgetSubject,
    /// The newest word of the fleet, and its number.
    told: Option<(Number, Part)>,
    /// What the module was last told, and by which word.
    said: Option<(QuotaKind, Allowance, Instant)>,
    in_force: Number,
}

pub struct Allowances {
    counted: BTreeMap<Name, Counted>,
    parts: mpsc::Receiver<BudgetUpdate>,
    fleet: FleetHandle,
    engine: mpsc::Sender<EngineEvent>,
    config: ActiveConfig,
    service: Rc<OperatorService>,
    started: Instant,
    every: Duration,
    /// How long a client may wait for a larger part, if its time allows: an exchange that is not answered within the
    /// lease ends with it, and then nothing more is to be hoped for.
    longest_exchange: Duration,
}

impl Allowances {
    /// None where the module counts nothing.
    pub fn new(
        settings: &FleetSettings,
        (fleet, parts): (FleetHandle, mpsc::Receiver<BudgetUpdate>),
        engine: mpsc::Sender<EngineEvent>,
        config: ActiveConfig,
        service: Rc<OperatorService>,
    ) -> Option<Self> {
        let counted = settings.balancer_budgets.iter().filter_map(|(name, of)| {
            let def = settings
                .budgets
                .iter()
                .find(|def| def.name == *name)?
                .clone();
            let counted = Counted {
                def,
                of: of.clone(),
                told: None,
                said: None,
                in_force: 0,
            };
            Some((name.clone(), counted))
        });
        let counted: BTreeMap<Name, Counted> = counted.collect();
        (!counted.is_empty()).then(|| Self {
            counted,
            parts,
            fleet,
            engine,
            config,
            service,
            started: Instant::now(),
            every: settings.link_limits.usage_interval,
            longest_exchange: Duration::from_millis(settings.limits.lease_duration),
        })
    }

    /// Tells the module its first parts, before any request can come: floors alone.
    pub async fn send_initial(&mut self) {
        self.exchange().await;
    }

    /// Goes on for as long as the engine does.
    pub async fn run(mut self) {
        let mut ticks = interval(self.every);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                part = self.parts.recv() => match part {
                    Some(part) => self.take(part),
                    // The fleet's thread has ended: what was told runs out, and floors are left.
                    None => return self.alone(ticks).await,
                }
            }
            while let Ok(part) = self.parts.try_recv() {
                self.take(part);
            }
            if !self.exchange().await {
                return;
            }
        }
    }

    async fn alone(mut self, mut ticks: tokio::time::Interval) {
        while self.exchange().await {
            ticks.tick().await;
        }
    }

    fn take(&mut self, (name, number, part): BudgetUpdate) {
        if let Some(counted) = self.counted.get_mut(&name) {
            debug!(
                budget = name,
                number,
                ?part,
                mono_ms = boottime_ms(),
                "part"
            );
            counted.told = Some((number, part));
        }
    }

    /// Tells the module what is new and hears what it uses; whether there still is an engine.
    async fn exchange(&mut self) -> bool {
        let (elder, started) = (self.service.has_predecessor(), self.started);
        let config = self.config.get();
        let mut news = Vec::new();
        for counted in self.counted.values_mut() {
            let matter = match &counted.of {
                BudgetSubject::Retries => Some(QuotaKind::Further),
                BudgetSubject::Moves => Some(QuotaKind::Moves),
                BudgetSubject::Probes => Some(QuotaKind::Probes),
                BudgetSubject::Cold => Some(QuotaKind::Cold),
                BudgetSubject::Class(name) => config.names.class_index(name).map(QuotaKind::Class),
                BudgetSubject::Tenant(name) => {
                    config.names.tenant_index(Some(name)).map(QuotaKind::Tenant)
                }
            };
            // The settings may name it later.
            let Some(matter) = matter else {
                continue;
            };
            let (number, part) = counted.part(elder, started);
            // The moment first: a lease may seem shorter than it is, never longer.
            let (at, now) = (Instant::now(), boottime_ms());
            let until = at + Duration::from_millis(part.until.saturating_sub(now));
            let allowance = Allowance {
                units: part.units,
                lease_end: 0.0,
                units_after_lease: part.after,
                span: part.span as f64 / 1000.0,
                fleet_units: counted.def.total,
                max_wait: if part.hopeful {
                    self.longest_exchange.as_secs_f64()
                } else {
                    0.0
                },
            };
            let same = counted
                .said
                .is_some_and(|(known, said, _)| (known, said) == (matter, allowance));
            if !same || part.until > now || counted.in_force != number {
                news.push((matter, allowance, until));
                counted.said = Some((matter, allowance, until));
            }
            counted.in_force = number;
        }
        let (reply, uses) = oneshot::channel();
        if self
            .engine
            .send(EngineEvent::Allowances(news, reply))
            .await
            .is_err()
        {
            return false;
        }
        let Ok(uses) = uses.await else {
            return false;
        };
        for (name, counted) in &self.counted {
            let said = counted.said.map(|(matter, ..)| matter);
            match uses.iter().find(|of| Some(of.quota) == said) {
                Some(of) => self
                    .fleet
                    .report_usage(name, counted.in_force, of.in_use, of.denied),
                None if said.is_some() => warn!(budget = name, "the module counts nothing of it"),
                // No request can be of what the settings do not name.
                None => self.fleet.report_usage(name, counted.in_force, 0, 0),
            }
        }
        true
    }
}

impl Counted {
    /// What counts now: the fleet's word, or the floor alone. While the process before this one of an upgrade
    /// is there, the floor is that one's.
    fn part(&self, elder: bool, started: Instant) -> (Number, Part) {
        let window = self.def.window + self.def.window / 50 + 1;
        let quiet =
            self.def.kind == BudgetKind::Rate && started.elapsed() < Duration::from_millis(window);
        let floor = if quiet { 0 } else { self.def.floor };
        let alone = Part {
            units: floor,
            until: 0,
            after: floor,
            span: window,
            hopeful: false,
        };
        let (number, part) = self.told.unwrap_or((0, alone));
        match elder {
            true => {
                let units = part.units.saturating_sub(self.def.floor);
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
