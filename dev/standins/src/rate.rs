//! Limit on the requests per second.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(1);

/// `Retry-After` of a request refused by the rate limit.
pub(crate) const RETRY_AFTER_S: u64 = 1;

struct Window {
    started_at: Instant,
    count: u64,
}

/// Counts requests in consecutive windows of one second.
pub(crate) struct RateLimiter {
    window: Mutex<Window>,
}

impl RateLimiter {
    pub(crate) fn new() -> RateLimiter {
        let window = Window {
            started_at: Instant::now(),
            count: 0,
        };
        RateLimiter {
            window: Mutex::new(window),
        }
    }

    /// Counts a request and returns whether it is within the limit of `per_s`.
    pub(crate) fn try_acquire(&self, per_s: u64) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.started_at.elapsed() >= WINDOW {
            window.started_at = Instant::now();
            window.count = 0;
        }
        window.count += 1;
        window.count <= per_s
    }
}
