//! What went wrong between us and an outside system.
//!
//! The one question that every caller has is whether the request may have taken
//! effect; [`PlatformError::may_have_taken_effect`] answers it.

use derive::{key, value};
use quick_error::quick_error;

/// Why no byte of a request was written.
#[key]
pub enum NotSentCause {
    /// The connection was refused or could not be made.
    Unreachable,
    /// The connection was not made in time.
    TimedOut,
    /// The deadline was over before anything was written.
    DeadlinePassed,
    /// The request cannot be put into HTTP: its method, path or a header is malformed.
    BadRequest,
}

/// How an answer was lost after the request was, or may have been, written.
#[key]
pub enum AnswerLoss {
    /// The connection closed before the head of the answer was complete. `reused` says
    /// that it had carried an earlier exchange, so the other side may have closed it as
    /// idle.
    ClosedBeforeAnswer {
        /// Whether the connection had carried an earlier exchange.
        reused: bool,
    },
    /// The connection closed inside the answer's body.
    ClosedMidAnswer,
    /// The answer ended with neither a stated length nor a chunked end, so nobody can
    /// tell whether it is whole.
    NoStatedEnd,
    /// The deadline of the exchange passed.
    DeadlinePassed,
    /// No byte of a begun answer came for the longest silence allowed.
    Silent,
}

/// Which part of an answer is malformed.
#[key]
pub enum MalformedPart {
    /// The bytes are not HTTP.
    Http,
    /// A header's value is not text.
    Header,
    /// The body is not the JSON that this answer must be.
    Json,
}

quick_error! {
    /// Failure of one exchange with an outside system.
    #[value]
    pub enum PlatformError {
        /// No byte of the request was written.
        NotSent(fault: NotSentCause) {
            display("not sent: {:?}", fault)
        }
        /// The other side answered with an HTTP status that is no success, and perhaps
        /// with a time to come back.
        #[allow(missing_docs)]
        Refused { status: u16, retry_after_ms: Option<u32> } {
            display("refused with status {}", status)
        }
        /// The request was or may have been written, and its answer is lost or late.
        OutcomeUnknown(loss: AnswerLoss) {
            display("sent, answer lost: {:?}", loss)
        }
        /// The answer is not what the contract says.
        Malformed(part: MalformedPart) {
            display("malformed answer: {:?}", part)
        }
        /// The answer is over its limit.
        TooLarge(limit_bytes: usize) {
            display("the answer has more than {} bytes", limit_bytes)
        }
    }
}

impl PlatformError {
    /// Whether the request may have taken effect on the other side.
    ///
    /// A refusal has none, but for the statuses that a server gives after it began
    /// (500) or in place of one behind it (502, 504).
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            PlatformError::NotSent(_) => false,
            PlatformError::Refused { status, .. } => matches!(status, 500 | 502 | 504),
            PlatformError::OutcomeUnknown(_)
            | PlatformError::Malformed(_)
            | PlatformError::TooLarge(_) => true,
        }
    }
}
