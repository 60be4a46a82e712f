//! Problem documents (RFC 9457): what a caller reads when there is no whole answer.

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use serde::Serialize;
use types::Cause;

use crate::body::{Body, full};
use crate::rejection::Rejection;

/// Media type of a problem document.
pub const PROBLEM_JSON: &str = "application/problem+json";
/// Before a cause's word it makes the document's `type`.
const TYPE_PREFIX: &str = "urn:hornbeamrock:problem:";
const MS_PER_S: u32 = 1_000;

/// The document's members.
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

/// The HTTP status of a rejection.
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

/// The document as JSON.
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
    // Only text and numbers, so it always serialises; an empty body stands in.
    serde_json::to_vec(&problem).unwrap_or_default().into()
}

/// The whole answer: status, document and, where it helps, `Retry-After`.
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

/// Value of `Retry-After`, where coming back helps.
pub fn retry_after_s(rejection: &Rejection) -> Option<u32> {
    rejection.failure().retry_after_ms.map(round_up_to_seconds)
}

/// `Retry-After` has whole seconds; rounded up, so that nobody comes back too early.
fn round_up_to_seconds(retry_after_ms: u32) -> u32 {
    retry_after_ms.div_ceil(MS_PER_S).max(1)
}
