//! Pseudo-random numbers (splitmix64), the same for one seed at every release.

/// A sequence of draws.
#[derive(Clone, Debug)]
pub struct Draws(u64);

impl Draws {
    /// The sequence of a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// The next draw.
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A draw below a bound.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }
}
