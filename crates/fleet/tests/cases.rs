//! The hard cases by name, each alone.

use violetwind_fleet::{Answer, Call, Gate, Limits, Order, Unsound, View};
use violetwind_storm::fleet::{World, name};

fn settled(seed: u64, voters: usize, others: usize) -> World {
    let mut world = World::new(seed, voters, others);
    world.run(4000);
    assert_eq!(world.wrong, None, "seed {seed}");
    for duty in &world.duties {
        assert!(world.holder(duty).is_some(), "seed {seed}: {duty}");
    }
    world
}

/// Runs until a duty is held by another; how long it was held by nobody at most.
fn handed_on(world: &mut World, duty: &str, from: &str, within: u64) -> u64 {
    world.longest_free = 0;
    let until = world.now + within;
    while world.now < until && world.holder(duty).is_none_or(|holder| holder == from) {
        world.step();
    }
    assert_eq!(world.wrong, None);
    let holder = world.holder(duty);
    assert!(
        holder.as_ref().is_some_and(|holder| holder != from),
        "{duty}: {holder:?} after {within} ms"
    );
    world.longest_free
}

fn view(world: &mut World, at: &str) -> View {
    let number = world.call(at, violetwind_fleet::Call::View);
    for _ in 0..400 {
        if let Some(answer) = world.answers.remove(&number) {
            let Answer::View(view) = answer else {
                panic!("{answer:?}");
            };
            return view;
        }
        world.step();
    }
    panic!("no answer");
}

fn order(world: &mut World, at: &str, order: Order) -> Answer {
    let mut number = world.order(at, order.clone());
    for _ in 0..400 {
        match world.answers.remove(&number) {
            Some(Answer::Refused(why)) if why.starts_with("not done yet") => {
                number = world.order(at, order.clone());
            }
            Some(answer) => return answer,
            None => world.step(),
        }
    }
    panic!("no answer");
}

#[test]
fn a_duty_of_a_dead_holder_is_held_again_within_lease_and_election() {
    for seed in 0..20 {
        for (voters, others) in [(3, 0), (3, 3), (5, 0)] {
            let mut world = settled(seed, voters, others);
            let holder = world.holder("export").unwrap();
            world.kill(&holder);
            let limits = Limits::default();
            handed_on(
                &mut world,
                "export",
                &holder,
                limits.granted() + 2 * limits.log.election + 200,
            );
        }
    }
}

#[test]
fn planned_ends_hand_on_within_300_ms() {
    for seed in 0..20 {
        let mut world = settled(seed, 3, 2);
        let holder = world.holder("export").unwrap();
        world.quit(&holder);
        let free = handed_on(&mut world, "export", &holder, 500);
        assert!(free <= 300, "seed {seed}: {free} ms");
        // The leader too: it hands on what it holds, and then the lead.
        world.start(&holder);
        world.run(2000);
        let leader = world.leader().unwrap();
        world.longest_free = 0;
        world.quit(&leader);
        world.run(2500);
        assert!(
            world.longest_free <= 300,
            "seed {seed}: {} ms",
            world.longest_free
        );
        assert!(
            world.leader().is_some_and(|now| now != leader),
            "seed {seed}"
        );
        assert_eq!(world.wrong, None);
    }
}

#[test]
fn operators_hand_a_duty_on_to_whom_they_name() {
    for seed in 0..10 {
        let mut world = settled(seed, 3, 2);
        let holder = world.holder("sweep").unwrap();
        let to = (0..5).map(name).find(|to| *to != holder).unwrap();
        world.longest_free = 0;
        let wanted = Order::HandOn {
            duty: "sweep".into(),
            to: Some(to.clone()),
        };
        assert_eq!(order(&mut world, "node-4", wanted), Answer::Done);
        world.run(500);
        assert_eq!(world.holder("sweep"), Some(to), "seed {seed}");
        assert!(
            world.longest_free <= 300,
            "seed {seed}: {} ms",
            world.longest_free
        );
        let nobody = Order::HandOn {
            duty: "sweep".into(),
            to: Some("node-9".into()),
        };
        assert!(matches!(
            order(&mut world, "node-1", nobody),
            Answer::Refused(_)
        ));
        let unknown = Order::HandOn {
            duty: "dust".into(),
            to: None,
        };
        assert!(matches!(
            order(&mut world, "node-1", unknown),
            Answer::Refused(_)
        ));
    }
}

