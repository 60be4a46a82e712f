//! Watch coalescing: decides when a process that follows a log reads again.
//!
//! Every process follows the same logs. If each record woke each process, the number of reads would
//! grow with processes times records and soon exceed the store's budget of calls. Only a process
//! that acts on the records, or whose client waits for one, reads records as they are written. All
//! others poll at a fixed interval and read the records written since the last poll, so their reads
//! grow only with the number of processes. A read that the store refuses for exceeding the budget
//! is retried with exponential backoff. The backoff is longer for a process with less need of the
//! records, so that reads of processes that act on them succeed. Intervals are jittered by a random
//! number from the caller, because processes that start, or lose the store, at the same moment
//! would otherwise read at the same moment.
//!
//! The crate does no I/O and reads no clock.

mod demand;
mod pacer;
mod paces;

pub use demand::{Activity, Demand, WaitGuard};
pub use pacer::{Pacer, ReadOutcome, TopicPace, Urgency};
pub use paces::{LOG_PACE, REPLICA_PACE};
