//! How a process goes: readiness first, then new work, then the work in progress. Pure:
//! the time comes in as `now_ms` of the process's monotonic clock.

mod drain;
mod probers;
mod progress;

pub use drain::{Drain, DrainAction, DrainSettings, Phase};
pub use probers::{Probers, ProbersSettings};
pub use progress::{WorkCounter, WorkGuard};
