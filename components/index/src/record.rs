//! Records of the index, and the names under which the fronts' records lie in the store.

use bytes::Bytes;
use derive::wire;
use lease::LeaseRecord;
use quick_error::quick_error;
use steps::StepRecord;
use usage::UsageRecord;

/// Topic that every front follows: one partition, small records.
pub const INDEX_TOPIC: &str = "index";
/// Partition of the index: one, so that all records have one order.
pub const INDEX_PARTITION: u32 = 0;
/// Topic of usage: one partition, so that counts and seals have one order. The holder of the lease
/// alone reads it; in the index each count would wake every front.
pub const USAGE_TOPIC: &str = "usage";
/// Topic of items' data and texts, read when somebody asks.
pub const DATA_TOPIC: &str = "data";
/// Topic whose partitions stand for models in the group of runners.
pub const RUNNER_TOPIC: &str = "runners";
/// Group of the fronts that run steps.
pub const RUNNER_GROUP: &str = "fronts";

quick_error! {
    /// Why bytes are no record of the index.
    #[derive(Debug)]
    pub enum IndexError {
        /// They can't be decoded.
        Decode(reason: postcard::Error) {
            source(reason)
            display("cannot decode a record of the index: {}", reason)
        }
        /// The value can't be encoded.
        Encode(reason: postcard::Error) {
            source(reason)
            display("cannot encode a record of the index: {}", reason)
        }
    }
}

/// A record of the index topic.
#[wire]
pub enum LogRecord {
    /// About steps.
    #[serde(rename = "Index")]
    Step(StepRecord),
    /// About the lease on orders.
    Lease(LeaseRecord),
}

/// A record's bytes.
pub fn encode(record: &LogRecord) -> Result<Bytes, IndexError> {
    let bytes = postcard::to_stdvec(record).map_err(IndexError::Encode)?;
    Ok(bytes.into())
}

/// A record of usage as bytes.
pub fn encode_usage(record: &UsageRecord) -> Result<Bytes, IndexError> {
    let bytes = postcard::to_stdvec(record).map_err(IndexError::Encode)?;
    Ok(bytes.into())
}

/// The record of usage in these bytes.
pub fn decode_usage(bytes: &[u8]) -> Result<UsageRecord, IndexError> {
    postcard::from_bytes(bytes).map_err(IndexError::Decode)
}

/// The record in these bytes.
pub fn decode(bytes: &[u8]) -> Result<LogRecord, IndexError> {
    postcard::from_bytes(bytes).map_err(IndexError::Decode)
}
