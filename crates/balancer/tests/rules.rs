//! The four rules, each kept by a balancer on its own.

mod common;

use std::collections::BTreeMap;

use common::*;
use violetwind_balancer::api::*;

#[test]
fn a_request_gets_one_final_answer_at_once_and_nothing_after() {
    let mut bench = BalancerHarness::new(settings(), (1..=5).map(entry).collect(), 7);
    let mut server = bench.place_request(9).expect("sent");
    for attempt in 1..=3 {
        let actions = bench.end_attempt(9, server, Outcome::Error);
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
                    "given up, so answered in the same moment"
                );
            }
        }
    }
    assert!(
        bench
            .report_outcome(9, server, Outcome::Error, true)
            .is_empty()
    );
    assert!(bench.handle_and_answer_probes(Event::Gone(9)).is_empty());
}

#[test]
fn the_timeout_at_the_deadline_is_answered() {
    let mut bench = BalancerHarness::new(settings(), (1..=5).map(entry).collect(), 7);
    let server = bench.place_request(9).expect("sent");
    bench.now += 2.0;
    assert_eq!(
        refused_requests(&bench.end_attempt(9, server, Outcome::TimedOut)),
        [9]
    );
}

#[test]
fn attempts_never_outlast_the_client() {
    let mut bench = BalancerHarness::new(settings(), vec![entry(1)], 7);
    let actions = bench.handle_and_answer_probes(Event::Request(request(9)));
    let Action::Send(_, _, timeout, _) = actions[0] else {
        panic!("not sent: {actions:?}")
    };
    assert!(timeout > 0.0 && timeout <= 2.0);
}

fn with_class(effect: Idempotency, scope: DedupScope) -> Settings {
    Settings {
        classes: vec![class(effect, scope)],
        max_attempts: 9,
        ..settings()
    }
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_not_repeated() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset] {
        let set = with_class(Idempotency::Unsafe, DedupScope::All);
        let mut bench = BalancerHarness::new(set, (1..=3).map(entry).collect(), 1);
        let server = bench.place_request(9).expect("sent");
        assert_eq!(
            bench.end_attempt(9, server, outcome),
            [Action::Fail(9)],
            "{outcome:?}"
        );
    }
}

#[test]
fn an_unsafe_request_that_never_ran_is_tried_again() {
    for outcome in [Outcome::Full, Outcome::ConnectFailed] {
        let set = with_class(Idempotency::Unsafe, DedupScope::All);
        let mut bench = BalancerHarness::new(set, (1..=3).map(entry).collect(), 1);
        let server = bench.place_request(9).expect("sent");
        let actions = bench.end_attempt(9, server, outcome);
        assert!(sent_to(&actions, 9).is_some(), "{outcome:?}: {actions:?}");
    }
}

#[test]
fn a_keyed_request_that_may_have_run_stays_with_those_that_drop_its_repeats() {
    let zones = |id| Entry {
        zone: Some(id as usize % 2),
        cell: u64::from(id % 2),
        ..entry(id)
    };
    for scope in [DedupScope::Zone, DedupScope::Cell] {
        for seed in 0..20 {
            let set = with_class(Idempotency::Keyed, scope);
            let mut bench = BalancerHarness::new(set, (1..=6).map(zones).collect(), seed);
            let first = bench.place_request(9).expect("sent");
            let actions = bench.end_attempt(9, first, Outcome::Error);
            let next = sent_to(&actions, 9).expect("another of its zone and cell is there");
            assert_eq!(next % 2, first % 2);
        }
    }
}

#[test]
fn a_keyed_request_is_not_repeated_once_servers_may_have_forgotten_it() {
    let set = Settings {
        classes: vec![Class {
            window: 0.5,
            ..class(Idempotency::Keyed, DedupScope::Zone)
        }],
        ..settings()
    };
    let mut bench = BalancerHarness::new(set, (1..=3).map(entry).collect(), 1);
    let server = bench.place_request(9).expect("sent");
    bench.now += 0.6;
    assert_eq!(
        bench.end_attempt(9, server, Outcome::Error),
        [Action::Fail(9)]
    );
}

