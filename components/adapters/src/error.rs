//! Errors of exchanges with an outside system.
//!
//! Every caller needs to know whether the request may have taken effect;
//! [`PlatformError::may_have_taken_effect`] tells it.

use derive::{key, value};
use quick_error::quick_error;

/// Why no byte of a request was written.
#[key]
pub enum NotSentCause {
    /// The connection was refused or failed.
    Unreachable,
    /// The connection was not established within the time limit.
    TimedOut,
    /// The deadline passed before anything was written.
    DeadlinePassed,
    /// The method, the path or a header of the request is not valid HTTP.
    BadRequest,
}

/// How an answer was lost after the request was, or may have been, written.
#[key]
pub enum AnswerLoss {
    /// The connection closed before the head of the answer was complete.
    ClosedBeforeAnswer {
        /// Whether the connection had carried an earlier exchange, so that the other side may have
        /// closed it as idle.
        reused: bool,
    },
    /// The connection closed inside the body of the answer.
    ClosedMidAnswer,
    /// The answer has neither a length nor a chunked encoding, so that its completeness can't be
    /// checked.
    NoStatedEnd,
    /// The deadline of the exchange passed.
    DeadlinePassed,
    /// The answer had begun, and no further byte arrived within the read timeout.
    Silent,
}

/// Which part of an answer is malformed.
#[key]
pub enum MalformedPart {
    /// The answer is not valid HTTP.
    Http,
    /// The value of a header is not UTF-8.
    Header,
    /// The body is not JSON of the expected form.
    Json,
}

quick_error! {
    /// Failure of one exchange with an outside system.
    #[value]
    pub enum PlatformError {
        /// No byte of the request was written.
        NotSent(cause: NotSentCause) {
            display("request not sent: {:?}", cause)
        }
        /// The other side answered with a status outside 200 to 299, and perhaps with the time
        /// after which to retry.
        #[allow(missing_docs)]
        Refused { status: u16, retry_after_ms: Option<u32> } {
            display("request refused with status {}", status)
        }
        /// The request was or may have been written, and no complete answer arrived in time.
        OutcomeUnknown(loss: AnswerLoss) {
            display("request sent, but no complete answer: {:?}", loss)
        }
        /// The answer violates the protocol.
        Malformed(part: MalformedPart) {
            display("malformed answer: {:?}", part)
        }
        /// The answer exceeds the size limit.
        TooLarge(limit_bytes: usize) {
            display("answer exceeds {} bytes", limit_bytes)
        }
    }
}

impl PlatformError {
    /// Whether the request may have taken effect on the other side.
    ///
    /// A refused request has no effect, except for the statuses that a server returns after it has
    /// begun the work (500) or on behalf of another server (502, 504).
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
