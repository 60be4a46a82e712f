//! Follower of the index: the log of steps, results and the lease.

use std::sync::Arc;

use bytes::Bytes;
use index::{INDEX_PARTITION, INDEX_TOPIC, Index};
use pacing::LOG_PACE;

use super::{Batch, Follower, Lookup};
use crate::clock::now_ms;
use crate::state::Front;

/// How long steps stay in memory beyond the time in which clients can read them, in milliseconds.
const RETENTION_SLACK_MS: u64 = 5_000;

/// Applies the records of the index to the front's state, until the process ends.
pub async fn follow_index(front: Arc<Front>) {
    let copy = &front.index_copy;
    let mut follower = Follower::new(&front, copy, INDEX_TOPIC, INDEX_PARTITION, LOG_PACE);
    loop {
        match follower.read().await {
            Batch::Records {
                read,
                from,
                records,
                current,
            } => {
                let now_ms = now_ms();
                apply(&front, from, &records, now_ms);
                let first = copy.current_ms() == 0;
                if current {
                    copy.record_current(read, now_ms);
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

/// Looks something up in the local copy of the index. A front whose clients don't wait for records
/// polls slowly and may be half a second behind, so a step that it does not know may just have been
/// accepted by another front.
pub async fn find_in_index<T>(front: &Front, lookup: impl Fn(&Index) -> Option<T>) -> Lookup<T> {
    if let Some(found) = lookup(&front.index()) {
        return Lookup::Found(found);
    }
    let _waiting = front.demand.begin_wait();
    front.index_copy.look_up(|| lookup(&front.index())).await
}
