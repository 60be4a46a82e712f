//! Time after which a refused caller may retry.

/// Minimum spread of the retries.
const SPREAD_MIN_MS: u64 = 250;
const WAIT_MAX_MS: u64 = 60_000;

/// Adds random jitter to a wait: up to half of `wait_ms` or [`SPREAD_MIN_MS`], whichever is more.
///
/// Without jitter, callers that were refused at the same time would retry at the same time and be
/// refused again. The spread grows with the wait because more callers are refused during a longer
/// wait.
pub fn retry_after_ms(wait_ms: u64, random: u64) -> u32 {
    let wait_ms = wait_ms.min(WAIT_MAX_MS);
    let spread_ms = (wait_ms / 2).max(SPREAD_MIN_MS);
    let extra_ms = (u128::from(random) * u128::from(spread_ms)) >> u64::BITS;
    (wait_ms + extra_ms as u64) as u32
}