#[test]
fn a_holder_stopped_for_three_leases_holds_nothing_when_it_goes_on() {
    for seed in 0..20 {
        let mut world = settled(seed, 3, 2);
        let holder = world.holder("export").unwrap();
        let lease = world.limits.lease;
        world.hosts.get_mut(&holder).unwrap().stopped = world.now + 3 * lease;
        handed_on(&mut world, "export", &holder, 2 * lease);
        world.run(3 * lease);
        assert_eq!(world.wrong, None, "seed {seed}");
        assert!(
            world
                .told
                .iter()
                .any(|line| line.contains(&holder) && line.contains("Stalled"))
        );
    }
}

#[test]
fn cuts_of_the_holder_from_all_from_the_leader_only_and_one_way_only() {
    for seed in 0..12 {
        for kind in 0..4 {
            let mut world = settled(seed, 3, 2);
            let holder = world.holder("export").unwrap();
            let rest: Vec<_> = (0..5).map(name).filter(|name| *name != holder).collect();
            let leader = vec![world.leader().unwrap()];
            let one = vec![holder.clone()];
            match kind {
                0 => world.part(&one, &rest, true),
                1 => world.part(&one, &rest, false),
                2 => world.part(&rest, &one, false),
                _ => world.part(&one, &leader, true),
            }
            world.run(8000);
            assert_eq!(world.wrong, None, "seed {seed}, kind {kind}");
            if holder != leader[0] || kind < 3 {
                assert!(
                    world
                        .holder("export")
                        .is_some_and(|now| now != holder || kind == 3),
                    "seed {seed}, kind {kind}"
                );
            }
            world.heal();
            assert_eq!(world.wrong, None, "seed {seed}, kind {kind}");
        }
    }
}

#[test]
fn without_a_majority_nobody_holds_and_the_view_says_why() {
    for seed in 0..10 {
        let mut world = settled(seed, 5, 0);
        let names: Vec<_> = (0..5).map(name).collect();
        world.part(&names[..2], &names[2..], true);
        world.run(5000);
        // The larger half goes on.
        let holder = world.holder("export").expect("three of five");
        assert!(names[2..].contains(&holder), "seed {seed}");
        world.part(&names[2..4], &names[4..], true);
        world.run(5000);
        assert_eq!(
            (world.holder("export"), world.wrong.clone()),
            (None, None),
            "seed {seed}"
        );
        let view = view(&mut world, "node-0");
        assert!(!view.majority && view.why.is_some_and(|why| why.contains("answered for")));
        world.heal();
        assert_eq!(world.wrong, None, "seed {seed}");
    }
}

#[test]
fn all_killed_at_once_come_back_to_larger_numbers() {
    for seed in 0..10 {
        let mut world = settled(seed, 3, 3);
        for _ in 0..3 {
            for at in 0..6 {
                world.kill(&name(at));
                world.hosts.get_mut(&name(at)).unwrap().back = Some(world.now + 20);
            }
            world.run(6000);
            assert!(
                world.holder("export").is_some() && world.holder("sweep").is_some(),
                "seed {seed}"
            );
        }
        // Fencing is checked by the world; snapshots were taken on the way.
        assert_eq!(world.wrong, None, "seed {seed}");
    }
}

#[test]
fn a_rolling_restart_leaves_no_duty_free_for_longer_than_300_ms() {
    for seed in 0..10 {
        let mut world = settled(seed, 3, 0);
        world.longest_free = 0;
        for at in 0..3 {
            world.quit(&name(at));
            world.run(300);
            world.start(&name(at));
            world.run(2000);
        }
        assert_eq!(world.wrong, None, "seed {seed}");
        assert!(
            world.longest_free <= 300,
            "seed {seed}: {} ms",
            world.longest_free
        );
    }
}

