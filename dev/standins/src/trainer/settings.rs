//! Settings of a trainer.

use std::net::SocketAddr;

use derive::value;
use types::WeightVersion;

/// Settings of a trainer.
#[value]
pub struct TrainerSettings {
    /// Entries that it talks to; it begins with the first.
    pub entries: Vec<SocketAddr>,
    /// Its bearer token.
    pub token: String,
    /// Model service that it trains.
    pub service: String,
    /// Steps to run.
    pub steps: u64,
    /// Number of the first step.
    pub first_step: u64,
    /// Groups of a step.
    pub groups: u32,
    /// Samples of a group.
    pub samples: u32,
    /// Longest sample.
    pub max_tokens: u32,
    /// Time that training on a step takes.
    pub train_ms: u64,
    /// Versions that a sample may be behind.
    pub staleness_bound: u64,
    /// Steps between two versions; 0 announces none.
    pub weights_every: u64,
    /// Steps posted ahead of the one that is trained on.
    pub ahead: u64,
    /// Samples asked for at once.
    pub fetch_max: u32,
    /// Long poll of one fetch.
    pub wait_ms: u64,
    /// Deadline of an exchange, the long poll apart.
    pub request_timeout_ms: u64,
    /// Longest wait for one step.
    pub step_timeout_ms: u64,
    /// Version that it starts from.
    pub version: WeightVersion,
    /// Whether the engines' texts end in the version that made them, as the stand-in's
    /// do, so that the versions of a sample can be held against its text.
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
