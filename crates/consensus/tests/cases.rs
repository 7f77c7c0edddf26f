//! Difficult cases of the replicated log, one per test: partitions, lost state, slow disks, membership changes.

use violetwind_consensus::{DurableState, MembershipChange, NodeId, Rejection};
use violetwind_storm::replicated_log::World;

fn elect_first_leader(seed: u64, voters: u64) -> (World, NodeId) {
    let mut world = World::new(seed, voters);
    world.run_for(3000);
    let leader = world.leader().expect("a leader is elected within 3 s");
    (world, leader)
}

fn other_ids(world: &World, excluded: NodeId) -> Vec<NodeId> {
    world
        .hosts
        .keys()
        .copied()
        .filter(|id| *id != excluded)
        .collect()
}

fn cut_link(world: &mut World, first: NodeId, second: NodeId) {
    world.cut_links.insert((first, second));
    world.cut_links.insert((second, first));
}

#[test]
fn a_flapping_link_causes_no_extra_elections() {
    for seed in 0..10 {
        let (mut world, leader) = elect_first_leader(seed, 3);
        let follower = other_ids(&world, leader)[0];
        let elections_before = world.elections_won;
        for turn in 0..50 {
            match turn % 2 {
                0 => cut_link(&mut world, leader, follower),
                _ => world.cut_links.clear(),
            }
            world.run_for(200);
        }
        assert_eq!(world.elections_won, elections_before, "seed {seed}");
        assert_eq!(world.leader(), Some(leader), "seed {seed}");
    }
}

