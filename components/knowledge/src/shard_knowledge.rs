//! What the owner of a shard knows.

use derive::wire;
use lengths::LengthSnapshot;
use pace::PaceSnapshot;
use steps::StepId;

/// What is known of a replica in one life.
#[wire]
pub struct ReplicaKnowledge {
    /// Id of the replica.
    pub id: String,
    /// Start of the replica's life, from its record.
    pub started_ms: u64,
    /// Pace of the replica in this life.
    pub pace: PaceSnapshot,
    /// Models of which it refuses items.
    pub refused_models: Vec<String>,
}

/// What is known of the lengths of a model's texts.
#[wire]
pub struct ModelLengths {
    /// Name of the model.
    pub model: String,
    /// Lengths of its texts.
    pub lengths: LengthSnapshot,
}

/// A run in progress.
#[wire]
pub struct RunKnowledge {
    /// Step of the item.
    pub step: StepId,
    /// Number of the item in the step, from 0.
    pub item: u32,
    /// Index of the replica in [`ShardKnowledge::replicas`].
    pub replica: u16,
    /// Events that the text has.
    pub events: u64,
}

/// What the owner of a shard knows; a record of the data topic.
#[wire]
pub struct ShardKnowledge {
    /// Version of the encoding; the first field in all versions.
    pub version: u32,
    /// Pool of replicas.
    pub pool: String,
    /// Number of the shard in its pool.
    pub shard: u16,
    /// Node of the owner.
    pub node: String,
    /// Replicas that the owner has observed.
    pub replicas: Vec<ReplicaKnowledge>,
    /// Lengths of texts, by model.
    pub lengths: Vec<ModelLengths>,
    /// Runs in progress.
    pub runs: Vec<RunKnowledge>,
}
