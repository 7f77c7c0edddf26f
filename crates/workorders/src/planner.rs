//! What the proxy that conducts proposes next. A function of what the log has and what proxies report: a successor
//! that knows the same proposes the same.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::orders::{MachineProgress, Refusal, WorkOrders};
use crate::types::{FailureReason, Millis, Name, Number, Phase, Step};

/// What one proxy says of one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineReport {
    /// The version of the machine's place that it goes by.
    pub version: Number,
    /// Connections and attempts of its own there.
    pub clients: u64,
    /// Whether it sends nothing new there.
    pub closed: bool,
    /// Whether all servers there are up and warm, as it sees them.
    pub warm: bool,
}

/// A proxy that may serve: in the fleet, or cut off from it and not known to have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Member {
    pub live: bool,
    pub reports: BTreeMap<Name, MachineReport>,
}

/// What is known of proxies and machines, as late and wrong as it may be.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlannerInput {
    pub members: BTreeMap<Name, Member>,
    /// The time of day, in milliseconds since 1970.
    pub unix_time_ms: Millis,
    /// Machines that are lost, or closed by an operator's own word, whatever orders say.
    pub unavailable: BTreeSet<Name>,
    /// Clients at machines whose turn has not come, over all proxies; of those no single reports are needed.
    pub client_counts: BTreeMap<Name, u64>,
    /// For how long each place has had its version, as far as whoever conducts knows.
    pub version_ages: BTreeMap<Number, Millis>,
}

/// What is to be proposed, and what each machine waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlannedSteps {
    /// Order, machine, version and step.
    pub steps: Vec<(Number, Name, Number, Step)>,
    pub wait_reasons: Vec<(Name, String)>,
}

impl PlannerInput {
    /// Proxies that have not confirmed, for this version, what `confirms` asks for.
    fn lacking(
        &self,
        name: &Name,
        version: Number,
        confirms: impl Fn(&MachineReport) -> bool,
    ) -> Vec<&Name> {
        let confirmed = |member: &Member| {
            let report = member.reports.get(name);
            member.live && report.is_some_and(|r| r.version == version && confirms(r))
        };
        let lacking = self.members.iter().filter(|(_, member)| !confirmed(member));
        lacking.map(|(name, _)| name).collect()
    }

    /// Whether some proxy sends there though it has heard that it is out: an operator's word.
    fn opened(&self, name: &Name, version: Number) -> bool {
        let opens = |member: &Member| {
            let report = member.reports.get(name);
            report.is_some_and(|report| report.version == version && !report.closed)
        };
        self.members.values().any(opens)
    }

    fn clients(&self, name: &Name) -> u64 {
        if let Some(crowd) = self.client_counts.get(name) {
            return *crowd;
        }
        let of = |member: &Member| member.reports.get(name).map_or(0, |report| report.clients);
        self.members.values().map(of).sum()
    }
}

fn some(names: &[&Name]) -> String {
    let first: Vec<&str> = names.iter().take(3).map(|name| name.as_str()).collect();
    let more = names.len().saturating_sub(first.len());
    match more {
        0 => first.join(", "),
        _ => format!("{} and {more} more", first.join(", ")),
    }
}

/// The steps that may be taken now, and why the others are not.
pub fn plan_steps(orders: &WorkOrders, facts: &PlannerInput) -> PlannedSteps {
    let mut next = PlannedSteps::default();
    // What is out goes on, of every order.
    for (number, (order, places)) in orders.orders() {
        for (name, place) in places {
            let since = facts.version_ages.get(&place.version).copied().unwrap_or(0);
            let step = match &place.phase {
                Phase::Draining => leaving(
                    facts,
                    name,
                    place,
                    order.cancelled,
                    since >= order.timeouts.drain_timeout,
                ),
                Phase::Drained if order.cancelled => Ok(Step::Recall),
                Phase::Drained if facts.opened(name, place.version) => {
                    Ok(Step::Fail(FailureReason::Opened))
                }
                Phase::Drained if since >= order.timeouts.work_timeout => {
                    Ok(Step::Fail(FailureReason::NeverWorked))
                }
                Phase::Drained if !order.waits_for_done => Ok(Step::CompleteWork),
                Phase::Drained => Err("it is empty, and waits for `work done`".into()),
                Phase::Returning { .. } => {
                    returning(facts, name, place, since >= order.timeouts.return_timeout)
                }
                Phase::Failed(why) => Err(format!(
                    "it is out and failed ({why:?}): staff say what becomes of it"
                )),
                Phase::Waiting | Phase::Done | Phase::Skipped => continue,
            };
            match step {
                Ok(step) => next
                    .steps
                    .push((*number, name.clone(), place.version, step)),
                Err(why) => next.wait_reasons.push((name.clone(), why)),
            }
        }
    }
    call_back(orders, facts, &mut next);
    if let Some(number) = orders.active_order() {
        go(orders, facts, number, &mut next);
    }
    next
}

