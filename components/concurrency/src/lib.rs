//! Admission of calls to the replicas of a plain service.
//!
//! Each front decides by itself: it sees only its own calls at a replica. [`ConcurrencyLimit`]
//! learns from answers and refusals how many of them a replica takes. [`ServiceQueue`] orders the
//! calls that find no replica with room, refuses those that would wait too long, and bounds retries
//! and hedged requests.
//!
//! A limit is never below one, so a replica without a call of this front has room unless it has
//! just refused one, and no call waits while such a replica could take it.
//!
//! The crate does no I/O and reads no clock or random source; callers pass times and random bits as
//! arguments.

mod limit;
mod queue;
mod room;

pub use limit::ConcurrencyLimit;
pub use queue::{
    Admitted, Arrival, Arrived, CHECK_INTERVAL_MS, Refusal, RefusalReason, ServiceQueue,
};
pub use room::{BACKGROUND_MAX, ReplicaUse, has_room, usable};
