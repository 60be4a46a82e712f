//! Training samples: the ledger of a step, the trainer's cursor, the scheduling of runs and
//! the staleness bound.
//!
//! The crate does no I/O and reads no clock: the caller passes in events and the time, and
//! performs the actions that the ledger returns.

mod codec;
mod copy;
mod cursor;
mod distribution;
mod fetch_log;
mod holdings;
mod home;
mod ledger;
mod provenance;
mod received;
mod sample;
mod slots;
mod step;
mod steps;
pub mod straggler;
pub mod swap;
mod tally;

pub use copy::{CopyMessage, split_batches};
pub use cursor::{Cursor, CursorError, CursorKeys};
pub use distribution::Distribution;
pub use fetch_log::{FetchLog, FetchState, Grant, GrantVerdict};
pub use holdings::StepBounds;
pub use home::{Entry, Homes, choose_homes};
pub use ledger::{
    Action, Completion, Fault, FetchError, Ledger, LedgerSettings, Offer, PartialSample, Replica,
    Reply, RetryBackoff, RunCapacity, RunId, Start,
};
pub use provenance::{Provenance, Stamps};
pub use received::{ReceivedReply, ReplyError, TrainerState};
pub use sample::{Sample, Score, ScoreError, staleness};
pub use slots::SlotSet;
pub use step::{Group, Slot, Step, StepDigest, StepError, StepKey};
pub use steps::{PostError, PostOutcome, Steps};
pub use tally::{IdleClock, Tally};
