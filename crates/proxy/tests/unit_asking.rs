//! `asking` by itself.

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

fn other() -> QueryFailure {
    QueryFailure::Other("status 503".into())
}

/// Discovery as it was seen to work: calls in turn, 60 ms each, and those that it turns away or that
/// have left cost it as much.
struct Service {
    free_at: Duration,
}

const COST: Duration = Duration::from_millis(60);
const TIMEOUT: Duration = Duration::from_secs(3);

impl Service {
    /// When a call is answered, and whether with a list.
    fn call(&mut self, at: Duration) -> (Duration, bool) {
        self.free_at = self.free_at.max(at) + COST;
        match self.free_at - at <= TIMEOUT {
            true => (self.free_at, true),
            false => (at + Duration::from_millis(20), false),
        }
    }
}

/// So many proxies start with a known list at the same moment: calls made, and when the last one watches.
fn herd(fleet: usize, seed: u64) -> (usize, Duration) {
    let mut rng = rand::rngs::StdRng::seed_from_u64(seed);
    let limits = limits(fleet);
    let mut asking: BTreeMap<usize, PollSchedule> = (0..fleet)
        .map(|at| (at, PollSchedule::new(&limits, Some(41))))
        .collect();
    let mut due: BinaryHeap<Reverse<(Duration, usize)>> = asking
        .iter()
        .map(|(&at, asking)| Reverse((asking.initial_delay(rng.random()), at)))
        .collect();
    let mut service = Service {
        free_at: Duration::ZERO,
    };
    let (mut calls, mut last) = (0, Duration::ZERO);
    while let Some(Reverse((now, at))) = due.pop() {
        assert!(now < Duration::from_secs(600), "{} still ask", asking.len());
        calls += 1;
        let (then, list) = service.call(now);
        if list {
            asking.remove(&at);
            last = last.max(then);
        } else {
            let wait = asking
                .get_mut(&at)
                .unwrap()
                .on_failure(&other(), rng.random());
            due.push(Reverse((then + wait, at)));
        }
    }
    (calls, last)
}

/// Where each asked at once and again within 2 s, none of a hundred was answered for as long as they
/// all went on: their calls alone kept the service busy.
#[test]
fn a_herd_of_restarts_is_answered() {
    for seed in 1..=5 {
        let (calls, last) = herd(3, seed);
        assert!(
            calls == 3 && last < Duration::from_millis(500),
            "3: {calls} {last:?}"
        );
        // The service alone needs 6 s for a hundred and 18 s for three hundred.
        let (calls, last) = herd(100, seed);
        assert!(
            calls <= 150 && last < Duration::from_secs(12),
            "100: {calls} {last:?}"
        );
        // Spread over 9.5 s it was 1,042 calls and 75 s, and drains bound before the first call.
        assert!(limits(300).max_initial_delay <= Duration::from_secs(2));
        let (calls, last) = herd(300, seed);
        assert!(
            calls <= 1500 && last < Duration::from_secs(120),
            "300: {calls} {last:?}"
        );
    }
}

#[test]
fn a_list_of_the_last_run_is_not_asked_for_again() {
    let mut asking = PollSchedule::new(&limits(3), Some(41));
    assert_eq!(asking.next_query(), DiscoveryQuery::ChangesSince(41));
    let at_once = asking.on_answer(43, false, 2, COST);
    assert_eq!(at_once, (Verdict::Apply, Duration::ZERO));
    assert_eq!(asking.next_query(), DiscoveryQuery::ChangesSince(43));
}

#[test]
fn without_a_list_it_asks_at_once() {
    let asking = PollSchedule::new(&limits(100), None);
    assert_eq!(asking.initial_delay(1.0), Duration::ZERO);
    assert_eq!(asking.next_query(), DiscoveryQuery::Snapshot);
}

/// A service that lost its memory counts from one again.
#[test]
fn a_version_that_goes_back_or_is_unknown_means_the_whole_list() {
    let mut asking = PollSchedule::new(&limits(3), Some(41));
    let (verdict, wait) = asking.on_answer(2, false, 5, COST);
    assert_eq!(verdict, Verdict::OutOfOrder);
    assert!(wait > Duration::ZERO);
    assert_eq!(asking.next_query(), DiscoveryQuery::Snapshot);
    assert_eq!(asking.on_answer(2, true, 5, COST).0, Verdict::Apply);
    asking.on_failure(&QueryFailure::VersionExpired("status 410".into()), 0.5);
    assert_eq!(asking.next_query(), DiscoveryQuery::Snapshot);
    // One that is merely down keeps the version.
    asking.on_answer(3, true, 5, COST);
    asking.on_failure(&other(), 0.5);
    assert_eq!(asking.next_query(), DiscoveryQuery::ChangesSince(3));
}

/// A watch that had fallen silent was opened anew up to 8.8 s later in a fleet of 300, and drains that it had
/// missed counted as told all that while.
#[test]
fn a_silent_watch_is_opened_anew_at_once_and_a_second_one_waits() {
    let limits = limits(300);
    let mut asking = PollSchedule::new(&limits, Some(41));
    let silent = QueryFailure::WatchTimeout("no answer in time".into());
    for _ in 0..3 {
        assert!(asking.on_failure(&silent, 1.0) <= limits.min_query_interval);
        assert_eq!(asking.next_query(), DiscoveryQuery::ChangesSince(41));
        assert!(asking.on_failure(&silent, 0.0) >= limits.initial_backoff / 4);
        asking.on_answer(41, false, 0, COST);
    }
    // Before what it missed counts as told: two seconds after the wait.
    let again =
        limits.watch_slack + limits.min_query_interval + limits.discovery_connect_timeout / 2;
    assert!(again < Duration::from_secs(2));
}

/// Sixty seconds of failures: calls go on at a bounded rate, and never so rarely that what discovery has to tell would
/// count, 6 s after it could be reached, before the next call is answered.
#[test]
fn failures_in_a_row_are_asked_again_at_a_bounded_rate_and_in_time() {
    for (fleet, most) in [(3, 60), (100, 45), (300, 45)] {
        let limits = limits(fleet);
        for chance in [0.0, 0.5, 1.0] {
            let mut asking = PollSchedule::new(&limits, Some(41));
            let (mut now, mut calls) = (Duration::ZERO, 0);
            while now < Duration::from_secs(60) {
                let pause = asking.on_failure(&other(), chance);
                assert!(
                    pause + limits.snapshot_timeout < Duration::from_millis(5600),
                    "{pause:?}"
                );
                now += pause + COST;
                calls += 1;
            }
            let most = if chance == 0.5 { most } else { 130 };
            assert!((4..=most).contains(&calls), "{fleet}, {chance}: {calls}");
        }
    }
}

#[test]
fn answers_with_nothing_new_are_no_busy_loop() {
    let mut asking = PollSchedule::new(&limits(100), Some(41));
    let (verdict, wait) = asking.on_answer(41, false, 0, Duration::ZERO);
    assert_eq!(verdict, Verdict::Unchanged);
    // A watch that goes on must do so within 200 ms.
    assert!(wait > Duration::ZERO && wait < Duration::from_millis(200));
    assert_eq!(
        asking.on_answer(41, false, 0, Duration::from_secs(6)).1,
        Duration::ZERO
    );
}
