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

/// Leaves; returns when the process may end.
pub async fn leave(front: &Arc<Front>) {
    front.drain.start(now_ms());
    log::info!(event = "leaving", work = front.drain.progress().count(); "");
    tokio::join!(leader::give_up(front), member::leave(front));
    loop {
        match front.drain.step(now_ms()) {
            Step::Exit { cut_off } => {
                log::info!(event = "left", cut_off; "");
                return;
            }
            Step::WaitUntil { .. } | Step::Serve => {
                let closing = front.drain.phase(now_ms()) == leaving::Phase::Finishing;
                front.closing.send_if_modified(|known| {
                    let news = *known != closing;
                    *known = closing;
                    news
                });
                tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            }
        }
    }
}
