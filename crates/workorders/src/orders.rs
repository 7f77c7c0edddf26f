//! What the log has settled of orders and of each machine's way.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::limits::OrderLimits;
use crate::types::{
    FailureReason, FailureTolerance, Machine, Name, Number, Phase, Step, WorkOrder, WorkOrderChange,
};

/// Why a change was not made, or a machine does not go yet: for staff to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It names another version than there is, or another conductor has come since.
    Superseded,
    NotFound(&'static str),
    /// The step does not follow from where the machine is.
    InvalidTransition,
    LimitReached(&'static str),
    InvalidOrder(&'static str),
    Paused,
    /// Another order comes first.
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
    /// Room that would stay in, and that has to.
    BelowFloor {
        remaining: u64,
        required: u64,
    },
    OnlyOfKind(Name),
    OnlyOfCell(u64),
    /// A voter's machine, while another is out or no majority would be left.
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
            Self::Queued(before) => write!(f, "order {before} comes first"),
            Self::TooManyOut { out, max: most } => write!(f, "{out} of {most} are out"),
            Self::TooManyOutInZone {
                zone,
                out,
                max: most,
            } => write!(f, "{out} of {most} are out in {zone}"),
            Self::BelowFloor {
                remaining: left,
                required: least,
            } => {
                write!(f, "room of {left} would be left, {least} has to be")
            }
            Self::OnlyOfKind(kind) => write!(f, "it has the only room of kind {kind}"),
            Self::OnlyOfCell(cell) => write!(f, "it has the only room of cell {cell}"),
            Self::VoterQuorum => {
                f.write_str("another voter of the fleet is out, or too few would be left")
            }
        }
    }
}

/// Where a machine of an order is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineProgress {
    pub phase: Phase,
    /// Never the same again; what proxies confirm names it.
    pub version: Number,
    /// How often it was told as empty.
    pub times_drained: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkOrders {
    machines: BTreeMap<Name, Machine>,
    orders: BTreeMap<Number, (WorkOrder, BTreeMap<Name, MachineProgress>)>,
    /// Orders that have ended, the newest last: name, machines done, machines spared.
    ended: VecDeque<(Number, Name, usize, usize)>,
    next: Number,
    /// The largest fencing number of a conductor so far.
    fence: Number,
}

impl WorkOrders {
    pub fn machines(&self) -> &BTreeMap<Name, Machine> {
        &self.machines
    }

    pub fn orders(&self) -> &BTreeMap<Number, (WorkOrder, BTreeMap<Name, MachineProgress>)> {
        &self.orders
    }

    pub fn ended_orders(&self) -> &VecDeque<(Number, Name, usize, usize)> {
        &self.ended
    }

    /// Machines that some proxy may hold for out, with the order and the phase: the list that outlives all.
    pub fn machines_out(&self) -> BTreeMap<&Name, (Number, &MachineProgress)> {
        let each = self.orders.iter().flat_map(|(number, (_, places))| {
            let out = places.iter().filter(|(_, place)| place.phase.is_out());
            out.map(move |(name, place)| (name, (*number, place)))
        });
        each.collect()
    }

    /// The order whose machines may go: the first with one whose turn is to come.
    pub fn active_order(&self) -> Option<Number> {
        let moves = |place: &MachineProgress| {
            !place.phase.is_terminal() && !matches!(place.phase, Phase::Failed(_))
        };
        let mut each = self.orders.iter();
        let first = each.find(|(_, (_, places))| places.values().any(moves));
        first.map(|(number, _)| *number)
    }

