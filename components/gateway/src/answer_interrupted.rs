//! Why an answer ends early.

use quick_error::quick_error;
use types::Failure;

quick_error! {
    /// An answer that ends before its stated end. `hyper` then aborts the connection, so
    /// that the caller can't take what it has for the whole.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum AnswerInterrupted {
        /// The call failed after part of its answer was given.
        CallFailed(failure: Failure) {
            display("the answer was cut: {}", failure)
        }
    }
}
