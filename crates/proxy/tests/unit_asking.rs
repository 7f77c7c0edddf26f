//! Unit tests of `poll_schedule`, the schedule of calls to discovery.

use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use violetwind_proxy::limits::{LimitInputs, Limits};
use violetwind_proxy::poll_schedule::*;

fn limits(fleet: usize) -> Limits {
    Limits::new(LimitInputs {
        fleet_size: fleet,
        ..LimitInputs::default()
    })
}

fn unavailable() -> QueryFailure {
    QueryFailure::Other("status 503".into())
}

/// Model of the observed discovery service: it handles calls one after the other, 60 ms each, and calls that
/// it rejects or whose client has disconnected take the same time.
struct DiscoveryModel {
    free_at: Duration,
}

const COST: Duration = Duration::from_millis(60);
const TIMEOUT: Duration = Duration::from_secs(3);

impl DiscoveryModel {
    /// Handles a call made at `now`. Returns the time of the answer, and whether it contains a list.
    fn call(&mut self, now: Duration) -> (Duration, bool) {
        self.free_at = self.free_at.max(now) + COST;
        match self.free_at - now <= TIMEOUT {
            true => (self.free_at, true),
            false => (now + Duration::from_millis(20), false),
        }
    }
}

/// Simulates `fleet` proxies that start at the same moment with a known list. Returns the number of calls, and the time
/// at which the last proxy has its first answer.
fn simulate_restarts(fleet: usize, seed: u64) -> (usize, Duration) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let limits = limits(fleet);
    let mut schedules: BTreeMap<usize, PollSchedule> = (0..fleet)
        .map(|proxy| (proxy, PollSchedule::new(&limits, Some(41))))
        .collect();
    let mut due: BinaryHeap<Reverse<(Duration, usize)>> = schedules
        .iter()
        .map(|(&proxy, schedule)| Reverse((schedule.initial_delay(rng.random()), proxy)))
        .collect();
    let mut service = DiscoveryModel {
        free_at: Duration::ZERO,
    };
    let (mut calls, mut last_answer) = (0, Duration::ZERO);
    while let Some(Reverse((now, proxy))) = due.pop() {
        assert!(
            now < Duration::from_secs(600),
            "{} proxies still have no answer",
            schedules.len()
        );
        calls += 1;
        let (answered_at, has_list) = service.call(now);
        if has_list {
            schedules.remove(&proxy);
            last_answer = last_answer.max(answered_at);
        } else {
            let wait = schedules
                .get_mut(&proxy)
                .unwrap()
                .on_failure(&unavailable(), rng.random());
            due.push(Reverse((answered_at + wait, proxy)));
        }
    }
    (calls, last_answer)
}

/// Guards against overload by simultaneous restarts. When each of 100 proxies called immediately and again within
/// 2 s, none was ever answered, because their calls alone kept the service busy.
#[test]
fn a_herd_of_restarts_is_answered() {
    for seed in 1..=5 {
        let (calls, last_answer) = simulate_restarts(3, seed);
        assert!(
            calls == 3 && last_answer < Duration::from_millis(500),
            "3: {calls} {last_answer:?}"
        );
        // The service itself needs 6 s for 100 calls and 18 s for 300.
        let (calls, last_answer) = simulate_restarts(100, seed);
        assert!(
            calls <= 150 && last_answer < Duration::from_secs(12),
            "100: {calls} {last_answer:?}"
        );
        // Spread over 9.5 s, 300 proxies made 1,042 calls in 75 s, but drains took effect before a proxy's first call.
        assert!(limits(300).max_initial_delay <= Duration::from_secs(2));
        let (calls, last_answer) = simulate_restarts(300, seed);
        assert!(
            calls <= 1500 && last_answer < Duration::from_secs(120),
            "300: {calls} {last_answer:?}"
        );
    }
}

#[test]
fn requests_only_changes_when_a_list_is_known() {
    let mut schedule = PollSchedule::new(&limits(3), Some(41));
    assert_eq!(schedule.next_query(), DiscoveryQuery::ChangesSince(41));
    let outcome = schedule.on_answer(43, false, 2, COST);
    assert_eq!(outcome, (Verdict::Apply, Duration::ZERO));
    assert_eq!(schedule.next_query(), DiscoveryQuery::ChangesSince(43));
}

