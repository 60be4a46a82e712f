//! The monotonic clock that all tasks of the process share.

use std::sync::LazyLock;

use tokio::time::Instant;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Milliseconds since the clock was first read in this process.
pub fn now_ms() -> u64 {
    START.elapsed().as_millis() as u64
}
