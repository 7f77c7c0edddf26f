//! Work orders for machines, as replicated in the log: the orders, the proxies that may serve clients and therefore
//! have to confirm each step, and the messages about them between members, the coordinator and operators. The
//! coordinator is the member that holds the duty [`WORK_DUTY`].

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use violetwind_consensus::Millis;
use violetwind_workorders::{
    Bounds, ListedMachine, Machine, MachineReport, Phase, Refusal, Step, WorkOrder,
    WorkOrderChange, WorkOrders,
};

use crate::messages::{Name, Number, SessionId};

/// The duty whose holder coordinates the work orders.
pub const WORK_DUTY: &str = "work";

/// The replicated state of work orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkState {
    pub orders: WorkOrders,
    /// Proxies that may serve clients, whether or not they are reachable, each with the last session in which it
    /// reported that. Each of them has to confirm. A proxy is removed when it reports that it no longer serves clients,
    /// or when an operator declares its machine gone.
    pub serving: BTreeMap<Name, SessionId>,
    /// Incremented whenever a process may have started to serve: a proxy that was not asked can't have confirmed.
    pub roster_version: Number,
    /// Incremented with each change of the orders.
    pub version: Number,
}

impl WorkState {
    /// Whether a change is a step that every serving proxy has to confirm first.
    fn requires_all_confirmations(change: &WorkOrderChange) -> bool {
        matches!(
            change,
            WorkOrderChange::Step {
                step: Step::MarkDrained | Step::CompleteReturn,
                ..
            }
        )
    }

    /// Applies a change; `roster_version` is the version of the roster whose confirmations a step is based on.
    ///
    /// # Errors
    /// Why the change is refused; the state is unchanged then.
    pub fn apply(
        &mut self,
        change: WorkOrderChange,
        roster_version: Number,
    ) -> Result<(), Refusal> {
        if Self::requires_all_confirmations(&change) && roster_version != self.roster_version {
            return Err(Refusal::Superseded);
        }
        self.orders.apply(change)?;
        self.version += 1;
        Ok(())
    }

    /// Records that a proxy may serve clients from now on.
    pub fn start_serving(&mut self, name: Name, session: SessionId) {
        self.serving.insert(name, session);
        self.roster_version += 1;
        // From now on there is a list of machines, even if it is empty.
        self.version = self.version.max(1);
    }

    /// Records the start of a process of this name, which has not confirmed which machines are out.
    pub fn record_process_start(&mut self, name: &str) {
        if self.serving.contains_key(name) {
            self.roster_version += 1;
        }
    }

    /// Records that a proxy no longer serves clients.
    pub fn stop_serving(&mut self, name: &str) {
        self.serving.remove(name);
    }

    /// Whether there has been no work order and no serving proxy so far.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// The local status of work orders that the proxy reports to its member periodically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalWorkStatus {
    /// The version of the list of machines that is in force at this proxy, and on disk.
    pub list_version: Number,
    pub reports: BTreeMap<Name, MachineReport>,
    /// All machines according to this proxy's sources.
    pub machines: BTreeMap<Name, Machine>,
    /// Those of them with a server that is up and not taken out by an operator.
    pub up_machines: BTreeSet<Name>,
    /// Machines that operators have taken out at this proxy, whether or not an order includes them.
    pub closed_machines: BTreeSet<Name>,
    /// The proxy serves no clients, and will not serve any until it is restarted.
    pub has_stopped_serving: bool,
    /// The time of day, in milliseconds since 1970.
    pub unix_time_ms: Millis,
}

/// The machines of all orders, as sent to the members.
pub type MachineList = BTreeMap<Name, ListedMachine>;

/// A proxy that may serve: its name, whether it has a session and has reported, and its reports of machines that are
/// out.
pub type ServingMember = (Name, bool, Vec<(Name, MachineReport)>);

