//! Schedule that spreads the moves of connections evenly over a period.

use tokio::time::Instant;
use violetwind_balancer::api::RequestId;

/// Connections that are to be moved between two instants.
#[derive(Debug)]
pub(crate) struct MoveSchedule {
    pub pending: Vec<RequestId>,
    /// Largest number of connections that were pending at once.
    max_pending: usize,
    pub start: Instant,
    pub end: Instant,
}

impl MoveSchedule {
    pub fn new(pending: Vec<RequestId>, start: Instant, end: Instant) -> Self {
        let max_pending = pending.len();
        Self {
            pending,
            max_pending,
            start,
            end,
        }
    }

    /// Removes and returns the connections that are due: evenly over the period, and all at its end.
    pub fn take_due(&mut self, now: Instant) -> impl Iterator<Item = RequestId> {
        self.max_pending = self.max_pending.max(self.pending.len());
        let span = (self.end - self.start).as_secs_f64();
        let remaining_share = (self.end - now).as_secs_f64() / span.max(f64::MIN_POSITIVE);
        let keep_count = (self.max_pending as f64 * remaining_share) as usize;
        self.pending.drain(keep_count.min(self.pending.len())..)
    }

    /// If the schedule has not begun, starts it now and lets it end after `span`.
    pub fn start_now(&mut self, now: Instant, span: std::time::Duration) {
        if self.start > now {
            (self.start, self.end) = (now, now + span);
        }
    }
}
