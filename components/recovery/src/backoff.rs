//! Time between attempts to connect.

const FIRST_MS: u64 = 20;
const LONGEST_MS: u64 = 1_000;

/// Pause before the next attempt after `failures` failed ones: doubles up to a second,
/// spread by `random` over its upper half so that many callers do not come back at once.
pub fn reconnect_after_ms(failures: u32, random: u64) -> u64 {
    let doublings = failures.saturating_sub(1).min(16);
    let full_ms = (FIRST_MS << doublings).min(LONGEST_MS);
    let half_ms = full_ms / 2;
    half_ms + random % (full_ms - half_ms + 1)
}
