//! Progress of a frame through the write queue.
//!
//! A call whose request was not written is known not to have run, so the sender of a request
//! must know whether the frame was written completely.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

const QUEUED: u8 = 0;
const WRITING: u8 = 1;
const WRITTEN: u8 = 2;
const WITHDRAWN: u8 = 3;

/// Progress of one frame, shared by the task that queued the frame and the task that writes it.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteProgress(Arc<AtomicU8>);

impl WriteProgress {
    /// Called by the writer before it writes the frame. Returns false if the frame was
    /// withdrawn and must not be written.
    pub fn try_begin(&self) -> bool {
        self.transition(QUEUED, WRITING)
    }

    /// Called by the writer after the kernel has accepted the last byte of the frame.
    pub fn mark_written(&self) {
        self.0.store(WRITTEN, Ordering::Release);
    }

    /// Withdraws the frame. Returns false if the writer has already begun to write it.
    pub fn try_withdraw(&self) -> bool {
        self.transition(QUEUED, WITHDRAWN)
    }

    /// Whether the frame was written completely. The result is final once the task that
    /// writes has ended.
    pub fn is_written(&self) -> bool {
        self.0.load(Ordering::Acquire) == WRITTEN
    }

    fn transition(&self, from: u8, to: u8) -> bool {
        let (success, failure) = (Ordering::AcqRel, Ordering::Acquire);
        self.0.compare_exchange(from, to, success, failure).is_ok()
    }
}
