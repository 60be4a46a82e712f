//! The monotonic clock of one process, in milliseconds.

use std::time::Duration;

use tokio::time::Instant;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn at(&self, at_ms: u64) -> Instant {
        self.start + Duration::from_millis(at_ms)
    }
}
