//! The hard cases by name, each alone.

use violetwind_consensus::{Change, Disk, NodeId, Refused};
use violetwind_storm::log::World;

fn settled(seed: u64, voters: u64) -> (World, NodeId) {
    let mut world = World::new(seed, voters);
    world.run(3000);
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
    world.cut.insert((a, b));
    world.cut.insert((b, a));
}

#[test]
fn a_link_that_flaps_makes_no_storm_of_elections() {
    for seed in 0..10 {
        let (mut world, leader) = settled(seed, 3);
        let follower = others(&world, leader)[0];
        let before = world.elections;
        for turn in 0..50 {
            match turn % 2 {
                0 => cut(&mut world, leader, follower),
                _ => world.cut.clear(),
            }
            world.run(200);
        }
        assert_eq!(world.elections, before, "seed {seed}");
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
        world.elections,
        world.hosts[&away].node.as_ref().unwrap().status().term,
    );
    world.run(10_000);
    assert_eq!(
        world.hosts[&away].node.as_ref().unwrap().status().term,
        term,
        "pre-vote"
    );
    world.heal();
    assert_eq!((world.elections, world.wrong.clone()), (before, None));
}

#[test]
fn a_leader_that_hears_nobody_steps_down_and_another_leads() {
    for seed in 0..10 {
        let (mut world, leader) = settled(seed, 3);
        // It is heard, and hears nothing.
        for id in others(&world, leader) {
            world.cut.insert((id, leader));
        }
        world.run(3000);
        let now = world.leader().expect("another leads");
        assert_ne!(now, leader, "seed {seed}");
        world.heal();
        assert_eq!(world.wrong, None, "seed {seed}");
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
        world.run(3000);
        let leads = world.leader().expect("the larger half has a leader");
        assert!(rest[1..].contains(&leads), "seed {seed}");
        world.propose(leads).unwrap();
        world.heal();
        assert_eq!(world.wrong, None, "seed {seed}");
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
        world.run(5 * (seed % 5));
        world.kill(leader);
        world.run(3000);
        assert!(
            world.leader().is_some_and(|now| now != leader),
            "seed {seed}"
        );
        world.start(leader);
        world.heal();
        assert_eq!(world.wrong, None, "seed {seed}");
    }
}

#[test]
fn a_member_far_behind_gets_a_snapshot_though_it_is_killed_meanwhile() {
    for seed in 0..10 {
        let (mut world, leader) = settled(seed, 3);
        let away = others(&world, leader)[0];
        world.kill(away);
        for _ in 0..300 {
            let _ = world.propose(leader);
            world.step();
        }
        world.compact(leader);
        world.start(away);
        for _ in 0..5 {
            world.run(40);
            world.kill(away);
            world.start(away);
        }
        world.heal();
        assert_eq!(world.wrong, None, "seed {seed}");
        let status = world.hosts[&away].node.as_ref().unwrap().status();
        assert!(status.snapshot > 100, "it came by a snapshot: {status:?}");
    }
}

#[test]
fn a_disk_that_takes_two_seconds_holds_nobody_else_up() {
    let (mut world, leader) = settled(3, 3);
    let slow = others(&world, leader)[0];
    world.hosts.get_mut(&slow).unwrap().sync = 2000;
    let (before, elections) = (world.commits, world.elections);
    for _ in 0..1000 {
        let _ = world.propose(leader);
        world.step();
    }
    world.run(100);
    assert!(world.commits - before >= 1000, "{}", world.commits - before);
    assert_eq!(world.elections, elections);
    world.heal();
    assert_eq!(world.wrong, None);
}

