//! Answers in progress on a client's connection.
//!
//! An answer is work in progress from the arrival of its request until its last byte has been
//! passed to the socket, so that a process that shuts down does not cut it. The body of the answer
//! ends before that: its last bytes may still be in the buffer of the connection.

use std::sync::{Arc, Mutex};

use leaving::{WorkCounter, WorkGuard};

use crate::state::lock;

/// Answers of one connection whose bodies have ended, with bytes that may still be buffered.
#[derive(Debug, Default)]
pub struct BufferedAnswers(Mutex<Vec<WorkGuard>>);

impl BufferedAnswers {
    /// Ends these answers. Called when the connection's buffer is empty.
    pub fn end(&self) {
        lock(&self.0).clear();
    }
}

/// Counts an answer as work in progress. Dropped when the body ends, it leaves the count to the
/// connection, which ends the answer with its next flush, or when it is closed.
#[derive(Debug)]
pub struct AnswerGuard {
    working: Option<WorkGuard>,
    buffered: Arc<BufferedAnswers>,
}

impl AnswerGuard {
    /// Starts the count of an answer on the connection of `buffered`.
    pub fn begin(work: &WorkCounter, buffered: &Arc<BufferedAnswers>) -> Self {
        Self {
            working: Some(work.begin()),
            buffered: Arc::clone(buffered),
        }
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        lock(&self.buffered.0).extend(self.working.take());
    }
}
