//! The replicated state of work orders, and of the progress of each machine.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::limits::OrderLimits;
use crate::types::{
    FailureReason, FailureTolerance, Machine, Name, Number, Phase, Step, WorkOrder, WorkOrderChange,
};

/// Why a change was refused, or why a machine is not taken out yet. Its text is shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The change is based on another version than the current one, or a newer coordinator has made changes since.
    Superseded,
    NotFound(&'static str),
    /// The step is not possible in the machine's phase.
    InvalidTransition,
    /// A limit of [`OrderLimits`] would be exceeded.
    LimitReached(&'static str),
    InvalidOrder(&'static str),
    /// The order is paused or cancelled.
    Paused,
    /// The order with this number comes first.
    Queued(Number),
    TooManyOut {
        out: usize,
        max: u32,
    },
    TooManyOutInZone {
        zone: Name,
        out: usize,
        max: u32,
    },
    /// The capacity that would remain in service is less than required.
    BelowFloor {
        remaining: u64,
        required: u64,
    },
    /// No server of this kind would remain in service.
    OnlyOfKind(Name),
    /// No server of this cell would remain in service.
    OnlyOfCell(u64),
    /// The proxy on the machine is a voter, and another voter is out or no majority would remain.
    VoterQuorum,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Superseded => f.write_str("it has changed meanwhile"),
            Self::NotFound(what) => write!(f, "there is no such {what}"),
            Self::InvalidTransition => f.write_str("that is not what comes next"),
            Self::LimitReached(what) => write!(f, "too many {what}"),
            Self::InvalidOrder(what) => f.write_str(what),
            Self::Paused => f.write_str("the order is paused"),
            Self::Queued(first) => write!(f, "order {first} comes first"),
            Self::TooManyOut { out, max } => write!(f, "{out} of {max} are out"),
            Self::TooManyOutInZone { zone, out, max } => {
                write!(f, "{out} of {max} are out in {zone}")
            }
            Self::BelowFloor {
                remaining,
                required,
            } => {
                write!(f, "room of {remaining} would be left, {required} has to be")
            }
            Self::OnlyOfKind(kind) => write!(f, "it has the only room of kind {kind}"),
            Self::OnlyOfCell(cell) => write!(f, "it has the only room of cell {cell}"),
            Self::VoterQuorum => {
                f.write_str("another voter of the fleet is out, or too few would be left")
            }
        }
    }
}

/// The progress of a machine within its order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineProgress {
    pub phase: Phase,
    /// Changes with each step and is never reused; the confirmations of proxies refer to it.
    pub version: Number,
    /// How many times the machine was reported as drained.
    pub times_drained: u32,
}

/// All machines and work orders. It is deterministic: the same changes in the same sequence lead to the same state at
/// every member.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkOrders {
    machines: BTreeMap<Name, Machine>,
    orders: BTreeMap<Number, (WorkOrder, BTreeMap<Name, MachineProgress>)>,
    /// Ended orders, the newest last: number, name, machines done, machines skipped.
    ended_orders: VecDeque<(Number, Name, usize, usize)>,
    /// The last number assigned to an order or a version.
    last_number: Number,
    /// The highest fencing number of a coordinator so far.
    highest_fence: Number,
}

impl WorkOrders {
    pub fn machines(&self) -> &BTreeMap<Name, Machine> {
        &self.machines
    }

    /// The orders that have not ended, by number, each with the progress of its machines.
    pub fn orders(&self) -> &BTreeMap<Number, (WorkOrder, BTreeMap<Name, MachineProgress>)> {
        &self.orders
    }

    /// Ended orders, the newest last: number, name, machines done, machines skipped.
    pub fn ended_orders(&self) -> &VecDeque<(Number, Name, usize, usize)> {
        &self.ended_orders
    }

    /// Machines that may be out at some proxy, each with its order and progress. An order is kept until all of its
    /// machines are in a terminal phase, so that no machine that is out is missing here, even if its order is
    /// cancelled.
    pub fn machines_out(&self) -> BTreeMap<&Name, (Number, &MachineProgress)> {
        let machines_out = self.orders.iter().flat_map(|(number, (_, machines))| {
            let out = machines
                .iter()
                .filter(|(_, progress)| progress.phase.is_out());
            out.map(move |(name, progress)| (name, (*number, progress)))
        });
        machines_out.collect()
    }

