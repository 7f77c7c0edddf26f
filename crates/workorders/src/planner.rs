//! The planner of the coordinating proxy. It is a pure function of the replicated state and the reports of the proxies:
//! a new coordinator with the same input proposes the same steps.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::orders::{MachineProgress, Refusal, WorkOrders};
use crate::types::{FailureReason, Millis, Name, Number, Phase, Step};

/// The report of one proxy about one machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineReport {
    /// The version of the machine's progress that the proxy has applied.
    pub version: Number,
    /// The proxy's own connections and connection attempts there.
    pub clients: u64,
    /// Whether the proxy sends no new connections there.
    pub closed: bool,
    /// Whether all servers there are up and warm according to this proxy.
    pub warm: bool,
}

/// A proxy that may serve clients: connected to the fleet, or cut off from it and not known to have ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// Whether the proxy has a session and has reported.
    pub live: bool,
    pub reports: BTreeMap<Name, MachineReport>,
}

/// The coordinator's information about proxies and machines. It may be outdated or wrong; the replicated state checks
/// each step again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlannerInput {
    pub members: BTreeMap<Name, Member>,
    /// The time of day, in milliseconds since 1970.
    pub unix_time_ms: Millis,
    /// Machines that are lost, or that an operator has closed at a proxy, whatever the orders say.
    pub unavailable: BTreeSet<Name>,
    /// Clients at each machine that has not been taken out, summed over all proxies; for those machines the individual
    /// reports are not needed.
    pub client_counts: BTreeMap<Name, u64>,
    /// How long each version of a machine's progress has existed, in milliseconds, according to the coordinator.
    pub version_ages: BTreeMap<Number, Millis>,
}

/// The steps to propose, and the reasons why other machines wait.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlannedSteps {
    /// Order, machine, version of its progress, and step.
    pub steps: Vec<(Number, Name, Number, Step)>,
    /// Machine and reason, as shown to operators.
    pub wait_reasons: Vec<(Name, String)>,
}

impl PlannerInput {
    /// Proxies without a report on this version for which `confirms` is true. A proxy without a session can't
    /// confirm.
    fn unconfirmed_members(
        &self,
        name: &Name,
        version: Number,
        confirms: impl Fn(&MachineReport) -> bool,
    ) -> Vec<&Name> {
        let has_confirmed = |member: &Member| {
            let report = member.reports.get(name);
            member.live
                && report.is_some_and(|report| report.version == version && confirms(report))
        };
        let unconfirmed = self
            .members
            .iter()
            .filter(|(_, member)| !has_confirmed(member));
        unconfirmed.map(|(name, _)| name).collect()
    }

    /// Whether some proxy that has applied this version uses the machine nevertheless, because an operator has opened
    /// it there.
    fn is_opened_by_operator(&self, name: &Name, version: Number) -> bool {
        let is_opened_at = |member: &Member| {
            let report = member.reports.get(name);
            report.is_some_and(|report| report.version == version && !report.closed)
        };
        self.members.values().any(is_opened_at)
    }

    /// Clients at a machine, summed over all proxies.
    fn client_count(&self, name: &Name) -> u64 {
        if let Some(count) = self.client_counts.get(name) {
            return *count;
        }
        let clients_at =
            |member: &Member| member.reports.get(name).map_or(0, |report| report.clients);
        self.members.values().map(clients_at).sum()
    }
}

/// The first three names, and the number of the others.
fn format_names(names: &[&Name]) -> String {
    let shown: Vec<&str> = names.iter().take(3).map(|name| name.as_str()).collect();
    let hidden_count = names.len().saturating_sub(shown.len());
    match hidden_count {
        0 => shown.join(", "),
        _ => format!("{} and {hidden_count} more", shown.join(", ")),
    }
}

/// Plans the steps that can be taken now, and gives the reason for each machine that has to wait.
pub fn plan_steps(orders: &WorkOrders, input: &PlannerInput) -> PlannedSteps {
    let mut planned = PlannedSteps::default();
    // Machines that are out continue in all orders, not only in the active one.
    for (number, (order, machines)) in orders.orders() {
        for (name, progress) in machines {
            let age = input
                .version_ages
                .get(&progress.version)
                .copied()
                .unwrap_or(0);
            let step = match &progress.phase {
                Phase::Draining => plan_draining(
                    input,
                    name,
                    progress,
                    order.cancelled,
                    age >= order.timeouts.drain_timeout,
                ),
                Phase::Drained if order.cancelled => Ok(Step::Recall),
                Phase::Drained if input.is_opened_by_operator(name, progress.version) => {
                    Ok(Step::Fail(FailureReason::Opened))
                }
                Phase::Drained if age >= order.timeouts.work_timeout => {
                    Ok(Step::Fail(FailureReason::NeverWorked))
                }
                Phase::Drained if !order.waits_for_done => Ok(Step::CompleteWork),
                Phase::Drained => Err("it is empty, and waits for `work done`".into()),
                Phase::Returning { .. } => {
                    plan_returning(input, name, progress, age >= order.timeouts.return_timeout)
                }
                Phase::Failed(reason) => Err(format!(
                    "it is out and failed ({reason:?}): staff say what becomes of it"
                )),
                Phase::Waiting | Phase::Done | Phase::Skipped => continue,
            };
            match step {
                Ok(step) => planned
                    .steps
                    .push((*number, name.clone(), progress.version, step)),
                Err(reason) => planned.wait_reasons.push((name.clone(), reason)),
            }
        }
    }
    plan_recall(orders, input, &mut planned);
    if let Some(number) = orders.active_order() {
        plan_take_out(orders, input, number, &mut planned);
    }
    planned
}

