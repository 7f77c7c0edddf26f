//! What a receiver of a duty's work does with the numbers that come with it.

use crate::messages::Number;

/// Lets work pass in the order of holdings: once a newer holder was heard, an older one never passes again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceGuard {
    newest: Number,
}

impl FenceGuard {
    /// Whether work with this number may be done. Must be kept on disk with the work where the receiver
    /// may be restarted.
    pub fn admit(&mut self, fence: Number) -> bool {
        let passes = fence >= self.newest;
        self.newest = self.newest.max(fence);
        passes
    }

    pub fn highest_fence(&self) -> Number {
        self.newest
    }
}
