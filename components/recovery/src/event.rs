//! What the caller of a call learns.

use bytes::Bytes;
use derive::value;
use protocol::Head;
use types::Failure;

/// What the caller of a call learns, in order; parts are never doubled and never missing.
#[value]
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

impl CallEvent {
    /// Whether nothing comes after it.
    pub fn is_last(&self) -> bool {
        matches!(self, CallEvent::End | CallEvent::Failed(_))
    }
}
