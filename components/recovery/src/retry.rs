//! The one place that decides whether a failed attempt is tried again.
//!
//! No adapter, client or layer repeats anything by itself: two layers that retry turn one
//! outage into a storm and run a call twice that may run once.

use std::net::SocketAddr;

use derive::{key, value};
use types::{Cause, Failure, RunState};

/// Limits of retries.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Most attempts for one request, the first one included.
    pub attempts_max: u32,
    /// Pause before the second attempt when the first may have run, in milliseconds;
    /// doubles with each further one.
    pub first_backoff_ms: u64,
    /// Time that must be left for an attempt to make sense, in milliseconds.
    pub attempt_ms_min: u64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            attempts_max: 3,
            first_backoff_ms: 20,
            attempt_ms_min: 10,
        }
    }
}

/// What the caller has of the answer.
#[key]
pub enum Delivered {
    /// Nothing.
    Nothing,
    /// Tokens of a completion, which another engine can go on from.
    Tokens,
    /// Bytes that no other endpoint can go on from.
    Bytes,
}

/// An attempt that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// How it failed.
    pub failure: Failure,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// What the caller has of the answer, from all attempts.
    pub delivered: Delivered,
    /// Endpoints tried so far, this one included, one an attempt.
    pub endpoints: &'a [SocketAddr],
    /// Time until the caller's deadline, in milliseconds.
    pub deadline_left_ms: u64,
}

/// Where the next attempt begins.
#[key]
pub enum Resume {
    /// At the beginning.
    FromStart,
    /// After the tokens that the caller has.
    FromTokens,
}

/// What becomes of the request.
#[value]
pub enum RetryDecision {
    /// Try it once more.
    Retry {
        /// Pause before it, in milliseconds.
        after_ms: u64,
        /// Endpoints not to be taken, unless there is no other.
        exclude: Vec<SocketAddr>,
        /// Where it begins.
        resume: Resume,
    },
    /// The caller gets this.
    Final(Failure),
}

/// Decides on a failed attempt. `budget` takes one retry out of the customer's budget and
/// is asked last, only for a retry that would be made. `random` spreads the pause.
pub fn decide_retry(
    settings: &RetrySettings,
    tried: &FailedAttempt<'_>,
    random: u64,
    budget: impl FnOnce() -> bool,
) -> RetryDecision {
    let failure = honest(tried);
    let attempts = u32::try_from(tried.endpoints.len()).unwrap_or(u32::MAX);
    let after_ms = backoff_ms(settings, failure.run, attempts, random);
    let allowed = may_run_again(tried.idempotent, failure.run)
        && may_help(failure.cause)
        && tried.delivered != Delivered::Bytes
        && attempts < settings.attempts_max
        && after_ms + settings.attempt_ms_min <= tried.deadline_left_ms;
    if !allowed {
        return RetryDecision::Final(failure);
    }
    if !budget() {
        let cause = Cause::BudgetSpent;
        return RetryDecision::Final(Failure { cause, ..failure });
    }
    let resume = match tried.delivered {
        Delivered::Tokens => Resume::FromTokens,
        Delivered::Nothing | Delivered::Bytes => Resume::FromStart,
    };
    let exclude = tried.endpoints.to_vec();
    RetryDecision::Retry {
        after_ms,
        exclude,
        resume,
    }
}

/// A request of which part of an answer came cannot be "not run".
fn honest(tried: &FailedAttempt<'_>) -> Failure {
    let failure = tried.failure;
    if failure.run == RunState::NotRun && tried.delivered != Delivered::Nothing {
        return Failure {
            run: RunState::Failed,
            ..failure
        };
    }
    failure
}

fn may_run_again(idempotent: bool, run: RunState) -> bool {
    idempotent || run == RunState::NotRun
}

/// Whether another attempt can end otherwise.
fn may_help(cause: Cause) -> bool {
    match cause {
        Cause::QueueFull
        | Cause::Leaving
        | Cause::NotHosted
        | Cause::LinkLost
        | Cause::EndpointLost
        | Cause::Truncated
        | Cause::EndpointError
        | Cause::Internal => true,
        Cause::Malformed
        | Cause::TooLarge
        | Cause::Unauthenticated
        | Cause::Forbidden
        | Cause::UnknownService
        | Cause::CustomerLimit
        | Cause::DeadlinePassed
        | Cause::NoEndpoint
        | Cause::Quarantined
        | Cause::ClaimUnavailable
        | Cause::ClaimTaken
        | Cause::KeyReused
        | Cause::Cancelled
        | Cause::BudgetSpent
        | Cause::Stale => false,
    }
}

/// A refused call goes to another endpoint at once. One that may have run met a fault, and
/// waits a little so that an outage is not answered with a storm.
fn backoff_ms(settings: &RetrySettings, run: RunState, attempts: u32, random: u64) -> u64 {
    if run == RunState::NotRun {
        return 0;
    }
    let doublings = attempts.saturating_sub(1).min(8);
    let full_ms = settings.first_backoff_ms << doublings;
    let half_ms = full_ms / 2;
    half_ms + random % (full_ms - half_ms + 1)
}
