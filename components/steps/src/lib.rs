//! Training steps and their results, as the index topic records them.
//!
//! The order of the log alone decides. The first [`StepRecord::Accepted`] with an id defines the
//! step. The first [`StepRecord::Listed`] of an item is its result, and the item's position in
//! the list of results follows from the place of that record in the log. Every process that reads
//! the log derives the same positions, and they never change. Therefore any process may run an
//! item, and records may be written twice or arrive late, without further coordination.
//!
//! Request bodies and texts are stored in the data topic and are read on demand. The structures
//! here hold only their locations.

mod data;
mod ledger;
mod record;
mod step;

pub use data::{DataError, ItemData, RewardCall, decode_item, encode_item};
pub use ledger::{Change, LATE_READ_MS, Ledger};
pub use record::{
    DataLocation, DataRange, ErrorCause, FailedPart, ItemHead, ResultState, SavedPiece, StepHead,
    StepId, StepRecord,
};
pub use step::{ItemProgress, ListedResult, Step};
