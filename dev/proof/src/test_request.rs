//! Requests of the tests, and checks that an answer is the complete answer to its request.

use adapters::Request;
use adapters::sse::{Parser, Transcript};
use bytes::Bytes;
use derive::{key, value};
use serde_json::{Value, json};
use standins::engine::text_hash;

const CLERK: &str = "office-clerk-example";
const LINE_BYTES_MAX: usize = 1 << 20;
const TEXT_BYTES_MAX: usize = 1 << 20;
const TOKENS_MAX: u32 = 400;

/// Service that a request calls, and how.
#[key]
pub enum RequestKind {
    /// Plain idempotent call (`GET`), which may be retried.
    Consultation,
    /// Plain call (`POST`) without an idempotency key, which may run at most once.
    SanctionCheck,
    /// Plain call (`POST`) with an idempotency key, which may be sent repeatedly but run once.
    KeyedCheck,
    /// Completion that is streamed.
    Stream,
    /// Completion that is returned as a single document.
    Opinion,
}

impl RequestKind {
    /// Whether the endpoints may run the request at most once.
    pub fn is_at_most_once(self) -> bool {
        matches!(self, RequestKind::SanctionCheck | RequestKind::KeyedCheck)
    }

    /// Whether a model generates the answer.
    pub fn is_completion(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::Opinion)
    }
}

/// A request with a unique tag, by which the endpoints count its runs.
#[value]
pub struct TestRequest {
    /// Determines method, path, headers and body.
    pub kind: RequestKind,
    /// Sent as `x-request-tag`, as part of the path or prompt, and as the idempotency key.
    pub tag: String,
}

impl TestRequest {
    /// Creates a request; `tag` must be unique within a site.
    pub fn new(kind: RequestKind, tag: impl Into<String>) -> TestRequest {
        let tag = tag.into();
        TestRequest { kind, tag }
    }

    /// HTTP request to send to an entry.
    pub fn request(&self) -> Request {
        let request = match self.kind {
            RequestKind::Consultation => Request::new(
                "GET",
                format!("/v1/services/guichet/applicants/{}", self.tag),
            ),
            RequestKind::SanctionCheck | RequestKind::KeyedCheck => Request::new(
                "POST",
                format!("/v1/services/guichet/sanctions/{}", self.tag),
            ),
            RequestKind::Stream | RequestKind::Opinion => Request::new("POST", "/v1/completions"),
        };
        let mut headers = vec![
            ("authorization".to_owned(), format!("Bearer {CLERK}")),
            ("x-request-tag".to_owned(), self.tag.clone()),
        ];
        if self.kind == RequestKind::KeyedCheck {
            headers.push(("idempotency-key".to_owned(), self.tag.clone()));
        }
        Request {
            headers,
            body: self.body(),
            reuse: false,
            ..request
        }
    }

    /// Prompt of a completion.
    pub fn prompt(&self) -> String {
        format!("Opinion on the premises of file {}", self.tag)
    }

    /// Body to send to an entry or directly to an engine; empty for plain calls.
    pub fn body(&self) -> Bytes {
        if !self.kind.is_completion() {
            return Bytes::new();
        }
        let body = json!({
            "model": "redacteurs",
            "prompt": self.prompt(),
            "max_tokens": TOKENS_MAX,
            "stream": self.kind == RequestKind::Stream,
        });
        Bytes::from(body.to_string())
    }

    /// Whether `body` is the complete answer to this request. `text` is the text that an engine
    /// generates for the request when it is called directly.
    pub fn is_complete_answer(&self, body: &[u8], text: &str) -> bool {
        match self.kind {
            RequestKind::Stream => streamed_text(body).is_some_and(|got| got == text),
            RequestKind::Opinion => document_text(body).is_some_and(|got| got == text),
            RequestKind::Consultation => {
                let prior_files = text_hash(&[&self.tag]) % 7;
                let document = parse_json(body);
                document["applicant"] == self.tag.as_str() && document["prior_files"] == prior_files
            }
            RequestKind::SanctionCheck | RequestKind::KeyedCheck => {
                let document = parse_json(body);
                let path = document["path"].as_str();
                path == Some(&format!("/sanctions/{}", self.tag))
                    && document["sanction"].is_string()
            }
        }
    }
}

fn parse_json(body: &[u8]) -> Value {
    serde_json::from_slice(body).unwrap_or_default()
}

/// Text of a completion document; `None` without a finish reason.
pub(crate) fn document_text(body: &[u8]) -> Option<String> {
    let text = parse_json(body)["choices"][0]["text"]
        .as_str()
        .map(str::to_owned);
    text.filter(|_| parse_json(body)["choices"][0]["finish_reason"].is_string())
}

/// Text of a stream; `None` if the stream is incomplete.
fn streamed_text(body: &[u8]) -> Option<String> {
    let mut parser = Parser::new(LINE_BYTES_MAX);
    let mut transcript = Transcript::default();
    let read = parser.push(body, |piece| transcript.add(&piece, TEXT_BYTES_MAX));
    (read.is_ok() && parser.is_complete()).then_some(transcript.text)
}
