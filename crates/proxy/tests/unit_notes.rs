//! `notes` by itself.

use violetwind_proxy::load_classifier::*;

/// Figures as servers sent them in a row. Taken for loads, the delays made loaded connections
/// look empty: the module moved more of them and refused clients that there was room for.
#[test]
fn delays_between_loads_are_told_apart() {
    let mut notes = LoadClassifier::new(true);
    for load in [11052.746, 36119.25, 11015.159, 3212.788, 21076.518] {
        assert_eq!(notes.classify(load), LoadReading::Load(load / 1e6));
    }
    for delay in [58.033, 77.244, 465.311, 904.588] {
        assert_eq!(notes.classify(delay), LoadReading::Delay(delay / 1e3));
    }
    assert_eq!(notes.classify(63575.887), LoadReading::Load(0.063575887));
}

#[test]
fn a_delay_that_comes_first_does_not_last() {
    let mut notes = LoadClassifier::new(true);
    notes.classify(60.0);
    assert_eq!(notes.classify(30_000.0), LoadReading::Load(0.03));
    assert_eq!(notes.classify(61.0), LoadReading::Delay(0.061));
}

#[test]
fn where_no_delay_is_told_every_figure_is_a_load() {
    let mut notes = LoadClassifier::new(false);
    notes.classify(50_000.0);
    assert_eq!(notes.classify(50.0), LoadReading::Load(5e-5));
}
