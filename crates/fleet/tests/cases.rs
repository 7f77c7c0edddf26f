//! The hard cases by name, each alone.

use violetwind_fleet::{
    FenceGuard, FleetAction, FleetView, Limits, LimitsError, OperatorAnswer, OperatorCall,
};
use violetwind_storm::fleet::{World, node_name};

fn settled(seed: u64, voters: usize, others: usize) -> World {
    let mut world = World::new(seed, voters, others);
    world.run_for(4000);
    assert_eq!(world.violation, None, "seed {seed}");
    for duty in &world.duties {
        assert!(world.holder(duty).is_some(), "seed {seed}: {duty}");
    }
    world
}

/// Runs until a duty is held by another; how long it was held by nobody at most.
fn handed_on(world: &mut World, duty: &str, from: &str, within: u64) -> u64 {
    world.longest_unheld = 0;
    let until = world.now + within;
    while world.now < until && world.holder(duty).is_none_or(|holder| holder == from) {
        world.step();
    }
    assert_eq!(world.violation, None);
    let holder = world.holder(duty);
    assert!(
        holder.as_ref().is_some_and(|holder| holder != from),
        "{duty}: {holder:?} after {within} ms"
    );
    world.longest_unheld
}

fn view(world: &mut World, at: &str) -> FleetView {
    let number = world.submit_call(at, violetwind_fleet::OperatorCall::FleetView);
    for _ in 0..400 {
        if let Some(answer) = world.answers.remove(&number) {
            let OperatorAnswer::FleetView(view) = answer else {
                panic!("{answer:?}");
            };
            return view;
        }
        world.step();
    }
    panic!("no answer");
}

