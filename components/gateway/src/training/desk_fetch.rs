//! Fetches of trainers: answered as soon as there are samples.

use node::now_ms;
use samples::{Cursor, StepKey};
use tokio::sync::oneshot;

use super::desk_task::{Desk, Waiting, settings_of};
use super::orders::{Fetch, Reply};
use crate::rejection::Rejection;

impl Desk {
    /// Takes a fetch; it is answered when there are samples or its wait is over.
    pub(super) fn fetch(
        &mut self,
        fetch: Fetch,
        answer: oneshot::Sender<Result<Reply, Rejection>>,
    ) {
        let now_ms = now_ms();
        let clock = self.idle.entry(fetch.key.clone()).or_default();
        clock.fetch_began(now_ms);
        let until_ms = now_ms + fetch.wait_ms;
        self.end_older(&fetch, now_ms);
        self.waiting.push(Waiting {
            fetch,
            until_ms,
            answer,
        });
        self.ready = true;
    }

    /// Ends the step's waiting fetches that have another cursor. A trainer sends a cursor
    /// once it has the reply that brought it, so nobody reads their answers; answered with
    /// their own cursor later, they would have the ledger believe that the trainer lost
    /// what it has, and slots would be run again.
    fn end_older(&mut self, fetch: &Fetch, now_ms: u64) {
        let older = |waiting: &mut Waiting| {
            waiting.fetch.key == fetch.key && waiting.fetch.cursor != fetch.cursor
        };
        let ended: Vec<Waiting> = self.waiting.extract_if(.., older).collect();
        for waiting in ended {
            self.fetch_ended(&waiting.fetch.key, now_ms);
            // Its trainer has gone on.
            let _ = waiting.answer.send(Err(Rejection::FetchOver));
        }
    }

    /// Answers the fetches that have samples or whose wait is over.
    pub(super) fn answer_waiting(&mut self) {
        let now_ms = now_ms();
        let look = std::mem::take(&mut self.ready);
        for waiting in std::mem::take(&mut self.waiting) {
            let over = now_ms >= waiting.until_ms;
            if waiting.answer.is_closed() {
                self.fetch_ended(&waiting.fetch.key, now_ms);
                continue;
            }
            if !look && !over {
                self.waiting.push(waiting);
                continue;
            }
            match self.reply(&waiting.fetch, now_ms) {
                Ok(reply) if reply.offers.is_empty() && !reply.complete && !over => {
                    self.waiting.push(waiting);
                }
                answer => {
                    self.fetch_ended(&waiting.fetch.key, now_ms);
                    if let Ok(reply) = &answer {
                        let left_ms = waiting.until_ms.saturating_sub(now_ms);
                        let waited_ms = waiting.fetch.wait_ms.saturating_sub(left_ms);
                        self.figures.replied(&waiting.fetch.key, reply, waited_ms);
                    }
                    // The trainer may have gone; it fetches again with the same cursor.
                    let _ = waiting.answer.send(answer);
                }
            }
        }
    }

    fn fetch_ended(&mut self, key: &StepKey, now_ms: u64) {
        if let Some(clock) = self.idle.get_mut(key) {
            clock.fetch_ended(now_ms);
        }
    }

    fn reply(&mut self, fetch: &Fetch, now_ms: u64) -> Result<Reply, Rejection> {
        let ledger = self.steps.get_mut(&fetch.key, now_ms);
        let ledger = ledger.ok_or(Rejection::StepNotHeld(fetch.key.step))?;
        // The bound may have changed since the step was posted.
        let view = self.gateway.feed.view();
        if let Some(model) = view.service(&fetch.key.customer, &fetch.key.service) {
            ledger.configure(&settings_of(model));
        }
        let cursor = Cursor::open(&fetch.cursor, &self.keys, ledger.step())?;
        let reply = ledger.fetch(&cursor, fetch.trainer_version, fetch.max, now_ms)?;
        Ok(Reply {
            offers: reply.samples,
            cursor: reply.cursor.seal(&self.keys),
            received: reply.received,
            total: reply.total,
            complete: reply.complete,
        })
    }
}
