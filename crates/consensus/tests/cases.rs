//! The hard cases by name, each alone.

use violetwind_consensus::{DurableState, MembershipChange, NodeId, Rejection};
use violetwind_storm::replicated_log::World;

fn settled(seed: u64, voters: u64) -> (World, NodeId) {
    let mut world = World::new(seed, voters);
    world.run_for(3000);
    let leader = world.leader().expect("a leader within 3 s");
    (world, leader)
}

fn others(world: &World, than: NodeId) -> Vec<NodeId> {
    world
        .hosts
        .keys()
        .copied()
        .filter(|id| *id != than)
        .collect()
}

fn cut(world: &mut World, a: NodeId, b: NodeId) {
    world.cut_links.insert((a, b));
    world.cut_links.insert((b, a));
}

#[test]
fn a_link_that_flaps_makes_no_storm_of_elections() {
    for seed in 0..10 {
        let (mut world, leader) = settled(seed, 3);
        let follower = others(&world, leader)[0];
        let before = world.elections_won;
        for turn in 0..50 {
            match turn % 2 {
                0 => cut(&mut world, leader, follower),
                _ => world.cut_links.clear(),
            }
            world.run_for(200);
        }
        assert_eq!(world.elections_won, before, "seed {seed}");
        assert_eq!(world.leader(), Some(leader), "seed {seed}");
    }
}

#[test]
fn one_that_nobody_hears_comes_back_without_an_election() {
    let (mut world, leader) = settled(1, 5);
    let away = others(&world, leader)[0];
    others(&world, away)
        .into_iter()
        .for_each(|id| cut(&mut world, away, id));
    let (before, term) = (
        world.elections_won,
        world.hosts[&away].node.as_ref().unwrap().status().term,
    );
    world.run_for(10_000);
    assert_eq!(
        world.hosts[&away].node.as_ref().unwrap().status().term,
        term,
        "pre-vote"
    );
    world.heal_and_check();
    assert_eq!(
        (world.elections_won, world.violation.clone()),
        (before, None)
    );
}

