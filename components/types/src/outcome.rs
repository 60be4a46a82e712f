//! Outcome of a request that did not end with a complete answer.
//!
//! The same type is passed from the agent to the reply that the caller receives. In the whole
//! system, [`RunState::NotRun`] is reported only if the call provably never reached an endpoint;
//! in every case of doubt [`RunState::Unknown`] is reported.

use std::fmt;

use derive::{wire, wire_key};

/// Whether the request ran.
#[wire_key]
pub enum RunState {
    /// The request provably never reached an endpoint, so a retry is safe.
    NotRun,
    /// The request may have run. The system never retries it unless it is idempotent.
    Unknown,
    /// The request started to run and failed.
    Failed,
}

impl RunState {
    /// Name of the state in problem documents and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            RunState::NotRun => "not-run",
            RunState::Unknown => "unknown",
            RunState::Failed => "failed",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Reason why a request did not end with a complete answer.
#[wire_key]
pub enum Cause {
    /// The request is malformed.
    Malformed,
    /// A body or a frame exceeds its size limit.
    TooLarge,
    /// The request has no token, or a token that is not configured.
    Unauthenticated,
    /// The token's holder does not have the permission.
    Forbidden,
    /// The customer has no service of this name.
    UnknownService,
    /// The customer has reached one of its limits.
    CustomerLimit,
    /// The queue of the request's class is full.
    QueueFull,
    /// The deadline that the caller set has passed.
    DeadlinePassed,
    /// The process or the endpoint is draining and accepts no new calls.
    Leaving,
    /// The endpoint does not currently host the service.
    NotHosted,
    /// No endpoint can currently accept the call.
    NoEndpoint,
    /// The connection to the process that handles the call, such as the agent beside the endpoint,
    /// was lost and not restored in time.
    LinkLost,
    /// The endpoint crashed or closed the connection.
    EndpointLost,
    /// The endpoint's answer ended before its declared end.
    Truncated,
    /// The endpoint's answer is invalid.
    EndpointError,
    /// The request has crashed endpoints and is not retried.
    Quarantined,
    /// The claim on the idempotency key cannot currently be written to the platform's log or read
    /// from it.
    ClaimUnavailable,
    /// Another submission with the same idempotency key holds the claim.
    ClaimTaken,
    /// The idempotency key was used before with a different request.
    KeyReused,
    /// The caller cancelled the request or closed its connection.
    Cancelled,
    /// The customer's retry budget is exhausted.
    BudgetSpent,
    /// The requested weight version is not available, or the sample would exceed its staleness
    /// bound.
    Stale,
    /// An internal error of the system.
    Internal,
}

impl Cause {
    /// Name of the cause in problem documents, metrics and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Malformed => "malformed",
            Cause::TooLarge => "too-large",
            Cause::Unauthenticated => "unauthenticated",
            Cause::Forbidden => "forbidden",
            Cause::UnknownService => "unknown-service",
            Cause::CustomerLimit => "customer-limit",
            Cause::QueueFull => "queue-full",
            Cause::DeadlinePassed => "deadline-passed",
            Cause::Leaving => "leaving",
            Cause::NotHosted => "not-hosted",
            Cause::NoEndpoint => "no-endpoint",
            Cause::LinkLost => "link-lost",
            Cause::EndpointLost => "endpoint-lost",
            Cause::Truncated => "truncated",
            Cause::EndpointError => "endpoint-error",
            Cause::Quarantined => "quarantined",
            Cause::ClaimUnavailable => "claim-unavailable",
            Cause::ClaimTaken => "claim-taken",
            Cause::KeyReused => "key-reused",
            Cause::Cancelled => "cancelled",
            Cause::BudgetSpent => "budget-spent",
            Cause::Stale => "stale",
            Cause::Internal => "internal",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Final reply to a request that did not end with a complete answer.
#[wire]
#[derive(Copy)]
pub struct Failure {
    /// Whether the request ran.
    pub run: RunState,
    /// Why the request failed.
    pub cause: Cause,
    /// Time after which the caller may retry; `None` if waiting does not help.
    pub retry_after_ms: Option<u32>,
}

impl Failure {
    /// A failure without a retry time.
    pub fn new(run: RunState, cause: Cause) -> Self {
        Self {
            run,
            cause,
            retry_after_ms: None,
        }
    }

    /// A failure of a request that did not run.
    pub fn not_run(cause: Cause) -> Self {
        Self::new(RunState::NotRun, cause)
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(self, retry_after_ms: u32) -> Self {
        Self {
            retry_after_ms: Some(retry_after_ms),
            ..self
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "run={} cause={}", self.run, self.cause)
    }
}

impl std::error::Error for Failure {}
