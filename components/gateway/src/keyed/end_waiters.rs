//! Submissions that wait a short time for the end of their key's call.

use claims::{KeyDigest, RequestDigest, Shard, Verdict};
use tokio::sync::oneshot;

struct Waiter {
    key: KeyDigest,
    request: RequestDigest,
    answer: oneshot::Sender<Option<Verdict>>,
}

/// Waiting submissions of one shard.
#[derive(Default)]
pub struct EndWaiters {
    waiters: Vec<Waiter>,
}

impl EndWaiters {
    pub fn push(
        &mut self,
        key: KeyDigest,
        request: RequestDigest,
        answer: oneshot::Sender<Option<Verdict>>,
    ) {
        self.waiters.push(Waiter {
            key,
            request,
            answer,
        });
    }

    /// Answers the submissions whose key's call has ended and drops those that no longer wait.
    pub fn answer_ended(&mut self, shard: &Shard, now_ms: u64) {
        for waiter in std::mem::take(&mut self.waiters) {
            match shard.peek(waiter.key, waiter.request, now_ms) {
                Some(Verdict::Running) if waiter.answer.is_closed() => {}
                Some(Verdict::Running) => self.waiters.push(waiter),
                verdict => {
                    // The submission may have stopped waiting in the meantime.
                    let _ = waiter.answer.send(verdict);
                }
            }
        }
    }
}
