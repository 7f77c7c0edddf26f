//! Property tests of the planner over random fleets, bounds and sequences of events. Each machine that is taken out is
//! checked against an independent model of the bounds; a failing case is shrunk to the fewest machines and events.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestCaseError, TestError, TestRunner};
use violetwind_workorders::*;

#[derive(Clone, Debug)]
struct Fleet {
    /// Zone, kind and capacity of each machine.
    machines: Vec<(u8, u8, u64)>,
    max_out: u32,
    max_out_per_zone: u32,
    min_capacity_permille: u32,
    /// The index of the tolerance in [`FailureTolerance::NAMES`].
    failure_tolerance: u8,
    events: Vec<Event>,
}

#[derive(Clone, Debug)]
enum Event {
    /// The coordinator plans, and proposes all planned steps.
    RunPlanner,
    /// Sets the number of clients at a machine.
    SetClients(usize, u64),
    FailMachine(usize),
    RecoverMachine(usize),
    /// An operator reports the work on a machine as done.
    CompleteWork(usize),
    SetPaused(bool),
}

fn fleet() -> impl Strategy<Value = Fleet> {
    let machine = (0..3u8, 0..2u8, 1..10u64);
    let event = prop_oneof![
        4 => Just(Event::RunPlanner),
        2 => (0..12usize, 0..3u64).prop_map(|(index, clients)| Event::SetClients(index, clients)),
        1 => (0..12usize).prop_map(Event::FailMachine),
        1 => (0..12usize).prop_map(Event::RecoverMachine),
        2 => (0..12usize).prop_map(Event::CompleteWork),
        1 => any::<bool>().prop_map(Event::SetPaused),
    ];
    let machines = prop::collection::vec(machine, 2..12);
    let events = prop::collection::vec(event, 1..60);
    (machines, 1..4u32, 1..4u32, 0..900u32, 0..3u8, events).prop_map(
        |(
            machines,
            max_out,
            max_out_per_zone,
            min_capacity_permille,
            failure_tolerance,
            events,
        )| Fleet {
            machines,
            max_out,
            max_out_per_zone,
            min_capacity_permille,
            failure_tolerance,
            events,
        },
    )
}

/// The bound that is violated by taking out a machine, computed only from the machines that are out or have failed.
fn violated_bound(
    fleet: &Fleet,
    taken_out: usize,
    out: &BTreeSet<usize>,
    failed: &BTreeSet<usize>,
) -> Option<String> {
    let unavailable: BTreeSet<usize> = out.union(failed).copied().collect();
    if unavailable.len() > fleet.max_out as usize {
        return Some(format!("{unavailable:?} out, {} allowed", fleet.max_out));
    }
    let zone = fleet.machines[taken_out].0;
    let in_zone = unavailable
        .iter()
        .filter(|index| fleet.machines[**index].0 == zone);
    if in_zone.count() > fleet.max_out_per_zone as usize {
        return Some(format!("{unavailable:?}: too many in zone {zone}"));
    }
    let remaining: Vec<&(u8, u8, u64)> = (0..fleet.machines.len())
        .filter(|index| !unavailable.contains(index))
        .map(|index| &fleet.machines[index])
        .collect();
    if !remaining
        .iter()
        .any(|machine| machine.1 == fleet.machines[taken_out].1)
    {
        return Some("no machine of its kind remains".into());
    }
    let capacity =
        |machines: &[&(u8, u8, u64)]| machines.iter().map(|machine| machine.2).sum::<u64>();
    let all: Vec<_> = fleet.machines.iter().collect();
    let lost = match fleet.failure_tolerance {
        0 => 0,
        1 => remaining.iter().map(|machine| machine.2).max().unwrap_or(0),
        _ => (0..3)
            .map(|zone| {
                capacity(
                    &remaining
                        .iter()
                        .copied()
                        .filter(|machine| machine.0 == zone)
                        .collect::<Vec<_>>(),
                )
            })
            .max()
            .unwrap_or(0),
    };
    let left = capacity(&remaining) - lost;
    (left * 1000 < capacity(&all) * u64::from(fleet.min_capacity_permille))
        .then(|| format!("a capacity of {left} remains"))
}

fn machine_name(index: usize) -> Name {
    format!("m-{index:02}")
}

