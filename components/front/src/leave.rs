//! How a front leaves after the stop signal.
//!
//! Readiness goes false first, and requests are served on until the balancer has surely
//! turned away. The lease and the models go to other fronts at once. Kept connections close
//! after their next answer. Then the work in progress finishes, and the process ends well
//! before it would be killed.

use std::sync::Arc;
use std::time::Duration;

use leaving::{DrainSettings, Step};

use crate::clock::now_ms;
use crate::state::Front;
use crate::{leader, member};

/// How long the balancer may go on sending, in milliseconds: it asks once a second and turns
/// after two misses.
const SETTLE_MS: u64 = 2_600;
/// Time that is left before the kill, in milliseconds.
const MARGIN_MS: u64 = 900;
/// When a client that came too late may come again, in milliseconds.
const AGAIN_MS: u32 = 50;
/// Longest time for saving texts, in milliseconds; two appends of a slow store.
const SAVE_MS: u64 = 1_000;
/// How often the end is looked for, in milliseconds.
const LOOK_MS: u64 = 20;

/// Times of the drain within `grace_ms`.
pub fn drain_settings(grace_ms: u64) -> DrainSettings {
    let settle_ms = SETTLE_MS.min(grace_ms / 3);
    DrainSettings {
        settle_ms,
        finish_ms_max: grace_ms.saturating_sub(settle_ms + MARGIN_MS),
        retry_after_ms: AGAIN_MS,
    }
}

/// How long a leaving front goes on with the items that it runs, in milliseconds after the stop
/// signal. The longest take six seconds; what is left then is saved once more.
pub fn drain_runs_ms(grace_ms: u64) -> u64 {
    grace_ms.saturating_sub(MARGIN_MS + SAVE_MS)
}

/// Gives the shards to other fronts once what was made of their items is saved.
async fn hand_over(front: &Arc<Front>) {
    let mut saved = front.texts_saved.subscribe();
    let within = Duration::from_millis(SAVE_MS);
    if tokio::time::timeout(within, saved.wait_for(|saved| *saved))
        .await
        .is_err()
    {
        log::warn!(event = "handed-over-unsaved"; "");
    }
    // Ends with the process at the latest.
    tokio::spawn(member::leave(Arc::clone(front)));
}

/// Leaves; returns when the process may end.
pub async fn leave(front: &Arc<Front>) {
    front.drain.start(now_ms());
    log::info!(event = "leaving", work = front.drain.progress().count(); "");
    front.runner_wakeup.notify_one();
    tokio::join!(leader::give_up(front), hand_over(front));
    loop {
        match front.drain.step(now_ms()) {
            Step::Exit { cut_off } => {
                front.storage.calls.log();
                log::info!(event = "left", cut_off; "");
                return;
            }
            Step::WaitUntil { .. } | Step::Serve => {
                let closing = front.drain.phase(now_ms()) == leaving::Phase::Finishing;
                front.close_connections.send_if_modified(|known| {
                    let news = *known != closing;
                    *known = closing;
                    news
                });
                tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            }
        }
    }
}
