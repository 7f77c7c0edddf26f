//! Fencing at the receiver of a duty's work: it rejects work of holders that have been replaced.

use crate::messages::Number;

/// Admits work by its fencing number: after work of a newer holder, work of an older one is rejected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceGuard {
    highest: Number,
}

impl FenceGuard {
    /// Returns whether work with this fencing number may be done, and records the number. If the receiver may be
    /// restarted, the guard must be stored on disk together with the work.
    pub fn admit(&mut self, fence: Number) -> bool {
        let is_admitted = fence >= self.highest;
        self.highest = self.highest.max(fence);
        is_admitted
    }

    /// The highest fencing number seen so far.
    pub fn highest_fence(&self) -> Number {
        self.highest
    }
}
