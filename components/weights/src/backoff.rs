//! Waiting longer after each failure in a row.

use derive::key;

const DOUBLINGS_MAX: u32 = 16;
/// Random numbers are given in thousandths.
pub(crate) const PERMILLE: u64 = 1_000;

/// Exponential backoff with jitter.
#[key]
pub struct Backoff {
    /// Longest wait after the first failure.
    pub first_ms: u64,
    /// Longest wait at all.
    pub max_ms: u64,
}

impl Backoff {
    /// Wait after `failures` in a row, between half and the whole of the bound.
    /// `random_permille` (0 to 999) spreads replicas that failed at the same time.
    pub fn wait_ms(&self, failures: u32, random_permille: u64) -> u64 {
        if failures == 0 {
            return 0;
        }
        let doublings = (failures - 1).min(DOUBLINGS_MAX);
        let bound_ms = self
            .first_ms
            .saturating_mul(1 << doublings)
            .min(self.max_ms);
        bound_ms / 2 + bound_ms / 2 * random_permille.min(PERMILLE) / PERMILLE
    }
}