#[test]
fn the_lead_is_handed_over_within_300_ms() {
    for seed in 0..10 {
        let (mut world, leader) = settled(seed, 5);
        let node = world.hosts.get_mut(&leader).unwrap().node.as_mut().unwrap();
        let to = node.closest().unwrap();
        node.transfer(to).unwrap();
        assert_eq!(node.propose(vec![0; 8]), Err(Refused::NotNow));
        world.carry_out(leader);
        world.run(300);
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
                world.run(20);
            }
            if all {
                let ids: Vec<_> = world.hosts.keys().copied().collect();
                ids.into_iter().for_each(|id| world.kill(id));
                others(&world, id)
                    .into_iter()
                    .for_each(|id| world.start(id));
            } else {
                world.kill(id);
            }
            world.hosts.get_mut(&id).unwrap().disk = older;
            world.start(id);
            world.run(3000);
            assert!(world.hosts[&id].stale, "seed {seed}, all restarted: {all}");
            world.heal();
            assert_eq!(world.wrong, None, "seed {seed}, all restarted: {all}");
        }
    }
}

#[test]
fn one_with_an_empty_directory_votes_only_once_it_is_let_in() {
    let (mut world, leader) = settled(4, 3);
    let lost = others(&world, leader)[0];
    world.kill(lost);
    world.hosts.remove(&lost);
    let stranger = NodeId(99);
    world.add(stranger, Disk::default());
    world.run(3000);
    assert_eq!(
        world.hosts[&stranger].node.as_ref().unwrap().status().last,
        0
    );
    world.change(leader, Change::Remove(lost)).unwrap();
    world.run(200);
    world
        .change(leader, Change::Add(stranger, "node-99".into()))
        .unwrap();
    assert_eq!(
        world.change(leader, Change::Promote(stranger)),
        Err(Refused::Changing)
    );
    // It has to acknowledge that it is a member before it may vote, however short the log is.
    world.cut.insert((stranger, leader));
    world.run(500);
    assert_eq!(
        world.change(leader, Change::Promote(stranger)),
        Err(Refused::Senseless)
    );
    world.cut.clear();
    world.run(1000);
    world.change(leader, Change::Promote(stranger)).unwrap();
    world.run(1000);
    let third = others(&world, leader)
        .into_iter()
        .find(|id| *id != stranger)
        .unwrap();
    world.kill(third);
    world.propose(leader).unwrap();
    let before = world.commits;
    world.run(500);
    assert!(world.commits > before, "the one let in makes the majority");
    world.start(third);
    world.heal();
    assert_eq!(world.wrong, None);
}

#[test]
fn voters_changed_during_a_cut_never_make_two_majorities() {
    for seed in 0..40 {
        let (mut world, leader) = settled(seed, 3);
        let rest = others(&world, leader);
        world.add(NodeId(4), Disk::default());
        world
            .change(leader, Change::Add(NodeId(4), "node-4".into()))
            .unwrap();
        world.run(1000);
        rest.iter().for_each(|id| cut(&mut world, leader, *id));
        // The old leader and the new voter on one side, the two others on the other.
        rest.iter().for_each(|id| cut(&mut world, NodeId(4), *id));
        world.change(leader, Change::Promote(NodeId(4))).unwrap();
        let _ = world.propose(leader);
        world.run(3000);
        let other = world.leader().expect("two of three lead");
        assert!(rest.contains(&other), "seed {seed}");
        world.propose(other).unwrap();
        world.run(500);
        world.heal();
        assert_eq!(world.wrong, None, "seed {seed}");
    }
}

#[test]
fn a_member_that_is_removed_disturbs_nobody() {
    let (mut world, leader) = settled(6, 5);
    let gone = others(&world, leader)[0];
    world.change(leader, Change::Remove(gone)).unwrap();
    world.run(200);
    let before = world.elections;
    world.run(10_000);
    assert_eq!((world.elections, world.leader()), (before, Some(leader)));
    // A leader that is removed leaves the lead to another.
    world.change(leader, Change::Remove(leader)).unwrap();
    world.run(3000);
    assert!(
        world
            .leader()
            .is_some_and(|now| now != leader && now != gone)
    );
    assert_eq!(world.wrong, None);
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
    assert_eq!(taken, world.limits.uncommitted);
    let node = world.hosts.get_mut(&leader).unwrap().node.as_mut().unwrap();
    let read = (0..10_000).map_while(|token| node.read(token).ok()).count();
    assert_eq!(read, world.limits.reads);
    assert_eq!(node.propose(vec![0; 1 << 20]), Err(Refused::Full));
}
