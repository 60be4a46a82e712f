//! What a caller got.

use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use derive::{key, value};
use serde::Deserialize;
use types::WeightVersion;

/// How a request ended, as its caller can tell.
#[key]
pub enum Ending {
    /// A whole answer.
    Whole,
    /// A refusal that says that it did not run.
    NotRun,
    /// An answer that says that it may have run.
    Unknown,
    /// An answer that says that it ran and failed.
    Failed,
    /// No answer, or one that broke without a word.
    Lost,
}

impl Ending {
    /// Every ending.
    pub const ALL: [Ending; 5] = [
        Ending::Whole,
        Ending::NotRun,
        Ending::Unknown,
        Ending::Failed,
        Ending::Lost,
    ];

    /// The word in a table.
    pub fn as_str(self) -> &'static str {
        match self {
            Ending::Whole => "whole",
            Ending::NotRun => "not-run",
            Ending::Unknown => "unknown",
            Ending::Failed => "failed",
            Ending::Lost => "lost",
        }
    }

    /// The ending that a problem document's `outcome` names.
    pub fn of_outcome(word: &str) -> Ending {
        let mut all = Ending::ALL.into_iter();
        let stated = all.find(|ending| ending.as_str() == word);
        stated.unwrap_or(Ending::Lost)
    }
}

/// What a caller got.
#[value]
pub struct Reply {
    /// How it ended.
    pub ending: Ending,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// The system's cause, or the caller's own view of a loss; empty for a whole answer.
    pub cause: String,
    /// Time to come back, if one was given.
    pub retry_after_s: Option<u64>,
    /// The body as far as it came.
    pub body: Bytes,
    /// Versions stamped on a completion.
    pub versions: BTreeSet<WeightVersion>,
    /// Whether a byte of the request may have left.
    pub sent: bool,
    /// Whether it is the answer of an earlier submission.
    pub replayed: bool,
    /// Time until the first byte of the body.
    pub first_byte: Duration,
    /// Time until the end.
    pub latency: Duration,
}

/// A problem document, as far as a caller acts on it.
#[derive(Debug, Default, Deserialize)]
pub struct Problem {
    /// Whether it ran.
    #[serde(default)]
    pub outcome: String,
    /// Why.
    #[serde(default)]
    pub cause: String,
}

impl Problem {
    /// The problem in a body; an empty one where there is none.
    pub fn parse(body: &[u8]) -> Problem {
        serde_json::from_slice(body).unwrap_or_default()
    }

    /// The problem in the `error` event of a stream, if one came.
    pub fn in_stream(body: &[u8]) -> Option<Problem> {
        const EVENT: &[u8] = b"event: error\ndata: ";
        let start = body.windows(EVENT.len()).position(|part| part == EVENT)?;
        let data = body.get(start + EVENT.len()..)?;
        let document = data.split(|&byte| byte == b'\n').next()?;
        Some(Problem::parse(document))
    }
}
