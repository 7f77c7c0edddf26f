//! Work orders in the simulation. The orders and the planner are those of the proxy program. One coordinator with
//! periodic checks replaces the replicated log; it receives the confirmations of proxies with the delay of list
//! updates.

use std::collections::BTreeMap;

use violetwind_balancer::api::{ServerId, Status};
use violetwind_workorders::{
    Bounds, FailureTolerance, Machine, MachineReport, Member, Name, Number, Phase, PhaseTimeouts,
    PlannerInput, Step, WorkOrder, WorkOrderChange, WorkOrders, plan_steps,
};

use super::super::server::ServerState;
use super::{SimEvent, Simulation};
use crate::scenario::WorkSettings;

/// Result of the work orders of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkOutcome {
    /// Time in seconds from the first check until the last machine was back; `None` if the run ended earlier.
    pub duration: Option<f64>,
    /// Highest number of machines that were out at once.
    pub max_machines_out: usize,
    /// Number of clients connected to machines when these were taken out.
    pub clients_moved: usize,
    /// Number of machines that returned after their work.
    pub machines_done: usize,
}

/// Work orders of a run and their progress.
pub(super) struct WorkRun {
    orders: WorkOrders,
    /// Time at which the coordinator first saw each version of a machine's state.
    seen_at: BTreeMap<Number, f64>,
    started_at: f64,
    outcome: WorkOutcome,
}

impl WorkRun {
    pub(super) fn into_outcome(self) -> WorkOutcome {
        self.outcome
    }
}

fn server_number(name: &str) -> ServerId {
    name.trim_start_matches("m-")
        .parse()
        .expect("begin_work creates all machine names")
}

