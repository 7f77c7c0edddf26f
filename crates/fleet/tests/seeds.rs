//! Members under thousands of seeds of faults, and errors planted in the host that the books have to find.

use violetwind_storm::fleet::{InjectedBug, World};

fn play(seed: u64, voters: usize, others: usize, planted: InjectedBug) -> World {
    let mut world = World::with_injected_bug(seed, voters, others, planted);
    world.run_for(4000);
    for _ in 0..2 {
        if world.violation.is_none() {
            world.run_random_faults(12_000);
        }
    }
    world
}

fn campaign(seeds: std::ops::Range<u64>) -> [usize; 4] {
    let mut sums = [0; 4];
    for seed in seeds {
        let (voters, others) = [(3, 0), (3, 3), (5, 2), (1, 2)][seed as usize % 4];
        let world = play(seed, voters, others, InjectedBug::Nothing);
        assert_eq!(
            world.violation, None,
            "seed {seed}, {voters} voters and {others} others"
        );
        let counts = [
            world.elections_won,
            world.duties_gained,
            world.duties_lost,
            world.frames_sent as usize,
        ];
        sums.iter_mut()
            .zip(counts)
            .for_each(|(sum, count)| *sum += count);
    }
    sums
}

#[test]
fn one_holder_and_fencing_over_seeds_of_faults() {
    let [leads, gained, lost, _] = campaign(0..60);
    assert!(
        leads > 100 && gained > 300 && lost > 200,
        "{leads} {gained} {lost}"
    );
}

/// Answers that overtook each other shortened a lease that a program had been told of, or took a duty from its
/// holder for good.
#[test]
fn seeds_that_have_found_something_stay_clean() {
    campaign(1640..1641);
    campaign(4771..4772);
    campaign(8660..8661);
}

/// `cargo test --release -p violetwind-fleet --test seeds -- --ignored --nocapture`
#[test]
#[ignore = "minutes; for a release build"]
fn ten_thousand_seeds() {
    let parts: Vec<_> = (0..8)
        .map(|part| {
            std::thread::spawn(move || campaign(1000 + part * 1250..1000 + (part + 1) * 1250))
        })
        .collect();
    let mut sums = [0; 4];
    for part in parts {
        let counts = part.join().unwrap();
        sums.iter_mut()
            .zip(counts)
            .for_each(|(sum, count)| *sum += count);
    }
    let [leads, gained, lost, frames] = sums;
    println!(
        "10000 seeds: {leads} leads, {gained} gained, {lost} lost, {frames} frames, no violation"
    );
}

#[test]
fn planted_errors_are_found() {
    for planted in [
        InjectedBug::LongerLease,
        InjectedBug::WildClocks,
        InjectedBug::AckBeforeSync,
        InjectedBug::DeafProgram,
    ] {
        let found = (0..300).find_map(|seed| Some((seed, play(seed, 3, 2, planted).violation?)));
        let (seed, what) = found.unwrap_or_else(|| panic!("{planted:?} is not found"));
        println!("{planted:?}: seed {seed}, {what}");
    }
}
