//! Demand of a customer at one entry, relative to the customer's limits.

use crate::customer::CustomerLimits;
use crate::offered::{OfferedByClass, OfferedLoad};

/// Maximum demand that sampling counts for at one entry, as a fraction of the limits. Sampling uses
/// the available capacity and waits for more. If it counted in full, a training step at one entry
/// would take the share of interactive requests at the other entries.
const SAMPLING_DEMAND_MAX: f64 = 0.25;

const MS_PER_S: f64 = 1_000.0;

/// Demand at one entry as a fraction of the customer's limits over all entries: 1 uses up one of
/// the limits. `offered` is the load of the last `elapsed_ms` milliseconds.
pub fn demand(limits: &CustomerLimits, offered: &OfferedByClass, elapsed_ms: u64) -> f64 {
    let seconds = elapsed_ms.max(1) as f64 / MS_PER_S;
    let sampling = fraction_of_limits(limits, &offered.sampling, seconds).min(SAMPLING_DEMAND_MAX);
    fraction_of_limits(limits, &offered.calls, seconds) + sampling
}

fn fraction_of_limits(limits: &CustomerLimits, load: &OfferedLoad, seconds: f64) -> f64 {
    let fraction = |amount: f64, limit: Option<u32>| {
        limit.map_or(0.0, |limit| amount / f64::from(limit.max(1)))
    };
    let requests = fraction(f64::from(load.requests) / seconds, limits.requests_per_s);
    let tokens = fraction(load.tokens as f64 / seconds, limits.tokens_per_s);
    let in_progress = fraction(f64::from(load.in_progress), limits.in_progress);
    requests.max(tokens).max(in_progress)
}
