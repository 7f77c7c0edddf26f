//! Unit test of the log throttle.

use std::time::Duration;

use tokio::time::Instant;
use violetwind_proxy::log_throttle::*;

/// A flood of invalid lines must neither become a flood of log lines nor go unnoticed.
#[test]
fn suppressed_lines_are_counted() {
    let throttle = LogThrottle::new(2, Duration::from_millis(20));
    let acquired: Vec<_> = (0..5).map(|_| throttle.try_acquire()).collect();
    assert_eq!(acquired, [Some(0), Some(0), None, None, None]);
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        if let Some(suppressed) = throttle.try_acquire() {
            assert!(suppressed >= 3, "{suppressed}");
            return;
        }
    }
    panic!("the throttle allows no further line within 5 s");
}
