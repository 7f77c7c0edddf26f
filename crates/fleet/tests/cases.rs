//! Single failure scenarios of a simulated fleet: dead and stalled holders, partitions, restarts, lost directories,
//! evictions, and outdated leaders.

use violetwind_fleet::{
    FenceGuard, FleetAction, FleetView, Limits, LimitsError, OperatorAnswer, OperatorCall,
};
use violetwind_storm::fleet::{World, node_name};

/// A simulated fleet in which all duties are held.
fn world_with_held_duties(seed: u64, voters: usize, others: usize) -> World {
    let mut world = World::new(seed, voters, others);
    world.run_for(4000);
    assert_eq!(world.violation, None, "seed {seed}");
    for duty in &world.duties {
        assert!(world.holder(duty).is_some(), "seed {seed}: {duty}");
    }
    world
}

/// Runs until a duty is held by another member than `from`. Returns the longest time in milliseconds for which a duty
/// was not held.
fn run_until_new_holder(world: &mut World, duty: &str, from: &str, timeout: u64) -> u64 {
    world.longest_unheld = 0;
    let deadline = world.now + timeout;
    while world.now < deadline && world.holder(duty).is_none_or(|holder| holder == from) {
        world.step();
    }
    assert_eq!(world.violation, None);
    let holder = world.holder(duty);
    assert!(
        holder.as_ref().is_some_and(|holder| holder != from),
        "{duty}: {holder:?} after {timeout} ms"
    );
    world.longest_unheld
}

