//! Nights of work over random fleets: the real orders and planner, with proxies that hear late, are cut off or start anew,
//! machines that die, and conductors that stall with steps in hand. Its books are kept from what proxies do.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use violetwind_workorders::*;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Planted {
    Nothing,
    /// A proxy that confirms before it has closed.
    Hasty,
    /// The log takes one machine more than the order of the books says.
    OneTooMany,
}

/// What a proxy goes by: the places that it has heard of.
#[derive(Clone, Default)]
struct Proxy {
    belief: Belief,
    clients: BTreeMap<Name, u64>,
    cut: bool,
}

#[derive(Clone, Default)]
struct Conductor {
    facts: Facts,
    in_hand: Vec<(Number, Name, Number, Step)>,
    fence: Number,
    stalled: bool,
}

/// One fleet, its proxies and its orders. What goes wrong stops after a while, so that it can come to its end.
pub struct Night {
    rng: Pcg64Mcg,
    planted: Planted,
    bounds: Bounds,
    pub orders: Orders,
    proxies: BTreeMap<Name, Proxy>,
    conductors: Vec<Conductor>,
    leads: usize,
    fence: Number,
    dead: BTreeSet<Name>,
    cold: BTreeMap<Name, u32>,
    since: BTreeMap<Number, Millis>,
    pub emptied: BTreeMap<Name, u32>,
    pub wrong: Option<String>,
    calm: bool,
    pub most_out: usize,
    pub tick: Millis,
    /// Clients moved off machines that leave.
    pub moved: u64,
    /// How often somebody has planned.
    pub plans: u32,
}

fn server(machine: usize, kind: usize, room: u64) -> Server {
    Server {
        name: format!("s-{machine}-{kind}"),
        kind: format!("k-{kind}"),
        cell: 0,
        room,
    }
}

/// The same with phases that last longer than a stalled conductor.
fn kernel(machines: &[Name], bounds: Bounds) -> Order {
    let names: Vec<&str> = machines.iter().map(String::as_str).collect();
    let mut order = order(&names, bounds);
    (order.spans.leave, order.spans.work, order.spans.back) = (400, 400, 400);
    order
}

