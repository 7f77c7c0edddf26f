//! One clock: Unix time at the start, and from there on only forward.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use violetwind_balancer::api::Secs;

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Secs,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            start: Instant::now(),
            unix: unix.map_or(0.0, |since| since.as_secs_f64()),
        }
    }

    /// The Unix time in seconds, as the list gives the starts of servers.
    pub fn now(&self) -> Secs {
        self.unix + self.start.elapsed().as_secs_f64()
    }
}
