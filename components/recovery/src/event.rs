//! Events of a call that are delivered to its caller.

use bytes::Bytes;
use derive::value;
use protocol::Head;
use types::Failure;

/// Event of a call, delivered to the caller in this order. Parts of the response are
/// delivered without duplicates and without gaps.
#[value]
pub enum CallEvent {
    /// The callee accepted the call.
    Accepted,
    /// The callee passes the call to its endpoint; from now on the call may have run.
    Started,
    /// Status and headers of the response.
    Head(Head),
    /// The next bytes of the response's body.
    Chunk(Bytes),
    /// The response is complete. Last event.
    End,
    /// The call failed without a complete response. Last event.
    Failed(Failure),
}

impl CallEvent {
    /// Whether no event follows this one.
    pub fn is_last(&self) -> bool {
        matches!(self, CallEvent::End | CallEvent::Failed(_))
    }
}