impl Night {
    pub fn new(seed: u64, planted: Planted) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (count, zones, kinds) = (
            rng.random_range(4..14),
            rng.random_range(1..4),
            rng.random_range(1..4),
        );
        let mut machines = BTreeMap::new();
        for at in 0..count {
            let servers = (0..rng.random_range(1..3))
                .map(|_| server(at, rng.random_range(0..kinds), rng.random_range(1..10)));
            let machine = Machine {
                zone: format!("z-{}", at % zones),
                servers: servers.collect(),
                proxy: None,
            };
            machines.insert(format!("m-{at}"), machine);
        }
        let bounds = Bounds {
            most: rng.random_range(1..4),
            zone_most: rng.random_range(1..3),
            floor: rng.random_range(0..700),
            spare: if rng.random_bool(0.3) {
                Spare::Machine
            } else {
                Spare::Nothing
            },
        };
        let mut orders = Orders::default();
        orders.apply(Change::Machines(machines.clone())).unwrap();
        let loose = Bounds {
            most: bounds.most + u32::from(planted == Planted::OneTooMany),
            ..bounds
        };
        let all: Vec<Name> = machines.keys().cloned().collect();
        let half = all.len() / 2;
        for part in [&all[..half], &all[half..]] {
            orders
                .apply(Change::Plan(kernel(part, loose)))
                .expect("sound");
        }
        let proxies = (0..rng.random_range(2..6)).map(|at| (format!("p-{at}"), Proxy::default()));
        Self {
            proxies: proxies.collect(),
            conductors: vec![Conductor::default(); 3],
            leads: 0,
            fence: 1,
            rng,
            planted,
            bounds,
            orders,
            dead: BTreeSet::new(),
            cold: BTreeMap::new(),
            since: BTreeMap::new(),
            emptied: BTreeMap::new(),
            wrong: None,
            calm: false,
            most_out: 0,
            tick: 0,
            moved: 0,
            plans: 0,
        }
    }

    pub fn places(&self) -> BTreeMap<Name, (Number, Phase)> {
        let each = self.orders.orders().values().flat_map(|(_, places)| places);
        each.map(|(name, place)| (name.clone(), (place.version, place.phase.clone())))
            .collect()
    }

    /// Machines of one kind in three zones, all of them to be worked on in orders of so many each, and nothing goes wrong.
    pub fn even(seed: u64, machines: usize, proxies: usize, bounds: Bounds, each: usize) -> Self {
        let mut night = Self::new(seed, Planted::Nothing);
        let machine = |at: usize| Machine {
            zone: format!("z-{}", at % 3),
            servers: vec![server(at, 0, 10)],
            proxy: None,
        };
        let all: BTreeMap<Name, Machine> = (0..machines)
            .map(|at| (format!("m-{at}"), machine(at)))
            .collect();
        let names: Vec<Name> = all.keys().cloned().collect();
        let mut orders = Orders::default();
        orders.apply(Change::Machines(all)).expect("sound");
        for part in names.chunks(each) {
            orders
                .apply(Change::Plan(kernel(part, bounds)))
                .expect("sound");
        }
        (night.orders, night.bounds, night.calm) = (orders, bounds, true);
        night.proxies = (0..proxies)
            .map(|at| (format!("p-{at}"), Proxy::default()))
            .collect();
        night
    }

    /// Until every order has ended.
    pub fn work(&mut self) {
        while !self.orders.orders().is_empty() && self.tick < 1_000_000 {
            self.step();
        }
    }

    /// A proxy hears what the log has; what is in no order is in.
    fn hear(&mut self, proxy: &Name) {
        let list = Belief::list(&self.orders);
        let own = self.proxies.get_mut(proxy).unwrap();
        own.belief.hear(self.tick, list);
    }

    fn serve(&mut self, proxy: &Name) {
        let hasty = self.planted == Planted::Hasty && proxy == "p-0";
        let machines: Vec<Name> = self.orders.machines().keys().cloned().collect();
        let to = machines[self.rng.random_range(0..machines.len())].clone();
        let leave = self.rng.random_bool(0.7);
        let own = self.proxies.get_mut(proxy).unwrap();
        let closed = |name: &Name| !hasty && own.belief.closed(name);
        if !closed(&to) {
            *own.clients.entry(to).or_default() += 1;
        }
        let shut: Vec<Name> = own
            .clients
            .keys()
            .filter(|name| closed(name))
            .cloned()
            .collect();
        for name in shut {
            let here = own.clients.get_mut(&name).unwrap();
            let moved = (*here).min(if leave { 2 } else { 0 });
            *here -= moved;
            self.moved += moved;
        }
        // Others end by themselves.
        own.clients
            .values_mut()
            .for_each(|clients| *clients = (*clients).min(4));
    }

    fn report(&self, proxy: &Name) -> BTreeMap<Name, Report> {
        let own = &self.proxies[proxy];
        let hasty = self.planted == Planted::Hasty && proxy == "p-0";
        let each = own.belief.machines().filter_map(|name| {
            let up = !self.dead.contains(name) && !self.cold.contains_key(name);
            let clients = own.clients.get(name).copied().unwrap_or(0);
            let report = own
                .belief
                .report(name, if hasty { 0 } else { clients }, up)?;
            Some((name.clone(), report))
        });
        each.collect()
    }

    /// Who conducts hears some proxies, proposes, and may be slow to act.
    fn conduct(&mut self, at: usize) {
        let mut conductor = std::mem::take(&mut self.conductors[at]);
        if !conductor.stalled {
            for (name, proxy) in &self.proxies {
                let heard = !proxy.cut && self.rng.random_bool(0.7);
                let known = conductor.facts.members.entry(name.clone()).or_default();
                known.live = !proxy.cut;
                if heard {
                    known.reports = self.report(name);
                }
            }
            if self.rng.random_bool(0.5) {
                conductor.facts.dead = self.dead.clone();
            }
            conductor.facts.since = self
                .since
                .iter()
                .map(|(version, at)| (*version, self.tick - at))
                .collect();
            if at == self.leads {
                conductor.fence = self.fence;
                self.plans += 1;
                conductor
                    .in_hand
                    .extend(plan(&self.orders, &conductor.facts).steps);
            }
        }
        let act = !conductor.stalled && self.rng.random_bool(0.7);
        for (order, machine, version, step) in conductor
            .in_hand
            .drain(..)
            .filter(|_| act)
            .collect::<Vec<_>>()
        {
            let step = Change::Step {
                order,
                machine: machine.clone(),
                version,
                step,
                fence: Some(conductor.fence),
            };
            self.apply(step, &machine);
        }
        self.conductors[at] = conductor;
    }

    fn apply(&mut self, change: Change, machine: &Name) {
        let before = self.places().get(machine).cloned();
        let _ = self.orders.apply(change);
        let after = self.places().get(machine).cloned();
        if let Some((version, phase)) = &after
            && before.as_ref().map(|(version, _)| version) != Some(version)
        {
            self.since.insert(*version, self.tick);
            if *phase == Phase::Empty {
                *self.emptied.entry(machine.clone()).or_default() += 1;
            }
            if matches!(phase, Phase::Returning { .. }) {
                self.cold.insert(machine.clone(), 10);
            }
        }
    }

    fn staff(&mut self) {
        for (name, (version, phase)) in self.places() {
            let order = self
                .orders
                .orders()
                .iter()
                .find(|(_, (_, places))| places.contains_key(&name));
            let order = *order.unwrap().0;
            let step = match phase {
                Phase::Empty if self.rng.random_bool(0.1) => Step::Worked,
                Phase::Empty if self.rng.random_bool(0.01) => Step::Fail(Why::Staff),
                Phase::Failed(_) if self.rng.random_bool(0.1) => Step::Recall,
                _ => continue,
            };
            let change = Change::Step {
                order,
                machine: name.clone(),
                version,
                step,
                fence: None,
            };
            self.apply(change, &name);
        }
    }

    fn fault(&mut self) {
        let names: Vec<Name> = self.proxies.keys().cloned().collect();
        let proxy = names[self.rng.random_range(0..names.len())].clone();
        let machines: Vec<Name> = self.orders.machines().keys().cloned().collect();
        let machine = machines[self.rng.random_range(0..machines.len())].clone();
        match self.rng.random_range(0..7) {
            0 => self.proxies.get_mut(&proxy).unwrap().cut = true,
            1 => self.proxies.get_mut(&proxy).unwrap().cut = false,
            // A new process on the same file of what is out; its clients are gone.
            2 => self.proxies.get_mut(&proxy).unwrap().clients.clear(),
            3 => drop(self.dead.insert(machine)),
            4 => self.dead.clear(),
            5 => {
                let stalled = self.rng.random_bool(0.5);
                self.conductors[self.leads].stalled = stalled;
            }
            // The duty is handed on; who had it may not know yet.
            _ => {
                self.leads = self.rng.random_range(0..self.conductors.len());
                self.fence += 1;
            }
        }
    }

    fn step(&mut self) {
        self.tick += 1;
        if !self.calm && self.rng.random_bool(0.1) {
            self.fault();
        }
        for name in self.proxies.keys().cloned().collect::<Vec<_>>() {
            let hears = !self.proxies[&name].cut && self.rng.random_bool(0.5);
            if hears {
                self.hear(&name);
            }
            self.serve(&name);
        }
        self.staff();
        (0..self.conductors.len()).for_each(|at| self.conduct(at));
        self.cold
            .values_mut()
            .for_each(|left| *left = left.saturating_sub(1));
        self.cold.retain(|_, left| *left > 0);
        self.check();
    }

    fn check(&mut self) {
        let mut out: BTreeSet<&Name> = self.orders.out().into_keys().collect();
        for proxy in self.proxies.values() {
            out.extend(
                proxy
                    .belief
                    .machines()
                    .filter(|name| proxy.belief.closed(name)),
            );
        }
        self.most_out = self.most_out.max(out.len());
        let mut wrong = None;
        if out.len() > self.bounds.most as usize {
            wrong = Some(format!(
                "Never Too Many Out: {out:?} of {}",
                self.bounds.most
            ));
        }
        let machines = self.orders.machines();
        let total: u64 = machines.values().map(Machine::room).sum();
        let left = machines.iter().filter(|(name, _)| !out.contains(name));
        let left: u64 = left.map(|(_, machine)| machine.room()).sum();
        if left * 1000 < total * u64::from(self.bounds.floor) {
            wrong = Some(format!("Floor Held: {left} of {total}"));
        }
        for (name, (_, phase)) in self.places() {
            let clients: u64 = self
                .proxies
                .values()
                .filter_map(|p| p.clients.get(&name))
                .sum();
            if phase == Phase::Empty && clients > 0 {
                wrong = Some(format!("Empty Means Empty: {clients} clients at {name}"));
            }
        }
        if let Some((name, _)) = self.emptied.iter().find(|(_, times)| **times > 1) {
            wrong = Some(format!("Once: {name} was told as empty again"));
        }
        if self.wrong.is_none() {
            self.wrong = wrong.map(|what| format!("tick {}: {what}", self.tick));
        }
    }

    /// A night of faults, and then calm until all is done that can be.
    pub fn play(&mut self) {
        for _ in 0..400 {
            self.step();
        }
        self.calm = true;
        self.dead.clear();
        self.proxies
            .values_mut()
            .for_each(|proxy| proxy.cut = false);
        self.conductors
            .iter_mut()
            .for_each(|conductor| conductor.stalled = false);
        for _ in 0..1500 {
            if self.orders.orders().is_empty() {
                break;
            }
            self.step();
        }
    }
}

