//! The end of an item: scoring its text, or giving it up.

use super::*;

impl Runner {
    /// Has a whole text scored and written.
    pub(super) fn settle(
        &mut self,
        key: Key,
        head: &StepHead,
        partial: Partial,
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
        let item_id = head.items[key.1 as usize].id.clone();
        self.hand_to_writer(key, async move {
            let score = match &data.scorer {
                None => Some(String::new()),
                Some(scorer) => {
                    let (customer, began_ms) = (customer.as_deref(), now_ms());
                    let score = reward::score(&front, key, scorer, customer, failed_rewards).await;
                    let took_ms = now_ms() - began_ms;
                    let label = metrics::item_label();
                    front.metrics.record("front_item_score_ms", label, took_ms);
                    score
                }
            };
            let (step, item) = key;
            let reward = data.scorer.as_ref().map_or("none", |scorer| &scorer.id);
            let Some(score) = score else {
                log::info!(event = "item-without-score", id = item_id, step = step.0, item, reward; "");
                return Outcome::Error(ErrorCause::Reward);
            };
            log::info!(
                event = "item-scored", id = item_id, step = step.0, item, reward,
                versions:? = partial.versions; ""
            );
            Outcome::Text {
                text: Bytes::from(partial.text),
                versions: partial.versions,
                score,
            }
        });
    }

    /// Lists an item without a text.
    pub(super) fn give_up(&mut self, key: Key, cause: ErrorCause) {
        let (step, item) = key;
        log::info!(event = "item-given-up", step = step.0, item, cause:? = cause; "");
        self.hand_to_writer(key, std::future::ready(Outcome::Error(cause)));
    }

    /// Hands an item to the writer once its outcome is there; until it is listed it counts as
    /// running, with its text whole.
    fn hand_to_writer(
        &mut self,
        key: Key,
        outcome: impl Future<Output = Outcome> + Send + 'static,
    ) {
        let ended = self.ended.clone();
        let task = tokio::spawn(async move {
            let (step, item) = key;
            let outcome = outcome.await;
            // The writer ends with the process only.
            let _ = ended
                .send(Ended {
                    step,
                    item,
                    outcome,
                })
                .await;
        });
        self.running.insert(
            key,
            Running {
                abort: task.abort_handle(),
                at: None,
                _working: self.front.drain.work_counter().begin(),
            },
        );
    }
}
