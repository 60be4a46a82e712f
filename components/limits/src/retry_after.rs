//! When a refused caller may come back.

/// Least spread, in milliseconds.
const SPREAD_MIN_MS: u64 = 250;
const WAIT_MAX_MS: u64 = 60_000;

/// `wait_ms` and up to half as much again, at least [`SPREAD_MIN_MS`], by chance.
///
/// Callers refused together would otherwise come back together and be refused again;
/// the spread grows with the wait because more of them gather in a longer one.
pub fn retry_after_ms(wait_ms: u64, random: u64) -> u32 {
    let wait_ms = wait_ms.min(WAIT_MAX_MS);
    let spread_ms = (wait_ms / 2).max(SPREAD_MIN_MS);
    let extra_ms = (u128::from(random) * u128::from(spread_ms)) >> u64::BITS;
    (wait_ms + extra_ms as u64) as u32
}