#[test]
fn requests_the_whole_list_immediately_when_none_is_known() {
    let schedule = PollSchedule::new(&limits(100), None);
    assert_eq!(schedule.initial_delay(1.0), Duration::ZERO);
    assert_eq!(schedule.next_query(), DiscoveryQuery::Snapshot);
}

/// A discovery service that restarts without its data counts versions from one again.
#[test]
fn requests_the_whole_list_after_a_decreasing_or_expired_version() {
    let mut schedule = PollSchedule::new(&limits(3), Some(41));
    let (verdict, wait) = schedule.on_answer(2, false, 5, COST);
    assert_eq!(verdict, Verdict::OutOfOrder);
    assert!(wait > Duration::ZERO);
    assert_eq!(schedule.next_query(), DiscoveryQuery::Snapshot);
    assert_eq!(schedule.on_answer(2, true, 5, COST).0, Verdict::Apply);
    schedule.on_failure(&QueryFailure::VersionExpired("status 410".into()), 0.5);
    assert_eq!(schedule.next_query(), DiscoveryQuery::Snapshot);
    // The version is kept when the service is only unavailable.
    schedule.on_answer(3, true, 5, COST);
    schedule.on_failure(&unavailable(), 0.5);
    assert_eq!(schedule.next_query(), DiscoveryQuery::ChangesSince(3));
}

/// Guards against a late retry of a timed-out watch: in a fleet of 300 it was repeated up to 8.8 s later, while the
/// drains it had missed already counted as announced.
#[test]
fn repeats_a_timed_out_watch_immediately_and_backs_off_after_a_second_timeout() {
    let limits = limits(300);
    let mut schedule = PollSchedule::new(&limits, Some(41));
    let timed_out = QueryFailure::WatchTimeout("no answer in time".into());
    for _ in 0..3 {
        assert!(schedule.on_failure(&timed_out, 1.0) <= limits.min_query_interval);
        assert_eq!(schedule.next_query(), DiscoveryQuery::ChangesSince(41));
        assert!(schedule.on_failure(&timed_out, 0.0) >= limits.initial_backoff / 4);
        schedule.on_answer(41, false, 0, COST);
    }
    // The retry completes before the missed changes count as announced, 2 s after the watch ends.
    let retry_answered =
        limits.watch_slack + limits.min_query_interval + limits.discovery_connect_timeout / 2;
    assert!(retry_answered < Duration::from_secs(2));
}

/// During 60 s of failures the calls continue at a bounded rate. They are also frequent enough: changes take effect 6 s
/// after discovery becomes reachable again, and the next call is answered before that.
#[test]
fn retries_repeated_failures_at_a_bounded_rate_and_in_time() {
    for (fleet, max_calls) in [(3, 60), (100, 45), (300, 45)] {
        let limits = limits(fleet);
        for random in [0.0, 0.5, 1.0] {
            let mut schedule = PollSchedule::new(&limits, Some(41));
            let (mut now, mut calls) = (Duration::ZERO, 0);
            while now < Duration::from_secs(60) {
                let delay = schedule.on_failure(&unavailable(), random);
                assert!(
                    delay + limits.snapshot_timeout < Duration::from_millis(5600),
                    "{delay:?}"
                );
                now += delay + COST;
                calls += 1;
            }
            let max_calls = if random == 0.5 { max_calls } else { 130 };
            assert!(
                (4..=max_calls).contains(&calls),
                "{fleet}, {random}: {calls}"
            );
        }
    }
}

#[test]
fn delays_the_next_call_after_an_immediate_answer_without_changes() {
    let mut schedule = PollSchedule::new(&limits(100), Some(41));
    let (verdict, wait) = schedule.on_answer(41, false, 0, Duration::ZERO);
    assert_eq!(verdict, Verdict::Unchanged);
    // The next watch must start within 200 ms.
    assert!(wait > Duration::ZERO && wait < Duration::from_millis(200));
    assert_eq!(
        schedule.on_answer(41, false, 0, Duration::from_secs(6)).1,
        Duration::ZERO
    );
}