impl Simulation<'_> {
    /// Creates the work orders of the scenario, with one machine per server.
    fn begin_work(&self, work: &WorkSettings) -> WorkRun {
        let mut orders = WorkOrders::default();
        let name = |index: usize| format!("m-{index:05}");
        let machines = self.servers.iter().enumerate().map(|(index, server)| {
            let machine = Machine {
                zone: server.zone.to_string(),
                servers: vec![violetwind_workorders::Server {
                    name: name(index),
                    kind: "all".into(),
                    cell: 0,
                    room: (self.scenario.server.capacity * 1000.0) as u64,
                }],
                proxy: None,
            };
            (name(index), machine)
        });
        let machines: BTreeMap<Name, Machine> = machines.collect();
        let names: Vec<Name> = machines.keys().cloned().collect();
        orders
            .apply(WorkOrderChange::SetMachines(machines))
            .expect("the machine list is within the limits");
        let machines_per_order = if work.machines_per_order == 0 {
            names.len()
        } else {
            work.machines_per_order
        };
        for chunk in names.chunks(machines_per_order) {
            let order = WorkOrder {
                name: "work".into(),
                machines: chunk.iter().cloned().collect(),
                bounds: Bounds {
                    max_out: work.max_out,
                    max_out_per_zone: work.max_out_per_zone,
                    min_capacity_permille: (work.min_capacity_share * 1000.0).round() as u32,
                    failure_tolerance: if work.keep_spare_machine {
                        FailureTolerance::Machine
                    } else {
                        FailureTolerance::Nothing
                    },
                },
                timeouts: PhaseTimeouts {
                    drain_timeout: u64::MAX,
                    work_timeout: u64::MAX,
                    return_timeout: u64::MAX,
                },
                not_before: 0,
                waits_for_done: true,
                paused: false,
                cancelled: false,
            };
            orders
                .apply(WorkOrderChange::AddOrder(order))
                .expect("the bounds of the order are valid");
        }
        WorkRun {
            orders,
            seen_at: BTreeMap::new(),
            started_at: self.now,
            outcome: WorkOutcome {
                duration: None,
                max_machines_out: 0,
                clients_moved: 0,
                machines_done: 0,
            },
        }
    }

    /// Counts the connections and attempts at a server, over all proxies.
    fn count_clients(&self, server: ServerId) -> usize {
        let attempts = self
            .requests
            .values()
            .filter(|active| active.attempt_server == Some(server));
        self.connections_by_server[server as usize].len() + attempts.count()
    }

    /// Runs one check of the coordinator, and schedules the next one while orders are running.
    pub(super) fn run_coordinator(&mut self) {
        let Some(work) = self.scenario.work.clone() else {
            return;
        };
        let mut work_run = self
            .work_run
            .take()
            .unwrap_or_else(|| self.begin_work(&work));
        self.step_work_orders(&mut work_run, &work);
        let is_running = !work_run.orders.orders().is_empty();
        if !is_running {
            work_run
                .outcome
                .duration
                .get_or_insert(self.now - work_run.started_at);
        }
        self.work_run = Some(work_run);
        if is_running {
            self.schedule_after(work.check_interval, SimEvent::RunCoordinator);
        }
    }

    /// Plans the next steps from the reports of the proxies and applies them.
    fn step_work_orders(&mut self, work_run: &mut WorkRun, work: &WorkSettings) {
        let (now, confirmation_delay) =
            (self.now, 1.5 * self.scenario.list_timing.propagation_delay);
        let mut reports = BTreeMap::new();
        let mut completed_jobs = Vec::new();
        for (order, (_, machine_states)) in work_run.orders.orders() {
            for (name, machine_state) in machine_states
                .iter()
                .filter(|(_, machine_state)| !machine_state.phase.is_terminal())
            {
                let server = server_number(name);
                let seen_at = *work_run.seen_at.entry(machine_state.version).or_insert(now);
                let is_confirmed = now >= seen_at + confirmation_delay;
                let is_closed = matches!(
                    machine_state.phase,
                    Phase::Draining | Phase::Drained | Phase::Failed(_)
                );
                let report = MachineReport {
                    // Before the confirmation delay has passed, some proxies may still use the previous version.
                    version: if is_confirmed {
                        machine_state.version
                    } else {
                        0
                    },
                    clients: self.count_clients(server) as u64,
                    closed: is_closed,
                    warm: self.servers[server as usize].state == ServerState::Up
                        && self.servers[server as usize]
                            .slow_start_progress(now, &self.scenario.server)
                            >= 1.0,
                };
                reports.insert(name.clone(), report);
                if machine_state.phase == Phase::Drained && now >= seen_at + work.job_duration {
                    completed_jobs.push((*order, name.clone(), machine_state.version));
                }
            }
        }
        let proxies = Member {
            live: true,
            reports,
        };
        let input = PlannerInput {
            members: [("proxies".to_string(), proxies)].into(),
            ..PlannerInput::default()
        };
        let plan = plan_steps(&work_run.orders, &input);
        let steps = plan
            .steps
            .into_iter()
            .map(|(order, name, version, step)| (order, name, version, step, Some(1)));
        let completed_jobs = completed_jobs
            .into_iter()
            .map(|(order, name, version)| (order, name, version, Step::CompleteWork, None));
        for (order, machine, version, step, fence) in steps.chain(completed_jobs) {
            let server = server_number(&machine);
            let change = WorkOrderChange::Step {
                order,
                machine,
                version,
                step,
                fence,
            };
            if work_run.orders.apply(change).is_err() {
                continue;
            }
            match step {
                Step::TakeOut => {
                    work_run.outcome.clients_moved +=
                        self.connections_by_server[server as usize].len();
                    self.announce_status(server, Status::Draining);
                }
                // The process ended when the machine was drained; after the work it restarts cold.
                Step::CompleteWork => self.restart_server(server, true),
                Step::MarkDrained => self.stop_server(server, ServerState::Down),
                Step::CompleteReturn => work_run.outcome.machines_done += 1,
                _ => {}
            }
        }
        let machines_out = work_run.orders.machines_out().len();
        work_run.outcome.max_machines_out = work_run.outcome.max_machines_out.max(machines_out);
    }
}
