//! Training samples: the ledger of a step, the trainer's cursor, the order of runs, and
//! how old a sample may be. Events and the time go in, actions come out.

mod codec;
mod copy;
mod cursor;
mod distribution;
mod fetch_log;
mod holdings;
mod home;
mod ledger;
mod provenance;
mod sample;
mod slots;
mod step;
mod steps;
pub mod straggler;
pub mod swap;
mod tally;
mod trainer_state;

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
pub use sample::{Sample, Score, ScoreError, staleness};
pub use slots::SlotSet;
pub use step::{Group, Slot, Step, StepDigest, StepError, StepKey};
pub use steps::{PostError, PostOutcome, Steps};
pub use tally::{IdleClock, Tally};
pub use trainer_state::{ReceivedReply, ReplyError, TrainerState};
