//! Submissions that wait a little for the end of their key's call.

use claims::{KeyDigest, RequestDigest, Shard, Verdict};
use tokio::sync::oneshot;

struct Waiting {
    key: KeyDigest,
    request: RequestDigest,
    answer: oneshot::Sender<Option<Verdict>>,
}

/// The submissions of one shard that wait.
#[derive(Default)]
pub struct WaitingEnds {
    waiting: Vec<Waiting>,
}

impl WaitingEnds {
    /// One more.
    pub fn push(
        &mut self,
        key: KeyDigest,
        request: RequestDigest,
        answer: oneshot::Sender<Option<Verdict>>,
    ) {
        self.waiting.push(Waiting {
            key,
            request,
            answer,
        });
    }

    /// Answers those whose key's call no longer runs; forgets those that wait no longer.
    pub fn look(&mut self, shard: &Shard, now_ms: u64) {
        for waiting in std::mem::take(&mut self.waiting) {
            match shard.peek(waiting.key, waiting.request, now_ms) {
                Some(Verdict::Running) if waiting.answer.is_closed() => {}
                Some(Verdict::Running) => self.waiting.push(waiting),
                verdict => {
                    // It may have stopped waiting just now.
                    let _ = waiting.answer.send(verdict);
                }
            }
        }
    }
}
