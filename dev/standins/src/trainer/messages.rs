//! What a trainer and an entry say to each other.

use derive::wire;
use serde::{Deserialize, Serialize};
use types::WeightVersion;

#[derive(Serialize)]
pub(super) struct Announcement {
    pub(super) version: String,
}

#[derive(Serialize)]
pub(super) struct Group {
    pub(super) prompt: String,
    pub(super) samples: u32,
}

#[derive(Serialize)]
pub(super) struct Step<'a> {
    pub(super) step: u64,
    pub(super) groups: &'a [Group],
    pub(super) max_tokens: u32,
    pub(super) trainer_version: String,
    pub(super) cursor: Option<&'a str>,
}

#[derive(Deserialize)]
pub(super) struct Posted {
    pub(super) cursor: String,
}

#[derive(Serialize)]
pub(super) struct Fetch<'a> {
    pub(super) cursor: &'a str,
    pub(super) trainer_version: String,
    pub(super) max: u32,
    pub(super) wait_ms: u64,
}

/// One sample.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Group within the step.
    pub group: u32,
    /// Place within the group.
    pub index: u32,
    /// The completion.
    pub text: String,
    /// Versions that made it.
    pub versions: Vec<String>,
    /// Its score, if the service has a scorer.
    pub score: Option<f64>,
    /// Versions that it is behind the trainer's, as the system judged.
    pub staleness: u64,
}

impl Sample {
    /// The versions; `None` when one of them is not a version.
    pub fn parsed_versions(&self) -> Option<Vec<WeightVersion>> {
        let versions = self.versions.iter();
        versions.map(|version| version.parse().ok()).collect()
    }
}

/// Answer to a fetch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fetched {
    /// Samples that the trainer did not have yet.
    pub samples: Vec<Sample>,
    /// Cursor that counts them as received.
    pub cursor: String,
    /// Samples received with this reply.
    pub received: u32,
    /// Samples of the step.
    pub total: u32,
    /// Whether the step is complete.
    pub complete: bool,
}

/// Problem document of a refusal.
#[wire]
#[derive(Default)]
pub(super) struct Problem {
    #[serde(default)]
    pub(super) cause: String,
}
