//! The requests that callers of a site make.

use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::caller::Ask;
use crate::site::Act;

/// Header by which the stand-in services count runs.
pub const TAG: &str = "x-request-tag";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const DEADLINE: &str = "x-hornbeamrock-deadline-ms";

/// What a plain service is asked.
pub struct Plain<'a> {
    /// The service, with its owner where that is another customer.
    pub service: &'a str,
    /// Bearer token.
    pub token: &'a str,
    /// The kind of call.
    pub act: &'a Act,
    /// The call's own name.
    pub name: &'a str,
}

/// A call of a plain service.
pub fn plain(plain: &Plain<'_>, deadline: Duration) -> Ask {
    let Plain { act, name, .. } = plain;
    let mut headers = headers(plain.token, deadline);
    headers.push((TAG.to_owned(), (*name).to_owned()));
    if act.once {
        headers.push((IDEMPOTENCY_KEY.to_owned(), (*name).to_owned()));
    }
    let path = format!("{}{name}{}", act.path, act.query);
    Ask {
        method: act.method,
        path: format!("/v1/services/{}{path}", plain.service),
        headers,
        body: Bytes::new(),
        deadline_ms: millis(deadline),
    }
}

#[derive(Serialize)]
struct Completion<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    seed: u64,
}

/// What a model is asked.
pub struct Opinion<'a> {
    /// The model, with its owner where that is another customer.
    pub model: &'a str,
    /// Bearer token.
    pub token: &'a str,
    /// The prompt.
    pub prompt: &'a str,
    /// Longest answer.
    pub max_tokens: u32,
    /// Whether it is streamed.
    pub stream: bool,
}

/// A completion.
pub fn opinion(opinion: &Opinion<'_>, deadline: Duration) -> Ask {
    let message = Completion {
        model: opinion.model,
        prompt: opinion.prompt,
        max_tokens: opinion.max_tokens,
        stream: opinion.stream,
        seed: 0,
    };
    let path = "/v1/completions".to_owned();
    json(path, opinion.token, &message, deadline)
}

/// A POST of JSON.
pub fn json(path: String, token: &str, message: &impl Serialize, deadline: Duration) -> Ask {
    let mut headers = headers(token, deadline);
    headers.push(("content-type".to_owned(), "application/json".to_owned()));
    Ask {
        method: "POST",
        path,
        headers,
        // Plain fields always serialise; an empty body would be refused.
        body: serde_json::to_vec(message).unwrap_or_default().into(),
        deadline_ms: millis(deadline),
    }
}

/// The token and the deadline.
pub fn headers(token: &str, deadline: Duration) -> Vec<(String, String)> {
    vec![
        ("authorization".to_owned(), format!("Bearer {token}")),
        (DEADLINE.to_owned(), millis(deadline).to_string()),
    ]
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
