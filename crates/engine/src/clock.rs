//! Clock of the engine: CLOCK_MONOTONIC, which is never stepped and is the same for all processes of a machine.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;
use violetwind_balancer::api::Seconds;

/// Returns CLOCK_MONOTONIC in microseconds. The value is the same for all processes of a machine, so log lines of
/// several processes can be ordered by it.
pub fn monotonic_us() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1000
}

/// Source of the wall-clock time, which may be stepped at any time.
#[derive(Clone, Copy, Debug)]
enum WallClock {
    System,
    /// The monotonic time plus this offset in seconds.
    Offset(Seconds),
}

/// Converts between the runtime's [`Instant`]s and seconds of the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_seconds: Seconds,
    wall_clock: WallClock,
}

impl Clock {
    /// Creates a clock that starts at the system's current time.
    pub fn new() -> Self {
        let now = clock_gettime(ClockId::Monotonic);
        Self {
            start: Instant::now(),
            start_seconds: now.tv_sec as Seconds + now.tv_nsec as Seconds / 1e9,
            wall_clock: WallClock::System,
        }
    }

    /// Creates a clock for simulated time at which the monotonic time at `start` is `time`. Its wall clock shows the
    /// same time.
    pub fn simulated(start: Instant, time: Seconds) -> Self {
        Self {
            start,
            start_seconds: time,
            wall_clock: WallClock::Offset(0.0),
        }
    }

    /// Returns the instant at which the clock was created.
    pub fn start(&self) -> Instant {
        self.start
    }

    /// Converts an instant to seconds of the monotonic clock.
    pub fn seconds_at(&self, moment: Instant) -> Seconds {
        self.start_seconds + moment.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Converts a monotonic time in milliseconds to an instant. A time before the clock's start becomes the start.
    pub fn instant_at(&self, monotonic_ms: u64) -> Instant {
        let since = (monotonic_ms as Seconds / 1e3 - self.start_seconds).clamp(0.0, 1e9);
        self.start + Duration::from_secs_f64(since)
    }

    /// Returns the current Unix time in seconds. The wall clock may have been stepped since an earlier reading, so
    /// readings must not be compared with each other.
    pub fn unix_seconds(&self, now: Instant) -> Seconds {
        match self.wall_clock {
            WallClock::System => SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0.0, |since| since.as_secs_f64()),
            WallClock::Offset(offset) => self.seconds_at(now) + offset,
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
