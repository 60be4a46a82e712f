//! JSON bodies of the training API.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use types::WeightVersion;

use crate::completion::MAX_TOKENS_MAX;
use crate::rejection::{BodyFault, Rejection};

/// Longest time that a fetch may wait; a longer wait in a request is reduced to it.
pub const WAIT_MS_MAX: u64 = 30_000;
/// Maximum number of samples in one fetch.
pub const FETCH_MAX: u32 = 1_024;

/// Body of an announcement, a preparation or a rollback.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionBody {
    version: String,
}

impl VersionBody {
    /// Parses the version. Fails unless it has the form `EPOCH.VERSION`.
    pub fn version(&self) -> Result<WeightVersion, Rejection> {
        parse_version("version", &self.version)
    }
}

/// A prompt and the number of samples requested for it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupBody {
    pub prompt: String,
    pub samples: u32,
}

/// Body of a post of a step.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StepBody {
    /// Number of the step, assigned by the trainer.
    pub step: u64,
    pub groups: Vec<GroupBody>,
    max_tokens: u32,
    trainer_version: String,
    /// The trainer's newest cursor of this step; `None` if it has none.
    #[serde(default)]
    pub cursor: Option<String>,
}

impl StepBody {
    /// Maximum number of tokens per sample. Fails if the value is out of range.
    pub fn max_tokens(&self) -> Result<u32, Rejection> {
        if (1..=MAX_TOKENS_MAX).contains(&u64::from(self.max_tokens)) {
            return Ok(self.max_tokens);
        }
        Err(Rejection::field("max_tokens", "a number from 1 to 65536"))
    }

    /// Parses the version that the trainer itself has reached.
    pub fn trainer_version(&self) -> Result<WeightVersion, Rejection> {
        parse_version("trainer_version", &self.trainer_version)
    }
}

/// Body of a fetch.
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
    /// Parses the version that the trainer itself has reached.
    pub fn trainer_version(&self) -> Result<WeightVersion, Rejection> {
        parse_version("trainer_version", &self.trainer_version)
    }

    /// Maximum number of samples in the reply. Fails if the value is out of range.
    pub fn max(&self) -> Result<u32, Rejection> {
        if (1..=FETCH_MAX).contains(&self.max) {
            return Ok(self.max);
        }
        Err(Rejection::field("max", "a number from 1 to 1024"))
    }

    /// Longest wait for the first sample, limited to `WAIT_MS_MAX`.
    pub fn wait_ms(&self) -> u64 {
        self.wait_ms.min(WAIT_MS_MAX)
    }
}

/// Answer to a post.
#[derive(Debug, Serialize)]
pub struct PostedBody<'a> {
    /// Cursor for the first fetch.
    pub cursor: &'a str,
}

/// Answer to an announcement, a preparation or a rollback of a weight version.
#[derive(Debug, Serialize)]
pub struct ActiveVersionBody {
    /// The active version.
    pub version: String,
    /// The version that engines load or have loaded.
    pub load: String,
}

/// A sample in the answer to a fetch.
#[derive(Debug, Serialize)]
pub struct SampleBody<'a> {
    pub group: u32,
    /// Index of the sample within its group.
    pub index: u32,
    pub text: &'a str,
    /// Every version that generated a part of the sample.
    pub versions: Vec<String>,
    /// `None` if the service has no scorer.
    pub score: Option<f64>,
    /// Number of versions between the sample's oldest version and the trainer's own.
    pub staleness: u64,
}

/// Answer to a fetch. The samples count as received only when the trainer sends the cursor back.
#[derive(Debug, Serialize)]
pub struct FetchedBody<'a> {
    /// Samples that the trainer has not received, according to its cursor.
    pub samples: Vec<SampleBody<'a>>,
    /// Cursor for the next fetch.
    pub cursor: &'a str,
    /// Number of slots that the trainer has received once it holds this answer.
    pub received: u32,
    /// Number of slots of the step.
    pub total: u32,
    /// Whether the trainer then has every slot.
    pub complete: bool,
}

/// Parses a JSON body. An error names the position and the fault.
pub fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Rejection> {
    let parsed = serde_json::from_slice(body);
    parsed.map_err(|reason| Rejection::Body(BodyFault::json(&reason)))
}

fn parse_version(name: &'static str, text: &str) -> Result<WeightVersion, Rejection> {
    let parsed = text.parse();
    parsed.map_err(|_| Rejection::field(name, "a weight version such as 1.7"))
}
