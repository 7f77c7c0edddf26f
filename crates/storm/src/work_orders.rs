//! Nights of work over random fleets: the real orders and planner, with proxies that hear late, are cut off or start anew,
//! machines that die, and conductors that stall with steps in hand. Its books are kept from what proxies do.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use violetwind_workorders::*;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedBug {
    Nothing,
    /// A proxy that confirms before it has closed.
    Hasty,
    /// The log takes one machine more than the order of the books says.
    OneTooMany,
}

/// What a proxy goes by: the places that it has heard of.
#[derive(Clone, Default)]
struct Proxy {
    belief: MachineAvailability,
    clients: BTreeMap<Name, u64>,
    cut: bool,
}

#[derive(Clone, Default)]
struct Conductor {
    facts: PlannerInput,
    in_hand: Vec<(Number, Name, Number, Step)>,
    fence: Number,
    stalled: bool,
}

/// One fleet, its proxies and its orders. What goes wrong stops after a while, so that it can come to its end.
pub struct World {
    rng: Pcg64Mcg,
    planted: InjectedBug,
    bounds: Bounds,
    pub orders: WorkOrders,
    proxies: BTreeMap<Name, Proxy>,
    conductors: Vec<Conductor>,
    leads: usize,
    fence: Number,
    dead: BTreeSet<Name>,
    cold: BTreeMap<Name, u32>,
    since: BTreeMap<Number, Millis>,
    pub times_emptied: BTreeMap<Name, u32>,
    pub violation: Option<String>,
    calm: bool,
    pub peak_machines_out: usize,
    pub tick: Millis,
    /// Clients moved off machines that leave.
    pub clients_moved: u64,
    /// How often somebody has planned.
    pub plan_count: u32,
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
fn kernel(machines: &[Name], bounds: Bounds) -> WorkOrder {
    let names: Vec<&str> = machines.iter().map(String::as_str).collect();
    let mut order = build_order(&names, bounds);
    (
        order.timeouts.drain_timeout,
        order.timeouts.work_timeout,
        order.timeouts.return_timeout,
    ) = (400, 400, 400);
    order
}

impl World {
    pub fn new(seed: u64, planted: InjectedBug) -> Self {
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
            max_out: rng.random_range(1..4),
            max_out_per_zone: rng.random_range(1..3),
            min_capacity_permille: rng.random_range(0..700),
            failure_tolerance: if rng.random_bool(0.3) {
                FailureTolerance::Machine
            } else {
                FailureTolerance::Nothing
            },
        };
        let mut orders = WorkOrders::default();
        orders
            .apply(WorkOrderChange::SetMachines(machines.clone()))
            .unwrap();
        let loose = Bounds {
            max_out: bounds.max_out + u32::from(planted == InjectedBug::OneTooMany),
            ..bounds
        };
        let all: Vec<Name> = machines.keys().cloned().collect();
        let half = all.len() / 2;
        for part in [&all[..half], &all[half..]] {
            orders
                .apply(WorkOrderChange::AddOrder(kernel(part, loose)))
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
            times_emptied: BTreeMap::new(),
            violation: None,
            calm: false,
            peak_machines_out: 0,
            tick: 0,
            clients_moved: 0,
            plan_count: 0,
        }
    }

    pub fn machine_phases(&self) -> BTreeMap<Name, (Number, Phase)> {
        let each = self.orders.orders().values().flat_map(|(_, places)| places);
        each.map(|(name, place)| (name.clone(), (place.version, place.phase.clone())))
            .collect()
    }

    /// Machines of one kind in three zones, all of them to be worked on in orders of so many each, and nothing goes wrong.
    pub fn with_uniform_machines(
        seed: u64,
        machines: usize,
        proxies: usize,
        bounds: Bounds,
        each: usize,
    ) -> Self {
        let mut night = Self::new(seed, InjectedBug::Nothing);
        let machine = |at: usize| Machine {
            zone: format!("z-{}", at % 3),
            servers: vec![server(at, 0, 10)],
            proxy: None,
        };
        let all: BTreeMap<Name, Machine> = (0..machines)
            .map(|at| (format!("m-{at}"), machine(at)))
            .collect();
        let names: Vec<Name> = all.keys().cloned().collect();
        let mut orders = WorkOrders::default();
        orders
            .apply(WorkOrderChange::SetMachines(all))
            .expect("sound");
        for part in names.chunks(each) {
            orders
                .apply(WorkOrderChange::AddOrder(kernel(part, bounds)))
                .expect("sound");
        }
        (night.orders, night.bounds, night.calm) = (orders, bounds, true);
        night.proxies = (0..proxies)
            .map(|at| (format!("p-{at}"), Proxy::default()))
            .collect();
        night
    }

    /// Until every order has ended.
    pub fn run_to_completion(&mut self) {
        while !self.orders.orders().is_empty() && self.tick < 1_000_000 {
            self.step();
        }
    }

    /// A proxy hears what the log has; what is in no order is in.
    fn hear(&mut self, proxy: &Name) {
        let list = MachineAvailability::list_machines(&self.orders);
        let own = self.proxies.get_mut(proxy).unwrap();
        own.belief.apply_list(self.tick, list);
    }

