//! The index: steps, results and the lease.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use index::{INDEX_PARTITION, INDEX_TOPIC};
use pacing::LOG_PACE;
use tokio::time::{Instant, timeout_at};

use super::{Batch, Follower};
use crate::clock::now_ms;
use crate::state::Front;

/// How long steps are kept beyond the time in which they can be read.
const KEPT_SLACK_MS: u64 = 5_000;
/// Longest wait for the newest records; an idle read in progress comes back within it.
const NEWEST_MS: u64 = 700;

/// Follows the index.
pub async fn index(front: Arc<Front>) {
    let mut follower = Follower::new(&front, INDEX_TOPIC, INDEX_PARTITION, LOG_PACE);
    loop {
        let batch = follower.read().await;
        let failed = matches!(batch, Batch::Failed);
        front.index_failing.store(failed, Ordering::Relaxed);
        match batch {
            Batch::Records {
                from,
                records,
                current,
            } => {
                let now_ms = now_ms();
                apply(&front, from, &records, now_ms);
                let first = front.index_current_ms() == 0;
                if current {
                    front.mark_index_current(now_ms);
                }
                if first || !records.is_empty() {
                    front.index_changes.send_modify(|count| *count += 1);
                    front.runner_wakeup.notify_one();
                    front.leader_wakeup.notify_one();
                }
            }
            Batch::Trimmed => front.index().skipped(now_ms()),
            Batch::Failed => {}
        }
    }
}

fn apply(front: &Front, from: u64, records: &[Bytes], now_ms: u64) {
    let mut index = front.index();
    index.apply(from, records, now_ms, |offset, error| {
        log::warn!(event = "record-malformed", topic = INDEX_TOPIC, offset, error:% = error; "");
    });
    let kept_ms = front.settings.bounds.readable_ms + KEPT_SLACK_MS;
    index.ledger.forget_before(kept_ms, now_ms);
}

/// Read barrier: waits until the index was read to its end after this call. A front for which
/// nobody waited may be half a second behind, and a step that it does not know may have been
/// accepted at another front just before. Gives up where the store does not answer in time, and at
/// once where it did not answer last: another front may know more, and the client is sent there.
pub async fn wait_until_index_current(front: &Front) {
    if front.index_failing.load(Ordering::Relaxed) {
        return;
    }
    let _waiting = front.demand.wait();
    let asked_ms = now_ms();
    let until = Instant::now() + Duration::from_millis(NEWEST_MS);
    loop {
        let read = front.index_read.notified();
        if front.index_current_ms() > asked_ms {
            return;
        }
        if timeout_at(until, read).await.is_err() {
            return;
        }
    }
}
