//! Settings of [`crate::Reconciler`].

use derive::value;

use crate::backoff::Backoff;

/// Intervals, timeouts and limits of the reconciliation of one engine.
#[value]
pub struct ReconcileSettings {
    /// Interval between reads of an engine whose state equals the target, in milliseconds.
    pub check_interval_ms: u64,
    /// The same interval while a delayed order may still take effect: an order whose outcome is
    /// unknown, or an order of an earlier process of the agent. An engine that does not check
    /// fencing tokens would carry out such an order.
    pub uncertain_check_interval_ms: u64,
    /// Maximum age of the engine state on which an order may be based, in milliseconds. An older
    /// state is read again first.
    pub state_age_ms_max: u64,
    /// Time after which an order without a response counts as ended with an unknown outcome.
    pub order_timeout_ms: u64,
    /// Delays after failed orders and reads.
    pub backoff: Backoff,
    /// Maximum number of versions by which samples may lag behind the active version.
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
