//! Fetches of trainers: answered as soon as there are samples.

use node::now_ms;
use samples::{Cursor, StepKey};
use tokio::sync::oneshot;

use super::coordinator_task::{CoordinatorTask, Waiting, settings_of};
use super::orders::{Fetch, Reply};
use crate::rejection::Rejection;

/// Fetches of one step that wait at most; older ones are answered when another comes.
const WAITING_PER_STEP_MAX: usize = 4;
/// Fetches of one customer that wait at most.
const WAITING_PER_CUSTOMER_MAX: usize = 64;
/// Fetches that wait at most: half of the calls that a process takes from others.
const WAITING_MAX: usize = 512;

impl CoordinatorTask {
    /// Takes a fetch; it is answered when there are samples or its wait is over.
    pub(super) fn fetch(
        &mut self,
        fetch: Fetch,
        answer: oneshot::Sender<Result<Reply, Rejection>>,
    ) {
        let now_ms = now_ms();
        let clock = self.idle.entry(fetch.key.clone()).or_default();
        clock.begin_fetch(now_ms);
        self.stand_in(&fetch.key);
        self.end_older(&fetch, now_ms);
        self.end_surplus(&fetch.key, now_ms);
        let wait_ms = if self.may_wait(&fetch.key) {
            fetch.wait_ms
        } else {
            0
        };
        let until_ms = now_ms + wait_ms;
        self.ready.insert(fetch.key.clone());
        self.waiting.push(Waiting {
            fetch,
            until_ms,
            answer,
        });
    }

    /// A fetch comes here although another entry is the first home: that one refused, or it
    /// has lost the step, as one that was replaced at its address. Nobody would run what is
    /// missing, and the trainer would fetch nothing for ever; so it is run here until the
    /// first home has been told everything again.
    fn stand_in(&mut self, key: &StepKey) {
        if !self.steps.holds(key) || self.homes.is_first(key) {
            return;
        }
        let new = self.standing_in.insert(key.clone());
        if let Some(first) = self.homes.first(key).filter(|_| new) {
            self.told.lost(key, first);
            self.missed.insert(key.clone());
        }
    }

    /// Has the step's oldest waiting fetches answered, so that there is a place for one.
    fn end_surplus(&mut self, key: &StepKey, now_ms: u64) {
        let of_step = |waiting: &&mut Waiting| waiting.fetch.key == *key;
        let mut waiting: Vec<_> = self.waiting.iter_mut().filter(of_step).collect();
        let surplus = (waiting.len() + 1).saturating_sub(WAITING_PER_STEP_MAX);
        for oldest in waiting.iter_mut().take(surplus) {
            oldest.until_ms = now_ms;
        }
    }

    /// Whether a further fetch of the step's customer may wait for samples. One that may
    /// not is answered at once. Each that waits holds a call of the table that all calls
    /// among entries go through, and too many would keep out everybody's.
    fn may_wait(&self, key: &StepKey) -> bool {
        let same = |waiting: &&Waiting| waiting.fetch.key.customer == key.customer;
        self.waiting.len() < WAITING_MAX
            && self.waiting.iter().filter(same).count() < WAITING_PER_CUSTOMER_MAX
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
            let _ = waiting.answer.send(Err(Rejection::FetchSuperseded));
        }
    }

    /// Answers the fetches that have samples or whose wait is over.
    pub(super) fn answer_waiting(&mut self) {
        let now_ms = now_ms();
        let ready = std::mem::take(&mut self.ready);
        for waiting in std::mem::take(&mut self.waiting) {
            let over = now_ms >= waiting.until_ms;
            if waiting.answer.is_closed() {
                self.fetch_ended(&waiting.fetch.key, now_ms);
                continue;
            }
            if !ready.contains(&waiting.fetch.key) && !over {
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
            clock.end_fetch(now_ms);
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
