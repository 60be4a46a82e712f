//! The index: a topic with a single partition of small records that every front reads, and the
//! state that its records define. The order of the records decides which steps are accepted and
//! who holds the lease. This crate only decodes the records; `steps` and `lease` interpret them.

mod appends;
mod record;
mod view;

pub use appends::{AppendLimits, LENGTH_PREFIX_BYTES};
pub use record::{
    DATA_TOPIC, INDEX_PARTITION, INDEX_TOPIC, IndexError, LogRecord, RUNNER_GROUP, RUNNER_TOPIC,
    USAGE_TOPIC, decode, decode_usage, encode, encode_usage,
};
pub use view::Index;
