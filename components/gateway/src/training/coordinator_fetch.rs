//! Fetches, which are answered as soon as samples are available.

use node::now_ms;
use samples::{Cursor, StepKey};
use tokio::sync::oneshot;

use super::commands::{Fetch, Reply};
use super::coordinator_task::{CoordinatorTask, WaitingFetch, settings_of};
use crate::rejection::Rejection;

/// Fetches of one step that may wait; a further fetch causes the oldest to be answered.
const WAITING_PER_STEP_MAX: usize = 4;
/// Fetches of one customer that may wait.
const WAITING_PER_CUSTOMER_MAX: usize = 64;
/// Fetches that may wait in total: half of the calls that a process accepts from other processes.
const WAITING_MAX: usize = 512;

impl CoordinatorTask {
    /// Adds a fetch, which is answered when samples are available or its wait ends.
    pub(super) fn fetch(
        &mut self,
        fetch: Fetch,
        answer: oneshot::Sender<Result<Reply, Rejection>>,
    ) {
        let now_ms = now_ms();
        let clock = self.idle.entry(fetch.key.clone()).or_default();
        clock.begin_fetch(now_ms);
        self.take_over(&fetch.key);
        self.end_superseded(&fetch, now_ms);
        self.end_oldest(&fetch.key, now_ms);
        let wait_ms = if self.may_wait(&fetch.key) {
            fetch.wait_ms
        } else {
            0
        };
        let until_ms = now_ms + wait_ms;
        self.ready.insert(fetch.key.clone());
        self.waiting_fetches.push(WaitingFetch {
            fetch,
            until_ms,
            answer,
        });
    }

    /// Dispatches a step here when its fetch arrives although another entry is the step's first
    /// home. Either the first home has refused the fetch, or it has lost the step, for example
    /// because its process was replaced at the same address. In that case no entry would run the
    /// missing slots, and the trainer's fetches would stay empty. The step is dispatched here until
    /// the first home has received all copies again.
    fn take_over(&mut self, key: &StepKey) {
        if !self.steps.holds(key) || self.homes.is_first_home(key) {
            return;
        }
        let is_new = self.taken_over.insert(key.clone());
        if let Some(first) = self.homes.first_home(key).filter(|_| is_new) {
            self.copied_homes.mark_lost(key, first);
            self.lost_copies.insert(key.clone());
        }
    }

    /// Ends the wait of the step's oldest fetches, so that one more may wait.
    fn end_oldest(&mut self, key: &StepKey, now_ms: u64) {
        let of_step = |waiting: &&mut WaitingFetch| waiting.fetch.key == *key;
        let mut waiting: Vec<_> = self.waiting_fetches.iter_mut().filter(of_step).collect();
        let surplus = (waiting.len() + 1).saturating_sub(WAITING_PER_STEP_MAX);
        for oldest in waiting.iter_mut().take(surplus) {
            oldest.until_ms = now_ms;
        }
    }

    /// Whether another fetch of the step's customer may wait for samples; if not, it is answered at
    /// once. Each waiting fetch occupies a slot in the call table that is shared by all calls among
    /// entries, so too many of them would block the calls of all customers.
    fn may_wait(&self, key: &StepKey) -> bool {
        let same = |waiting: &&WaitingFetch| waiting.fetch.key.customer == key.customer;
        self.waiting_fetches.len() < WAITING_MAX
            && self.waiting_fetches.iter().filter(same).count() < WAITING_PER_CUSTOMER_MAX
    }

    /// Ends the step's waiting fetches that have a different cursor. A trainer sends a cursor only
    /// after it has received the reply that contained it, so their answers are no longer read. If
    /// they were answered later with their own cursor, the ledger would conclude that the trainer
    /// has lost samples, and would run those slots again.
    fn end_superseded(&mut self, fetch: &Fetch, now_ms: u64) {
        let is_superseded = |waiting: &mut WaitingFetch| {
            waiting.fetch.key == fetch.key && waiting.fetch.cursor != fetch.cursor
        };
        let superseded: Vec<WaitingFetch> =
            self.waiting_fetches.extract_if(.., is_superseded).collect();
        for waiting in superseded {
            self.end_fetch(&waiting.fetch.key, now_ms);
            // The trainer no longer reads this answer.
            let _ = waiting.answer.send(Err(Rejection::FetchSuperseded));
        }
    }

    /// Answers the fetches that have samples or whose wait has ended.
    pub(super) fn answer_fetches(&mut self) {
        let now_ms = now_ms();
        let ready = std::mem::take(&mut self.ready);
        for waiting in std::mem::take(&mut self.waiting_fetches) {
            let timed_out = now_ms >= waiting.until_ms;
            if waiting.answer.is_closed() {
                self.end_fetch(&waiting.fetch.key, now_ms);
                continue;
            }
            if !ready.contains(&waiting.fetch.key) && !timed_out {
                self.waiting_fetches.push(waiting);
                continue;
            }
            match self.reply(&waiting.fetch, now_ms) {
                Ok(reply) if reply.offers.is_empty() && !reply.complete && !timed_out => {
                    self.waiting_fetches.push(waiting);
                }
                answer => {
                    self.end_fetch(&waiting.fetch.key, now_ms);
                    if let Ok(reply) = &answer {
                        let left_ms = waiting.until_ms.saturating_sub(now_ms);
                        let waited_ms = waiting.fetch.wait_ms.saturating_sub(left_ms);
                        self.metrics
                            .record_reply(&waiting.fetch.key, reply, waited_ms);
                    }
                    // The trainer may have disconnected; it will fetch again with the same cursor.
                    let _ = waiting.answer.send(answer);
                }
            }
        }
    }

    fn end_fetch(&mut self, key: &StepKey, now_ms: u64) {
        if let Some(clock) = self.idle.get_mut(key) {
            clock.end_fetch(now_ms);
        }
    }

    fn reply(&mut self, fetch: &Fetch, now_ms: u64) -> Result<Reply, Rejection> {
        let ledger = self.steps.get_mut(&fetch.key, now_ms);
        let ledger = ledger.ok_or(Rejection::StepNotHeld(fetch.key.step))?;
        // The staleness bound may have changed since the step was posted.
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
