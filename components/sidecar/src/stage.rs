//! How far a call has come at the endpoint, and what a failure at that point says.
//!
//! The rule: "not run" only while no byte has gone out, "failed" only once the endpoint
//! has shown that it began, "unknown" in between.

use adapters::{AnswerLoss, NotSentCause, PlatformError};
use derive::key;
use types::{Cause, Failure, RunState};

/// How far a call has come.
#[key]
pub enum Stage {
    /// Nothing was written to the endpoint.
    NotSent,
    /// The request was or may have been written.
    Sent,
    /// The endpoint's answer has begun.
    Answering,
}

impl Stage {
    /// Whether a call that ends here without a whole answer ran.
    pub fn run_state(self) -> RunState {
        match self {
            Stage::NotSent => RunState::NotRun,
            Stage::Sent => RunState::Unknown,
            Stage::Answering => RunState::Failed,
        }
    }

    /// The failure of a call that ends here for `cause`.
    pub fn failure(self, cause: Cause) -> Failure {
        Failure::new(self.run_state(), cause)
    }
}

/// What an exchange that failed at `stage` says to the caller.
pub fn failure_of(error: &PlatformError, stage: Stage) -> Failure {
    match *error {
        PlatformError::NotSent(reason) => Failure::not_run(cause_of_not_sent(reason)),
        PlatformError::OutcomeUnknown(loss) => stage.failure(cause_of_loss(loss)),
        // Something came back, so the endpoint had the request.
        PlatformError::Refused { .. }
        | PlatformError::Malformed(_)
        | PlatformError::TooLarge(_) => Stage::Answering.failure(Cause::EndpointError),
    }
}

fn cause_of_not_sent(reason: NotSentCause) -> Cause {
    match reason {
        NotSentCause::Unreachable | NotSentCause::TimedOut => Cause::EndpointLost,
        NotSentCause::DeadlinePassed => Cause::DeadlinePassed,
        NotSentCause::BadRequest => Cause::Malformed,
    }
}

fn cause_of_loss(loss: AnswerLoss) -> Cause {
    match loss {
        AnswerLoss::ClosedBeforeAnswer { .. }
        | AnswerLoss::ClosedMidAnswer
        | AnswerLoss::Silent => Cause::EndpointLost,
        AnswerLoss::NoStatedEnd => Cause::Truncated,
        AnswerLoss::DeadlinePassed => Cause::DeadlinePassed,
    }
}
