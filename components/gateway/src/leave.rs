//! The way out: readiness goes first, new work is taken for the balancer's lag, then
//! refused, and the process ends when its work in progress has.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use leaving::{Phase, Step};
use node::now_ms;
use tokio::sync::watch;

use crate::gateway::Gateway;

/// Time between two looks when no time is named.
const LOOK_MS: u64 = 50;

/// Order to leave, given by a signal, an operator or the platform. Clones share one state.
#[derive(Clone)]
pub struct Leaving(Arc<watch::Sender<bool>>);

impl Leaving {
    /// No order yet.
    pub fn new() -> Self {
        Self(Arc::new(watch::Sender::new(false)))
    }

    /// Gives the order; a second one changes nothing.
    pub fn order(&self) {
        self.0.send_replace(true);
    }

    /// Gives the order when `stop` completes.
    pub fn order_on(&self, stop: impl Future<Output = ()> + Send + 'static) {
        let leaving = self.clone();
        tokio::spawn(async move {
            stop.await;
            leaving.order();
        });
    }

    async fn ordered(&self) {
        settled(self.0.subscribe()).await;
    }
}

/// Waits until `flag` is true, or its sender is gone.
pub async fn settled(mut flag: watch::Receiver<bool>) {
    let _ = flag.wait_for(|set| *set).await;
}

/// Waits for the order, tells the others, and sets `settled` when new work is to be
/// refused. Never completes.
pub async fn settle(gateway: &Gateway, leaving: &Leaving, settled: &watch::Sender<bool>) {
    leaving.ordered().await;
    if gateway.drain.start(now_ms()) {
        log::info!(event = "leaving", in_progress = gateway.drain.progress().count(); "");
    }
    gateway.gossip.leave();
    while gateway.drain.phase(now_ms()) != Phase::Finishing {
        sleep(LOOK_MS).await;
    }
    settled.send_replace(true);
    std::future::pending().await
}

/// Completes when work in progress has had its longest time after the order.
pub async fn overtime(gateway: &Gateway, leaving: &Leaving) {
    leaving.ordered().await;
    loop {
        match gateway.drain.step(now_ms()) {
            Step::Exit { cut_off } if cut_off > 0 => {
                log::warn!(event = "work-cut-off", in_progress = cut_off; "");
                return;
            }
            // What is left are connections that close by themselves.
            Step::Exit { .. } | Step::Serve => sleep(LOOK_MS).await,
            Step::WaitUntil { at_ms } => {
                sleep(at_ms.saturating_sub(now_ms()).clamp(1, LOOK_MS)).await;
            }
        }
    }
}

async fn sleep(wait_ms: u64) {
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
}
