//! Follower of the replicas' records.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use dispatch::{Registry, RegistryChange, Replica};
use pacing::REPLICA_PACE;
use platform::records::{self, REPLICA_TOPIC};

use super::keyed::{KeyedUpdate, follow};
use crate::clock::now_ms;
use crate::peers::{EndedIncarnation, Restart};
use crate::state::Front;

/// Limit on the number of ids whose malformed records are logged, each of them once.
const MALFORMED_MAX: usize = 256;

/// Builds the table of replicas from their records, until the process ends.
pub async fn follow_replicas(front: Arc<Front>) {
    let mut registry = Registry::default();
    let mut malformed = HashSet::new();
    let mut changed = false;
    let copy = &front.replica_copy;
    follow(&front, copy, REPLICA_TOPIC, REPLICA_PACE, |update| {
        let now_ms = now_ms();
        match update {
            KeyedUpdate::Key(id, value) => {
                registry.record_store_answer(now_ms);
                changed |= apply_replica_record(
                    &front,
                    &mut registry,
                    &mut malformed,
                    &id,
                    value.as_deref(),
                    now_ms,
                );
            }
            KeyedUpdate::AllKeys(ids) => {
                registry.record_store_answer(now_ms);
                changed |= registry.retain_listed(&ids, now_ms) == RegistryChange::Changed;
            }
            KeyedUpdate::ReadFailed => registry.record_store_failure(),
            // The replica is not among the listed keys that follow.
            KeyedUpdate::Malformed(_) => {}
            KeyedUpdate::BatchEnd { read, current } => {
                if current {
                    copy.record_current(read, now_ms);
                }
                registry.record_store_answer(now_ms);
                front.suspects.checks.record_reading(now_ms);
                changed |= registry.expire(now_ms) == RegistryChange::Changed;
                front.replicas_read.store(1, Ordering::Relaxed);
                if std::mem::take(&mut changed) {
                    // Start times are those of the replicas' wall clocks.
                    let utc_ms = front.meter.utc_ms(now_ms);
                    let local_ms =
                        |unix_ms: u64| now_ms.saturating_add(unix_ms).saturating_sub(utc_ms);
                    let table = front.replicas.load();
                    let rebuilt = table.rebuild(registry.replicas(), local_ms);
                    front.replicas.store(Arc::new(rebuilt.table));
                    rebuilt
                        .ended
                        .into_iter()
                        .for_each(EndedIncarnation::end_requests);
                    for Restart { former, started_ms } in &rebuilt.restarts {
                        log::info!(
                            event = "replica-restarted", replica = &*former.id,
                            former_started_ms = former.started_ms, draining = former.draining; ""
                        );
                        front.suspects.record_restart(former, *started_ms);
                    }
                    front.runner_wakeup.notify_one();
                    front.leader_wakeup.notify_one();
                }
            }
        }
    })
    .await;
}

/// Applies the record of one replica; true if the registry changed. A malformed record removes the
/// replica: it usually comes from another program, which may write it repeatedly, so it is logged
/// only once until the key has a valid record or is deleted.
fn apply_replica_record(
    front: &Front,
    registry: &mut Registry,
    malformed: &mut HashSet<String>,
    id: &str,
    value: Option<&[u8]>,
    now_ms: u64,
) -> bool {
    let change = match value {
        None => {
            log::info!(event = "replica-gone", replica = id; "");
            malformed.remove(id);
            registry.remove(id, now_ms)
        }
        Some(value) => match records::parse_replica_record(id, value) {
            Ok(replica) => {
                malformed.remove(id);
                if replica.draining {
                    log::info!(event = "replica-draining", replica = id; "");
                }
                front.suspects.record_heartbeat(&replica, now_ms);
                put_replica(registry, replica)
            }
            Err(error) => {
                if malformed.len() < MALFORMED_MAX && malformed.insert(id.to_owned()) {
                    log::warn!(event = "record-malformed", topic = REPLICA_TOPIC, error:% = error; "");
                }
                registry.remove(id, now_ms)
            }
        },
    };
    change == RegistryChange::Changed
}

fn put_replica(registry: &mut Registry, replica: Replica) -> RegistryChange {
    let (id, address) = (Arc::clone(&replica.id), replica.address);
    let draining = replica.draining;
    let change = registry.put(replica);
    if change == RegistryChange::Changed {
        log::debug!(event = "replica-changed", replica = &*id, address:% = address, draining; "");
    }
    change
}
