//! Runs with random faults from many seeds, and with bugs injected into the host that the checks must detect.

use violetwind_storm::replicated_log::{InjectedBug, World};

fn run_seed(seed: u64, voters: u64, injected_bug: InjectedBug) -> World {
    let mut world = World::new(seed, voters);
    world.injected_bug = injected_bug;
    world.run_for(1500);
    for _ in 0..2 {
        world.run_random_faults(4000);
    }
    world
}

fn run_seeds(seeds: std::ops::Range<u64>) -> (usize, u64, usize) {
    let (mut elections, mut commits, mut reads) = (0, 0, 0);
    for seed in seeds {
        let voters = [3, 5, 3, 7][seed as usize % 4];
        let world = run_seed(seed, voters, InjectedBug::Nothing);
        assert_eq!(world.violation, None, "seed {seed}, {voters} voters");
        elections += world.elections_won;
        commits += world.commits;
        reads += world.reads_completed;
    }
    (elections, commits, reads)
}

#[test]
fn random_faults_violate_no_invariant() {
    let (elections, commits, reads) = run_seeds(0..120);
    // Lower counts would mean that the runs exercised nothing.
    assert!(
        elections > 300 && commits > 10_000 && reads > 1000,
        "{elections} {commits} {reads}"
    );
}

/// `cargo test --release -p violetwind-consensus --test seeds -- --ignored --nocapture`
#[test]
#[ignore = "takes minutes; needs a release build"]
fn random_faults_with_ten_thousand_seeds_violate_no_invariant() {
    let parts: Vec<_> = (0..8)
        .map(|part| {
            std::thread::spawn(move || run_seeds(1000 + part * 1250..1000 + (part + 1) * 1250))
        })
        .collect();
    let sums = parts.into_iter().map(|part| part.join().unwrap());
    let (elections, commits, reads) =
        sums.fold((0, 0, 0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2));
    println!("10000 seeds: {elections} elections, {commits} commits, {reads} reads, no violation");
}

#[test]
fn random_faults_reveal_injected_bugs() {
    let injected_bugs = [
        InjectedBug::AckBeforeSync,
        InjectedBug::SkipsEntry,
        InjectedBug::EmptiedUnderItsName,
    ];
    for injected_bug in injected_bugs {
        let found =
            (0..400).find_map(|seed| Some((seed, run_seed(seed, 3, injected_bug).violation?)));
        let (seed, violation) = found.unwrap_or_else(|| panic!("{injected_bug:?} is not detected"));
        println!("{injected_bug:?}: seed {seed}, {violation}");
        assert!(
            violation.contains("Safety") || violation.contains("Liveness"),
            "{violation}"
        );
    }
}

#[test]
fn the_same_seed_replays_the_same_run() {
    let outcome = |world: World| (world.committed, world.leaders, world.elections_won);
    assert_eq!(
        outcome(run_seed(7, 5, InjectedBug::Nothing)),
        outcome(run_seed(7, 5, InjectedBug::Nothing))
    );
}