fn order(world: &mut World, at: &str, order: FleetAction) -> OperatorAnswer {
    let mut number = world.submit_order(at, order.clone());
    for _ in 0..400 {
        match world.answers.remove(&number) {
            Some(OperatorAnswer::Refused(why)) if why.starts_with("not done yet") => {
                number = world.submit_order(at, order.clone());
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
            world.kill_process(&holder);
            let limits = Limits::default();
            handed_on(
                &mut world,
                "export",
                &holder,
                limits.granted_lease_duration() + 2 * limits.consensus.election_timeout + 200,
            );
        }
    }
}

#[test]
fn planned_ends_hand_on_within_300_ms() {
    for seed in 0..20 {
        let mut world = settled(seed, 3, 2);
        let holder = world.holder("export").unwrap();
        world.shut_down_process(&holder);
        let free = handed_on(&mut world, "export", &holder, 500);
        assert!(free <= 300, "seed {seed}: {free} ms");
        // The leader too: it hands on what it holds, and then the lead.
        world.start_process(&holder);
        world.run_for(2000);
        let leader = world.leader().unwrap();
        world.longest_unheld = 0;
        world.shut_down_process(&leader);
        world.run_for(2500);
        assert!(
            world.longest_unheld <= 300,
            "seed {seed}: {} ms",
            world.longest_unheld
        );
        assert!(
            world.leader().is_some_and(|now| now != leader),
            "seed {seed}"
        );
        assert_eq!(world.violation, None);
    }
}

#[test]
fn operators_hand_a_duty_on_to_whom_they_name() {
    for seed in 0..10 {
        let mut world = settled(seed, 3, 2);
        let holder = world.holder("sweep").unwrap();
        let to = (0..5).map(node_name).find(|to| *to != holder).unwrap();
        world.longest_unheld = 0;
        let wanted = FleetAction::HandOffDuty {
            duty: "sweep".into(),
            preferred_holder: Some(to.clone()),
        };
        assert_eq!(order(&mut world, "node-4", wanted), OperatorAnswer::Done);
        world.run_for(500);
        assert_eq!(world.holder("sweep"), Some(to), "seed {seed}");
        assert!(
            world.longest_unheld <= 300,
            "seed {seed}: {} ms",
            world.longest_unheld
        );
        let nobody = FleetAction::HandOffDuty {
            duty: "sweep".into(),
            preferred_holder: Some("node-9".into()),
        };
        assert!(matches!(
            order(&mut world, "node-1", nobody),
            OperatorAnswer::Refused(_)
        ));
        let unknown = FleetAction::HandOffDuty {
            duty: "dust".into(),
            preferred_holder: None,
        };
        assert!(matches!(
            order(&mut world, "node-1", unknown),
            OperatorAnswer::Refused(_)
        ));
    }
}

#[test]
fn a_holder_stopped_for_three_leases_holds_nothing_when_it_goes_on() {
    for seed in 0..20 {
        let mut world = settled(seed, 3, 2);
        let holder = world.holder("export").unwrap();
        let lease = world.limits.lease_duration;
        world.hosts.get_mut(&holder).unwrap().stopped_until = world.now + 3 * lease;
        handed_on(&mut world, "export", &holder, 2 * lease);
        world.run_for(3 * lease);
        assert_eq!(world.violation, None, "seed {seed}");
        assert!(
            world
                .event_log
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
            let rest: Vec<_> = (0..5)
                .map(node_name)
                .filter(|name| *name != holder)
                .collect();
            let leader = vec![world.leader().unwrap()];
            let one = vec![holder.clone()];
            match kind {
                0 => world.cut_links(&one, &rest, true),
                1 => world.cut_links(&one, &rest, false),
                2 => world.cut_links(&rest, &one, false),
                _ => world.cut_links(&one, &leader, true),
            }
            world.run_for(8000);
            assert_eq!(world.violation, None, "seed {seed}, kind {kind}");
            if holder != leader[0] || kind < 3 {
                assert!(
                    world
                        .holder("export")
                        .is_some_and(|now| now != holder || kind == 3),
                    "seed {seed}, kind {kind}"
                );
            }
            world.heal_and_check();
            assert_eq!(world.violation, None, "seed {seed}, kind {kind}");
        }
    }
}

#[test]
fn without_a_majority_nobody_holds_and_the_view_says_why() {
    for seed in 0..10 {
        let mut world = settled(seed, 5, 0);
        let names: Vec<_> = (0..5).map(node_name).collect();
        world.cut_links(&names[..2], &names[2..], true);
        world.run_for(5000);
        // The larger half goes on.
        let holder = world.holder("export").expect("three of five");
        assert!(names[2..].contains(&holder), "seed {seed}");
        world.cut_links(&names[2..4], &names[4..], true);
        world.run_for(5000);
        assert_eq!(
            (world.holder("export"), world.violation.clone()),
            (None, None),
            "seed {seed}"
        );
        let view = view(&mut world, "node-0");
        assert!(!view.majority && view.why.is_some_and(|why| why.contains("answered for")));
        world.heal_and_check();
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

#[test]
fn all_killed_at_once_come_back_to_larger_numbers() {
    for seed in 0..10 {
        let mut world = settled(seed, 3, 3);
        for _ in 0..3 {
            for at in 0..6 {
                world.kill_process(&node_name(at));
                world.hosts.get_mut(&node_name(at)).unwrap().restart_at = Some(world.now + 20);
            }
            world.run_for(6000);
            assert!(
                world.holder("export").is_some() && world.holder("sweep").is_some(),
                "seed {seed}"
            );
        }
        // Fencing is checked by the world; snapshots were taken on the way.
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

#[test]
fn a_rolling_restart_leaves_no_duty_free_for_longer_than_300_ms() {
    for seed in 0..10 {
        let mut world = settled(seed, 3, 0);
        world.longest_unheld = 0;
        for at in 0..3 {
            world.shut_down_process(&node_name(at));
            world.run_for(300);
            world.start_process(&node_name(at));
            world.run_for(2000);
        }
        assert_eq!(world.violation, None, "seed {seed}");
        assert!(
            world.longest_unheld <= 300,
            "seed {seed}: {} ms",
            world.longest_unheld
        );
    }
}

#[test]
fn an_emptied_directory_is_a_stranger_until_it_is_let_in() {
    for seed in 0..10 {
        let mut world = settled(seed, 3, 0);
        let lost = (0..3)
            .map(node_name)
            .find(|name| Some(name) != world.leader().as_ref())
            .unwrap();
        world.wipe_directory(&lost);
        world.start_process(&lost);
        world.run_for(5000);
        let member = |view: &FleetView| {
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
                .event_log
                .iter()
                .any(|line| line.contains(&lost) && line.contains("Stranger"))
        );
        assert_eq!(
            world.hosts[&lost]
                .member
                .as_ref()
                .unwrap()
                .consensus_status(),
            None,
            "it has no vote"
        );
        assert_eq!(
            order(
                &mut world,
                "node-0",
                FleetAction::AdmitMember { node: lost.clone() }
            ),
            OperatorAnswer::Done
        );
        world.run_for(1000);
        assert!(member(&view(&mut world, "node-1")).votes, "seed {seed}");
        // With it there is a majority without one of the others.
        let other = (0..3)
            .map(node_name)
            .find(|name| *name != lost && Some(name) != world.leader().as_ref())
            .unwrap();
        world.kill_process(&other);
        world.run_for(5000);
        assert!(
            world.holder("export").is_some() && world.violation.is_none(),
            "seed {seed}"
        );
    }
}

#[test]
fn one_that_is_put_out_holds_nothing_and_does_not_vote() {
    for seed in 0..10 {
        let mut world = settled(seed, 3, 1);
        let out = world.holder("export").unwrap();
        let at = (0..4).map(node_name).find(|name| *name != out).unwrap();
        assert_eq!(
            order(
                &mut world,
                &at,
                FleetAction::EvictMember { node: out.clone() }
            ),
            OperatorAnswer::Done
        );
        world.run_for(8000);
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
            order(
                &mut world,
                &at,
                FleetAction::AdmitMember { node: out.clone() }
            ),
            OperatorAnswer::Done
        );
        world.run_for(5000);
        assert_eq!(world.violation, None, "seed {seed}");
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
    world.kill_process("node-2");
    world.run_for(5000);
    assert_eq!(world.leader(), None);
    assert!(
        view(&mut world, "node-0")
            .why
            .is_some_and(|why| why.contains("node-2"))
    );
    // Emptied in the middle of it.
    world.wipe_directory("node-1");
    world.start_process("node-1");
    world.start_process("node-2");
    world.run_for(5000);
    assert!(
        world.leader().is_some() && world.holder("export").is_some(),
        "{:?}",
        view(&mut world, "node-0")
    );
    assert_eq!(world.violation, None);
}

#[test]
fn a_second_process_of_a_name_waits_until_the_first_is_over() {
    let mut world = settled(3, 3, 1);
    let begun = world.now;
    // The first is killed and its successor is there at once: its session still counts.
    world.kill_process("node-3");
    world.start_process("node-3");
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
    let lease = world.limits.lease_duration;
    assert!(world.now - begun > lease / 2, "{} ms", world.now - begun);
    assert!(
        world
            .event_log
            .iter()
            .any(|line| line.contains("NameInUse"))
    );
    assert_eq!(world.violation, None);
}

#[test]
fn three_hundred_sessions_on_three_voters() {
    let mut world = World::new(1, 3, 297);
    world.run_for(6000);
    let at = world.leader().unwrap();
    let sessions = world.hosts[&at]
        .member
        .as_ref()
        .unwrap()
        .state()
        .unwrap()
        .sessions()
        .len();
    assert_eq!((sessions, world.violation.clone()), (300, None));
    let before = world.frames_sent;
    world.run_for(10_000);
    let each = (world.frames_sent - before) as f64 / 10.0 / 300.0;
    println!("{each:.1} frames a second and member");
    assert!(each < 8.0, "{each}");
    let holder = world.holder("export").unwrap();
    world.kill_process(&holder);
    let limits = Limits::default();
    handed_on(
        &mut world,
        "export",
        &holder,
        limits.granted_lease_duration() + 2 * limits.consensus.election_timeout + 200,
    );
}

#[test]
fn a_gate_lets_nobody_pass_who_was_succeeded() {
    let mut gate = FenceGuard::default();
    assert!(gate.admit(3) && gate.admit(3) && gate.admit(8));
    assert!(!gate.admit(3) && !gate.admit(7) && gate.admit(8));
}

#[test]
fn times_that_can_not_work_are_told() {
    assert_eq!(Limits::with_timeouts(2000, 500).validate(), Ok(()));
    assert_eq!(
        Limits::with_timeouts(1000, 500).validate(),
        Err(LimitsError::LeaseTooShort { min_lease: 1500 })
    );
    let tight = Limits {
        lease_margin: 1500,
        ..Limits::default()
    };
    assert_eq!(
        tight.validate(),
        Err(LimitsError::MarginTooLong { max_margin: 1000 })
    );
}

#[test]
fn a_member_that_can_not_read_its_log_says_so_and_settles_nothing() {
    use violetwind_consensus::{DurableState, Member as Voter, Members, NodeId, Snapshot};
    use violetwind_fleet::{Config, Event, Input, Member, Output, SavedState};
    let members = Members(
        [(
            NodeId(7),
            Voter {
                name: node_name(0),
                is_voter: true,
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
    let disk = DurableState {
        term: 1,
        snapshot: Some(snapshot),
        ..DurableState::default()
    };
    let saved = SavedState {
        is_formed: true,
        consensus_state: disk,
        ..SavedState::new(NodeId(7))
    };
    let config = Config {
        work_enabled: false,
        node: node_name(0),
        peers: [(node_name(0), true)].into(),
        duties: vec!["export".into()],
        budgets: Vec::new(),
        external_budgets: Default::default(),
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
                Output::SaveRecord(number, _) => saves.push(number),
                _ => {}
            }
        }
        saves
            .into_iter()
            .for_each(|number| drop(member.handle(now, Input::RecordsSaved(number))));
    }
    assert_eq!(
        (
            halted,
            member.session(),
            member.held_fence("export", 12_000)
        ),
        (1, None, None)
    );
}

/// One that never votes, put out by operators, was in no view any more once its session was over: nobody could see whom
/// to let in. Found by a script on real processes.
#[test]
fn who_is_put_out_stays_in_sight() {
    let mut world = World::new(5, 3, 1);
    world.run_for(4000);
    let node = node_name(3);
    world.submit_order(
        &node_name(0),
        FleetAction::EvictMember { node: node.clone() },
    );
    world.run_for(8000);
    let seen = world.submit_call(&node_name(0), OperatorCall::FleetView);
    world.run_for(500);
    let Some(OperatorAnswer::FleetView(view)) = world.answers.get(&seen) else {
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
        let node = node_name(3);
        let old = world.leader().expect("a leader");
        let at = (0..3).map(node_name).find(|name| *name != old).unwrap();
        world.hosts.get_mut(&old).unwrap().stopped_until = world.now + 6000;
        world.run_for(3000);
        let put_out = FleetAction::EvictMember { node: node.clone() };
        assert_eq!(
            order(&mut world, &at, put_out),
            OperatorAnswer::Done,
            "seed {seed}"
        );
        let number = world.submit_order(&old, FleetAction::AdmitMember { node: node.clone() });
        world.hosts.get_mut(&old).unwrap().stopped_until = 0;
        world.run_for(1000);
        let done = world.answers.get(&number) == Some(&OperatorAnswer::Done);
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
