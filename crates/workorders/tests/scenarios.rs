//! Orders and the planner: each bound and each hard case by itself, and nights of faults over random fleets.

use std::collections::{BTreeMap, BTreeSet};

use violetwind_storm::work_orders::{
    InjectedBug, PERMISSIVE_BOUNDS, World, apply_step, build_order, machine_status,
    orders_with_machines,
};
use violetwind_workorders::*;

/// What is left when nothing more can go: machines whose going the bounds never allow.
fn left(night: &World) -> Vec<(Name, Phase)> {
    night
        .machine_phases()
        .into_iter()
        .map(|(name, (_, phase))| (name, phase))
        .filter(|(_, phase)| !phase.is_terminal())
        .collect()
}

#[test]
fn nights_of_work_keep_what_must_hold_and_come_to_their_end() {
    let (mut done, mut stuck) = (0, 0);
    for seed in 0..400 {
        let mut night = World::new(seed, InjectedBug::Nothing);
        night.run_with_faults();
        assert_eq!(night.violation, None, "seed {seed}");
        done += night.times_emptied.len();
        for (name, phase) in left(&night) {
            // Only what may never go is left, or what waits behind it.
            assert_eq!(phase, Phase::Waiting, "seed {seed}: {name}");
            let number = night.orders.active_order().unwrap();
            let of_first = night.orders.orders()[&number].1.contains_key(&name);
            let may = night.orders.check_take_out(number, &name, &BTreeSet::new());
            assert!(!of_first || may.is_err(), "seed {seed}: {name} could go");
            stuck += 1;
        }
    }
    println!("{done} machines worked on, {stuck} that the bounds keep in");
    assert!(done > 1500, "{done}");
}

#[test]
#[ignore = "minutes: run with --release"]
fn twenty_thousand_nights() {
    for seed in 0..20_000 {
        let mut night = World::new(seed, InjectedBug::Nothing);
        night.run_with_faults();
        assert_eq!(night.violation, None, "seed {seed}");
    }
}

#[test]
fn planted_errors_are_found() {
    for (planted, what) in [
        (InjectedBug::Hasty, "Empty Means Empty"),
        (InjectedBug::OneTooMany, "Never Too Many Out"),
    ] {
        let found = (0..60).filter_map(|seed| {
            let mut night = World::new(seed, planted);
            night.run_with_faults();
            night.violation
        });
        let found: Vec<String> = found.collect();
        assert!(
            found.iter().any(|wrong| wrong.contains(what)),
            "{planted:?}: {found:?}"
        );
    }
}

