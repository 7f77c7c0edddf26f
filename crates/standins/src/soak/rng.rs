//! Seeded random numbers: the same seed gives the same script on every machine.

/// A SplitMix64 generator.
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// A generator with this seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Draws a number from `from` to `to`, both included.
    pub fn range_inclusive(&mut self, from: u64, to: u64) -> u64 {
        from + self.next_u64() % (to - from + 1)
    }

    /// Draws true with this probability in per cent.
    pub fn chance(&mut self, percent: u64) -> bool {
        self.range_inclusive(1, 100) <= percent
    }

    /// Draws one of the values.
    pub fn pick<T: Copy>(&mut self, values: &[T]) -> T {
        values[self.range_inclusive(0, values.len() as u64 - 1) as usize]
    }
}
