//! The engine's clock: the machine's monotonic one, which is never stepped and is the same for all its processes.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;
use violetwind_balancer::api::Seconds;

/// Microseconds of CLOCK_MONOTONIC, the same for all processes of a machine: what log lines of several processes are
/// compared by.
pub fn monotonic_us() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}

/// Where the wall clock is read, which may be stepped at any time.
#[derive(Clone, Copy, Debug)]
enum Wall {
    System,
    /// It runs with the monotonic one, this much ahead.
    Ahead(Seconds),
}

/// Moments of the runtime as seconds of the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    monotonic: Seconds,
    wall: Wall,
}

impl Clock {
    /// Starts at the present time of the system.
    pub fn new() -> Self {
        let now = clock_gettime(ClockId::Monotonic);
        Self {
            start: Instant::now(),
            monotonic: now.tv_sec as Seconds + now.tv_nsec as Seconds / 1e9,
            wall: Wall::System,
        }
    }

    /// A clock by which it is this time at that moment, in simulated time; its wall clock shows the same.
    pub fn simulated(start: Instant, time: Seconds) -> Self {
        Self {
            start,
            monotonic: time,
            wall: Wall::Ahead(0.0),
        }
    }

    pub fn start(&self) -> Instant {
        self.start
    }

    /// Seconds of the monotonic clock at a moment.
    pub fn seconds_at(&self, moment: Instant) -> Seconds {
        self.monotonic + moment.saturating_duration_since(self.start).as_secs_f64()
    }

    /// The moment of a monotonic time in milliseconds; the start for one before it.
    pub fn instant_at(&self, monotonic_ms: u64) -> Instant {
        let since = (monotonic_ms as Seconds / 1e3 - self.monotonic).clamp(0.0, 1e9);
        self.start + Duration::from_secs_f64(since)
    }

    /// Unix time in seconds as the wall clock shows it now: it is compared with nothing that was read earlier.
    pub fn unix_seconds(&self, now: Instant) -> Seconds {
        match self.wall {
            Wall::System => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0.0, |since| since.as_secs_f64()),
            Wall::Ahead(by) => self.seconds_at(now) + by,
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
