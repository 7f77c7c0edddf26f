//! Units of quotas that several balancers share: a unit is in use from the decision until a span after its line was
//! written.

mod common;

use common::{BalancerHarness, entry, sent_to, settings};
use violetwind_balancer::api::*;

const COLD: ServerId = 9;
const SPAN: Seconds = 20.0;

fn allowance(units: u64, lease_end: Seconds, units_after_lease: u64) -> Allowance {
    Allowance {
        units,
        lease_end,
        units_after_lease,
        span: SPAN,
        fleet_units: units,
        max_wait: 0.0,
    }
}

/// A harness with one idle cold server, so that every request is sent there as far as the allowance permits.
fn harness_with_cold_server(allowance: Allowance) -> BalancerHarness {
    let settings = Settings {
        slow_start_window: 60.0,
        overload_multiple: 1000.0,
        ..settings()
    };
    let cold_entry = Entry {
        started_at: Some(99.0),
        ..entry(COLD)
    };
    let mut harness = BalancerHarness::new(settings, vec![cold_entry], 5);
    harness.handle_and_answer_probes(Event::Allowance(QuotaKind::Cold, allowance));
    harness.report_load(COLD, 0.0);
    harness.now += 1.0;
    harness
}

/// Sends a request now. Returns `None` if it is not sent, otherwise the time within which its line may be written, if
/// that is limited.
fn send_request(harness: &mut BalancerHarness, id: RequestId) -> Option<Option<Seconds>> {
    // There is a short minimum gap between two turns at a cold server.
    harness.now += 0.6;
    harness.report_load(COLD, 0.0);
    let actions = harness.handle_and_answer_probes(Event::Request(common::request(id)));
    let sent = actions.iter().find_map(|action| match action {
        Action::Send(sent, COLD, _, begin_within) if *sent == id => Some(*begin_within),
        _ => None,
    });
    if sent.is_none() {
        harness.handle_and_answer_probes(Event::Gone(id));
    }
    sent
}

fn attempt_ended(id: RequestId, outcome: Outcome) -> Event {
    Event::Outcome(AttemptEnd {
        id,
        server: COLD,
        outcome,
        is_final: false,
        report: Report::default(),
    })
}

/// Two attempts that were decided together write their lines 5 s apart. Between 20 s after the first line and 20 s
/// after the second one there is room for one more.
#[test]
fn a_unit_counts_for_a_whole_span_after_its_line_is_written() {
    let mut harness = harness_with_cold_server(allowance(2, 1e9, 0));
    let start = harness.now;
    assert!(send_request(&mut harness, 1).is_some() && send_request(&mut harness, 2).is_some());
    assert!(harness.balancer.awaits_write(1));
    harness.handle_and_answer_probes(Event::Written(1, COLD));
    harness.handle_and_answer_probes(Event::Begun(1, COLD));
    harness.now = start + 5.0;
    assert_eq!(send_request(&mut harness, 3), None, "two units are in use");
    harness.handle_and_answer_probes(Event::Written(2, COLD));
    harness.handle_and_answer_probes(Event::Begun(2, COLD));
    assert!(!harness.balancer.awaits_write(2));
    harness.now = start + 0.6 + SPAN + 0.1;
    assert!(
        send_request(&mut harness, 4).is_some(),
        "the span of the first unit is over"
    );
    harness.handle_and_answer_probes(Event::Written(4, COLD));
    assert_eq!(
        send_request(&mut harness, 5),
        None,
        "the span of the second unit is not over"
    );
    harness.now = start + 5.0 + 0.6 + SPAN + 0.1;
    assert!(send_request(&mut harness, 6).is_some());
}

#[test]
fn a_unit_whose_line_was_never_written_is_free_at_once() {
    let mut harness = harness_with_cold_server(allowance(1, 1e9, 0));
    assert!(send_request(&mut harness, 1).is_some());
    assert_eq!(send_request(&mut harness, 2), None);
    harness.handle_and_answer_probes(attempt_ended(1, Outcome::LocalFailure));
    harness.handle_and_answer_probes(Event::Gone(1));
    assert!(send_request(&mut harness, 3).is_some());
}