    /// # Errors
    /// What stands against it; nothing has changed then.
    pub fn apply(&mut self, change: WorkOrderChange) -> Result<(), Refusal> {
        match change {
            WorkOrderChange::SetMachines(machines) => {
                let long = |machine: &Machine| {
                    machine.servers.len() > OrderLimits::MAX_SERVERS_PER_MACHINE
                };
                if machines.len() > OrderLimits::MAX_MACHINES || machines.values().any(long) {
                    return Err(Refusal::LimitReached("machines"));
                }
                let before = std::mem::replace(&mut self.machines, machines);
                // What an order is about stays as it was last told, also where sources have forgotten it.
                let places = self.orders.values().flat_map(|(_, places)| places.keys());
                for name in places {
                    if let Some(machine) = before.get(name) {
                        let known = self.machines.entry(name.clone());
                        known.or_insert_with(|| machine.clone());
                    }
                }
                Ok(())
            }
            WorkOrderChange::AddOrder(order) => self.add(order),
            WorkOrderChange::SetPaused(number, paused) => {
                let (order, _) = self
                    .orders
                    .get_mut(&number)
                    .ok_or(Refusal::NotFound("order"))?;
                order.paused = paused;
                Ok(())
            }
            WorkOrderChange::Cancel(number) => {
                let (order, places) = self
                    .orders
                    .get_mut(&number)
                    .ok_or(Refusal::NotFound("order"))?;
                order.cancelled = true;
                for place in places.values_mut().filter(|p| p.phase == Phase::Waiting) {
                    place.phase = Phase::Skipped;
                }
                self.sweep();
                Ok(())
            }
            WorkOrderChange::Step {
                order,
                machine,
                version,
                step,
                fence,
            } => self.step(order, &machine, version, step, fence),
        }
    }