    /// The order whose machines may be taken out: the first one with a machine that is neither in a terminal phase nor
    /// failed.
    pub fn active_order(&self) -> Option<Number> {
        let is_pending = |progress: &MachineProgress| {
            !progress.phase.is_terminal() && !matches!(progress.phase, Phase::Failed(_))
        };
        let mut orders = self.orders.iter();
        let first = orders.find(|(_, (_, machines))| machines.values().any(is_pending));
        first.map(|(number, _)| *number)
    }

    /// Applies a change.
    ///
    /// # Errors
    /// Why the change is refused; the state is unchanged then.
    pub fn apply(&mut self, change: WorkOrderChange) -> Result<(), Refusal> {
        match change {
            WorkOrderChange::SetMachines(machines) => {
                let has_too_many_servers = |machine: &Machine| {
                    machine.servers.len() > OrderLimits::MAX_SERVERS_PER_MACHINE
                };
                if machines.len() > OrderLimits::MAX_MACHINES
                    || machines.values().any(has_too_many_servers)
                {
                    return Err(Refusal::LimitReached("machines"));
                }
                let previous = std::mem::replace(&mut self.machines, machines);
                // A machine of an order that the sources no longer list is kept as they last described it.
                let names_in_orders = self
                    .orders
                    .values()
                    .flat_map(|(_, machines)| machines.keys());
                for name in names_in_orders {
                    if let Some(machine) = previous.get(name) {
                        let entry = self.machines.entry(name.clone());
                        entry.or_insert_with(|| machine.clone());
                    }
                }
                Ok(())
            }
            WorkOrderChange::AddOrder(order) => self.add_order(order),
            WorkOrderChange::SetPaused(number, paused) => {
                let (order, _) = self
                    .orders
                    .get_mut(&number)
                    .ok_or(Refusal::NotFound("order"))?;
                order.paused = paused;
                Ok(())
            }
            WorkOrderChange::Cancel(number) => {
                let (order, machines) = self
                    .orders
                    .get_mut(&number)
                    .ok_or(Refusal::NotFound("order"))?;
                order.cancelled = true;
                for progress in machines
                    .values_mut()
                    .filter(|progress| progress.phase == Phase::Waiting)
                {
                    progress.phase = Phase::Skipped;
                }
                self.archive_ended_orders();
                Ok(())
            }
            WorkOrderChange::Step {
                order,
                machine,
                version,
                step,
                fence,
            } => self.apply_step(order, &machine, version, step, fence),
        }
    }

    fn add_order(&mut self, order: WorkOrder) -> Result<(), Refusal> {
        let is_valid_name =
            |name: &Name| !name.is_empty() && name.len() <= OrderLimits::MAX_NAME_BYTES;
        if !is_valid_name(&order.name) || !order.machines.iter().all(is_valid_name) {
            return Err(Refusal::InvalidOrder("a name of 1 to 64 bytes"));
        }
        if order.machines.is_empty() {
            return Err(Refusal::InvalidOrder(
                "an order is for one machine at least",
            ));
        }
        if !order
            .machines
            .iter()
            .all(|name| self.machines.contains_key(name))
        {
            return Err(Refusal::NotFound("machine"));
        }
        if order.bounds.max_out == 0
            || order.bounds.max_out_per_zone == 0
            || order.bounds.min_capacity_permille > 1000
        {
            return Err(Refusal::InvalidOrder(
                "bounds of one at least, and a floor of 1000 at most",
            ));
        }
        if self.orders.len() >= OrderLimits::MAX_ORDERS {
            return Err(Refusal::LimitReached("orders"));
        }
        // A machine is in one order at a time; further work on it has to wait until the first order has ended.
        let is_in_order = |name: &Name| {
            self.orders
                .values()
                .any(|(_, machines)| machines.contains_key(name))
        };
        if order.machines.iter().any(is_in_order) {
            return Err(Refusal::InvalidOrder(
                "a machine of it is in an order that has not ended",
            ));
        }
        let mut machines = BTreeMap::new();
        for name in &order.machines {
            self.last_number += 1;
            let progress = MachineProgress {
                phase: Phase::Waiting,
                version: self.last_number,
                times_drained: 0,
            };
            machines.insert(name.clone(), progress);
        }
        self.last_number += 1;
        self.orders.insert(self.last_number, (order, machines));
        Ok(())
    }