/// The state that the leader sends to the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorUpdate {
    pub version: Number,
    /// The orders; `None` if the coordinator has this version already.
    pub orders: Option<WorkOrders>,
    pub roster_version: Number,
    pub members: Vec<ServingMember>,
    /// Clients at each machine that is not out, summed over all proxies.
    pub client_counts: Vec<(Name, u64)>,
    /// Machines that an operator has taken out at some proxy.
    pub closed_machines: Vec<Name>,
    /// Whether another member could be the coordinator.
    pub has_other_candidates: bool,
}

/// A request of an operator about work orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkAction {
    /// Add an order.
    Plan(WorkOrder),
    /// Pause or resume one order, or all.
    SetPaused(Option<Number>, bool),
    /// Cancel one order, or all.
    Cancel(Option<Number>),
    /// The work on a machine is done.
    MarkDone(Name),
    /// The work on a machine has failed.
    MarkFailed(Name),
    /// A machine returns to service as it is.
    Recall(Name),
}

impl WorkAction {
    /// The changes that carry out this request, given the current orders; none if they have been made already.
    ///
    /// # Errors
    /// There is no such order, or the machine is in no order.
    pub fn to_changes(&self, orders: &WorkOrders) -> Result<Vec<WorkOrderChange>, String> {
        let selected_orders = |number: &Option<Number>| {
            let numbers: Vec<Number> = orders.orders().keys().copied().collect();
            match number {
                Some(number) if numbers.contains(number) => Ok(vec![*number]),
                Some(number) => Err(format!("there is no order {number}")),
                None if numbers.is_empty() => Err("there is no order".to_string()),
                None => Ok(numbers),
            }
        };
        let step = |machine: &Name, step: Step| {
            let found = orders
                .orders()
                .iter()
                .find_map(|(number, (_, progress_by_machine))| {
                    let progress = progress_by_machine.get(machine)?;
                    Some((*number, progress))
                });
            let (order, progress) = found.ok_or(format!("{machine} is in no order"))?;
            if step == Step::CompleteWork
                && progress.phase == (Phase::Returning { work_done: true })
            {
                return Ok(Vec::new());
            }
            Ok(vec![WorkOrderChange::Step {
                order,
                machine: machine.clone(),
                version: progress.version,
                step,
                fence: None,
            }])
        };
        match self {
            // The request is repeated because the answer was lost.
            Self::Plan(order) if orders.orders().values().any(|(known, _)| known == order) => {
                Ok(Vec::new())
            }
            Self::Plan(order) => Ok(vec![WorkOrderChange::AddOrder(order.clone())]),
            Self::SetPaused(number, paused) => Ok(selected_orders(number)?
                .into_iter()
                .map(|number| WorkOrderChange::SetPaused(number, *paused))
                .collect()),
            Self::Cancel(number) => Ok(selected_orders(number)?
                .into_iter()
                .map(WorkOrderChange::Cancel)
                .collect()),
            Self::MarkDone(machine) => step(machine, Step::CompleteWork),
            Self::MarkFailed(machine) => step(
                machine,
                Step::Fail(violetwind_workorders::FailureReason::Staff),
            ),
            Self::Recall(machine) => step(machine, Step::Recall),
        }
    }
}

/// The work orders as shown to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkView {
    /// Whether this is the replicated state from the leader; if false, it is the list that this proxy has, and `why`
    /// is the reason.
    pub settled: bool,
    pub why: Option<String>,
    /// The member that coordinates the orders.
    pub conductor: Option<Name>,
    pub orders: Vec<OrderView>,
    pub ended: Vec<EndedOrderView>,
    /// Machines that are out, or that may be out at some proxy.
    pub out: Vec<Name>,
    /// Machines that operators have closed at some proxy; they count as out.
    pub shut: Vec<Name>,
    /// The proxies that have to confirm each step.
    pub serving: Vec<Name>,
}

/// One order as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderView {
    pub number: Number,
    pub name: Name,
    /// `running`, `queued`, `paused` or `cancelled`.
    pub state: String,
    /// The largest number of machines out at once.
    pub most: u32,
    /// The largest number of machines out at once in one zone.
    pub zone_most: u32,
    /// The capacity that stays in service, in thousandths of the whole.
    pub floor: u32,
    /// The additional failure to tolerate: `nothing`, `machine` or `zone`.
    pub spare: String,
    pub machines: Vec<MachineView>,
}

