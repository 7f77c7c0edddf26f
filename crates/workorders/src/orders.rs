//! What the log has settled of orders and of each machine's way.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::limits::Caps;
use crate::words::{Change, Machine, Name, Number, Order, Phase, Spare, Step, Why};

/// Why a change was not made, or a machine does not go yet: for staff to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It names another version than there is, or another conductor has come since.
    Late,
    NoSuch(&'static str),
    /// The step does not follow from where the machine is.
    OutOfTurn,
    Full(&'static str),
    Unsound(&'static str),
    Paused,
    /// Another order comes first.
    Queued(Number),
    TooMany {
        out: usize,
        most: u32,
    },
    ZoneFull {
        zone: Name,
        out: usize,
        most: u32,
    },
    /// Room that would stay in, and that has to.
    Floor {
        left: u64,
        least: u64,
    },
    OnlyOfKind(Name),
    OnlyOfCell(u64),
    /// A voter's machine, while another is out or no majority would be left.
    Voters,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Late => f.write_str("it has changed meanwhile"),
            Self::NoSuch(what) => write!(f, "there is no such {what}"),
            Self::OutOfTurn => f.write_str("that is not what comes next"),
            Self::Full(what) => write!(f, "too many {what}"),
            Self::Unsound(what) => f.write_str(what),
            Self::Paused => f.write_str("the order is paused"),
            Self::Queued(before) => write!(f, "order {before} comes first"),
            Self::TooMany { out, most } => write!(f, "{out} of {most} are out"),
            Self::ZoneFull { zone, out, most } => write!(f, "{out} of {most} are out in {zone}"),
            Self::Floor { left, least } => {
                write!(f, "room of {left} would be left, {least} has to be")
            }
            Self::OnlyOfKind(kind) => write!(f, "it has the only room of kind {kind}"),
            Self::OnlyOfCell(cell) => write!(f, "it has the only room of cell {cell}"),
            Self::Voters => {
                f.write_str("another voter of the fleet is out, or too few would be left")
            }
        }
    }
}

/// Where a machine of an order is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    pub phase: Phase,
    /// Never the same again; what proxies confirm names it.
    pub version: Number,
    /// How often it was told as empty.
    pub emptied: u32,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    machines: BTreeMap<Name, Machine>,
    orders: BTreeMap<Number, (Order, BTreeMap<Name, Place>)>,
    /// Orders that have ended, the newest last: name, machines done, machines spared.
    ended: VecDeque<(Number, Name, usize, usize)>,
    next: Number,
    /// The largest fencing number of a conductor so far.
    fence: Number,
}

impl Orders {
    pub fn machines(&self) -> &BTreeMap<Name, Machine> {
        &self.machines
    }

    pub fn orders(&self) -> &BTreeMap<Number, (Order, BTreeMap<Name, Place>)> {
        &self.orders
    }

    pub fn ended(&self) -> &VecDeque<(Number, Name, usize, usize)> {
        &self.ended
    }

    /// Machines that some proxy may hold for out, with the order and the phase: the list that outlives all.
    pub fn out(&self) -> BTreeMap<&Name, (Number, &Place)> {
        let each = self.orders.iter().flat_map(|(number, (_, places))| {
            let out = places.iter().filter(|(_, place)| place.phase.out());
            out.map(move |(name, place)| (name, (*number, place)))
        });
        each.collect()
    }

    /// The order whose machines may go: the first with one whose turn is to come.
    pub fn running(&self) -> Option<Number> {
        let moves =
            |place: &Place| !place.phase.ended() && !matches!(place.phase, Phase::Failed(_));
        let mut each = self.orders.iter();
        let first = each.find(|(_, (_, places))| places.values().any(moves));
        first.map(|(number, _)| *number)
    }

