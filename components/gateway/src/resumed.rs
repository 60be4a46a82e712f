//! Rewrites the events of an engine that resumes a stream, so that the caller sees one stream.
//!
//! The second engine assigns its own completion id and counts the tokens that it was given as part
//! of the prompt. Without rewriting, a caller that uses the id or the token usage would see two
//! partial completions.

use bytes::Bytes;
use serde_json::Value;

const DATA: &str = "data: ";
const ID: &str = "id";
const USAGE: &str = "usage";
const PROMPT_TOKENS: &str = "prompt_tokens";
const COMPLETION_TOKENS: &str = "completion_tokens";

/// Data that is needed to rewrite the events of the current engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Continuation {
    /// Id that the first engine gave the completion; `None` before its first event.
    pub id: Option<String>,
    /// Number of generated tokens that the current engine was given; 0 for the first engine.
    pub tokens: u64,
}

impl Continuation {
    /// Records the completion id of the first event.
    pub fn record_id(&mut self, events: &[u8]) {
        if self.id.is_none() {
            self.id = first_id(events);
        }
    }

    /// Rewrites complete events of the current engine for the caller.
    pub fn rewrite(&self, events: Bytes) -> Bytes {
        let text = match std::str::from_utf8(&events) {
            Ok(text) if self.tokens > 0 => text,
            _ => return events,
        };
        let lines = text.split_inclusive('\n');
        let rewritten: String = lines.map(|line| self.rewrite_line(line)).collect();
        Bytes::from(rewritten)
    }

    fn rewrite_line(&self, line: &str) -> String {
        let data = line.trim_end().strip_prefix(DATA);
        let Some(Ok(mut chunk)) = data.map(serde_json::from_str::<Value>) else {
            return line.to_owned();
        };
        if let (Some(id), Some(own)) = (&self.id, chunk.get_mut(ID)) {
            *own = id.as_str().into();
        }
        if let Some(usage) = chunk.get_mut(USAGE) {
            self.rewrite_usage(usage);
        }
        format!("{DATA}{chunk}\n")
    }

    fn rewrite_usage(&self, usage: &mut Value) {
        let prompt = usage.get(PROMPT_TOKENS).and_then(Value::as_u64);
        let completion = usage.get(COMPLETION_TOKENS).and_then(Value::as_u64);
        let (Some(prompt), Some(completion)) = (prompt, completion) else {
            return;
        };
        usage[PROMPT_TOKENS] = prompt.saturating_sub(self.tokens).into();
        usage[COMPLETION_TOKENS] = (completion + self.tokens).into();
    }
}

fn first_id(events: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(events).ok()?;
    let data = text.lines().find_map(|line| line.strip_prefix(DATA))?;
    let chunk: Value = serde_json::from_str(data).ok()?;
    Some(chunk.get(ID)?.as_str()?.to_owned())
}