    fn serve(&mut self, proxy: &Name) {
        let hasty = self.planted == InjectedBug::Hasty && proxy == "p-0";
        let machines: Vec<Name> = self.orders.machines().keys().cloned().collect();
        let to = machines[self.rng.random_range(0..machines.len())].clone();
        let leave = self.rng.random_bool(0.7);
        let own = self.proxies.get_mut(proxy).unwrap();
        let closed = |name: &Name| !hasty && own.belief.is_closed(name);
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
            self.clients_moved += moved;
        }
        // Others end by themselves.
        own.clients
            .values_mut()
            .for_each(|clients| *clients = (*clients).min(4));
    }

    fn report(&self, proxy: &Name) -> BTreeMap<Name, MachineReport> {
        let own = &self.proxies[proxy];
        let hasty = self.planted == InjectedBug::Hasty && proxy == "p-0";
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
                conductor.facts.unavailable = self.dead.clone();
            }
            conductor.facts.version_ages = self
                .since
                .iter()
                .map(|(version, at)| (*version, self.tick - at))
                .collect();
            if at == self.leads {
                conductor.fence = self.fence;
                self.plan_count += 1;
                conductor
                    .in_hand
                    .extend(plan_steps(&self.orders, &conductor.facts).steps);
            }
        }
        let act = !conductor.stalled && self.rng.random_bool(0.7);
        for (order, machine, version, step) in conductor
            .in_hand
            .drain(..)
            .filter(|_| act)
            .collect::<Vec<_>>()
        {
            let step = WorkOrderChange::Step {
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

    fn apply(&mut self, change: WorkOrderChange, machine: &Name) {
        let before = self.machine_phases().get(machine).cloned();
        let _ = self.orders.apply(change);
        let after = self.machine_phases().get(machine).cloned();
        if let Some((version, phase)) = &after
            && before.as_ref().map(|(version, _)| version) != Some(version)
        {
            self.since.insert(*version, self.tick);
            if *phase == Phase::Drained {
                *self.times_emptied.entry(machine.clone()).or_default() += 1;
            }
            if matches!(phase, Phase::Returning { .. }) {
                self.cold.insert(machine.clone(), 10);
            }
        }
    }

    fn staff(&mut self) {
        for (name, (version, phase)) in self.machine_phases() {
            let order = self
                .orders
                .orders()
                .iter()
                .find(|(_, (_, places))| places.contains_key(&name));
            let order = *order.unwrap().0;
            let step = match phase {
                Phase::Drained if self.rng.random_bool(0.1) => Step::CompleteWork,
                Phase::Drained if self.rng.random_bool(0.01) => Step::Fail(FailureReason::Staff),
                Phase::Failed(_) if self.rng.random_bool(0.1) => Step::Recall,
                _ => continue,
            };
            let change = WorkOrderChange::Step {
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
        let mut out: BTreeSet<&Name> = self.orders.machines_out().into_keys().collect();
        for proxy in self.proxies.values() {
            out.extend(
                proxy
                    .belief
                    .machines()
                    .filter(|name| proxy.belief.is_closed(name)),
            );
        }
        self.peak_machines_out = self.peak_machines_out.max(out.len());
        let mut wrong = None;
        if out.len() > self.bounds.max_out as usize {
            wrong = Some(format!(
                "Never Too Many Out: {out:?} of {}",
                self.bounds.max_out
            ));
        }
        let machines = self.orders.machines();
        let total: u64 = machines.values().map(Machine::capacity).sum();
        let left = machines.iter().filter(|(name, _)| !out.contains(name));
        let left: u64 = left.map(|(_, machine)| machine.capacity()).sum();
        if left * 1000 < total * u64::from(self.bounds.min_capacity_permille) {
            wrong = Some(format!("Floor Held: {left} of {total}"));
        }
        for (name, (_, phase)) in self.machine_phases() {
            let clients: u64 = self
                .proxies
                .values()
                .filter_map(|p| p.clients.get(&name))
                .sum();
            if phase == Phase::Drained && clients > 0 {
                wrong = Some(format!("Empty Means Empty: {clients} clients at {name}"));
            }
        }
        if let Some((name, _)) = self.times_emptied.iter().find(|(_, times)| **times > 1) {
            wrong = Some(format!("Once: {name} was told as empty again"));
        }
        if self.violation.is_none() {
            self.violation = wrong.map(|what| format!("tick {}: {what}", self.tick));
        }
    }

    /// A night of faults, and then calm until all is done that can be.
    pub fn run_with_faults(&mut self) {
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
pub fn build_order(machines: &[&str], bounds: Bounds) -> WorkOrder {
    WorkOrder {
        name: "kernel".into(),
        machines: machines.iter().map(|name| (*name).into()).collect(),
        bounds,
        timeouts: PhaseTimeouts {
            drain_timeout: 100,
            work_timeout: 100,
            return_timeout: 100,
        },
        not_before: 0,
        waits_for_done: true,
        paused: false,
        cancelled: false,
    }
}

/// Bounds that keep nothing in.
pub const PERMISSIVE_BOUNDS: Bounds = Bounds {
    max_out: 9,
    max_out_per_zone: 9,
    min_capacity_permille: 0,
    failure_tolerance: FailureTolerance::Nothing,
};

/// Machines `m-0` on, each of a zone, a kind, a room, and maybe a voter's.
pub fn orders_with_machines(machines: &[(&str, usize, u64, bool)]) -> WorkOrders {
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
    let mut orders = WorkOrders::default();
    orders
        .apply(WorkOrderChange::SetMachines(machines.collect()))
        .unwrap();
    orders
}

/// The order, the version and the phase of a machine.
pub fn machine_status(orders: &WorkOrders, name: &str) -> (Number, Number, Phase) {
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
pub fn apply_step(
    orders: &mut WorkOrders,
    name: &str,
    step: Step,
    fence: Option<Number>,
) -> Result<(), Refusal> {
    let (order, version, _) = machine_status(orders, name);
    orders.apply(WorkOrderChange::Step {
        order,
        machine: name.into(),
        version,
        step,
        fence,
    })
}
