//! Reloads the settings file while the process runs.
//!
//! The platform may change the file with or without sending SIGHUP, so the file is checked on each
//! signal and at intervals. A new address of the store takes effect at once. Listen addresses and
//! names take effect at the next start, and a malformed file is logged and ignored.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use platform::settings;
use tokio::signal::unix::Signal;

use crate::state::Front;

/// Interval of checks for a change of the file, in milliseconds. A check costs one system call.
const POLL_MS: u64 = 2_000;

/// Reloads the settings on each change of the file, until the process ends.
pub async fn follow(front: Arc<Front>, path: &Path, mut signals: Signal) {
    let mut known = modified_at(path);
    loop {
        let signalled = tokio::select! {
            signal = signals.recv() => signal.is_some(),
            () = tokio::time::sleep(Duration::from_millis(POLL_MS)) => false,
        };
        let modified = modified_at(path);
        if signalled || modified != known {
            known = modified;
            reload(&front, path, signalled);
        }
    }
}

fn modified_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|metadata| metadata.modified())
        .ok()
}

fn reload(front: &Front, path: &Path, signalled: bool) {
    match settings::load(path) {
        Ok(next) => {
            let store = next.store.address;
            let moved = front.storage.set_address(store);
            let same = next == front.settings;
            log::info!(event = "settings-read", signalled, same, store_moved = moved, store:% = store; "");
        }
        Err(error) => log::error!(event = "settings-malformed", signalled, error:% = error; ""),
    }
}
