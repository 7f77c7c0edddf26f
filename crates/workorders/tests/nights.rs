//! Orders and the planner: each bound and each hard case by itself, and nights of faults over random fleets.

use std::collections::{BTreeMap, BTreeSet};

use violetwind_storm::night::{Night, Planted, WIDE, fleet, order, place, step};
use violetwind_workorders::*;

/// What is left when nothing more can go: machines whose going the bounds never allow.
fn left(night: &Night) -> Vec<(Name, Phase)> {
    night
        .places()
        .into_iter()
        .map(|(name, (_, phase))| (name, phase))
        .filter(|(_, phase)| !phase.ended())
        .collect()
}

#[test]
fn nights_of_work_keep_what_must_hold_and_come_to_their_end() {
    let (mut done, mut stuck) = (0, 0);
    for seed in 0..400 {
        let mut night = Night::new(seed, Planted::Nothing);
        night.play();
        assert_eq!(night.wrong, None, "seed {seed}");
        done += night.emptied.len();
        for (name, phase) in left(&night) {
            // Only what may never go is left, or what waits behind it.
            assert_eq!(phase, Phase::Waiting, "seed {seed}: {name}");
            let number = night.orders.running().unwrap();
            let of_first = night.orders.orders()[&number].1.contains_key(&name);
            let may = night.orders.may_go(number, &name, &BTreeSet::new());
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
        let mut night = Night::new(seed, Planted::Nothing);
        night.play();
        assert_eq!(night.wrong, None, "seed {seed}");
    }
}

#[test]
fn planted_errors_are_found() {
    for (planted, what) in [
        (Planted::Hasty, "Empty Means Empty"),
        (Planted::OneTooMany, "Never Too Many Out"),
    ] {
        let found = (0..60).filter_map(|seed| {
            let mut night = Night::new(seed, planted);
            night.play();
            night.wrong
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
        let mut orders = fleet(machines);
        let names: Vec<String> = (0..machines.len()).map(|at| format!("m-{at}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        orders.apply(Change::Plan(order(&names, bounds))).unwrap();
        let first = step(&mut orders, "m-0", Step::Out, Some(1));
        (first, step(&mut orders, "m-1", Step::Out, Some(1)))
    };
    let most = Bounds { most: 1, ..WIDE };
    assert_eq!(
        out(&same, most).1,
        Err(Refused::TooMany { out: 1, most: 1 })
    );
    let zone = Bounds {
        zone_most: 1,
        ..WIDE
    };
    assert!(matches!(out(&same, zone).1, Err(Refused::ZoneFull { .. })));
    let floor = Bounds { floor: 750, ..WIDE };
    assert_eq!(
        out(&same, floor),
        (
            Ok(()),
            Err(Refused::Floor {
                left: 20,
                least: 30
            })
        )
    );
    let spare = Bounds {
        spare: Spare::Machine,
        ..floor
    };
    assert_eq!(
        out(&same, spare).0,
        Err(Refused::Floor {
            left: 20,
            least: 30
        })
    );
    let kinds = [
        ("a", 1, 10, false),
        ("a", 0, 10, false),
        ("b", 0, 10, false),
    ];
    assert_eq!(
        out(&kinds, WIDE),
        (Err(Refused::OnlyOfKind("k-1".into())), Ok(()))
    );
    let voters = [
        ("a", 0, 9, true),
        ("b", 0, 9, true),
        ("c", 0, 9, true),
        ("a", 0, 9, false),
    ];
    assert_eq!(out(&voters, WIDE), (Ok(()), Err(Refused::Voters)));
}

/// A conductor that has been replaced, or acts twice, changes nothing; nor does staff's word out of turn.
#[test]
fn a_late_step_is_refused_by_number_and_by_version() {
    let mut orders = fleet(&[("a", 0, 10, false); 3]);
    orders
        .apply(Change::Plan(order(&["m-0", "m-1"], WIDE)))
        .unwrap();
    step(&mut orders, "m-0", Step::Out, Some(5)).unwrap();
    assert_eq!(
        step(&mut orders, "m-1", Step::Out, Some(4)),
        Err(Refused::Late)
    );
    let (number, version, _) = place(&orders, "m-0");
    let empty = Change::Step {
        order: number,
        machine: "m-0".into(),
        version,
        step: Step::Empty,
        fence: Some(5),
    };
    orders.apply(empty.clone()).unwrap();
    assert_eq!(orders.apply(empty), Err(Refused::Late));
    assert_eq!(
        step(&mut orders, "m-1", Step::Worked, None),
        Err(Refused::OutOfTurn)
    );
    // What is out is listed whatever becomes of the order, until it is back.
    orders.apply(Change::Cancel(number)).unwrap();
    assert_eq!(orders.out().into_keys().collect::<Vec<_>>(), ["m-0"]);
    assert_eq!(place(&orders, "m-1").2, Phase::Spared);
    step(&mut orders, "m-0", Step::Recall, Some(6)).unwrap();
    step(&mut orders, "m-0", Step::Back, Some(6)).unwrap();
    assert!(orders.out().is_empty() && orders.orders().is_empty());
    assert_eq!(orders.ended()[0].2, 0, "none was worked on");
}

/// A proxy that is cut off may serve on: its machine is not told as empty, and staff read whom it waits for.
#[test]
fn a_proxy_that_cannot_confirm_is_waited_for_by_name() {
    let mut orders = fleet(&[("a", 0, 10, false); 3]);
    orders.apply(Change::Plan(order(&["m-0"], WIDE))).unwrap();
    step(&mut orders, "m-0", Step::Out, Some(1)).unwrap();
    let version = place(&orders, "m-0").1;
    let report = |clients| {
        let report = Report {
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
    let mut facts = Facts::default();
    facts.members.extend([
        ("p-0".into(), member(true, 0)),
        ("p-1".into(), member(false, 0)),
    ]);
    let next = plan(&orders, &facts);
    assert_eq!(next.steps, []);
    assert_eq!(
        next.why,
        [("m-0".into(), "not confirmed yet by p-1".into())]
    );
    facts.members.insert("p-1".into(), member(true, 3));
    assert_eq!(
        plan(&orders, &facts).why[0].1,
        "3 clients are still there, at p-1"
    );
    facts.members.insert("p-1".into(), member(true, 0));
    assert_eq!(plan(&orders, &facts).steps[0].3, Step::Empty);
    // One that never empties is listed as failed after its span, and stays listed.
    facts.members.insert("p-1".into(), member(true, 3));
    facts.since.insert(version, 100);
    assert_eq!(
        plan(&orders, &facts).steps[0].3,
        Step::Fail(Why::NeverEmpty)
    );
}

/// Two are on their way out when a third machine dies: one is called back, the fuller one.
#[test]
fn what_leaves_is_called_back_when_a_machine_dies() {
    let mut orders = fleet(&[("a", 0, 10, false); 4]);
    let bounds = Bounds { most: 2, ..WIDE };
    orders
        .apply(Change::Plan(order(&["m-0", "m-1"], bounds)))
        .unwrap();
    for name in ["m-0", "m-1"] {
        step(&mut orders, name, Step::Out, Some(1)).unwrap();
    }
    let report = |name: &str, clients| {
        let report = Report {
            version: place(&orders, name).1,
            clients,
            closed: true,
            warm: true,
        };
        (name.to_string(), report)
    };
    let reports = BTreeMap::from([report("m-0", 2), report("m-1", 7)]);
    let mut facts = Facts::default();
    facts.members.insert(
        "p-0".into(),
        Member {
            live: true,
            reports,
        },
    );
    assert_eq!(plan(&orders, &facts).steps, []);
    facts.dead.insert("m-3".into());
    let steps = plan(&orders, &facts).steps;
    assert_eq!(steps.len(), 1, "{steps:?}");
    assert_eq!((steps[0].1.as_str(), steps[0].3), ("m-1", Step::Recall));
}

/// What a proxy goes by: the newest list, an operator's word before it, and the same after a restart from its file.
#[test]
fn a_belief_takes_the_newest_list_and_an_operators_word_is_stronger() {
    let mut orders = fleet(&[("a", 0, 10, false); 3]);
    orders.apply(Change::Plan(order(&["m-0"], WIDE))).unwrap();
    let waiting = Belief::list(&orders);
    step(&mut orders, "m-0", Step::Out, Some(1)).unwrap();
    let leaving = Belief::list(&orders);
    let mut belief = Belief::default();
    assert_eq!(belief.hear(7, leaving.clone()), [Turn::Close("m-0".into())]);
    assert_eq!(belief.hear(6, waiting), [], "an older list");
    assert_eq!(belief.hear(8, leaving), []);
    let version = place(&orders, "m-0").1;
    let confirmed = belief.report("m-0", 0, true).unwrap();
    assert!(confirmed.version == version && confirmed.closed);
    assert_eq!(belief.report("m-1", 0, true), None);
    // Told as empty; then an operator opens it at this proxy: staff see it as failed, by name.
    let mut facts = Facts::default();
    let member = |report| Member {
        live: true,
        reports: BTreeMap::from([("m-0".to_string(), report)]),
    };
    facts.members.insert("p-0".into(), member(confirmed));
    step(&mut orders, "m-0", Step::Empty, Some(1)).unwrap();
    assert_eq!(belief.hear(9, Belief::list(&orders)), []);
    assert_eq!(belief.word("m-0", Some(true)), [Turn::Open("m-0".into())]);
    facts
        .members
        .insert("p-0".into(), member(belief.report("m-0", 0, true).unwrap()));
    assert_eq!(plan(&orders, &facts).steps[0].3, Step::Fail(Why::Opened));
    assert_eq!(belief.word("m-0", None), [Turn::Close("m-0".into())]);
    // A machine that is in no order any more is open, but for an operator's word.
    assert_eq!(belief.word("m-1", Some(false)), [Turn::Close("m-1".into())]);
    assert_eq!(belief.hear(10, BTreeMap::new()), [Turn::Open("m-0".into())]);
    assert!(belief.closed("m-1"));
}

#[test]
fn nothing_goes_out_before_its_time() {
    let mut orders = fleet(&[("a", 0, 10, false); 3]);
    let tonight = Order {
        not_before: 1000,
        ..order(&["m-0"], WIDE)
    };
    orders.apply(Change::Plan(tonight)).unwrap();
    let mut facts = Facts {
        wall: 999,
        ..Facts::default()
    };
    let next = plan(&orders, &facts);
    assert!(
        next.steps.is_empty() && next.why[0].1.contains("time"),
        "{next:?}"
    );
    facts.wall = 1000;
    assert_eq!(plan(&orders, &facts).steps[0].3, Step::Out);
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
        floor: 250,
        spare: Spare::Zone,
        ..WIDE
    };
    let mut orders = fleet(&machines);
    let all = ["m-0", "m-1", "m-2", "m-3"];
    orders.apply(Change::Plan(order(&all, bounds))).unwrap();
    // Without m-2 zone a may be lost and ten are left, which is enough.
    assert_eq!(step(&mut orders, "m-2", Step::Out, Some(1)), Ok(()));
    assert_eq!(
        step(&mut orders, "m-3", Step::Out, Some(1)),
        Err(Refused::Floor { left: 0, least: 10 })
    );
    let mut machines = orders.machines().clone();
    for name in ["m-0", "m-1"] {
        machines.get_mut(name).unwrap().servers[0].cell = 7;
    }
    let mut orders = Orders::default();
    orders.apply(Change::Machines(machines)).unwrap();
    orders.apply(Change::Plan(order(&all, WIDE))).unwrap();
    assert_eq!(step(&mut orders, "m-0", Step::Out, Some(1)), Ok(()));
    assert_eq!(
        step(&mut orders, "m-1", Step::Out, Some(1)),
        Err(Refused::OnlyOfCell(7))
    );
}

/// Where nobody has to say that it is done an empty machine comes back at once, and staff have no word in it.
#[test]
fn an_order_without_a_wait_brings_machines_back_by_itself() {
    let mut orders = fleet(&[("a", 0, 10, false); 3]);
    let mut plain = order(&["m-0"], WIDE);
    plain.wait = false;
    orders.apply(Change::Plan(plain)).unwrap();
    step(&mut orders, "m-0", Step::Out, Some(1)).unwrap();
    step(&mut orders, "m-0", Step::Empty, Some(1)).unwrap();
    let next = plan(&orders, &Facts::default());
    assert_eq!(next.steps[0].3, Step::Worked);
    assert_eq!(
        step(&mut orders, "m-0", Step::Worked, None),
        Err(Refused::OutOfTurn)
    );
    assert_eq!(step(&mut orders, "m-0", Step::Worked, Some(1)), Ok(()));
    assert_eq!(place(&orders, "m-0").2, Phase::Returning { worked: true });
}
