//! JSON bodies of the training API.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use types::WeightVersion;

use crate::completion::MAX_TOKENS_MAX;
use crate::rejection::{BodyFault, Rejection};

/// Longest wait of a fetch, in milliseconds.
pub const WAIT_MS_MAX: u64 = 30_000;
/// Most samples of one fetch.
pub const FETCH_MAX: u32 = 1_024;

/// An announcement or a roll-back.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionBody {
    version: String,
}

impl VersionBody {
    /// The version. Errors when it is not written as `EPOCH.VERSION`.
    pub fn version(&self) -> Result<WeightVersion, Rejection> {
        parse_version("version", &self.version)
    }
}

/// One prompt and the number of samples wanted of it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupBody {
    /// The prompt.
    pub prompt: String,
    /// Samples wanted.
    pub samples: u32,
}

/// A step as its trainer posts it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepBody {
    /// Number that the trainer gives it.
    pub step: u64,
    /// Its groups.
    pub groups: Vec<GroupBody>,
    max_tokens: u32,
    trainer_version: String,
    /// The trainer's newest cursor of this step, if it has one.
    #[serde(default)]
    pub cursor: Option<String>,
}

impl StepBody {
    /// Tokens of one sample at most.
    pub fn max_tokens(&self) -> Result<u32, Rejection> {
        if (1..=MAX_TOKENS_MAX).contains(&u64::from(self.max_tokens)) {
            return Ok(self.max_tokens);
        }
        Err(Rejection::field("max_tokens", "a number from 1 to 65536"))
    }

    /// The trainer's own version.
    pub fn trainer_version(&self) -> Result<WeightVersion, Rejection> {
        parse_version("trainer_version", &self.trainer_version)
    }
}

/// A fetch.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FetchBody {
    /// The trainer's newest cursor of this step.
    pub cursor: String,
    trainer_version: String,
    max: u32,
    #[serde(default)]
    wait_ms: u64,
}

impl FetchBody {
    /// The trainer's own version.
    pub fn trainer_version(&self) -> Result<WeightVersion, Rejection> {
        parse_version("trainer_version", &self.trainer_version)
    }

    /// Most samples that are wanted.
    pub fn max(&self) -> Result<u32, Rejection> {
        if (1..=FETCH_MAX).contains(&self.max) {
            return Ok(self.max);
        }
        Err(Rejection::field("max", "a number from 1 to 1024"))
    }

    /// Longest wait for a first sample, in milliseconds.
    pub fn wait_ms(&self) -> u64 {
        self.wait_ms.min(WAIT_MS_MAX)
    }
}

/// Answer to a post.
#[derive(Debug, Serialize)]
pub struct PostedBody<'a> {
    /// The cursor to fetch with.
    pub cursor: &'a str,
}

/// Answer to an announcement.
#[derive(Debug, Serialize)]
pub struct ActiveVersionBody {
    /// The version in force.
    pub version: String,
    /// The version that engines have loaded, or load.
    pub load: String,
}

/// One sample of a reply.
#[derive(Debug, Serialize)]
pub struct SampleBody<'a> {
    /// Its group.
    pub group: u32,
    /// Its place in the group.
    pub index: u32,
    /// Its text.
    pub text: &'a str,
    /// Every version that made a part of it.
    pub versions: Vec<String>,
    /// Its score, if the service has a scorer.
    pub score: Option<f64>,
    /// Versions between its oldest one and the trainer's own.
    pub staleness: u64,
}

/// Answer to a fetch. It counts only together with its cursor.
#[derive(Debug, Serialize)]
pub struct FetchedBody<'a> {
    /// Samples that the trainer does not have.
    pub samples: Vec<SampleBody<'a>>,
    /// The cursor to fetch with next.
    pub cursor: &'a str,
    /// Slots that the trainer has once it holds this reply.
    pub received: u32,
    /// Slots of the step.
    pub total: u32,
    /// Whether it then has all.
    pub complete: bool,
}

/// Reads a JSON body. Errors say where and what.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Rejection> {
    let parsed = serde_json::from_slice(body);
    parsed.map_err(|reason| Rejection::Body(BodyFault::json(&reason)))
}

fn parse_version(name: &'static str, text: &str) -> Result<WeightVersion, Rejection> {
    let parsed = text.parse();
    parsed.map_err(|_| Rejection::field(name, "a weight version such as 1.7"))
}
