//! The drain of a process: it first announces that it leaves, refuses new work after the settle
//! time, and exits when its work in progress has ended.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use leaving::{Drain, DrainAction, Phase};
use tokio::sync::watch;

use crate::{Gossip, now_ms};

/// Time between two checks of the drain.
const POLL_INTERVAL_MS: u64 = 50;

/// Order to drain and leave, given by a signal, an operator or the platform. Clones share one
/// state.
#[derive(Clone)]
pub struct DrainSignal(Arc<watch::Sender<bool>>);

impl DrainSignal {
    /// Creates a signal that is not triggered.
    pub fn new() -> Self {
        Self(Arc::new(watch::Sender::new(false)))
    }

    /// Triggers the drain; further calls have no effect.
    pub fn trigger(&self) {
        self.0.send_replace(true);
    }

    /// Triggers the drain when `stop` completes.
    pub fn trigger_on(&self, stop: impl Future<Output = ()> + Send + 'static) {
        let signal = self.clone();
        tokio::spawn(async move {
            stop.await;
            signal.trigger();
        });
    }

    /// Waits until the drain is triggered.
    pub async fn triggered(&self) {
        let mut triggered = self.0.subscribe();
        // Waiting fails only without a sender, and this value holds the sender.
        let _ = triggered.wait_for(|is_triggered| *is_triggered).await;
    }
}

impl Default for DrainSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits until the drain is triggered, announces it to the other processes, and completes when
/// new work is to be refused.
pub async fn announce_and_settle(drain: &Drain, gossip: &Gossip, signal: &DrainSignal) {
    signal.triggered().await;
    if drain.start(now_ms()) {
        log::info!(event = "leaving", in_progress = drain.work_counter().count(); "");
    }
    gossip.announce_leaving();
    while drain.phase(now_ms()) != Phase::Finishing {
        sleep_until_next_poll().await;
    }
}

/// Completes when the drain time is over and work is still in progress, which is then cut off.
///
/// Without work in progress it does not complete: what remains are answers that callers have
/// not yet acknowledged and connections, which end by themselves.
pub async fn wait_for_drain_timeout(drain: &Drain, signal: &DrainSignal) {
    signal.triggered().await;
    loop {
        match drain.next_action(now_ms()) {
            DrainAction::Exit { cut_off } if cut_off > 0 => {
                log::warn!(event = "work-cut-off", in_progress = cut_off; "");
                return;
            }
            DrainAction::Exit { .. } | DrainAction::WaitUntil { .. } | DrainAction::Serve => {
                sleep_until_next_poll().await
            }
        }
    }
}

async fn sleep_until_next_poll() {
    tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
}
