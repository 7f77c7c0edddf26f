//! A balancer whose figures say that nothing has room: figures of few servers, or of long ago, may have it turn all
//! away for good.

mod common;

use common::*;
use violetwind_balancer::api::*;

const FULL: [ServerId; 2] = [1, 2];

/// Two servers that are too full for anybody, told again before each request: what becomes of one every tenth of a second.
fn asked(
    bench: &mut BalancerHarness,
    first: RequestId,
    count: u64,
) -> Vec<(Seconds, RequestId, ServerId)> {
    let mut sent = Vec::new();
    for id in first..first + count {
        bench.now += 0.1;
        for server in FULL {
            bench.report_load(server, 1.2);
        }
        let actions = bench.handle_and_answer_probes(Event::Request(request(id)));
        match sent_to(&actions, id) {
            Some(server) => sent.push((bench.now, id, server)),
            None => assert_eq!(refused_requests(&actions), [id], "{id}: answered at once"),
        }
    }
    sent
}

fn bench(entries: Vec<Entry>) -> BalancerHarness {
    let mut bench = BalancerHarness::new(settings(), entries, 7);
    for server in FULL {
        bench.report_load(server, 1.2);
    }
    bench
}

/// In a large fleet half of all proxies turned away everything for 4 s on end: nothing that they sent could tell them
/// that there was room.
#[test]
fn who_turns_all_away_for_long_lets_one_request_try() {
    let mut bench = bench(FULL.map(entry).to_vec());
    let start = bench.now;
    let sent = asked(&mut bench, 1, 40);
    let [(at, id, server)] = sent[..] else {
        panic!("{sent:?}");
    };
    assert!((3.5..3.8).contains(&(at - start)), "{}", at - start);
    // What it meets there is no news: the next one may try as long after it.
    bench.end_attempt(id, server, Outcome::Full);
    let sent = asked(&mut bench, 100, 38);
    assert_eq!(sent.len(), 1, "{sent:?}");
    assert!(sent[0].0 - at > 3.5);
}

/// Where requests come rarely each would be the first for long, and limits would hold for nobody.
#[test]
fn a_few_that_are_turned_away_are_no_reason_to_try() {
    let mut bench = bench(FULL.map(entry).to_vec());
    for id in 1..12 {
        bench.now += 5.0;
        for server in FULL {
            bench.report_load(server, 1.2);
        }
        assert_eq!(
            refused_requests(&bench.handle_and_answer_probes(Event::Request(request(id)))),
            [id]
        );
    }
}

/// The trial is no way round the other rules: a server that drains and one that is silent get nothing.
#[test]
fn the_trial_goes_to_nobody_who_drains_or_is_silent() {
    let mut drains = entry(1);
    drains.status = Status::Draining;
    let mut bench = bench(vec![drains, entry(2), entry(3)]);
    bench.time_out_probe(3);
    let sent = asked(&mut bench, 1, 40);
    assert_eq!(sent.iter().map(|(_, _, to)| *to).collect::<Vec<_>>(), [2]);
}

/// Two classes of the same worth, one of which loads a server six times as much, where servers tell no load.
fn untold() -> (BalancerHarness, impl Fn(RequestId, usize) -> Request) {
    let mut set = settings();
    set.report_fields = Vec::new();
    set.may_probe = false;
    set.classes = vec![class(Idempotency::Safe, DedupScope::All); 2];
    let mut bench = BalancerHarness::new(set, vec![entry(1), entry(2)], 7);
    let of = |id, class| Request {
        class,
        hint: Some([1.0, 6.0][class]),
        ..request(id)
    };
    for id in 1..=10 {
        bench.handle_and_answer_probes(Event::Open(of(id, usize::from(id > 8)), 1));
    }
    (bench, of)
}

/// How many of a hundred requests of a class are sent on, each of which ends well at once.
fn sent_on(
    bench: &mut BalancerHarness,
    first: RequestId,
    of: impl Fn(RequestId) -> Request,
) -> usize {
    let mut sent = 0;
    for id in first..first + 100 {
        let actions = bench.handle_and_answer_probes(Event::Request(of(id)));
        if let Some(server) = sent_to(&actions, id) {
            sent += 1;
            bench.handle_and_answer_probes(Event::Begun(id, server));
            bench.report_outcome(id, server, Outcome::Ok, true);
        } else {
            assert_eq!(refused_requests(&actions), [id]);
        }
    }
    sent
}

/// Full servers shed whatever is new, and the heaviest class took what all others could have had.
#[test]
fn where_clients_are_cut_off_what_is_worth_little_for_its_load_stays_out() {
    let (mut bench, of) = untold();
    assert_eq!(sent_on(&mut bench, 100, |id| of(id, 1)), 100);
    for id in 1..=2 {
        bench.report_outcome(id, 1, Outcome::Reset, true);
    }
    assert_eq!(sent_on(&mut bench, 200, |id| of(id, 0)), 100);
    let heavy = sent_on(&mut bench, 300, |id| of(id, 1));
    assert!(heavy < 20, "{heavy}");
    // It is forgotten as failures are.
    bench.now += 60.0;
    assert_eq!(sent_on(&mut bench, 400, |id| of(id, 1)), 100);
}

/// Who holds nothing has nothing to compare with: a restarted balancer refused all after its first cut-off.
#[test]
fn who_holds_nothing_refuses_nobody_for_a_cut_off() {
    let (mut bench, of) = untold();
    for id in 1..=10 {
        bench.report_outcome(id, 1, Outcome::Reset, true);
    }
    assert_eq!(sent_on(&mut bench, 100, |id| of(id, 0)), 100);
}

/// Where servers tell their load that decides, and cut-offs say nothing more.
#[test]
fn where_load_is_told_a_cut_off_refuses_nobody() {
    let mut bench = BalancerHarness::new(settings(), FULL.map(entry).to_vec(), 7);
    for id in 1..=10 {
        bench.handle_and_answer_probes(Event::Open(request(id), 1));
    }
    for server in FULL {
        bench.report_load(server, 0.2);
    }
    for id in 1..=3 {
        bench.report_outcome(id, 1, Outcome::Reset, true);
    }
    for id in 100..110 {
        let heavy = Request {
            hint: Some(0.2),
            ..request(id)
        };
        let actions = bench.handle_and_answer_probes(Event::Request(heavy));
        assert!(sent_to(&actions, id).is_some(), "{id}");
    }
}
