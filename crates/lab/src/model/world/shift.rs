//! Work on all machines in the model: the orders, the planner and its reasons are the program's own; in place of the log
//! there is one conductor that looks every so often and hears what proxies confirm as late as lists are.

use std::collections::BTreeMap;

use violetwind_balancer::api::{ServerId, Status};
use violetwind_workorders::{
    Bounds, Change, Facts, Machine, Member, Name, Number, Order, Orders, Phase, Report, Spans,
    Spare, Step as Move, plan,
};

use super::super::server::Life;
use super::{Step, World};
use crate::scenario::Work;

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

pub(super) struct Shift {
    orders: Orders,
    /// When each place has had its version, and when every proxy has heard of it.
    since: BTreeMap<Number, f64>,
    begun: f64,
    outcome: WorkOutcome,
}

impl Shift {
    pub(super) fn end(self) -> WorkOutcome {
        self.outcome
    }
}

fn number(name: &str) -> ServerId {
    name.trim_start_matches("m-").parse().expect("named here")
}

impl World<'_> {
    fn begin_work(&self, work: &Work) -> Shift {
        let mut orders = Orders::default();
        let name = |at: usize| format!("m-{at:05}");
        let machines = self.servers.iter().enumerate().map(|(at, server)| {
            let machine = Machine {
                zone: server.zone.to_string(),
                servers: vec![violetwind_workorders::Server {
                    name: name(at),
                    kind: "all".into(),
                    cell: 0,
                    room: (self.set.server.capacity * 1000.0) as u64,
                }],
                proxy: None,
            };
            (name(at), machine)
        });
        let machines: BTreeMap<Name, Machine> = machines.collect();
        let names: Vec<Name> = machines.keys().cloned().collect();
        orders
            .apply(Change::Machines(machines))
            .expect("within limits");
        let each = if work.batch == 0 {
            names.len()
        } else {
            work.batch
        };
        for part in names.chunks(each) {
            let order = Order {
                name: "work".into(),
                machines: part.iter().cloned().collect(),
                bounds: Bounds {
                    most: work.most,
                    zone_most: work.zone_most,
                    floor: (work.floor * 1000.0).round() as u32,
                    spare: if work.spare {
                        Spare::Machine
                    } else {
                        Spare::Nothing
                    },
                },
                spans: Spans {
                    leave: u64::MAX,
                    work: u64::MAX,
                    back: u64::MAX,
                },
                not_before: 0,
                wait: true,
                paused: false,
                cancelled: false,
            };
            orders.apply(Change::Plan(order)).expect("sound bounds");
        }
        Shift {
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
            .asked
            .values()
            .filter(|asked| asked.out == Some(server));
        self.on[server as usize].len() + out.count()
    }

    /// Whoever conducts looks, and takes the steps that may be taken.
    pub(super) fn conduct(&mut self) {
        let Some(work) = self.set.work.clone() else {
            return;
        };
        let mut shift = self.shift.take().unwrap_or_else(|| self.begin_work(&work));
        self.look_at_work(&mut shift, &work);
        let running = !shift.orders.orders().is_empty();
        if !running {
            shift.outcome.took.get_or_insert(self.now - shift.begun);
        }
        self.shift = Some(shift);
        if running {
            self.after(work.every, Step::Conduct);
        }
    }

    fn look_at_work(&mut self, shift: &mut Shift, work: &Work) {
        let (now, late) = (self.now, 1.5 * self.set.lists.delay);
        let mut reports = BTreeMap::new();
        let mut jobs = Vec::new();
        for (order, (_, places)) in shift.orders.orders() {
            for (name, place) in places.iter().filter(|(_, place)| !place.phase.ended()) {
                let server = number(name);
                let since = *shift.since.entry(place.version).or_insert(now);
                let heard = now >= since + late;
                let closes = matches!(
                    place.phase,
                    Phase::Leaving | Phase::Empty | Phase::Failed(_)
                );
                let report = Report {
                    // Until all have heard, somebody goes by what was.
                    version: if heard { place.version } else { 0 },
                    clients: self.there(server) as u64,
                    closed: closes,
                    warm: self.servers[server as usize].life == Life::Up
                        && self.servers[server as usize].warmth(now, &self.set.server) >= 1.0,
                };
                reports.insert(name.clone(), report);
                if place.phase == Phase::Empty && now >= since + work.job {
                    jobs.push((*order, name.clone(), place.version));
                }
            }
        }
        let all = Member {
            live: true,
            reports,
        };
        let facts = Facts {
            members: [("proxies".to_string(), all)].into(),
            ..Facts::default()
        };
        let next = plan(&shift.orders, &facts);
        let steps = next
            .steps
            .into_iter()
            .map(|(order, name, version, step)| (order, name, version, step, Some(1)));
        let jobs = jobs
            .into_iter()
            .map(|(order, name, version)| (order, name, version, Move::Worked, None));
        for (order, machine, version, step, fence) in steps.chain(jobs) {
            let server = number(&machine);
            let change = Change::Step {
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
                Move::Out => {
                    shift.outcome.moved += self.on[server as usize].len();
                    self.tell_all(server, Status::Draining);
                }
                // Its process ends with the work, and comes back cold.
                Move::Worked => self.restart(server, true),
                Move::Empty => self.stop(server, Life::Down),
                Move::Back => shift.outcome.done += 1,
                _ => {}
            }
        }
        let out = shift.orders.out().len();
        shift.outcome.most_out = shift.outcome.most_out.max(out);
    }
}
