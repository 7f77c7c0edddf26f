//! What a receiver of a duty's work does with the numbers that come with it.

use crate::words::Number;

/// Lets work pass in the order of holdings: once a newer holder was heard, an older one never passes again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gate {
    newest: Number,
}

impl Gate {
    /// Whether work with this number may be done. Must be kept on disk with the work where the receiver
    /// may be restarted.
    pub fn pass(&mut self, fence: Number) -> bool {
        let passes = fence >= self.newest;
        self.newest = self.newest.max(fence);
        passes
    }

    pub fn newest(&self) -> Number {
        self.newest
    }
}
