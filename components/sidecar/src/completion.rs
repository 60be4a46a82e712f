//! Wholeness of a completion. The endpoint's HTTP may end properly after the engine died
//! in the middle of an answer, so a clean end is not enough: a stream needs its finish
//! reason and terminator, a unary answer its finish reason.

use adapters::AnswerHead;
use adapters::sse::{FinishReason, Parser};
use bytes::Bytes;
use serde::Deserialize;
use types::Cause;

/// Longest line of a stream, in bytes.
const LINE_BYTES_MAX: usize = 1024 * 1024;
const EVENT_STREAM: &str = "text/event-stream";
const OK: u16 = 200;

/// How the wholeness of an answer shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFormat {
    /// A stream of server-sent events with a finish reason and a terminator.
    Stream,
    /// One document with a finish reason.
    Document,
    /// Any bytes; their stated end is all there is.
    Opaque,
}

impl AnswerFormat {
    /// AnswerFormat of the answer with this head, from a model or a plain service.
    pub fn of(is_model: bool, head: &AnswerHead) -> AnswerFormat {
        if !is_model || head.status != OK {
            return AnswerFormat::Opaque;
        }
        let content_type = head.header("content-type").unwrap_or_default();
        if content_type.starts_with(EVENT_STREAM) {
            AnswerFormat::Stream
        } else {
            AnswerFormat::Document
        }
    }
}

/// Watches a stream go by.
pub struct StreamCheck(Parser);

impl StreamCheck {
    /// A check at the beginning of a stream.
    pub fn new() -> Self {
        Self(Parser::new(LINE_BYTES_MAX))
    }

    /// Takes the next bytes; errors when they are not part of a completions stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Cause> {
        let pushed = self.0.push(bytes, |_| Ok(()));
        pushed.map_err(|_| Cause::EndpointError)
    }

    /// Errors when the stream that has ended is not whole.
    pub fn finish(&self) -> Result<(), Cause> {
        if self.0.is_complete() {
            Ok(())
        } else {
            Err(Cause::Truncated)
        }
    }
}

impl Default for StreamCheck {
    fn default() -> Self {
        Self::new()
    }
}

#[derive(Deserialize)]
struct Document {
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    finish_reason: Option<String>,
}

/// Errors when a unary completion is not whole.
pub fn check_document(body: &Bytes) -> Result<(), Cause> {
    let document: Document = serde_json::from_slice(body).map_err(|_| Cause::EndpointError)?;
    let is_complete = |choice: &Choice| {
        let reason = choice.finish_reason.as_deref();
        reason
            .map(FinishReason::parse)
            .is_some_and(FinishReason::is_complete)
    };
    if !document.choices.is_empty() && document.choices.iter().all(is_complete) {
        Ok(())
    } else {
        Err(Cause::Truncated)
    }
}
