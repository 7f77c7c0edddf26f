//! The types of machines, orders, phases, steps and changes.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

pub type Name = String;
/// An order's number, a version or a fencing number.
pub type Number = u64;
pub type Millis = u64;

/// A machine as the sources describe it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    pub zone: Name,
    pub servers: Vec<Server>,
    /// The proxy that runs on the machine, and whether it is a voter of the fleet's log.
    pub proxy: Option<(Name, bool)>,
}

/// A server that runs on a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    pub name: Name,
    pub kind: Name,
    /// Servers of one cell recognize repeats of requests that another of them has received; therefore at least one
    /// server of a cell stays in service.
    pub cell: u64,
    /// The capacity, in a unit that is the same for all servers.
    pub room: u64,
}

/// A machine of an order in the list that a proxy has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The version of its [`crate::MachineProgress`].
    pub version: Number,
    /// No new connections are sent there, and existing ones are moved.
    pub closed: bool,
    pub machine: Machine,
}

impl Machine {
    /// The capacity of all its servers.
    pub fn capacity(&self) -> u64 {
        self.servers.iter().map(|server| server.room).sum()
    }
}

/// Bounds on the machines that are out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    pub max_out: u32,
    pub max_out_per_zone: u32,
    /// The capacity that stays in service, in thousandths of the capacity of all machines.
    pub min_capacity_permille: u32,
    /// The additional failure under which that capacity still remains.
    pub failure_tolerance: FailureTolerance,
}

/// An additional failure that must leave the minimum capacity intact.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureTolerance {
    #[default]
    Nothing,
    /// The loss of any one machine.
    Machine,
    /// The loss of all machines of any one zone.
    Zone,
}

impl FailureTolerance {
    /// The names of the values in commands and answers.
    pub const NAMES: [(&str, Self); 3] = [
        ("nothing", Self::Nothing),
        ("machine", Self::Machine),
        ("zone", Self::Zone),
    ];

    pub fn name(self) -> &'static str {
        let entry = Self::NAMES.iter().find(|(_, tolerance)| *tolerance == self);
        entry.map_or("?", |(name, _)| name)
    }
}

/// How long each phase may last, in milliseconds of the coordinator's clock; a new coordinator starts to count anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PhaseTimeouts {
    /// From the start of draining until the machine is drained; after it the machine is marked as failed, and stays
    /// out.
    pub drain_timeout: Millis,
    /// Until an operator reports the work as done; after it the machine is marked as failed, and stays out.
    pub work_timeout: Millis,
    /// Until the machine serves and is warm; after it the machine is marked as failed, and stays out.
    pub return_timeout: Millis,
}

/// An order of an operator to take machines out of service for work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkOrder {
    pub name: Name,
    pub machines: BTreeSet<Name>,
    pub bounds: Bounds,
    pub timeouts: PhaseTimeouts,
    /// No machine is taken out before this time, in milliseconds since 1970; 0 for no such limit.
    pub not_before: Millis,
    /// A drained machine stays out until an operator reports the work as done; if false, it returns at once.
    pub waits_for_done: bool,
    /// No further machines are taken out.
    pub paused: bool,
    /// No further machines are taken out, and those that are out return.
    pub cancelled: bool,
}

/// The phase of a machine within an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The machine has not been taken out yet.
    Waiting,
    /// No new connections are sent there, and its clients are moved.
    Draining,
    /// Reported to operators as drained, for the work to be done.
    Drained,
    /// Returned to service, but not warm at every proxy yet. `work_done` is false if the machine was recalled before
    /// its work.
    Returning { work_done: bool },
    /// The work is done, and the machine is in service.
    Done,
    /// Out, until an operator decides how to go on.
    Failed(FailureReason),
    /// Not worked on, and in service: the order was cancelled.
    Skipped,
}

/// Why a machine is marked as failed. Answers to operators contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureReason {
    /// The drain timeout has expired.
    NeverEmpty,
    /// The work timeout has expired.
    NeverWorked,
    /// The return timeout has expired.
    NeverBack,
    /// An operator has reported the work as failed.
    Staff,
    /// An operator has opened the drained machine at a proxy.
    Opened,
}

impl Phase {
    /// Whether the machine may be out at some proxy.
    pub fn is_out(&self) -> bool {
        matches!(
            self,
            Self::Draining | Self::Drained | Self::Returning { .. } | Self::Failed(_)
        )
    }

    /// Whether the order has nothing left to do for the machine.
    pub fn is_terminal(&self) -> bool {
        matches!(self, Self::Done | Self::Skipped)
    }
}

/// A transition of a machine from one phase to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    TakeOut,
    /// Every proxy that may serve has confirmed that the machine is drained.
    MarkDrained,
    /// The work is done.
    CompleteWork,
    /// The machine returns before its work, because capacity is short or the order was cancelled; or an operator
    /// returns a failed one.
    Recall,
    /// Every proxy uses the machine again, and it is warm.
    CompleteReturn,
    Fail(FailureReason),
}

/// A change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkOrderChange {
    /// Replaces the list of all machines with the current one of the sources.
    SetMachines(BTreeMap<Name, Machine>),
    AddOrder(WorkOrder),
    /// Pauses (true) or resumes (false) an order.
    SetPaused(Number, bool),
    /// Cancels an order.
    Cancel(Number),
    /// One step of one machine, based on that version of its progress, by the coordinator with that fencing number.
    /// Steps of operators (`CompleteWork`, `Fail(Staff)`, and `Recall` of a failed machine) have no fencing number.
    Step {
        order: Number,
        machine: Name,
        version: Number,
        step: Step,
        fence: Option<Number>,
    },
}
