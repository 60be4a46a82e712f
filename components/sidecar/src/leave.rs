//! The way out: others are told first, new work is refused after the settle time, and
//! the process ends when its work in progress has.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use leaving::{Phase, Step};
use node::{Gossip, now_ms};
use tokio::sync::watch;

use crate::agent::Agent;

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

    /// Waits for the order.
    pub async fn ordered(&self) {
        let mut orders = self.0.subscribe();
        // The sender lives in this value, so waiting can't fail.
        let _ = orders.wait_for(|ordered| *ordered).await;
    }
}

impl Default for Leaving {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits for the order, tells the others, and completes when new work is to be refused.
pub async fn settle(agent: &Agent, gossip: &Gossip, ordered: impl Future<Output = ()>) {
    ordered.await;
    if agent.drain.start(now_ms()) {
        log::info!(event = "leaving", calls = agent.drain.progress().count(); "");
    }
    gossip.leave();
    while agent.drain.phase(now_ms()) != Phase::Finishing {
        match agent.drain.step(now_ms()) {
            Step::WaitUntil { at_ms } => sleep_until(at_ms).await,
            Step::Serve | Step::Exit { .. } => return,
        }
    }
}

/// Completes when work in progress has had its longest time after the order.
pub async fn overtime(agent: &Agent, leaving: &Leaving) {
    leaving.ordered().await;
    loop {
        match agent.drain.step(now_ms()) {
            // Nothing in progress: what is left are answers that callers have not
            // acknowledged, and the link keeps those for its own time.
            Step::Exit { cut_off: 0 } => sleep_until(now_ms() + IDLE_LOOK_MS).await,
            Step::Exit { cut_off } => {
                log::warn!(event = "work-cut-off", calls = cut_off; "");
                return;
            }
            Step::WaitUntil { at_ms } => sleep_until(at_ms).await,
            Step::Serve => sleep_until(now_ms() + IDLE_LOOK_MS).await,
        }
    }
}

/// Time between two looks when no time is named.
const IDLE_LOOK_MS: u64 = 100;

async fn sleep_until(at_ms: u64) {
    let wait_ms = at_ms.saturating_sub(now_ms()).max(1);
    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
}