#[test]
fn an_emptied_directory_is_a_stranger_until_it_is_let_in() {
    for seed in 0..10 {
        let mut world = settled(seed, 3, 0);
        let lost = (0..3)
            .map(name)
            .find(|name| Some(name) != world.leader().as_ref())
            .unwrap();
        world.empty(&lost);
        world.start(&lost);
        world.run(5000);
        let member = |view: &View| {
            view.members
                .iter()
                .find(|member| member.node == lost)
                .unwrap()
                .clone()
        };
        let seen = view(&mut world, "node-0");
        assert_eq!(member(&seen).state, "stranger", "seed {seed}");
        assert!(
            world
                .told
                .iter()
                .any(|line| line.contains(&lost) && line.contains("Stranger"))
        );
        assert_eq!(
            world.hosts[&lost].member.as_ref().unwrap().log(),
            None,
            "it has no vote"
        );
        assert_eq!(
            order(&mut world, "node-0", Order::LetIn { node: lost.clone() }),
            Answer::Done
        );
        world.run(1000);
        assert!(member(&view(&mut world, "node-1")).votes, "seed {seed}");
        // With it there is a majority without one of the others.
        let other = (0..3)
            .map(name)
            .find(|name| *name != lost && Some(name) != world.leader().as_ref())
            .unwrap();
        world.kill(&other);
        world.run(5000);
        assert!(
            world.holder("export").is_some() && world.wrong.is_none(),
            "seed {seed}"
        );
    }
}

#[test]
fn one_that_is_put_out_holds_nothing_and_does_not_vote() {
    for seed in 0..10 {
        let mut world = settled(seed, 3, 1);
        let out = world.holder("export").unwrap();
        let at = (0..4).map(name).find(|name| *name != out).unwrap();
        assert_eq!(
            order(&mut world, &at, Order::PutOut { node: out.clone() }),
            Answer::Done
        );
        world.run(8000);
        assert!(
            world.holder("export").is_some_and(|holder| holder != out),
            "seed {seed}"
        );
        let seen = view(&mut world, &at);
        let member = seen
            .members
            .iter()
            .find(|member| member.node == out)
            .unwrap();
        assert_eq!(
            (member.state.as_str(), member.votes),
            ("out", false),
            "seed {seed}"
        );
        assert_eq!(
            order(&mut world, &at, Order::LetIn { node: out.clone() }),
            Answer::Done
        );
        world.run(5000);
        assert_eq!(world.wrong, None, "seed {seed}");
        let seen = view(&mut world, &at);
        let member = seen
            .members
            .iter()
            .find(|member| member.node == out)
            .unwrap();
        assert_eq!(member.state, "live", "seed {seed}");
    }
}

#[test]
fn a_fleet_is_formed_by_all_its_voters_or_not_at_all() {
    let mut world = World::new(5, 3, 1);
    world.kill("node-2");
    world.run(5000);
    assert_eq!(world.leader(), None);
    assert!(
        view(&mut world, "node-0")
            .why
            .is_some_and(|why| why.contains("node-2"))
    );
    // Emptied in the middle of it.
    world.empty("node-1");
    world.start("node-1");
    world.start("node-2");
    world.run(5000);
    assert!(
        world.leader().is_some() && world.holder("export").is_some(),
        "{:?}",
        view(&mut world, "node-0")
    );
    assert_eq!(world.wrong, None);
}

#[test]
fn a_second_process_of_a_name_waits_until_the_first_is_over() {
    let mut world = settled(3, 3, 1);
    let begun = world.now;
    // The first is killed and its successor is there at once: its session still counts.
    world.kill("node-3");
    world.start("node-3");
    while world.hosts["node-3"]
        .member
        .as_ref()
        .unwrap()
        .session()
        .is_none()
    {
        world.step();
        assert!(world.now < begun + 6000);
    }
    let lease = world.limits.lease;
    assert!(world.now - begun > lease / 2, "{} ms", world.now - begun);
    assert!(world.told.iter().any(|line| line.contains("NameInUse")));
    assert_eq!(world.wrong, None);
}

#[test]
fn three_hundred_sessions_on_three_voters() {
    let mut world = World::new(1, 3, 297);
    world.run(6000);
    let at = world.leader().unwrap();
    let sessions = world.hosts[&at]
        .member
        .as_ref()
        .unwrap()
        .state()
        .unwrap()
        .sessions()
        .len();
    assert_eq!((sessions, world.wrong.clone()), (300, None));
    let before = world.frames;
    world.run(10_000);
    let each = (world.frames - before) as f64 / 10.0 / 300.0;
    println!("{each:.1} frames a second and member");
    assert!(each < 8.0, "{each}");
    let holder = world.holder("export").unwrap();
    world.kill(&holder);
    let limits = Limits::default();
    handed_on(
        &mut world,
        "export",
        &holder,
        limits.granted() + 2 * limits.log.election + 200,
    );
}

#[test]
fn a_gate_lets_nobody_pass_who_was_succeeded() {
    let mut gate = Gate::default();
    assert!(gate.pass(3) && gate.pass(3) && gate.pass(8));
    assert!(!gate.pass(3) && !gate.pass(7) && gate.pass(8));
}

