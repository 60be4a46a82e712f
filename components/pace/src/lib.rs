//! Estimates the interval between two events of a run at a model replica, for one life of the
//! replica.
//!
//! Three effects are told apart. Replicas differ permanently; the *steady pace* is a Kalman filter
//! on the logarithm of the interval that is kept for the replica's life. Replicas pause, which all
//! of their runs observe at once; an interval is therefore weighted by the inverse of the number of
//! runs and its effect is capped. Replicas become several times slower for some seconds; a
//! two-sided CUSUM test detects that the *level* deviates from the steady pace, which is frozen
//! while a second filter follows the level.
//!
//! Deviations of a pool differ in their durations. How long one lasts from now on is estimated from
//! its age and from the durations of the pool's earlier deviations.
//!
//! Each further run at a replica lengthens the intervals of all. The effect is estimated for a
//! pool as the slope within its replicas, so that differences between replicas don't count.
//!
//! The crate does no I/O and reads no clock.

mod deviation;
mod deviation_times;
mod estimate;
mod filter;
mod level_test;
mod pool;
mod replica;
mod run_cost;
mod snapshot;

pub use deviation_times::DeviationTimes;
pub use estimate::{LevelChange, PaceEstimate};
pub use pool::PoolPace;
pub use replica::ReplicaPace;
pub use snapshot::{DeviationSnapshot, FilterSnapshot, PaceSnapshot, RunCostSnapshot};
