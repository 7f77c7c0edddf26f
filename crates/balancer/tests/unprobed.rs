//! A deployment whose servers report no load and may not be probed.

mod common;

use common::*;
use violetwind_balancer::api::*;

fn settings_without_probes() -> Settings {
    Settings {
        report_fields: Vec::new(),
        may_probe: false,
        ..settings()
    }
}

/// After one failed connect a balancer never used the server again, as without probes nothing cleared the mark.
#[test]
fn a_server_is_tried_again_after_a_failed_connect() {
    let mut harness = BalancerHarness::new(settings_without_probes(), vec![entry(1), entry(2)], 3);
    let first = harness.place_request(1).expect("sent");
    let actions = harness.end_attempt(1, first, Outcome::ConnectFailed);
    let second = sent_to(&actions, 1).expect("sent elsewhere");
    assert_ne!(first, second);
    // The server is avoided for a while.
    harness.now += 1.0;
    for id in 10..20 {
        assert_eq!(harness.place_request(id), Some(second));
    }
    harness.now += 30.0;
    let used_servers: Vec<_> = (100..140)
        .filter_map(|id| harness.place_request(id))
        .collect();
    assert!(used_servers.contains(&first), "{used_servers:?}");
}

/// Full warm servers dropped new connections while cold ones stayed unused.
#[test]
fn a_repeated_request_uses_a_turn_at_a_cold_server() {
    let cold = Entry {
        started_at: Some(99.0),
        ..entry(9)
    };
    let servers = || (1..=8).map(entry).chain([cold.clone()]).collect();
    let grouped_settings = || Settings {
        group_affinity: true,
        ..settings_without_probes()
    };
    let place_request = |is_repeat: bool, group: u64| {
        let mut harness = BalancerHarness::new(grouped_settings(), servers(), 3);
        harness.now += 2.0;
        let request = Request {
            is_repeat,
            ..grouped_request(1, group)
        };
        let actions = harness.handle_and_answer_probes(Event::Request(request));
        sent_to(&actions, 1)
    };
    let count_at_cold = |is_repeat| {
        (0..50)
            .filter(|group| place_request(is_repeat, *group) == Some(9))
            .count()
    };
    let (first, repeated) = (count_at_cold(false), count_at_cold(true));
    assert_eq!(repeated, 50, "{first}");
    assert!(first < 25, "{first}");
}

/// A repeat of a keyed request may begin only while servers remember the request, counted from the first attempt.
#[test]
fn a_keyed_repeat_carries_the_time_until_which_it_may_begin() {
    let class = Class {
        dedup_window: 3.0,
        ..class(Idempotency::Keyed, DedupScope::All)
    };
    let settings = Settings {
        classes: vec![class],
        ..settings_without_probes()
    };
    let mut harness = BalancerHarness::new(settings, vec![entry(1), entry(2)], 3);
    let begin_within = |actions: &[Action]| match actions.first() {
        Some(Action::Send(_, _, _, begin_within)) => *begin_within,
        other => panic!("{other:?}"),
    };
    let actions = harness.handle_and_answer_probes(Event::Request(request(1)));
    assert_eq!(begin_within(&actions), None);
    let server = sent_to(&actions, 1).unwrap();
    harness.now += 0.5;
    let time_left =
        begin_within(&harness.end_attempt(1, server, Outcome::Reset)).expect("a time limit");
    assert!((time_left - 2.5).abs() < 1e-9, "{time_left}");
}
