//! Rate limit of log lines: a fixed number per second is written, the others are only counted.

use std::sync::atomic::{AtomicU64, Ordering};

/// Length of the windows in which lines are counted.
const WINDOW_MS: u64 = 1_000;

/// Decision of the rate limit about one line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// The line is written.
    Write {
        /// Lines suppressed in earlier windows and not yet reported. Above 0 only for the first
        /// line of a window, which reports them.
        suppressed: u64,
    },
    /// The line is not written, only counted.
    Suppress,
}

/// Rate limit of the log lines of one process. Threads may race when a window starts; a few lines
/// more may then be written, or a few lines may be counted in the next window.
#[derive(Debug)]
pub struct LineBudget {
    lines_per_s: u64,
    window: AtomicU64,
    written: AtomicU64,
    suppressed: AtomicU64,
}

impl LineBudget {
    /// Creates a budget of `lines_per_s` lines per second.
    pub fn new(lines_per_s: u64) -> Self {
        Self {
            lines_per_s,
            window: AtomicU64::new(0),
            written: AtomicU64::new(0),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Decides whether a line may be written. `now_ms` is the time of any monotonic clock.
    pub fn try_take(&self, now_ms: u64) -> LineDecision {
        let window = now_ms / WINDOW_MS;
        let is_new_window = self.window.swap(window, Ordering::Relaxed) != window;
        if is_new_window {
            self.written.store(0, Ordering::Relaxed);
        }
        if self.written.fetch_add(1, Ordering::Relaxed) < self.lines_per_s {
            let suppressed = match is_new_window {
                true => self.suppressed.swap(0, Ordering::Relaxed),
                false => 0,
            };
            return LineDecision::Write { suppressed };
        }
        self.suppressed.fetch_add(1, Ordering::Relaxed);
        LineDecision::Suppress
    }
}
