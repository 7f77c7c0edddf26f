//! Seeded numbers: the same seed gives the same script on every machine.

/// SplitMix64.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from one to another, both included.
    pub fn range_inclusive(&mut self, from: u64, to: u64) -> u64 {
        from + self.next() % (to - from + 1)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.range_inclusive(1, 100) <= percent
    }

    pub fn pick<T: Copy>(&mut self, from: &[T]) -> T {
        from[self.range_inclusive(0, from.len() as u64 - 1) as usize]
    }
}
