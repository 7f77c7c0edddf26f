//! Work on all machines in the model: the orders, the planner and its reasons are the program's own; in place of the log
//! there is one conductor that looks every so often and hears what proxies confirm as late as lists are.

use std::collections::BTreeMap;

use violetwind_balancer::api::{ServerId, Status};
use violetwind_workorders::{
    Bounds, FailureTolerance, Machine, MachineReport, Member, Name, Number, Phase, PhaseTimeouts,
    PlannerInput, Step as Move, WorkOrder, WorkOrderChange, WorkOrders, plan_steps,
};

use super::super::server::ServerState;
use super::{SimEvent, Simulation};
use crate::scenario::WorkSettings;

/// What became of the orders.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkOutcome {
    /// From the first look until the last machine was back, if that was within the run.
    pub took: Option<f64>,
    pub most_out: usize,
    /// Clients on machines when these went out.
    pub moved: usize,
    pub done: usize,
}

pub(super) struct WorkRun {
    orders: WorkOrders,
    /// When each place has had its version, and when every proxy has heard of it.
    since: BTreeMap<Number, f64>,
    begun: f64,
    outcome: WorkOutcome,
}

impl WorkRun {
    pub(super) fn into_outcome(self) -> WorkOutcome {
        self.outcome
    }
}

fn number(name: &str) -> ServerId {
    name.trim_start_matches("m-").parse().expect("named here")
}

impl Simulation<'_> {
    fn begin_work(&self, work: &WorkSettings) -> WorkRun {
        let mut orders = WorkOrders::default();
        let name = |at: usize| format!("m-{at:05}");
        let machines = self.servers.iter().enumerate().map(|(at, server)| {
            let machine = Machine {
                zone: server.zone.to_string(),
                servers: vec![violetwind_workorders::Server {
                    name: name(at),
                    kind: "all".into(),
                    cell: 0,
                    room: (self.scenario.server.capacity * 1000.0) as u64,
                }],
                proxy: None,
            };
            (name(at), machine)
        });
        let machines: BTreeMap<Name, Machine> = machines.collect();
        let names: Vec<Name> = machines.keys().cloned().collect();
        orders
            .apply(WorkOrderChange::SetMachines(machines))
            .expect("within limits");
        let each = if work.machines_per_order == 0 {
            names.len()
        } else {
            work.machines_per_order
        };
        for part in names.chunks(each) {
            let order = WorkOrder {
                name: "work".into(),
                machines: part.iter().cloned().collect(),
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
                .expect("sound bounds");
        }
        WorkRun {
            orders,
            since: BTreeMap::new(),
            begun: self.now,
            outcome: WorkOutcome {
                took: None,
                most_out: 0,
                moved: 0,
                done: 0,
            },
        }
    }

    /// Clients and attempts at a server, over all proxies.
    fn there(&self, server: ServerId) -> usize {
        let out = self
            .requests
            .values()
            .filter(|asked| asked.attempt_server == Some(server));
        self.connections_by_server[server as usize].len() + out.count()
    }

    /// Whoever conducts looks, and takes the steps that may be taken.
    pub(super) fn run_coordinator(&mut self) {
        let Some(work) = self.scenario.work.clone() else {
            return;
        };
        let mut shift = self
            .work_run
            .take()
            .unwrap_or_else(|| self.begin_work(&work));
        self.look_at_work(&mut shift, &work);
        let running = !shift.orders.orders().is_empty();
        if !running {
            shift.outcome.took.get_or_insert(self.now - shift.begun);
        }
        self.work_run = Some(shift);
        if running {
            self.schedule_after(work.check_interval, SimEvent::RunCoordinator);
        }
    }

    fn look_at_work(&mut self, shift: &mut WorkRun, work: &WorkSettings) {
        let (now, late) = (self.now, 1.5 * self.scenario.list_timing.propagation_delay);
        let mut reports = BTreeMap::new();
        let mut jobs = Vec::new();
        for (order, (_, places)) in shift.orders.orders() {
            for (name, place) in places
                .iter()
                .filter(|(_, place)| !place.phase.is_terminal())
            {
                let server = number(name);
                let since = *shift.since.entry(place.version).or_insert(now);
                let heard = now >= since + late;
                let closes = matches!(
                    place.phase,
                    Phase::Draining | Phase::Drained | Phase::Failed(_)
                );
                let report = MachineReport {
                    // Until all have heard, somebody goes by what was.
                    version: if heard { place.version } else { 0 },
                    clients: self.there(server) as u64,
                    closed: closes,
                    warm: self.servers[server as usize].state == ServerState::Up
                        && self.servers[server as usize]
                            .slow_start_progress(now, &self.scenario.server)
                            >= 1.0,
                };
                reports.insert(name.clone(), report);
                if place.phase == Phase::Drained && now >= since + work.job_duration {
                    jobs.push((*order, name.clone(), place.version));
                }
            }
        }
        let all = Member {
            live: true,
            reports,
        };
        let facts = PlannerInput {
            members: [("proxies".to_string(), all)].into(),
            ..PlannerInput::default()
        };
        let next = plan_steps(&shift.orders, &facts);
        let steps = next
            .steps
            .into_iter()
            .map(|(order, name, version, step)| (order, name, version, step, Some(1)));
        let jobs = jobs
            .into_iter()
            .map(|(order, name, version)| (order, name, version, Move::CompleteWork, None));
        for (order, machine, version, step, fence) in steps.chain(jobs) {
            let server = number(&machine);
            let change = WorkOrderChange::Step {
                order,
                machine,
                version,
                step,
                fence,
            };
            if shift.orders.apply(change).is_err() {
                continue;
            }
            match step {
                Move::TakeOut => {
                    shift.outcome.moved += self.connections_by_server[server as usize].len();
                    self.announce_status(server, Status::Draining);
                }
                // Its process ends with the work, and comes back cold.
                Move::CompleteWork => self.restart_server(server, true),
                Move::MarkDrained => self.stop_server(server, ServerState::Down),
                Move::CompleteReturn => shift.outcome.done += 1,
                _ => {}
            }
        }
        let out = shift.orders.machines_out().len();
        shift.outcome.most_out = shift.outcome.most_out.max(out);
    }
}
