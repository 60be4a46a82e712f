//! Metrics of training for each customer: how old samples are when they are given, how long
//! trainers wait for them, and what was made for nothing.

use std::collections::BTreeMap;

use samples::{StepKey, Tally};
use telemetry::{Label, Metrics};
use types::Class;

use super::commands::Reply;

#[derive(Default)]
struct ReportedCounts {
    abandoned: u64,
    unknown_origin: u64,
}

/// What was counted of each step so far.
pub struct TrainingMetrics {
    metrics: Metrics,
    reported: BTreeMap<StepKey, ReportedCounts>,
}

impl TrainingMetrics {
    /// Nothing counted yet.
    pub fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            reported: BTreeMap::new(),
        }
    }

    /// A fetch was answered after this time. A reply that is asked for again counts again.
    pub fn record_reply(&self, key: &StepKey, reply: &Reply, waited_ms: u64) {
        let label = Label::of(&key.customer, Class::Sampling);
        self.metrics.record("sample_fetch_ms", label, waited_ms);
        for offer in &reply.offers {
            let age = offer.staleness;
            self.metrics.record("sample_staleness_versions", label, age);
        }
    }

    /// Counts what a step's ledger has counted since the last look.
    pub fn record_tally(&mut self, key: &StepKey, tally: &Tally) {
        let label = Label::of(&key.customer, Class::Sampling);
        let reported = self.reported.entry(key.clone()).or_default();
        let abandoned = increase(&mut reported.abandoned, tally.abandoned);
        let unknown_origin = increase(&mut reported.unknown_origin, tally.unknown_origin);
        if abandoned > 0 {
            self.metrics
                .count("samples_abandoned_total", label, abandoned);
        }
        if unknown_origin > 0 {
            self.metrics
                .count("samples_unknown_origin_total", label, unknown_origin);
        }
    }

    /// Forgets the steps that are not kept.
    pub fn retain(&mut self, keep: impl Fn(&StepKey) -> bool) {
        self.reported.retain(|key, _| keep(key));
    }
}

/// What came since the last look; a ledger that took another's place begins at nothing.
fn increase(reported: &mut u64, now: u64) -> u64 {
    let before = std::mem::replace(reported, now);
    now.checked_sub(before).unwrap_or(now)
}
