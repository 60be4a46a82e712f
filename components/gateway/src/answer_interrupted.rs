//! Error of a response body that ends before the answer is complete.

use quick_error::quick_error;
use types::Failure;

quick_error! {
    /// An answer that was interrupted. `hyper` closes the connection when a body returns this
    /// error, so that the caller cannot mistake the partial answer for a complete one.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum AnswerInterrupted {
        /// The call failed after part of its answer was sent.
        CallFailed(failure: Failure) {
            display("answer interrupted: {}", failure)
        }
    }
}
