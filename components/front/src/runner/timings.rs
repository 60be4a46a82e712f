//! Measures the stages of an item: until it is sent to a replica, until its text is complete, and
//! until it is listed.

use std::sync::Mutex;

use steps::Ledger;

use super::*;

/// Times of one item at this front, on the process's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ItemTimes {
    sent_ms: u64,
    complete_ms: Option<u64>,
    /// Number of runs that were sent.
    runs: u32,
}

/// Times of the items that this front has sent to a replica.
#[derive(Debug, Default)]
pub(super) struct ItemTimings(HashMap<ItemKey, ItemTimes>);

impl ItemTimings {
    /// Records that an item was sent to a replica; only its first run counts. `accepted_ms` is the
    /// time at which this front read the record that accepted the step.
    pub(super) fn record_sent(
        &mut self,
        front: &Front,
        key: ItemKey,
        accepted_ms: u64,
        now_ms: u64,
    ) {
        let times = self.0.entry(key).or_insert_with(|| {
            let (label, took_ms) = (metrics::item_label(), now_ms - accepted_ms);
            front.metrics.record("front_item_placed_ms", label, took_ms);
            ItemTimes {
                sent_ms: now_ms,
                complete_ms: None,
                runs: 0,
            }
        });
        times.runs += 1;
    }

    /// Number of runs of an item that this front has sent.
    pub(super) fn runs(&self, key: ItemKey) -> u32 {
        self.0.get(&key).map_or(0, |times| times.runs)
    }

    /// Records that the text of an item is complete.
    pub(super) fn record_complete(&mut self, front: &Front, key: ItemKey, now_ms: u64) {
        if let Some(times) = self.0.get_mut(&key) {
            let (label, took_ms) = (metrics::item_label(), now_ms - times.sent_ms);
            front.metrics.record("front_item_text_ms", label, took_ms);
            times.complete_ms = Some(now_ms);
        }
    }

    /// Removes the items that are not wanted any more. Those with a complete text count as listed.
    pub(super) fn retain(
        &mut self,
        front: &Front,
        is_wanted: impl Fn(&ItemKey) -> bool,
        now_ms: u64,
    ) {
        self.0.retain(|key, times| {
            let is_kept = is_wanted(key);
            if let (false, Some(complete_ms)) = (is_kept, times.complete_ms) {
                let (label, took_ms) = (metrics::item_label(), now_ms - complete_ms);
                front.metrics.record("front_item_listed_ms", label, took_ms);
            }
            is_kept
        });
    }
}

/// When the last text of each open step was scored, on the process's clock.
#[derive(Debug, Default)]
pub(super) struct LastTexts(Mutex<HashMap<StepId, u64>>);

impl LastTexts {
    /// Records that a text of a step was scored.
    pub(super) fn record_scored(&self, step: StepId, now_ms: u64) {
        lock(&self.0).insert(step, now_ms);
    }

    /// Records the time from acceptance to the last text of steps that are not open any more.
    pub(super) fn record_closed(&self, front: &Front, ledger: &Ledger) {
        lock(&self.0).retain(|id, scored_ms| {
            let Some(step) = ledger.get(*id) else {
                return false;
            };
            if !step.is_open() {
                let (label, took_ms) = (
                    metrics::item_label(),
                    scored_ms.saturating_sub(step.read_ms),
                );
                front
                    .metrics
                    .record("front_step_last_text_ms", label, took_ms);
            }
            step.is_open()
        });
    }
}
