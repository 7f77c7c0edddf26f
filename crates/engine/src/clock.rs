//! One clock: Unix time at the start, and from there on only forward.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use violetwind_balancer::api::Secs;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Secs,
}

impl Clock {
    /// Starts at the present time of the system.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self::at_unix(
            Instant::now(),
            unix.map_or(0.0, |since| since.as_secs_f64()),
        )
    }

    /// A clock by which it is this Unix time at that moment.
    pub fn at_unix(start: Instant, unix: Secs) -> Self {
        Self { start, unix }
    }

    pub fn start(&self) -> Instant {
        self.start
    }

    /// The Unix time in seconds at a moment, as the list gives the starts of servers.
    pub fn at(&self, moment: Instant) -> Secs {
        self.unix + moment.saturating_duration_since(self.start).as_secs_f64()
    }

    /// The moment of a Unix time in milliseconds; the start for one before it.
    pub fn moment(&self, unix_ms: u64) -> Instant {
        let since = (unix_ms as Secs / 1e3 - self.unix).clamp(0.0, 1e9);
        self.start + Duration::from_secs_f64(since)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
