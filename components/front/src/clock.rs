//! Time of this process.

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds of a clock that never steps and that counts suspension, so that leases and
/// ages are old after a suspension and not as young as before it.
pub fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// As [`now_ms`], in microseconds.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}
