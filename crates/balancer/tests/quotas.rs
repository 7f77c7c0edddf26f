//! Units of what several balancers share, from the decision to use one until a span after the line was written.

mod common;

use common::{BalancerHarness, entry, sent_to, settings};
use violetwind_balancer::api::*;

const COLD: ServerId = 9;
const SPAN: Seconds = 20.0;

fn part(units: u64, until: Seconds, after: u64) -> Allowance {
    Allowance {
        units,
        until,
        after,
        span: SPAN,
        whole: units,
        wait: 0.0,
    }
}

/// A cold server alone, idle, so that every request goes there as far as its part allows.
fn cold_server(part: Allowance) -> BalancerHarness {
    let set = Settings {
        cold_for: 60.0,
        fall_multiple: 1000.0,
        ..settings()
    };
    let cold = Entry {
        born: Some(99.0),
        ..entry(COLD)
    };
    let mut bench = BalancerHarness::new(set, vec![cold], 5);
    bench.handle_and_answer_probes(Event::Allowance(QuotaKind::Cold, part));
    bench.report_load(COLD, 0.0);
    bench.now += 1.0;
    bench
}

/// Whether a request that comes now is sent, and how long its line may be written.
fn send(bench: &mut BalancerHarness, id: RequestId) -> Option<Option<Seconds>> {
    // A cold server has a short pause between two turns.
    bench.now += 0.6;
    bench.report_load(COLD, 0.0);
    let actions = bench.handle_and_answer_probes(Event::Request(common::request(id)));
    let sent = actions.iter().find_map(|action| match action {
        Action::Send(sent, COLD, _, begin_within) if *sent == id => Some(*begin_within),
        _ => None,
    });
    if sent.is_none() {
        bench.handle_and_answer_probes(Event::Gone(id));
    }
    sent
}

fn ended(id: RequestId, outcome: Outcome) -> Event {
    Event::Outcome(Ended {
        id,
        server: COLD,
        outcome,
        last: false,
        report: Report::default(),
    })
}

/// Two lines that were decided together are written 5 s apart: until 20 s after the second one there is room for one more.
#[test]
fn a_unit_counts_a_whole_span_from_the_writing_of_its_line() {
    let mut bench = cold_server(part(2, 1e9, 0));
    let begun = bench.now;
    assert!(send(&mut bench, 1).is_some() && send(&mut bench, 2).is_some());
    assert!(bench.balancer.awaits_write(1));
    bench.handle_and_answer_probes(Event::Written(1, COLD));
    bench.handle_and_answer_probes(Event::Begun(1, COLD));
    bench.now = begun + 5.0;
    assert_eq!(send(&mut bench, 3), None, "two are out");
    bench.handle_and_answer_probes(Event::Written(2, COLD));
    bench.handle_and_answer_probes(Event::Begun(2, COLD));
    assert!(!bench.balancer.awaits_write(2));
    bench.now = begun + 0.6 + SPAN + 0.1;
    assert!(
        send(&mut bench, 4).is_some(),
        "the first one's span is over"
    );
    bench.handle_and_answer_probes(Event::Written(4, COLD));
    assert_eq!(send(&mut bench, 5), None, "the second one's is not");
    bench.now = begun + 5.0 + 0.6 + SPAN + 0.1;
    assert!(send(&mut bench, 6).is_some());
}

#[test]
fn a_unit_whose_line_was_never_written_is_free_at_once() {
    let mut bench = cold_server(part(1, 1e9, 0));
    assert!(send(&mut bench, 1).is_some());
    assert_eq!(send(&mut bench, 2), None);
    bench.handle_and_answer_probes(ended(1, Outcome::LocalFailure));
    bench.handle_and_answer_probes(Event::Gone(1));
    assert!(send(&mut bench, 3).is_some());
}

/// A connect that fails may have got a part of the line out, and a client that leaves says nothing of it.
#[test]
fn a_unit_whose_line_may_have_been_written_counts() {
    let reset = ended(1, Outcome::Reset);
    let failed = ended(1, Outcome::ConnectFailed);
    // One that was recalled counts too, on the safe side.
    let recalled = ended(1, Outcome::NotSent);
    for end in [reset, failed, recalled, Event::Gone(1)] {
        let mut bench = cold_server(part(1, 1e9, 0));
        assert!(send(&mut bench, 1).is_some());
        bench.handle_and_answer_probes(end.clone());
        bench.now += SPAN - 1.0;
        assert_eq!(send(&mut bench, 2), None, "{end:?}");
    }
}

#[test]
fn a_leased_unit_may_be_written_only_while_the_lease_lasts() {
    let mut bench = cold_server(part(3, 110.0, 1));
    assert_eq!(
        send(&mut bench, 1),
        Some(None),
        "the first is this one's own for good"
    );
    let within = send(&mut bench, 2).flatten().expect("a leased one");
    let left = 110.0 - bench.now;
    assert!((within - left).abs() < 1e-9, "{within} {left}");
}

/// An attempt that is no further one, at a server that is not cold, costs the host no word.
#[test]
fn nothing_is_reported_where_nothing_counts_lines() {
    let mut bench = BalancerHarness::new(settings(), vec![entry(1)], 5);
    bench.handle_and_answer_probes(Event::Allowance(QuotaKind::Cold, part(1, 1e9, 0)));
    bench.report_load(1, 0.0);
    let actions = bench.handle_and_answer_probes(Event::Request(common::request(1)));
    assert_eq!(sent_to(&actions, 1), Some(1));
    assert!(!bench.balancer.awaits_write(1));
}

/// The settings' own budget of further attempts counts from the writing too.
#[test]
fn a_further_attempt_counts_from_the_writing_of_its_line() {
    let set = Settings {
        budget: Some(Budget {
            free: 1.0,
            ratio: 0.0,
            span: SPAN,
        }),
        max_attempts: 9,
        ..settings()
    };
    let mut bench = BalancerHarness::new(set, (1..6).map(entry).collect(), 5);
    (1..6).for_each(|server| drop(bench.report_load(server, 0.0)));
    let begun = bench.now;
    let fail = |bench: &mut BalancerHarness, id, server| {
        bench.handle_and_answer_probes(Event::Outcome(Ended {
            id,
            server,
            outcome: Outcome::Full,
            last: false,
            report: Report::default(),
        }))
    };
    let actions = bench.handle_and_answer_probes(Event::Request(common::request(1)));
    let first = sent_to(&actions, 1).expect("sent");
    assert!(!bench.balancer.awaits_write(1));
    let second = sent_to(&fail(&mut bench, 1, first), 1).expect("sent again");
    assert!(bench.balancer.awaits_write(1));
    bench.now += 1.0;
    bench.handle_and_answer_probes(Event::Written(1, second));
    bench.handle_and_answer_probes(Event::Begun(1, second));
    let again = |bench: &mut BalancerHarness, id| {
        (1..6).for_each(|server| drop(bench.report_load(server, 0.0)));
        let actions = bench.handle_and_answer_probes(Event::Request(common::request(id)));
        let server = sent_to(&actions, id).expect("sent");
        sent_to(&fail(bench, id, server), id)
    };
    bench.now = begun + SPAN + 0.5;
    assert_eq!(again(&mut bench, 2), None, "19.5 s after the writing");
    bench.now = begun + SPAN + 1.5;
    assert!(again(&mut bench, 3).is_some());
}