    fn apply_step(
        &mut self,
        number: Number,
        name: &Name,
        version: Number,
        step: Step,
        fence: Option<Number>,
    ) -> Result<(), Refusal> {
        let (order, machines) = self.orders.get(&number).ok_or(Refusal::NotFound("order"))?;
        let progress = machines.get(name).ok_or(Refusal::NotFound("machine"))?;
        if progress.version != version || fence.is_some_and(|fence| fence < self.highest_fence) {
            return Err(Refusal::Superseded);
        }
        let is_by_operator = fence.is_none();
        let next_phase = match (&progress.phase, step) {
            (Phase::Waiting, Step::TakeOut) if !is_by_operator => {
                self.check_take_out(number, name, &BTreeSet::new())?;
                Phase::Draining
            }
            (Phase::Draining, Step::MarkDrained) if !is_by_operator => Phase::Drained,
            (Phase::Draining, Step::Recall) if !is_by_operator => {
                Phase::Returning { work_done: false }
            }
            (Phase::Draining, Step::Fail(FailureReason::NeverEmpty))
            | (Phase::Drained, Step::Fail(FailureReason::NeverWorked))
            | (Phase::Drained, Step::Fail(FailureReason::Opened))
            | (Phase::Returning { .. }, Step::Fail(FailureReason::NeverBack))
                if !is_by_operator =>
            {
                let Step::Fail(reason) = step else {
                    return Err(Refusal::InvalidTransition);
                };
                Phase::Failed(reason)
            }
            (Phase::Drained, Step::CompleteWork) if is_by_operator == order.waits_for_done => {
                Phase::Returning { work_done: true }
            }
            (Phase::Drained, Step::Recall) if order.cancelled => {
                Phase::Returning { work_done: false }
            }
            (Phase::Drained | Phase::Returning { .. }, Step::Fail(FailureReason::Staff))
                if is_by_operator =>
            {
                Phase::Failed(FailureReason::Staff)
            }
            // An operator has handled the failure. A machine that was reported as drained before counts as worked on,
            // so that it is not reported as drained a second time.
            (Phase::Failed(_), Step::Recall | Step::CompleteWork) if is_by_operator => {
                Phase::Returning {
                    work_done: step == Step::CompleteWork || progress.times_drained > 0,
                }
            }
            (Phase::Returning { work_done }, Step::CompleteReturn) if !is_by_operator => {
                match (work_done, order.cancelled) {
                    (true, _) => Phase::Done,
                    (false, true) => Phase::Skipped,
                    (false, false) => Phase::Waiting,
                }
            }
            _ => return Err(Refusal::InvalidTransition),
        };
        self.last_number += 1;
        let version = self.last_number;
        self.highest_fence = self.highest_fence.max(fence.unwrap_or(0));
        let (_, machines) = self
            .orders
            .get_mut(&number)
            .expect("the order was found above");
        let progress = machines.get_mut(name).expect("the machine was found above");
        progress.times_drained += u32::from(next_phase == Phase::Drained);
        (progress.phase, progress.version) = (next_phase, version);
        self.archive_ended_orders();
        Ok(())
    }

    /// A copy of this state in which a machine that is out is waiting instead, and its order is not paused.
    pub(crate) fn with_machine_in(&self, name: &Name) -> Self {
        let mut orders = self.clone();
        for (order, machines) in orders.orders.values_mut() {
            if let Some(progress) = machines.get_mut(name) {
                (progress.phase, order.paused) = (Phase::Waiting, false);
            }
        }
        orders
    }