/// One machine of an order as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineView {
    pub name: Name,
    pub zone: Name,
    /// `waiting`, `leaving`, `empty`, `returning`, `done`, `failed` or `spared`.
    pub phase: String,
    /// What the machine waits for.
    pub why: String,
    /// How many times the machine was reported as drained.
    pub emptied: u32,
}

/// An order that has ended, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedOrderView {
    pub number: Number,
    pub name: Name,
    /// Machines on which the work was done.
    pub done: usize,
    /// Machines that were not worked on.
    pub spared: usize,
}

/// The name of a phase in answers to operators.
pub fn phase_name(phase: &Phase) -> &'static str {
    match phase {
        Phase::Waiting => "waiting",
        Phase::Draining => "leaving",
        Phase::Drained => "empty",
        Phase::Returning { .. } => "returning",
        Phase::Done => "done",
        Phase::Failed(_) => "failed",
        Phase::Skipped => "spared",
    }
}

impl WorkView {
    /// The view of the replicated state. `wait_reasons` are by machine; `closed_machines` are those that operators have
    /// closed at some proxy.
    pub fn from_state(
        work: &WorkState,
        coordinator: Option<Name>,
        wait_reasons: &BTreeMap<Name, String>,
        closed_machines: BTreeSet<Name>,
    ) -> Self {
        let orders = &work.orders;
        let active_order = orders.active_order();
        let view =
            |(number, (order, progress_by_machine)): (&Number, &(WorkOrder, BTreeMap<Name, _>))| {
                let Bounds {
                    max_out: most,
                    max_out_per_zone: zone_most,
                    min_capacity_permille: floor,
                    failure_tolerance: spare,
                } = order.bounds;
                let state = match order {
                    WorkOrder {
                        cancelled: true, ..
                    } => "cancelled",
                    WorkOrder { paused: true, .. } => "paused",
                    _ if active_order == Some(*number) => "running",
                    _ => "queued",
                };
                let machines = progress_by_machine.iter().map(
                    |(name, progress): (&Name, &violetwind_workorders::MachineProgress)| {
                        let machine = orders.machines().get(name);
                        let is_terminal = progress.phase.is_terminal();
                        let wait_reason = wait_reasons.get(name).filter(|_| !is_terminal).cloned();
                        MachineView {
                            name: name.clone(),
                            zone: machine
                                .map(|machine| machine.zone.clone())
                                .unwrap_or_default(),
                            phase: phase_name(&progress.phase).into(),
                            why: wait_reason.unwrap_or_default(),
                            emptied: progress.times_drained,
                        }
                    },
                );
                OrderView {
                    number: *number,
                    name: order.name.clone(),
                    state: state.into(),
                    most,
                    zone_most,
                    floor,
                    spare: spare.name().into(),
                    machines: machines.collect(),
                }
            };
        let ended_orders = orders
            .ended_orders()
            .iter()
            .map(|(number, name, done, spared)| {
                let (done, spared) = (*done, *spared);
                EndedOrderView {
                    number: *number,
                    name: name.clone(),
                    done,
                    spared,
                }
            });
        Self {
            settled: true,
            why: None,
            conductor: coordinator,
            orders: orders.orders().iter().map(view).collect(),
            ended: ended_orders.collect(),
            out: orders.machines_out().into_keys().cloned().collect(),
            shut: closed_machines.into_iter().collect(),
            serving: work.serving.keys().cloned().collect(),
        }
    }

    /// The view of the list that this proxy has, when no leader has answered; `why` is the reason.
    pub fn without_leader(list: &MachineList, why: String) -> Self {
        let out = list.iter().filter(|(_, listed)| listed.closed);
        Self {
            why: Some(why),
            out: out.map(|(name, _)| name.clone()).collect(),
            ..Self::default()
        }
    }
}
