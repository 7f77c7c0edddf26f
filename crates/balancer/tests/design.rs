//! The statements of the design page about normal operation.

mod common;

use common::*;
use std::collections::BTreeSet;
use violetwind_balancer::api::*;

#[test]
fn every_server_is_probed_at_regular_intervals() {
    let mut harness = BalancerHarness::new(settings(), Vec::new(), 3);
    let mut actions = harness
        .handle_and_answer_probes(Event::Servers(ListKind::Replace, vec![entry(1), entry(2)]));
    let mut probes = Vec::new();
    let mut timers: Vec<(Seconds, u64)> = Vec::new();
    while harness.now < 130.0 {
        for action in actions.drain(..) {
            match action {
                Action::Probe(server) => probes.push((server, harness.now)),
                Action::Timer(after, token) => timers.push((harness.now + after, token)),
                _ => {}
            }
        }
        timers.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (at, token) = timers.remove(0);
        harness.now = at;
        actions = harness.handle_and_answer_probes(Event::Timer(token));
    }
    for server in [1, 2] {
        let times: Vec<Seconds> = probes
            .iter()
            .filter(|p| p.0 == server)
            .map(|p| p.1)
            .collect();
        assert!(
            (20..=40).contains(&times.len()),
            "{} probes in 30 s",
            times.len()
        );
        assert!(times.windows(2).all(|pair| pair[1] - pair[0] <= 5.0));
    }
}

#[test]
fn the_server_with_the_lowest_load_gets_the_connection() {
    for seed in 0..20 {
        let mut harness = BalancerHarness::new(settings(), (1..=4).map(entry).collect(), seed);
        for (server, load) in [(1, 0.6), (2, 0.2), (3, 0.4), (4, 0.7)] {
            harness.report_load(server, load);
        }
        assert_eq!(harness.place_request(9), Some(2));
    }
}

#[test]
fn the_metric_order_is_load_then_connections_then_queue() {
    let report = |load, connections, queue| Report {
        load,
        connections,
        queue,
        ..Report::default()
    };
    for (lower, higher) in [
        (
            report(Some(0.1), Some(90.0), Some(90.0)),
            report(Some(0.5), Some(1.0), Some(1.0)),
        ),
        (
            report(None, Some(10.0), Some(90.0)),
            report(None, Some(50.0), Some(1.0)),
        ),
        (report(None, None, Some(1.0)), report(None, None, Some(5.0))),
    ] {
        let settings = Settings {
            report_fields: Vec::new(),
            ..settings()
        };
        let mut harness = BalancerHarness::new(settings, vec![entry(1), entry(2)], 3);
        harness.handle_and_answer_probes(Event::Probed(1, Outcome::Ok, lower));
        harness.handle_and_answer_probes(Event::Probed(2, Outcome::Ok, higher));
        assert_eq!(
            harness.place_request(9),
            Some(1),
            "{lower:?} ranks before {higher:?}"
        );
    }
}

#[test]
fn ties_are_broken_at_random() {
    let choose_server = |seed| {
        let mut harness = BalancerHarness::new(settings(), (1..=4).map(entry).collect(), seed);
        (1..=4).for_each(|server| drop(harness.report_load(server, 0.3)));
        harness.place_request(9)
    };
    let chosen: BTreeSet<_> = (0..60).map(choose_server).collect();
    assert_eq!(chosen.len(), 4);
    assert_eq!(
        choose_server(11),
        choose_server(11),
        "the same seed and events give the same choice"
    );
}

#[test]
fn placements_since_the_last_probe_are_counted() {
    let mut harness = BalancerHarness::new(settings(), vec![entry(1), entry(2)], 3);
    harness.open_connections(1, 1000, &[0.1; 20]);
    harness.open_connections(2, 2000, &[0.1; 20]);
    harness.report_load(1, 0.40);
    harness.report_load(2, 0.42);
    let placements: Vec<_> = (0..10).map(|id| harness.place_request(id)).collect();
    assert!(
        placements.contains(&Some(1)) && placements.contains(&Some(2)),
        "not all on one server: {placements:?}"
    );
}

#[test]
fn a_server_without_a_report_counts_at_the_mean_of_the_others() {
    for (first_load, second_load, expected) in [(0.2, 0.6, 1), (0.6, 0.2, 2)] {
        let mut harness = BalancerHarness::new(settings(), (1..=3).map(entry).collect(), 3);
        harness.report_load(1, first_load);
        harness.now += 0.06;
        harness.report_load(2, second_load);
        assert_eq!(
            harness.place_request(9),
            Some(expected),
            "the mean of 0.4 is more than 0.2"
        );
    }
    let mut harness = BalancerHarness::new(settings(), (1..=4).map(entry).collect(), 3);
    for (server, load) in [(1, 0.8), (2, 0.5), (3, 0.5)] {
        // The mean is updated at most twenty times per second.
        harness.now += 0.06;
        harness.report_load(server, load);
    }
    harness.now += 3.0;
    harness.handle_and_answer_probes(Event::Servers(ListKind::Replace, vec![entry(1), entry(4)]));
    assert_eq!(
        harness.place_request(10),
        Some(4),
        "the mean of 0.6 is less than 0.8"
    );
}

#[test]
fn one_connection_moves_off_a_server_above_the_threshold() {
    let mut harness = BalancerHarness::new(settings(), vec![entry(1), entry(2)], 3);
    harness.open_connections(1, 1000, &[0.02; 50]);
    harness.open_connections(2, 2000, &[0.02; 50]);
    harness.report_load(2, 0.3);
    assert!(
        moved_requests(&harness.report_load(1, 0.8)).is_empty(),
        "below the threshold"
    );
    let moves_per_probe: Vec<usize> = (0..20)
        .map(|_| moved_requests(&harness.report_load(1, 0.9)).len())
        .collect();
    assert!(
        moves_per_probe.iter().all(|moves| *moves <= 1),
        "at most one per probe: {moves_per_probe:?}"
    );
    assert!(moves_per_probe.iter().sum::<usize>() > 0);
}

#[test]
fn no_connection_moves_where_no_server_has_room() {
    let mut harness = BalancerHarness::new(settings(), vec![entry(1), entry(2)], 3);
    harness.open_connections(1, 1000, &[0.02; 50]);
    harness.report_load(2, 0.84);
    for _ in 0..20 {
        assert!(moved_requests(&harness.report_load(1, 0.9)).is_empty());
    }
}

#[test]
fn with_only_connection_counts_moves_start_at_1_3_times_the_mean() {
    let settings = Settings {
        report_fields: vec![ReportField::Connections],
        ..settings()
    };
    let mut harness = BalancerHarness::new(settings, vec![entry(1), entry(2)], 3);
    let connections_report = |n| Report {
        connections: Some(n),
        ..Report::default()
    };
    harness.open_connections(1, 1000, &[0.1; 50]);
    harness.open_connections(2, 2000, &[0.1; 50]);
    harness.answer_periodic_probe(2, connections_report(50.0));
    for _ in 0..20 {
        let actions = harness.answer_periodic_probe(1, connections_report(60.0));
        assert!(moved_requests(&actions).is_empty(), "1.1 times the mean");
    }
    let actions = harness.answer_periodic_probe(1, connections_report(150.0));
    assert_eq!(moved_requests(&actions).len(), 1, "1.5 times the mean");
}
