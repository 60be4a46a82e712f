//! Bodies of completions: what the system reads and changes of them. Everything else
//! that a caller writes goes to the engine as it is.

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

/// Most tokens that a completion may ask for.
pub const MAX_TOKENS_MAX: u64 = 65_536;
/// Tokens where the caller states none; stated towards the engine, so that limits and
/// engine go by one number.
const MAX_TOKENS_DEFAULT: u64 = 256;
/// Rough bytes of a prompt for each of its tokens, for limits and load only.
const BYTES_PER_TOKEN: usize = 4;

/// Priority of a class towards an engine; lower goes first.
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

/// Tokens that a whole answer says it used.
pub fn used_tokens(answer: &[u8]) -> Option<u32> {
    let answer: Answer = serde_json::from_slice(answer).ok()?;
    let usage = answer.usage?;
    Some(usage.prompt_tokens.saturating_add(usage.completion_tokens))
}

/// Size of a completion.
pub fn work(prompt: &str, max_tokens: u64) -> routing::Work {
    let prompt_tokens = prompt.len().div_ceil(BYTES_PER_TOKEN);
    routing::Work {
        prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
        max_new_tokens: u32::try_from(max_tokens).unwrap_or(u32::MAX),
    }
}

/// A checked completion request.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    fields: Map<String, Value>,
    /// Model as the caller names it.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Most tokens of the answer.
    pub max_tokens: u64,
}

impl Completion {
    /// Reads a body. Errors name the field and what is allowed.
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

    /// Its size, by a rough count of the prompt's tokens.
    pub fn work(&self) -> routing::Work {
        work(&self.prompt, self.max_tokens)
    }

    /// The body for an engine: its own name of the model, the request's id and priority,
    /// and the tokens that an earlier endpoint generated already.
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
        // A map of JSON values always serialises.
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
