//! JSON records of a shard in the log. One append carries a [`Line`] of several records.

use derive::{value, wire};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use types::{CallId, Failure};

use crate::{ClaimSettings, KeyDigest, RequestDigest};

/// Format version of the records.
const FORM: u16 = 1;

quick_error! {
    /// Why a line of a shard could not be decoded or encoded.
    #[derive(Debug)]
    pub enum RecordError {
        /// The line is not valid JSON of the expected format.
        Json(error: serde_json::Error) {
            display("malformed line of claims: {}", error)
            from()
        }
        /// The line has another format version, for example of a newer release.
        Form(form: u16) {
            display("unsupported format {} of a line of claims: this version supports format {}", form, FORM)
        }
        /// The line has no record with this index, or the record is not the end of a call.
        Missing(index: u32) {
            display("the line of claims has no outcome at index {}", index)
        }
    }
}

/// A submission's claim on a key.
#[wire]
#[derive(Copy)]
pub struct Claim {
    /// Digest of the key and its customer.
    pub key: KeyDigest,
    /// Digest of the submission's request; a repeat must have the same one.
    pub request: RequestDigest,
    /// Identifier of the claim, unique across processes and restarts.
    pub claim: CallId,
    /// Maximum time from the claim to the end of its call, in milliseconds.
    pub runs_for_ms: u32,
}

/// Body of a recorded answer.
#[wire]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// A body that is valid UTF-8.
    Text(String),
    /// Any other body, as two hexadecimal digits per byte.
    Hex(String),
}

impl Body {
    /// Encodes the bytes of a body.
    pub fn new(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => Body::Text(text.to_owned()),
            Err(_) => Body::Hex(bytes.iter().map(|byte| format!("{byte:02x}")).collect()),
        }
    }

    /// Decodes the body; `None` if the hexadecimal digits are malformed.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        match self {
            Body::Text(text) => Some(text.as_bytes().to_vec()),
            Body::Hex(digits) => parse_hex(digits),
        }
    }
}

/// A complete recorded answer.
#[wire]
pub struct Answer {
    /// Names and values of the HTTP headers.
    pub headers: Vec<(String, String)>,
    /// HTTP body.
    pub body: Body,
}

/// How the call of a won claim ended.
#[wire]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The call was answered completely.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// The answer; `None` if its body exceeds [`ClaimSettings::answer_bytes_max`].
        answer: Option<Answer>,
    },
    /// The call has no complete answer. A call that did not run is recorded as [`Record::Release`]
    /// instead.
    Failed(Failure),
}

impl Outcome {
    /// The outcome of a complete answer. Answers with large bodies are recorded without their
    /// content.
    pub fn answered(
        status: u16,
        headers: &[(String, String)],
        body: &[u8],
        settings: &ClaimSettings,
    ) -> Self {
        let is_small = body.len() <= settings.answer_bytes_max;
        let answer = is_small.then(|| Answer {
            headers: headers.to_vec(),
            body: Body::new(body),
        });
        Outcome::Answered { status, answer }
    }
}

/// A record of a shard.
#[wire]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// A submission claims a key.
    Claim(Claim),
    /// The call of a won claim ended.
    Done {
        /// Digest of the key and its customer.
        key: KeyDigest,
        /// Claim that won the key.
        claim: CallId,
        /// How the call ended.
        outcome: Outcome,
    },
    /// The holder of a claim has not run the call and never will.
    Release {
        /// Digest of the key and its customer.
        key: KeyDigest,
        /// Identifier of the released claim.
        claim: CallId,
    },
}

impl Record {
    /// Key that the record refers to.
    pub fn key(&self) -> KeyDigest {
        match self {
            Record::Claim(claim) => claim.key,
            Record::Done { key, .. } | Record::Release { key, .. } => *key,
        }
    }
}

#[derive(Serialize, Deserialize)]
struct FormHeader {
    form: u16,
}

/// Content of one append.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Line {
    form: u16,
    /// Records in the order in which they were queued.
    pub records: Vec<Record>,
}

impl Line {
    /// Creates a line in the current format.
    pub fn new(records: Vec<Record>) -> Self {
        Self {
            form: FORM,
            records,
        }
    }

    /// Parses a line from the log.
    pub fn parse(text: &str) -> Result<Self, RecordError> {
        let FormHeader { form } = serde_json::from_str(text)?;
        if form != FORM {
            return Err(RecordError::Form(form));
        }
        Ok(serde_json::from_str(text)?)
    }

    /// Encodes the line for the log.
    pub fn to_json(&self) -> Result<String, RecordError> {
        Ok(serde_json::to_string(self)?)
    }

    /// The outcome in the record with this index.
    pub fn outcome(mut self, index: u32) -> Result<Outcome, RecordError> {
        let index = index as usize;
        if index >= self.records.len() {
            return Err(RecordError::Missing(index as u32));
        }
        match self.records.swap_remove(index) {
            Record::Done { outcome, .. } => Ok(outcome),
            _ => Err(RecordError::Missing(index as u32)),
        }
    }
}

fn parse_hex(digits: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u32>> = digits.chars().map(|digit| digit.to_digit(16)).collect();
    let digits = digits?;
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let pairs = digits.chunks_exact(2);
    pairs
        .map(|pair| u8::try_from(pair[0] * 16 + pair[1]).ok())
        .collect()
}
