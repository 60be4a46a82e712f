//! Events of an engine that goes on with another one's stream, as one stream.
//!
//! The second engine has its own id for the completion and counts the tokens that it was
//! given as part of the prompt; a caller that follows the id or pays by the usage would
//! see two half completions.

use bytes::Bytes;
use serde_json::Value;

const DATA: &str = "data: ";
const ID: &str = "id";
const USAGE: &str = "usage";
const PROMPT_TOKENS: &str = "prompt_tokens";
const COMPLETION_TOKENS: &str = "completion_tokens";

/// What the first engine said of the completion, and what the next one was given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Continuation {
    /// Id of the completion; `None` before its first event.
    pub id: Option<String>,
    /// Tokens that the present engine was given.
    pub tokens: u64,
}

impl Continuation {
    /// Notes the id of the first event.
    pub fn record_id(&mut self, events: &[u8]) {
        if self.id.is_none() {
            self.id = first_id(events);
        }
    }

    /// Whole events of the present engine, as the caller gets them.
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
