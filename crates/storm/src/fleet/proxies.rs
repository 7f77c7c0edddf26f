//! Simulates the proxies of a fleet during maintenance of machines. A proxy applies a machine list once it is on disk,
//! serves clients on machines that are not out, and reports to its member. Staff plan orders and mark work as done. The
//! invariants are checked against the actions of the proxies.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::Rng;
use violetwind_consensus::Millis;
use violetwind_fleet::work_orders::{LocalWorkStatus, MachineList, WorkAction, WorkState};
use violetwind_fleet::{Input, Name, Number, OperatorCall};
use violetwind_workorders::{
    Bounds, Machine, MachineAvailability, MachineReport, Phase, PhaseTimeouts, Server, WorkOrder,
};

use super::{InjectedBug, World};

/// One proxy. Its stored state outlives the process.
#[derive(Clone, Debug, Default)]
pub struct Proxy {
    /// Availability of machines as stored on disk.
    stored: MachineAvailability,
    /// Availability of machines as applied by the running process.
    applied: MachineAvailability,
    /// Number of clients on each machine.
    clients: BTreeMap<Name, u64>,
    /// Machine lists being written to disk: due time, version, list.
    writes: VecDeque<(Millis, Number, MachineList)>,
}

/// The simulated maintenance: machines, staff, proxies and the records for the invariant checks.
#[derive(Clone, Debug, Default)]
pub struct Maintenance {
    pub machines: BTreeMap<Name, Machine>,
    /// The most machines that may be out of service at the same time.
    pub max_machines_out: u32,
    /// The order that staff request, repeated until it is planned.
    requested_order: Option<WorkOrder>,
    proxies: BTreeMap<Name, Proxy>,
    down_machines: BTreeSet<Name>,
    /// Returned machines that are still warming up, and the time at which each is warm.
    warm_until: BTreeMap<Name, Millis>,
    /// Version and phase of each machine at the last check.
    phases: BTreeMap<Name, (Number, Phase)>,
    /// How many times each machine was reported as drained.
    times_drained: BTreeMap<Name, u32>,
    /// Versions of the orders and of the machine list at the last check. Older states are skipped: a restarted member
    /// reads the orders from the beginning.
    checked_versions: (Number, Number),
    pub machines_done: usize,
    /// Number of phase changes of machines.
    pub machine_steps: usize,
}

impl Proxy {
    /// Starts a new process on the same disk.
    fn restart(&mut self) {
        *self = Self {
            applied: self.stored.clone(),
            stored: self.stored.clone(),
            ..Self::default()
        };
    }
}

impl World {
    /// Adds machines in three zones; restarts all processes. `bounds.max_out` is the bound that is checked.
    pub fn with_machines(mut self, count: usize, bounds: Bounds) -> Self {
        let machine = |at: usize| Machine {
            zone: format!("z-{}", at % 3),
            servers: vec![Server {
                name: format!("s-{at}"),
                kind: "k".into(),
                cell: 0,
                room: 10,
            }],
            proxy: None,
        };
        let machines = (0..count).map(|at| (format!("m-{at}"), machine(at)));
        self.maintenance = Some(Maintenance {
            machines: machines.collect(),
            max_machines_out: bounds.max_out,
            proxies: self
                .hosts
                .keys()
                .map(|name| (name.clone(), Proxy::default()))
                .collect(),
            ..Maintenance::default()
        });
        self.duties
            .push(violetwind_fleet::work_orders::WORK_DUTY.into());
        let hosts: Vec<Name> = self.hosts.keys().cloned().collect();
        for name in hosts {
            self.kill_process(&name);
            self.start_process(&name);
        }
        self
    }

    /// Staff plan an order for work on all machines, in a call at member `at`.
    pub fn plan_work(&mut self, at: &str, name: &str, bounds: Bounds) {
        let machines = self
            .maintenance
            .iter()
            .flat_map(|maintenance| maintenance.machines.keys());
        let order = WorkOrder {
            name: name.into(),
            machines: machines.cloned().collect(),
            bounds,
            timeouts: PhaseTimeouts {
                drain_timeout: 20_000,
                work_timeout: 20_000,
                return_timeout: 20_000,
            },
            not_before: 0,
            waits_for_done: true,
            paused: false,
            cancelled: false,
        };
        if let Some(maintenance) = &mut self.maintenance {
            maintenance.requested_order = Some(order.clone());
        }
        self.submit_call(at, OperatorCall::WorkAction(WorkAction::Plan(order)));
    }

