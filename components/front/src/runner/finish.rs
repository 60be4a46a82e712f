//! The end of an item: its text is scored and written, or it is listed as errored.

use super::*;

/// Inverse of the share of a step's items that are not listed from which on their reward calls are
/// queued like clients' calls. All that a trainer waits for then is a few reward calls.
const DECIDING_INVERSE: usize = 10;

impl Runner {
    /// Scores a complete text with the item's reward call, if it has one, and sends it to the
    /// writer. An item whose reward call failed as often as allowed is listed as errored.
    pub(super) fn finish(
        &mut self,
        key: ItemKey,
        head: &StepHead,
        complete: CompleteText,
        failed_rewards: u32,
    ) {
        let Some(data) = self
            .data
            .get(&key.0)
            .and_then(|data| data.get(key.1 as usize))
        else {
            return;
        };
        let (front, data) = (Arc::clone(&self.front), Arc::clone(data));
        let customer = head.customer.clone();
        let (events, runs) = (complete.events, self.timings.runs(key));
        let last_texts = Arc::clone(&self.last_texts);
        let item_id = head.items[key.1 as usize].id.clone();
        let decides_step = self.decides_step(key.0);
        self.hand_to_writer(key, async move {
            let score = match &data.scorer {
                None => Some(String::new()),
                Some(reward_call) => {
                    let (customer, started_ms) = (customer.as_deref(), now_ms());
                    let score = reward::score(
                        &front,
                        key,
                        reward_call,
                        customer,
                        failed_rewards,
                        decides_step,
                    )
                    .await;
                    let took_ms = now_ms() - started_ms;
                    let label = metrics::item_label();
                    front.metrics.record("front_item_score_ms", label, took_ms);
                    score
                }
            };
            let (step, item) = key;
            let reward = data.scorer.as_ref().map_or("none", |call| &call.id);
            let Some(score) = score else {
                log::info!(event = "item-without-score", id = item_id, step = step.0, item, reward; "");
                return ItemOutcome::Error(ErrorCause::Reward);
            };
            last_texts.record_scored(step, now_ms());
            log::info!(
                event = "item-scored", id = item_id, step = step.0, item, reward, events, runs,
                versions:? = complete.versions; ""
            );
            ItemOutcome::Text {
                text: Bytes::from(complete.text),
                versions: complete.versions,
                score,
            }
        });
    }

    /// Whether the next results of a step probably decide its end: nearly all items are listed.
    /// Trainers wait for nine in ten groups.
    fn decides_step(&self, step: StepId) -> bool {
        let index = self.front.index();
        index.ledger.get(step).is_some_and(|step| {
            let items = step.head.items.len();
            (items - step.results.len()) * DECIDING_INVERSE <= items
        })
    }

    /// Lists an item as errored, without a text.
    pub(super) fn fail_item(&mut self, key: ItemKey, cause: ErrorCause) {
        let (step, item) = key;
        log::info!(event = "item-given-up", step = step.0, item, cause:? = cause; "");
        self.hand_to_writer(key, std::future::ready(ItemOutcome::Error(cause)));
    }

    /// Waits for an item's outcome in a new task and sends it to the writer. The item stays in
    /// `running`, without a run at a replica, until the index shows that it is listed.
    fn hand_to_writer(
        &mut self,
        key: ItemKey,
        outcome: impl Future<Output = ItemOutcome> + Send + 'static,
    ) {
        let ended = self.ended.clone();
        let task = tokio::spawn(async move {
            let (step, item) = key;
            let outcome = outcome.await;
            // Fails only if the process ends, as the writer runs until then.
            let _ = ended
                .send(EndedItem {
                    step,
                    item,
                    outcome,
                })
                .await;
        });
        self.running.insert(
            key,
            RunningItem {
                abort: task.abort_handle(),
                replica_run: None,
                _working: self.front.drain.work_counter().begin(),
            },
        );
    }
}