#[test]
fn times_that_can_not_work_are_told() {
    assert_eq!(Limits::with(2000, 500).check(), Ok(()));
    assert_eq!(
        Limits::with(1000, 500).check(),
        Err(Unsound::LeaseTooShort { least: 1500 })
    );
    let tight = Limits {
        margin: 1500,
        ..Limits::default()
    };
    assert_eq!(tight.check(), Err(Unsound::MarginTooLong { most: 1000 }));
}

#[test]
fn a_member_that_can_not_read_its_log_says_so_and_settles_nothing() {
    use violetwind_consensus::{Disk, Member as Voter, Members, NodeId, Snapshot};
    use violetwind_fleet::{Config, Event, Input, Member, Output, Saved};
    let members = Members(
        [(
            NodeId(7),
            Voter {
                name: name(0),
                votes: true,
            },
        )]
        .into(),
    );
    let snapshot = Snapshot {
        index: 5,
        term: 1,
        members,
        data: vec![9, 1, 2],
    };
    let disk = Disk {
        term: 1,
        snapshot: Some(snapshot),
        ..Disk::default()
    };
    let saved = Saved {
        formed: true,
        disk,
        ..Saved::new(NodeId(7))
    };
    let config = Config {
        work: false,
        node: name(0),
        peers: [(name(0), true)].into(),
        duties: vec!["export".into()],
        budgets: Vec::new(),
        outside: Default::default(),
        limits: Limits::default(),
    };
    let mut member = Member::new(config, Some(saved), 1, 1000);
    let mut halted = 0;
    for now in (1000..12_000).step_by(5) {
        let mut saves = Vec::new();
        let outputs = member.handle(now, Input::Tick);
        for output in outputs {
            match output {
                Output::Event(Event::Halted { why }) => {
                    assert!(why.contains("version 9"), "{why}");
                    halted += 1;
                }
                Output::Save(number, _) => saves.push(number),
                _ => {}
            }
        }
        saves
            .into_iter()
            .for_each(|number| drop(member.handle(now, Input::Saved(number))));
    }
    assert_eq!(
        (halted, member.session(), member.holds("export", 12_000)),
        (1, None, None)
    );
}

/// One that never votes, put out by operators, was in no view any more once its session was over: nobody could see whom
/// to let in. Found by a script on real processes.
#[test]
fn who_is_put_out_stays_in_sight() {
    let mut world = World::new(5, 3, 1);
    world.run(4000);
    let node = name(3);
    world.order(&name(0), Order::PutOut { node: node.clone() });
    world.run(8000);
    let seen = world.call(&name(0), Call::View);
    world.run(500);
    let Some(Answer::View(view)) = world.answers.get(&seen) else {
        panic!("{:?}", world.answers.get(&seen))
    };
    let member = view.members.iter().find(|member| member.node == node);
    assert_eq!(member.map(|member| member.state.as_str()), Some("out"));
}

/// What happens: a leader is stopped for some seconds; others lead, and put a member out. The first that comes to the old
/// leader's process when it goes on is an order to let that member in. It answers "done" at once, and the member stays
/// out. Found by seed 728 of the scripts, with nothing planted: such an order was answered in the millisecond in which it was
/// given, and every later view had the member out.
/// Why: an order that the leader's own books had as done already was answered from them, unlike views and renewals, which
/// wait until a majority has confirmed that it still leads.
#[test]
fn a_leader_that_others_have_followed_answers_no_order_by_its_own_books() {
    for seed in 0..10 {
        let mut world = settled(seed, 3, 1);
        let node = name(3);
        let old = world.leader().expect("a leader");
        let at = (0..3).map(name).find(|name| *name != old).unwrap();
        world.hosts.get_mut(&old).unwrap().stopped = world.now + 6000;
        world.run(3000);
        let put_out = Order::PutOut { node: node.clone() };
        assert_eq!(order(&mut world, &at, put_out), Answer::Done, "seed {seed}");
        let number = world.order(&old, Order::LetIn { node: node.clone() });
        world.hosts.get_mut(&old).unwrap().stopped = 0;
        world.run(1000);
        let done = world.answers.get(&number) == Some(&Answer::Done);
        let seen = view(&mut world, &at);
        let mut members = seen.members.into_iter();
        let member = members.find(|member| member.node == node).unwrap();
        assert!(
            !done || member.state != "out",
            "seed {seed}: {}",
            member.state
        );
    }
}