/// Work on these machines, with time enough for each phase.
pub fn order(machines: &[&str], bounds: Bounds) -> Order {
    Order {
        name: "kernel".into(),
        machines: machines.iter().map(|name| (*name).into()).collect(),
        bounds,
        spans: Spans {
            leave: 100,
            work: 100,
            back: 100,
        },
        not_before: 0,
        wait: true,
        paused: false,
        cancelled: false,
    }
}

/// Bounds that keep nothing in.
pub const WIDE: Bounds = Bounds {
    most: 9,
    zone_most: 9,
    floor: 0,
    spare: Spare::Nothing,
};

/// Machines `m-0` on, each of a zone, a kind, a room, and maybe a voter's.
pub fn fleet(machines: &[(&str, usize, u64, bool)]) -> Orders {
    let machines = machines
        .iter()
        .enumerate()
        .map(|(at, (zone, kind, room, votes))| {
            let machine = Machine {
                zone: (*zone).into(),
                servers: vec![server(at, *kind, *room)],
                proxy: votes.then(|| (format!("p-{at}"), true)),
            };
            (format!("m-{at}"), machine)
        });
    let mut orders = Orders::default();
    orders.apply(Change::Machines(machines.collect())).unwrap();
    orders
}

/// The order, the version and the phase of a machine.
pub fn place(orders: &Orders, name: &str) -> (Number, Number, Phase) {
    let each = orders.orders().iter().find_map(|(number, (_, places))| {
        places
            .get(name)
            .map(|place| (*number, place.version, place.phase.clone()))
    });
    each.expect("in an order")
}

/// A step of a machine upon the version that it has.
///
/// # Errors
/// What the log says against it.
pub fn step(
    orders: &mut Orders,
    name: &str,
    step: Step,
    fence: Option<Number>,
) -> Result<(), Refused> {
    let (order, version, _) = place(orders, name);
    orders.apply(Change::Step {
        order,
        machine: name.into(),
        version,
        step,
        fence,
    })
}
