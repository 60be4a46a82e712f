//! Recent values of a counter, so that a late report can be compared with what this
//! entry itself had outstanding when the report was taken.
//!
//! The first change in each step of time writes that step's slot; a step with no
//! change has the value of the step before it. Slots are atomics: a torn view costs
//! one estimate, never a promise.

use std::array;
use std::sync::atomic::{AtomicU64, Ordering};

/// Length of a step, in milliseconds.
const STEP_MS: u64 = 128;
/// Steps that are kept: about eight seconds.
const STEPS: usize = 64;
const VALUE_BITS: u32 = 32;

/// Values of one counter over the last steps.
#[derive(Debug)]
pub(crate) struct History {
    /// Step number plus one in the upper half, value in the lower; zero is unwritten.
    slots: [AtomicU64; STEPS],
}

impl History {
    pub(crate) fn new() -> Self {
        Self {
            slots: array::from_fn(|_| AtomicU64::new(0)),
        }
    }

    /// Notes the value at `now_ms`; a later note in the same step replaces it.
    pub(crate) fn record(&self, now_ms: u64, value: u32) {
        let step = now_ms / STEP_MS;
        let stored = ((step + 1) << VALUE_BITS) | u64::from(value);
        if let Some(slot) = self.slots.get(step as usize % STEPS) {
            slot.store(stored, Ordering::Relaxed);
        }
    }

    /// The value at `at_ms`: that of the newest step not after it, else zero.
    pub(crate) fn value_at(&self, at_ms: u64) -> u32 {
        let wanted_step = at_ms / STEP_MS + 1;
        let mut newest = 0;
        for slot in &self.slots {
            let stored = slot.load(Ordering::Relaxed);
            if stored >> VALUE_BITS <= wanted_step {
                newest = newest.max(stored);
            }
        }
        newest as u32
    }
}
