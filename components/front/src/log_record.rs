//! Records of the topic that every front follows.

use derive::wire;
use lease::LeaseRecord;
use steps::IndexRecord;

/// Topic that every front follows: one partition, small records.
pub const INDEX_TOPIC: &str = "index";
/// Partition of the index: one, so that all records have one order.
pub const INDEX_PARTITION: u32 = 0;
/// Topic of items' data and texts, read when somebody asks.
pub const DATA_TOPIC: &str = "data";
/// Topic whose partitions stand for models in the group of runners.
pub const RUNNER_TOPIC: &str = "runners";
/// Group of the fronts that run steps.
pub const RUNNER_GROUP: &str = "fronts";

/// A record of the index topic.
#[wire]
pub enum LogRecord {
    /// About steps.
    Index(IndexRecord),
    /// About the lease on orders.
    Lease(LeaseRecord),
}
