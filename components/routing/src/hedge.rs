//! Hedged requests: decides when a second copy of a slow call is sent.
//!
//! Only idempotent calls are hedged. The copy that answers first is used and the other copy is
//! cancelled. A hedge is due when the call has taken longer than a quantile of the recent calls of
//! its service. Each hedge is charged to a budget, which prevents hedges from doubling the load
//! when all calls are slow; that is also when a second copy helps least.

use derive::{key, value};

use crate::latency::Latencies;

/// Settings of hedged requests.
#[value]
pub struct HedgeSettings {
    /// Quantile of the recent latencies after which a call counts as a straggler, in thousandths.
    pub quantile_permille: u32,
    /// Number of recent calls below which the quantile is not used and no call is hedged.
    pub calls_min: u32,
    /// Minimum delay before a hedge, in milliseconds.
    pub wait_min_ms: u64,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self {
            quantile_permille: 950,
            calls_min: 100,
            wait_min_ms: 10,
        }
    }
}

/// Whether a second copy of a call is sent now.
#[key]
pub enum HedgeDecision {
    /// Not yet; decide again at this time, in milliseconds.
    RecheckAt(u64),
    /// Send a second copy now; the budget has been charged.
    Send,
    /// The call gets no second copy.
    Never,
}

/// A call that may be hedged.
#[key]
pub struct HedgeCandidate {
    /// Time at which the first copy was sent, in milliseconds.
    pub sent_at_ms: u64,
    /// Deadline of the call, in milliseconds.
    pub deadline_ms: u64,
    /// Whether the call is idempotent and only one copy of it is in flight.
    pub may_run_twice: bool,
}

/// Decides whether a second copy of `call` is sent at `now_ms`. `spend` charges one hedge to the
/// budget and returns false if the budget is exhausted; it is called only when the hedge is due.
pub fn decide_hedge(
    call: HedgeCandidate,
    latencies: &Latencies,
    settings: &HedgeSettings,
    now_ms: u64,
    spend: impl FnOnce() -> bool,
) -> HedgeDecision {
    if !call.may_run_twice {
        return HedgeDecision::Never;
    }
    let quantile_ms = latencies.quantile_ms(settings.quantile_permille, settings.calls_min);
    let Some(wait_ms) = quantile_ms else {
        return HedgeDecision::Never;
    };
    let due_at_ms = call.sent_at_ms + wait_ms.max(settings.wait_min_ms);
    // A second copy with less than half the quantile left before the deadline would most likely
    // time out and only add load.
    if due_at_ms.max(now_ms) + wait_ms / 2 > call.deadline_ms {
        return HedgeDecision::Never;
    }
    if now_ms < due_at_ms {
        return HedgeDecision::RecheckAt(due_at_ms);
    }
    if spend() {
        HedgeDecision::Send
    } else {
        HedgeDecision::Never
    }
}
