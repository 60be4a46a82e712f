//! How far a frame that must not be guessed about has come in the writer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

const QUEUED: u8 = 0;
const WRITING: u8 = 1;
const WRITTEN: u8 = 2;
const WITHDRAWN: u8 = 3;

/// Shared by the task that queued a frame and the task that writes it.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteMark(Arc<AtomicU8>);

impl WriteMark {
    /// Called by the writer before it touches the frame; false when the frame was taken
    /// back and must not be written.
    pub fn begin(&self) -> bool {
        self.step(QUEUED, WRITING)
    }

    /// Called by the writer when the kernel has taken the frame's last byte.
    pub fn written(&self) {
        self.0.store(WRITTEN, Ordering::Release);
    }

    /// Takes the frame back; false when the writer has begun it.
    pub fn withdraw(&self) -> bool {
        self.step(QUEUED, WITHDRAWN)
    }

    /// Whether the whole frame was written; final once the writer's task has ended.
    pub fn is_written(&self) -> bool {
        self.0.load(Ordering::Acquire) == WRITTEN
    }

    fn step(&self, from: u8, to: u8) -> bool {
        let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
        self.0.compare_exchange(from, to, success, failure).is_ok()
    }
}
