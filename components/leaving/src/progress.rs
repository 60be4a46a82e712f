//! Count of the work in progress, held by guards.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts the work in progress; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct WorkCounter {
    count: Arc<AtomicUsize>,
}

impl WorkCounter {
    /// Counts one more piece of work until the guard is dropped.
    pub fn begin(&self) -> WorkGuard {
        // SeqCst: see `Drain::admit`, which reads the drain's state after this.
        self.count.fetch_add(1, Ordering::SeqCst);
        WorkGuard {
            count: Arc::clone(&self.count),
        }
    }

    /// Pieces of work in progress.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

/// One piece of work in progress; ends when dropped.
#[derive(Debug)]
pub struct WorkGuard {
    count: Arc<AtomicUsize>,
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}
