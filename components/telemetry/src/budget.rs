//! Budget of log lines: so many a second, the rest counted.

use std::sync::atomic::{AtomicU64, Ordering};

/// Length of a window, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    /// It may, and so many were left out in the windows before and not reported yet.
    Written {
        /// Lines left out.
        left_out: u64,
    },
    /// It is left out and counted.
    LeftOut,
}

/// Lines of one process. Callers on several threads may race at the turn of a window, which
/// lets a few lines more through or counts a few in the next one.
#[derive(Debug)]
pub struct LineBudget {
    lines_per_s: u64,
    window: AtomicU64,
    written: AtomicU64,
    left_out: AtomicU64,
}

impl LineBudget {
    /// So many lines a second.
    pub fn new(lines_per_s: u64) -> Self {
        Self {
            lines_per_s,
            window: AtomicU64::new(0),
            written: AtomicU64::new(0),
            left_out: AtomicU64::new(0),
        }
    }

    /// Asks for a line at a time, in milliseconds of any clock that does not go back.
    pub fn ask(&self, now_ms: u64) -> Line {
        let window = now_ms / WINDOW_MS;
        let turned = self.window.swap(window, Ordering::Relaxed) != window;
        if turned {
            self.written.store(0, Ordering::Relaxed);
        }
        if self.written.fetch_add(1, Ordering::Relaxed) < self.lines_per_s {
            let left_out = match turned {
                true => self.left_out.swap(0, Ordering::Relaxed),
                false => 0,
            };
            return Line::Written { left_out };
        }
        self.left_out.fetch_add(1, Ordering::Relaxed);
        Line::LeftOut
    }
}
