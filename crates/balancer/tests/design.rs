//! The design page's sentences on the ordinary path.

mod common;

use common::*;
use std::collections::BTreeSet;
use violetwind_balancer::api::*;

#[test]
fn every_server_is_probed_steadily() {
    let mut bench = BalancerHarness::new(settings(), Vec::new(), 3);
    let mut due =
        bench.handle_and_answer_probes(Event::Servers(ListKind::Replace, vec![entry(1), entry(2)]));
    let mut probes = Vec::new();
    let mut timers: Vec<(Seconds, u64)> = Vec::new();
    while bench.now < 130.0 {
        for action in due.drain(..) {
            match action {
                Action::Probe(server) => probes.push((server, bench.now)),
                Action::Timer(after, token) => timers.push((bench.now + after, token)),
                _ => {}
            }
        }
        timers.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (at, token) = timers.remove(0);
        bench.now = at;
        due = bench.handle_and_answer_probes(Event::Timer(token));
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
fn the_lowest_probed_figure_gets_the_connection() {
    for seed in 0..20 {
        let mut bench = BalancerHarness::new(settings(), (1..=4).map(entry).collect(), seed);
        for (server, figure) in [(1, 0.6), (2, 0.2), (3, 0.4), (4, 0.7)] {
            bench.report_load(server, figure);
        }
        assert_eq!(bench.place_request(9), Some(2));
    }
}

#[test]
fn the_metric_order_is_load_then_connections_then_queue() {
    let all = |load, connections, queue| Report {
        load,
        connections,
        queue,
        ..Report::default()
    };
    for (one, two) in [
        (
            all(Some(0.1), Some(90.0), Some(90.0)),
            all(Some(0.5), Some(1.0), Some(1.0)),
        ),
        (
            all(None, Some(10.0), Some(90.0)),
            all(None, Some(50.0), Some(1.0)),
        ),
        (all(None, None, Some(1.0)), all(None, None, Some(5.0))),
    ] {
        let set = Settings {
            report_fields: Vec::new(),
            ..settings()
        };
        let mut bench = BalancerHarness::new(set, vec![entry(1), entry(2)], 3);
        bench.handle_and_answer_probes(Event::Probed(1, Outcome::Ok, one));
        bench.handle_and_answer_probes(Event::Probed(2, Outcome::Ok, two));
        assert_eq!(bench.place_request(9), Some(1), "{one:?} under {two:?}");
    }
}

#[test]
fn ties_are_broken_at_random() {
    let choose = |seed| {
        let mut bench = BalancerHarness::new(settings(), (1..=4).map(entry).collect(), seed);
        (1..=4).for_each(|server| drop(bench.report_load(server, 0.3)));
        bench.place_request(9)
    };
    let chosen: BTreeSet<_> = (0..60).map(choose).collect();
    assert_eq!(chosen.len(), 4);
    assert_eq!(
        choose(11),
        choose(11),
        "the same seed and events choose alike"
    );
}

#[test]
fn placements_since_the_probe_count() {
    let mut bench = BalancerHarness::new(settings(), vec![entry(1), entry(2)], 3);
    bench.open_connections(1, 1000, &[0.1; 20]);
    bench.open_connections(2, 2000, &[0.1; 20]);
    bench.report_load(1, 0.40);
    bench.report_load(2, 0.42);
    let first: Vec<_> = (0..10).map(|id| bench.place_request(id)).collect();
    assert!(
        first.contains(&Some(1)) && first.contains(&Some(2)),
        "not all on the lowest: {first:?}"
    );
}

#[test]
fn a_server_not_yet_heard_from_counts_at_the_others_mean() {
    for (one, two, expected) in [(0.2, 0.6, 1), (0.6, 0.2, 2)] {
        let mut bench = BalancerHarness::new(settings(), (1..=3).map(entry).collect(), 3);
        bench.report_load(1, one);
        bench.now += 0.06;
        bench.report_load(2, two);
        assert_eq!(
            bench.place_request(9),
            Some(expected),
            "the mean of 0.4 is more than 0.2"
        );
    }
    let mut bench = BalancerHarness::new(settings(), (1..=4).map(entry).collect(), 3);
    for (server, figure) in [(1, 0.8), (2, 0.5), (3, 0.5)] {
        // The mean is taken twenty times a second.
        bench.now += 0.06;
        bench.report_load(server, figure);
    }
    bench.now += 3.0;
    bench.handle_and_answer_probes(Event::Servers(ListKind::Replace, vec![entry(1), entry(4)]));
    assert_eq!(
        bench.place_request(10),
        Some(4),
        "the mean of 0.6 is less than 0.8"
    );
}

#[test]
fn one_connection_moves_off_a_server_past_the_threshold() {
    let mut bench = BalancerHarness::new(settings(), vec![entry(1), entry(2)], 3);
    bench.open_connections(1, 1000, &[0.02; 50]);
    bench.open_connections(2, 2000, &[0.02; 50]);
    bench.report_load(2, 0.3);
    assert!(
        moved_requests(&bench.report_load(1, 0.8)).is_empty(),
        "under the threshold"
    );
    let rounds: Vec<usize> = (0..20)
        .map(|_| moved_requests(&bench.report_load(1, 0.9)).len())
        .collect();
    assert!(
        rounds.iter().all(|moves| *moves <= 1),
        "at most one a round: {rounds:?}"
    );
    assert!(rounds.iter().sum::<usize>() > 0);
}

#[test]
fn no_connection_moves_where_no_server_has_room() {
    let mut bench = BalancerHarness::new(settings(), vec![entry(1), entry(2)], 3);
    bench.open_connections(1, 1000, &[0.02; 50]);
    bench.report_load(2, 0.84);
    for _ in 0..20 {
        assert!(moved_requests(&bench.report_load(1, 0.9)).is_empty());
    }
}

#[test]
fn where_only_counts_are_known_the_trigger_is_1_3_times_the_mean() {
    let set = Settings {
        report_fields: vec![ReportField::Connections],
        ..settings()
    };
    let mut bench = BalancerHarness::new(set, vec![entry(1), entry(2)], 3);
    let count = |n| Report {
        connections: Some(n),
        ..Report::default()
    };
    bench.open_connections(1, 1000, &[0.1; 50]);
    bench.open_connections(2, 2000, &[0.1; 50]);
    bench.answer_periodic_probe(2, count(50.0));
    for _ in 0..20 {
        let actions = bench.answer_periodic_probe(1, count(60.0));
        assert!(moved_requests(&actions).is_empty(), "1.1 times the mean");
    }
    let actions = bench.answer_periodic_probe(1, count(150.0));
    assert_eq!(moved_requests(&actions).len(), 1, "1.5 times the mean");
}
