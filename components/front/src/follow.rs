//! Following the platform's store: the operator's and replicas' records, and the index.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use dispatch::{Registry, Replica, ReplicaId, Revision, gather_ms};
use index::{INDEX_PARTITION, INDEX_TOPIC};
use platform::records::{self, OPERATOR_TOPIC, OperatorRecord, REPLICA_TOPIC};
use platform::store::{Page, StoreError, keyed};
use reach::{Patience, patience};
use telemetry::Label;

use crate::clock::now_ms;
use crate::state::{Front, locked};
use crate::storage::ReadFrom;

/// How long a read waits for a record, in milliseconds. A read that comes back empty proves
/// that nothing is new, and answers to trainers lean on a proof below a second old.
const WAIT_MS: u64 = 450;
/// Time for a read beyond its wait, in milliseconds: a slow store takes 240.
const READ_SLACK_MS: u64 = 900;
/// Most kibibytes of one read: peak memory against calls after a start.
const READ_KB: u32 = 64;
/// Pause after a read that failed, in milliseconds.
pub const PAUSE_MS: u64 = 100;
/// How long steps are kept beyond the time in which they can be read, in milliseconds.
const KEPT_SLACK_MS: u64 = 5_000;

/// What a follower is told by a keyed topic.
enum KeyedNews {
    /// A key has a value, or was dropped.
    Key(String, Option<Bytes>),
    /// These are all keys that have a value.
    All(Vec<ReplicaId>),
    /// All news so far were told; whether nothing is left to be read.
    Settled { current: bool },
    /// The store can't be reached.
    Lost,
}

/// Follows a keyed topic and tells `take` what it says, in order.
async fn follow_keyed(
    front: &Front,
    topic: &str,
    pause_ms: impl Fn(u64, u64) -> u64,
    mut take: impl FnMut(KeyedNews),
) {
    let within = Duration::from_millis(WAIT_MS + READ_SLACK_MS);
    let mut offsets: HashMap<String, u64> = HashMap::new();
    loop {
        let (newest, end) = match front.storage.newest(topic, within).await {
            Ok(newest) => newest,
            Err(error) => {
                lost(front, topic, &error);
                take(KeyedNews::Lost);
                front.storage.pause(PAUSE_MS).await;
                continue;
            }
        };
        let mut keys = Vec::with_capacity(newest.len());
        for record in newest {
            keys.push(ReplicaId::from(record.key.as_str()));
            if offsets
                .get(&record.key)
                .is_none_or(|known| *known < record.offset)
            {
                offsets.insert(record.key.clone(), record.offset);
                take(KeyedNews::Key(record.key, Some(record.value)));
            }
        }
        take(KeyedNews::All(keys));
        take(KeyedNews::Settled { current: true });
        let mut next = end;
        let mut failed = 0;
        loop {
            match read(front, topic, 0, next, failed).await {
                Ok(page) => {
                    failed = 0;
                    for record in page.records {
                        let offset = next;
                        next += 1;
                        match keyed(record) {
                            Ok((key, value)) => {
                                if offsets.get(&key).is_none_or(|known| *known < offset) {
                                    match value.is_some() {
                                        true => offsets.insert(key.clone(), offset),
                                        false => offsets.remove(&key),
                                    };
                                    take(KeyedNews::Key(key, value));
                                }
                            }
                            Err(error) => log::warn!(
                                event = "record-odd", topic, offset, error:% = error; ""
                            ),
                        }
                    }
                    let current = next >= page.end;
                    take(KeyedNews::Settled { current });
                    let pause_ms = pause_ms(next, page.end);
                    if pause_ms > 0 {
                        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
                    }
                }
                Err(StoreError::Gone(first)) => {
                    log::info!(event = "history-gone", topic, next, first; "");
                    break;
                }
                Err(error) => {
                    failed += 1;
                    lost(front, topic, &error);
                    take(KeyedNews::Lost);
                    front.storage.pause(PAUSE_MS).await;
                }
            }
        }
    }
}

/// Reads on from an offset, after so many reads that failed.
pub async fn read(
    front: &Front,
    topic: &str,
    partition: u32,
    offset: u64,
    failed: u32,
) -> Result<Page, StoreError> {
    let Patience { wait_ms, within } = patience(failed, WAIT_MS, READ_SLACK_MS);
    let from = ReadFrom {
        topic,
        partition,
        offset,
        max_kb: READ_KB,
        wait_ms,
    };
    front.storage.read(from, within).await
}

pub fn lost(front: &Front, topic: &str, error: &StoreError) {
    front
        .metrics
        .count("front_store_reads_failed_total", Label::default(), 1);
    log::warn!(event = "store-read-failed", topic, error:% = error; "");
}

