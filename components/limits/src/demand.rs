//! How much of its limits a customer asks of one entry.

use crate::asked::{Asked, Offered};
use crate::customer::CustomerLimits;

/// Most that sampling counts for on one entry, as a part of the limits. It takes what is
/// there and waits for the rest; counted in full, a step at one entry would draw the
/// share away from the clerks at the others.
const SAMPLING_MAX: f64 = 0.25;

const MS_PER_S: f64 = 1_000.0;

/// Demand of one entry as a part of the customer's whole limits: 1 uses up the scarcest
/// of them. `asked` is what came within `elapsed_ms` milliseconds.
pub fn demand(limits: &CustomerLimits, asked: &Asked, elapsed_ms: u64) -> f64 {
    let seconds = elapsed_ms.max(1) as f64 / MS_PER_S;
    let sampling = part(limits, &asked.sampling, seconds).min(SAMPLING_MAX);
    part(limits, &asked.calls, seconds) + sampling
}

fn part(limits: &CustomerLimits, offered: &Offered, seconds: f64) -> f64 {
    let of = |amount: f64, limit: Option<u32>| {
        limit.map_or(0.0, |limit| amount / f64::from(limit.max(1)))
    };
    let requests = of(f64::from(offered.requests) / seconds, limits.requests_per_s);
    let tokens = of(offered.tokens as f64 / seconds, limits.tokens_per_s);
    let in_progress = of(f64::from(offered.in_progress), limits.in_progress);
    requests.max(tokens).max(in_progress)
}