#[test]
fn nothing_new_goes_to_a_server_that_drains_or_is_gone() {
    for status in [Status::Draining, Status::Gone] {
        let mut bench = BalancerHarness::new(settings(), vec![entry(1), entry(2)], 3);
        bench.report_load(1, 0.1);
        bench.report_load(2, 0.5);
        bench.handle_and_answer_probes(Event::Servers(
            ListKind::Update,
            vec![Entry { status, ..entry(1) }],
        ));
        assert_eq!(bench.place_request(9), Some(2), "{status:?}");
    }
}

#[test]
fn a_server_that_a_whole_list_leaves_out_is_gone() {
    let mut bench = BalancerHarness::new(settings(), vec![entry(1), entry(2)], 3);
    bench.report_load(1, 0.1);
    bench.report_load(2, 0.5);
    bench.handle_and_answer_probes(Event::Servers(ListKind::Replace, vec![entry(2)]));
    assert_eq!(bench.place_request(9), Some(2));
    assert!(
        bench
            .handle_and_answer_probes(Event::Timer((1 << 32) + 1))
            .is_empty(),
        "it is no longer probed"
    );
}

/// Sends to server 2, born as the list tells, among 60 requests in 2 s.
fn sends_to_cold(kind: usize, born: Seconds) -> usize {
    let mut bench = BalancerHarness::new(settings(), vec![entry(1)], 5);
    bench.open_connections(1, 1000, &[0.05; 40]);
    bench.report_load(1, 0.5);
    let cold = Entry {
        kind: Some(kind),
        born: Some(born),
        ..entry(2)
    };
    bench.handle_and_answer_probes(Event::Servers(ListKind::Update, vec![cold]));
    let mut sends = 0;
    for id in 0..60 {
        bench.now += 2.0 / 60.0;
        bench.report_load(1, 0.5);
        bench.report_load(2, 0.0);
        let light = Request {
            hint: Some(0.001),
            ..request(id)
        };
        let actions = bench.handle_and_answer_probes(Event::Request(light));
        sends += usize::from(sent_to(&actions, id) == Some(2));
    }
    sends
}

#[test]
fn a_cold_server_gets_a_small_number_of_connections() {
    let cold = sends_to_cold(0, 99.0);
    assert!((1..=12).contains(&cold), "{cold} of 60");
    assert!(
        sends_to_cold(0, 50.0) > 40,
        "a warm one gets what its load calls for"
    );
}

/// Found on a rolling deploy: the only server left of its kind was cold and idle, so a warm one of
/// its kind seemed boundless and the cap vanished.
#[test]
fn a_cold_server_alone_of_its_kind_is_capped_too() {
    let cold = sends_to_cold(1, 99.0);
    assert!((1..=12).contains(&cold), "{cold} of 60");
}

#[test]
fn a_restarted_process_is_cold_again() {
    let mut bench = BalancerHarness::new(settings(), vec![entry(1), entry(2)], 5);
    bench.open_connections(1, 1000, &[0.05; 20]);
    bench.open_connections(2, 2000, &[0.05; 20]);
    bench.report_load(1, 0.5);
    bench.report_load(2, 0.3);
    let reborn = Entry {
        born: Some(bench.now - 0.5),
        ..entry(2)
    };
    bench.handle_and_answer_probes(Event::Servers(ListKind::Update, vec![reborn]));
    let mut sends = 0;
    for id in 0..30 {
        bench.now += 0.02;
        sends += usize::from(bench.place_request(id) == Some(2));
    }
    assert!(sends <= 6, "{sends} of 30 in 0.6 s");
}