/// A failed connect may have sent a part of the line, and the departure of a client does not show whether
/// the line was written.
#[test]
fn a_unit_whose_line_may_have_been_written_counts() {
    let reset = attempt_ended(1, Outcome::Reset);
    let failed = attempt_ended(1, Outcome::ConnectFailed);
    // A recalled attempt counts too, to be on the safe side.
    let recalled = attempt_ended(1, Outcome::NotSent);
    for end in [reset, failed, recalled, Event::Gone(1)] {
        let mut harness = harness_with_cold_server(allowance(1, 1e9, 0));
        assert!(send_request(&mut harness, 1).is_some());
        harness.handle_and_answer_probes(end.clone());
        harness.now += SPAN - 1.0;
        assert_eq!(send_request(&mut harness, 2), None, "{end:?}");
    }
}

#[test]
fn a_leased_unit_may_be_used_only_during_its_lease() {
    let mut harness = harness_with_cold_server(allowance(3, 110.0, 1));
    assert_eq!(
        send_request(&mut harness, 1),
        Some(None),
        "the first unit is not leased"
    );
    let begin_within = send_request(&mut harness, 2)
        .flatten()
        .expect("a leased unit");
    let lease_left = 110.0 - harness.now;
    assert!(
        (begin_within - lease_left).abs() < 1e-9,
        "{begin_within} {lease_left}"
    );
}

/// The host does not have to report the write of a first attempt at a warm server.
#[test]
fn no_write_is_awaited_where_no_quota_counts_lines() {
    let mut harness = BalancerHarness::new(settings(), vec![entry(1)], 5);
    harness.handle_and_answer_probes(Event::Allowance(QuotaKind::Cold, allowance(1, 1e9, 0)));
    harness.report_load(1, 0.0);
    let actions = harness.handle_and_answer_probes(Event::Request(common::request(1)));
    assert_eq!(sent_to(&actions, 1), Some(1));
    assert!(!harness.balancer.awaits_write(1));
}

/// The retry budget of the settings also counts from the write.
#[test]
fn a_retry_counts_from_the_time_its_line_is_written() {
    let settings = Settings {
        retry_budget: Some(Budget {
            free: 1.0,
            ratio: 0.0,
            span: SPAN,
        }),
        max_attempts: 9,
        ..settings()
    };
    let mut harness = BalancerHarness::new(settings, (1..6).map(entry).collect(), 5);
    (1..6).for_each(|server| drop(harness.report_load(server, 0.0)));
    let start = harness.now;
    let fail_attempt = |harness: &mut BalancerHarness, id, server| {
        harness.handle_and_answer_probes(Event::Outcome(AttemptEnd {
            id,
            server,
            outcome: Outcome::Full,
            is_final: false,
            report: Report::default(),
        }))
    };
    let actions = harness.handle_and_answer_probes(Event::Request(common::request(1)));
    let first = sent_to(&actions, 1).expect("sent");
    assert!(!harness.balancer.awaits_write(1));
    let second = sent_to(&fail_attempt(&mut harness, 1, first), 1).expect("sent again");
    assert!(harness.balancer.awaits_write(1));
    harness.now += 1.0;
    harness.handle_and_answer_probes(Event::Written(1, second));
    harness.handle_and_answer_probes(Event::Begun(1, second));
    let retry_request = |harness: &mut BalancerHarness, id| {
        (1..6).for_each(|server| drop(harness.report_load(server, 0.0)));
        let actions = harness.handle_and_answer_probes(Event::Request(common::request(id)));
        let server = sent_to(&actions, id).expect("sent");
        sent_to(&fail_attempt(harness, id, server), id)
    };
    harness.now = start + SPAN + 0.5;
    assert_eq!(
        retry_request(&mut harness, 2),
        None,
        "19.5 s after the write"
    );
    harness.now = start + SPAN + 1.5;
    assert!(retry_request(&mut harness, 3).is_some());
}
