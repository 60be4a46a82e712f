//! What a front goes on with when it leaves or its shards go to others, and what it tells them.

use super::*;

impl Runner {
    /// Items of shards that were handed on, of which another front has saved more.
    pub(super) fn overtaken(&self) -> HashSet<Key> {
        let index = self.front.index();
        let is_overtaken = |key: &&Key| {
            let Some(step) = index.ledger.get(key.0) else {
                return false;
            };
            let newest = step.pieces(key.1).last().map_or(0, |piece| piece.id);
            let partial = self.partials.get(*key);
            self.front.is_handed_on(&step.head, step.shard(key.1))
                && partial.is_some_and(|(partial, _)| lock(partial).is_overtaken(newest))
        };
        self.running.keys().filter(is_overtaken).copied().collect()
    }

    /// Whether this front leaves and has no more time for what it runs. While the store is out of
    /// reach nothing can be saved and nobody would take over: the runs go on then, as long as
    /// the process may.
    pub(super) fn is_handing_over(&mut self, now_ms: u64) -> bool {
        if !self.front.drain.is_leaving() {
            return false;
        }
        let since_ms = *self.leaves_since_ms.get_or_insert(now_ms);
        let keep_ms = leave::drain_runs_ms(self.front.settings.bounds.grace_ms);
        now_ms >= since_ms + keep_ms && !self.front.storage.is_unreachable()
    }

    /// Saves texts that are not whole, at intervals. With each round others are told what this
    /// front goes on with beside its own shards; at once when it begins to leave, or was dealt
    /// other partitions.
    pub(super) fn save(&mut self, now_ms: u64) {
        if self.saving {
            return;
        }
        let first = self.front.drain.is_leaving() && !*self.front.texts_saved.borrow();
        let dealt = self.front.partitions_moved.swap(false, Ordering::Relaxed);
        let due = now_ms >= self.saved_ms + SAVE_MS;
        if !due && !first && !dealt {
            return;
        }
        self.saved_ms = now_ms;
        self.saving = true;
        let texts = self
            .partials
            .iter()
            .map(|(key, held)| (*key, Arc::clone(&held.0)))
            .collect();
        let (kept, given_up) = self.kept_and_given_up();
        let (front, news) = (Arc::clone(&self.front), self.news.clone());
        tokio::spawn(async move {
            partial::keep(&front, kept, KEPT_MS).await;
            partial::save(&front, texts).await;
            partial::keep(&front, given_up, 0).await;
            // The runner ends with the process only.
            let _ = news.send(News::Saved);
        });
    }

    /// Items of others' shards that this front runs, and those of which it has a text that it
    /// does not run.
    fn kept_and_given_up(&self) -> (Vec<Key>, Vec<Key>) {
        let leaving = self.front.drain.is_leaving();
        let index = self.front.index();
        let of_others = |key: &&Key| {
            let step = index.ledger.get(key.0);
            leaving
                || step.is_some_and(|step| self.front.is_handed_on(&step.head, step.shard(key.1)))
        };
        let kept = self.running.keys().filter(of_others).copied().collect();
        let given_up = self.partials.keys().filter(of_others);
        let given_up = given_up.filter(|key| !self.running.contains_key(key));
        (kept, given_up.copied().collect())
    }
}
