//! Checks whether a completion is complete. After an engine died in the middle of an answer, the
//! HTTP body may still end properly, so a clean end is not enough: a stream needs its finish reason
//! and terminator, a unary answer its finish reason.

use adapters::AnswerHead;
use adapters::sse::{FinishReason, Parser};
use bytes::Bytes;
use serde::Deserialize;
use types::Cause;

const LINE_BYTES_MAX: usize = 1024 * 1024;
const EVENT_STREAM: &str = "text/event-stream";
const OK: u16 = 200;

/// Format of an answer, which decides how its completeness is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFormat {
    /// Server-sent events, complete with a finish reason and the terminator.
    Stream,
    /// One JSON document, complete with a finish reason.
    Document,
    /// Any other bytes, complete at the end of the HTTP body.
    Opaque,
}

impl AnswerFormat {
    /// Determines the format from the head of an answer of a model or a plain service.
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

/// Checks a stream while it is relayed.
pub struct StreamCheck(Parser);

impl StreamCheck {
    /// Creates a check for a stream that has not begun.
    pub fn new() -> Self {
        Self(Parser::new(LINE_BYTES_MAX))
    }

    /// Adds the next bytes. Returns an error if they are not part of a completions stream.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Cause> {
        let pushed = self.0.push(bytes, |_| Ok(()));
        pushed.map_err(|_| Cause::EndpointError)
    }

    /// Ends the check. Returns an error if the stream is incomplete.
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

/// Returns an error if a unary completion is malformed or incomplete.
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
