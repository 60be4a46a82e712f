//! Problem documents (RFC 9457), sent when a request has no complete answer.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;
use types::Cause;

use crate::body::{Body, full};
use crate::rejection::Rejection;

/// Media type of a problem document.
pub const PROBLEM_JSON: &str = "application/problem+json";
/// Prefix of the `type` member; the name of the cause follows.
const TYPE_PREFIX: &str = "urn:hornbeamrock:problem:";
const MS_PER_S: u32 = 1_000;

/// Members of the problem document.
#[derive(Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: &'a str,
    status: u16,
    detail: String,
    outcome: &'a str,
    cause: &'a str,
    request_id: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u32>,
}

/// Returns the HTTP status of a rejection.
pub fn status(rejection: &Rejection) -> StatusCode {
    match rejection {
        Rejection::UnknownPath | Rejection::StepNotHeld(_) => StatusCode::NOT_FOUND,
        Rejection::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
        other => status_of_cause(other.failure().cause),
    }
}

fn status_of_cause(cause: Cause) -> StatusCode {
    match cause {
        Cause::Malformed => StatusCode::BAD_REQUEST,
        Cause::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Cause::Unauthenticated => StatusCode::UNAUTHORIZED,
        Cause::Forbidden => StatusCode::FORBIDDEN,
        Cause::UnknownService => StatusCode::NOT_FOUND,
        Cause::CustomerLimit => StatusCode::TOO_MANY_REQUESTS,
        Cause::ClaimTaken | Cause::Stale => StatusCode::CONFLICT,
        Cause::KeyReused | Cause::Quarantined => StatusCode::UNPROCESSABLE_ENTITY,
        Cause::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Cause::LinkLost | Cause::EndpointLost | Cause::Truncated | Cause::EndpointError => {
            StatusCode::BAD_GATEWAY
        }
        Cause::QueueFull
        | Cause::Leaving
        | Cause::NotHosted
        | Cause::NoEndpoint
        | Cause::ClaimUnavailable
        | Cause::Cancelled
        | Cause::BudgetSpent => StatusCode::SERVICE_UNAVAILABLE,
        Cause::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

/// Returns the problem document as JSON.
pub fn document(rejection: &Rejection, request_id: &str) -> Bytes {
    let failure = rejection.failure();
    let status = status(rejection);
    let problem = Problem {
        kind: format!("{TYPE_PREFIX}{}", failure.cause),
        title: status.canonical_reason().unwrap_or_default(),
        status: status.as_u16(),
        detail: rejection.to_string(),
        outcome: failure.run.as_str(),
        cause: failure.cause.as_str(),
        request_id,
        retry_after_ms: failure.retry_after_ms,
    };
    // Text and numbers always serialise; an empty body is the fallback.
    serde_json::to_vec(&problem).unwrap_or_default().into()
}

/// Returns the complete response: status, problem document and, where a retry may help,
/// `Retry-After`.
pub fn response(rejection: &Rejection, request_id: &str) -> Response<Body> {
    let mut response = Response::new(full(document(rejection, request_id)));
    *response.status_mut() = status(rejection);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(PROBLEM_JSON));
    if let Some(seconds) = retry_after_s(rejection) {
        headers.insert(RETRY_AFTER, seconds.into());
    }
    if let Rejection::Method(allowed) = rejection {
        headers.insert(http::header::ALLOW, HeaderValue::from_static(allowed));
    }
    response
}

/// Returns the value of `Retry-After` in seconds, or `None` if the rejection has no retry delay.
pub fn retry_after_s(rejection: &Rejection) -> Option<u32> {
    rejection.failure().retry_after_ms.map(round_up_to_seconds)
}

/// Rounds up to whole seconds, so that callers do not retry too early.
fn round_up_to_seconds(retry_after_ms: u32) -> u32 {
    retry_after_ms.div_ceil(MS_PER_S).max(1)
}
