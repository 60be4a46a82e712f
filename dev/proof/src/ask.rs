//! What callers ask, and what the whole answer to each must be.

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

/// Kind of a request.
#[key]
pub enum Kind {
    /// A clerk's consultation; may run again.
    Consult,
    /// A check of sanctions without a key; may run once.
    Sanction,
    /// A check of sanctions with an idempotency key.
    Keyed,
    /// A streamed opinion.
    Stream,
    /// An opinion in one piece.
    Opinion,
}

impl Kind {
    /// Whether it may run once only.
    pub fn is_once(self) -> bool {
        matches!(self, Kind::Sanction | Kind::Keyed)
    }

    /// Whether a model answers it.
    pub fn is_model(self) -> bool {
        matches!(self, Kind::Stream | Kind::Opinion)
    }
}

/// A request with a name of its own, by which its runs are counted.
#[value]
pub struct Ask {
    /// Its kind.
    pub kind: Kind,
    /// Its name.
    pub tag: String,
}

impl Ask {
    /// A request of this kind.
    pub fn new(kind: Kind, tag: impl Into<String>) -> Ask {
        let tag = tag.into();
        Ask { kind, tag }
    }

    /// The request for an entry.
    pub fn request(&self) -> Request {
        let request = match self.kind {
            Kind::Consult => Request::new(
                "GET",
                format!("/v1/services/guichet/applicants/{}", self.tag),
            ),
            Kind::Sanction | Kind::Keyed => Request::new(
                "POST",
                format!("/v1/services/guichet/sanctions/{}", self.tag),
            ),
            Kind::Stream | Kind::Opinion => Request::new("POST", "/v1/completions"),
        };
        let mut headers = vec![
            ("authorization".to_owned(), format!("Bearer {CLERK}")),
            ("x-request-tag".to_owned(), self.tag.clone()),
        ];
        if self.kind == Kind::Keyed {
            headers.push(("idempotency-key".to_owned(), self.tag.clone()));
        }
        Request {
            headers,
            body: self.body(),
            reuse: false,
            ..request
        }
    }

    /// The prompt of an opinion.
    pub fn prompt(&self) -> String {
        format!("Opinion on the premises of file {}", self.tag)
    }

    /// The body, for an entry or for an engine asked directly.
    pub fn body(&self) -> Bytes {
        if !self.kind.is_model() {
            return Bytes::new();
        }
        let body = json!({
            "model": "redacteurs",
            "prompt": self.prompt(),
            "max_tokens": TOKENS_MAX,
            "stream": self.kind == Kind::Stream,
        });
        Bytes::from(body.to_string())
    }

    /// Whether this is the whole answer to this very request; `text` is what an engine
    /// asked directly says.
    pub fn is_whole(&self, body: &[u8], text: &str) -> bool {
        match self.kind {
            Kind::Stream => streamed_text(body).is_some_and(|got| got == text),
            Kind::Opinion => document_text(body).is_some_and(|got| got == text),
            Kind::Consult => {
                let prior_files = text_hash(&[&self.tag]) % 7;
                let document = parsed(body);
                document["applicant"] == self.tag.as_str() && document["prior_files"] == prior_files
            }
            Kind::Sanction | Kind::Keyed => {
                let document = parsed(body);
                let path = document["path"].as_str();
                path == Some(&format!("/sanctions/{}", self.tag))
                    && document["sanction"].is_string()
            }
        }
    }
}

fn parsed(body: &[u8]) -> Value {
    serde_json::from_slice(body).unwrap_or_default()
}

/// Text of a completion in one piece.
pub(crate) fn document_text(body: &[u8]) -> Option<String> {
    let text = parsed(body)["choices"][0]["text"]
        .as_str()
        .map(str::to_owned);
    text.filter(|_| parsed(body)["choices"][0]["finish_reason"].is_string())
}

/// Text of a stream with its finish reason and its end.
fn streamed_text(body: &[u8]) -> Option<String> {
    let mut parser = Parser::new(LINE_BYTES_MAX);
    let mut transcript = Transcript::default();
    let read = parser.push(body, |piece| transcript.add(&piece, TEXT_BYTES_MAX));
    (read.is_ok() && parser.is_complete()).then_some(transcript.text)
}
