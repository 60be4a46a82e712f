//! Follower of the operator's records: the configuration and the weight versions that trainers
//! named.

use std::sync::Arc;

use bytes::Bytes;
use pacing::LOG_PACE;
use platform::records::{self, OPERATOR_TOPIC, OperatorRecord};

use super::keyed::{KeyedUpdate, follow};
use crate::clock::now_ms;
use crate::state::{Front, lock};

/// Applies the operator's records to the front's state, until the process ends.
///
/// The copy does not count as current while the newest configuration is malformed: the active one
/// then says nothing about what is configured now.
pub async fn follow_operator(front: Arc<Front>) {
    let copy = &front.operator_copy;
    let mut is_config_readable = true;
    follow(
        &front,
        copy,
        OPERATOR_TOPIC,
        LOG_PACE,
        |update| match update {
            KeyedUpdate::Key(key, Some(value)) => {
                let is_readable = apply_record(&front, &key, &value);
                if records::is_config(&key) {
                    is_config_readable = is_readable;
                }
            }
            KeyedUpdate::Malformed(key) if records::is_config(&key) => is_config_readable = false,
            KeyedUpdate::BatchEnd {
                read,
                current: true,
            } => match is_config_readable {
                true => copy.record_current(read, now_ms()),
                false => copy.record_failure(),
            },
            _ => {}
        },
    )
    .await;
}

/// Applies one record; false if it is malformed.
fn apply_record(front: &Front, key: &str, value: &Bytes) -> bool {
    match records::parse_operator_record(key, value) {
        Ok(OperatorRecord::Routes(routes)) => {
            let active = front.routes.load();
            let active_version = active.as_ref().map_or(0, |known| known.version);
            // An older version may be read again after the store has lost history; it must not
            // replace a newer one.
            if routes.version > active_version {
                log::info!(
                    event = "routes-in-force", version = routes.version,
                    customers = routes.customers.iter().count(),
                    keys = routes.customers.key_count(); ""
                );
                front.routes.store(Some(routes));
                front.runner_wakeup.notify_one();
            }
        }
        Ok(OperatorRecord::VersionNamed { model, version }) => {
            apply_named_version(front, model, version)
        }
        Ok(OperatorRecord::Other) => {}
        Err(error) => {
            log::warn!(event = "record-malformed", topic = OPERATOR_TOPIC, error:% = error; "");
            return false;
        }
    }
    true
}

fn apply_named_version(front: &Front, model: Arc<str>, version: u64) {
    let mut named = lock(&front.named_versions);
    let known = named.entry(Arc::clone(&model)).or_insert(0);
    if version > *known {
        log::info!(event = "version-named", model = &*model, version; "");
        *known = version;
        front.leader_wakeup.notify_one();
        front.runner_wakeup.notify_one();
    }
}
