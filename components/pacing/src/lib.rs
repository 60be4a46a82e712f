//! Watch coalescing: when a process that follows a log reads on.
//!
//! Every process follows the same logs. If each record woke each process, reads would grow with
//! processes times records, which no store with a budget of calls bears for long. So only a
//! process that acts on the records, or whose client waits for one, reads as they are written.
//! All others poll at a fixed interval and take what has gathered, so that their reads grow
//! with the number of processes alone. A read that the store refuses for its budget is retried
//! under exponential backoff, the longer the less the process needs it, so that those that act
//! get through. Intervals are jittered by the caller's random number, against processes that
//! started, or lost the store, at the same moment.
//!
//! Nothing is read or waited for here, and no clock is consulted.

mod demand;
mod pacer;
mod paces;

pub use demand::{Activity, Demand, WaitGuard};
pub use pacer::{Pacer, ReadOutcome, TopicPace, Urgency};
pub use paces::{LOG_PACE, REPLICA_PACE};
