//! Records of a shard, as JSON in the log. One append carries a [`Line`] of several.

use derive::{value, wire};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use types::{CallId, Failure};

use crate::{ClaimSettings, KeyDigest, RequestDigest};

/// Version of the records' form.
const FORM: u16 = 1;

quick_error! {
    /// Why a line of a shard cannot be read or written.
    #[derive(Debug)]
    pub enum RecordError {
        /// Not JSON of a known form.
        Json(error: serde_json::Error) {
            display("not a line of claims: {}", error)
            from()
        }
        /// Written by a newer version of hornbeamrock.
        Form(form: u16) {
            display("the line has form {}, this version reads form {}", form, FORM)
        }
        /// No such record in the line.
        Missing(index: u32) {
            display("the line has no record {}", index)
        }
    }
}

/// One submission's claim on a key.
#[wire]
#[derive(Copy)]
pub struct Claim {
    /// The key.
    pub key: KeyDigest,
    /// What the submission asks for.
    pub request: RequestDigest,
    /// Identity of the claim, unique over all processes and restarts.
    pub claim: CallId,
    /// Longest time from the claim to the end of its call, in milliseconds.
    pub runs_for_ms: u32,
}

/// Body of a recorded answer.
#[wire]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// UTF-8 text as it is.
    Text(String),
    /// Other bytes, two hexadecimal digits each.
    Hex(String),
}

impl Body {
    /// Stores the bytes.
    pub fn new(bytes: &[u8]) -> Self {
        match std::str::from_utf8(bytes) {
            Ok(text) => Body::Text(text.to_owned()),
            Err(_) => Body::Hex(bytes.iter().map(|byte| format!("{byte:02x}")).collect()),
        }
    }

    /// The bytes; `None` if the digits are no bytes.
    pub fn bytes(&self) -> Option<Vec<u8>> {
        match self {
            Body::Text(text) => Some(text.as_bytes().to_vec()),
            Body::Hex(digits) => parse_hex(digits),
        }
    }
}

/// A whole answer.
#[wire]
pub struct Answer {
    /// HTTP headers.
    pub headers: Vec<(String, String)>,
    /// HTTP body.
    pub body: Body,
}

/// How a claim's call ended.
#[wire]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was answered whole.
    Answered {
        /// HTTP status of the answer.
        status: u16,
        /// The answer, unless it is too large to be recorded.
        answer: Option<Answer>,
    },
    /// It has no whole answer; never "not run", that is a [`Record::Release`].
    Failed(Failure),
}

impl Outcome {
    /// A whole answer; its body is kept if it is small enough.
    pub fn answered(
        status: u16,
        headers: &[(String, String)],
        body: &[u8],
        settings: &ClaimSettings,
    ) -> Self {
        let small = body.len() <= settings.answer_bytes_max;
        let answer = small.then(|| Answer {
            headers: headers.to_vec(),
            body: Body::new(body),
        });
        Outcome::Answered { status, answer }
    }
}

/// One record.
#[wire]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Record {
    /// A submission wants to run.
    Claim(Claim),
    /// The call of a won claim ended.
    Done {
        /// The key.
        key: KeyDigest,
        /// The claim that won it.
        claim: CallId,
        /// How it ended.
        outcome: Outcome,
    },
    /// The holder of a claim has not run it and never will.
    Release {
        /// The key.
        key: KeyDigest,
        /// The claim.
        claim: CallId,
    },
}

impl Record {
    /// The key that the record is about.
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

/// What one append carries.
#[value]
#[derive(Serialize, Deserialize)]
pub struct Line {
    form: u16,
    /// The records in their order.
    pub records: Vec<Record>,
}

impl Line {
    /// A line of these records.
    pub fn new(records: Vec<Record>) -> Self {
        Self {
            form: FORM,
            records,
        }
    }

    /// Reads a line.
    pub fn parse(text: &str) -> Result<Self, RecordError> {
        let FormHeader { form } = serde_json::from_str(text)?;
        if form != FORM {
            return Err(RecordError::Form(form));
        }
        Ok(serde_json::from_str(text)?)
    }

    /// The text for the log.
    pub fn to_json(&self) -> Result<String, RecordError> {
        Ok(serde_json::to_string(self)?)
    }

    /// The outcome recorded at this place of the line.
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
