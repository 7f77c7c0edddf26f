//! A sum that forgets: what is added fades with a time constant.

use crate::api::Seconds;

#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingSum {
    sum: f64,
    at: Seconds,
}

impl DecayingSum {
    /// The sum at `now`, when what was added fades by a factor e in `span`.
    pub fn value_at(&self, now: Seconds, span: Seconds) -> f64 {
        self.sum * ((self.at - now).min(0.0) / span).exp()
    }

    pub fn add(&mut self, now: Seconds, span: Seconds, amount: f64) {
        self.sum = self.value_at(now, span) + amount;
        self.at = now;
    }
}