    /// # Errors
    /// What stands against it; nothing has changed then.
    pub fn apply(&mut self, change: Change) -> Result<(), Refused> {
        match change {
            Change::Machines(machines) => {
                let long = |machine: &Machine| machine.servers.len() > Caps::SERVERS;
                if machines.len() > Caps::MACHINES || machines.values().any(long) {
                    return Err(Refused::Full("machines"));
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
            Change::Plan(order) => self.add(order),
            Change::Pause(number, paused) => {
                let (order, _) = self
                    .orders
                    .get_mut(&number)
                    .ok_or(Refused::NoSuch("order"))?;
                order.paused = paused;
                Ok(())
            }
            Change::Cancel(number) => {
                let (order, places) = self
                    .orders
                    .get_mut(&number)
                    .ok_or(Refused::NoSuch("order"))?;
                order.cancelled = true;
                for place in places.values_mut().filter(|p| p.phase == Phase::Waiting) {
                    place.phase = Phase::Spared;
                }
                self.sweep();
                Ok(())
            }
            Change::Step {
                order,
                machine,
                version,
                step,
                fence,
            } => self.step(order, &machine, version, step, fence),
        }
    }

    fn add(&mut self, order: Order) -> Result<(), Refused> {
        let short = |name: &Name| !name.is_empty() && name.len() <= Caps::NAME;
        if !short(&order.name) || !order.machines.iter().all(short) {
            return Err(Refused::Unsound("a name of 1 to 64 bytes"));
        }
        if order.machines.is_empty() {
            return Err(Refused::Unsound("an order is for one machine at least"));
        }
        if !order
            .machines
            .iter()
            .all(|name| self.machines.contains_key(name))
        {
            return Err(Refused::NoSuch("machine"));
        }
        if order.bounds.most == 0 || order.bounds.zone_most == 0 || order.bounds.floor > 1000 {
            return Err(Refused::Unsound(
                "bounds of one at least, and a floor of 1000 at most",
            ));
        }
        if self.orders.len() >= Caps::ORDERS {
            return Err(Refused::Full("orders"));
        }
        // A machine has one place at a time: who wants more work done there waits for the first order.
        let taken = |name: &Name| {
            self.orders
                .values()
                .any(|(_, places)| places.contains_key(name))
        };
        if order.machines.iter().any(taken) {
            return Err(Refused::Unsound(
                "a machine of it is in an order that has not ended",
            ));
        }
        let mut places = BTreeMap::new();
        for name in &order.machines {
            self.next += 1;
            let place = Place {
                phase: Phase::Waiting,
                version: self.next,
                emptied: 0,
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
    ) -> Result<(), Refused> {
        let (order, places) = self.orders.get(&number).ok_or(Refused::NoSuch("order"))?;
        let place = places.get(name).ok_or(Refused::NoSuch("machine"))?;
        if place.version != version || fence.is_some_and(|fence| fence < self.fence) {
            return Err(Refused::Late);
        }
        let staff = fence.is_none();
        let next = match (&place.phase, step) {
            (Phase::Waiting, Step::Out) if !staff => {
                self.may_go(number, name, &BTreeSet::new())?;
                Phase::Leaving
            }
            (Phase::Leaving, Step::Empty) if !staff => Phase::Empty,
            (Phase::Leaving, Step::Recall) if !staff => Phase::Returning { worked: false },
            (Phase::Leaving, Step::Fail(Why::NeverEmpty))
            | (Phase::Empty, Step::Fail(Why::NeverWorked))
            | (Phase::Empty, Step::Fail(Why::Opened))
            | (Phase::Returning { .. }, Step::Fail(Why::NeverBack))
                if !staff =>
            {
                let Step::Fail(why) = step else {
                    return Err(Refused::OutOfTurn);
                };
                Phase::Failed(why)
            }
            (Phase::Empty, Step::Worked) if staff == order.wait => {
                Phase::Returning { worked: true }
            }
            (Phase::Empty, Step::Recall) if order.cancelled => Phase::Returning { worked: false },
            (Phase::Empty | Phase::Returning { .. }, Step::Fail(Why::Staff)) if staff => {
                Phase::Failed(Why::Staff)
            }
            // Staff have looked after it. What was told as empty is not told so again.
            (Phase::Failed(_), Step::Recall | Step::Worked) if staff => Phase::Returning {
                worked: step == Step::Worked || place.emptied > 0,
            },
            (Phase::Returning { worked }, Step::Back) if !staff => {
                match (worked, order.cancelled) {
                    (true, _) => Phase::Done,
                    (false, true) => Phase::Spared,
                    (false, false) => Phase::Waiting,
                }
            }
            _ => return Err(Refused::OutOfTurn),
        };
        self.next += 1;
        let version = self.next;
        self.fence = self.fence.max(fence.unwrap_or(0));
        let (_, places) = self.orders.get_mut(&number).expect("just seen");
        let place = places.get_mut(name).expect("just seen");
        place.emptied += u32::from(next == Phase::Empty);
        (place.phase, place.version) = (next, version);
        self.sweep();
        Ok(())
    }

    /// The same with a machine in that is out now.
    pub(crate) fn without(&self, name: &Name) -> Self {
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
    pub fn may_go(
        &self,
        number: Number,
        name: &Name,
        dead: &BTreeSet<Name>,
    ) -> Result<(), Refused> {
        let (order, _) = self.orders.get(&number).ok_or(Refused::NoSuch("order"))?;
        let machine = self.machines.get(name).ok_or(Refused::NoSuch("machine"))?;
        if order.paused || order.cancelled {
            return Err(Refused::Paused);
        }
        if let Some(first) = self.running().filter(|first| *first != number) {
            return Err(Refused::Queued(first));
        }
        let bounds = &order.bounds;
        let mut out: BTreeSet<&Name> = self.out().into_keys().collect();
        out.extend(dead.iter().filter(|dead| self.machines.contains_key(*dead)));
        if out.len() >= bounds.most as usize {
            let (out, most) = (out.len(), bounds.most);
            return Err(Refused::TooMany { out, most });
        }
        let of = |name: &Name| self.machines.get(name);
        let in_zone = |name: &&&Name| of(name).is_some_and(|m| m.zone == machine.zone);
        let there = out.iter().filter(in_zone).count();
        if there >= bounds.zone_most as usize {
            return Err(Refused::ZoneFull {
                zone: machine.zone.clone(),
                out: there,
                most: bounds.zone_most,
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
            return Err(Refused::Voters);
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
                return Err(Refused::OnlyOfKind(server.kind.clone()));
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
                return Err(Refused::OnlyOfCell(server.cell));
            }
        }
        let total: u64 = self.machines.values().map(Machine::room).sum();
        let left: u64 = stays().map(|(_, machine)| machine.room()).sum();
        let mut lost: BTreeMap<&Name, u64> = BTreeMap::new();
        for (name, machine) in stays() {
            let part = match bounds.spare {
                Spare::Nothing => continue,
                Spare::Machine => name,
                Spare::Zone => &machine.zone,
            };
            *lost.entry(part).or_default() += machine.room();
        }
        let left = left - lost.into_values().max().unwrap_or(0);
        let least = (total * u64::from(bounds.floor)).div_ceil(1000);
        match left >= least {
            true => Ok(()),
            false => Err(Refused::Floor { left, least }),
        }
    }

    /// Orders of which nothing is left to do are remembered in a line each.
    fn sweep(&mut self) {
        let over = |_: &Number, (_, places): &mut (Order, BTreeMap<Name, Place>)| {
            places.values().all(|place| place.phase.ended())
        };
        for (number, (order, places)) in self.orders.extract_if(.., over) {
            let done = places
                .values()
                .filter(|place| place.phase == Phase::Done)
                .count();
            self.ended
                .push_back((number, order.name, done, places.len() - done));
            if self.ended.len() > Caps::ENDED {
                self.ended.pop_front();
            }
        }
    }
}
