//! The answer to a request as its caller sees it, with the outcome that the caller concludes.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use derive::{key, value};
use serde::Deserialize;
use types::WeightVersion;

/// How a request ended, as far as its caller can tell.
#[key]
pub enum Ending {
    /// The answer is complete.
    Whole,
    /// The answer is a refusal stating that the request was not run.
    NotRun,
    /// The answer states that the request may have run.
    Unknown,
    /// The answer states that the request ran and failed.
    Failed,
    /// No answer arrived, or it was interrupted without a problem document.
    Lost,
}

impl Ending {
    /// Every ending, in the order of the tables' columns.
    pub const ALL: [Ending; 5] = [
        Ending::Whole,
        Ending::NotRun,
        Ending::Unknown,
        Ending::Failed,
        Ending::Lost,
    ];

    /// Name in tables and in JSON; equal to the `outcome` of a problem document.
    pub fn as_str(self) -> &'static str {
        match self {
            Ending::Whole => "whole",
            Ending::NotRun => "not-run",
            Ending::Unknown => "unknown",
            Ending::Failed => "failed",
            Ending::Lost => "lost",
        }
    }

    /// Parses the `outcome` of a problem document; an unknown one counts as `Lost`.
    pub fn from_outcome(name: &str) -> Ending {
        let mut all = Ending::ALL.into_iter();
        let known = all.find(|ending| ending.as_str() == name);
        known.unwrap_or(Ending::Lost)
    }
}

/// The answer to a request, or what was received of it.
#[value]
pub struct Reply {
    /// How the request ended.
    pub ending: Ending,
    /// HTTP status; 0 if no answer arrived.
    pub status: u16,
    /// Cause from the problem document, else the caller's own error; empty for a complete answer.
    pub cause: String,
    /// Value of the `retry-after` header in seconds.
    pub retry_after_s: Option<u64>,
    /// The body, or the part of it that was received.
    pub body: Bytes,
    /// Weight versions that the answer names; empty except for completions.
    pub versions: BTreeSet<WeightVersion>,
    /// Whether any byte of the request may have left the caller.
    pub may_have_left: bool,
    /// Whether the system repeated its answer to an earlier request with the same idempotency key.
    pub replayed: bool,
    /// Time from the sending until the first byte of the body; `latency` if there was none.
    pub first_byte: Duration,
    /// Time from the sending until the end of the answer.
    pub latency: Duration,
}

/// The members of a problem document that a caller evaluates.
#[derive(Debug, Default, Deserialize)]
pub struct Problem {
    /// Whether the request was run; see [`Ending::from_outcome`].
    #[serde(default)]
    pub outcome: String,
    /// Cause of the failure.
    #[serde(default)]
    pub cause: String,
}

impl Problem {
    /// Parses a body; all members are empty if the body is no problem document.
    pub fn parse(body: &[u8]) -> Problem {
        serde_json::from_slice(body).unwrap_or_default()
    }

    /// Parses the `error` event of a stream, if the stream has one.
    pub fn in_stream(body: &[u8]) -> Option<Problem> {
        const EVENT: &[u8] = b"event: error\ndata: ";
        let start = body.windows(EVENT.len()).position(|part| part == EVENT)?;
        let data = body.get(start + EVENT.len()..)?;
        let document = data.split(|&byte| byte == b'\n').next()?;
        Some(Problem::parse(document))
    }
}