/// Runs the events of a fleet whose order allows `extra_out` more machines than the fleet's bounds. Returns the first
/// violation.
fn run_events(fleet: &Fleet, extra_out: u32) -> Result<(), String> {
    let machine = |(index, (zone, kind, capacity)): (usize, &(u8, u8, u64))| {
        let server = Server {
            name: format!("s-{index}"),
            kind: format!("k-{kind}"),
            cell: index as u64,
            room: *capacity,
        };
        let machine = Machine {
            zone: format!("z-{zone}"),
            servers: vec![server],
            proxy: None,
        };
        (machine_name(index), machine)
    };
    let machines: BTreeMap<Name, Machine> =
        fleet.machines.iter().enumerate().map(machine).collect();
    let count = machines.len();
    let mut orders = WorkOrders::default();
    orders
        .apply(WorkOrderChange::SetMachines(machines.clone()))
        .expect("a valid change");
    let order = WorkOrder {
        name: "all".into(),
        machines: machines.into_keys().collect(),
        bounds: Bounds {
            max_out: fleet.max_out + extra_out,
            max_out_per_zone: fleet.max_out_per_zone + extra_out,
            min_capacity_permille: fleet.min_capacity_permille,
            failure_tolerance: FailureTolerance::NAMES[usize::from(fleet.failure_tolerance)].1,
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
        .expect("a valid change");
    let mut clients = vec![1u64; count];
    let mut failed: BTreeSet<usize> = BTreeSet::new();
    let mut times_drained = vec![0u32; count];
    for event in &fleet.events {
        let number = *orders.orders().keys().next().unwrap_or(&0);
        match event {
            Event::SetClients(index, client_count) => clients[index % count] = *client_count,
            Event::FailMachine(index) => drop(failed.insert(index % count)),
            Event::RecoverMachine(index) => drop(failed.remove(&(index % count))),
            Event::SetPaused(paused) => {
                drop(orders.apply(WorkOrderChange::SetPaused(number, *paused)))
            }
            Event::CompleteWork(index) => {
                let machines = orders.orders().get(&number).map(|(_, machines)| machines);
                if let Some(progress) =
                    machines.and_then(|machines| machines.get(&machine_name(index % count)))
                {
                    let step = WorkOrderChange::Step {
                        order: number,
                        machine: machine_name(index % count),
                        version: progress.version,
                        step: Step::CompleteWork,
                        fence: None,
                    };
                    let _ = orders.apply(step);
                }
            }
            Event::RunPlanner => {
                let machines = orders.orders().values().flat_map(|(_, machines)| machines);
                let reports = machines.map(|(machine, progress)| {
                    let index: usize = machine[2..].parse().expect("a name made by machine_name");
                    let report = MachineReport {
                        version: progress.version,
                        clients: clients[index],
                        closed: matches!(
                            progress.phase,
                            Phase::Draining | Phase::Drained | Phase::Failed(_)
                        ),
                        warm: !failed.contains(&index),
                    };
                    (machine.clone(), report)
                });
                let member = Member {
                    live: true,
                    reports: reports.collect(),
                };
                let input = PlannerInput {
                    members: [("p".to_string(), member)].into(),
                    unavailable: failed.iter().map(|index| machine_name(*index)).collect(),
                    ..PlannerInput::default()
                };
                for (order, machine, version, step) in plan_steps(&orders, &input).steps {
                    let index: usize = machine[2..].parse().expect("a name made by machine_name");
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
                        .map(|name| name[2..].parse().expect("a name made by machine_name"))
                        .collect();
                    if step == Step::TakeOut
                        && let Some(violation) = violated_bound(fleet, index, &out, &failed)
                    {
                        return Err(format!("{machine} was taken out: {violation}"));
                    }
                    if step == Step::MarkDrained {
                        times_drained[index] += 1;
                        if clients[index] > 0 || times_drained[index] > 1 {
                            return Err(format!(
                                "{machine} was reported as drained: {clients:?} {times_drained:?}"
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
fn planned_steps_never_violate_a_bound() {
    let checked = runner(4000).run(&fleet(), |fleet| {
        run_events(&fleet, 0).map_err(TestCaseError::fail)
    });
    assert!(checked.is_ok(), "{checked:?}");
}

/// Guards against a check that finds nothing: with a planner and a replicated state that allow one machine too many, it
/// finds the violation and shrinks it to a few machines and the two steps that matter.
#[test]
fn finds_and_shrinks_a_violation_when_one_machine_too_many_is_allowed() {
    let checked = runner(4000).run(&fleet(), |fleet| {
        run_events(&fleet, 1).map_err(TestCaseError::fail)
    });
    let Err(TestError::Fail(reason, fleet)) = checked else {
        panic!("not found: {checked:?}")
    };
    assert!(reason.message().contains("was taken out"), "{reason}");
    assert!(
        fleet.machines.len() <= 6 && fleet.events.len() <= 3,
        "{fleet:?}"
    );
}
