//! Starts of servers under steps of any machine's wall clock.

use violetwind_engine::start_times::{ListContext, StartTimes};

const HOUR: f64 = 3600.0;
/// The true Unix time at the monotonic time 0.
const UNIX: f64 = 1.7e9;

/// At a monotonic time, with this machine's wall clock off by so much.
fn reading(now: f64, step: f64, follows: bool) -> ListContext {
    ListContext {
        now,
        unix_seconds: UNIX + now + step,
        has_earlier_list: follows,
        slow_start_window: 8.0,
    }
}

#[test]
fn a_start_that_is_new_in_a_later_list_is_just_now_whatever_the_clocks_say() {
    for own in [-HOUR, -5.0, 0.0, 5.0, HOUR] {
        for servers in [-HOUR, -5.0, 0.0, 5.0, HOUR] {
            let mut starts = StartTimes::default();
            let listed = Some(UNIX + 100.0 + servers);
            assert_eq!(
                starts.resolve("s-1", listed, reading(101.0, own, true)),
                Some(101.0)
            );
            // The same start stays where it was, whatever is stepped in between.
            assert_eq!(
                starts.resolve("s-1", listed, reading(150.0, own + HOUR, true)),
                Some(101.0)
            );
            // Another process is another start.
            let again = Some(UNIX + 160.0 + servers);
            assert_eq!(
                starts.resolve("s-1", again, reading(161.0, own, true)),
                Some(161.0)
            );
        }
    }
}

#[test]
fn of_a_first_list_only_what_no_step_explains_is_taken_for_warm() {
    for own in [-HOUR, 0.0, HOUR] {
        for servers in [-HOUR, 0.0, HOUR] {
            let mut starts = StartTimes::default();
            let young = Some(UNIX + 95.0 + servers);
            assert_eq!(
                starts.resolve("young", young, reading(100.0, own, false)),
                Some(100.0)
            );
            let old = Some(UNIX - 5.0 * HOUR + servers);
            assert_eq!(starts.resolve("old", old, reading(100.0, own, false)), None);
        }
    }
}

#[test]
fn no_start_or_nought_is_long_ago() {
    let mut starts = StartTimes::default();
    assert_eq!(starts.resolve("s-1", None, reading(100.0, 0.0, true)), None);
    assert_eq!(
        starts.resolve("s-1", Some(0.0), reading(100.0, 0.0, true)),
        None
    );
}

#[test]
fn starts_are_forgotten_at_a_limit_and_then_count_as_just_now() {
    let mut starts = StartTimes::default();
    let listed = Some(UNIX);
    for number in 0..70_000 {
        starts.resolve(
            &format!("s-{number}"),
            listed,
            reading(f64::from(number), 0.0, true),
        );
    }
    assert_eq!(
        starts.resolve("s-69999", listed, reading(70_000.0, 0.0, true)),
        Some(69_999.0)
    );
    assert_eq!(
        starts.resolve("s-0", listed, reading(70_000.0, 0.0, true)),
        Some(70_000.0)
    );
}
