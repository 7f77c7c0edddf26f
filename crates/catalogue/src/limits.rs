//! Every size, share and time of the catalogue.

use crate::types::Millis;

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Servers that are remembered. Past it the one that nobody has listed for longest is forgotten;
    /// where all are listed, a new one is refused, which is counted.
    pub max_servers: usize,
    /// Sources at one time, those that were taken away and still hold servers included.
    pub max_sources: usize,
    /// A server that no source lists is gone after this, though it answers.
    pub absence_timeout: Millis,
    /// The share of all servers that turn gone by that in a second, one at least: no wave of moves.
    pub max_gone_ratio_per_s: f64,
    /// Probes or lines in a row that a suspect leaves unanswered until it is gone.
    pub max_unanswered: u32,
    /// A source is doubted when more than such a share of its servers, and no fewer than so many, turned
    /// suspect within the window.
    pub distrust_ratio: f64,
    pub distrust_min_servers: usize,
    pub distrust_window: Millis,
    /// It is trusted again once less than half that share has been suspect for so long, or at the latest
    /// after the second time.
    pub trust_recovery_delay: Millis,
    pub max_distrust_time: Millis,
    /// Each time a server turns suspect costs it one, which fades by half in such a time; from the
    /// first bound on it stays suspect until it is below the second.
    pub flap_half_life: Millis,
    pub flap_suppress_threshold: f64,
    pub flap_reuse_threshold: f64,
    /// How often what depends on time is looked at again.
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