/// A budget of attempts, by construction: at each attempt beyond a request's first, those made in the span
/// before it, itself included, are within the free ones and the part of the requests that came in it.
#[test]
fn further_attempts_stay_within_their_budget() {
    let budget = Budget {
        free: 1.0,
        ratio: 0.15,
        span: 5.0,
    };
    for seed in 0..30 {
        let mut set = settings();
        set.budget = Some(budget);
        set.max_attempts = 6;
        let entries = (1..9).map(entry).collect();
        let mut bench = BalancerHarness::new(set, entries, seed);
        let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut next = move || {
            random ^= random << 13;
            random ^= random >> 7;
            random ^= random << 17;
            (random >> 11) as f64 / (1_u64 << 53) as f64
        };
        let (mut came, mut further): (Vec<Seconds>, Vec<Seconds>) = (vec![], vec![]);
        let mut tried: BTreeMap<RequestId, usize> = BTreeMap::new();
        let mut out: Vec<(RequestId, ServerId)> = vec![];
        for id in 0..400 {
            // Bursts and pauses, so that spans with many requests and with none follow each other.
            bench.now += if next() < 0.03 {
                6.0 * next()
            } else {
                0.02 * next()
            };
            let mut actions = bench.handle_and_answer_probes(Event::Timer(1));
            if next() < 0.8 {
                came.push(bench.now);
                actions.extend(bench.handle_and_answer_probes(Event::Request(request(id))));
            }
            loop {
                for action in &actions {
                    if let Action::Send(id, server, ..) = action {
                        let count = tried.entry(*id).or_default();
                        *count += 1;
                        out.push((*id, *server));
                        if *count > 1 {
                            further.push(bench.now);
                            let within = |at: &&Seconds| **at > bench.now - budget.span;
                            let made = further.iter().filter(within).count() as f64;
                            let taken = came.iter().filter(within).count() as f64;
                            let most = budget.free + budget.ratio * taken;
                            assert!(made <= most + 1e-9, "seed {seed}: {made} of {most}");
                        }
                    }
                }
                // Most attempts fail, of any kind.
                let Some((id, server)) = out.pop() else { break };
                let outcome = match next() {
                    part if part < 0.2 => Outcome::Error,
                    part if part < 0.4 => Outcome::Full,
                    part if part < 0.6 => Outcome::NotSent,
                    part if part < 0.9 => Outcome::Reset,
                    _ => {
                        actions = bench.handle_and_answer_probes(Event::Begun(id, server));
                        continue;
                    }
                };
                actions = bench.handle_and_answer_probes(Event::Outcome(Ended {
                    id,
                    server,
                    outcome,
                    last: false,
                    report: Report::default(),
                }));
            }
        }
        assert!(further.len() > 5, "seed {seed}: {}", further.len());
    }
}

fn part(units: u64, until: Seconds, after: u64) -> Allowance {
    Allowance {
        units,
        until,
        after,
        span: 5.0,
        whole: 10,
        wait: 0.0,
    }
}

/// Parts of what all balancers share: kept to the last unit, less after their time, refused with a time to come back.
#[test]
fn parts_of_a_class_and_of_a_tenant_are_kept_and_run_out() {
    let mut set = settings();
    set.classes
        .push(class(Idempotency::Unsafe, DedupScope::All));
    set.tenants = vec![Tenant { quota: None }];
    let mut bench = BalancerHarness::new(set, (1..9).map(entry).collect(), 1);
    bench.handle_and_answer_probes(Event::Allowance(
        QuotaKind::Class(0),
        part(5, bench.now + 10.0, 2),
    ));
    let placed = (0..9)
        .filter(|id| bench.place_request(*id).is_some())
        .count();
    assert_eq!(placed, 5);
    let actions = bench.handle_and_answer_probes(Event::Request(request(20)));
    assert!(
        matches!(actions[..], [Action::Refuse(20, Some(wait))] if wait > 0.0),
        "{actions:?}"
    );
    // Another class has no part and no bound.
    let other = |id| Request {
        class: 1,
        ..request(id)
    };
    assert!(
        sent_to(
            &bench.handle_and_answer_probes(Event::Request(other(30))),
            30
        )
        .is_some()
    );
    let uses = bench.balancer.quota_usage(bench.now);
    assert_eq!(
        uses,
        [QuotaUsage {
            quota: QuotaKind::Class(0),
            in_use: 5,
            denied: 5
        }]
    );
    // One leaves: there is room for one, and after its time only as far as the rest of the part.
    bench.handle_and_answer_probes(Event::Gone(0));
    assert!(bench.place_request(40).is_some() && bench.place_request(41).is_none());
    bench.now += 10.0;
    for id in [1, 2, 3] {
        bench.handle_and_answer_probes(Event::Gone(id));
    }
    assert!(bench.place_request(42).is_none());
    bench.handle_and_answer_probes(Event::Gone(4));
    assert!(bench.place_request(43).is_some() && bench.place_request(44).is_none());
    // A tenant's part counts requests from the moment they come, and each only once.
    bench.handle_and_answer_probes(Event::Allowance(
        QuotaKind::Tenant(0),
        part(2, bench.now + 10.0, 0),
    ));
    let of = |id| Request {
        class: 1,
        tenant: Some(0),
        ..request(id)
    };
    let sent = |bench: &mut BalancerHarness, id| {
        sent_to(&bench.handle_and_answer_probes(Event::Request(of(id))), id).is_some()
    };
    assert_eq!(
        [50, 51, 52].map(|id| sent(&mut bench, id)),
        [true, true, false]
    );
}

