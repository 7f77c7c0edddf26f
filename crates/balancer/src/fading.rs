//! A sum that forgets: what is added fades with a time constant.

use crate::api::Secs;

#[derive(Clone, Copy, Debug, Default)]
pub struct Fading {
    sum: f64,
    at: Secs,
}

impl Fading {
    /// The sum at `now`, when what was added fades by a factor e in `span`.
    pub fn get(&self, now: Secs, span: Secs) -> f64 {
        self.sum * ((self.at - now).min(0.0) / span).exp()
    }

    pub fn add(&mut self, now: Secs, span: Secs, amount: f64) {
        self.sum = self.get(now, span) + amount;
        self.at = now;
    }
}
