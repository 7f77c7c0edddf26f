//! Explores every order of events of three nodes up to a depth.

use violetwind_storm::explorer::{Explorer, InjectedBug, State, state_with_two_candidates};

#[test]
fn every_event_order_up_to_a_depth_keeps_the_invariants() {
    let explorer = Explorer::run(InjectedBug::Nothing, &State::new(), 7);
    assert_eq!(explorer.violation, None);
    assert!(
        explorer.explored_depths.len() > 5_000,
        "{} states",
        explorer.explored_depths.len()
    );
    let explorer = Explorer::run(
        InjectedBug::Nothing,
        &state_with_two_candidates(InjectedBug::Nothing),
        7,
    );
    assert_eq!(explorer.violation, None);
}

/// `cargo test --release -p violetwind-consensus --test explore -- --ignored --nocapture`
#[test]
#[ignore = "takes a minute; needs a release build"]
fn every_event_order_up_to_a_greater_depth_keeps_the_invariants() {
    for (name, state, depth) in [
        ("from the start", State::new(), 11),
        (
            "from two candidates of one term",
            state_with_two_candidates(InjectedBug::Nothing),
            10,
        ),
    ] {
        let started = std::time::Instant::now();
        let explorer = Explorer::run(InjectedBug::Nothing, &state, depth);
        assert_eq!(explorer.violation, None);
        println!(
            "{name}: depth {depth}, {} states, {:?}",
            explorer.explored_depths.len(),
            started.elapsed()
        );
    }
}

#[test]
fn exploration_finds_injected_bugs() {
    for (injected_bug, name) in [
        (InjectedBug::ForgetsVote, "Election Safety"),
        (InjectedBug::AckBeforeSync, "Election Safety"),
    ] {
        let explorer = Explorer::run(injected_bug, &state_with_two_candidates(injected_bug), 9);
        let found = explorer.violation.expect(name);
        assert!(found.starts_with(name), "{found}");
        println!("{found} after {} states", explorer.explored_depths.len());
    }
}