#[test]
fn an_isolated_follower_rejoins_without_an_election() {
    let (mut world, leader) = elect_first_leader(1, 5);
    let isolated = other_ids(&world, leader)[0];
    other_ids(&world, isolated)
        .into_iter()
        .for_each(|id| cut_link(&mut world, isolated, id));
    let (before, term) = (
        world.elections_won,
        world.hosts[&isolated].node.as_ref().unwrap().status().term,
    );
    world.run_for(10_000);
    assert_eq!(
        world.hosts[&isolated].node.as_ref().unwrap().status().term,
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
fn a_leader_that_receives_no_messages_steps_down_and_is_replaced() {
    for seed in 0..10 {
        let (mut world, leader) = elect_first_leader(seed, 3);
        // The others receive the leader's messages; the leader receives none.
        for id in other_ids(&world, leader) {
            world.cut_links.insert((id, leader));
        }
        world.run_for(3000);
        let new_leader = world.leader().expect("another node becomes leader");
        assert_ne!(new_leader, leader, "seed {seed}");
        world.heal_and_check();
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

#[test]
fn a_minority_partition_commits_nothing_and_its_entries_are_truncated() {
    for seed in 0..10 {
        let (mut world, leader) = elect_first_leader(seed, 5);
        let others = other_ids(&world, leader);
        for distant in &others[1..] {
            cut_link(&mut world, leader, *distant);
            cut_link(&mut world, others[0], *distant);
        }
        let last_committed = *world.committed.keys().last().unwrap();
        for _ in 0..5 {
            world
                .propose(leader)
                .expect("the isolated leader still accepts proposals");
        }
        world.run_for(3000);
        let new_leader = world.leader().expect("the majority partition has a leader");
        assert!(others[1..].contains(&new_leader), "seed {seed}");
        world.propose(new_leader).unwrap();
        world.heal_and_check();
        assert_eq!(world.violation, None, "seed {seed}");
        let later_commands = world
            .committed
            .range(last_committed + 1..)
            .filter(|(_, entry)| {
                matches!(entry.payload, violetwind_consensus::Payload::Command(_))
            });
        // One command of the majority and one after the partition heals, but none of the minority's five.
        assert_eq!(later_commands.count(), 2, "seed {seed}");
    }
}

#[test]
fn killing_a_leader_with_entries_on_a_minority_loses_no_committed_entry() {
    for seed in 0..20 {
        let (mut world, leader) = elect_first_leader(seed, 5);
        for _ in 0..10 {
            world.propose(leader).unwrap();
        }
        world.run_for(5 * (seed % 5));
        world.kill_process(leader);
        world.run_for(3000);
        assert!(
            world.leader().is_some_and(|current| current != leader),
            "seed {seed}"
        );
        world.start_process(leader);
        world.heal_and_check();
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

#[test]
fn a_lagging_member_installs_a_snapshot_despite_restarts() {
    for seed in 0..10 {
        let (mut world, leader) = elect_first_leader(seed, 3);
        let lagging = other_ids(&world, leader)[0];
        world.kill_process(lagging);
        for _ in 0..300 {
            let _ = world.propose(leader);
            world.step();
        }
        world.compact_log(leader);
        world.start_process(lagging);
        for _ in 0..5 {
            world.run_for(40);
            world.kill_process(lagging);
            world.start_process(lagging);
        }
        world.heal_and_check();
        assert_eq!(world.violation, None, "seed {seed}");
        let status = world.hosts[&lagging].node.as_ref().unwrap().status();
        assert!(
            status.snapshot_index > 100,
            "the member installed a snapshot: {status:?}"
        );
    }
}

#[test]
fn a_two_second_disk_sync_delays_no_other_member() {
    let (mut world, leader) = elect_first_leader(3, 3);
    let slow = other_ids(&world, leader)[0];
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
fn transfers_leadership_within_300_ms() {
    for seed in 0..10 {
        let (mut world, leader) = elect_first_leader(seed, 5);
        let node = world.hosts.get_mut(&leader).unwrap().node.as_mut().unwrap();
        let target = node.transfer_target().unwrap();
        node.transfer_leadership(target).unwrap();
        assert_eq!(node.propose(vec![0; 8]), Err(Rejection::NotNow));
        world.process_outputs(leader);
        world.run_for(300);
        assert_eq!(world.leader(), Some(target), "seed {seed}");
    }
}

#[test]
fn a_directory_restored_from_an_older_copy_is_stale_even_after_a_full_restart() {
    for restart_all in [false, true] {
        for seed in 0..10 {
            let (mut world, leader) = elect_first_leader(seed, 3);
            let restored = other_ids(&world, leader)[0];
            let older_copy = world.hosts[&restored].disk.clone();
            for _ in 0..50 {
                let _ = world.propose(leader);
                world.run_for(20);
            }
            if restart_all {
                let ids: Vec<_> = world.hosts.keys().copied().collect();
                ids.into_iter().for_each(|id| world.kill_process(id));
                other_ids(&world, restored)
                    .into_iter()
                    .for_each(|id| world.start_process(id));
            } else {
                world.kill_process(restored);
            }
            world.hosts.get_mut(&restored).unwrap().disk = older_copy;
            world.start_process(restored);
            world.run_for(3000);
            assert!(
                world.hosts[&restored].stale,
                "seed {seed}, all restarted: {restart_all}"
            );
            world.heal_and_check();
            assert_eq!(
                world.violation, None,
                "seed {seed}, all restarted: {restart_all}"
            );
        }
    }
}

#[test]
fn a_node_with_an_empty_directory_votes_only_after_promotion() {
    let (mut world, leader) = elect_first_leader(4, 3);
    let removed = other_ids(&world, leader)[0];
    world.kill_process(removed);
    world.hosts.remove(&removed);
    let added = NodeId(99);
    world.add_host(added, DurableState::default());
    world.run_for(3000);
    assert_eq!(
        world.hosts[&added]
            .node
            .as_ref()
            .unwrap()
            .status()
            .last_index,
        0
    );
    world
        .change_membership(leader, MembershipChange::Remove(removed))
        .unwrap();
    world.run_for(200);
    world
        .change_membership(
            leader,
            MembershipChange::AddLearner(added, "node-99".into()),
        )
        .unwrap();
    assert_eq!(
        world.change_membership(leader, MembershipChange::Promote(added)),
        Err(Rejection::Changing)
    );
    // Promotion requires that the member has acknowledged the entry that added it, however short the log is.
    world.cut_links.insert((added, leader));
    world.run_for(500);
    assert_eq!(
        world.change_membership(leader, MembershipChange::Promote(added)),
        Err(Rejection::Senseless)
    );
    world.cut_links.clear();
    world.run_for(1000);
    world
        .change_membership(leader, MembershipChange::Promote(added))
        .unwrap();
    world.run_for(1000);
    let third_voter = other_ids(&world, leader)
        .into_iter()
        .find(|id| *id != added)
        .unwrap();
    world.kill_process(third_voter);
    world.propose(leader).unwrap();
    let before = world.commits;
    world.run_for(500);
    assert!(
        world.commits > before,
        "the promoted member completes the majority"
    );
    world.start_process(third_voter);
    world.heal_and_check();
    assert_eq!(world.violation, None);
}

#[test]
fn changing_voters_during_a_partition_never_allows_two_majorities() {
    for seed in 0..40 {
        let (mut world, leader) = elect_first_leader(seed, 3);
        let others = other_ids(&world, leader);
        world.add_host(NodeId(4), DurableState::default());
        world
            .change_membership(
                leader,
                MembershipChange::AddLearner(NodeId(4), "node-4".into()),
            )
            .unwrap();
        world.run_for(1000);
        others
            .iter()
            .for_each(|id| cut_link(&mut world, leader, *id));
        // The old leader and the new voter are on one side, the two other voters on the other side.
        others
            .iter()
            .for_each(|id| cut_link(&mut world, NodeId(4), *id));
        world
            .change_membership(leader, MembershipChange::Promote(NodeId(4)))
            .unwrap();
        let _ = world.propose(leader);
        world.run_for(3000);
        let new_leader = world.leader().expect("the majority side has a leader");
        assert!(others.contains(&new_leader), "seed {seed}");
        world.propose(new_leader).unwrap();
        world.run_for(500);
        world.heal_and_check();
        assert_eq!(world.violation, None, "seed {seed}");
    }
}

#[test]
fn a_removed_member_causes_no_election() {
    let (mut world, leader) = elect_first_leader(6, 5);
    let removed = other_ids(&world, leader)[0];
    world
        .change_membership(leader, MembershipChange::Remove(removed))
        .unwrap();
    world.run_for(200);
    let elections_before = world.elections_won;
    world.run_for(10_000);
    assert_eq!(
        (world.elections_won, world.leader()),
        (elections_before, Some(leader))
    );
    // A removed leader is replaced by another one.
    world
        .change_membership(leader, MembershipChange::Remove(leader))
        .unwrap();
    world.run_for(3000);
    assert!(
        world
            .leader()
            .is_some_and(|current| current != leader && current != removed)
    );
    assert_eq!(world.violation, None);
}

#[test]
fn exceeding_a_limit_returns_its_rejection() {
    let (mut world, leader) = elect_first_leader(8, 3);
    other_ids(&world, leader)
        .into_iter()
        .for_each(|id| cut_link(&mut world, leader, id));
    let accepted = (0..10_000)
        .map_while(|_| world.propose(leader).ok())
        .count();
    assert_eq!(accepted, world.limits.max_uncommitted_entries);
    let node = world.hosts.get_mut(&leader).unwrap().node.as_mut().unwrap();
    let pending_reads = (0..10_000)
        .map_while(|read_id| node.request_read(read_id).ok())
        .count();
    assert_eq!(pending_reads, world.limits.max_pending_reads);
    assert_eq!(node.propose(vec![0; 1 << 20]), Err(Rejection::Full));
}
