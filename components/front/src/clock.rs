//! The monotonic clock of this process, and the time of day.

use std::time::{SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Milliseconds of `CLOCK_BOOTTIME`, which is monotonic and includes time in suspension. Leases
/// and cached data therefore age while the VM is suspended.
pub fn now_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}

/// The clock of [`now_ms`], in microseconds.
pub fn now_us() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec as u64 * 1_000_000 + now.tv_nsec as u64 / 1_000
}

/// Milliseconds of UTC since the Unix epoch, by the clock of this machine.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
