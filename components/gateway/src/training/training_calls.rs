//! Training calls of a customer that an entry has in progress. A waiting fetch lasts for
//! seconds and holds a call of the home's table; without a bound, one trainer's fetches
//! would keep out everybody's calls among entries.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use limits::retry_after_ms;
use types::{Cause, Failure};

/// Training calls of one customer that one entry has in progress at most.
const CALLS_MAX: u32 = 64;
/// When a refused trainer may come back, before the spread.
const RETRY_AFTER_MS: u64 = 500;

/// Training calls of one customer in progress; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct TrainingCalls(Arc<AtomicU32>);

impl TrainingCalls {
    /// Takes a place until the guard is dropped.
    pub fn begin(&self, random: u64) -> Result<TrainingCallGuard, Failure> {
        let increment = |count: u32| (count < CALLS_MAX).then_some(count + 1);
        let begun = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment);
        let refused = |_| {
            let after_ms = retry_after_ms(RETRY_AFTER_MS, random);
            Failure::not_run(Cause::CustomerLimit).retry_after(after_ms)
        };
        begun
            .map(|_| TrainingCallGuard(self.clone()))
            .map_err(refused)
    }
}

/// One training call in progress.
#[derive(Debug)]
pub struct TrainingCallGuard(TrainingCalls);

impl Drop for TrainingCallGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
