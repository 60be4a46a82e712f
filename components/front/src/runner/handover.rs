//! Hand-over of items when a front shuts down or its shards are reassigned to other fronts.
//!
//! The front continues the items that it already runs and reserves them in the index, so that the
//! new owners do not start them as well. It saves the texts of all its items, so that the new
//! owners can resume the items that it has to stop.

use super::*;

impl Runner {
    /// Running items of reassigned shards whose newest saved piece is from another front: that
    /// front runs them too.
    pub(super) fn superseded_items(&self) -> HashSet<ItemKey> {
        let index = self.front.index();
        let is_superseded = |key: &&ItemKey| {
            let Some(step) = index.ledger.get(key.0) else {
                return false;
            };
            let newest_piece = step.pieces(key.1).last().map_or(0, |piece| piece.id);
            let partial = self.partials.get(*key);
            self.front.is_reassigned(&step.head, step.shard(key.1))
                && partial.is_some_and(|(partial, _)| lock(partial).is_superseded(newest_piece))
        };
        self.running.keys().filter(is_superseded).copied().collect()
    }

    /// Whether this front shuts down and the time for continuing its runs is over. While the store
    /// is unreachable no text can be saved and no front can take over, so the runs continue until
    /// the process ends.
    pub(super) fn must_stop_runs(&mut self, now_ms: u64) -> bool {
        if !self.front.drain.is_leaving() {
            return false;
        }
        let since_ms = *self.leaving_since_ms.get_or_insert(now_ms);
        let continue_ms = leave::drain_runs_ms(self.front.settings.bounds.grace_ms);
        now_ms >= since_ms + continue_ms && !self.front.storage.is_unreachable()
    }

    /// Starts a round of saving partial texts if one is due: at intervals, and at once when the
    /// front begins to shut down or its partitions change. Each round also renews the reservations
    /// of running items that other fronts own.
    pub(super) fn save_texts(&mut self, now_ms: u64) {
        if self.is_saving {
            return;
        }
        let leaving = self.front.drain.is_leaving();
        let is_first_of_drain = leaving && !*self.front.texts_saved.borrow();
        let partitions_moved = self.front.partitions_moved.swap(false, Ordering::Relaxed);
        let is_due = now_ms >= self.last_save_ms + SAVE_INTERVAL_MS;
        if !is_due && !is_first_of_drain && !partitions_moved {
            return;
        }
        self.last_save_ms = now_ms;
        self.is_saving = true;
        let partials = self
            .partials
            .iter()
            .map(|(key, entry)| (*key, Arc::clone(&entry.0)))
            .collect();
        let (reserved, released) = self.reserved_and_released(leaving);
        let (front, messages) = (Arc::clone(&self.front), self.messages.clone());
        tokio::spawn(async move {
            partial::reserve(&front, reserved, RESERVATION_MS).await;
            partial::save(&front, partials).await;
            partial::reserve(&front, released, 0).await;
            // Fails only if the process ends, as the runner runs until then.
            let _ = messages.send(RunnerMessage::TextsSaved(leaving));
        });
    }

    /// Items of other fronts' shards: those that this front runs, to be reserved, and those of
    /// which it only has a partial text, whose reservation ends. All shards count as other fronts'
    /// if this front is leaving.
    fn reserved_and_released(&self, leaving: bool) -> (Vec<ItemKey>, Vec<ItemKey>) {
        let index = self.front.index();
        let of_others = |key: &&ItemKey| {
            let step = index.ledger.get(key.0);
            leaving
                || step.is_some_and(|step| self.front.is_reassigned(&step.head, step.shard(key.1)))
        };
        let reserved = self.running.keys().filter(of_others).copied().collect();
        let released = self.partials.keys().filter(of_others);
        let released = released.filter(|key| !self.running.contains_key(key));
        (reserved, released.copied().collect())
    }
}
