//! Delay between attempts to connect.

const FIRST_DELAY_MS: u64 = 20;
const DELAY_MS_MAX: u64 = 1_000;

/// Delay before the next attempt to connect after `failures` consecutive failures.
/// The delay doubles with each failure, up to a second. `random` adds jitter over the upper
/// half of the delay, so that many callers do not reconnect at the same time.
pub fn reconnect_after_ms(failures: u32, random: u64) -> u64 {
    let doublings = failures.saturating_sub(1).min(16);
    let full_ms = (FIRST_DELAY_MS << doublings).min(DELAY_MS_MAX);
    let half_ms = full_ms / 2;
    half_ms + random % (full_ms - half_ms + 1)
}
