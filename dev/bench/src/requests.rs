//! Builds the requests that the callers of a site send.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::caller::OutgoingRequest;
use crate::site::CallKind;

/// Header with the name of a call, by which the stand-in services count how often it was run.
pub const TAG_HEADER: &str = "x-request-tag";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const DEADLINE_HEADER: &str = "x-hornbeamrock-deadline-ms";

/// One call of a plain service.
pub struct ServiceCall<'a> {
    /// Name of the service, as `owner.service` if another customer owns it.
    pub service: &'a str,
    /// Bearer token of the caller.
    pub token: &'a str,
    /// Kind of call.
    pub kind: &'a CallKind,
    /// Unique name of the call: end of its path, its tag and its idempotency key.
    pub name: &'a str,
}

/// The request of a call of a plain service.
pub fn service_request(call: &ServiceCall<'_>, deadline: Duration) -> OutgoingRequest {
    let ServiceCall { kind, name, .. } = call;
    let mut headers = headers(call.token, deadline);
    headers.push((TAG_HEADER.to_owned(), (*name).to_owned()));
    if kind.at_most_once {
        headers.push((IDEMPOTENCY_KEY_HEADER.to_owned(), (*name).to_owned()));
    }
    let path = format!("{}{name}{}", kind.path, kind.query);
    OutgoingRequest {
        method: kind.method,
        path: format!("/v1/services/{}{path}", call.service),
        headers,
        body: Bytes::new(),
        deadline_ms: millis(deadline),
    }
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    seed: u64,
}

/// One completion by a model.
pub struct CompletionCall<'a> {
    /// Name of the model service, as `owner.service` if another customer owns it.
    pub model: &'a str,
    /// Bearer token of the caller.
    pub token: &'a str,
    /// Full text of the prompt.
    pub prompt: &'a str,
    /// Upper bound of the completion's length in tokens.
    pub max_tokens: u32,
    /// Whether the answer is a stream of events instead of one JSON body.
    pub stream: bool,
}

/// The request of a completion.
pub fn completion_request(call: &CompletionCall<'_>, deadline: Duration) -> OutgoingRequest {
    let message = CompletionBody {
        model: call.model,
        prompt: call.prompt,
        max_tokens: call.max_tokens,
        stream: call.stream,
        seed: 0,
    };
    let path = "/v1/completions".to_owned();
    json_request(path, call.token, &message, deadline)
}

/// A `POST` request with a JSON body.
pub fn json_request(
    path: String,
    token: &str,
    message: &impl Serialize,
    deadline: Duration,
) -> OutgoingRequest {
    let mut headers = headers(token, deadline);
    headers.push(("content-type".to_owned(), "application/json".to_owned()));
    OutgoingRequest {
        method: "POST",
        path,
        headers,
        // Structs with plain fields always serialize; the entry would refuse an empty body.
        body: serde_json::to_vec(message).unwrap_or_default().into(),
        deadline_ms: millis(deadline),
    }
}

/// The headers that carry the caller's token and deadline.
pub fn headers(token: &str, deadline: Duration) -> Vec<(String, String)> {
    vec![
        ("authorization".to_owned(), format!("Bearer {token}")),
        (DEADLINE_HEADER.to_owned(), millis(deadline).to_string()),
    ]
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
