//! The way out of a process: others are told first, new work is refused after the settle
//! time, and the process ends when its work in progress has.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use leaving::{Drain, DrainAction, Phase};
use tokio::sync::watch;

use crate::{Gossip, now_ms};

/// Longest time between two looks at the drain.
const LOOK_MS: u64 = 50;

/// Order to leave, given by a signal, an operator or the platform. Clones share one state.
#[derive(Clone)]
pub struct DrainSignal(Arc<watch::Sender<bool>>);

impl DrainSignal {
    /// No order yet.
    pub fn new() -> Self {
        Self(Arc::new(watch::Sender::new(false)))
    }

    /// Gives the order; a second one changes nothing.
    pub fn trigger(&self) {
        self.0.send_replace(true);
    }

    /// Gives the order when `stop` completes.
    pub fn trigger_on(&self, stop: impl Future<Output = ()> + Send + 'static) {
        let leaving = self.clone();
        tokio::spawn(async move {
            stop.await;
            leaving.trigger();
        });
    }

    /// Waits for the order.
    pub async fn triggered(&self) {
        let mut orders = self.0.subscribe();
        // The sender lives in this value, so waiting can't fail.
        let _ = orders.wait_for(|ordered| *ordered).await;
    }
}

impl Default for DrainSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits for the order, tells the others, and completes when new work is to be refused.
pub async fn announce_and_settle(drain: &Drain, gossip: &Gossip, leaving: &DrainSignal) {
    leaving.triggered().await;
    if drain.start(now_ms()) {
        log::info!(event = "leaving", in_progress = drain.work_counter().count(); "");
    }
    gossip.announce_leaving();
    while drain.phase(now_ms()) != Phase::Finishing {
        look_again().await;
    }
}

/// Completes when work in progress has had its longest time after the order. While
/// nothing is in progress it waits: what is left are answers that callers have not
/// acknowledged and connections that close by themselves.
pub async fn wait_for_drain_timeout(drain: &Drain, leaving: &DrainSignal) {
    leaving.triggered().await;
    loop {
        match drain.next_action(now_ms()) {
            DrainAction::Exit { cut_off } if cut_off > 0 => {
                log::warn!(event = "work-cut-off", in_progress = cut_off; "");
                return;
            }
            DrainAction::Exit { .. } | DrainAction::WaitUntil { .. } | DrainAction::Serve => {
                look_again().await
            }
        }
    }
}

async fn look_again() {
    tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
}
