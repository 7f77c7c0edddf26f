//! A deployment whose servers tell no load and may not be probed.

mod common;

use common::*;
use violetwind_balancer::api::*;

fn unprobed() -> Settings {
    Settings {
        report_fields: Vec::new(),
        may_probe: false,
        ..settings()
    }
}

/// A server that one dial did not reach was never used again by that balancer: nothing could clear it.
#[test]
fn a_server_that_did_not_answer_once_is_tried_again() {
    let mut bench = BalancerHarness::new(unprobed(), vec![entry(1), entry(2)], 3);
    let first = bench.place_request(1).expect("sent");
    let actions = bench.end_attempt(1, first, Outcome::ConnectFailed);
    let second = sent_to(&actions, 1).expect("sent elsewhere");
    assert_ne!(first, second);
    // For a while it is avoided.
    bench.now += 1.0;
    for id in 10..20 {
        assert_eq!(bench.place_request(id), Some(second));
    }
    bench.now += 30.0;
    let used: Vec<_> = (100..140)
        .filter_map(|id| bench.place_request(id))
        .collect();
    assert!(used.contains(&first), "{used:?}");
}

/// Warm servers cut off what came to them while cold ones beside them stayed unused.
#[test]
fn who_was_cut_off_takes_a_turn_at_a_cold_server() {
    let cold = Entry {
        born: Some(99.0),
        ..entry(9)
    };
    let servers = || (1..=8).map(entry).chain([cold.clone()]).collect();
    let settings = || Settings {
        groups: true,
        ..unprobed()
    };
    let place = |again: bool, group: u64| {
        let mut bench = BalancerHarness::new(settings(), servers(), 3);
        bench.now += 2.0;
        let request = Request {
            again,
            ..grouped_request(1, group)
        };
        let actions = bench.handle_and_answer_probes(Event::Request(request));
        sent_to(&actions, 1)
    };
    let count = |again| {
        (0..50)
            .filter(|group| place(again, *group) == Some(9))
            .count()
    };
    let (first, later) = (count(false), count(true));
    assert_eq!(later, 50, "{first}");
    assert!(first < 25, "{first}");
}

/// What a repeat of a keyed request is told: up to when servers remember it, counted from the first attempt.
#[test]
fn a_keyed_repeat_says_until_when_it_may_begin() {
    let class = Class {
        window: 3.0,
        ..class(Idempotency::Keyed, DedupScope::All)
    };
    let settings = Settings {
        classes: vec![class],
        ..unprobed()
    };
    let mut bench = BalancerHarness::new(settings, vec![entry(1), entry(2)], 3);
    let begin = |actions: &[Action]| match actions.first() {
        Some(Action::Send(_, _, _, begin)) => *begin,
        other => panic!("{other:?}"),
    };
    let actions = bench.handle_and_answer_probes(Event::Request(request(1)));
    assert_eq!(begin(&actions), None);
    let server = sent_to(&actions, 1).unwrap();
    bench.now += 0.5;
    let left = begin(&bench.end_attempt(1, server, Outcome::Reset)).expect("an end");
    assert!((left - 2.5).abs() < 1e-9, "{left}");
}
