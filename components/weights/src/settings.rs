//! Settings of an agent's reconciliation of its engine.

use derive::value;

use crate::backoff::Backoff;

/// How the agent paces itself.
#[value]
pub struct ReconcileSettings {
    /// Between two looks at an engine that is as wanted.
    pub check_interval_ms: u64,
    /// The same while an order of unknown outcome, or one of the agent's earlier life, may
    /// still be on its way to an engine that does not check fencing numbers.
    pub uncertain_check_interval_ms: u64,
    /// A state read longer ago than this is read again before any order.
    pub state_age_ms_max: u64,
    /// An order without an answer for this long is over, its outcome unknown.
    pub order_timeout_ms: u64,
    /// After a failed order or read.
    pub backoff: Backoff,
    /// Versions that samples may lag behind.
    pub staleness_bound: u64,
}

impl Default for ReconcileSettings {
    fn default() -> Self {
        Self {
            check_interval_ms: 1_000,
            uncertain_check_interval_ms: 200,
            state_age_ms_max: 500,
            order_timeout_ms: 60_000,
            backoff: Backoff {
                first_ms: 200,
                max_ms: 10_000,
            },
            staleness_bound: 0,
        }
    }
}
