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
pub struct Listed {
    /// The version of its place.
    pub version: Number,
    /// Nothing new goes there, and what is there is moved.
    pub closed: bool,
    pub machine: Machine,
}

impl Machine {
    pub fn room(&self) -> u64 {
        self.servers.iter().map(|server| server.room).sum()
    }
}

/// What may be out at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    pub most: u32,
    pub zone_most: u32,
    /// Thousandths of all machines' room that stay in.
    pub floor: u32,
    pub spare: Spare,
}

/// What may be lost besides, with the floor still held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Spare {
    #[default]
    Nothing,
    /// Any one machine more.
    Machine,
    /// All of any one zone that stays in.
    Zone,
}

impl Spare {
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
pub struct Spans {
    /// Until it is empty: then it is put back, and listed as failed.
    pub leave: Millis,
    /// Until staff say that the work is done: then it is listed as failed, and stays out.
    pub work: Millis,
    /// Until it serves and is warm: likewise.
    pub back: Millis,
}

/// What staff asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    pub name: Name,
    pub machines: BTreeSet<Name>,
    pub bounds: Bounds,
    pub spans: Spans,
    /// Nothing goes out before, in milliseconds since 1970; 0 for at once.
    pub not_before: Millis,
    /// Staff say when an empty machine is done; otherwise it comes back at once.
    pub wait: bool,
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
    Leaving,
    /// Told to staff, who work on it.
    Empty,
    /// Put back; cold until warm. `worked` is false where it was called back before its work.
    Returning {
        worked: bool,
    },
    Done,
    /// Out, and nobody's turn until staff say what becomes of it.
    Failed(Why),
    /// Not worked on, and in: the order was cancelled.
    Spared,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
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
    pub fn out(&self) -> bool {
        matches!(
            self,
            Self::Leaving | Self::Empty | Self::Returning { .. } | Self::Failed(_)
        )
    }

    /// Whether nothing is left to do about it.
    pub fn ended(&self) -> bool {
        matches!(self, Self::Done | Self::Spared)
    }
}

/// A machine's way from one phase to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Step {
    Out,
    Empty,
    /// Staff: the work is done.
    Worked,
    /// It comes back before its work: room is short, or the order was cancelled.
    Recall,
    /// Every proxy has it back, and it is warm.
    Back,
    Fail(Why),
}

/// A change of the log's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// All machines, as the sources tell them now.
    Machines(BTreeMap<Name, Machine>),
    Plan(Order),
    Pause(Number, bool),
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
