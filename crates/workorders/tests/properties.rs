//! The planner over any fleet, bounds and order of events, against a model that counts anew from the list of what is out;
//! what fails is shrunk to the fewest machines and events.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use violetwind_workorders::*;

#[derive(Clone, Debug)]
struct Fleet {
    /// Zone, kind and room of each machine.
    machines: Vec<(u8, u8, u64)>,
    most: u32,
    zone_most: u32,
    floor: u32,
    spare: u8,
    events: Vec<Event>,
}

#[derive(Clone, Debug)]
enum Event {
    /// Whoever conducts takes all steps that it plans.
    Conduct,
    /// A machine's clients leave, or come.
    Clients(usize, u64),
    Dies(usize),
    Returns(usize),
    Worked(usize),
    Pause(bool),
}

fn fleet() -> impl Strategy<Value = Fleet> {
    let machine = (0..3u8, 0..2u8, 1..10u64);
    let event = prop_oneof![
        4 => Just(Event::Conduct),
        2 => (0..12usize, 0..3u64).prop_map(|(at, clients)| Event::Clients(at, clients)),
        1 => (0..12usize).prop_map(Event::Dies),
        1 => (0..12usize).prop_map(Event::Returns),
        2 => (0..12usize).prop_map(Event::Worked),
        1 => any::<bool>().prop_map(Event::Pause),
    ];
    let machines = prop::collection::vec(machine, 2..12);
    let events = prop::collection::vec(event, 1..60);
    (machines, 1..4u32, 1..4u32, 0..900u32, 0..3u8, events).prop_map(
        |(machines, most, zone_most, floor, spare, events)| Fleet {
            machines,
            most,
            zone_most,
            floor,
            spare,
            events,
        },
    )
}

/// What the bounds say of a machine that goes, counted here from nothing but who is out and who is dead.
fn breaks(
    fleet: &Fleet,
    goes: usize,
    out: &BTreeSet<usize>,
    dead: &BTreeSet<usize>,
) -> Option<String> {
    let gone: BTreeSet<usize> = out.union(dead).copied().collect();
    if gone.len() > fleet.most as usize {
        return Some(format!("{gone:?} of {} out", fleet.most));
    }
    let zone = fleet.machines[goes].0;
    let there = gone.iter().filter(|at| fleet.machines[**at].0 == zone);
    if there.count() > fleet.zone_most as usize {
        return Some(format!("{gone:?}: too many in zone {zone}"));
    }
    let stays: Vec<&(u8, u8, u64)> = (0..fleet.machines.len())
        .filter(|at| !gone.contains(at))
        .map(|at| &fleet.machines[at])
        .collect();
    if !stays
        .iter()
        .any(|machine| machine.1 == fleet.machines[goes].1)
    {
        return Some("nothing of its kind is left".into());
    }
    let sum = |machines: &[&(u8, u8, u64)]| machines.iter().map(|machine| machine.2).sum::<u64>();
    let all: Vec<_> = fleet.machines.iter().collect();
    let lost = match fleet.spare {
        0 => 0,
        1 => stays.iter().map(|machine| machine.2).max().unwrap_or(0),
        _ => (0..3)
            .map(|zone| {
                sum(&stays
                    .iter()
                    .copied()
                    .filter(|m| m.0 == zone)
                    .collect::<Vec<_>>())
            })
            .max()
            .unwrap_or(0),
    };
    let left = sum(&stays) - lost;
    (left * 1000 < sum(&all) * u64::from(fleet.floor)).then(|| format!("room of {left} is left"))
}

fn name(at: usize) -> Name {
    format!("m-{at:02}")
}

