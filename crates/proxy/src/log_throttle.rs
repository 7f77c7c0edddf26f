//! Rate limit for log lines that remote peers can cause without bound: a few are written per window, the others are
//! only counted.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// A rate limit for log lines.
#[derive(Debug)]
pub struct LogThrottle {
    window: Duration,
    max_lines: u32,
    window_start: Cell<Instant>,
    written: Cell<u32>,
    suppressed: Cell<u64>,
}

impl LogThrottle {
    pub fn new(max_lines: u32, window: Duration) -> Self {
        Self {
            window,
            max_lines,
            window_start: Cell::new(Instant::now()),
            written: Cell::new(0),
            suppressed: Cell::new(0),
        }
    }

    /// Returns the number of lines suppressed since the last one if the next line may be written, else `None`.
    pub fn try_acquire(&self) -> Option<u64> {
        let now = Instant::now();
        if self.window_start.get() + self.window <= now {
            self.window_start.set(now);
            self.written.set(0);
        }
        if self.written.get() < self.max_lines {
            self.written.set(self.written.get() + 1);
            return Some(self.suppressed.take());
        }
        self.suppressed.set(self.suppressed.get() + 1);
        None
    }
}
