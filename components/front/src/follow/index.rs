//! Follower of the index: the log of steps, results and the lease.

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

/// How long steps stay in memory beyond the time in which clients can read them, in milliseconds.
const RETENTION_SLACK_MS: u64 = 5_000;
/// Timeout of the read barrier, in milliseconds; an idle long poll in progress returns within it.
const BARRIER_TIMEOUT_MS: u64 = 700;

/// Applies the records of the index to the front's state, until the process ends.
pub async fn follow_index(front: Arc<Front>) {
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
            Batch::Trimmed => front.index().mark_gap(now_ms()),
            Batch::Failed => {}
        }
    }
}

fn apply(front: &Front, from: u64, records: &[Bytes], now_ms: u64) {
    let crash_reports = {
        let mut index = front.index();
        index.apply(from, records, now_ms, |offset, error| {
            log::warn!(event = "record-malformed", topic = INDEX_TOPIC, offset, error:% = error; "");
        });
        let retention_ms = front.settings.bounds.job_readable_ms + RETENTION_SLACK_MS;
        index.ledger.remove_older_than(retention_ms, now_ms);
        index.take_crash_reports()
    };
    let utc_ms = front.meter.utc_ms(now_ms);
    for report in &crash_reports {
        front.suspects.apply(report, utc_ms);
    }
}

/// Read barrier: waits until the index has been read to its end after this call. A front whose
/// clients don't wait for records polls slowly and may be half a second behind, so a step that it
/// does not know may just have been accepted by another front. Returns early if the store does not
/// answer within the timeout, and at once if the last read of the index failed: the client is then
/// told to retry and may reach a front that is current.
pub async fn wait_until_index_current(front: &Front) {
    if front.index_failing.load(Ordering::Relaxed) {
        return;
    }
    let _waiting = front.demand.begin_wait();
    let called_ms = now_ms();
    let deadline = Instant::now() + Duration::from_millis(BARRIER_TIMEOUT_MS);
    loop {
        let read = front.index_read.notified();
        if front.index_current_ms() > called_ms {
            return;
        }
        if timeout_at(deadline, read).await.is_err() {
            return;
        }
    }
}
