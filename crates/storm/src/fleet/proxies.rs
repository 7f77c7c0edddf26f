//! What a member's proxy does about work on machines: it goes by the list once that is on disk, serves clients at what is
//! not out, and reports. Staff plan orders and say what is done. The books are kept from what proxies do.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand::Rng;
use violetwind_consensus::Millis;
use violetwind_fleet::work_orders::{LocalWorkStatus, MachineList, WorkAction, WorkState};
use violetwind_fleet::{Input, Name, Number, OperatorCall};
use violetwind_workorders::{
    Bounds, Machine, MachineAvailability, MachineReport, Phase, PhaseTimeouts, Server, WorkOrder,
};

use super::{InjectedBug, World};

/// One proxy. What is on disk outlives its process.
#[derive(Clone, Debug, Default)]
pub struct Proxy {
    kept: MachineAvailability,
    belief: MachineAvailability,
    clients: BTreeMap<Name, u64>,
    /// Lists on their way to the disk.
    writes: VecDeque<(Millis, Number, MachineList)>,
}

/// Machines, staff, and the books.
#[derive(Clone, Debug, Default)]
pub struct Maintenance {
    pub machines: BTreeMap<Name, Machine>,
    pub max_machines_out: u32,
    /// What staff want; they say it again until it is planned.
    wanted: Option<WorkOrder>,
    proxies: BTreeMap<Name, Proxy>,
    /// Machines that are down, and those that are back and cold until then.
    down: BTreeSet<Name>,
    cold: BTreeMap<Name, Millis>,
    phases: BTreeMap<Name, (Number, Phase)>,
    emptied: BTreeMap<Name, u32>,
    /// How far the orders were when they were last looked at: who starts anew reads them from the beginning.
    seen: (Number, Number),
    pub machines_done: usize,
    pub machine_steps: usize,
}

impl Proxy {
    /// A new process on the same disk.
    fn restart(&mut self) {
        *self = Self {
            belief: self.kept.clone(),
            kept: self.kept.clone(),
            ..Self::default()
        };
    }
}

impl World {
    /// The same with machines, a few to a zone, and one order for all of them.
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

    /// Staff call for work on all machines at some member.
    pub fn plan_work(&mut self, at: &str, name: &str, bounds: Bounds) {
        let machines = self
            .maintenance
            .iter()
            .flat_map(|shift| shift.machines.keys());
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
        if let Some(shift) = &mut self.maintenance {
            shift.wanted = Some(order.clone());
        }
        self.submit_call(at, OperatorCall::WorkAction(WorkAction::Plan(order)));
    }

    /// The orders as whoever has applied the most has them.
    pub fn work_state(&self) -> Option<&WorkState> {
        let members = self.hosts.values().filter_map(|host| host.member.as_ref());
        let states = members.filter_map(|member| Some(member.state()?.work()));
        states.max_by_key(|work| (work.version, work.roster_version))
    }

    pub(super) fn restart_proxy(&mut self, name: &str) {
        let forgets = self.injected_bug == InjectedBug::ServesUnlisted;
        if let Some(proxy) = self
            .maintenance
            .as_mut()
            .and_then(|s| s.proxies.get_mut(name))
        {
            if forgets {
                proxy.kept = MachineAvailability::default();
            }
            proxy.restart();
        }
    }

    pub(super) fn queue_list_write(&mut self, name: &str, version: Number, list: MachineList) {
        let sync = self.hosts[name].sync_latency;
        let due = self.now + sync;
        if let Some(proxy) = self
            .maintenance
            .as_mut()
            .and_then(|s| s.proxies.get_mut(name))
        {
            proxy.writes.push_back((due, version, list));
        }
    }

    /// A step of one proxy that runs.
    pub(super) fn step_proxy(&mut self, name: &str) {
        let Some(mut shift) = self.maintenance.take() else {
            return;
        };
        let runs = self.hosts[name].member.is_some();
        let proxy = shift.proxies.get_mut(name).expect("one of each member");
        let hasty = self.injected_bug == InjectedBug::HastyProxy;
        while runs
            && proxy
                .writes
                .front()
                .is_some_and(|(due, ..)| *due <= self.now)
        {
            let (_, version, list) = proxy.writes.pop_front().expect("just seen");
            let forgets =
                self.injected_bug == InjectedBug::ForgetfulProxy && proxy.kept.list_version() > 0;
            if !forgets {
                proxy.kept.apply_list(version, list.clone());
            }
            // One that confirms first and closes some time later.
            if !hasty || self.rng.random_bool(0.05) {
                proxy.belief.apply_list(version, list);
            }
        }
        // One that knows no list serves nobody yet.
        let listed =
            proxy.belief.list_version() > 0 || self.injected_bug == InjectedBug::ServesUnlisted;
        if runs && listed && self.rng.random_bool(0.2) {
            let at = self.rng.random_range(0..shift.machines.len());
            let to = shift.machines.keys().nth(at).expect("in range").clone();
            if !proxy.belief.is_closed(&to) && !shift.down.contains(&to) {
                *proxy.clients.entry(to).or_default() += 1;
            }
        }
        for (machine, clients) in &mut proxy.clients {
            let leaves = proxy.belief.is_closed(machine) || *clients > 3;
            if leaves && self.rng.random_bool(0.1) {
                *clients = clients.saturating_sub(1);
            }
        }
        let report = runs && self.rng.random_bool(0.1);
        let local = report.then(|| shift.local(name, self.now, hasty));
        shift.cold.retain(|_, until| *until > self.now);
        self.maintenance = Some(shift);
        if let Some(local) = local {
            self.handle_input(name, Input::LocalWorkStatus(local));
        }
    }

