//! Records of the index and usage topics, and the names of the fronts' topics in the store.

use bytes::Bytes;
use derive::wire;
use knowledge::ShardRecord;
use lease::LeaseRecord;
use quarantine::CrashReport;
use quick_error::quick_error;
use steps::StepRecord;
use usage::UsageRecord;

/// Topic of small records that every front follows.
pub const INDEX_TOPIC: &str = "index";
/// The only partition of the index topic; with one partition all records have a total order.
pub const INDEX_PARTITION: u32 = 0;
/// Topic of usage records, with one partition so that counts and seals have a total order. Only the
/// holder of the lease reads it; in the index topic each count would wake every front.
pub const USAGE_TOPIC: &str = "usage";
/// Topic of the items' data and texts, which are read on demand.
pub const DATA_TOPIC: &str = "data";
/// Topic whose partitions stand for the shards of pools in the group of runners.
pub const RUNNER_TOPIC: &str = "runners";
/// Group of the fronts that run steps.
pub const RUNNER_GROUP: &str = "fronts";

quick_error! {
    /// Failure to encode or decode a record of the index or usage topic.
    #[derive(Debug)]
    pub enum IndexError {
        /// The bytes can't be decoded.
        Decode(reason: postcard::Error) {
            source(reason)
            display("cannot decode a log record: {}", reason)
        }
        /// The value can't be encoded.
        Encode(reason: postcard::Error) {
            source(reason)
            display("cannot encode a log record: {}", reason)
        }
    }
}

/// A record of the index topic.
#[wire]
pub enum LogRecord {
    /// A record about steps and their items.
    #[serde(rename = "Index")]
    Step(StepRecord),
    /// A record about the lease on giving orders.
    Lease(LeaseRecord),
    /// The owner of a shard has written its knowledge for the next owner.
    Shard(ShardRecord),
    /// A replica crashed while a front had calls there.
    Crash(CrashReport),
}

/// Encodes a record for the index topic.
pub fn encode(record: &LogRecord) -> Result<Bytes, IndexError> {
    let bytes = postcard::to_stdvec(record).map_err(IndexError::Encode)?;
    Ok(bytes.into())
}

/// Encodes a record for the usage topic.
pub fn encode_usage(record: &UsageRecord) -> Result<Bytes, IndexError> {
    let bytes = postcard::to_stdvec(record).map_err(IndexError::Encode)?;
    Ok(bytes.into())
}

/// Decodes a record of the usage topic.
pub fn decode_usage(bytes: &[u8]) -> Result<UsageRecord, IndexError> {
    postcard::from_bytes(bytes).map_err(IndexError::Decode)
}

/// Decodes a record of the index topic.
pub fn decode(bytes: &[u8]) -> Result<LogRecord, IndexError> {
    postcard::from_bytes(bytes).map_err(IndexError::Decode)
}
