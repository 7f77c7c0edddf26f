//! What orders, steps and facts are.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

pub type Name = String;
pub type Number = u64;
pub type Millis = u64;

/// A machine as the sources tell it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    pub zone: Name,
    pub servers: Vec<Server>,
    /// The proxy that runs on it, and whether that one votes in the fleet's log.
    pub proxy: Option<(Name, bool)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    pub name: Name,
    pub kind: Name,
    /// Servers of one cell know each other's repeats: some of it stays in.
    pub cell: u64,
    /// How much it can hold, in a unit that is the same for all.
    pub room: u64,
}

/// What a proxy goes by of a machine that is in an order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedMachine {
    /// The version of its place.
    pub version: Number,
    /// Nothing new goes there, and what is there is moved.
    pub closed: bool,
    pub machine: Machine,
}

impl Machine {
    pub fn capacity(&self) -> u64 {
        self.servers.iter().map(|server| server.room).sum()
    }
}

/// What may be out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    pub max_out: u32,
    pub max_out_per_zone: u32,
    /// Thousandths of all machines' room that stay in.
    pub min_capacity_permille: u32,
    pub failure_tolerance: FailureTolerance,
}

/// What may be lost besides, with the floor still held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureTolerance {
    #[default]
    Nothing,
    /// Any one machine more.
    Machine,
    /// All of any one zone that stays in.
    Zone,
}

impl FailureTolerance {
    pub const NAMES: [(&str, Self); 3] = [
        ("nothing", Self::Nothing),
        ("machine", Self::Machine),
        ("zone", Self::Zone),
    ];

    pub fn name(self) -> &'static str {
        let named = Self::NAMES.iter().find(|(_, spare)| *spare == self);
        named.map_or("?", |(name, _)| name)
    }
}

/// How long each phase may last, by the clock of whoever conducts; counted anew by a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PhaseTimeouts {
    /// Until it is empty: then it is put back, and listed as failed.
    pub drain_timeout: Millis,
    /// Until staff say that the work is done: then it is listed as failed, and stays out.
    pub work_timeout: Millis,
    /// Until it serves and is warm: likewise.
    pub return_timeout: Millis,
}

/// What staff asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkOrder {
    pub name: Name,
    pub machines: BTreeSet<Name>,
    pub bounds: Bounds,
    pub timeouts: PhaseTimeouts,
    /// Nothing goes out before, in milliseconds since 1970; 0 for at once.
    pub not_before: Millis,
    /// Staff say when an empty machine is done; otherwise it comes back at once.
    pub waits_for_done: bool,
    pub paused: bool,
    /// Nothing more goes out; what is out comes back.
    pub cancelled: bool,
}

/// Where a machine is on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Its turn has not come.
    Waiting,
    /// Nothing new goes there, and its clients are moved.
    Draining,
    /// Told to staff, who work on it.
    Drained,
    /// Put back; cold until warm. `worked` is false where it was called back before its work.
    Returning {
        work_done: bool,
    },
    Done,
    /// Out, and nobody's turn until staff say what becomes of it.
    Failed(FailureReason),
    /// Not worked on, and in: the order was cancelled.
    Skipped,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureReason {
    NeverEmpty,
    NeverWorked,
    NeverBack,
    /// Staff said so.
    Staff,
    /// An operator has opened it at a proxy.
    Opened,
}

impl Phase {
    /// Whether some proxy may hold it for out.
    pub fn is_out(&self) -> bool {
        matches!(
            self,
            Self::Draining | Self::Drained | Self::Returning { .. } | Self::Failed(_)
        )
    }

    /// Whether nothing is left to do about it.
    pub fn is_terminal(&self) -> bool {
        matches!(self, Self::Done | Self::Skipped)
    }
}

/// A machine's way from one phase to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    TakeOut,
    MarkDrained,
    /// Staff: the work is done.
    CompleteWork,
    /// It comes back before its work: room is short, or the order was cancelled.
    Recall,
    /// Every proxy has it back, and it is warm.
    CompleteReturn,
    Fail(FailureReason),
}

/// A change of the log's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkOrderChange {
    /// All machines, as the sources tell them now.
    SetMachines(BTreeMap<Name, Machine>),
    AddOrder(WorkOrder),
    SetPaused(Number, bool),
    Cancel(Number),
    /// One step of one machine, upon that version of it, by who conducts under that fencing number; staff's own steps
    /// (`Worked`, `Fail(Staff)`, and `Recall` of what has failed) have none.
    Step {
        order: Number,
        machine: Name,
        version: Number,
        step: Step,
        fence: Option<Number>,
    },
}
