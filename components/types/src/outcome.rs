//! What became of a request that did not end with its whole answer.
//!
//! One type goes from the agent to the caller's reply. The rule of the whole system is
//! that [`RunState::NotRun`] is only said where the call provably never reached an
//! endpoint; every doubt is [`RunState::Unknown`].

use std::fmt;

use derive::{wire, wire_key};

/// Whether the request ran.
#[wire_key]
pub enum RunState {
    /// It provably never reached an endpoint; sending it again is safe.
    NotRun,
    /// It may have run; the system never sends a non-idempotent one again.
    Unknown,
    /// It ran, or began to, and failed.
    Failed,
}

impl RunState {
    /// The word in a problem document and a log line.
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

/// Why a request did not end with its whole answer.
#[wire_key]
pub enum Cause {
    /// The request itself is not well formed.
    Malformed,
    /// A body or a frame over its limit.
    TooLarge,
    /// No token, or one that nobody holds.
    Unauthenticated,
    /// The token's holder may not do this.
    Forbidden,
    /// No service of this name for this customer.
    UnknownService,
    /// The customer's own limit.
    CustomerLimit,
    /// The queue of this class is full.
    QueueFull,
    /// The time that the caller gave is over.
    DeadlinePassed,
    /// The process or the endpoint is leaving.
    Leaving,
    /// The endpoint does not host the service now.
    NotHosted,
    /// No endpoint can take the call now.
    NoEndpoint,
    /// The connection to the process before the endpoint was lost for good.
    LinkLost,
    /// The endpoint died or cut the connection.
    EndpointLost,
    /// The endpoint's answer ended before its stated end.
    Truncated,
    /// The endpoint answered with something that is not an answer.
    EndpointError,
    /// The request has crashed endpoints and is not tried again.
    Quarantined,
    /// The platform's log cannot take the claim now.
    ClaimUnavailable,
    /// Another submission of the same idempotency key holds the claim.
    ClaimTaken,
    /// The same idempotency key came with another request.
    KeyReused,
    /// The caller went away or cancelled.
    Cancelled,
    /// The retry budget of the customer is used up.
    BudgetSpent,
    /// The wanted weight version is not to be had, or the sample would be too old.
    Stale,
    /// A fault of the system itself.
    Internal,
}

impl Cause {
    /// The word in a problem document, a metric and a log line.
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

/// Final answer to a request that has no whole answer.
#[wire]
#[derive(Copy)]
pub struct Failure {
    /// Whether it ran.
    pub run: RunState,
    /// Why.
    pub cause: Cause,
    /// When the caller may come back, where that helps.
    pub retry_after_ms: Option<u32>,
}

impl Failure {
    /// A failure with no time to come back.
    pub fn new(run: RunState, cause: Cause) -> Self {
        Self {
            run,
            cause,
            retry_after_ms: None,
        }
    }

    /// Not run, for this cause.
    pub fn not_run(cause: Cause) -> Self {
        Self::new(RunState::NotRun, cause)
    }

    /// The same failure with a time to come back.
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
