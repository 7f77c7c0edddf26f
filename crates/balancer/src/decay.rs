//! A sum with exponential decay.

use crate::api::Seconds;

/// A sum in which every amount decays exponentially from the moment when it is added.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    updated_at: Seconds,
}

impl DecayingSum {
    /// The sum at `now`, where amounts decay by a factor of e in `time_constant` seconds.
    pub fn value_at(&self, now: Seconds, time_constant: Seconds) -> f64 {
        self.sum * ((self.updated_at - now).min(0.0) / time_constant).exp()
    }

    /// Adds `amount` at `now`, after the decay of the sum so far with `time_constant` in seconds.
    pub fn add(&mut self, now: Seconds, time_constant: Seconds, amount: f64) {
        self.sum = self.value_at(now, time_constant) + amount;
        self.updated_at = now;
    }
}
