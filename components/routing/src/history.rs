//! Recent values of a counter. They tell how much work this entry itself had outstanding at the
//! time when a load report was taken, which arrives later.
//!
//! Time is divided into steps and each step has a slot in a ring buffer. A slot holds the last
//! value recorded in its step; a step without a change has the value of the step before it. The
//! slots are atomics, and a reader may see some of them before and some after an update; that
//! makes one load estimate inaccurate and has no effect on correctness.

use std::array;
use std::sync::atomic::{AtomicU64, Ordering};

const STEP_MS: u64 = 128;
/// Steps in the ring buffer: about eight seconds.
const STEPS: usize = 64;
const VALUE_BITS: u32 = 32;

/// Values of one counter over the last [`STEPS`] steps.
#[derive(Debug)]
pub(crate) struct History {
    /// Step number plus one in the upper half, value in the lower half; zero if never written.
    slots: [AtomicU64; STEPS],
}

impl History {
    pub(crate) fn new() -> Self {
        Self {
            slots: array::from_fn(|_| AtomicU64::new(0)),
        }
    }

    /// Records the value at `now_ms`, replacing an earlier value of the same step.
    pub(crate) fn record(&self, now_ms: u64, value: u32) {
        let step = now_ms / STEP_MS;
        let stored = ((step + 1) << VALUE_BITS) | u64::from(value);
        if let Some(slot) = self.slots.get(step as usize % STEPS) {
            slot.store(stored, Ordering::Relaxed);
        }
    }

    /// The value at `at_ms`, taken from the newest recorded step that is not later; zero if there
    /// is none.
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
