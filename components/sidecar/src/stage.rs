//! Stages of a call at the endpoint, and the run state that a failure at each stage implies.
//!
//! A failure means "not run" only while no byte has been sent, "failed" only after the endpoint has
//! begun its answer, and "unknown" in between.

use adapters::{AnswerLoss, NotSentCause, PlatformError};
use derive::key;
use types::{Cause, Failure, RunState};

/// Stage of a call at the endpoint.
#[key]
pub enum Stage {
    /// No byte was written to the endpoint.
    NotSent,
    /// The request was or may have been written.
    Sent,
    /// The endpoint's answer has begun.
    Answering,
}

impl Stage {
    /// Run state of a call that ends at this stage without a complete answer.
    pub fn run_state(self) -> RunState {
        match self {
            Stage::NotSent => RunState::NotRun,
            Stage::Sent => RunState::Unknown,
            Stage::Answering => RunState::Failed,
        }
    }

    /// Failure of a call that ends at this stage for `cause`.
    pub fn failure(self, cause: Cause) -> Failure {
        Failure::new(self.run_state(), cause)
    }
}

/// Translates the error of an exchange that failed at `stage` into the call's failure.
pub fn failure_of(error: &PlatformError, stage: Stage) -> Failure {
    match *error {
        PlatformError::NotSent(reason) => Failure::not_run(cause_of_not_sent(reason)),
        PlatformError::OutcomeUnknown(loss) => stage.failure(cause_of_loss(loss)),
        // The endpoint has answered, so it had received the request.
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