    /// The work orders of the member whose applied state is the newest.
    pub fn work_state(&self) -> Option<&WorkState> {
        let members = self.hosts.values().filter_map(|host| host.member.as_ref());
        let states = members.filter_map(|member| Some(member.state()?.work()));
        states.max_by_key(|work| (work.version, work.roster_version))
    }

    /// Restarts the proxy of a host on its stored state.
    pub(super) fn restart_proxy(&mut self, name: &str) {
        let loses_list = self.injected_bug == InjectedBug::ServesUnlisted;
        if let Some(proxy) = self
            .maintenance
            .as_mut()
            .and_then(|maintenance| maintenance.proxies.get_mut(name))
        {
            if loses_list {
                proxy.stored = MachineAvailability::default();
            }
            proxy.restart();
        }
    }

    /// Starts the write of a machine list to the disk of a host.
    pub(super) fn queue_list_write(&mut self, name: &str, version: Number, list: MachineList) {
        let sync_latency = self.hosts[name].sync_latency;
        let due = self.now + sync_latency;
        if let Some(proxy) = self
            .maintenance
            .as_mut()
            .and_then(|maintenance| maintenance.proxies.get_mut(name))
        {
            proxy.writes.push_back((due, version, list));
        }
    }

    /// Advances a proxy by one step: finished writes, clients, a report to the member.
    pub(super) fn step_proxy(&mut self, name: &str) {
        let Some(mut maintenance) = self.maintenance.take() else {
            return;
        };
        let is_running = self.hosts[name].member.is_some();
        let proxy = maintenance
            .proxies
            .get_mut(name)
            .expect("each member has a proxy");
        let confirms_early = self.injected_bug == InjectedBug::HastyProxy;
        while is_running
            && proxy
                .writes
                .front()
                .is_some_and(|(due, ..)| *due <= self.now)
        {
            let (_, version, list) = proxy.writes.pop_front().expect("the queue has a due write");
            let skips_write =
                self.injected_bug == InjectedBug::ForgetfulProxy && proxy.stored.list_version() > 0;
            if !skips_write {
                proxy.stored.apply_list(version, list.clone());
            }
            // With the bug injected, the proxy confirms first and closes some time later.
            if !confirms_early || self.rng.random_bool(0.05) {
                proxy.applied.apply_list(version, list);
            }
        }
        // A proxy without a machine list does not serve yet.
        let may_serve =
            proxy.applied.list_version() > 0 || self.injected_bug == InjectedBug::ServesUnlisted;
        if is_running && may_serve && self.rng.random_bool(0.2) {
            let at = self.rng.random_range(0..maintenance.machines.len());
            let to = maintenance
                .machines
                .keys()
                .nth(at)
                .expect("the index is in range")
                .clone();
            if !proxy.applied.is_closed(&to) && !maintenance.down_machines.contains(&to) {
                *proxy.clients.entry(to).or_default() += 1;
            }
        }
        for (machine, clients) in &mut proxy.clients {
            let is_leaving = proxy.applied.is_closed(machine) || *clients > 3;
            if is_leaving && self.rng.random_bool(0.1) {
                *clients = clients.saturating_sub(1);
            }
        }
        let sends_report = is_running && self.rng.random_bool(0.1);
        let status =
            sends_report.then(|| maintenance.local_work_status(name, self.now, confirms_early));
        maintenance.warm_until.retain(|_, until| *until > self.now);
        self.maintenance = Some(maintenance);
        if let Some(status) = status {
            self.handle_input(name, Input::LocalWorkStatus(status));
        }
    }

    /// Staff mark drained machines as done and recall failed ones, in a call at a random member at random times. The
    /// order is planned again if the work state contains none.
    pub(super) fn issue_work_commands(&mut self) {
        let Some(maintenance) = &self.maintenance else {
            return;
        };
        if !self.rng.random_bool(0.02) {
            return;
        }
        let Some(work) = self.work_state() else {
            return;
        };
        let places = work.orders.orders().values().flat_map(|(_, places)| places);
        let commands = places.filter_map(|(name, place)| match place.phase {
            Phase::Drained => Some(WorkAction::MarkDone(name.clone())),
            Phase::Failed(_) => Some(WorkAction::Recall(name.clone())),
            _ => None,
        });
        let mut commands: Vec<WorkAction> = commands.collect();
        if work.orders.orders().is_empty() && work.orders.ended_orders().is_empty() {
            commands.extend(maintenance.requested_order.clone().map(WorkAction::Plan));
        }
        let nodes: Vec<Name> = maintenance.proxies.keys().cloned().collect();
        let at = nodes[self.rng.random_range(0..nodes.len())].clone();
        if !commands.is_empty() {
            let command = commands[self.rng.random_range(0..commands.len())].clone();
            self.submit_call(&at, OperatorCall::WorkAction(command));
        }
    }

