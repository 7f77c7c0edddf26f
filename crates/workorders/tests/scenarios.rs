//! Tests of work orders and the planner: each bound and each difficult case on its own, and simulations of random
//! fleets with faults.

use std::collections::{BTreeMap, BTreeSet};

use violetwind_storm::work_orders::{
    InjectedBug, PERMISSIVE_BOUNDS, World, apply_step, build_order, machine_status,
    orders_with_machines,
};
use violetwind_workorders::*;

/// The machines that are in no terminal phase when the simulation has ended.
fn unfinished_machines(world: &World) -> Vec<(Name, Phase)> {
    world
        .machine_phases()
        .into_iter()
        .map(|(name, (_, phase))| (name, phase))
        .filter(|(_, phase)| !phase.is_terminal())
        .collect()
}

#[test]
fn simulations_with_faults_violate_no_invariant_and_leave_only_machines_that_bounds_keep_in() {
    let (mut done, mut kept_in) = (0, 0);
    for seed in 0..400 {
        let mut world = World::new(seed, InjectedBug::Nothing);
        world.run_with_faults();
        assert_eq!(world.violation, None, "seed {seed}");
        done += world.times_drained.len();
        for (name, phase) in unfinished_machines(&world) {
            // Only machines that the bounds never allow to be taken out are left, or machines of later orders.
            assert_eq!(phase, Phase::Waiting, "seed {seed}: {name}");
            let number = world.orders.active_order().unwrap();
            let is_in_active_order = world.orders.orders()[&number].1.contains_key(&name);
            let check = world.orders.check_take_out(number, &name, &BTreeSet::new());
            assert!(
                !is_in_active_order || check.is_err(),
                "seed {seed}: {name} could be taken out"
            );
            kept_in += 1;
        }
    }
    println!("{done} machines worked on, {kept_in} that the bounds keep in");
    assert!(done > 1500, "{done}");
}

