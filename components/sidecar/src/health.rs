//! State of the endpoint, published by the health checker and read by every call.

use std::sync::Arc;

use adapters::{EngineModel, EngineState, LoadReport};
use arc_swap::ArcSwap;
use tokio::sync::{Notify, watch};

/// State of the endpoint at one health check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointSnapshot {
    /// Whether the endpoint accepts calls; see [`crate::HealthState`].
    pub up: bool,
    /// The engine's last answer; `None` for a plain service or before the first answer.
    pub engine: Option<EngineState>,
    /// The engine's last load report; all zero for a plain service.
    pub load: LoadReport,
    /// When the load report was read, in milliseconds of this process's clock.
    pub load_read_ms: u64,
}

impl EndpointSnapshot {
    /// The engine's state of the model with this name at the engine.
    pub fn model(&self, name: &str) -> Option<&EngineModel> {
        let models = &self.engine.as_ref()?.models;
        models.iter().find(|model| model.model == name)
    }
}

/// The newest snapshot and the number of crashes of the endpoint. Clones share one state.
#[derive(Clone)]
pub struct Health(Arc<Shared>);

struct Shared {
    snapshot: ArcSwap<EndpointSnapshot>,
    life: watch::Sender<u32>,
    changes: watch::Sender<u64>,
    check_request: Notify,
}

impl Health {
    /// Creates the state before the first check, in which the endpoint is down.
    pub fn new() -> Self {
        Self(Arc::new(Shared {
            snapshot: ArcSwap::default(),
            life: watch::Sender::new(0),
            changes: watch::Sender::new(0),
            check_request: Notify::new(),
        }))
    }

    pub fn snapshot(&self) -> Arc<EndpointSnapshot> {
        self.0.snapshot.load_full()
    }

    /// Replaces the newest snapshot.
    pub fn publish(&self, snapshot: EndpointSnapshot) {
        self.0.snapshot.store(Arc::new(snapshot));
    }

    /// Notifies subscribers that the endpoint came up, went down or restarted, or that the state of
    /// its engine changed.
    pub fn notify_change(&self) {
        self.0.changes.send_modify(|changes| *changes += 1);
    }

    /// Receives a new value with every [`Health::notify_change`].
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.0.changes.subscribe()
    }

    /// How often the endpoint was found crashed or restarted, reported as `endpoint_life`.
    pub fn life(&self) -> u32 {
        *self.0.life.borrow()
    }

    /// Counts a crash or restart, which ends the calls that began before it.
    pub fn begin_next_life(&self) {
        self.0.life.send_modify(|life| *life += 1);
    }

    /// Waits until the count of crashes differs from `life`.
    pub async fn wait_for_other_life(&self, life: u32) {
        let mut lives = self.0.life.subscribe();
        // The sender is a part of `self`, so the wait can't fail.
        let _ = lives.wait_for(|now| *now != life).await;
    }

    /// Requests an immediate health check after a call has lost its connection to the endpoint.
    pub fn request_check(&self) {
        self.0.check_request.notify_one();
    }

    /// Waits until a call requests a health check.
    pub async fn check_requested(&self) {
        self.0.check_request.notified().await;
    }
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}
