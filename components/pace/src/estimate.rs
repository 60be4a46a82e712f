//! What callers learn about the pace of a replica.

use derive::{key, value};

/// Expected pace of a run at a replica. Both intervals are those at the number of runs that the
/// caller named; they are 0 while neither the replica nor its pool has been observed.
#[value]
#[derive(Copy)]
pub struct PaceEstimate {
    /// Expected interval between two events, in microseconds.
    pub interval_us: u64,
    /// Interval at the steady pace, in microseconds.
    pub steady_us: u64,
    /// Standard error of `interval_us`, in thousandths of it.
    pub doubt_thousandths: u64,
    /// When it was detected that the replica is slower than its steady pace, if it is.
    pub deviates_since_ms: Option<u64>,
    /// Expected rest of the deviation; 0 if there is none.
    pub deviation_left_ms: u64,
    /// Standard deviation of `deviation_left_ms`.
    pub deviation_left_doubt_ms: u64,
}

/// A change between the steady pace and a slower level.
#[key]
pub enum LevelChange {
    /// The replica has become slower than its steady pace.
    Slower,
    /// The replica no longer deviates: it is back at its steady pace, or the slower level has
    /// become the steady pace.
    Recovered,
}
