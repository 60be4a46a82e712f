//! The caller's handle of one call.

use bytes::Bytes;
use protocol::Head;
use types::{CallId, Failure};

/// What the caller of a call learns, in order; parts are never doubled and never missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallEvent {
    /// The callee has taken the call in.
    Accepted,
    /// The callee hands the call to its endpoint; from here on it may have run.
    Started,
    /// Status and headers of the answer.
    Head(Head),
    /// The next bytes of the answer.
    Chunk(Bytes),
    /// The answer is whole. Last event.
    End,
    /// There is no whole answer. Last event.
    Failed(Failure),
}

/// A call in progress. Dropped before its last event, it is cancelled at the callee.
#[derive(Debug)]
pub struct Call {
    id: CallId,
}

impl Call {
    /// Identity of the call.
    pub fn id(&self) -> CallId {
        self.id
    }

    /// Waits for the next event. After the last one ([`CallEvent::End`] or
    /// [`CallEvent::Failed`]) it gives that one again.
    pub async fn next(&mut self) -> CallEvent {
        std::future::pending().await
    }
}
