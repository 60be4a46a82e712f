//! Delay after consecutive failures.

use derive::key;

/// Maximum number of doublings; keeps the shift below the width of a `u64`.
const DOUBLINGS_MAX: u32 = 16;
/// Callers pass random numbers in thousandths.
pub(crate) const PERMILLE: u64 = 1_000;

/// Exponential backoff with jitter.
#[key]
pub struct Backoff {
    /// Upper bound of the delay after the first failure, in milliseconds. Doubles with each
    /// further failure.
    pub first_ms: u64,
    /// Upper bound of every delay, in milliseconds.
    pub max_ms: u64,
}

impl Backoff {
    /// Delay after `failures` consecutive failures, between half of the bound and the bound.
    /// `random_permille` (0 to 999) selects the delay in that range, so that replicas that failed
    /// at the same time do not retry at the same time.
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
