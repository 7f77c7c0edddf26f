//! The engine's sizes and times; fronts have their own.

use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Limits {
    /// Notices on the way to the engine: who sends one more waits.
    pub max_queued_events: usize,
    /// Rows of a list of changes that the module is told in one step.
    pub max_rows_per_step: usize,
    /// A connection that stood before the start is tried for so long.
    pub resume_timeout: Duration,
    /// A draining server's connections stay so long, then move over such a span.
    pub drain_wait: Duration,
    pub drain_span: Duration,
    /// How often moves that are spread out are given out.
    pub move_interval: Duration,
}
