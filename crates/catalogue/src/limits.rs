//! The limits, ratios and timeouts of the catalogue.

use crate::types::Millis;

/// The limits of a [`Catalogue`](crate::Catalogue); times in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The maximum number of servers in the catalogue. When it is reached, the server that has been unlisted for
    /// longest is evicted; if all servers are listed, a new one is refused. Both are counted.
    pub max_servers: usize,
    /// The maximum number of sources, including retired ones that still have reports.
    pub max_sources: usize,
    /// After this time a server that no source lists is gone, even if it still answers.
    pub absence_timeout: Millis,
    /// The maximum ratio of all servers that become gone through `absence_timeout` per second, at least one server.
    /// It prevents a burst of connection moves.
    pub max_gone_ratio_per_s: f64,
    /// The number of consecutive unanswered probes or `OPEN` lines after which a suspected server is gone.
    pub max_unanswered: u32,
    /// A source is distrusted when more than `distrust_ratio` of its servers, and at least `distrust_min_servers`,
    /// became suspect within `distrust_window`.
    pub distrust_ratio: f64,
    pub distrust_min_servers: usize,
    pub distrust_window: Millis,
    /// A source is trusted again once the ratio of its suspect servers has been at most half of `distrust_ratio`, or
    /// their number below `distrust_min_servers`, for `trust_recovery_delay`; at the latest after
    /// `max_distrust_time`.
    pub trust_recovery_delay: Millis,
    pub max_distrust_time: Millis,
    /// Each transition of a server to suspect adds 1 to its penalty, which halves every `flap_half_life`. From
    /// `flap_suppress_threshold` on the server stays suspected until the penalty is below `flap_reuse_threshold`.
    pub flap_half_life: Millis,
    pub flap_suppress_threshold: f64,
    pub flap_reuse_threshold: f64,
    /// How often state that depends on elapsed time is evaluated again.
    pub tick_interval: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_servers: 40_000,
            max_sources: 16,
            absence_timeout: 60_000,
            max_gone_ratio_per_s: 0.02,
            max_unanswered: 2,
            distrust_ratio: 0.25,
            distrust_min_servers: 2,
            distrust_window: 30_000,
            trust_recovery_delay: 10_000,
            max_distrust_time: 600_000,
            flap_half_life: 60_000,
            flap_suppress_threshold: 3.0,
            flap_reuse_threshold: 1.0,
            tick_interval: 500,
        }
    }
}
