//! Decides whether a failed attempt is retried.
//!
//! This is the only place that decides on retries; no adapter, client or other layer retries
//! by itself. Two layers that both retry multiply the load during an outage (a retry storm),
//! and may run a call twice that must run at most once.

use std::net::SocketAddr;

use derive::{key, value};
use types::{Cause, Failure, RunState};

/// Limits of retries.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Maximum number of attempts for one request, including the first. As many attempts that lost
    /// their endpoint don't count.
    pub attempts_max: u32,
    /// Delay before the second attempt if the first may have run, in milliseconds. Doubles
    /// with each further attempt.
    pub first_backoff_ms: u64,
    /// Time that must be left until the deadline when an attempt starts, in milliseconds.
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

/// Content of the answer that the caller has received.
#[key]
pub enum Delivered {
    /// No content, so another attempt can start from the beginning.
    Nothing,
    /// Tokens of a completion, which another engine can continue.
    Tokens,
    /// Bytes of an answer that no other endpoint can continue.
    Bytes,
}

/// An attempt that failed, and the state of its request.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt<'a> {
    /// Failure of this attempt.
    pub failure: Failure,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Content that the caller has received from all attempts so far.
    pub delivered: Delivered,
    /// Endpoint of each attempt so far, including this one.
    pub endpoints: &'a [SocketAddr],
    /// Number of these attempts whose endpoint crashed or was down. They say nothing about the
    /// request: one that runs beside a call that crashes endpoints can lose several.
    pub lost_endpoints: u32,
    /// Time until the caller's deadline, in milliseconds.
    pub deadline_left_ms: u64,
}

/// Position in the answer at which the next attempt starts.
#[key]
pub enum Resume {
    /// At the beginning of the answer.
    FromStart,
    /// After the tokens that the caller has received.
    FromTokens,
}

/// Decision on a request whose attempt failed.
#[value]
pub enum RetryDecision {
    /// Send another attempt.
    Retry {
        /// Delay before the next attempt, in milliseconds.
        after_ms: u64,
        /// Endpoints that were already used; they are chosen only if there is no other.
        exclude: Vec<SocketAddr>,
        /// Position at which the next attempt starts.
        resume: Resume,
    },
    /// The request has failed; the caller receives this failure.
    Final(Failure),
}

/// Decides whether a failed attempt is retried.
///
/// `budget` takes one retry from the customer's retry budget and returns whether one was left.
/// It is called last, and only if all other conditions allow the retry. `random` adds jitter
/// to the delay.
pub fn decide_retry(
    settings: &RetrySettings,
    attempt: &FailedAttempt<'_>,
    random: u64,
    budget: impl FnOnce() -> bool,
) -> RetryDecision {
    let failure = consistent_failure(attempt);
    let attempts = u32::try_from(attempt.endpoints.len()).unwrap_or(u32::MAX);
    let uncounted = attempt.lost_endpoints.min(settings.attempts_max);
    let after_ms = backoff_ms(settings, failure.run, attempts, random);
    let allowed = may_run_again(attempt.idempotent, failure.run)
        && is_retriable(failure.cause)
        && attempt.delivered != Delivered::Bytes
        && attempts.saturating_sub(uncounted) < settings.attempts_max
        && after_ms + settings.attempt_ms_min <= attempt.deadline_left_ms;
    if !allowed {
        return RetryDecision::Final(failure);
    }
    if !budget() {
        let cause = Cause::BudgetSpent;
        return RetryDecision::Final(Failure { cause, ..failure });
    }
    let resume = match attempt.delivered {
        Delivered::Tokens => Resume::FromTokens,
        Delivered::Nothing | Delivered::Bytes => Resume::FromStart,
    };
    let exclude = attempt.endpoints.to_vec();
    RetryDecision::Retry {
        after_ms,
        exclude,
        resume,
    }
}

/// The attempt's failure, with `NotRun` replaced by `Failed` if the caller has received a part
/// of the answer.
fn consistent_failure(attempt: &FailedAttempt<'_>) -> Failure {
    let failure = attempt.failure;
    if failure.run == RunState::NotRun && attempt.delivered != Delivered::Nothing {
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

/// Whether another attempt can succeed after a failure with this cause.
fn is_retriable(cause: Cause) -> bool {
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

/// Delay before the next attempt. A call that did not run is sent to another endpoint at once.
/// After any other failure the retry is delayed, so that an outage does not cause a retry storm.
fn backoff_ms(settings: &RetrySettings, run: RunState, attempts: u32, random: u64) -> u64 {
    if run == RunState::NotRun {
        return 0;
    }
    let doublings = attempts.saturating_sub(1).min(8);
    let full_ms = settings.first_backoff_ms << doublings;
    let half_ms = full_ms / 2;
    half_ms + random % (full_ms - half_ms + 1)
}
