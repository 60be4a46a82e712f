//! The index: the one partition of small records that every front reads, and what it says.
//! Its order decides on steps and on the lease. Decides nothing itself: steps are judged in
//! `steps`, the lease in `lease`.

mod record;
mod view;

pub use record::{
    DATA_TOPIC, INDEX_PARTITION, INDEX_TOPIC, IndexError, LogRecord, RUNNER_GROUP, RUNNER_TOPIC,
    USAGE_TOPIC, decode, decode_usage, encode, encode_usage,
};
pub use view::Index;
