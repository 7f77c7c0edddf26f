//! Connections that are to be moved, spread evenly over a time.

use tokio::time::Instant;
use violetwind_balancer::api::RequestId;

#[derive(Debug)]
pub(crate) struct MoveSchedule {
    pub pending: Vec<RequestId>,
    /// How many there were at the most.
    most: usize,
    pub from: Instant,
    pub until: Instant,
}

impl MoveSchedule {
    pub fn new(pending: Vec<RequestId>, from: Instant, until: Instant) -> Self {
        let most = pending.len();
        Self {
            pending,
            most,
            from,
            until,
        }
    }

    /// Takes out those whose time has come: evenly over the span, and all at its end.
    pub fn take_due(&mut self, now: Instant) -> impl Iterator<Item = RequestId> {
        self.most = self.most.max(self.pending.len());
        let span = (self.until - self.from).as_secs_f64();
        let rest = (self.until - now).as_secs_f64() / span.max(f64::MIN_POSITIVE);
        let stay = (self.most as f64 * rest) as usize;
        self.pending.drain(stay.min(self.pending.len())..)
    }

    /// Begins at once and takes no longer than this.
    pub fn start_now(&mut self, now: Instant, span: std::time::Duration) {
        if self.from > now {
            (self.from, self.until) = (now, now + span);
        }
    }
}
