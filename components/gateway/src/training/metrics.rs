//! Training metrics of each customer: staleness of the delivered samples, how long trainers wait
//! for samples, and discarded samples.

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

/// Training metrics, and the counts of each step that they already include.
pub struct TrainingMetrics {
    metrics: Metrics,
    reported: BTreeMap<StepKey, ReportedCounts>,
}

impl TrainingMetrics {
    pub fn new(metrics: Metrics) -> Self {
        Self {
            metrics,
            reported: BTreeMap::new(),
        }
    }

    /// Records the answer to a fetch, its wait and the staleness of its samples. A repeated reply
    /// is recorded again.
    pub fn record_reply(&self, key: &StepKey, reply: &Reply, waited_ms: u64) {
        let label = Label::of(&key.customer, Class::Sampling);
        self.metrics.record("sample_fetch_ms", label, waited_ms);
        for offer in &reply.offers {
            let age = offer.staleness;
            self.metrics.record("sample_staleness_versions", label, age);
        }
    }

    /// Adds the increase of a ledger's counts since the last call.
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

    /// Removes the steps for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&StepKey) -> bool) {
        self.reported.retain(|key, _| keep(key));
    }
}

/// Returns the increase since the last call. If the ledger was replaced and its count has
/// decreased, the new count is the increase.
fn increase(reported: &mut u64, now: u64) -> u64 {
    let before = std::mem::replace(reported, now);
    now.checked_sub(before).unwrap_or(now)
}
