//! Where the time of an item goes: from the acceptance of its step to its listing.

use super::*;

/// Times of one item at this front, on the process's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ItemTimes {
    sent_ms: u64,
    whole_ms: Option<u64>,
}

/// Times of the items that this front has begun.
#[derive(Debug, Default)]
pub(super) struct Stages(HashMap<Key, ItemTimes>);

impl Stages {
    /// Notes that an item was sent; of several runs the first counts. `accepted_ms` is when its
    /// step was read.
    pub(super) fn sent(&mut self, front: &Front, key: Key, accepted_ms: u64, now_ms: u64) {
        self.0.entry(key).or_insert_with(|| {
            let (label, took_ms) = (metrics::item_label(), now_ms - accepted_ms);
            front.metrics.record("front_item_placed_ms", label, took_ms);
            ItemTimes {
                sent_ms: now_ms,
                whole_ms: None,
            }
        });
    }

    /// Notes that the text of an item is whole.
    pub(super) fn whole(&mut self, front: &Front, key: Key, now_ms: u64) {
        if let Some(times) = self.0.get_mut(&key) {
            let (label, took_ms) = (metrics::item_label(), now_ms - times.sent_ms);
            front.metrics.record("front_item_text_ms", label, took_ms);
            times.whole_ms = Some(now_ms);
        }
    }

    /// Forgets the items that are not wanted any more; those with a whole text were listed.
    pub(super) fn keep_only(&mut self, front: &Front, wanted: impl Fn(&Key) -> bool, now_ms: u64) {
        self.0.retain(|key, times| {
            let keep = wanted(key);
            if let (false, Some(whole_ms)) = (keep, times.whole_ms) {
                let (label, took_ms) = (metrics::item_label(), now_ms - whole_ms);
                front.metrics.record("front_item_listed_ms", label, took_ms);
            }
            keep
        });
    }
}
