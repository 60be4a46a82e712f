//! Settings of a training run.

use std::net::SocketAddr;

use derive::value;
use types::WeightVersion;

/// Settings of a training run.
#[value]
pub struct TrainerSettings {
    /// Entries; the first is used until a request to it fails.
    pub entries: Vec<SocketAddr>,
    /// Bearer token of the trainer.
    pub token: String,
    /// Model service to train.
    pub service: String,
    /// Number of steps to run.
    pub steps: u64,
    /// Number of the first step.
    pub first_step: u64,
    /// Groups per step.
    pub groups: u32,
    /// Samples per group.
    pub samples: u32,
    /// Most tokens of a sample.
    pub max_tokens: u32,
    /// Time that training on a step takes.
    pub train_ms: u64,
    /// Most versions that a sample may be behind the trainer's.
    pub staleness_bound: u64,
    /// Steps between two new versions; 0 for no new versions.
    pub weights_every: u64,
    /// Steps posted ahead of the step that is trained on.
    pub ahead: u64,
    /// Most samples of a fetch.
    pub fetch_max: u32,
    /// Duration of the long poll of a fetch.
    pub wait_ms: u64,
    /// Timeout of a request, without the long poll.
    pub request_timeout_ms: u64,
    /// Time after which an incomplete step, or a request that is retried, fails the run.
    pub step_timeout_ms: u64,
    /// Version announced at the start of the run.
    pub version: WeightVersion,
    /// Whether the engines write their version into the text of each token, as the stand-in does,
    /// so that the versions of a sample can be compared with its text.
    pub texts_contain_versions: bool,
}

impl Default for TrainerSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            token: String::new(),
            service: String::new(),
            steps: 2,
            first_step: 1,
            groups: 4,
            samples: 4,
            max_tokens: 64,
            train_ms: 200,
            staleness_bound: 2,
            weights_every: 1,
            ahead: 1,
            fetch_max: 64,
            wait_ms: 500,
            request_timeout_ms: 5_000,
            step_timeout_ms: 60_000,
            version: WeightVersion::default(),
            texts_contain_versions: true,
        }
    }
}
