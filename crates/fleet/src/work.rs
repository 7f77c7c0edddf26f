//! Orders for work on machines, in the log: the orders themselves, who may serve clients and so has to confirm, and
//! what members, conductor and staff say of them.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use violetwind_consensus::Millis;
use violetwind_workorders::{
    Bounds, Change, Listed, Machine, Order, Orders, Phase, Refused, Report, Step,
};

use crate::words::{Name, Number, SessionId};

/// The duty of whoever conducts.
pub const DUTY: &str = "work";

/// What the log keeps of work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    pub orders: Orders,
    /// Proxies that may serve clients, whether or not they are heard of, by the last session in which they said so.
    /// Each of them has to confirm; one that has said that it serves nobody any more, or whose machine staff call gone, is
    /// not among them.
    pub serving: BTreeMap<Name, SessionId>,
    /// Grows whenever a process may have begun to serve: who was not asked can't have confirmed.
    pub roster: Number,
    /// Grows with each change of the orders.
    pub version: Number,
}

impl Work {
    /// Steps that stand on the word of everyone who serves.
    fn stands_on_all(change: &Change) -> bool {
        matches!(
            change,
            Change::Step {
                step: Step::Empty | Step::Back,
                ..
            }
        )
    }

    /// # Errors
    /// What stands against it; nothing has changed then.
    pub fn apply(&mut self, change: Change, roster: Number) -> Result<(), Refused> {
        if Self::stands_on_all(&change) && roster != self.roster {
            return Err(Refused::Late);
        }
        self.orders.apply(change)?;
        self.version += 1;
        Ok(())
    }

    pub fn serves(&mut self, name: Name, session: SessionId) {
        self.serving.insert(name, session);
        self.roster += 1;
        // From here on there is a list, if an empty one.
        self.version = self.version.max(1);
    }

    /// A process of this name has begun, which has not been heard of what is out.
    pub fn begun(&mut self, name: &str) {
        if self.serving.contains_key(name) {
            self.roster += 1;
        }
    }

    pub fn serves_nobody(&mut self, name: &str) {
        self.serving.remove(name);
    }

    pub fn is_new(&self) -> bool {
        *self == Self::default()
    }
}

/// What the proxy tells its member, again and again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Local {
    /// The version of the list that is in force here, and on disk.
    pub heard: Number,
    pub reports: BTreeMap<Name, Report>,
    /// All machines as the sources tell them here, and those of them that have a server that is up and not kept out
    /// by an operator.
    pub machines: BTreeMap<Name, Machine>,
    pub up: BTreeSet<Name>,
    /// Machines that operators keep out here, whether or not an order names them.
    pub shut: BTreeSet<Name>,
    /// It serves nobody any more and will not, unless it is started anew.
    pub serves_nobody: bool,
    /// The time of day, in milliseconds since 1970.
    pub wall: Millis,
}

/// What a member is told that goes by a list.
pub type List = BTreeMap<Name, Listed>;

/// Who may serve, whether it is heard of, and what it says of machines that are out.
pub type Serving = (Name, bool, Vec<(Name, Report)>);

/// What the leader knows for whoever conducts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    pub version: Number,
    /// None where the asker has them.
    pub orders: Option<Orders>,
    pub roster: Number,
    pub members: Vec<Serving>,
    /// Clients at the others, and those that somebody keeps out by an operator's word.
    pub crowd: Vec<(Name, u64)>,
    pub shut: Vec<Name>,
    /// Whether another member could conduct.
    pub others: bool,
}

/// What staff want of the orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Staff {
    Plan(Order),
    /// Of one order, or of all.
    Pause(Option<Number>, bool),
    Cancel(Option<Number>),
    /// The work on a machine is done; it has failed; it comes back as it is.
    Done(Name),
    Failed(Name),
    Recall(Name),
}

impl Staff {
    /// What it comes to, by the orders as they are.
    ///
    /// # Errors
    /// Why it comes to nothing.
    pub fn changes(&self, orders: &Orders) -> Result<Vec<Change>, String> {
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
            if step == Step::Worked && place.phase == (Phase::Returning { worked: true }) {
                return Ok(Vec::new());
            }
            Ok(vec![Change::Step {
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
            Self::Plan(order) => Ok(vec![Change::Plan(order.clone())]),
            Self::Pause(number, paused) => Ok(all(number)?
                .into_iter()
                .map(|number| Change::Pause(number, *paused))
                .collect()),
            Self::Cancel(number) => Ok(all(number)?.into_iter().map(Change::Cancel).collect()),
            Self::Done(machine) => step(machine, Step::Worked),
            Self::Failed(machine) => step(machine, Step::Fail(violetwind_workorders::Why::Staff)),
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
    pub ended: Vec<EndedView>,
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
pub struct EndedView {
    pub number: Number,
    pub name: Name,
    pub done: usize,
    pub spared: usize,
}

pub fn word(phase: &Phase) -> &'static str {
    match phase {
        Phase::Waiting => "waiting",
        Phase::Leaving => "leaving",
        Phase::Empty => "empty",
        Phase::Returning { .. } => "returning",
        Phase::Done => "done",
        Phase::Failed(_) => "failed",
        Phase::Spared => "spared",
    }
}

impl WorkView {
    pub fn of(
        work: &Work,
        conductor: Option<Name>,
        why: &BTreeMap<Name, String>,
        shut: BTreeSet<Name>,
    ) -> Self {
        let orders = &work.orders;
        let running = orders.running();
        let view = |(number, (order, places)): (&Number, &(Order, BTreeMap<Name, _>))| {
            let Bounds {
                most,
                zone_most,
                floor,
                spare,
            } = order.bounds;
            let state = match order {
                Order {
                    cancelled: true, ..
                } => "cancelled",
                Order { paused: true, .. } => "paused",
                _ if running == Some(*number) => "running",
                _ => "queued",
            };
            let machines =
                places
                    .iter()
                    .map(|(name, place): (&Name, &violetwind_workorders::Place)| {
                        let machine = orders.machines().get(name);
                        let ended = place.phase.ended();
                        let why = why.get(name).filter(|_| !ended).cloned();
                        MachineView {
                            name: name.clone(),
                            zone: machine
                                .map(|machine| machine.zone.clone())
                                .unwrap_or_default(),
                            phase: word(&place.phase).into(),
                            why: why.unwrap_or_default(),
                            emptied: place.emptied,
                        }
                    });
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
        let ended = orders.ended().iter().map(|(number, name, done, spared)| {
            let (done, spared) = (*done, *spared);
            EndedView {
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
            out: orders.out().into_keys().cloned().collect(),
            shut: shut.into_iter().collect(),
            serving: work.serving.keys().cloned().collect(),
        }
    }

    /// What one proxy goes by, without a leader's word.
    pub fn alone(list: &List, why: String) -> Self {
        let out = list.iter().filter(|(_, listed)| listed.closed);
        Self {
            why: Some(why),
            out: out.map(|(name, _)| name.clone()).collect(),
            ..Self::default()
        }
    }
}
