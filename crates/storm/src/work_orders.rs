//! Simulates maintenance of random fleets with the real work orders and planner: proxies receive lists late, are cut
//! off or restart, machines fail, and conductors stall with planned steps that are not yet applied. The invariants are
//! checked against the actions of the proxies.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use violetwind_workorders::*;

/// A bug that is injected to show that a check detects it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedBug {
    Nothing,
    /// A proxy confirms that a machine is closed before it is.
    Hasty,
    /// The log accepts one machine more out of service than the bound that is checked.
    OneTooMany,
}

/// A proxy: the availability of machines that it has received, and its clients on each machine.
#[derive(Clone, Default)]
struct Proxy {
    availability: MachineAvailability,
    clients: BTreeMap<Name, u64>,
    is_cut_off: bool,
}

/// A member that can conduct the work orders.
#[derive(Clone, Default)]
struct Conductor {
    planner_input: PlannerInput,
    /// Planned steps not yet applied: order, machine, version of the machine's place, step.
    pending_steps: Vec<(Number, Name, Number, Step)>,
    fence: Number,
    is_stalled: bool,
}

/// A simulated fleet with its proxies and work orders. Faults stop after a while, so that the orders can end.
pub struct World {
    rng: Pcg64Mcg,
    injected_bug: InjectedBug,
    bounds: Bounds,
    pub orders: WorkOrders,
    proxies: BTreeMap<Name, Proxy>,
    conductors: Vec<Conductor>,
    /// Index of the conductor that holds the duty.
    conducting_index: usize,
    /// Fencing number of the current conductor.
    fence: Number,
    dead_machines: BTreeSet<Name>,
    /// Ticks until a returned machine is warm.
    warm_up_ticks: BTreeMap<Name, u32>,
    /// Tick at which a version of a machine's place began.
    version_started: BTreeMap<Number, Millis>,
    /// How many times each machine was reported as drained.
    pub times_drained: BTreeMap<Name, u32>,
    pub violation: Option<String>,
    /// Whether random faults are no longer injected.
    faults_ended: bool,
    /// The most machines out of service at the same time.
    pub peak_machines_out: usize,
    pub tick: Millis,
    /// Number of clients moved off machines that are being drained.
    pub clients_moved: u64,
    /// Number of runs of the planner.
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

/// Like [`build_order`], with phase timeouts that outlast a stalled conductor.
fn build_order_with_long_phases(machines: &[Name], bounds: Bounds) -> WorkOrder {
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
    /// Creates a random fleet and two orders, each for half of its machines.
    pub fn new(seed: u64, injected_bug: InjectedBug) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (machine_count, zone_count, kind_count) = (
            rng.random_range(4..14),
            rng.random_range(1..4),
            rng.random_range(1..4),
        );
        let mut machines = BTreeMap::new();
        for at in 0..machine_count {
            let servers = (0..rng.random_range(1..3))
                .map(|_| server(at, rng.random_range(0..kind_count), rng.random_range(1..10)));
            let machine = Machine {
                zone: format!("z-{}", at % zone_count),
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
        let order_bounds = Bounds {
            max_out: bounds.max_out + u32::from(injected_bug == InjectedBug::OneTooMany),
            ..bounds
        };
        let all: Vec<Name> = machines.keys().cloned().collect();
        let half = all.len() / 2;
        for part in [&all[..half], &all[half..]] {
            orders
                .apply(WorkOrderChange::AddOrder(build_order_with_long_phases(
                    part,
                    order_bounds,
                )))
                .expect("the change is valid");
        }
        let proxies = (0..rng.random_range(2..6)).map(|at| (format!("p-{at}"), Proxy::default()));
        Self {
            proxies: proxies.collect(),
            conductors: vec![Conductor::default(); 3],
            conducting_index: 0,
            fence: 1,
            rng,
            injected_bug,
            bounds,
            orders,
            dead_machines: BTreeSet::new(),
            warm_up_ticks: BTreeMap::new(),
            version_started: BTreeMap::new(),
            times_drained: BTreeMap::new(),
            violation: None,
            faults_ended: false,
            peak_machines_out: 0,
            tick: 0,
            clients_moved: 0,
            plan_count: 0,
        }
    }

    /// Version and phase of each machine that is in an order.
    pub fn machine_phases(&self) -> BTreeMap<Name, (Number, Phase)> {
        let places = self.orders.orders().values().flat_map(|(_, places)| places);
        places
            .map(|(name, place)| (name.clone(), (place.version, place.phase.clone())))
            .collect()
    }

    /// Machines of one kind in three zones, with orders for all of them of `machines_per_order` each, and no faults.
    pub fn with_uniform_machines(
        seed: u64,
        machines: usize,
        proxies: usize,
        bounds: Bounds,
        machines_per_order: usize,
    ) -> Self {
        let mut world = Self::new(seed, InjectedBug::Nothing);
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
            .expect("the change is valid");
        for part in names.chunks(machines_per_order) {
            orders
                .apply(WorkOrderChange::AddOrder(build_order_with_long_phases(
                    part, bounds,
                )))
                .expect("the change is valid");
        }
        (world.orders, world.bounds, world.faults_ended) = (orders, bounds, true);
        world.proxies = (0..proxies)
            .map(|at| (format!("p-{at}"), Proxy::default()))
            .collect();
        world
    }

    /// Runs until every order has ended, for at most a million ticks.
    pub fn run_to_completion(&mut self) {
        while !self.orders.orders().is_empty() && self.tick < 1_000_000 {
            self.step();
        }
    }

    /// A proxy receives the machine list of the log. Machines that are in no order are in service.
    fn receive_list(&mut self, proxy: &Name) {
        let list = MachineAvailability::list_machines(&self.orders);
        let proxy = self.proxies.get_mut(proxy).unwrap();
        proxy.availability.apply_list(self.tick, list);
    }

    /// Adds a client of a proxy on a random machine and moves clients off closed machines.
    fn step_clients(&mut self, proxy: &Name) {
        let confirms_early = self.injected_bug == InjectedBug::Hasty && proxy == "p-0";
        let machines: Vec<Name> = self.orders.machines().keys().cloned().collect();
        let to = machines[self.rng.random_range(0..machines.len())].clone();
        let clients_leave = self.rng.random_bool(0.7);
        let proxy = self.proxies.get_mut(proxy).unwrap();
        let is_closed = |name: &Name| !confirms_early && proxy.availability.is_closed(name);
        if !is_closed(&to) {
            *proxy.clients.entry(to).or_default() += 1;
        }
        let closed_machines: Vec<Name> = proxy
            .clients
            .keys()
            .filter(|name| is_closed(name))
            .cloned()
            .collect();
        for name in closed_machines {
            let clients = proxy.clients.get_mut(&name).unwrap();
            let moved = (*clients).min(if clients_leave { 2 } else { 0 });
            *clients -= moved;
            self.clients_moved += moved;
        }
        // Other clients end their connections.
        proxy
            .clients
            .values_mut()
            .for_each(|clients| *clients = (*clients).min(4));
    }

    /// The report of a proxy about the machines in its list.
    fn report(&self, proxy: &Name) -> BTreeMap<Name, MachineReport> {
        let proxy_state = &self.proxies[proxy];
        let confirms_early = self.injected_bug == InjectedBug::Hasty && proxy == "p-0";
        let reports = proxy_state.availability.machines().filter_map(|name| {
            let is_up =
                !self.dead_machines.contains(name) && !self.warm_up_ticks.contains_key(name);
            let clients = proxy_state.clients.get(name).copied().unwrap_or(0);
            let report = proxy_state.availability.report(
                name,
                if confirms_early { 0 } else { clients },
                is_up,
            )?;
            Some((name.clone(), report))
        });
        reports.collect()
    }

    /// Advances a conductor: it receives reports of some proxies, plans if it holds the duty, and applies its planned
    /// steps now or later.
    fn conduct(&mut self, at: usize) {
        let mut conductor = std::mem::take(&mut self.conductors[at]);
        if !conductor.is_stalled {
            for (name, proxy) in &self.proxies {
                let receives_report = !proxy.is_cut_off && self.rng.random_bool(0.7);
                let member = conductor
                    .planner_input
                    .members
                    .entry(name.clone())
                    .or_default();
                member.live = !proxy.is_cut_off;
                if receives_report {
                    member.reports = self.report(name);
                }
            }
            if self.rng.random_bool(0.5) {
                conductor.planner_input.unavailable = self.dead_machines.clone();
            }
            conductor.planner_input.version_ages = self
                .version_started
                .iter()
                .map(|(version, at)| (*version, self.tick - at))
                .collect();
            if at == self.conducting_index {
                conductor.fence = self.fence;
                self.plan_count += 1;
                conductor
                    .pending_steps
                    .extend(plan_steps(&self.orders, &conductor.planner_input).steps);
            }
        }
        let applies_steps = !conductor.is_stalled && self.rng.random_bool(0.7);
        for (order, machine, version, step) in conductor
            .pending_steps
            .drain(..)
            .filter(|_| applies_steps)
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

    /// Applies a change to the orders and records the phase that the machine enters.
    fn apply(&mut self, change: WorkOrderChange, machine: &Name) {
        let before = self.machine_phases().get(machine).cloned();
        let _ = self.orders.apply(change);
        let after = self.machine_phases().get(machine).cloned();
        if let Some((version, phase)) = &after
            && before.as_ref().map(|(version, _)| version) != Some(version)
        {
            self.version_started.insert(*version, self.tick);
            if *phase == Phase::Drained {
                *self.times_drained.entry(machine.clone()).or_default() += 1;
            }
            if matches!(phase, Phase::Returning { .. }) {
                self.warm_up_ticks.insert(machine.clone(), 10);
            }
        }
    }

    /// Staff complete work on drained machines, report failures and recall failed machines.
    fn step_staff(&mut self) {
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

    fn inject_random_fault(&mut self) {
        let names: Vec<Name> = self.proxies.keys().cloned().collect();
        let proxy = names[self.rng.random_range(0..names.len())].clone();
        let machines: Vec<Name> = self.orders.machines().keys().cloned().collect();
        let machine = machines[self.rng.random_range(0..machines.len())].clone();
        match self.rng.random_range(0..7) {
            0 => self.proxies.get_mut(&proxy).unwrap().is_cut_off = true,
            1 => self.proxies.get_mut(&proxy).unwrap().is_cut_off = false,
            // The proxy restarts with its stored machine list; its clients are gone.
            2 => self.proxies.get_mut(&proxy).unwrap().clients.clear(),
            3 => drop(self.dead_machines.insert(machine)),
            4 => self.dead_machines.clear(),
            5 => {
                let is_stalled = self.rng.random_bool(0.5);
                self.conductors[self.conducting_index].is_stalled = is_stalled;
            }
            // The duty is handed off; the previous conductor may still apply its planned steps.
            _ => {
                self.conducting_index = self.rng.random_range(0..self.conductors.len());
                self.fence += 1;
            }
        }
    }

    fn step(&mut self) {
        self.tick += 1;
        if !self.faults_ended && self.rng.random_bool(0.1) {
            self.inject_random_fault();
        }
        for name in self.proxies.keys().cloned().collect::<Vec<_>>() {
            let receives_list = !self.proxies[&name].is_cut_off && self.rng.random_bool(0.5);
            if receives_list {
                self.receive_list(&name);
            }
            self.step_clients(&name);
        }
        self.step_staff();
        (0..self.conductors.len()).for_each(|at| self.conduct(at));
        self.warm_up_ticks
            .values_mut()
            .for_each(|ticks| *ticks = ticks.saturating_sub(1));
        self.warm_up_ticks.retain(|_, ticks| *ticks > 0);
        self.check_invariants();
    }

    fn check_invariants(&mut self) {
        let mut out: BTreeSet<&Name> = self.orders.machines_out().into_keys().collect();
        for proxy in self.proxies.values() {
            out.extend(
                proxy
                    .availability
                    .machines()
                    .filter(|name| proxy.availability.is_closed(name)),
            );
        }
        self.peak_machines_out = self.peak_machines_out.max(out.len());
        let mut violation = None;
        if out.len() > self.bounds.max_out as usize {
            violation = Some(format!(
                "Never Too Many Out: {out:?} of {}",
                self.bounds.max_out
            ));
        }
        let machines = self.orders.machines();
        let total: u64 = machines.values().map(Machine::capacity).sum();
        let remaining = machines.iter().filter(|(name, _)| !out.contains(name));
        let remaining: u64 = remaining.map(|(_, machine)| machine.capacity()).sum();
        if remaining * 1000 < total * u64::from(self.bounds.min_capacity_permille) {
            violation = Some(format!("Floor Held: {remaining} of {total}"));
        }
        for (name, (_, phase)) in self.machine_phases() {
            let clients: u64 = self
                .proxies
                .values()
                .filter_map(|proxy| proxy.clients.get(&name))
                .sum();
            if phase == Phase::Drained && clients > 0 {
                violation = Some(format!("Empty Means Empty: {clients} clients at {name}"));
            }
        }
        if let Some((name, _)) = self.times_drained.iter().find(|(_, times)| **times > 1) {
            violation = Some(format!(
                "Once: {name} was reported as drained more than once"
            ));
        }
        if self.violation.is_none() {
            self.violation =
                violation.map(|description| format!("tick {}: {description}", self.tick));
        }
    }

    /// Runs 400 ticks with faults, then without faults until every order has ended, for at most 1500 ticks.
    pub fn run_with_faults(&mut self) {
        for _ in 0..400 {
            self.step();
        }
        self.faults_ended = true;
        self.dead_machines.clear();
        self.proxies
            .values_mut()
            .for_each(|proxy| proxy.is_cut_off = false);
        self.conductors
            .iter_mut()
            .for_each(|conductor| conductor.is_stalled = false);
        for _ in 0..1500 {
            if self.orders.orders().is_empty() {
                break;
            }
            self.step();
        }
    }
}

/// An order for work on these machines, with a timeout of 100 for each phase.
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

/// Bounds that allow nine machines out and require no remaining capacity.
pub const PERMISSIVE_BOUNDS: Bounds = Bounds {
    max_out: 9,
    max_out_per_zone: 9,
    min_capacity_permille: 0,
    failure_tolerance: FailureTolerance::Nothing,
};

/// Work orders for machines named from `m-0`, each given as its zone, its kind, its room, and whether it runs the
/// proxy of a voter.
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
///
/// # Panics
/// If the machine is in no order.
pub fn machine_status(orders: &WorkOrders, name: &str) -> (Number, Number, Phase) {
    let status = orders.orders().iter().find_map(|(number, (_, places))| {
        places
            .get(name)
            .map(|place| (*number, place.version, place.phase.clone()))
    });
    status.expect("the machine is in an order")
}

/// Applies a step to a machine at its current version.
///
/// # Errors
/// The refusal of the step by the log.
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
