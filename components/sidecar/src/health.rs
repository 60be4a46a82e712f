//! What the agent knows of its endpoint, published by the watch and read by every call.

use std::sync::Arc;

use adapters::{EngineModel, EngineState, LoadReport};
use arc_swap::ArcSwap;
use tokio::sync::{Notify, watch};

/// State of the endpoint at one snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointSnapshot {
    /// It answers.
    pub up: bool,
    /// What an engine said of itself; `None` for a plain service or before the first snapshot.
    pub engine: Option<EngineState>,
    /// The engine's last load report.
    pub load: LoadReport,
    /// When the load report was read, on this process's clock.
    pub load_read_ms: u64,
}

impl EndpointSnapshot {
    /// The engine's state of one model.
    pub fn model(&self, name: &str) -> Option<&EngineModel> {
        let models = &self.engine.as_ref()?.models;
        models.iter().find(|model| model.model == name)
    }
}

/// The newest snapshot, and the count of the endpoint's lives. Clones share one state.
#[derive(Clone)]
pub struct Health(Arc<Shared>);

struct Shared {
    snapshot: ArcSwap<EndpointSnapshot>,
    life: watch::Sender<u32>,
    changes: watch::Sender<u64>,
    check_request: Notify,
}

impl Health {
    /// Nothing known yet; counts as down.
    pub fn new() -> Self {
        Self(Arc::new(Shared {
            snapshot: ArcSwap::default(),
            life: watch::Sender::new(0),
            changes: watch::Sender::new(0),
            check_request: Notify::new(),
        }))
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> Arc<EndpointSnapshot> {
        self.0.snapshot.load_full()
    }

    /// Publishes a snapshot.
    pub fn publish(&self, snapshot: EndpointSnapshot) {
        self.0.snapshot.store(Arc::new(snapshot));
    }

    /// Says that the endpoint came up, went down, began another life or switched.
    pub fn notify_change(&self) {
        self.0.changes.send_modify(|changes| *changes += 1);
    }

    /// Changes with every [`Health::notify_change`].
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.0.changes.subscribe()
    }

    /// How often the endpoint was found crashed or restarted.
    pub fn life(&self) -> u32 {
        *self.0.life.borrow()
    }

    /// Counts another life, which ends the calls of the earlier ones.
    pub fn begin_next_life(&self) {
        self.0.life.send_modify(|life| *life += 1);
    }

    /// Waits until the endpoint's life is another than `life`.
    pub async fn wait_for_other_life(&self, life: u32) {
        let mut lives = self.0.life.subscribe();
        // The sender lives in this value, so waiting can't fail.
        let _ = lives.wait_for(|now| *now != life).await;
    }

    /// A call has lost the endpoint; the watch looks at once.
    pub fn request_check(&self) {
        self.0.check_request.notify_one();
    }

    /// Waits until a call suspects the endpoint.
    pub async fn check_requested(&self) {
        self.0.check_request.notified().await;
    }
}

impl Default for Health {
    fn default() -> Self {
        Self::new()
    }
}
