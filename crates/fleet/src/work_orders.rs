//! Orders for work on machines, in the log: the orders themselves, who may serve clients and so has to confirm, and
//! what members, conductor and staff say of them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use violetwind_consensus::Millis;
use violetwind_workorders::{
    Bounds, ListedMachine, Machine, MachineReport, Phase, Refusal, Step, WorkOrder,
    WorkOrderChange, WorkOrders,
};

use crate::messages::{Name, Number, SessionId};

/// The duty of whoever conducts.
pub const WORK_DUTY: &str = "work";

/// What the log keeps of work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkState {
    pub orders: WorkOrders,
    /// Proxies that may serve clients, whether or not they are heard of, by the last session in which they said so.
    /// Each of them has to confirm; one that has said that it serves nobody any more, or whose machine staff call gone, is
    /// not among them.
    pub serving: BTreeMap<Name, SessionId>,
    /// Grows whenever a process may have begun to serve: who was not asked can't have confirmed.
    pub roster_version: Number,
    /// Grows with each change of the orders.
    pub version: Number,
}

impl WorkState {
    /// Steps that stand on the word of everyone who serves.
    fn stands_on_all(change: &WorkOrderChange) -> bool {
        matches!(
            change,
            WorkOrderChange::Step {
                step: Step::MarkDrained | Step::CompleteReturn,
                ..
            }
        )
    }

    /// # Errors
    /// What stands against it; nothing has changed then.
    pub fn apply(&mut self, change: WorkOrderChange, roster: Number) -> Result<(), Refusal> {
        if Self::stands_on_all(&change) && roster != self.roster_version {
            return Err(Refusal::Superseded);
        }
        self.orders.apply(change)?;
        self.version += 1;
        Ok(())
    }

    pub fn start_serving(&mut self, name: Name, session: SessionId) {
        self.serving.insert(name, session);
        self.roster_version += 1;
        // From here on there is a list, if an empty one.
        self.version = self.version.max(1);
    }

    /// A process of this name has begun, which has not been heard of what is out.
    pub fn record_process_start(&mut self, name: &str) {
        if self.serving.contains_key(name) {
            self.roster_version += 1;
        }
    }

    pub fn stop_serving(&mut self, name: &str) {
        self.serving.remove(name);
    }

    pub fn is_new(&self) -> bool {
        *self == Self::default()
    }
}

/// What the proxy tells its member, again and again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LocalWorkStatus {
    /// The version of the list that is in force here, and on disk.
    pub list_version: Number,
    pub reports: BTreeMap<Name, MachineReport>,
    /// All machines as the sources tell them here, and those of them that have a server that is up and not kept out
    /// by an operator.
    pub machines: BTreeMap<Name, Machine>,
    pub up_machines: BTreeSet<Name>,
    /// Machines that operators keep out here, whether or not an order names them.
    pub closed_machines: BTreeSet<Name>,
    /// It serves nobody any more and will not, unless it is started anew.
    pub has_stopped_serving: bool,
    /// The time of day, in milliseconds since 1970.
    pub unix_time_ms: Millis,
}

/// What a member is told that goes by a list.
pub type MachineList = BTreeMap<Name, ListedMachine>;

/// Who may serve, whether it is heard of, and what it says of machines that are out.
pub type ServingMember = (Name, bool, Vec<(Name, MachineReport)>);

/// What the leader knows for whoever conducts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoordinatorUpdate {
    pub version: Number,
    /// None where the asker has them.
    pub orders: Option<WorkOrders>,
    pub roster_version: Number,
    pub members: Vec<ServingMember>,
    /// Clients at the others, and those that somebody keeps out by an operator's word.
    pub client_counts: Vec<(Name, u64)>,
    pub closed_machines: Vec<Name>,
    /// Whether another member could conduct.
    pub has_other_candidates: bool,
}

/// What staff want of the orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkAction {
    Plan(WorkOrder),
    /// Of one order, or of all.
    SetPaused(Option<Number>, bool),
    Cancel(Option<Number>),
    /// The work on a machine is done; it has failed; it comes back as it is.
    MarkDone(Name),
    MarkFailed(Name),
    Recall(Name),
}