/// Each bound refuses what would pass it, and says which.
#[test]
fn the_log_refuses_what_breaks_a_bound_whoever_asks() {
    let same = [("a", 0, 10, false); 4];
    let out = |machines: &[(&str, usize, u64, bool)], bounds: Bounds| {
        let mut orders = orders_with_machines(machines);
        let names: Vec<String> = (0..machines.len()).map(|at| format!("m-{at}")).collect();
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
    let most = Bounds {
        max_out: 1,
        ..PERMISSIVE_BOUNDS
    };
    assert_eq!(
        out(&same, most).1,
        Err(Refusal::TooManyOut { out: 1, max: 1 })
    );
    let zone = Bounds {
        max_out_per_zone: 1,
        ..PERMISSIVE_BOUNDS
    };
    assert!(matches!(
        out(&same, zone).1,
        Err(Refusal::TooManyOutInZone { .. })
    ));
    let floor = Bounds {
        min_capacity_permille: 750,
        ..PERMISSIVE_BOUNDS
    };
    assert_eq!(
        out(&same, floor),
        (
            Ok(()),
            Err(Refusal::BelowFloor {
                remaining: 20,
                required: 30
            })
        )
    );
    let spare = Bounds {
        failure_tolerance: FailureTolerance::Machine,
        ..floor
    };
    assert_eq!(
        out(&same, spare).0,
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
        out(&kinds, PERMISSIVE_BOUNDS),
        (Err(Refusal::OnlyOfKind("k-1".into())), Ok(()))
    );
    let voters = [
        ("a", 0, 9, true),
        ("b", 0, 9, true),
        ("c", 0, 9, true),
        ("a", 0, 9, false),
    ];
    assert_eq!(
        out(&voters, PERMISSIVE_BOUNDS),
        (Ok(()), Err(Refusal::VoterQuorum))
    );
}

/// A conductor that has been replaced, or acts twice, changes nothing; nor does staff's word out of turn.
#[test]
fn a_late_step_is_refused_by_number_and_by_version() {
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
    let empty = WorkOrderChange::Step {
        order: number,
        machine: "m-0".into(),
        version,
        step: Step::MarkDrained,
        fence: Some(5),
    };
    orders.apply(empty.clone()).unwrap();
    assert_eq!(orders.apply(empty), Err(Refusal::Superseded));
    assert_eq!(
        apply_step(&mut orders, "m-1", Step::CompleteWork, None),
        Err(Refusal::InvalidTransition)
    );
    // What is out is listed whatever becomes of the order, until it is back.
    orders.apply(WorkOrderChange::Cancel(number)).unwrap();
    assert_eq!(
        orders.machines_out().into_keys().collect::<Vec<_>>(),
        ["m-0"]
    );
    assert_eq!(machine_status(&orders, "m-1").2, Phase::Skipped);
    apply_step(&mut orders, "m-0", Step::Recall, Some(6)).unwrap();
    apply_step(&mut orders, "m-0", Step::CompleteReturn, Some(6)).unwrap();
    assert!(orders.machines_out().is_empty() && orders.orders().is_empty());
    assert_eq!(orders.ended_orders()[0].2, 0, "none was worked on");
}

/// A proxy that is cut off may serve on: its machine is not told as empty, and staff read whom it waits for.
#[test]
fn a_proxy_that_cannot_confirm_is_waited_for_by_name() {
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
    let mut facts = PlannerInput::default();
    facts.members.extend([
        ("p-0".into(), member(true, 0)),
        ("p-1".into(), member(false, 0)),
    ]);
    let next = plan_steps(&orders, &facts);
    assert_eq!(next.steps, []);
    assert_eq!(
        next.wait_reasons,
        [("m-0".into(), "not confirmed yet by p-1".into())]
    );
    facts.members.insert("p-1".into(), member(true, 3));
    assert_eq!(
        plan_steps(&orders, &facts).wait_reasons[0].1,
        "3 clients are still there, at p-1"
    );
    facts.members.insert("p-1".into(), member(true, 0));
    assert_eq!(plan_steps(&orders, &facts).steps[0].3, Step::MarkDrained);
    // One that never empties is listed as failed after its span, and stays listed.
    facts.members.insert("p-1".into(), member(true, 3));
    facts.version_ages.insert(version, 100);
    assert_eq!(
        plan_steps(&orders, &facts).steps[0].3,
        Step::Fail(FailureReason::NeverEmpty)
    );
}

/// Two are on their way out when a third machine dies: one is called back, the fuller one.
#[test]
fn what_leaves_is_called_back_when_a_machine_dies() {
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
    let mut facts = PlannerInput::default();
    facts.members.insert(
        "p-0".into(),
        Member {
            live: true,
            reports,
        },
    );
    assert_eq!(plan_steps(&orders, &facts).steps, []);
    facts.unavailable.insert("m-3".into());
    let steps = plan_steps(&orders, &facts).steps;
    assert_eq!(steps.len(), 1, "{steps:?}");
    assert_eq!((steps[0].1.as_str(), steps[0].3), ("m-1", Step::Recall));
}

/// What a proxy goes by: the newest list, an operator's word before it, and the same after a restart from its file.
#[test]
fn a_belief_takes_the_newest_list_and_an_operators_word_is_stronger() {
    let mut orders = orders_with_machines(&[("a", 0, 10, false); 3]);
    orders
        .apply(WorkOrderChange::AddOrder(build_order(
            &["m-0"],
            PERMISSIVE_BOUNDS,
        )))
        .unwrap();
    let waiting = MachineAvailability::list_machines(&orders);
    apply_step(&mut orders, "m-0", Step::TakeOut, Some(1)).unwrap();
    let leaving = MachineAvailability::list_machines(&orders);
    let mut belief = MachineAvailability::default();
    assert_eq!(
        belief.apply_list(7, leaving.clone()),
        [MachineAction::Close("m-0".into())]
    );
    assert_eq!(belief.apply_list(6, waiting), [], "an older list");
    assert_eq!(belief.apply_list(8, leaving), []);
    let version = machine_status(&orders, "m-0").1;
    let confirmed = belief.report("m-0", 0, true).unwrap();
    assert!(confirmed.version == version && confirmed.closed);
    assert_eq!(belief.report("m-1", 0, true), None);
    // Told as empty; then an operator opens it at this proxy: staff see it as failed, by name.
    let mut facts = PlannerInput::default();
    let member = |report| Member {
        live: true,
        reports: BTreeMap::from([("m-0".to_string(), report)]),
    };
    facts.members.insert("p-0".into(), member(confirmed));
    apply_step(&mut orders, "m-0", Step::MarkDrained, Some(1)).unwrap();
    assert_eq!(
        belief.apply_list(9, MachineAvailability::list_machines(&orders)),
        []
    );
    assert_eq!(
        belief.set_override("m-0", Some(true)),
        [MachineAction::Open("m-0".into())]
    );
    facts
        .members
        .insert("p-0".into(), member(belief.report("m-0", 0, true).unwrap()));
    assert_eq!(
        plan_steps(&orders, &facts).steps[0].3,
        Step::Fail(FailureReason::Opened)
    );
    assert_eq!(
        belief.set_override("m-0", None),
        [MachineAction::Close("m-0".into())]
    );
    // A machine that is in no order any more is open, but for an operator's word.
    assert_eq!(
        belief.set_override("m-1", Some(false)),
        [MachineAction::Close("m-1".into())]
    );
    assert_eq!(
        belief.apply_list(10, BTreeMap::new()),
        [MachineAction::Open("m-0".into())]
    );
    assert!(belief.is_closed("m-1"));
}

#[test]
fn nothing_goes_out_before_its_time() {
    let mut orders = orders_with_machines(&[("a", 0, 10, false); 3]);
    let tonight = WorkOrder {
        not_before: 1000,
        ..build_order(&["m-0"], PERMISSIVE_BOUNDS)
    };
    orders.apply(WorkOrderChange::AddOrder(tonight)).unwrap();
    let mut facts = PlannerInput {
        unix_time_ms: 999,
        ..PlannerInput::default()
    };
    let next = plan_steps(&orders, &facts);
    assert!(
        next.steps.is_empty() && next.wait_reasons[0].1.contains("time"),
        "{next:?}"
    );
    facts.unix_time_ms = 1000;
    assert_eq!(plan_steps(&orders, &facts).steps[0].3, Step::TakeOut);
}

/// The floor with a whole zone lost besides, and a cell of which nothing would stay in.
#[test]
fn a_zone_may_be_lost_besides_and_some_of_each_cell_stays() {
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
    // Without m-2 zone a may be lost and ten are left, which is enough.
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

/// Where nobody has to say that it is done an empty machine comes back at once, and staff have no word in it.
#[test]
fn an_order_without_a_wait_brings_machines_back_by_itself() {
    let mut orders = orders_with_machines(&[("a", 0, 10, false); 3]);
    let mut plain = build_order(&["m-0"], PERMISSIVE_BOUNDS);
    plain.waits_for_done = false;
    orders.apply(WorkOrderChange::AddOrder(plain)).unwrap();
    apply_step(&mut orders, "m-0", Step::TakeOut, Some(1)).unwrap();
    apply_step(&mut orders, "m-0", Step::MarkDrained, Some(1)).unwrap();
    let next = plan_steps(&orders, &PlannerInput::default());
    assert_eq!(next.steps[0].3, Step::CompleteWork);
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
