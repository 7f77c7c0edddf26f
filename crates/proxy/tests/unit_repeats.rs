//! `repeats` by itself.

use std::time::Duration;

use tokio::time::Instant;
use violetwind_proxy::log_throttle::*;

/// A flood of bad lines must not become a flood of log lines, nor go unseen.
#[test]
fn what_is_left_out_is_counted() {
    let repeats = LogThrottle::new(2, Duration::from_millis(20));
    let said: Vec<_> = (0..5).map(|_| repeats.try_acquire()).collect();
    assert_eq!(said, [Some(0), Some(0), None, None, None]);
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        if let Some(left_out) = repeats.try_acquire() {
            assert!(left_out >= 3, "{left_out}");
            return;
        }
    }
    panic!("nothing more is said");
}
