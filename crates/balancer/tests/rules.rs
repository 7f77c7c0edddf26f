//! The four rules that each balancer keeps on its own, and its budgets and quotas.

mod common;

use std::collections::BTreeMap;

use common::*;
use violetwind_balancer::api::*;

#[test]
fn a_request_gets_one_final_answer_at_once_and_nothing_after() {
    let mut harness = BalancerHarness::new(settings(), (1..=5).map(entry).collect(), 7);
    let mut server = harness.place_request(9).expect("sent");
    for attempt in 1..=3 {
        let actions = harness.end_attempt(9, server, Outcome::Error);
        match sent_to(&actions, 9) {
            Some(next) => {
                assert!(attempt < 3, "three attempts are allowed");
                assert!(refused_requests(&actions).is_empty());
                server = next;
            }
            None => {
                assert_eq!(attempt, 3);
                assert_eq!(
                    refused_requests(&actions),
                    [9],
                    "a request that is given up is answered at once"
                );
            }
        }
    }
    assert!(
        harness
            .report_outcome(9, server, Outcome::Error, true)
            .is_empty()
    );
    assert!(harness.handle_and_answer_probes(Event::Gone(9)).is_empty());
}

#[test]
fn refuses_a_request_that_times_out_at_its_deadline() {
    let mut harness = BalancerHarness::new(settings(), (1..=5).map(entry).collect(), 7);
    let server = harness.place_request(9).expect("sent");
    harness.now += 2.0;
    assert_eq!(
        refused_requests(&harness.end_attempt(9, server, Outcome::TimedOut)),
        [9]
    );
}

#[test]
fn attempt_timeouts_stay_within_the_client_patience() {
    let mut harness = BalancerHarness::new(settings(), vec![entry(1)], 7);
    let actions = harness.handle_and_answer_probes(Event::Request(request(9)));
    let Action::Send(_, _, timeout, _) = actions[0] else {
        panic!("not sent: {actions:?}")
    };
    assert!(timeout > 0.0 && timeout <= 2.0);
}

fn settings_with_class(idempotency: Idempotency, dedup_scope: DedupScope) -> Settings {
    Settings {
        classes: vec![class(idempotency, dedup_scope)],
        max_attempts: 9,
        ..settings()
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_not_repeated() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset] {
        let settings = settings_with_class(Idempotency::Unsafe, DedupScope::All);
        let mut harness = BalancerHarness::new(settings, (1..=3).map(entry).collect(), 1);
        let server = harness.place_request(9).expect("sent");
        assert_eq!(
            harness.end_attempt(9, server, outcome),
            [Action::Fail(9)],
            "{outcome:?}"
        );
    }
}

