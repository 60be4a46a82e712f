//! The operator's records: the configuration, and the versions that trainers named.

use std::sync::Arc;

use bytes::Bytes;
use pacing::LOG_PACE;
use platform::records::{self, OPERATOR_TOPIC, OperatorRecord};

use super::keyed::{KeyedNews, follow};
use crate::clock::now_ms;
use crate::state::{Front, lock};

/// Follows the configuration and the named versions.
pub async fn operator(front: Arc<Front>) {
    follow(&front, OPERATOR_TOPIC, LOG_PACE, |news| match news {
        KeyedNews::Key(key, Some(value)) => take_record(&front, &key, &value),
        KeyedNews::Settled { current: true } => front.mark_operator_records_current(now_ms()),
        _ => {}
    })
    .await;
}

fn take_record(front: &Front, key: &str, value: &Bytes) {
    match records::operator_record(key, value) {
        Ok(OperatorRecord::Routes(routes)) => {
            let in_force = front.routes.load();
            let in_force = in_force.as_ref().map_or(0, |known| known.version);
            // An old version can be read again after the history was lost; nobody goes back to
            // it.
            if routes.version > in_force {
                log::info!(
                    event = "routes-in-force", version = routes.version,
                    customers = routes.customers.iter().count(),
                    keys = routes.customers.keys(); ""
                );
                front.routes.store(Some(routes));
            }
        }
        Ok(OperatorRecord::Named { model, version }) => name_version(front, model, version),
        Ok(OperatorRecord::Other) => {}
        Err(error) => {
            log::warn!(event = "record-malformed", topic = OPERATOR_TOPIC, error:% = error; "");
        }
    }
}

fn name_version(front: &Front, model: Arc<str>, version: u64) {
    let mut named = lock(&front.named_versions);
    let known = named.entry(Arc::clone(&model)).or_insert(0);
    if version > *known {
        log::info!(event = "version-named", model = &*model, version; "");
        *known = version;
        front.leader_wakeup.notify_one();
        front.runner_wakeup.notify_one();
    }
}