/// Follows the configuration and the named versions.
pub async fn operator(front: Arc<Front>) {
    follow_keyed(
        &front,
        OPERATOR_TOPIC,
        |_, _| 0,
        |news| {
            let (key, value) = match news {
                KeyedNews::Key(key, Some(value)) => (key, value),
                KeyedNews::Settled { current: true } => {
                    front.operator_is_current(now_ms());
                    return;
                }
                _ => return,
            };
            match records::operator_record(&key, &value) {
                Ok(OperatorRecord::Routes(routes)) => {
                    let in_force = front
                        .routes
                        .load()
                        .as_ref()
                        .map_or(0, |known| known.version);
                    // An old version can be read again after the history was lost; nobody goes
                    // back to it.
                    if routes.version > in_force {
                        log::info!(
                            event = "routes-in-force", version = routes.version,
                            customers = routes.customers.iter().count(),
                            keys = routes.customers.keys(); ""
                        );
                        front.routes.store(Some(routes));
                    }
                }
                Ok(OperatorRecord::Named { model, version }) => {
                    name_version(&front, model, version)
                }
                Ok(OperatorRecord::Other) => {}
                Err(error) => {
                    log::warn!(event = "record-odd", topic = OPERATOR_TOPIC, error:% = error; "")
                }
            }
        },
    )
    .await;
}

fn name_version(front: &Front, model: Arc<str>, version: u64) {
    let mut named = locked(&front.named);
    let known = named.entry(Arc::clone(&model)).or_insert(0);
    if version > *known {
        log::info!(event = "version-named", model = &*model, version; "");
        *known = version;
        front.leader_news.notify_one();
        front.runner_news.notify_one();
    }
}

/// Follows the replicas' records.
pub async fn replicas(front: Arc<Front>) {
    let mut registry = Registry::default();
    let mut changed = false;
    follow_keyed(&front, REPLICA_TOPIC, gather_ms, |news| {
        let now_ms = now_ms();
        match news {
            KeyedNews::Key(id, value) => {
                registry.store_seen(now_ms);
                changed |= take_replica(&mut registry, &id, value.as_deref(), now_ms);
            }
            KeyedNews::All(ids) => {
                registry.store_seen(now_ms);
                changed |= registry.keep_only(&ids, now_ms) == Revision::Changed;
            }
            KeyedNews::Lost => registry.store_lost(),
            KeyedNews::Settled { .. } => {
                registry.store_seen(now_ms);
                changed |= registry.expire(now_ms) == Revision::Changed;
                front.replicas_read.store(1, Ordering::Relaxed);
                if std::mem::take(&mut changed) {
                    let next = front.replicas.load().next(registry.replicas());
                    front.replicas.store(Arc::new(next));
                    front.runner_news.notify_one();
                    front.leader_news.notify_one();
                }
            }
        }
    })
    .await;
}

/// Whether something changed.
fn take_replica(registry: &mut Registry, id: &str, value: Option<&[u8]>, now_ms: u64) -> bool {
    let revision = match value {
        None => {
            log::info!(event = "replica-gone", replica = id; "");
            registry.remove(id, now_ms)
        }
        Some(value) => match records::replica_record(id, value) {
            Ok(replica) => {
                if replica.draining {
                    log::info!(event = "replica-draining", replica = id; "");
                }
                put_replica(registry, replica)
            }
            Err(error) => {
                log::warn!(event = "record-odd", topic = REPLICA_TOPIC, error:% = error; "");
                Revision::Unchanged
            }
        },
    };
    revision == Revision::Changed
}

fn put_replica(registry: &mut Registry, replica: Replica) -> Revision {
    let (id, address) = (Arc::clone(&replica.id), replica.address);
    let draining = replica.draining;
    let revision = registry.put(replica);
    if revision == Revision::Changed {
        log::debug!(event = "replica-changed", replica = &*id, address:% = address, draining; "");
    }
    revision
}

/// Follows the index: steps, results and the lease.
pub async fn index(front: Arc<Front>) {
    let mut next = 0;
    let mut failed = 0;
    loop {
        match read(&front, INDEX_TOPIC, INDEX_PARTITION, next, failed).await {
            Ok(page) => {
                if std::mem::take(&mut failed) > 0 {
                    log::info!(event = "store-regained", topic = INDEX_TOPIC, next; "");
                }
                let now_ms = now_ms();
                let news = !page.records.is_empty();
                next = apply_page(&front, next, &page.records, now_ms);
                if next >= page.end {
                    front.index_is_current(now_ms);
                }
                if news {
                    front.index_news.send_modify(|count| *count += 1);
                    front.runner_news.notify_one();
                    front.leader_news.notify_one();
                }
            }
            Err(StoreError::Gone(first)) => {
                log::info!(event = "history-gone", topic = INDEX_TOPIC, next, first; "");
                front.index().skipped(now_ms());
                next = first;
            }
            Err(error) => {
                failed += 1;
                if failed == 1 {
                    lost(&front, INDEX_TOPIC, &error);
                }
                front.storage.pause(PAUSE_MS).await;
            }
        }
    }
}

fn apply_page(front: &Front, from: u64, records: &[Bytes], now_ms: u64) -> u64 {
    let mut index = front.index();
    let next = index.apply(from, records, now_ms, |offset, error| {
        log::warn!(event = "record-odd", topic = INDEX_TOPIC, offset, error:% = error; "");
    });
    let kept_ms = front.settings.bounds.readable_ms + KEPT_SLACK_MS;
    index.ledger.forget_before(kept_ms, now_ms);
    next
}