#[test]
fn an_unsafe_request_that_never_ran_is_tried_again() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed] {
        let settings = settings_with_class(Idempotency::Unsafe, DedupScope::All);
        let mut harness = BalancerHarness::new(settings, (1..=3).map(entry).collect(), 1);
        let server = harness.place_request(9).expect("sent");
        let actions = harness.end_attempt(9, server, outcome);
        assert!(sent_to(&actions, 9).is_some(), "{outcome:?}: {actions:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_is_retried_only_within_its_dedup_scope() {
    let entry_in_zone = |id| Entry {
        zone: Some(id as usize % 2),
        cell: u64::from(id % 2),
        ..entry(id)
    };
    for scope in [DedupScope::Zone, DedupScope::Cell] {
        for seed in 0..20 {
            let settings = settings_with_class(Idempotency::Keyed, scope);
            let mut harness =
                BalancerHarness::new(settings, (1..=6).map(entry_in_zone).collect(), seed);
            let first = harness.place_request(9).expect("sent");
            let actions = harness.end_attempt(9, first, Outcome::Error);
            let next = sent_to(&actions, 9).expect("another server of the same zone and cell");
            assert_eq!(next % 2, first % 2);
        }
    }
}

#[test]
fn a_keyed_request_is_not_repeated_once_servers_may_have_forgotten_it() {
    let settings = Settings {
        classes: vec![Class {
            dedup_window: 0.5,
            ..class(Idempotency::Keyed, DedupScope::Zone)
        }],
        ..settings()
    };
    let mut harness = BalancerHarness::new(settings, (1..=3).map(entry).collect(), 1);
    let server = harness.place_request(9).expect("sent");
    harness.now += 0.6;
    assert_eq!(
        harness.end_attempt(9, server, Outcome::Error),
        [Action::Fail(9)]
    );
}

#[test]
fn draining_and_gone_servers_get_no_new_requests() {
    for status in [Status::Draining, Status::Gone] {
        let mut harness = BalancerHarness::new(settings(), vec![entry(1), entry(2)], 3);
        harness.report_load(1, 0.1);
        harness.report_load(2, 0.5);
        harness.handle_and_answer_probes(Event::Servers(
            ListKind::Update,
            vec![Entry { status, ..entry(1) }],
        ));
        assert_eq!(harness.place_request(9), Some(2), "{status:?}");
    }
}

#[test]
fn a_server_missing_from_a_complete_list_is_gone() {
    let mut harness = BalancerHarness::new(settings(), vec![entry(1), entry(2)], 3);
    harness.report_load(1, 0.1);
    harness.report_load(2, 0.5);
    harness.handle_and_answer_probes(Event::Servers(ListKind::Replace, vec![entry(2)]));
    assert_eq!(harness.place_request(9), Some(2));
    assert!(
        harness
            .handle_and_answer_probes(Event::Timer((1 << 32) + 1))
            .is_empty(),
        "a server that is gone is no longer probed"
    );
}

/// Returns how many of 60 requests in 2 s are sent to server 2, which is listed with this kind and start time.
fn count_sends_to_cold_server(kind: usize, started_at: Seconds) -> usize {
    let mut harness = BalancerHarness::new(settings(), vec![entry(1)], 5);
    harness.open_connections(1, 1000, &[0.05; 40]);
    harness.report_load(1, 0.5);
    let cold_entry = Entry {
        kind: Some(kind),
        started_at: Some(started_at),
        ..entry(2)
    };
    harness.handle_and_answer_probes(Event::Servers(ListKind::Update, vec![cold_entry]));
    let mut sends = 0;
    for id in 0..60 {
        harness.now += 2.0 / 60.0;
        harness.report_load(1, 0.5);
        harness.report_load(2, 0.0);
        let light_request = Request {
            hint: Some(0.001),
            ..request(id)
        };
        let actions = harness.handle_and_answer_probes(Event::Request(light_request));
        sends += usize::from(sent_to(&actions, id) == Some(2));
    }
    sends
}

#[test]
fn a_cold_server_gets_a_small_number_of_connections() {
    let sends = count_sends_to_cold_server(0, 99.0);
    assert!((1..=12).contains(&sends), "{sends} of 60");
    assert!(
        count_sends_to_cold_server(0, 50.0) > 40,
        "a warm server gets requests according to its load"
    );
}

/// During a rolling deployment the only server of a kind was cold and idle. The estimated capacity of a warm server of
/// that kind then had no limit, and neither had the number of connections to the cold one.
#[test]
fn the_only_server_of_its_kind_is_limited_while_cold() {
    let sends = count_sends_to_cold_server(1, 99.0);
    assert!((1..=12).contains(&sends), "{sends} of 60");
}

#[test]
fn a_restarted_server_is_cold_again() {
    let mut harness = BalancerHarness::new(settings(), vec![entry(1), entry(2)], 5);
    harness.open_connections(1, 1000, &[0.05; 20]);
    harness.open_connections(2, 2000, &[0.05; 20]);
    harness.report_load(1, 0.5);
    harness.report_load(2, 0.3);
    let restarted = Entry {
        started_at: Some(harness.now - 0.5),
        ..entry(2)
    };
    harness.handle_and_answer_probes(Event::Servers(ListKind::Update, vec![restarted]));
    let mut sends = 0;
    for id in 0..30 {
        harness.now += 0.02;
        sends += usize::from(harness.place_request(id) == Some(2));
    }
    assert!(sends <= 6, "{sends} of 30 in 0.6 s");
}

/// At each retry, the retries in the span before it, itself included, must not exceed the free ones plus the ratio of
/// the requests that arrived in that span.
#[test]
fn retries_stay_within_their_budget() {
    let budget = Budget {
        free: 1.0,
        ratio: 0.15,
        span: 5.0,
    };
    for seed in 0..30 {
        let mut settings = settings();
        settings.retry_budget = Some(budget);
        settings.max_attempts = 6;
        let entries = (1..9).map(entry).collect();
        let mut harness = BalancerHarness::new(settings, entries, seed);
        let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut random_fraction = move || {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            (random >> 11) as f64 / (1_u64 << 53) as f64
        };
        let (mut arrivals, mut retries): (Vec<Seconds>, Vec<Seconds>) = (vec![], vec![]);
        let mut attempts: BTreeMap<RequestId, usize> = BTreeMap::new();
        let mut in_flight: Vec<(RequestId, ServerId)> = vec![];
        for id in 0..400 {
            // Bursts and pauses, so that spans with many requests alternate with spans without any.
            harness.now += if random_fraction() < 0.03 {
                6.0 * random_fraction()
            } else {
                0.02 * random_fraction()
            };
            let mut actions = harness.handle_and_answer_probes(Event::Timer(1));
            if random_fraction() < 0.8 {
                arrivals.push(harness.now);
                actions.extend(harness.handle_and_answer_probes(Event::Request(request(id))));
            }
            loop {
                for action in &actions {
                    if let Action::Send(id, server, ..) = action {
                        let count = attempts.entry(*id).or_default();
                        *count += 1;
                        in_flight.push((*id, *server));
                        if *count > 1 {
                            retries.push(harness.now);
                            let is_within_span = |at: &&Seconds| **at > harness.now - budget.span;
                            let recent_retries =
                                retries.iter().filter(is_within_span).count() as f64;
                            let recent_arrivals =
                                arrivals.iter().filter(is_within_span).count() as f64;
                            let max_retries = budget.free + budget.ratio * recent_arrivals;
                            assert!(
                                recent_retries <= max_retries + 1e-9,
                                "seed {seed}: {recent_retries} of {max_retries}"
                            );
                        }
                    }
                }
                // Most attempts fail, in different ways.
                let Some((id, server)) = in_flight.pop() else {
                    break;
                };
                let outcome = match random_fraction() {
                    fraction if fraction < 0.2 => Outcome::Error,
                    fraction if fraction < 0.4 => Outcome::Full,
                    fraction if fraction < 0.6 => Outcome::NotSent,
                    fraction if fraction < 0.9 => Outcome::Reset,
                    _ => {
                        actions = harness.handle_and_answer_probes(Event::Begun(id, server));
                        continue;
                    }
                };
                actions = harness.handle_and_answer_probes(Event::Outcome(AttemptEnd {
                    id,
                    server,
                    outcome,
                    is_final: false,
                    report: Report::default(),
                }));
            }
        }
        assert!(retries.len() > 5, "seed {seed}: {}", retries.len());
    }
}

fn allowance(units: u64, lease_end: Seconds, units_after_lease: u64) -> Allowance {
    Allowance {
        units,
        lease_end,
        units_after_lease,
        span: 5.0,
        fleet_units: 10,
        max_wait: 0.0,
    }
}

/// Quotas that balancers share: an allowance is used to the last unit, is smaller after its lease has ended, and
/// requests beyond it are refused with a retry time.
#[test]
fn class_and_tenant_quotas_are_enforced_and_their_leases_expire() {
    let mut settings = settings();
    settings
        .classes
        .push(class(Idempotency::Unsafe, DedupScope::All));
    settings.tenants = vec![Tenant { quota: None }];
    let mut harness = BalancerHarness::new(settings, (1..9).map(entry).collect(), 1);
    harness.handle_and_answer_probes(Event::Allowance(
        QuotaKind::Class(0),
        allowance(5, harness.now + 10.0, 2),
    ));
    let placed = (0..9)
        .filter(|id| harness.place_request(*id).is_some())
        .count();
    assert_eq!(placed, 5);
    let actions = harness.handle_and_answer_probes(Event::Request(request(20)));
    assert!(
        matches!(actions[..], [Action::Refuse(20, Some(wait))] if wait > 0.0),
        "{actions:?}"
    );
    // Another class has no allowance and so no limit.
    let request_of_other_class = |id| Request {
        class: 1,
        ..request(id)
    };
    assert!(
        sent_to(
            &harness.handle_and_answer_probes(Event::Request(request_of_other_class(30))),
            30
        )
        .is_some()
    );
    let usage = harness.balancer.quota_usage(harness.now);
    assert_eq!(
        usage,
        [QuotaUsage {
            quota: QuotaKind::Class(0),
            in_use: 5,
            denied: 5
        }]
    );
    // One client leaves, so there is room for one more. After the end of the lease only the smaller allowance remains.
    harness.handle_and_answer_probes(Event::Gone(0));
    assert!(harness.place_request(40).is_some() && harness.place_request(41).is_none());
    harness.now += 10.0;
    for id in [1, 2, 3] {
        harness.handle_and_answer_probes(Event::Gone(id));
    }
    assert!(harness.place_request(42).is_none());
    harness.handle_and_answer_probes(Event::Gone(4));
    assert!(harness.place_request(43).is_some() && harness.place_request(44).is_none());
    // A tenant's quota counts requests from their arrival, and each only once.
    harness.handle_and_answer_probes(Event::Allowance(
        QuotaKind::Tenant(0),
        allowance(2, harness.now + 10.0, 0),
    ));
    let tenant_request = |id| Request {
        class: 1,
        tenant: Some(0),
        ..request(id)
    };
    let is_sent = |harness: &mut BalancerHarness, id| {
        sent_to(
            &harness.handle_and_answer_probes(Event::Request(tenant_request(id))),
            id,
        )
        .is_some()
    };
    assert_eq!(
        [50, 51, 52].map(|id| is_sent(&mut harness, id)),
        [true, true, false]
    );
}

#[test]
fn a_retry_quota_holds_in_any_span() {
    let mut settings = settings();
    settings.max_attempts = 6;
    let mut harness = BalancerHarness::new(settings, (1..9).map(entry).collect(), 3);
    harness.handle_and_answer_probes(Event::Allowance(QuotaKind::Further, allowance(4, 1e9, 0)));
    let mut retries: Vec<Seconds> = Vec::new();
    for id in 0..200 {
        harness.now += 0.1;
        let mut actions = harness.handle_and_answer_probes(Event::Request(request(id)));
        let mut attempts = 0;
        while let Some(server) = sent_to(&actions, id) {
            attempts += 1;
            if attempts > 1 {
                retries.push(harness.now);
                let recent_retries = retries.iter().filter(|at| **at > harness.now - 5.0).count();
                assert!(recent_retries <= 4, "{recent_retries} at {}", harness.now);
            }
            actions = harness.end_attempt(id, server, Outcome::NotSent);
        }
    }
    assert!(retries.len() > 10, "{}", retries.len());
}

/// The largest number of `times` within any span of 5 s.
fn max_in_any_span(times: &[Seconds]) -> usize {
    let times_within = |from: Seconds| {
        times
            .iter()
            .filter(move |at| (from..from + 5.0).contains(*at))
    };
    times
        .iter()
        .map(|from| times_within(*from).count())
        .max()
        .unwrap_or(0)
}

/// Sends many requests to a cold server and warm ones. Returns the times of the sends to the cold one.
fn cold_send_times(cold_allowance: Option<Allowance>) -> Vec<Seconds> {
    let mut settings = settings();
    settings.fleet_size = 10;
    settings.slow_start_window = 60.0;
    let cold_entry = Entry {
        started_at: Some(100.0),
        ..entry(9)
    };
    let mut harness =
        BalancerHarness::new(settings, (1..4).map(entry).chain([cold_entry]).collect(), 5);
    if let Some(allowance) = cold_allowance {
        harness.handle_and_answer_probes(Event::Allowance(QuotaKind::Cold, allowance));
    }
    let mut send_times = Vec::new();
    for id in 0..600 {
        harness.now += 0.1;
        for server in 1..4 {
            harness.report_load(server, 0.8);
        }
        harness.report_load(9, 0.0);
        if let Some(server) = harness.place_request(id) {
            send_times.extend((server == 9).then_some(harness.now));
            harness.handle_and_answer_probes(Event::Gone(id));
        }
    }
    send_times
}

/// Of the connections that all balancers may place on a cold server during its warm-up, this one uses its part of the
/// whole quota, and never more than its allowance within any span.
#[test]
fn a_cold_server_quota_is_used_up_and_never_exceeded() {
    let unlimited = cold_send_times(None);
    let tenth = cold_send_times(Some(allowance(1, 1e9, 0)));
    let half = cold_send_times(Some(allowance(5, 1e9, 0)));
    let none = cold_send_times(Some(allowance(0, 1e9, 0)));
    assert!(unlimited.len() > 2, "{unlimited:?}");
    assert_eq!(max_in_any_span(&tenth), 1);
    assert!(half.len() >= 2 * unlimited.len(), "{unlimited:?} {half:?}");
    assert!(
        max_in_any_span(&half) > 1 && max_in_any_span(&half) <= 5,
        "{half:?}"
    );
    assert_eq!(none, Vec::<Seconds>::new());
}

#[test]
fn a_probe_quota_is_enforced_and_requests_continue_without_probes() {
    let probe_times_with = |limit: Option<u64>| {
        let mut harness = BalancerHarness::new(settings(), (1..9).map(entry).collect(), 5);
        if let Some(units) = limit {
            harness.handle_and_answer_probes(Event::Allowance(
                QuotaKind::Probes,
                allowance(units, 1e9, 0),
            ));
        }
        let mut probe_times = Vec::new();
        // The first periodic probes were answered when the list arrived.
        let mut timers: Vec<(Seconds, u64)> = (1..9)
            .map(|server| (harness.now, (1 << 32) + server))
            .collect();
        for id in 0..300 {
            harness.now += 0.1;
            let due: Vec<u64> = timers
                .extract_if(.., |(at, _)| *at <= harness.now)
                .map(|t| t.1)
                .collect();
            let mut actions = harness.handle_event(Event::Request(request(id)));
            due.iter()
                .for_each(|token| actions.extend(harness.handle_event(Event::Timer(*token))));
            for action in actions {
                match action {
                    Action::Probe(server) => {
                        probe_times.push(harness.now);
                        let actions_after = harness.handle_event(Event::Probed(
                            server,
                            Outcome::Ok,
                            load_report(0.1),
                        ));
                        let timer_of = |action: &Action| match action {
                            Action::Timer(after, token) => Some((harness.now + after, *token)),
                            _ => None,
                        };
                        timers.extend(actions_after.iter().filter_map(timer_of));
                    }
                    Action::Timer(after, token) => timers.push((harness.now + after, token)),
                    Action::Refuse(..) | Action::Fail(_) => {
                        panic!("request not placed at {}", harness.now)
                    }
                    _ => {}
                }
            }
        }
        (probe_times, harness.balancer.quota_usage(harness.now))
    };
    let (unlimited, _) = probe_times_with(None);
    let (limited, usage) = probe_times_with(Some(6));
    assert!(
        max_in_any_span(&unlimited) > 20,
        "{}",
        max_in_any_span(&unlimited)
    );
    assert_eq!(max_in_any_span(&limited), 6);
    assert!(usage[0].denied > 0 && usage[0].in_use <= 6, "{usage:?}");
}

#[test]
fn a_move_quota_holds_in_any_span() {
    let move_times_with = |limit: Option<u64>| {
        let mut harness = BalancerHarness::new(settings(), (1..3).map(entry).collect(), 5);
        if let Some(units) = limit {
            harness.handle_and_answer_probes(Event::Allowance(
                QuotaKind::Moves,
                allowance(units, 1e9, 0),
            ));
        }
        for id in 0..40 {
            let server = harness.place_request(id).expect("a server has room");
            harness.handle_and_answer_probes(Event::Begun(id, server));
        }
        let mut times = Vec::new();
        for _ in 0..20 {
            harness.now += 0.5;
            harness.report_load(2, 0.1);
            let actions = harness.answer_periodic_probe(1, load_report(1.5));
            times.extend(moved_requests(&actions).iter().map(|_| harness.now));
        }
        times
    };
    let unlimited = move_times_with(None);
    let limited = move_times_with(Some(3));
    assert!(max_in_any_span(&unlimited) > 6, "{unlimited:?}");
    assert!(
        limited.len() > 3 && max_in_any_span(&limited) == 3,
        "{limited:?}"
    );
    assert!(move_times_with(Some(0)).is_empty());
}

/// A request without a unit of its quota waits for an exchange among balancers, for at most the allowance's
/// `max_wait`, and then gets its answer.
#[test]
fn a_request_waits_for_a_growing_quota_up_to_the_allowed_time() {
    let mut harness = BalancerHarness::new(settings(), (1..9).map(entry).collect(), 1);
    let allowance_with_wait = |units| Allowance {
        max_wait: 0.3,
        ..allowance(units, 1e9, 0)
    };
    harness.handle_and_answer_probes(Event::Allowance(
        QuotaKind::Class(0),
        allowance_with_wait(2),
    ));
    assert!(harness.place_request(1).is_some() && harness.place_request(2).is_some());
    // The third and the fourth request wait; the allowance grows by one unit.
    for id in [3, 4] {
        let actions = harness.handle_and_answer_probes(Event::Request(request(id)));
        assert!(refused_requests(&actions).is_empty() && sent_to(&actions, id).is_none());
    }
    assert_eq!(
        harness.balancer.quota_usage(harness.now)[0].denied,
        2,
        "each request is counted as denied once"
    );
    harness.now += 0.1;
    let actions = harness.handle_and_answer_probes(Event::Allowance(
        QuotaKind::Class(0),
        allowance_with_wait(3),
    ));
    assert!(sent_to(&actions, 3).is_some() && sent_to(&actions, 4).is_none());
    // The fourth gets its answer after the wait, however long its client would wait.
    harness.now += 0.15;
    assert!(refused_requests(&harness.handle_and_answer_probes(Event::Timer(1))).is_empty());
    harness.now += 0.1;
    assert_eq!(
        refused_requests(&harness.handle_and_answer_probes(Event::Timer(1))),
        [4]
    );
    assert_eq!(harness.balancer.quota_usage(harness.now)[0].denied, 2);
    // Without a possible exchange, or if the client's timeout is too short, the answer comes at once.
    let request_with_short_timeout = Request {
        client_timeout: 0.4,
        ..request(5)
    };
    assert_eq!(
        refused_requests(
            &harness.handle_and_answer_probes(Event::Request(request_with_short_timeout))
        ),
        [5]
    );
    harness.handle_and_answer_probes(Event::Allowance(QuotaKind::Class(0), allowance(3, 1e9, 0)));
    assert_eq!(
        refused_requests(&harness.handle_and_answer_probes(Event::Request(request(6)))),
        [6]
    );
}