    /// Brings a machine down, or up again if it is down. At most one machine is down at a time.
    pub(super) fn toggle_machine(&mut self, number: usize) {
        let Some(maintenance) = &mut self.maintenance else {
            return;
        };
        let at = number % maintenance.machines.len();
        let name = maintenance
            .machines
            .keys()
            .nth(at)
            .expect("the index is in range")
            .clone();
        if !maintenance.down_machines.remove(&name) && maintenance.down_machines.is_empty() {
            for proxy in maintenance.proxies.values_mut() {
                proxy.clients.remove(&name);
            }
            maintenance.down_machines.insert(name);
        }
    }

    pub(super) fn machine_count(&self) -> usize {
        self.maintenance
            .as_ref()
            .map_or(0, |maintenance| maintenance.machines.len())
    }

    pub(super) fn restore_machines(&mut self) {
        if let Some(maintenance) = &mut self.maintenance {
            maintenance.down_machines.clear();
        }
    }

    /// Checks the invariants of maintenance.
    pub(super) fn check_work(&mut self) {
        let Some(mut maintenance) = self.maintenance.take() else {
            return;
        };
        let violation = match self.work_state() {
            Some(work) => maintenance.check_invariants(work, self.now, &self.hosts),
            None => None,
        };
        self.maintenance = Some(maintenance);
        if let Some(violation) = violation {
            self.record_violation(violation);
        }
    }
}

impl Maintenance {
    /// The status that a proxy reports to its member.
    fn local_work_status(&self, name: &str, now: Millis, confirms_early: bool) -> LocalWorkStatus {
        let proxy = &self.proxies[name];
        let availability = if confirms_early {
            &proxy.stored
        } else {
            &proxy.applied
        };
        let reports = availability.machines().filter_map(|machine| {
            let clients = proxy.clients.get(machine).copied().unwrap_or(0);
            let is_warm =
                !self.down_machines.contains(machine) && !self.warm_until.contains_key(machine);
            let report: MachineReport =
                availability.report(machine, if confirms_early { 0 } else { clients }, is_warm)?;
            Some((machine.clone(), report))
        });
        let up_machines = self
            .machines
            .keys()
            .filter(|name| !self.down_machines.contains(*name));
        LocalWorkStatus {
            list_version: availability.list_version(),
            reports: reports.collect(),
            machines: self.machines.clone(),
            up_machines: up_machines.cloned().collect(),
            closed_machines: BTreeSet::new(),
            has_stopped_serving: false,
            unix_time_ms: now,
        }
    }

    /// Checks the invariants against the newest known state of the orders; returns a description of a violation.
    fn check_invariants(
        &mut self,
        work: &WorkState,
        now: Millis,
        hosts: &BTreeMap<Name, super::Host>,
    ) -> Option<String> {
        if (work.version, work.roster_version) < self.checked_versions {
            return None;
        }
        self.checked_versions = (work.version, work.roster_version);
        let mut out: BTreeSet<&Name> = work.orders.machines_out().into_keys().collect();
        for (name, proxy) in &self.proxies {
            if hosts[name].member.is_some() {
                let closed = proxy.applied.machines();
                out.extend(closed.filter(|machine| proxy.applied.is_closed(machine)));
            }
        }
        if out.len() > self.max_machines_out as usize {
            return Some(format!(
                "Never Too Many Out: {out:?} of {}",
                self.max_machines_out
            ));
        }
        for (_, places) in work.orders.orders().values() {
            for (name, place) in places {
                let current = (place.version, place.phase.clone());
                let previous = self.phases.insert(name.clone(), current.clone());
                if place.phase == Phase::Drained {
                    let occupied = self.proxies.iter().filter(|(_, proxy)| {
                        proxy.clients.get(name).is_some_and(|clients| *clients > 0)
                    });
                    let occupied: Vec<&Name> = occupied.map(|(name, _)| name).collect();
                    if !occupied.is_empty() {
                        return Some(format!(
                            "Empty Means Empty: {name} has clients of {occupied:?}"
                        ));
                    }
                }
                if previous == Some(current) {
                    continue;
                }
                self.machine_steps += 1;
                match place.phase {
                    Phase::Drained => {
                        let times = self.times_drained.entry(name.clone()).or_default();
                        *times += 1;
                        if *times > 1 {
                            return Some(format!(
                                "Once: {name} was reported as drained more than once"
                            ));
                        }
                    }
                    Phase::Returning { .. } => {
                        self.warm_until.insert(name.clone(), now + 300);
                    }
                    Phase::Done => self.machines_done += 1,
                    _ => {}
                }
            }
        }
        None
    }
}