#[test]
fn a_part_of_further_attempts_holds_in_any_span_of_its_length() {
    let mut set = settings();
    set.max_attempts = 6;
    let mut bench = BalancerHarness::new(set, (1..9).map(entry).collect(), 3);
    bench.handle_and_answer_probes(Event::Allowance(QuotaKind::Further, part(4, 1e9, 0)));
    let mut further: Vec<Seconds> = Vec::new();
    for id in 0..200 {
        bench.now += 0.1;
        let mut actions = bench.handle_and_answer_probes(Event::Request(request(id)));
        let mut tries = 0;
        while let Some(server) = sent_to(&actions, id) {
            tries += 1;
            if tries > 1 {
                further.push(bench.now);
                let within = further.iter().filter(|at| **at > bench.now - 5.0).count();
                assert!(within <= 4, "{within} at {}", bench.now);
            }
            actions = bench.end_attempt(id, server, Outcome::NotSent);
        }
    }
    assert!(further.len() > 10, "{}", further.len());
}

/// The most of `times` within any span of 5 s.
fn fullest(times: &[Seconds]) -> usize {
    let within = |from: Seconds| {
        times
            .iter()
            .filter(move |at| (from..from + 5.0).contains(*at))
    };
    times
        .iter()
        .map(|from| within(*from).count())
        .max()
        .unwrap_or(0)
}

/// A cold server and warm ones, many requests: when this balancer sent something to the cold one.
fn sent_cold(cold_part: Option<Allowance>) -> Vec<Seconds> {
    let mut set = settings();
    set.fleet_size = 10;
    set.cold_for = 60.0;
    let cold = Entry {
        born: Some(100.0),
        ..entry(9)
    };
    let mut bench = BalancerHarness::new(set, (1..4).map(entry).chain([cold]).collect(), 5);
    if let Some(part) = cold_part {
        bench.handle_and_answer_probes(Event::Allowance(QuotaKind::Cold, part));
    }
    let mut sent = Vec::new();
    for id in 0..600 {
        bench.now += 0.1;
        for server in 1..4 {
            bench.report_load(server, 0.8);
        }
        bench.report_load(9, 0.0);
        if let Some(server) = bench.place_request(id) {
            sent.extend((server == 9).then_some(bench.now));
            bench.handle_and_answer_probes(Event::Gone(id));
        }
    }
    sent
}

/// Of what all may give a cold server as it warms up, as much as the part of the whole says, and never more than the part
/// within any span.
#[test]
fn a_part_of_turns_at_cold_servers_is_used_up_and_never_passed() {
    let alone = sent_cold(None);
    let tenth = sent_cold(Some(part(1, 1e9, 0)));
    let half = sent_cold(Some(part(5, 1e9, 0)));
    let none = sent_cold(Some(part(0, 1e9, 0)));
    assert!(alone.len() > 2, "{alone:?}");
    assert_eq!(fullest(&tenth), 1);
    assert!(half.len() >= 2 * alone.len(), "{alone:?} {half:?}");
    assert!(fullest(&half) > 1 && fullest(&half) <= 5, "{half:?}");
    assert_eq!(none, Vec::<Seconds>::new());
}

