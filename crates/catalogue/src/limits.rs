//! Every size, share and time of the catalogue.

use crate::words::Millis;

#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Servers that are remembered. Past it the one that nobody has listed for longest is forgotten;
    /// where all are listed, a new one is refused, which is counted.
    pub servers: usize,
    /// Sources at one time, those that were taken away and still hold servers included.
    pub sources: usize,
    /// A server that no source lists is gone after this, though it answers.
    pub absent_for: Millis,
    /// The share of all servers that turn gone by that in a second, one at least: no wave of moves.
    pub gone_share: f64,
    /// Probes or lines in a row that a suspect leaves unanswered until it is gone.
    pub unanswered: u32,
    /// A source is doubted when more than such a share of its servers, and no fewer than so many, turned
    /// suspect within the window.
    pub doubt_share: f64,
    pub doubt_least: usize,
    pub doubt_window: Millis,
    /// It is trusted again once less than half that share has been suspect for so long, or at the latest
    /// after the second time.
    pub trust_after: Millis,
    pub doubt_most: Millis,
    /// Each time a server turns suspect costs it one, which fades by half in such a time; from the
    /// first bound on it stays suspect until it is below the second.
    pub flap_half: Millis,
    pub flap_damped: f64,
    pub flap_free: f64,
    /// How often what depends on time is looked at again.
    pub tick: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            servers: 40_000,
            sources: 16,
            absent_for: 60_000,
            gone_share: 0.02,
            unanswered: 2,
            doubt_share: 0.25,
            doubt_least: 2,
            doubt_window: 30_000,
            trust_after: 10_000,
            doubt_most: 600_000,
            flap_half: 60_000,
            flap_damped: 3.0,
            flap_free: 1.0,
            tick: 500,
        }
    }
}