/// The next step of a draining machine, or what it waits for.
fn plan_draining(
    input: &PlannerInput,
    name: &Name,
    progress: &MachineProgress,
    is_cancelled: bool,
    is_timed_out: bool,
) -> Result<Step, String> {
    if is_cancelled {
        return Ok(Step::Recall);
    }
    let open_at = input.unconfirmed_members(name, progress.version, |report| report.closed);
    let not_drained_at = input.unconfirmed_members(name, progress.version, |report| {
        report.closed && report.clients == 0
    });
    if not_drained_at.is_empty() {
        return Ok(Step::MarkDrained);
    }
    if is_timed_out {
        return Ok(Step::Fail(FailureReason::NeverEmpty));
    }
    match open_at.is_empty() {
        true => Err(format!(
            "{} clients are still there, at {}",
            input.client_count(name),
            format_names(&not_drained_at)
        )),
        false => Err(format!("not confirmed yet by {}", format_names(&open_at))),
    }
}

/// The next step of a machine that returns to service, or what it waits for.
fn plan_returning(
    input: &PlannerInput,
    name: &Name,
    progress: &MachineProgress,
    is_timed_out: bool,
) -> Result<Step, String> {
    let closed_at = input.unconfirmed_members(name, progress.version, |report| !report.closed);
    let not_warm_at = input.unconfirmed_members(name, progress.version, |report| {
        !report.closed && report.warm
    });
    if not_warm_at.is_empty() {
        return Ok(Step::CompleteReturn);
    }
    if is_timed_out {
        return Ok(Step::Fail(FailureReason::NeverBack));
    }
    match closed_at.is_empty() {
        true => Err(format!(
            "not up and warm yet, as {} see it",
            format_names(&not_warm_at)
        )),
        false => Err(format!(
            "not taken back yet by {}",
            format_names(&closed_at)
        )),
    }
}

/// Recalls one draining machine if, together with the unavailable machines, more are out than the bounds allow.
fn plan_recall(orders: &WorkOrders, input: &PlannerInput, planned: &mut PlannedSteps) {
    let machines_out = orders.machines_out();
    let unavailable: Vec<&Name> = input
        .unavailable
        .iter()
        .filter(|name| !machines_out.contains_key(name))
        .collect();
    if unavailable.is_empty() {
        return;
    }
    // Checks the machine as if it were to be taken out now, in addition to all others that are out.
    let violates_bounds = |number: Number, name: &Name| {
        orders
            .with_machine_in(name)
            .check_take_out(number, name, &input.unavailable)
            .is_err()
    };
    let recallable = machines_out.iter().filter(|(name, (number, progress))| {
        let has_step = planned
            .steps
            .iter()
            .any(|(_, machine, ..)| machine == **name);
        progress.phase == Phase::Draining && !has_step && violates_bounds(*number, name)
    });
    // The machine with the most clients left is recalled; if that is not enough, a later plan recalls another one.
    let chosen = recallable.max_by_key(|(name, _)| (input.client_count(name), **name));
    if let Some((name, (number, progress))) = chosen {
        planned
            .steps
            .push((*number, (*name).clone(), progress.version, Step::Recall));
    }
}

/// Takes out the waiting machine with the fewest clients that the bounds allow. Each plan takes out one machine at
/// most, because the next one has to be checked with this one out.
fn plan_take_out(
    orders: &WorkOrders,
    input: &PlannerInput,
    number: Number,
    planned: &mut PlannedSteps,
) {
    let (order, machines) = &orders.orders()[&number];
    let waiting = machines
        .iter()
        .filter(|(_, progress)| progress.phase == Phase::Waiting);
    let mut waiting: Vec<(&Name, &MachineProgress)> = waiting.collect();
    // Machines that run a proxy are taken out last, because the clients of a stopped proxy reconnect all at once.
    let runs_proxy = |name: &Name| {
        orders
            .machines()
            .get(name)
            .is_some_and(|machine| machine.proxy.is_some())
    };
    waiting.sort_by_key(|(name, _)| (runs_proxy(name), input.client_count(name), (*name).clone()));
    let mut taken_out = None;
    for (name, progress) in waiting {
        let checked = match (input.unavailable.contains(name), taken_out) {
            _ if input.unix_time_ms < order.not_before => Err("its time has not come".to_string()),
            (true, _) => Err("it is lost, or closed by an operator".to_string()),
            (false, Some(first)) => Err(format!("{first} goes first")),
            (false, None) => orders
                .check_take_out(number, name, &input.unavailable)
                .map_err(|refusal: Refusal| refusal.to_string()),
        };
        match checked {
            Ok(()) => {
                taken_out = Some(name);
                planned
                    .steps
                    .push((number, name.clone(), progress.version, Step::TakeOut));
            }
            Err(reason) => planned.wait_reasons.push((name.clone(), reason)),
        }
    }
}