/// The fleet's state according to a call at a member.
fn fleet_view(world: &mut World, node: &str) -> FleetView {
    let number = world.submit_call(node, violetwind_fleet::OperatorCall::FleetView);
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

/// Runs an operator's action at a member, and repeats it until it is done or refused.
fn run_action(world: &mut World, node: &str, action: FleetAction) -> OperatorAnswer {
    let mut number = world.submit_action(node, action.clone());
    for _ in 0..400 {
        match world.answers.remove(&number) {
            Some(OperatorAnswer::Refused(why)) if why.starts_with("not done yet") => {
                number = world.submit_action(node, action.clone());
            }
            Some(answer) => return answer,
            None => world.step(),
        }
    }
    panic!("no answer");
}

#[test]
fn a_duty_of_a_dead_holder_is_held_again_within_lease_and_election_time() {
    for seed in 0..20 {
        for (voters, others) in [(3, 0), (3, 3), (5, 0)] {
            let mut world = world_with_held_duties(seed, voters, others);
            let holder = world.holder("export").unwrap();
            world.kill_process(&holder);
            let limits = Limits::default();
            run_until_new_holder(
                &mut world,
                "export",
                &holder,
                limits.granted_lease_duration() + 2 * limits.consensus.election_timeout + 200,
            );
        }
    }
}

#[test]
fn planned_shutdowns_hand_off_duties_within_300_ms() {
    for seed in 0..20 {
        let mut world = world_with_held_duties(seed, 3, 2);
        let holder = world.holder("export").unwrap();
        world.shut_down_process(&holder);
        let unheld = run_until_new_holder(&mut world, "export", &holder, 500);
        assert!(unheld <= 300, "seed {seed}: {unheld} ms");
        // The same for the leader: it hands off its duties, and then transfers leadership.
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
fn operators_hand_off_a_duty_to_the_member_they_name() {
    for seed in 0..10 {
        let mut world = world_with_held_duties(seed, 3, 2);
        let holder = world.holder("sweep").unwrap();
        let target = (0..5).map(node_name).find(|name| *name != holder).unwrap();
        world.longest_unheld = 0;
        let to_target = FleetAction::HandOffDuty {
            duty: "sweep".into(),
            preferred_holder: Some(target.clone()),
        };
        assert_eq!(
            run_action(&mut world, "node-4", to_target),
            OperatorAnswer::Done
        );
        world.run_for(500);
        assert_eq!(world.holder("sweep"), Some(target), "seed {seed}");
        assert!(
            world.longest_unheld <= 300,
            "seed {seed}: {} ms",
            world.longest_unheld
        );
        let to_unknown_member = FleetAction::HandOffDuty {
            duty: "sweep".into(),
            preferred_holder: Some("node-9".into()),
        };
        assert!(matches!(
            run_action(&mut world, "node-1", to_unknown_member),
            OperatorAnswer::Refused(_)
        ));
        let unknown_duty = FleetAction::HandOffDuty {
            duty: "dust".into(),
            preferred_holder: None,
        };
        assert!(matches!(
            run_action(&mut world, "node-1", unknown_duty),
            OperatorAnswer::Refused(_)
        ));
    }
}

#[test]
fn a_holder_stalled_for_three_leases_holds_no_duty_when_it_resumes() {
    for seed in 0..20 {
        let mut world = world_with_held_duties(seed, 3, 2);
        let holder = world.holder("export").unwrap();
        let lease = world.limits.lease_duration;
        world.hosts.get_mut(&holder).unwrap().stopped_until = world.now + 3 * lease;
        run_until_new_holder(&mut world, "export", &holder, 2 * lease);
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
fn partitions_of_the_holder_in_both_directions_one_direction_and_from_the_leader_only() {
    for seed in 0..12 {
        for kind in 0..4 {
            let mut world = world_with_held_duties(seed, 3, 2);
            let holder = world.holder("export").unwrap();
            let rest: Vec<_> = (0..5)
                .map(node_name)
                .filter(|name| *name != holder)
                .collect();
            let leader = vec![world.leader().unwrap()];
            let holder_only = vec![holder.clone()];
            match kind {
                0 => world.cut_links(&holder_only, &rest, true),
                1 => world.cut_links(&holder_only, &rest, false),
                2 => world.cut_links(&rest, &holder_only, false),
                _ => world.cut_links(&holder_only, &leader, true),
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
fn without_a_majority_no_duty_is_held_and_the_view_has_the_reason() {
    for seed in 0..10 {
        let mut world = world_with_held_duties(seed, 5, 0);
        let names: Vec<_> = (0..5).map(node_name).collect();
        world.cut_links(&names[..2], &names[2..], true);
        world.run_for(5000);
        // The majority continues.
        let holder = world
            .holder("export")
            .expect("three of five voters are a majority");
        assert!(names[2..].contains(&holder), "seed {seed}");
        world.cut_links(&names[2..4], &names[4..], true);
        world.run_for(5000);
        assert_eq!(
            (world.holder("export"), world.violation.clone()),
            (None, None),
            "seed {seed}"
        );
        let view = fleet_view(&mut world, "node-0");
        assert!(!view.majority && view.why.is_some_and(|why| why.contains("answered for")));
        world.heal_and_check();
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

#[test]
fn after_all_members_are_killed_duties_get_larger_fencing_numbers() {
    for seed in 0..10 {
        let mut world = world_with_held_duties(seed, 3, 3);
        for _ in 0..3 {
            for index in 0..6 {
                world.kill_process(&node_name(index));
                world.hosts.get_mut(&node_name(index)).unwrap().restart_at = Some(world.now + 20);
            }
            world.run_for(6000);
            assert!(
                world.holder("export").is_some() && world.holder("sweep").is_some(),
                "seed {seed}"
            );
        }
        // The simulation checks fencing numbers; snapshots were taken during the run.
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

#[test]
fn a_rolling_restart_leaves_no_duty_unheld_for_longer_than_300_ms() {
    for seed in 0..10 {
        let mut world = world_with_held_duties(seed, 3, 0);
        world.longest_unheld = 0;
        for index in 0..3 {
            world.shut_down_process(&node_name(index));
            world.run_for(300);
            world.start_process(&node_name(index));
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
fn a_member_with_a_wiped_directory_is_a_stranger_until_it_is_admitted() {
    for seed in 0..10 {
        let mut world = world_with_held_duties(seed, 3, 0);
        let wiped = (0..3)
            .map(node_name)
            .find(|name| Some(name) != world.leader().as_ref())
            .unwrap();
        world.wipe_directory(&wiped);
        world.start_process(&wiped);
        world.run_for(5000);
        let wiped_member = |view: &FleetView| {
            view.members
                .iter()
                .find(|member| member.node == wiped)
                .unwrap()
                .clone()
        };
        let view = fleet_view(&mut world, "node-0");
        assert_eq!(wiped_member(&view).state, "stranger", "seed {seed}");
        assert!(
            world
                .event_log
                .iter()
                .any(|line| line.contains(&wiped) && line.contains("Stranger"))
        );
        assert_eq!(
            world.hosts[&wiped]
                .member
                .as_ref()
                .unwrap()
                .consensus_status(),
            None,
            "it has no vote"
        );
        assert_eq!(
            run_action(
                &mut world,
                "node-0",
                FleetAction::AdmitMember {
                    node: wiped.clone()
                }
            ),
            OperatorAnswer::Done
        );
        world.run_for(1000);
        assert!(
            wiped_member(&fleet_view(&mut world, "node-1")).votes,
            "seed {seed}"
        );
        // The admitted member votes: there is a majority without one of the others.
        let other = (0..3)
            .map(node_name)
            .find(|name| *name != wiped && Some(name) != world.leader().as_ref())
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
fn an_evicted_member_holds_no_duty_and_does_not_vote() {
    for seed in 0..10 {
        let mut world = world_with_held_duties(seed, 3, 1);
        let evicted = world.holder("export").unwrap();
        let other = (0..4).map(node_name).find(|name| *name != evicted).unwrap();
        assert_eq!(
            run_action(
                &mut world,
                &other,
                FleetAction::EvictMember {
                    node: evicted.clone()
                }
            ),
            OperatorAnswer::Done
        );
        world.run_for(8000);
        assert!(
            world
                .holder("export")
                .is_some_and(|holder| holder != evicted),
            "seed {seed}"
        );
        let view = fleet_view(&mut world, &other);
        let member = view
            .members
            .iter()
            .find(|member| member.node == evicted)
            .unwrap();
        assert_eq!(
            (member.state.as_str(), member.votes),
            ("out", false),
            "seed {seed}"
        );
        assert_eq!(
            run_action(
                &mut world,
                &other,
                FleetAction::AdmitMember {
                    node: evicted.clone()
                }
            ),
            OperatorAnswer::Done
        );
        world.run_for(5000);
        assert_eq!(world.violation, None, "seed {seed}");
        let view = fleet_view(&mut world, &other);
        let member = view
            .members
            .iter()
            .find(|member| member.node == evicted)
            .unwrap();
        assert_eq!(member.state, "live", "seed {seed}");
    }
}

#[test]
fn a_fleet_is_formed_only_by_all_its_voters() {
    let mut world = World::new(5, 3, 1);
    world.kill_process("node-2");
    world.run_for(5000);
    assert_eq!(world.leader(), None);
    assert!(
        fleet_view(&mut world, "node-0")
            .why
            .is_some_and(|why| why.contains("node-2"))
    );
    // A directory is wiped while the fleet is being formed.
    world.wipe_directory("node-1");
    world.start_process("node-1");
    world.start_process("node-2");
    world.run_for(5000);
    assert!(
        world.leader().is_some() && world.holder("export").is_some(),
        "{:?}",
        fleet_view(&mut world, "node-0")
    );
    assert_eq!(world.violation, None);
}

#[test]
fn a_second_process_of_a_name_waits_until_the_session_of_the_first_is_over() {
    let mut world = world_with_held_duties(3, 3, 1);
    let begun_at = world.now;
    // The first process is killed and its successor starts at once, while the first session's lease has not expired.
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
        assert!(world.now < begun_at + 6000);
    }
    let lease = world.limits.lease_duration;
    assert!(
        world.now - begun_at > lease / 2,
        "{} ms",
        world.now - begun_at
    );
    assert!(
        world
            .event_log
            .iter()
            .any(|line| line.contains("NameInUse"))
    );
    assert_eq!(world.violation, None);
}

#[test]
fn three_voters_serve_three_hundred_sessions_with_few_frames() {
    let mut world = World::new(1, 3, 297);
    world.run_for(6000);
    let leader = world.leader().unwrap();
    let session_count = world.hosts[&leader]
        .member
        .as_ref()
        .unwrap()
        .state()
        .unwrap()
        .sessions()
        .len();
    assert_eq!((session_count, world.violation.clone()), (300, None));
    let before = world.frames_sent;
    world.run_for(10_000);
    let frames_per_member = (world.frames_sent - before) as f64 / 10.0 / 300.0;
    println!("{frames_per_member:.1} frames per second and member");
    assert!(frames_per_member < 8.0, "{frames_per_member}");
    let holder = world.holder("export").unwrap();
    world.kill_process(&holder);
    let limits = Limits::default();
    run_until_new_holder(
        &mut world,
        "export",
        &holder,
        limits.granted_lease_duration() + 2 * limits.consensus.election_timeout + 200,
    );
}

#[test]
fn a_fence_guard_rejects_numbers_below_the_largest_admitted() {
    let mut guard = FenceGuard::default();
    assert!(guard.admit(3) && guard.admit(3) && guard.admit(8));
    assert!(!guard.admit(3) && !guard.admit(7) && guard.admit(8));
}

#[test]
fn rejects_a_lease_that_is_too_short_and_a_margin_that_is_too_long() {
    assert_eq!(Limits::with_timeouts(2000, 500).validate(), Ok(()));
    assert_eq!(
        Limits::with_timeouts(1000, 500).validate(),
        Err(LimitsError::LeaseTooShort { min_lease: 1500 })
    );
    let long_margin = Limits {
        lease_margin: 1500,
        ..Limits::default()
    };
    assert_eq!(
        long_margin.validate(),
        Err(LimitsError::MarginTooLong { max_margin: 1000 })
    );
}

/// An evicted member that never votes disappeared from all views once its session was over, so operators could not see
/// whom to admit again. Found by a script on real processes.
#[test]
fn an_evicted_member_that_never_votes_stays_in_the_view() {
    let mut world = World::new(5, 3, 1);
    world.run_for(4000);
    let node = node_name(3);
    world.submit_action(
        &node_name(0),
        FleetAction::EvictMember { node: node.clone() },
    );
    world.run_for(8000);
    let view_call = world.submit_call(&node_name(0), OperatorCall::FleetView);
    world.run_for(500);
    let Some(OperatorAnswer::FleetView(view)) = world.answers.get(&view_call) else {
        panic!("{:?}", world.answers.get(&view_call))
    };
    let member = view.members.iter().find(|member| member.node == node);
    assert_eq!(member.map(|member| member.state.as_str()), Some("out"));
}

/// Guards against a stalled former leader that answers an action from its outdated state. While it was stopped for some
/// seconds, a new leader was elected and evicted a member; the first request after it resumed was to admit that member.
/// It answered "done" in the same millisecond, and the member stayed evicted in every later view. The cause was that an
/// action that was already done according to the leader's own state was answered from it, unlike views and renewals,
/// which wait until a majority has confirmed that the member still leads. Found by seed 728 of the scripts, without an
/// injected bug.
#[test]
fn a_stalled_former_leader_does_not_answer_actions_from_outdated_state() {
    for seed in 0..10 {
        let mut world = world_with_held_duties(seed, 3, 1);
        let node = node_name(3);
        let old_leader = world.leader().expect("a leader");
        let other = (0..3)
            .map(node_name)
            .find(|name| *name != old_leader)
            .unwrap();
        world.hosts.get_mut(&old_leader).unwrap().stopped_until = world.now + 6000;
        world.run_for(3000);
        let eviction = FleetAction::EvictMember { node: node.clone() };
        assert_eq!(
            run_action(&mut world, &other, eviction),
            OperatorAnswer::Done,
            "seed {seed}"
        );
        let number =
            world.submit_action(&old_leader, FleetAction::AdmitMember { node: node.clone() });
        world.hosts.get_mut(&old_leader).unwrap().stopped_until = 0;
        world.run_for(1000);
        let is_done = world.answers.get(&number) == Some(&OperatorAnswer::Done);
        let view = fleet_view(&mut world, &other);
        let mut members = view.members.into_iter();
        let member = members.find(|member| member.node == node).unwrap();
        assert!(
            !is_done || member.state != "out",
            "seed {seed}: {}",
            member.state
        );
    }
}
