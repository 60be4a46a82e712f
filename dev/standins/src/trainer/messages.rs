//! Messages between a trainer and an entry.

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

/// A sample of a step, as an entry delivers it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Number of the group within the step, from 0.
    pub group: u32,
    /// Number of the sample within the group, from 0.
    pub index: u32,
    /// Generated text.
    pub text: String,
    /// Versions that generated the text, such as `1.7`.
    pub versions: Vec<String>,
    /// Score by the service's scorer; `None` for a service without a scorer.
    pub score: Option<f64>,
    /// Number of versions that the sample's oldest version is behind the trainer's, as computed by
    /// the entry.
    pub staleness: u64,
}

impl Sample {
    /// Parses the versions; `None` if one of them is malformed.
    pub fn parsed_versions(&self) -> Option<Vec<WeightVersion>> {
        let versions = self.versions.iter();
        versions.map(|version| version.parse().ok()).collect()
    }
}

/// Answer to a fetch of samples.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fetched {
    /// Samples that the cursor of the request does not count as received.
    pub samples: Vec<Sample>,
    /// Cursor that counts these samples as received; sent with the next fetch.
    pub cursor: String,
    /// Samples received so far, including those of this answer.
    pub received: u32,
    /// Samples of the complete step.
    pub total: u32,
    /// Whether all samples of the step are received with this answer.
    pub complete: bool,
}

/// The field of a problem document that the trainer reads.
#[wire]
#[derive(Default)]
pub(super) struct Problem {
    #[serde(default)]
    pub(super) cause: String,
}
