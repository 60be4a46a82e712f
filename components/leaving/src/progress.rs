//! Counts the work in progress; each piece of work holds a guard.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counter of the work in progress; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct WorkCounter {
    count: Arc<AtomicUsize>,
}

impl WorkCounter {
    /// Counts a piece of work until the guard is dropped.
    pub fn begin(&self) -> WorkGuard {
        // SeqCst: `Drain::admit` reads the drain's state after this increment.
        self.count.fetch_add(1, Ordering::SeqCst);
        WorkGuard {
            count: Arc::clone(&self.count),
        }
    }

    /// Number of pieces of work in progress.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

/// A piece of work in progress; dropping it ends the work.
#[derive(Debug)]
pub struct WorkGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}
