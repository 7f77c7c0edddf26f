//! A balancer whose metrics show no room on any server. Metrics of few servers, or old ones, must not make it reject
//! all requests permanently.

mod common;

use common::*;
use violetwind_balancer::api::*;

const FULL_SERVERS: [ServerId; 2] = [1, 2];

/// Sends one request every tenth of a second. Two servers report before each one that they are full. Returns the
/// requests that were sent, with time and server.
fn send_to_full_servers(
    harness: &mut BalancerHarness,
    first: RequestId,
    count: u64,
) -> Vec<(Seconds, RequestId, ServerId)> {
    let mut sent = Vec::new();
    for id in first..first + count {
        harness.now += 0.1;
        for server in FULL_SERVERS {
            harness.report_load(server, 1.2);
        }
        let actions = harness.handle_and_answer_probes(Event::Request(request(id)));
        match sent_to(&actions, id) {
            Some(server) => sent.push((harness.now, id, server)),
            None => assert_eq!(
                refused_requests(&actions),
                [id],
                "request {id} is refused at once"
            ),
        }
    }
    sent
}

fn harness_with_full_servers(entries: Vec<Entry>) -> BalancerHarness {
    let mut harness = BalancerHarness::new(settings(), entries, 7);
    for server in FULL_SERVERS {
        harness.report_load(server, 1.2);
    }
    harness
}

/// In a large fleet half of all proxies rejected every request for 4 s: they sent nothing that could have shown them
/// that there was room.
#[test]
fn a_balancer_that_rejects_all_requests_sends_one_as_a_trial() {
    let mut harness = harness_with_full_servers(FULL_SERVERS.map(entry).to_vec());
    let start = harness.now;
    let sent = send_to_full_servers(&mut harness, 1, 40);
    let [(at, id, server)] = sent[..] else {
        panic!("{sent:?}");
    };
    assert!((3.5..3.8).contains(&(at - start)), "{}", at - start);
    // The trial finds the server full: the next one follows after the same time.
    harness.end_attempt(id, server, Outcome::Full);
    let sent = send_to_full_servers(&mut harness, 100, 38);
    assert_eq!(sent.len(), 1, "{sent:?}");
    assert!(sent[0].0 - at > 3.5);
}

/// Where requests are rare, each would be the first in a long time, and the load limit would never apply.
#[test]
fn a_few_rejections_cause_no_trial() {
    let mut harness = harness_with_full_servers(FULL_SERVERS.map(entry).to_vec());
    for id in 1..12 {
        harness.now += 5.0;
        for server in FULL_SERVERS {
            harness.report_load(server, 1.2);
        }
        assert_eq!(
            refused_requests(&harness.handle_and_answer_probes(Event::Request(request(id)))),
            [id]
        );
    }
}

/// The trial follows the other rules: a draining server and an unresponsive one get nothing.
#[test]
fn trials_are_not_sent_to_draining_or_unresponsive_servers() {
    let mut draining = entry(1);
    draining.status = Status::Draining;
    let mut harness = harness_with_full_servers(vec![draining, entry(2), entry(3)]);
    harness.time_out_probe(3);
    let sent = send_to_full_servers(&mut harness, 1, 40);
    assert_eq!(sent.iter().map(|(_, _, to)| *to).collect::<Vec<_>>(), [2]);
}

/// A harness where servers report no load, with two classes of the same worth, one of which has six times the load.
fn harness_without_load_reports() -> (BalancerHarness, impl Fn(RequestId, usize) -> Request) {
    let mut settings = settings();
    settings.report_fields = Vec::new();
    settings.may_probe = false;
    settings.classes = vec![class(Idempotency::Safe, DedupScope::All); 2];
    let mut harness = BalancerHarness::new(settings, vec![entry(1), entry(2)], 7);
    let request_of = |id, class| Request {
        class,
        hint: Some([1.0, 6.0][class]),
        ..request(id)
    };
    for id in 1..=10 {
        harness.handle_and_answer_probes(Event::Open(request_of(id, usize::from(id > 8)), 1));
    }
    (harness, request_of)
}

/// Returns how many of a hundred requests are sent; each of those succeeds and ends at once.
fn count_sent(
    harness: &mut BalancerHarness,
    first: RequestId,
    make_request: impl Fn(RequestId) -> Request,
) -> usize {
    let mut sent = 0;
    for id in first..first + 100 {
        let actions = harness.handle_and_answer_probes(Event::Request(make_request(id)));
        if let Some(server) = sent_to(&actions, id) {
            sent += 1;
            harness.handle_and_answer_probes(Event::Begun(id, server));
            harness.report_outcome(id, server, Outcome::Ok, true);
        } else {
            assert_eq!(refused_requests(&actions), [id]);
        }
    }
    sent
}

/// Full servers shed new connections of any class, and the heaviest class took the capacity that the others needed.
#[test]
fn resets_cause_refusal_of_requests_with_little_worth_per_load() {
    let (mut harness, request_of) = harness_without_load_reports();
    assert_eq!(count_sent(&mut harness, 100, |id| request_of(id, 1)), 100);
    for id in 1..=2 {
        harness.report_outcome(id, 1, Outcome::Reset, true);
    }
    assert_eq!(count_sent(&mut harness, 200, |id| request_of(id, 0)), 100);
    let heavy_sent = count_sent(&mut harness, 300, |id| request_of(id, 1));
    assert!(heavy_sent < 20, "{heavy_sent}");
    // Resets decay like failures.
    harness.now += 60.0;
    assert_eq!(count_sent(&mut harness, 400, |id| request_of(id, 1)), 100);
}

/// Without connections there is no mean worth to compare with: a restarted balancer refused all requests after its
/// first reset.
#[test]
fn a_balancer_without_connections_refuses_nothing_after_resets() {
    let (mut harness, request_of) = harness_without_load_reports();
    for id in 1..=10 {
        harness.report_outcome(id, 1, Outcome::Reset, true);
    }
    assert_eq!(count_sent(&mut harness, 100, |id| request_of(id, 0)), 100);
}

/// Where servers report their load, that decides, and resets have no influence.
#[test]
fn resets_cause_no_refusals_where_load_is_reported() {
    let mut harness = BalancerHarness::new(settings(), FULL_SERVERS.map(entry).to_vec(), 7);
    for id in 1..=10 {
        harness.handle_and_answer_probes(Event::Open(request(id), 1));
    }
    for server in FULL_SERVERS {
        harness.report_load(server, 0.2);
    }
    for id in 1..=3 {
        harness.report_outcome(id, 1, Outcome::Reset, true);
    }
    for id in 100..110 {
        let heavy_request = Request {
            hint: Some(0.2),
            ..request(id)
        };
        let actions = harness.handle_and_answer_probes(Event::Request(heavy_request));
        assert!(sent_to(&actions, id).is_some(), "{id}");
    }
}
