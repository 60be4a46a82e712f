//! Budget of log lines: so many a second, the rest counted.

use std::sync::atomic::{AtomicU64, Ordering};

/// Length of a window, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineDecision {
    /// It may, and so many were left out in the windows before and not reported yet.
    Write {
        /// Lines left out.
        suppressed: u64,
    },
    /// It is left out and counted.
    Suppress,
}

/// Lines of one process. Callers on several threads may race at the turn of a window, which
/// lets a few lines more through or counts a few in the next one.
#[derive(Debug)]
pub struct LineBudget {
    lines_per_s: u64,
    window: AtomicU64,
    written: AtomicU64,
    suppressed: AtomicU64,
}

impl LineBudget {
    /// So many lines a second.
    pub fn new(lines_per_s: u64) -> Self {
        Self {
            lines_per_s,
            window: AtomicU64::new(0),
            written: AtomicU64::new(0),
            suppressed: AtomicU64::new(0),
        }
    }

    /// Asks for a line at a time, in milliseconds of any clock that does not go back.
    pub fn try_take(&self, now_ms: u64) -> LineDecision {
        let window = now_ms / WINDOW_MS;
        let turned = self.window.swap(window, Ordering::Relaxed) != window;
        if turned {
            self.written.store(0, Ordering::Relaxed);
        }
        if self.written.fetch_add(1, Ordering::Relaxed) < self.lines_per_s {
            let suppressed = match turned {
                true => self.suppressed.swap(0, Ordering::Relaxed),
                false => 0,
            };
            return LineDecision::Write { suppressed };
        }
        self.suppressed.fetch_add(1, Ordering::Relaxed);
        LineDecision::Suppress
    }
}