    /// Checks whether a machine of an order may be taken out now, in addition to the machines that are out and to those
    /// that are `unavailable` for other reasons.
    ///
    /// # Errors
    /// The first rule that forbids it.
    pub fn check_take_out(
        &self,
        number: Number,
        name: &Name,
        unavailable: &BTreeSet<Name>,
    ) -> Result<(), Refusal> {
        let (order, _) = self.orders.get(&number).ok_or(Refusal::NotFound("order"))?;
        let machine = self
            .machines
            .get(name)
            .ok_or(Refusal::NotFound("machine"))?;
        if order.paused || order.cancelled {
            return Err(Refusal::Paused);
        }
        if let Some(first) = self.active_order().filter(|first| *first != number) {
            return Err(Refusal::Queued(first));
        }
        let bounds = &order.bounds;
        let mut out: BTreeSet<&Name> = self.machines_out().into_keys().collect();
        out.extend(
            unavailable
                .iter()
                .filter(|name| self.machines.contains_key(*name)),
        );
        if out.len() >= bounds.max_out as usize {
            let (out, max) = (out.len(), bounds.max_out);
            return Err(Refusal::TooManyOut { out, max });
        }
        let find_machine = |name: &Name| self.machines.get(name);
        let is_in_zone =
            |name: &&&Name| find_machine(name).is_some_and(|other| other.zone == machine.zone);
        let out_in_zone = out.iter().filter(is_in_zone).count();
        if out_in_zone >= bounds.max_out_per_zone as usize {
            return Err(Refusal::TooManyOutInZone {
                zone: machine.zone.clone(),
                out: out_in_zone,
                max: bounds.max_out_per_zone,
            });
        }
        let is_voter = |machine: &Machine| {
            machine
                .proxy
                .as_ref()
                .is_some_and(|(_, is_voter)| *is_voter)
        };
        let voters = self
            .machines
            .values()
            .filter(|machine| is_voter(machine))
            .count();
        let is_voter_out = out
            .iter()
            .any(|name| find_machine(name).is_some_and(is_voter));
        if is_voter(machine) && (is_voter_out || voters < 3) {
            return Err(Refusal::VoterQuorum);
        }
        out.insert(name);
        let remaining_machines = || self.machines.iter().filter(|(name, _)| !out.contains(name));
        for server in &machine.servers {
            let has_kind = |candidate: &Machine| {
                candidate
                    .servers
                    .iter()
                    .any(|other| other.kind == server.kind && other.room > 0)
            };
            if !remaining_machines().any(|(_, machine)| has_kind(machine)) {
                return Err(Refusal::OnlyOfKind(server.kind.clone()));
            }
            // The rule applies only to a cell with servers on other machines too: where this machine is the only one,
            // no other server recognizes its repeats at any time.
            let has_cell = |candidate: &Machine| {
                candidate
                    .servers
                    .iter()
                    .any(|other| other.cell == server.cell && other.room > 0)
            };
            let has_other_machines = self
                .machines
                .iter()
                .any(|(other, candidate)| other != name && has_cell(candidate));
            if has_other_machines && !remaining_machines().any(|(_, machine)| has_cell(machine)) {
                return Err(Refusal::OnlyOfCell(server.cell));
            }
        }
        let total: u64 = self.machines.values().map(Machine::capacity).sum();
        let remaining: u64 = remaining_machines()
            .map(|(_, machine)| machine.capacity())
            .sum();
        let mut capacity_by_domain: BTreeMap<&Name, u64> = BTreeMap::new();
        for (name, machine) in remaining_machines() {
            let failure_domain = match bounds.failure_tolerance {
                FailureTolerance::Nothing => continue,
                FailureTolerance::Machine => name,
                FailureTolerance::Zone => &machine.zone,
            };
            *capacity_by_domain.entry(failure_domain).or_default() += machine.capacity();
        }
        let remaining = remaining - capacity_by_domain.into_values().max().unwrap_or(0);
        let required = (total * u64::from(bounds.min_capacity_permille)).div_ceil(1000);
        match remaining >= required {
            true => Ok(()),
            false => Err(Refusal::BelowFloor {
                remaining,
                required,
            }),
        }
    }

    /// Moves orders whose machines are all in a terminal phase to the list of ended orders.
    fn archive_ended_orders(&mut self) {
        let has_ended =
            |_: &Number, (_, machines): &mut (WorkOrder, BTreeMap<Name, MachineProgress>)| {
                machines
                    .values()
                    .all(|progress| progress.phase.is_terminal())
            };
        for (number, (order, machines)) in self.orders.extract_if(.., has_ended) {
            let done = machines
                .values()
                .filter(|progress| progress.phase == Phase::Done)
                .count();
            self.ended_orders
                .push_back((number, order.name, done, machines.len() - done));
            if self.ended_orders.len() > OrderLimits::MAX_ENDED_ORDERS {
                self.ended_orders.pop_front();
            }
        }
    }
}