    /// Staff at some member: what is empty is worked on, what has failed is looked after.
    pub(super) fn issue_work_commands(&mut self) {
        let Some(shift) = &self.maintenance else {
            return;
        };
        if !self.rng.random_bool(0.02) {
            return;
        }
        let Some(work) = self.work_state() else {
            return;
        };
        let places = work.orders.orders().values().flat_map(|(_, places)| places);
        let words = places.filter_map(|(name, place)| match place.phase {
            Phase::Drained => Some(WorkAction::MarkDone(name.clone())),
            Phase::Failed(_) => Some(WorkAction::Recall(name.clone())),
            _ => None,
        });
        let mut words: Vec<WorkAction> = words.collect();
        if work.orders.orders().is_empty() && work.orders.ended_orders().is_empty() {
            words.extend(shift.wanted.clone().map(WorkAction::Plan));
        }
        let at: Vec<Name> = shift.proxies.keys().cloned().collect();
        let at = at[self.rng.random_range(0..at.len())].clone();
        if !words.is_empty() {
            let word = words[self.rng.random_range(0..words.len())].clone();
            self.submit_call(&at, OperatorCall::WorkAction(word));
        }
    }

    /// Machines die and come back.
    pub(super) fn toggle_machine(&mut self, number: usize) {
        let Some(shift) = &mut self.maintenance else {
            return;
        };
        let at = number % shift.machines.len();
        let name = shift.machines.keys().nth(at).expect("in range").clone();
        if !shift.down.remove(&name) && shift.down.is_empty() {
            for proxy in shift.proxies.values_mut() {
                proxy.clients.remove(&name);
            }
            shift.down.insert(name);
        }
    }

    pub(super) fn machine_count(&self) -> usize {
        self.maintenance
            .as_ref()
            .map_or(0, |shift| shift.machines.len())
    }

    pub(super) fn restore_machines(&mut self) {
        if let Some(shift) = &mut self.maintenance {
            shift.down.clear();
        }
    }

    pub(super) fn check_work(&mut self) {
        let Some(mut shift) = self.maintenance.take() else {
            return;
        };
        let wrong = match self.work_state() {
            Some(work) => shift.check(work, self.now, &self.hosts),
            None => None,
        };
        self.maintenance = Some(shift);
        if let Some(what) = wrong {
            self.record_violation(what);
        }
    }
}

impl Maintenance {
    fn local(&self, name: &str, now: Millis, hasty: bool) -> LocalWorkStatus {
        let proxy = &self.proxies[name];
        let belief = if hasty { &proxy.kept } else { &proxy.belief };
        let reports = belief.machines().filter_map(|machine| {
            let clients = proxy.clients.get(machine).copied().unwrap_or(0);
            let warm = !self.down.contains(machine) && !self.cold.contains_key(machine);
            let report: MachineReport =
                belief.report(machine, if hasty { 0 } else { clients }, warm)?;
            Some((machine.clone(), report))
        });
        let up = self
            .machines
            .keys()
            .filter(|name| !self.down.contains(*name));
        LocalWorkStatus {
            list_version: belief.list_version(),
            reports: reports.collect(),
            machines: self.machines.clone(),
            up_machines: up.cloned().collect(),
            closed_machines: BTreeSet::new(),
            has_stopped_serving: false,
            unix_time_ms: now,
        }
    }

    /// The books against what whoever knows most has.
    fn check(
        &mut self,
        work: &WorkState,
        now: Millis,
        hosts: &BTreeMap<Name, super::Host>,
    ) -> Option<String> {
        if (work.version, work.roster_version) < self.seen {
            return None;
        }
        self.seen = (work.version, work.roster_version);
        let mut out: BTreeSet<&Name> = work.orders.machines_out().into_keys().collect();
        for (name, proxy) in &self.proxies {
            if hosts[name].member.is_some() {
                let closed = proxy.belief.machines();
                out.extend(closed.filter(|machine| proxy.belief.is_closed(machine)));
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
                let known = (place.version, place.phase.clone());
                let before = self.phases.insert(name.clone(), known.clone());
                if place.phase == Phase::Drained {
                    let at = self.proxies.iter().filter(|(_, proxy)| {
                        proxy.clients.get(name).is_some_and(|clients| *clients > 0)
                    });
                    let at: Vec<&Name> = at.map(|(name, _)| name).collect();
                    if !at.is_empty() {
                        return Some(format!("Empty Means Empty: {name} has clients of {at:?}"));
                    }
                }
                if before == Some(known) {
                    continue;
                }
                self.machine_steps += 1;
                match place.phase {
                    Phase::Drained => {
                        let times = self.emptied.entry(name.clone()).or_default();
                        *times += 1;
                        if *times > 1 {
                            return Some(format!("Once: {name} was told as empty again"));
                        }
                    }
                    Phase::Returning { .. } => {
                        self.cold.insert(name.clone(), now + 300);
                    }
                    Phase::Done => self.machines_done += 1,
                    _ => {}
                }
            }
        }
        None
    }
}
