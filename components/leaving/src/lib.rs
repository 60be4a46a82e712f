//! How a process leaves: it first reports that it is not ready, then refuses new work, then
//! finishes the work in progress. The crate reads no clock; callers pass `now_ms` of the process's
//! monotonic clock.

mod drain;
mod probers;
mod progress;

pub use drain::{Drain, DrainAction, DrainSettings, Phase};
pub use probers::{Probers, ProbersSettings};
pub use progress::{WorkCounter, WorkGuard};
