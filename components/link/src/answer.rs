//! Callee side: what a handler gets for each call.

use bytes::Bytes;
use protocol::{Head, Open};
use types::{CallId, Failure, NodeId};

/// A call that has arrived.
#[derive(Debug)]
pub struct Incoming {
    /// The call.
    pub open: Open,
    /// The process that calls.
    pub from: NodeId,
    /// Takes the answer.
    pub answer: Answer,
}

/// Takes the answer to one call. Dropped before [`Answer::end`] or [`Answer::fail`], it
/// fails the call: not run when [`Answer::started`] was never called, unknown when it
/// was, failed when part of the answer was given.
#[derive(Debug)]
pub struct Answer {
    id: CallId,
}

impl Answer {
    /// Identity of the call.
    pub fn id(&self) -> CallId {
        self.id
    }

    /// The call is taken in.
    pub fn accepted(&self) {}

    /// The call is handed to the endpoint now. Must come before the first byte leaves for
    /// the endpoint.
    pub fn started(&self) {}

    /// Status and headers of the answer.
    pub async fn head(&self, head: Head) {
        let _ = head;
    }

    /// The next bytes of the answer; waits while the caller's window is full. Returns at
    /// once when the call was cancelled.
    pub async fn chunk(&self, bytes: Bytes) {
        let _ = bytes;
    }

    /// The answer is whole.
    pub fn end(&self) {}

    /// There is no whole answer.
    pub fn fail(&self, failure: Failure) {
        let _ = failure;
    }

    /// Waits until nobody wants the answer any more.
    pub async fn cancelled(&self) {
        std::future::pending().await
    }
}
