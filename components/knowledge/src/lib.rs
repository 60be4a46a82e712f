//! What the owner of a shard knows of replicas and texts, kept for the next owner.
//!
//! In each second in which its knowledge changed, the owner appends a [`ShardKnowledge`] to the data
//! topic and a [`ShardRecord`] with its location to the index. The next owner reads the newest one
//! and restores from it. The knowledge is a hint that affects nothing but speed, so a record of a
//! stale owner does no harm, and without a usable record the next owner works from priors.
//! Alternatives that were considered are in `docs/design/hard-load.md`.
//!
//! Times are ages: the clocks of two fronts have nothing in common. The age of a record is counted
//! from the moment at which this front read it.
//!
//! The crate does no I/O and reads no clock.

mod encoding;
mod error;
mod record;
mod restore;
mod schedule;
mod shard_knowledge;
mod transfer;

pub use encoding::{
    EncodedKnowledge, KNOWLEDGE_BYTES_MAX, KNOWLEDGE_VERSION, KnowledgePart, decode, encode,
};
pub use error::KnowledgeError;
pub use record::{NewestRecord, ShardRecord, ShardRecords};
pub use restore::{CurrentReplica, Restored, RestoredReplica, RestoredRun, restore};
pub use schedule::WriteSchedule;
pub use shard_knowledge::{ModelLengths, ReplicaKnowledge, RunKnowledge, ShardKnowledge};
pub use transfer::{ShardTransfers, TransferNumber};
