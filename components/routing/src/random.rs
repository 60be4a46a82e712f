//! A small pseudorandom number generator, seeded with one random number per call.

/// SplitMix64 generator; not cryptographically secure.
#[derive(Clone, Debug)]
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// A generator with `random` as its seed.
    pub fn new(random: u64) -> Self {
        Self(random)
    }

    /// The next 64 random bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    /// A random number below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        ((u128::from(self.next_u64()) * bound as u128) >> u64::BITS) as usize
    }
}

/// SplitMix64's finalizer: every bit of `number` affects all bits of the result.
pub(crate) fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
