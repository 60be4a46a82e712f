//! Brings the models on the engine to their announced versions: executes the decisions of
//! `weights::Reconciler`, one order at a time for each model.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use config::ServiceKind;
use node::now_ms;
use tokio::sync::{mpsc, watch};
use types::{CustomerName, ServiceName};
use weights::{
    Authority, LoadDelays, ModelKey, ReconcileSettings, Reconciler, Target, preload_delay_ms,
};

use crate::agent::Agent;
use crate::health_check::HealthChecker;
use crate::orders::{FinishedOrder, execute};

/// Finished orders that may be queued; each model has at most one order in flight.
const FINISHED_QUEUE_MAX: usize = 256;
/// Longest sleep, after which the hosted services are read again, as they may have changed.
const SLEEP_MAX_MS: u64 = 1_000;
const PERMILLE: u64 = 1_000;

/// A model's target versions, as received by gossip.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetUpdate {
    pub model: ModelKey,
    pub target: Target,
}

/// Settings of the task that drives the weights.
#[derive(Clone, Debug)]
pub struct WeightsSettings {
    pub reconcile: ReconcileSettings,
    /// Time over which replicas spread their preloads of a version that is announced ahead of time,
    /// in milliseconds.
    pub load_window_ms: u64,
}

/// State of one model for the status page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelStatus {
    pub model: ModelKey,
    pub status: weights::Status,
}

/// Handle of the task that drives the weights.
#[derive(Clone)]
pub struct Weights {
    /// Unbounded, because gossip delivers each update once and a dropped one would be lost. The
    /// gossip layer bounds the number of updates.
    updates: mpsc::UnboundedSender<TargetUpdate>,
    statuses: watch::Receiver<Vec<ModelStatus>>,
}

impl Weights {
    pub fn start(agent: Arc<Agent>, checker: HealthChecker, settings: WeightsSettings) -> Weights {
        let (updates, received) = mpsc::unbounded_channel();
        let (publish, statuses) = watch::channel(Vec::new());
        let (finished_sender, finished) = mpsc::channel(FINISHED_QUEUE_MAX);
        let driver = Driver {
            agent,
            checker,
            settings,
            authority: Authority::new(),
            models: BTreeMap::new(),
            finished_sender,
            publish,
        };
        tokio::spawn(driver.run(received, finished));
        Weights { updates, statuses }
    }

    /// Passes on the versions of a model to serve and to load.
    pub fn update_target(&self, customer: &CustomerName, service: &ServiceName, target: Target) {
        let model = ModelKey {
            customer: customer.clone(),
            service: service.clone(),
        };
        // The driver may have ended, and then nobody needs the update.
        let _ = self.updates.send(TargetUpdate { model, target });
    }

    /// State of each hosted model.
    pub fn statuses(&self) -> Vec<ModelStatus> {
        self.statuses.borrow().clone()
    }
}

struct Driver {
    agent: Arc<Agent>,
    checker: HealthChecker,
    settings: WeightsSettings,
    authority: Authority,
    models: BTreeMap<ModelKey, Reconciler>,
    finished_sender: mpsc::Sender<FinishedOrder>,
    publish: watch::Sender<Vec<ModelStatus>>,
}

impl Driver {
    async fn run(
        mut self,
        mut received: mpsc::UnboundedReceiver<TargetUpdate>,
        mut finished: mpsc::Receiver<FinishedOrder>,
    ) {
        loop {
            self.sync_models();
            self.issue_orders();
            let sleep = tokio::time::sleep(self.time_until_due());
            tokio::select! {
                update = received.recv() => match update {
                    Some(update) => self.apply_update(update),
                    // All handles were dropped, so the agent has ended.
                    None => return,
                },
                Some(end) = finished.recv() => self.finish_order(end),
                () = sleep => {}
            }
        }
    }

    /// Keeps one reconciler for each hosted model.
    fn sync_models(&mut self) {
        let hosting = self.agent.hosting();
        let hosted: BTreeMap<ModelKey, u64> = hosting
            .services()
            .iter()
            .map(|local| &local.service)
            .filter(|service| service.kind == ServiceKind::Model)
            .map(|service| {
                let model = ModelKey {
                    customer: service.owner.clone(),
                    service: service.name.clone(),
                };
                (model, service.staleness_bound)
            })
            .collect();
        self.models.retain(|model, _| hosted.contains_key(model));
        for (model, staleness_bound) in hosted {
            if self.models.contains_key(&model) {
                continue;
            }
            let settings = ReconcileSettings {
                staleness_bound,
                ..self.settings.reconcile.clone()
            };
            self.models.insert(model.clone(), Reconciler::new(settings));
            self.set_target(&model);
        }
    }

    fn apply_update(&mut self, update: TargetUpdate) {
        if self.authority.merge(&update.model, update.target) {
            self.set_target(&update.model);
        }
    }

    /// Gives a hosted model's reconciler its target. The targets of other models are only stored,
    /// as their services may be moved to this endpoint later.
    fn set_target(&mut self, model: &ModelKey) {
        let target = self.authority.target(model);
        let reconciler = self.models.get_mut(model);
        let (Some(reconciler), Some(target)) = (reconciler, target) else {
            return;
        };
        log::info!(
            event = "version-wanted", customer:% = model.customer, model:% = model.service,
            version:% = target.serve, load:% = target.load; ""
        );
        let own = self.agent.identity.node().address;
        let delays = LoadDelays {
            serve_ms: 0,
            preload_ms: preload_delay_ms(own, model, target.load, self.settings.load_window_ms),
        };
        reconciler.set_target(target, delays, now_ms());
    }

    fn finish_order(&mut self, end: FinishedOrder) {
        if let Some(reconciler) = self.models.get_mut(&end.model) {
            reconciler.finish_order(end.order.id, end.outcome, now_ms(), random_permille());
        }
    }

    fn issue_orders(&mut self) {
        let now_ms = now_ms();
        for (model, reconciler) in &mut self.models {
            if let Some(order) = reconciler.poll(now_ms, random_permille()) {
                let execution = execute(
                    Arc::clone(&self.agent),
                    self.checker.clone(),
                    model.clone(),
                    order,
                    self.settings.reconcile.order_timeout_ms,
                    self.finished_sender.clone(),
                );
                tokio::spawn(execution);
            }
        }
        let status_of = |(model, reconciler): (&ModelKey, &Reconciler)| ModelStatus {
            model: model.clone(),
            status: reconciler.status(now_ms),
        };
        let statuses = self.models.iter().map(status_of).collect();
        self.publish.send_replace(statuses);
    }

    fn time_until_due(&self) -> Duration {
        let now_ms = now_ms();
        let due_ms = self
            .models
            .values()
            .map(|reconciler| reconciler.next_due_ms(now_ms));
        let wait_ms = due_ms
            .min()
            .map_or(SLEEP_MAX_MS, |due_ms| due_ms.saturating_sub(now_ms));
        Duration::from_millis(wait_ms.clamp(1, SLEEP_MAX_MS))
    }
}

fn random_permille() -> u64 {
    rand::random_range(0..PERMILLE)
}
