//! Log lines that anyone can cause without end: a few in each span, then only how many were left out.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

#[derive(Debug)]
pub struct LogThrottle {
    span: Duration,
    most: u32,
    since: Cell<Instant>,
    said: Cell<u32>,
    left_out: Cell<u64>,
}

impl LogThrottle {
    pub fn new(most: u32, span: Duration) -> Self {
        Self {
            span,
            most,
            since: Cell::new(Instant::now()),
            said: Cell::new(0),
            left_out: Cell::new(0),
        }
    }

    /// Whether the next line may be written, and how many before it were not.
    pub fn try_acquire(&self) -> Option<u64> {
        let now = Instant::now();
        if self.since.get() + self.span <= now {
            self.since.set(now);
            self.said.set(0);
        }
        if self.said.get() < self.most {
            self.said.set(self.said.get() + 1);
            return Some(self.left_out.take());
        }
        self.left_out.set(self.left_out.get() + 1);
        None
    }
}