#[test]
#[ignore = "minutes: run with --release"]
fn simulations_with_faults_violate_no_invariant_for_20_000_seeds() {
    for seed in 0..20_000 {
        let mut world = World::new(seed, InjectedBug::Nothing);
        world.run_with_faults();
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

#[test]
fn detects_injected_bugs() {
    for (injected_bug, invariant) in [
        (InjectedBug::Hasty, "Empty Means Empty"),
        (InjectedBug::OneTooMany, "Never Too Many Out"),
    ] {
        let found = (0..60).filter_map(|seed| {
            let mut world = World::new(seed, injected_bug);
            world.run_with_faults();
            world.violation
        });
        let found: Vec<String> = found.collect();
        assert!(
            found.iter().any(|violation| violation.contains(invariant)),
            "{injected_bug:?}: {found:?}"
        );
    }
}

/// A step that would violate a bound is refused with the name of the bound, whichever member proposes it.
#[test]
fn refuses_steps_that_violate_a_bound() {
    let equal_machines = [("a", 0, 10, false); 4];
    let take_out_two = |machines: &[(&str, usize, u64, bool)], bounds: Bounds| {
        let mut orders = orders_with_machines(machines);
        let names: Vec<String> = (0..machines.len())
            .map(|index| format!("m-{index}"))
            .collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        orders
            .apply(WorkOrderChange::AddOrder(build_order(&names, bounds)))
            .unwrap();
        let first = apply_step(&mut orders, "m-0", Step::TakeOut, Some(1));
        (
            first,
            apply_step(&mut orders, "m-1", Step::TakeOut, Some(1)),
        )
    };
    let one_out = Bounds {
        max_out: 1,
        ..PERMISSIVE_BOUNDS
    };
    assert_eq!(
        take_out_two(&equal_machines, one_out).1,
        Err(Refusal::TooManyOut { out: 1, max: 1 })
    );
    let one_out_per_zone = Bounds {
        max_out_per_zone: 1,
        ..PERMISSIVE_BOUNDS
    };
    assert!(matches!(
        take_out_two(&equal_machines, one_out_per_zone).1,
        Err(Refusal::TooManyOutInZone { .. })
    ));
    let floor = Bounds {
        min_capacity_permille: 750,
        ..PERMISSIVE_BOUNDS
    };
    assert_eq!(
        take_out_two(&equal_machines, floor),
        (
            Ok(()),
            Err(Refusal::BelowFloor {
                remaining: 20,
                required: 30
            })
        )
    );
    let floor_without_one_machine = Bounds {
        failure_tolerance: FailureTolerance::Machine,
        ..floor
    };
    assert_eq!(
        take_out_two(&equal_machines, floor_without_one_machine).0,
        Err(Refusal::BelowFloor {
            remaining: 20,
            required: 30
        })
    );
    let kinds = [
        ("a", 1, 10, false),
        ("a", 0, 10, false),
        ("b", 0, 10, false),
    ];
    assert_eq!(
        take_out_two(&kinds, PERMISSIVE_BOUNDS),
        (Err(Refusal::OnlyOfKind("k-1".into())), Ok(()))
    );
    let voters = [
        ("a", 0, 9, true),
        ("b", 0, 9, true),
        ("c", 0, 9, true),
        ("a", 0, 9, false),
    ];
    assert_eq!(
        take_out_two(&voters, PERMISSIVE_BOUNDS),
        (Ok(()), Err(Refusal::VoterQuorum))
    );
}

/// A coordinator that has been replaced, or that repeats a step, must not change anything; neither may an operator's
/// step that does not fit the phase of the machine.
#[test]
fn refuses_late_steps_by_fencing_number_and_by_version() {
    let mut orders = orders_with_machines(&[("a", 0, 10, false); 3]);
    orders
        .apply(WorkOrderChange::AddOrder(build_order(
            &["m-0", "m-1"],
            PERMISSIVE_BOUNDS,
        )))
        .unwrap();
    apply_step(&mut orders, "m-0", Step::TakeOut, Some(5)).unwrap();
    assert_eq!(
        apply_step(&mut orders, "m-1", Step::TakeOut, Some(4)),
        Err(Refusal::Superseded)
    );
    let (number, version, _) = machine_status(&orders, "m-0");
    let mark_drained = WorkOrderChange::Step {
        order: number,
        machine: "m-0".into(),
        version,
        step: Step::MarkDrained,
        fence: Some(5),
    };
    orders.apply(mark_drained.clone()).unwrap();
    assert_eq!(orders.apply(mark_drained), Err(Refusal::Superseded));
    assert_eq!(
        apply_step(&mut orders, "m-1", Step::CompleteWork, None),
        Err(Refusal::InvalidTransition)
    );
    // A machine that is out stays listed until it is back, even if its order is cancelled.
    orders.apply(WorkOrderChange::Cancel(number)).unwrap();
    assert_eq!(
        orders.machines_out().into_keys().collect::<Vec<_>>(),
        ["m-0"]
    );
    assert_eq!(machine_status(&orders, "m-1").2, Phase::Skipped);
    apply_step(&mut orders, "m-0", Step::Recall, Some(6)).unwrap();
    apply_step(&mut orders, "m-0", Step::CompleteReturn, Some(6)).unwrap();
    assert!(orders.machines_out().is_empty() && orders.orders().is_empty());
    assert_eq!(orders.ended_orders()[0].2, 0, "no machine was worked on");
}

/// A proxy that is cut off may continue to serve clients. The machine must not be reported as drained before that proxy
/// confirms, and operators see the name of the proxy that it waits for.
#[test]
fn waits_for_a_disconnected_proxy_and_names_it() {
    let mut orders = orders_with_machines(&[("a", 0, 10, false); 3]);
    orders
        .apply(WorkOrderChange::AddOrder(build_order(
            &["m-0"],
            PERMISSIVE_BOUNDS,
        )))
        .unwrap();
    apply_step(&mut orders, "m-0", Step::TakeOut, Some(1)).unwrap();
    let version = machine_status(&orders, "m-0").1;
    let report = |clients| {
        let report = MachineReport {
            version,
            clients,
            closed: true,
            warm: true,
        };
        BTreeMap::from([("m-0".to_string(), report)])
    };
    let member = |live, clients| Member {
        live,
        reports: report(clients),
    };
    let mut input = PlannerInput::default();
    input.members.extend([
        ("p-0".into(), member(true, 0)),
        ("p-1".into(), member(false, 0)),
    ]);
    let planned = plan_steps(&orders, &input);
    assert_eq!(planned.steps, []);
    assert_eq!(
        planned.wait_reasons,
        [("m-0".into(), "not confirmed yet by p-1".into())]
    );
    input.members.insert("p-1".into(), member(true, 3));
    assert_eq!(
        plan_steps(&orders, &input).wait_reasons[0].1,
        "3 clients are still there, at p-1"
    );
    input.members.insert("p-1".into(), member(true, 0));
    assert_eq!(plan_steps(&orders, &input).steps[0].3, Step::MarkDrained);
    // A machine that is not drained within the drain timeout is marked as failed.
    input.members.insert("p-1".into(), member(true, 3));
    input.version_ages.insert(version, 100);
    assert_eq!(
        plan_steps(&orders, &input).steps[0].3,
        Step::Fail(FailureReason::NeverEmpty)
    );
}

/// When a third machine fails while two are draining, one of the two is recalled: the one with more clients.
#[test]
fn recalls_the_draining_machine_with_most_clients_when_another_fails() {
    let mut orders = orders_with_machines(&[("a", 0, 10, false); 4]);
    let bounds = Bounds {
        max_out: 2,
        ..PERMISSIVE_BOUNDS
    };
    orders
        .apply(WorkOrderChange::AddOrder(build_order(
            &["m-0", "m-1"],
            bounds,
        )))
        .unwrap();
    for name in ["m-0", "m-1"] {
        apply_step(&mut orders, name, Step::TakeOut, Some(1)).unwrap();
    }
    let report = |name: &str, clients| {
        let report = MachineReport {
            version: machine_status(&orders, name).1,
            clients,
            closed: true,
            warm: true,
        };
        (name.to_string(), report)
    };
    let reports = BTreeMap::from([report("m-0", 2), report("m-1", 7)]);
    let mut input = PlannerInput::default();
    input.members.insert(
        "p-0".into(),
        Member {
            live: true,
            reports,
        },
    );
    assert_eq!(plan_steps(&orders, &input).steps, []);
    input.unavailable.insert("m-3".into());
    let steps = plan_steps(&orders, &input).steps;
    assert_eq!(steps.len(), 1, "{steps:?}");
    assert_eq!((steps[0].1.as_str(), steps[0].3), ("m-1", Step::Recall));
}

/// A proxy applies only lists that are not older than its own, and an operator's override takes precedence over the
/// list.
#[test]
fn ignores_older_lists_and_overrides_take_precedence() {
    let mut orders = orders_with_machines(&[("a", 0, 10, false); 3]);
    orders
        .apply(WorkOrderChange::AddOrder(build_order(
            &["m-0"],
            PERMISSIVE_BOUNDS,
        )))
        .unwrap();
    let waiting_list = MachineAvailability::list_machines(&orders);
    apply_step(&mut orders, "m-0", Step::TakeOut, Some(1)).unwrap();
    let draining_list = MachineAvailability::list_machines(&orders);
    let mut availability = MachineAvailability::default();
    assert_eq!(
        availability.apply_list(7, draining_list.clone()),
        [MachineAction::Close("m-0".into())]
    );
    assert_eq!(
        availability.apply_list(6, waiting_list),
        [],
        "an older list"
    );
    assert_eq!(availability.apply_list(8, draining_list), []);
    let version = machine_status(&orders, "m-0").1;
    let confirmed = availability.report("m-0", 0, true).unwrap();
    assert!(confirmed.version == version && confirmed.closed);
    assert_eq!(availability.report("m-1", 0, true), None);
    // The machine is reported as drained, and then an operator opens it at this proxy: it is marked as failed.
    let mut input = PlannerInput::default();
    let member = |report| Member {
        live: true,
        reports: BTreeMap::from([("m-0".to_string(), report)]),
    };
    input.members.insert("p-0".into(), member(confirmed));
    apply_step(&mut orders, "m-0", Step::MarkDrained, Some(1)).unwrap();
    assert_eq!(
        availability.apply_list(9, MachineAvailability::list_machines(&orders)),
        []
    );
    assert_eq!(
        availability.set_override("m-0", Some(true)),
        [MachineAction::Open("m-0".into())]
    );
    input.members.insert(
        "p-0".into(),
        member(availability.report("m-0", 0, true).unwrap()),
    );
    assert_eq!(
        plan_steps(&orders, &input).steps[0].3,
        Step::Fail(FailureReason::Opened)
    );
    assert_eq!(
        availability.set_override("m-0", None),
        [MachineAction::Close("m-0".into())]
    );
    // A machine that is no longer in an order is open, unless an operator's override closes it.
    assert_eq!(
        availability.set_override("m-1", Some(false)),
        [MachineAction::Close("m-1".into())]
    );
    assert_eq!(
        availability.apply_list(10, BTreeMap::new()),
        [MachineAction::Open("m-0".into())]
    );
    assert!(availability.is_closed("m-1"));
}

#[test]
fn takes_no_machine_out_before_the_start_time() {
    let mut orders = orders_with_machines(&[("a", 0, 10, false); 3]);
    let delayed = WorkOrder {
        not_before: 1000,
        ..build_order(&["m-0"], PERMISSIVE_BOUNDS)
    };
    orders.apply(WorkOrderChange::AddOrder(delayed)).unwrap();
    let mut input = PlannerInput {
        unix_time_ms: 999,
        ..PlannerInput::default()
    };
    let planned = plan_steps(&orders, &input);
    assert!(
        planned.steps.is_empty() && planned.wait_reasons[0].1.contains("time"),
        "{planned:?}"
    );
    input.unix_time_ms = 1000;
    assert_eq!(plan_steps(&orders, &input).steps[0].3, Step::TakeOut);
}

/// The floor must remain even if a whole zone is lost in addition, and a server of each cell must stay in service.
#[test]
fn keeps_the_floor_under_the_loss_of_a_zone_and_a_server_of_each_cell() {
    let machines = [
        ("a", 0, 10, false),
        ("a", 0, 10, false),
        ("b", 0, 10, false),
        ("c", 0, 10, false),
    ];
    let bounds = Bounds {
        min_capacity_permille: 250,
        failure_tolerance: FailureTolerance::Zone,
        ..PERMISSIVE_BOUNDS
    };
    let mut orders = orders_with_machines(&machines);
    let all = ["m-0", "m-1", "m-2", "m-3"];
    orders
        .apply(WorkOrderChange::AddOrder(build_order(&all, bounds)))
        .unwrap();
    // With m-2 out, the loss of zone a leaves a capacity of 10, which is enough.
    assert_eq!(
        apply_step(&mut orders, "m-2", Step::TakeOut, Some(1)),
        Ok(())
    );
    assert_eq!(
        apply_step(&mut orders, "m-3", Step::TakeOut, Some(1)),
        Err(Refusal::BelowFloor {
            remaining: 0,
            required: 10
        })
    );
    let mut machines = orders.machines().clone();
    for name in ["m-0", "m-1"] {
        machines.get_mut(name).unwrap().servers[0].cell = 7;
    }
    let mut orders = WorkOrders::default();
    orders
        .apply(WorkOrderChange::SetMachines(machines))
        .unwrap();
    orders
        .apply(WorkOrderChange::AddOrder(build_order(
            &all,
            PERMISSIVE_BOUNDS,
        )))
        .unwrap();
    assert_eq!(
        apply_step(&mut orders, "m-0", Step::TakeOut, Some(1)),
        Ok(())
    );
    assert_eq!(
        apply_step(&mut orders, "m-1", Step::TakeOut, Some(1)),
        Err(Refusal::OnlyOfCell(7))
    );
}

/// In an order that does not wait for operators, a drained machine returns at once, and an operator's report that the
/// work is done is refused.
#[test]
fn returns_drained_machines_at_once_when_the_order_does_not_wait() {
    let mut orders = orders_with_machines(&[("a", 0, 10, false); 3]);
    let mut order = build_order(&["m-0"], PERMISSIVE_BOUNDS);
    order.waits_for_done = false;
    orders.apply(WorkOrderChange::AddOrder(order)).unwrap();
    apply_step(&mut orders, "m-0", Step::TakeOut, Some(1)).unwrap();
    apply_step(&mut orders, "m-0", Step::MarkDrained, Some(1)).unwrap();
    let planned = plan_steps(&orders, &PlannerInput::default());
    assert_eq!(planned.steps[0].3, Step::CompleteWork);
    assert_eq!(
        apply_step(&mut orders, "m-0", Step::CompleteWork, None),
        Err(Refusal::InvalidTransition)
    );
    assert_eq!(
        apply_step(&mut orders, "m-0", Step::CompleteWork, Some(1)),
        Ok(())
    );
    assert_eq!(
        machine_status(&orders, "m-0").2,
        Phase::Returning { work_done: true }
    );
}
