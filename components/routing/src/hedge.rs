//! When a second copy of a slow call is sent.
//!
//! Only calls that may run twice are hedged. The first copy to answer wins and the
//! other is cancelled. A hedge is due when the call is slower than a quantile of its
//! service's recent calls; a budget keeps hedges from doubling the load when all calls
//! are slow, which is when a second copy helps least.

use derive::{key, value};

use crate::latency::Latencies;

/// Settings of hedging.
#[value]
pub struct HedgeSettings {
    /// Quantile of recent latencies after which a call is a straggler, in thousandths.
    pub quantile_permille: u32,
    /// Calls that must be known before the quantile is trusted.
    pub calls_min: u32,
    /// Least wait before a hedge, in milliseconds.
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

/// Whether a hedge is due.
#[key]
pub enum HedgeDecision {
    /// Ask again at this time, in milliseconds.
    RecheckAt(u64),
    /// Send a second copy now; the budget is charged.
    Send,
    /// Not for this call.
    Never,
}

/// A call that might be hedged.
#[key]
pub struct HedgeCandidate {
    /// When its first copy was sent, in milliseconds.
    pub sent_at_ms: u64,
    /// When its caller gives up, in milliseconds.
    pub deadline_ms: u64,
    /// May run twice and has one copy out.
    pub may_run_twice: bool,
}

/// Decides on a hedge at `now_ms`; `spend` takes one from the budget, or says no.
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
    // A copy that starts with less time than most calls need would only add load.
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