fn play(fleet: &Fleet, loose: u32) -> Result<(), String> {
    let machine = |(at, (zone, kind, room)): (usize, &(u8, u8, u64))| {
        let server = Server {
            name: format!("s-{at}"),
            kind: format!("k-{kind}"),
            cell: at as u64,
            room: *room,
        };
        let machine = Machine {
            zone: format!("z-{zone}"),
            servers: vec![server],
            proxy: None,
        };
        (name(at), machine)
    };
    let machines: BTreeMap<Name, Machine> =
        fleet.machines.iter().enumerate().map(machine).collect();
    let count = machines.len();
    let mut orders = WorkOrders::default();
    orders
        .apply(WorkOrderChange::SetMachines(machines.clone()))
        .expect("sound");
    let order = WorkOrder {
        name: "all".into(),
        machines: machines.into_keys().collect(),
        bounds: Bounds {
            max_out: fleet.most + loose,
            max_out_per_zone: fleet.zone_most + loose,
            min_capacity_permille: fleet.floor,
            failure_tolerance: FailureTolerance::NAMES[usize::from(fleet.spare)].1,
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
        .expect("sound");
    let mut clients = vec![1u64; count];
    let mut dead: BTreeSet<usize> = BTreeSet::new();
    let mut emptied = vec![0u32; count];
    for event in &fleet.events {
        let number = *orders.orders().keys().next().unwrap_or(&0);
        match event {
            Event::Clients(at, there) => clients[at % count] = *there,
            Event::Dies(at) => drop(dead.insert(at % count)),
            Event::Returns(at) => drop(dead.remove(&(at % count))),
            Event::Pause(paused) => drop(orders.apply(WorkOrderChange::SetPaused(number, *paused))),
            Event::Worked(at) => {
                let places = orders.orders().get(&number).map(|(_, places)| places);
                if let Some(place) = places.and_then(|places| places.get(&name(at % count))) {
                    let step = WorkOrderChange::Step {
                        order: number,
                        machine: name(at % count),
                        version: place.version,
                        step: Step::CompleteWork,
                        fence: None,
                    };
                    let _ = orders.apply(step);
                }
            }
            Event::Conduct => {
                let places = orders.orders().values().flat_map(|(_, places)| places);
                let reports = places.map(|(machine, place)| {
                    let at: usize = machine[2..].parse().expect("named here");
                    let report = MachineReport {
                        version: place.version,
                        clients: clients[at],
                        closed: matches!(
                            place.phase,
                            Phase::Draining | Phase::Drained | Phase::Failed(_)
                        ),
                        warm: !dead.contains(&at),
                    };
                    (machine.clone(), report)
                });
                let member = Member {
                    live: true,
                    reports: reports.collect(),
                };
                let facts = PlannerInput {
                    members: [("p".to_string(), member)].into(),
                    unavailable: dead.iter().map(|at| name(*at)).collect(),
                    ..PlannerInput::default()
                };
                for (order, machine, version, step) in plan_steps(&orders, &facts).steps {
                    let at: usize = machine[2..].parse().expect("named here");
                    let change = WorkOrderChange::Step {
                        order,
                        machine: machine.clone(),
                        version,
                        step,
                        fence: Some(1),
                    };
                    if orders.apply(change).is_err() {
                        continue;
                    }
                    let out = orders.machines_out();
                    let out: BTreeSet<usize> = out
                        .keys()
                        .map(|name| name[2..].parse().expect("named"))
                        .collect();
                    if step == Step::TakeOut
                        && let Some(what) = breaks(fleet, at, &out, &dead)
                    {
                        return Err(format!("{machine} goes: {what}"));
                    }
                    if step == Step::MarkDrained {
                        emptied[at] += 1;
                        if clients[at] > 0 || emptied[at] > 1 {
                            return Err(format!(
                                "{machine} is told as empty: {clients:?} {emptied:?}"
                            ));
                        }
                    }
                }
            }
        }
    }
    Ok(())
}

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(34),
        ..Config::default()
    })
}

#[test]
fn what_is_planned_breaks_no_bound_whatever_happens() {
    let checked = runner(4000).run(&fleet(), |fleet| {
        play(&fleet, 0).map_err(TestCaseError::fail)
    });
    assert!(checked.is_ok(), "{checked:?}");
}

/// A planner and a log that take one machine more than they should: found, and cut to a few machines and the two steps that matter.
#[test]
fn one_too_many_is_found_and_shrunk() {
    let checked = runner(4000).run(&fleet(), |fleet| {
        play(&fleet, 1).map_err(TestCaseError::fail)
    });
    let Err(TestError::Fail(why, fleet)) = checked else {
        panic!("not found: {checked:?}")
    };
    assert!(why.message().contains("goes"), "{why}");
    assert!(
        fleet.machines.len() <= 6 && fleet.events.len() <= 3,
        "{fleet:?}"
    );
}
