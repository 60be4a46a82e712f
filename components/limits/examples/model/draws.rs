//! Random numbers for the models.

/// Small generator for the models: splitmix64.
pub struct Draws(pub u64);

impl Draws {
    pub fn bits(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.bits() % bound.max(1)
    }

    pub fn unit(&mut self) -> f64 {
        self.bits() as f64 / u64::MAX as f64
    }
}
