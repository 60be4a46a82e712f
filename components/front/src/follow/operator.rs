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
pub async fn follow_operator(front: Arc<Front>) {
    follow(&front, OPERATOR_TOPIC, LOG_PACE, |update| match update {
        KeyedUpdate::Key(key, Some(value)) => apply_record(&front, &key, &value),
        KeyedUpdate::BatchEnd { current: true } => front.mark_operator_records_current(now_ms()),
        _ => {}
    })
    .await;
}

fn apply_record(front: &Front, key: &str, value: &Bytes) {
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
            }
        }
        Ok(OperatorRecord::VersionNamed { model, version }) => {
            apply_named_version(front, model, version)
        }
        Ok(OperatorRecord::Other) => {}
        Err(error) => {
            log::warn!(event = "record-malformed", topic = OPERATOR_TOPIC, error:% = error; "");
        }
    }
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