    fn add(&mut self, order: WorkOrder) -> Result<(), Refusal> {
        let short = |name: &Name| !name.is_empty() && name.len() <= OrderLimits::MAX_NAME_BYTES;
        if !short(&order.name) || !order.machines.iter().all(short) {
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
        // A machine has one place at a time: who wants more work done there waits for the first order.
        let taken = |name: &Name| {
            self.orders
                .values()
                .any(|(_, places)| places.contains_key(name))
        };
        if order.machines.iter().any(taken) {
            return Err(Refusal::InvalidOrder(
                "a machine of it is in an order that has not ended",
            ));
        }
        let mut places = BTreeMap::new();
        for name in &order.machines {
            self.next += 1;
            let place = MachineProgress {
                phase: Phase::Waiting,
                version: self.next,
                times_drained: 0,
            };
            places.insert(name.clone(), place);
        }
        self.next += 1;
        self.orders.insert(self.next, (order, places));
        Ok(())
    }

    fn step(
        &mut self,
        number: Number,
        name: &Name,
        version: Number,
        step: Step,
        fence: Option<Number>,
    ) -> Result<(), Refusal> {
        let (order, places) = self.orders.get(&number).ok_or(Refusal::NotFound("order"))?;
        let place = places.get(name).ok_or(Refusal::NotFound("machine"))?;
        if place.version != version || fence.is_some_and(|fence| fence < self.fence) {
            return Err(Refusal::Superseded);
        }
        let staff = fence.is_none();
        let next = match (&place.phase, step) {
            (Phase::Waiting, Step::TakeOut) if !staff => {
                self.check_take_out(number, name, &BTreeSet::new())?;
                Phase::Draining
            }
            (Phase::Draining, Step::MarkDrained) if !staff => Phase::Drained,
            (Phase::Draining, Step::Recall) if !staff => Phase::Returning { work_done: false },
            (Phase::Draining, Step::Fail(FailureReason::NeverEmpty))
            | (Phase::Drained, Step::Fail(FailureReason::NeverWorked))
            | (Phase::Drained, Step::Fail(FailureReason::Opened))
            | (Phase::Returning { .. }, Step::Fail(FailureReason::NeverBack))
                if !staff =>
            {
                let Step::Fail(why) = step else {
                    return Err(Refusal::InvalidTransition);
                };
                Phase::Failed(why)
            }
            (Phase::Drained, Step::CompleteWork) if staff == order.waits_for_done => {
                Phase::Returning { work_done: true }
            }
            (Phase::Drained, Step::Recall) if order.cancelled => {
                Phase::Returning { work_done: false }
            }
            (Phase::Drained | Phase::Returning { .. }, Step::Fail(FailureReason::Staff))
                if staff =>
            {
                Phase::Failed(FailureReason::Staff)
            }
            // Staff have looked after it. What was told as empty is not told so again.
            (Phase::Failed(_), Step::Recall | Step::CompleteWork) if staff => Phase::Returning {
                work_done: step == Step::CompleteWork || place.times_drained > 0,
            },
            (Phase::Returning { work_done: worked }, Step::CompleteReturn) if !staff => {
                match (worked, order.cancelled) {
                    (true, _) => Phase::Done,
                    (false, true) => Phase::Skipped,
                    (false, false) => Phase::Waiting,
                }
            }
            _ => return Err(Refusal::InvalidTransition),
        };
        self.next += 1;
        let version = self.next;
        self.fence = self.fence.max(fence.unwrap_or(0));
        let (_, places) = self.orders.get_mut(&number).expect("just seen");
        let place = places.get_mut(name).expect("just seen");
        place.times_drained += u32::from(next == Phase::Drained);
        (place.phase, place.version) = (next, version);
        self.sweep();
        Ok(())
    }

    /// The same with a machine in that is out now.
    pub(crate) fn with_machine_in(&self, name: &Name) -> Self {
        let mut orders = self.clone();
        for (order, places) in orders.orders.values_mut() {
            if let Some(place) = places.get_mut(name) {
                (place.phase, order.paused) = (Phase::Waiting, false);
            }
        }
        orders
    }

    /// Whether a machine may go out now, besides what is out and what is `dead` of itself.
    ///
    /// # Errors
    /// What stands against it.
    pub fn check_take_out(
        &self,
        number: Number,
        name: &Name,
        dead: &BTreeSet<Name>,
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
        out.extend(dead.iter().filter(|dead| self.machines.contains_key(*dead)));
        if out.len() >= bounds.max_out as usize {
            let (out, most) = (out.len(), bounds.max_out);
            return Err(Refusal::TooManyOut { out, max: most });
        }
        let of = |name: &Name| self.machines.get(name);
        let in_zone = |name: &&&Name| of(name).is_some_and(|m| m.zone == machine.zone);
        let there = out.iter().filter(in_zone).count();
        if there >= bounds.max_out_per_zone as usize {
            return Err(Refusal::TooManyOutInZone {
                zone: machine.zone.clone(),
                out: there,
                max: bounds.max_out_per_zone,
            });
        }
        let votes = |machine: &Machine| machine.proxy.as_ref().is_some_and(|(_, votes)| *votes);
        let voters = self
            .machines
            .values()
            .filter(|machine| votes(machine))
            .count();
        let voter_out = out.iter().any(|name| of(name).is_some_and(votes));
        if votes(machine) && (voter_out || voters < 3) {
            return Err(Refusal::VoterQuorum);
        }
        out.insert(name);
        let stays = || self.machines.iter().filter(|(name, _)| !out.contains(name));
        for server in &machine.servers {
            let same = |m: &Machine| {
                m.servers
                    .iter()
                    .any(|s| s.kind == server.kind && s.room > 0)
            };
            if !stays().any(|(_, machine)| same(machine)) {
                return Err(Refusal::OnlyOfKind(server.kind.clone()));
            }
            // One that is alone in its cell has nobody to know its repeats at any time.
            let cell = |m: &Machine| {
                m.servers
                    .iter()
                    .any(|s| s.cell == server.cell && s.room > 0)
            };
            let others = self
                .machines
                .iter()
                .any(|(other, m)| other != name && cell(m));
            if others && !stays().any(|(_, machine)| cell(machine)) {
                return Err(Refusal::OnlyOfCell(server.cell));
            }
        }
        let total: u64 = self.machines.values().map(Machine::capacity).sum();
        let left: u64 = stays().map(|(_, machine)| machine.capacity()).sum();
        let mut lost: BTreeMap<&Name, u64> = BTreeMap::new();
        for (name, machine) in stays() {
            let part = match bounds.failure_tolerance {
                FailureTolerance::Nothing => continue,
                FailureTolerance::Machine => name,
                FailureTolerance::Zone => &machine.zone,
            };
            *lost.entry(part).or_default() += machine.capacity();
        }
        let left = left - lost.into_values().max().unwrap_or(0);
        let least = (total * u64::from(bounds.min_capacity_permille)).div_ceil(1000);
        match left >= least {
            true => Ok(()),
            false => Err(Refusal::BelowFloor {
                remaining: left,
                required: least,
            }),
        }
    }

    /// Orders of which nothing is left to do are remembered in a line each.
    fn sweep(&mut self) {
        let over = |_: &Number, (_, places): &mut (WorkOrder, BTreeMap<Name, MachineProgress>)| {
            places.values().all(|place| place.phase.is_terminal())
        };
        for (number, (order, places)) in self.orders.extract_if(.., over) {
            let done = places
                .values()
                .filter(|place| place.phase == Phase::Done)
                .count();
            self.ended
                .push_back((number, order.name, done, places.len() - done));
            if self.ended.len() > OrderLimits::MAX_ENDED_ORDERS {
                self.ended.pop_front();
            }
        }
    }
}