impl WorkAction {
    /// What it comes to, by the orders as they are.
    ///
    /// # Errors
    /// Why it comes to nothing.
    pub fn to_changes(&self, orders: &WorkOrders) -> Result<Vec<WorkOrderChange>, String> {
        let all = |number: &Option<Number>| {
            let known: Vec<Number> = orders.orders().keys().copied().collect();
            match number {
                Some(number) if known.contains(number) => Ok(vec![*number]),
                Some(number) => Err(format!("there is no order {number}")),
                None if known.is_empty() => Err("there is no order".to_string()),
                None => Ok(known),
            }
        };
        let step = |machine: &Name, step: Step| {
            let of = orders.orders().iter().find_map(|(number, (_, places))| {
                let place = places.get(machine)?;
                Some((*number, place))
            });
            let (order, place) = of.ok_or(format!("{machine} is in no order"))?;
            if step == Step::CompleteWork && place.phase == (Phase::Returning { work_done: true }) {
                return Ok(Vec::new());
            }
            Ok(vec![WorkOrderChange::Step {
                order,
                machine: machine.clone(),
                version: place.version,
                step,
                fence: None,
            }])
        };
        match self {
            // Said again, as the answer was lost.
            Self::Plan(order) if orders.orders().values().any(|(known, _)| known == order) => {
                Ok(Vec::new())
            }
            Self::Plan(order) => Ok(vec![WorkOrderChange::AddOrder(order.clone())]),
            Self::SetPaused(number, paused) => Ok(all(number)?
                .into_iter()
                .map(|number| WorkOrderChange::SetPaused(number, *paused))
                .collect()),
            Self::Cancel(number) => Ok(all(number)?
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

/// The orders as staff see them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkView {
    /// False: what this proxy goes by, without a leader's word.
    pub settled: bool,
    pub why: Option<String>,
    pub conductor: Option<Name>,
    pub orders: Vec<OrderView>,
    pub ended: Vec<EndedOrderView>,
    /// What is out, or may be held for out by somebody.
    pub out: Vec<Name>,
    /// Closed by operators at some proxy: they count as out.
    pub shut: Vec<Name>,
    /// Who has to confirm each step.
    pub serving: Vec<Name>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderView {
    pub number: Number,
    pub name: Name,
    /// `running`, `queued`, `paused` or `cancelled`.
    pub state: String,
    pub most: u32,
    pub zone_most: u32,
    pub floor: u32,
    pub spare: String,
    pub machines: Vec<MachineView>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineView {
    pub name: Name,
    pub zone: Name,
    /// `waiting`, `leaving`, `empty`, `returning`, `done`, `failed` or `spared`.
    pub phase: String,
    /// What it waits for.
    pub why: String,
    /// How often it was told as empty.
    pub emptied: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedOrderView {
    pub number: Number,
    pub name: Name,
    pub done: usize,
    pub spared: usize,
}

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
    pub fn from_state(
        work: &WorkState,
        conductor: Option<Name>,
        why: &BTreeMap<Name, String>,
        shut: BTreeSet<Name>,
    ) -> Self {
        let orders = &work.orders;
        let running = orders.active_order();
        let view = |(number, (order, places)): (&Number, &(WorkOrder, BTreeMap<Name, _>))| {
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
                _ if running == Some(*number) => "running",
                _ => "queued",
            };
            let machines = places.iter().map(
                |(name, place): (&Name, &violetwind_workorders::MachineProgress)| {
                    let machine = orders.machines().get(name);
                    let ended = place.phase.is_terminal();
                    let why = why.get(name).filter(|_| !ended).cloned();
                    MachineView {
                        name: name.clone(),
                        zone: machine
                            .map(|machine| machine.zone.clone())
                            .unwrap_or_default(),
                        phase: phase_name(&place.phase).into(),
                        why: why.unwrap_or_default(),
                        emptied: place.times_drained,
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
        let ended = orders
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
            conductor,
            orders: orders.orders().iter().map(view).collect(),
            ended: ended.collect(),
            out: orders.machines_out().into_keys().cloned().collect(),
            shut: shut.into_iter().collect(),
            serving: work.serving.keys().cloned().collect(),
        }
    }

    /// What one proxy goes by, without a leader's word.
    pub fn without_leader(list: &MachineList, why: String) -> Self {
        let out = list.iter().filter(|(_, listed)| listed.closed);
        Self {
            why: Some(why),
            out: out.map(|(name, _)| name.clone()).collect(),
            ..Self::default()
        }
    }
}
