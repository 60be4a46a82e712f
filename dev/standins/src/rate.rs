//! A limit of so many requests in each second.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(1);

/// Time to come back that a refusal over the rate states.
pub(crate) const RETRY_AFTER_S: u64 = 1;

struct Window {
    since: Instant,
    taken: u64,
}

/// Counts requests in windows of a second.
pub(crate) struct Rate {
    window: Mutex<Window>,
}

impl Rate {
    pub(crate) fn new() -> Rate {
        let window = Window {
            since: Instant::now(),
            taken: 0,
        };
        Rate {
            window: Mutex::new(window),
        }
    }

    /// Whether one more request is within `per_s`.
    pub(crate) fn take(&self, per_s: u64) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.since.elapsed() >= WINDOW {
            window.since = Instant::now();
            window.taken = 0;
        }
        window.taken += 1;
        window.taken <= per_s
    }
}
