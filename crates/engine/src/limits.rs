//! Size and time limits of the engine; protocol front ends have their own.

use std::time::Duration;

/// Size and time limits of the engine.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Capacity of the engine's event queue; a sender waits while the queue is full.
    pub max_queued_events: usize,
    /// Maximum number of changed rows that are passed to the balancer in one step.
    pub max_rows_per_step: usize,
    /// Time limit for re-establishing a connection that existed before the engine started.
    pub resume_timeout: Duration,
    /// Delay between the start of a server's drain and the first move of a connection.
    pub drain_wait: Duration,
    /// Period after `drain_wait` over which the connections of a draining server are moved.
    pub drain_span: Duration,
    /// Interval between two batches of scheduled moves.
    pub move_interval: Duration,
}
