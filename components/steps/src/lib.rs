//! Accepted steps and their results, as the log tells them.
//!
//! The log's order is the only judge. The first [`StepRecord::Accepted`] of an id is the
//! step; the first [`StepRecord::Listed`] of an item is its result, and its place among the
//! listed ones of its step is its position, for ever and at every process. So any process
//! may run an item, a record may be written twice or land late, and nobody has to agree
//! with anybody first. Bodies and texts lie in records of their own and are read when
//! somebody asks; here stand only their places.

mod data;
mod ledger;
mod record;
mod step;

pub use data::{DataError, ItemData, RewardCall, decode_item, encode_item};
pub use ledger::{Change, Ledger};
pub use record::{
    DataLocation, DataRange, ErrorCause, FailedPart, ItemHead, ResultState, SavedPiece, StepHead,
    StepId, StepRecord,
};
pub use step::{ItemProgress, ListedResult, Step};
