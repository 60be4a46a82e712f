//! Decides what follows an attempt of a call: all retries of ordinary calls are decided here.

use derive::{key, value};

/// How an attempt ended.
#[key]
pub enum AttemptOutcome {
    /// The replica sent a complete answer with its signature.
    Answered,
    /// The replica reported that it did not run the request, or the request provably did not reach
    /// it.
    NotRun,
    /// The request may have run, but there is no complete answer.
    Unknown,
}

/// How a call fails when no replica has answered it.
#[key]
pub enum CallFailure {
    /// No attempt has run the request, and none will.
    NotRun,
    /// An attempt may have run the request, and the deadline has passed.
    TimedOut,
    /// An attempt may have run the request.
    Unknown,
}

/// What to do after an attempt.
#[value]
pub enum NextAction {
    /// Send the answer to the client.
    Deliver,
    /// Send the request to a replica that has not received it yet.
    Retry,
    /// Report the failure to the client.
    Finish(CallFailure),
}

/// Least time before the deadline for which another attempt is made.
const ATTEMPT_MS_MIN: u64 = 10;

/// Decides what to do after an attempt. `may_have_run` says whether an earlier attempt may have run
/// the request, `sent` is the number of replicas that it was sent to, and `has_untried` says
/// whether there is another replica.
pub fn next_action(
    outcome: AttemptOutcome,
    idempotent: bool,
    may_have_run: bool,
    sent: u32,
    attempts_max: u32,
    has_untried: bool,
    left_ms: u64,
) -> NextAction {
    let may_have_run = may_have_run || outcome == AttemptOutcome::Unknown;
    let failure = match (may_have_run, left_ms) {
        (false, _) => CallFailure::NotRun,
        (true, 0) => CallFailure::TimedOut,
        (true, _) => CallFailure::Unknown,
    };
    let repeatable = idempotent || !may_have_run;
    if outcome == AttemptOutcome::Answered {
        return NextAction::Deliver;
    }
    if repeatable && sent < attempts_max && has_untried && left_ms >= ATTEMPT_MS_MIN {
        return NextAction::Retry;
    }
    NextAction::Finish(failure)
}