fn leaving(
    facts: &PlannerInput,
    name: &Name,
    place: &MachineProgress,
    cancelled: bool,
    late: bool,
) -> Result<Step, String> {
    if cancelled {
        return Ok(Step::Recall);
    }
    let open = facts.lacking(name, place.version, |report| report.closed);
    let full = facts.lacking(name, place.version, |report| {
        report.closed && report.clients == 0
    });
    if full.is_empty() {
        return Ok(Step::MarkDrained);
    }
    if late {
        return Ok(Step::Fail(FailureReason::NeverEmpty));
    }
    match open.is_empty() {
        true => Err(format!(
            "{} clients are still there, at {}",
            facts.clients(name),
            some(&full)
        )),
        false => Err(format!("not confirmed yet by {}", some(&open))),
    }
}

fn returning(
    facts: &PlannerInput,
    name: &Name,
    place: &MachineProgress,
    late: bool,
) -> Result<Step, String> {
    let closed = facts.lacking(name, place.version, |report| !report.closed);
    let cold = facts.lacking(name, place.version, |report| !report.closed && report.warm);
    if cold.is_empty() {
        return Ok(Step::CompleteReturn);
    }
    if late {
        return Ok(Step::Fail(FailureReason::NeverBack));
    }
    match closed.is_empty() {
        true => Err(format!("not up and warm yet, as {} see it", some(&cold))),
        false => Err(format!("not taken back yet by {}", some(&closed))),
    }
}

/// Where more is lost than bounds allow, one that is leaving is called back at a time.
fn call_back(orders: &WorkOrders, facts: &PlannerInput, next: &mut PlannedSteps) {
    let out = orders.machines_out();
    let lost: Vec<&Name> = facts
        .unavailable
        .iter()
        .filter(|name| !out.contains_key(name))
        .collect();
    if lost.is_empty() {
        return;
    }
    // As if it asked to go now, beside all others that are out.
    let short = |number: Number, name: &Name| {
        orders
            .with_machine_in(name)
            .check_take_out(number, name, &facts.unavailable)
            .is_err()
    };
    let leaving = out.iter().filter(|(name, (number, place))| {
        let goes_on = next
            .steps
            .iter()
            .any(|(_, stepping, ..)| stepping == **name);
        place.phase == Phase::Draining && !goes_on && short(*number, name)
    });
    // The one that is farthest from empty; another, if that is not enough, once it is back.
    let first = leaving.max_by_key(|(name, _)| (facts.clients(name), **name));
    if let Some((name, (number, place))) = first {
        next.steps
            .push((*number, (*name).clone(), place.version, Step::Recall));
    }
}

/// The emptiest that may go, one at a time: the next is weighed with this one out.
fn go(orders: &WorkOrders, facts: &PlannerInput, number: Number, next: &mut PlannedSteps) {
    let (order, places) = &orders.orders()[&number];
    let waiting = places
        .iter()
        .filter(|(_, place)| place.phase == Phase::Waiting);
    let mut waiting: Vec<(&Name, &MachineProgress)> = waiting.collect();
    // Where a proxy is, its clients come back all at once: such machines go last.
    let proxy = |name: &Name| {
        orders
            .machines()
            .get(name)
            .is_some_and(|m| m.proxy.is_some())
    };
    waiting.sort_by_key(|(name, _)| (proxy(name), facts.clients(name), (*name).clone()));
    let mut gone = None;
    for (name, place) in waiting {
        let refused = match (facts.unavailable.contains(name), gone) {
            _ if facts.unix_time_ms < order.not_before => Err("its time has not come".to_string()),
            (true, _) => Err("it is lost, or closed by an operator".to_string()),
            (false, Some(first)) => Err(format!("{first} goes first")),
            (false, None) => orders
                .check_take_out(number, name, &facts.unavailable)
                .map_err(|why: Refusal| why.to_string()),
        };
        match refused {
            Ok(()) => {
                gone = Some(name);
                next.steps
                    .push((number, name.clone(), place.version, Step::TakeOut));
            }
            Err(why) => next.wait_reasons.push((name.clone(), why)),
        }
    }
}
