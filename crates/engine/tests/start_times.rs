//! Start times of servers while the wall clocks of the proxy and of the servers are stepped.

use violetwind_engine::start_times::{ListContext, StartTimes};

const HOUR: f64 = 3600.0;
/// True Unix time at the monotonic time 0.
const UNIX_AT_ZERO: f64 = 1.7e9;

/// Context at a monotonic time, with this machine's wall clock stepped by `step` seconds.
fn context(now: f64, step: f64, has_earlier_list: bool) -> ListContext {
    ListContext {
        now,
        unix_seconds: UNIX_AT_ZERO + now + step,
        has_earlier_list,
        slow_start_window: 8.0,
    }
}

#[test]
fn start_that_is_new_in_a_later_list_resolves_to_now_despite_clock_steps() {
    for own_step in [-HOUR, -5.0, 0.0, 5.0, HOUR] {
        for server_step in [-HOUR, -5.0, 0.0, 5.0, HOUR] {
            let mut start_times = StartTimes::default();
            let listed = Some(UNIX_AT_ZERO + 100.0 + server_step);
            assert_eq!(
                start_times.resolve("s-1", listed, context(101.0, own_step, true)),
                Some(101.0)
            );
            // The same listed start keeps its resolved time, even if a clock was stepped in between.
            assert_eq!(
                start_times.resolve("s-1", listed, context(150.0, own_step + HOUR, true)),
                Some(101.0)
            );
            // A new process of the server has a new start time.
            let restarted = Some(UNIX_AT_ZERO + 160.0 + server_step);
            assert_eq!(
                start_times.resolve("s-1", restarted, context(161.0, own_step, true)),
                Some(161.0)
            );
        }
    }
}

#[test]
fn server_in_a_first_list_is_warm_only_if_no_clock_step_explains_its_start() {
    for own_step in [-HOUR, 0.0, HOUR] {
        for server_step in [-HOUR, 0.0, HOUR] {
            let mut start_times = StartTimes::default();
            let young = Some(UNIX_AT_ZERO + 95.0 + server_step);
            assert_eq!(
                start_times.resolve("young", young, context(100.0, own_step, false)),
                Some(100.0)
            );
            let old = Some(UNIX_AT_ZERO - 5.0 * HOUR + server_step);
            assert_eq!(
                start_times.resolve("old", old, context(100.0, own_step, false)),
                None
            );
        }
    }
}

#[test]
fn missing_or_zero_start_resolves_to_none() {
    let mut start_times = StartTimes::default();
    assert_eq!(
        start_times.resolve("s-1", None, context(100.0, 0.0, true)),
        None
    );
    assert_eq!(
        start_times.resolve("s-1", Some(0.0), context(100.0, 0.0, true)),
        None
    );
}

#[test]
fn start_times_are_removed_at_the_limit_and_then_resolve_to_now() {
    let mut start_times = StartTimes::default();
    let listed = Some(UNIX_AT_ZERO);
    for number in 0..70_000 {
        start_times.resolve(
            &format!("s-{number}"),
            listed,
            context(f64::from(number), 0.0, true),
        );
    }
    assert_eq!(
        start_times.resolve("s-69999", listed, context(70_000.0, 0.0, true)),
        Some(69_999.0)
    );
    assert_eq!(
        start_times.resolve("s-0", listed, context(70_000.0, 0.0, true)),
        Some(70_000.0)
    );
}
