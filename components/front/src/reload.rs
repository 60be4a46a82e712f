//! Changes of the settings file while the process runs.
//!
//! The platform changes the file with a signal or without one, so it is looked at on each
//! signal and at intervals. The address of the store is taken over at once. Addresses to
//! listen on and names hold until the next start, and a file that can't be used changes
//! nothing.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use platform::settings;
use tokio::signal::unix::Signal;

use crate::state::Front;

/// Pause between looks at the file, in milliseconds: a look costs one system call.
const LOOK_MS: u64 = 2_000;

/// Follows the settings file until the process ends.
pub async fn follow(front: Arc<Front>, path: &Path, mut signals: Signal) {
    let mut seen = changed_at(path);
    loop {
        let signalled = tokio::select! {
            signal = signals.recv() => signal.is_some(),
            () = tokio::time::sleep(Duration::from_millis(LOOK_MS)) => false,
        };
        let now = changed_at(path);
        if signalled || now != seen {
            seen = now;
            take_over(&front, path, signalled);
        }
    }
}

fn changed_at(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|about| about.modified())
        .ok()
}

fn take_over(front: &Front, path: &Path, signalled: bool) {
    match settings::load(path) {
        Ok(next) => {
            let store = next.store.address;
            let moved = front.storage.move_to(store);
            let same = next == front.settings;
            log::info!(event = "settings-read", signalled, same, store_moved = moved, store:% = store; "");
        }
        Err(error) => log::error!(event = "settings-malformed", signalled, error:% = error; ""),
    }
}