#[test]
fn a_leader_that_hears_nobody_steps_down_and_another_leads() {
    for seed in 0..10 {
        let (mut world, leader) = settled(seed, 3);
        // It is heard, and hears nothing.
        for id in others(&world, leader) {
            world.cut_links.insert((id, leader));
        }
        world.run_for(3000);
        let now = world.leader().expect("another leads");
        assert_ne!(now, leader, "seed {seed}");
        world.heal_and_check();
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

#[test]
fn the_smaller_half_commits_nothing_and_its_entries_are_dropped() {
    for seed in 0..10 {
        let (mut world, leader) = settled(seed, 5);
        let rest = others(&world, leader);
        for far in &rest[1..] {
            cut(&mut world, leader, *far);
            cut(&mut world, rest[0], *far);
        }
        let last = *world.committed.keys().last().unwrap();
        for _ in 0..5 {
            world
                .propose(leader)
                .expect("it still believes that it leads");
        }
        world.run_for(3000);
        let leads = world.leader().expect("the larger half has a leader");
        assert!(rest[1..].contains(&leads), "seed {seed}");
        world.propose(leads).unwrap();
        world.heal_and_check();
        assert_eq!(world.violation, None, "seed {seed}");
        let later = world.committed.range(last + 1..).filter(|(_, entry)| {
            matches!(entry.payload, violetwind_consensus::Payload::Command(_))
        });
        // The larger half's and the one after the healing: none of the five.
        assert_eq!(later.count(), 2, "seed {seed}");
    }
}

#[test]
fn a_leader_killed_with_entries_at_a_minority_loses_nothing_that_was_committed() {
    for seed in 0..20 {
        let (mut world, leader) = settled(seed, 5);
        for _ in 0..10 {
            world.propose(leader).unwrap();
        }
        world.run_for(5 * (seed % 5));
        world.kill_process(leader);
        world.run_for(3000);
        assert!(
            world.leader().is_some_and(|now| now != leader),
            "seed {seed}"
        );
        world.start_process(leader);
        world.heal_and_check();
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

#[test]
fn a_member_far_behind_gets_a_snapshot_though_it_is_killed_meanwhile() {
    for seed in 0..10 {
        let (mut world, leader) = settled(seed, 3);
        let away = others(&world, leader)[0];
        world.kill_process(away);
        for _ in 0..300 {
            let _ = world.propose(leader);
            world.step();
        }
        world.compact_log(leader);
        world.start_process(away);
        for _ in 0..5 {
            world.run_for(40);
            world.kill_process(away);
            world.start_process(away);
        }
        world.heal_and_check();
        assert_eq!(world.violation, None, "seed {seed}");
        let status = world.hosts[&away].node.as_ref().unwrap().status();
        assert!(
            status.snapshot_index > 100,
            "it came by a snapshot: {status:?}"
        );
    }
}

#[test]
fn a_disk_that_takes_two_seconds_holds_nobody_else_up() {
    let (mut world, leader) = settled(3, 3);
    let slow = others(&world, leader)[0];
    world.hosts.get_mut(&slow).unwrap().sync_latency = 2000;
    let (before, elections) = (world.commits, world.elections_won);
    for _ in 0..1000 {
        let _ = world.propose(leader);
        world.step();
    }
    world.run_for(100);
    assert!(world.commits - before >= 1000, "{}", world.commits - before);
    assert_eq!(world.elections_won, elections);
    world.heal_and_check();
    assert_eq!(world.violation, None);
}

#[test]
fn the_lead_is_handed_over_within_300_ms() {
    for seed in 0..10 {
        let (mut world, leader) = settled(seed, 5);
        let node = world.hosts.get_mut(&leader).unwrap().node.as_mut().unwrap();
        let to = node.transfer_target().unwrap();
        node.transfer_leadership(to).unwrap();
        assert_eq!(node.propose(vec![0; 8]), Err(Rejection::NotNow));
        world.process_outputs(leader);
        world.run_for(300);
        assert_eq!(world.leader(), Some(to), "seed {seed}");
    }
}

#[test]
fn a_directory_restored_from_an_older_copy_is_stale_even_after_all_were_restarted() {
    for all in [false, true] {
        for seed in 0..10 {
            let (mut world, leader) = settled(seed, 3);
            let id = others(&world, leader)[0];
            let older = world.hosts[&id].disk.clone();
            for _ in 0..50 {
                let _ = world.propose(leader);
                world.run_for(20);
            }
            if all {
                let ids: Vec<_> = world.hosts.keys().copied().collect();
                ids.into_iter().for_each(|id| world.kill_process(id));
                others(&world, id)
                    .into_iter()
                    .for_each(|id| world.start_process(id));
            } else {
                world.kill_process(id);
            }
            world.hosts.get_mut(&id).unwrap().disk = older;
            world.start_process(id);
            world.run_for(3000);
            assert!(world.hosts[&id].stale, "seed {seed}, all restarted: {all}");
            world.heal_and_check();
            assert_eq!(world.violation, None, "seed {seed}, all restarted: {all}");
        }
    }
}

#[test]
fn one_with_an_empty_directory_votes_only_once_it_is_let_in() {
    let (mut world, leader) = settled(4, 3);
    let lost = others(&world, leader)[0];
    world.kill_process(lost);
    world.hosts.remove(&lost);
    let stranger = NodeId(99);
    world.add_host(stranger, DurableState::default());
    world.run_for(3000);
    assert_eq!(
        world.hosts[&stranger]
            .node
            .as_ref()
            .unwrap()
            .status()
            .last_index,
        0
    );
    world
        .change_membership(leader, MembershipChange::Remove(lost))
        .unwrap();
    world.run_for(200);
    world
        .change_membership(
            leader,
            MembershipChange::AddLearner(stranger, "node-99".into()),
        )
        .unwrap();
    assert_eq!(
        world.change_membership(leader, MembershipChange::Promote(stranger)),
        Err(Rejection::Changing)
    );
    // It has to acknowledge that it is a member before it may vote, however short the log is.
    world.cut_links.insert((stranger, leader));
    world.run_for(500);
    assert_eq!(
        world.change_membership(leader, MembershipChange::Promote(stranger)),
        Err(Rejection::Senseless)
    );
    world.cut_links.clear();
    world.run_for(1000);
    world
        .change_membership(leader, MembershipChange::Promote(stranger))
        .unwrap();
    world.run_for(1000);
    let third = others(&world, leader)
        .into_iter()
        .find(|id| *id != stranger)
        .unwrap();
    world.kill_process(third);
    world.propose(leader).unwrap();
    let before = world.commits;
    world.run_for(500);
    assert!(world.commits > before, "the one let in makes the majority");
    world.start_process(third);
    world.heal_and_check();
    assert_eq!(world.violation, None);
}

#[test]
fn voters_changed_during_a_cut_never_make_two_majorities() {
    for seed in 0..40 {
        let (mut world, leader) = settled(seed, 3);
        let rest = others(&world, leader);
        world.add_host(NodeId(4), DurableState::default());
        world
            .change_membership(
                leader,
                MembershipChange::AddLearner(NodeId(4), "node-4".into()),
            )
            .unwrap();
        world.run_for(1000);
        rest.iter().for_each(|id| cut(&mut world, leader, *id));
        // The old leader and the new voter on one side, the two others on the other.
        rest.iter().for_each(|id| cut(&mut world, NodeId(4), *id));
        world
            .change_membership(leader, MembershipChange::Promote(NodeId(4)))
            .unwrap();
        let _ = world.propose(leader);
        world.run_for(3000);
        let other = world.leader().expect("two of three lead");
        assert!(rest.contains(&other), "seed {seed}");
        world.propose(other).unwrap();
        world.run_for(500);
        world.heal_and_check();
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

#[test]
fn a_member_that_is_removed_disturbs_nobody() {
    let (mut world, leader) = settled(6, 5);
    let gone = others(&world, leader)[0];
    world
        .change_membership(leader, MembershipChange::Remove(gone))
        .unwrap();
    world.run_for(200);
    let before = world.elections_won;
    world.run_for(10_000);
    assert_eq!(
        (world.elections_won, world.leader()),
        (before, Some(leader))
    );
    // A leader that is removed leaves the lead to another.
    world
        .change_membership(leader, MembershipChange::Remove(leader))
        .unwrap();
    world.run_for(3000);
    assert!(
        world
            .leader()
            .is_some_and(|now| now != leader && now != gone)
    );
    assert_eq!(world.violation, None);
}

#[test]
fn limits_refuse_by_name() {
    let (mut world, leader) = settled(8, 3);
    others(&world, leader)
        .into_iter()
        .for_each(|id| cut(&mut world, leader, id));
    let taken = (0..10_000)
        .map_while(|_| world.propose(leader).ok())
        .count();
    assert_eq!(taken, world.limits.max_uncommitted_entries);
    let node = world.hosts.get_mut(&leader).unwrap().node.as_mut().unwrap();
    let read = (0..10_000)
        .map_while(|token| node.request_read(token).ok())
        .count();
    assert_eq!(read, world.limits.max_pending_reads);
    assert_eq!(node.propose(vec![0; 1 << 20]), Err(Rejection::Full));
}
