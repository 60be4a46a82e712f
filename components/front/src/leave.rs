//! Graceful shutdown of a front after the stop signal.
//!
//! The front reports itself as not ready first and serves requests until the load balancer has
//! certainly stopped sending any. It releases the lease and its shards to other fronts at once.
//! Client connections are closed after their next answer. Then the work in progress finishes, and
//! the process exits well before the platform would kill it.

use std::sync::Arc;
use std::time::Duration;

use leaving::{DrainAction, DrainSettings};
use tokio::sync::watch;

use crate::clock::now_ms;
use crate::state::Front;
use crate::{leader, member, peer_relay};

/// How long the load balancer may still send requests after readiness went false, in
/// milliseconds: it probes once per second and removes a front after two failed probes.
const SETTLE_MS: u64 = 2_600;
/// Safety margin between the last work and the platform's kill, in milliseconds.
const KILL_MARGIN_MS: u64 = 900;
/// How long before the exit the requests in progress are answered with an error, in milliseconds.
const FINAL_ANSWERS_MS: u64 = 300;
/// Retry-After of a request that is refused because the front is leaving, in milliseconds.
const RETRY_AFTER_MS: u32 = 50;
/// Timeout for saving partial texts, in milliseconds: enough for two appends to a slow store.
const SAVE_TIMEOUT_MS: u64 = 1_000;
/// Interval of checks whether the drain is complete, in milliseconds.
const POLL_MS: u64 = 20;

/// Times of the drain, which must be complete within `grace_ms` of the stop signal.
pub fn drain_settings(grace_ms: u64) -> DrainSettings {
    let settle_ms = SETTLE_MS.min(grace_ms / 3);
    DrainSettings {
        settle_ms,
        finish_ms_max: grace_ms.saturating_sub(settle_ms + KILL_MARGIN_MS),
        retry_after_ms: RETRY_AFTER_MS,
    }
}

/// How long a leaving front continues the item runs that it has in progress, in milliseconds after
/// the stop signal. The longest items take six seconds; texts that are still incomplete after this
/// time are saved once more for the next owner.
pub fn drain_runs_ms(grace_ms: u64) -> u64 {
    grace_ms.saturating_sub(KILL_MARGIN_MS + SAVE_TIMEOUT_MS)
}

/// Releases the shards to other fronts once the partial texts of their items are saved.
async fn release_shards(front: &Arc<Front>) {
    let mut saved = front.texts_saved.subscribe();
    let timeout = Duration::from_millis(SAVE_TIMEOUT_MS);
    if tokio::time::timeout(timeout, saved.wait_for(|saved| *saved))
        .await
        .is_err()
    {
        log::warn!(event = "handed-over-unsaved"; "");
    }
    // Not awaited: retries until the store has processed the leave, or the process ends.
    tokio::spawn(member::leave(Arc::clone(front)));
}

/// Shuts the front down; returns when the process may exit.
pub async fn leave(front: &Arc<Front>) {
    front.drain.start(now_ms());
    log::info!(event = "leaving", work = front.drain.work_counter().count(); "");
    front.runner_wakeup.notify_one();
    // Not awaited: retries until the record is removed, or the process ends.
    tokio::spawn(peer_relay::withdraw(Arc::clone(front)));
    tokio::join!(leader::release_lease(front), release_shards(front));
    loop {
        match front.drain.next_action(now_ms()) {
            DrainAction::Exit { cut_off } => {
                front.storage.calls.log();
                log::info!(event = "left", cut_off; "");
                return;
            }
            DrainAction::WaitUntil { .. } | DrainAction::Serve => {
                let now_ms = now_ms();
                let is_refusing = front.drain.phase(now_ms) == leaving::Phase::Finishing;
                set(&front.close_connections, is_refusing);
                let last_ms = front.drain.last_ms();
                let is_ending = last_ms.is_some_and(|at_ms| now_ms + FINAL_ANSWERS_MS >= at_ms);
                set(&front.ending, is_ending);
                tokio::time::sleep(Duration::from_millis(POLL_MS)).await;
            }
        }
    }
}

/// Sets a flag and wakes those who wait for it if it changed.
fn set(flag: &watch::Sender<bool>, value: bool) {
    flag.send_if_modified(|known| std::mem::replace(known, value) != value);
}