#[test]
fn a_part_of_probes_is_kept_and_requests_go_on_without() {
    let probes = |limit: Option<u64>| {
        let mut bench = BalancerHarness::new(settings(), (1..9).map(entry).collect(), 5);
        if let Some(units) = limit {
            bench
                .handle_and_answer_probes(Event::Allowance(QuotaKind::Probes, part(units, 1e9, 0)));
        }
        let mut probes = Vec::new();
        // The first round was answered with the list.
        let mut timers: Vec<(Seconds, u64)> = (1..9)
            .map(|server| (bench.now, (1 << 32) + server))
            .collect();
        for id in 0..300 {
            bench.now += 0.1;
            let due: Vec<u64> = timers
                .extract_if(.., |(at, _)| *at <= bench.now)
                .map(|t| t.1)
                .collect();
            let mut actions = bench.handle_event(Event::Request(request(id)));
            due.iter()
                .for_each(|token| actions.extend(bench.handle_event(Event::Timer(*token))));
            for action in actions {
                match action {
                    Action::Probe(server) => {
                        probes.push(bench.now);
                        let more = bench.handle_event(Event::Probed(
                            server,
                            Outcome::Ok,
                            load_report(0.1),
                        ));
                        let timer = |action: &Action| match action {
                            Action::Timer(after, token) => Some((bench.now + after, *token)),
                            _ => None,
                        };
                        timers.extend(more.iter().filter_map(timer));
                    }
                    Action::Timer(after, token) => timers.push((bench.now + after, token)),
                    Action::Refuse(..) | Action::Fail(_) => panic!("turned away at {}", bench.now),
                    _ => {}
                }
            }
        }
        (probes, bench.balancer.quota_usage(bench.now))
    };
    let (free, _) = probes(None);
    let (kept, uses) = probes(Some(6));
    assert!(fullest(&free) > 20, "{}", fullest(&free));
    assert_eq!(fullest(&kept), 6);
    assert!(uses[0].denied > 0 && uses[0].in_use <= 6, "{uses:?}");
}

#[test]
fn a_part_of_moves_is_kept_and_drains_are_none_of_them() {
    let moves = |limit: Option<u64>| {
        let mut bench = BalancerHarness::new(settings(), (1..3).map(entry).collect(), 5);
        if let Some(units) = limit {
            bench.handle_and_answer_probes(Event::Allowance(QuotaKind::Moves, part(units, 1e9, 0)));
        }
        for id in 0..40 {
            let server = bench.place_request(id).expect("room");
            bench.handle_and_answer_probes(Event::Begun(id, server));
        }
        let mut times = Vec::new();
        for _ in 0..20 {
            bench.now += 0.5;
            bench.report_load(2, 0.1);
            let actions = bench.answer_periodic_probe(1, load_report(1.5));
            times.extend(moved_requests(&actions).iter().map(|_| bench.now));
        }
        times
    };
    let free = moves(None);
    let kept = moves(Some(3));
    assert!(fullest(&free) > 6, "{free:?}");
    assert!(kept.len() > 3 && fullest(&kept) == 3, "{kept:?}");
    assert!(moves(Some(0)).is_empty());
}

/// What one exchange among balancers may bring is waited for, a named time at most, and then there is an answer.
#[test]
fn a_request_waits_for_a_part_that_may_grow_and_no_longer_than_is_said() {
    let mut bench = BalancerHarness::new(settings(), (1..9).map(entry).collect(), 1);
    let hopeful = |units| Allowance {
        wait: 0.3,
        ..part(units, 1e9, 0)
    };
    bench.handle_and_answer_probes(Event::Allowance(QuotaKind::Class(0), hopeful(2)));
    assert!(bench.place_request(1).is_some() && bench.place_request(2).is_some());
    // The third and the fourth wait; the part grows by one.
    for id in [3, 4] {
        let actions = bench.handle_and_answer_probes(Event::Request(request(id)));
        assert!(refused_requests(&actions).is_empty() && sent_to(&actions, id).is_none());
    }
    assert_eq!(
        bench.balancer.quota_usage(bench.now)[0].denied,
        2,
        "each once"
    );
    bench.now += 0.1;
    let actions = bench.handle_and_answer_probes(Event::Allowance(QuotaKind::Class(0), hopeful(3)));
    assert!(sent_to(&actions, 3).is_some() && sent_to(&actions, 4).is_none());
    // The fourth has its answer once the named time is over, whatever its client would wait for.
    bench.now += 0.15;
    assert!(refused_requests(&bench.handle_and_answer_probes(Event::Timer(1))).is_empty());
    bench.now += 0.1;
    assert_eq!(
        refused_requests(&bench.handle_and_answer_probes(Event::Timer(1))),
        [4]
    );
    assert_eq!(bench.balancer.quota_usage(bench.now)[0].denied, 2);
    // Where no more is to be had, and where the client has no time, the answer comes at once.
    let hasty = Request {
        patience: 0.4,
        ..request(5)
    };
    assert_eq!(
        refused_requests(&bench.handle_and_answer_probes(Event::Request(hasty))),
        [5]
    );
    bench.handle_and_answer_probes(Event::Allowance(QuotaKind::Class(0), part(3, 1e9, 0)));
    assert_eq!(
        refused_requests(&bench.handle_and_answer_probes(Event::Request(request(6)))),
        [6]
    );
}
