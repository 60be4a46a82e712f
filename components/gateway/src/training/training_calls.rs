//! Limits the training calls that a customer has in progress at an entry. A waiting fetch lasts for
//! seconds and occupies a slot in the call table of the step's home. Without a limit, one trainer's
//! fetches could block the calls of all customers among the entries.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use limits::retry_after_ms;
use types::{Cause, Failure};

/// Maximum number of training calls of one customer in progress at one entry.
const CALLS_MAX: u32 = 64;
/// Wait that is suggested to a refused trainer, before jitter is added.
const RETRY_AFTER_MS: u64 = 500;

/// Number of a customer's training calls in progress; clones share the counter.
#[derive(Clone, Debug, Default)]
pub struct TrainingCalls(Arc<AtomicU32>);

impl TrainingCalls {
    /// Counts a call until the guard is dropped, or refuses it.
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

/// A training call in progress.
#[derive(Debug)]
pub struct TrainingCallGuard(TrainingCalls);

impl Drop for TrainingCallGuard {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}
