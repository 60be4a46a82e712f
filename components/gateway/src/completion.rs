//! Parses and rewrites the bodies of completion requests. Fields that are not listed here are
//! forwarded to the engine unchanged.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value};
use types::Class;

use crate::rejection::{BodyFault, Rejection};

const MODEL: &str = "model";
const PROMPT: &str = "prompt";
const STREAM: &str = "stream";
const MAX_TOKENS: &str = "max_tokens";
const COUNT: &str = "n";
const RESUME_TOKENS: &str = "resume_tokens";
const REQUEST_ID: &str = "request_id";
const PRIORITY: &str = "priority";

/// Maximum value of `max_tokens`.
pub const MAX_TOKENS_MAX: u64 = 65_536;
/// Default of `max_tokens`. The value is always sent to the engine, so that the customer's
/// limits and the engine use the same number.
const MAX_TOKENS_DEFAULT: u64 = 256;
/// Estimated number of prompt bytes per token, used only for limits and load estimates.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the engine priority of a class. Lower values run first.
pub fn priority(class: Class) -> u32 {
    match class {
        Class::Interactive => 0,
        Class::Background => 1,
        Class::Sampling => 2,
    }
}

#[derive(Deserialize)]
struct Answer {
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
}

/// Returns the tokens that a complete answer reports as used, or `None` if it reports none.
pub fn used_tokens(answer: &[u8]) -> Option<u32> {
    let answer: Answer = serde_json::from_slice(answer).ok()?;
    let usage = answer.usage?;
    Some(usage.prompt_tokens.saturating_add(usage.completion_tokens))
}

/// Estimates the size of a completion.
pub fn work(prompt: &str, max_tokens: u64) -> routing::Work {
    let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN);
    routing::Work {
        prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
        max_new_tokens: u32::try_from(max_tokens).unwrap_or(u32::MAX),
    }
}

/// A validated completion request.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    fields: Map<String, Value>,
    /// Model name as the caller gave it.
    pub model: String,
    /// Text to complete.
    pub prompt: String,
    /// Whether the answer is streamed as server-sent events.
    pub stream: bool,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
}

impl Completion {
    /// Parses and validates a body. Errors name the field and the allowed values.
    pub fn parse(body: &[u8]) -> Result<Self, Rejection> {
        let parsed = serde_json::from_slice(body);
        let fields: Map<String, Value> =
            parsed.map_err(|reason| Rejection::Body(BodyFault::json(&reason)))?;
        if fields.contains_key(RESUME_TOKENS) {
            return Err(Rejection::field(RESUME_TOKENS, "left out"));
        }
        let single = fields.get(COUNT).is_none_or(|n| n.as_u64() == Some(1));
        if !single {
            return Err(Rejection::field(COUNT, "1"));
        }
        Ok(Self {
            model: text(&fields, MODEL, "the name of a service")?,
            prompt: text(&fields, PROMPT, "one text")?,
            stream: stream(&fields)?,
            max_tokens: max_tokens(&fields)?,
            fields,
        })
    }

    /// Estimates the size of the request from the length of its prompt.
    pub fn work(&self) -> routing::Work {
        work(&self.prompt, self.max_tokens)
    }

    /// Returns the body for an engine. It contains the engine's name for the model, the request's
    /// id and priority, and the tokens that an earlier engine already generated.
    pub fn for_engine(
        &self,
        model: &str,
        request_id: &str,
        priority: u32,
        resume_tokens: &[u32],
    ) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert(MODEL.to_owned(), model.into());
        fields.insert(REQUEST_ID.to_owned(), request_id.into());
        fields.insert(PRIORITY.to_owned(), priority.into());
        fields.insert(MAX_TOKENS.to_owned(), self.max_tokens.into());
        if !resume_tokens.is_empty() {
            fields.insert(RESUME_TOKENS.to_owned(), resume_tokens.into());
        }
        // Serialising a map of JSON values cannot fail.
        serde_json::to_vec(&fields).unwrap_or_default().into()
    }
}

fn text(
    fields: &Map<String, Value>,
    name: &'static str,
    allowed: &'static str,
) -> Result<String, Rejection> {
    let value = fields.get(name).and_then(Value::as_str);
    let value = value.ok_or_else(|| Rejection::field(name, allowed))?;
    Ok(value.to_owned())
}

fn stream(fields: &Map<String, Value>) -> Result<bool, Rejection> {
    match fields.get(STREAM) {
        None => Ok(false),
        Some(value) => value
            .as_bool()
            .ok_or_else(|| Rejection::field(STREAM, "true or false")),
    }
}

fn max_tokens(fields: &Map<String, Value>) -> Result<u64, Rejection> {
    let Some(value) = fields.get(MAX_TOKENS) else {
        return Ok(MAX_TOKENS_DEFAULT);
    };
    let fits = |tokens: &u64| (1..=MAX_TOKENS_MAX).contains(tokens);
    let tokens = value.as_u64().filter(fits);
    tokens.ok_or_else(|| Rejection::field(MAX_TOKENS, "a number from 1 to 65536"))
}
