//! Unit tests of the load classifier.

use violetwind_proxy::load_classifier::*;

/// A sequence of figures as servers sent them. Delays taken for loads made loaded connections look idle, so the
/// decision module moved more of them and refused clients for which there was capacity.
#[test]
fn delays_are_distinguished_from_loads() {
    let mut classifier = LoadClassifier::new(true);
    for load in [11052.746, 36119.25, 11015.159, 3212.788, 21076.518] {
        assert_eq!(classifier.classify(load), LoadReading::Load(load / 1e6));
    }
    for delay in [58.033, 77.244, 465.311, 904.588] {
        assert_eq!(classifier.classify(delay), LoadReading::Delay(delay / 1e3));
    }
    assert_eq!(
        classifier.classify(63575.887),
        LoadReading::Load(0.063575887)
    );
}

#[test]
fn a_delay_received_first_does_not_affect_later_loads() {
    let mut classifier = LoadClassifier::new(true);
    classifier.classify(60.0);
    assert_eq!(classifier.classify(30_000.0), LoadReading::Load(0.03));
    assert_eq!(classifier.classify(61.0), LoadReading::Delay(0.061));
}

#[test]
fn every_figure_is_a_load_where_delays_are_not_reported() {
    let mut classifier = LoadClassifier::new(false);
    classifier.classify(50_000.0);
    assert_eq!(classifier.classify(50.0), LoadReading::Load(5e-5));
}
