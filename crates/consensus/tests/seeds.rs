//! Thousands of seeds of faults, and errors planted in the host that the books have to find.

use violetwind_storm::replicated_log::{InjectedBug, World};

fn play(seed: u64, voters: u64, planted: InjectedBug) -> World {
    let mut world = World::new(seed, voters);
    world.injected_bug = planted;
    world.run_for(1500);
    for _ in 0..2 {
        world.run_random_faults(4000);
    }
    world
}

fn campaign(seeds: std::ops::Range<u64>) -> (usize, u64, usize) {
    let (mut elections, mut commits, mut reads) = (0, 0, 0);
    for seed in seeds {
        let voters = [3, 5, 3, 7][seed as usize % 4];
        let world = play(seed, voters, InjectedBug::Nothing);
        assert_eq!(world.violation, None, "seed {seed}, {voters} voters");
        elections += world.elections_won;
        commits += world.commits;
        reads += world.reads_completed;
    }
    (elections, commits, reads)
}

#[test]
fn no_invariant_breaks_over_seeds_of_faults() {
    let (elections, commits, reads) = campaign(0..120);
    // Without any of these nothing would have been tried.
    assert!(
        elections > 300 && commits > 10_000 && reads > 1000,
        "{elections} {commits} {reads}"
    );
}

/// `cargo test --release -p violetwind-consensus --test seeds -- --ignored --nocapture`
#[test]
#[ignore = "minutes; for a release build"]
fn ten_thousand_seeds() {
    let parts: Vec<_> = (0..8)
        .map(|part| {
            std::thread::spawn(move || campaign(1000 + part * 1250..1000 + (part + 1) * 1250))
        })
        .collect();
    let sums = parts.into_iter().map(|part| part.join().unwrap());
    let (elections, commits, reads) =
        sums.fold((0, 0, 0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2));
    println!("10000 seeds: {elections} elections, {commits} commits, {reads} reads, no violation");
}

#[test]
fn planted_errors_are_found() {
    let planted = [
        InjectedBug::AckBeforeSync,
        InjectedBug::SkipsEntry,
        InjectedBug::EmptiedUnderItsName,
    ];
    for planted in planted {
        let found = (0..400).find_map(|seed| Some((seed, play(seed, 3, planted).violation?)));
        let (seed, what) = found.unwrap_or_else(|| panic!("{planted:?} is not found"));
        println!("{planted:?}: seed {seed}, {what}");
        assert!(
            what.contains("Safety") || what.contains("Liveness"),
            "{what}"
        );
    }
}

#[test]
fn one_seed_replays_all() {
    let told = |world: World| (world.committed, world.leaders, world.elections_won);
    assert_eq!(
        told(play(7, 5, InjectedBug::Nothing)),
        told(play(7, 5, InjectedBug::Nothing))
    );
}
