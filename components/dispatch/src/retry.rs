//! What follows an attempt of an ordinary call. The one place that decides on it.

use derive::{key, value};

/// How an attempt ended.
#[key]
pub enum AttemptOutcome {
    /// A whole answer with the replica's signature.
    Answered,
    /// The replica says that it did not run it, or it provably never got it.
    NotRun,
    /// It may have run; no whole answer came.
    Unknown,
}

/// How a call ends that gets no answer of a replica.
#[key]
pub enum CallFailure {
    /// It did not run and will not.
    NotRun,
    /// It may have run, and the time is up.
    TimedOut,
    /// It may have run.
    Unknown,
}

/// What to do next.
#[value]
pub enum NextAction {
    /// The answer goes to the client.
    Deliver,
    /// Send it to a replica that was not tried.
    Retry,
    /// The client gets this end.
    Finish(CallFailure),
}

/// Time that must be left for an attempt to make sense, in milliseconds.
const USEFUL_MS: u64 = 10;

/// Decides after an attempt. `sent` is the number of replicas that the request was sent to,
/// `untried` whether another replica is there, `may_have_run` whether an earlier attempt may
/// have run.
pub fn next_action(
    end: AttemptOutcome,
    idempotent: bool,
    may_have_run: bool,
    sent: u32,
    attempts_max: u32,
    untried: bool,
    left_ms: u64,
) -> NextAction {
    let may_have_run = may_have_run || end == AttemptOutcome::Unknown;
    let final_end = match (may_have_run, left_ms) {
        (false, _) => CallFailure::NotRun,
        (true, 0) => CallFailure::TimedOut,
        (true, _) => CallFailure::Unknown,
    };
    let repeatable = idempotent || !may_have_run;
    if end == AttemptOutcome::Answered {
        return NextAction::Deliver;
    }
    if repeatable && sent < attempts_max && untried && left_ms >= USEFUL_MS {
        return NextAction::Retry;
    }
    NextAction::Finish(final_end)
}
