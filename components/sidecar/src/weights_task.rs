//! Brings the models on the engine to the wanted versions: carries out what
//! `weights::Reconciler` decides, one order at a time for each model.

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
use crate::orders::{Ended, carry_out};
use crate::watch::Watch;

/// Ends of orders that wait at most; a model has one order at a time.
const ENDS_MAX: usize = 256;
/// Longest sleep; hosted services may change in between.
const SLEEP_MAX_MS: u64 = 1_000;
const PERMILLE: u64 = 1_000;

/// A version that is in force for a model, as a rumour has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionNews {
    /// The model.
    pub model: ModelKey,
    /// What its engines should do.
    pub target: Target,
}

/// How the task paces itself.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Orders to the engine.
    pub reconcile: ReconcileSettings,
    /// Time over which replicas spread their loads of a version that is named ahead of
    /// time, in milliseconds.
    pub load_window_ms: u64,
}

/// State of one model for the status page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelStatus {
    /// The model.
    pub model: ModelKey,
    /// Where its engine stands.
    pub status: weights::Status,
}

/// Handle of the task.
#[derive(Clone)]
pub struct Weights {
    /// Without a bound: the rumours give each piece of news once, so one that is dropped
    /// never comes again, and they are bounded themselves.
    news: mpsc::UnboundedSender<VersionNews>,
    statuses: watch::Receiver<Vec<ModelStatus>>,
}

impl Weights {
    /// Starts the task.
    pub fn start(agent: Arc<Agent>, watch: Watch, pace: Pace) -> Weights {
        let (news, heard) = mpsc::unbounded_channel();
        let (publish, statuses) = watch::channel(Vec::new());
        let (ends, ended) = mpsc::channel(ENDS_MAX);
        let driver = Driver {
            agent,
            watch,
            pace,
            authority: Authority::new(),
            models: BTreeMap::new(),
            ends,
            publish,
        };
        tokio::spawn(driver.run(heard, ended));
        Weights { news, statuses }
    }

    /// Versions of a model to serve and to hold.
    pub fn heard(&self, customer: &CustomerName, service: &ServiceName, target: Target) {
        let model = ModelKey {
            customer: customer.clone(),
            service: service.clone(),
        };
        // A driver that has gone needs no news.
        let _ = self.news.send(VersionNews { model, target });
    }

    /// Where each model's engine stands.
    pub fn statuses(&self) -> Vec<ModelStatus> {
        self.statuses.borrow().clone()
    }
}

struct Driver {
    agent: Arc<Agent>,
    watch: Watch,
    pace: Pace,
    authority: Authority,
    models: BTreeMap<ModelKey, Reconciler>,
    ends: mpsc::Sender<Ended>,
    publish: watch::Sender<Vec<ModelStatus>>,
}

impl Driver {
    async fn run(
        mut self,
        mut heard: mpsc::UnboundedReceiver<VersionNews>,
        mut ended: mpsc::Receiver<Ended>,
    ) {
        loop {
            self.follow_hosting();
            self.give_orders();
            let sleep = tokio::time::sleep(self.until_next());
            tokio::select! {
                news = heard.recv() => match news {
                    Some(news) => self.take_news(news),
                    // Every handle is gone, and with them the agent.
                    None => return,
                },
                Some(end) = ended.recv() => self.take_end(end),
                () = sleep => {}
            }
        }
    }

    /// Keeps one state machine for each model that is hosted here.
    fn follow_hosting(&mut self) {
        let hosting = self.agent.hosting();
        let hosted: BTreeMap<ModelKey, u64> = hosting
            .places()
            .iter()
            .map(|place| &place.service)
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
                ..self.pace.reconcile.clone()
            };
            self.models.insert(model.clone(), Reconciler::new(settings));
            self.aim(&model);
        }
    }

    fn take_news(&mut self, news: VersionNews) {
        if self.authority.merge(&news.model, news.target) {
            self.aim(&news.model);
        }
    }

    /// Tells a hosted model's machine what is wanted; the versions of all other models are
    /// only kept, as their services may come to this endpoint later.
    fn aim(&mut self, model: &ModelKey) {
        let target = self.authority.target(model);
        let machine = self.models.get_mut(model);
        let (Some(machine), Some(target)) = (machine, target) else {
            return;
        };
        log::info!(
            event = "version-wanted", customer:% = model.customer, model:% = model.service,
            version:% = target.serve, load:% = target.load; ""
        );
        let own = self.agent.identity.node().address;
        let turns = LoadDelays {
            serve_ms: 0,
            preload_ms: preload_delay_ms(own, model, target.load, self.pace.load_window_ms),
        };
        machine.set_target(target, turns, now_ms());
    }

    fn take_end(&mut self, end: Ended) {
        if let Some(machine) = self.models.get_mut(&end.model) {
            machine.finish_order(end.order.id, end.outcome, now_ms(), random_permille());
        }
    }

    fn give_orders(&mut self) {
        let now_ms = now_ms();
        for (model, machine) in &mut self.models {
            if let Some(order) = machine.poll(now_ms, random_permille()) {
                let carried = carry_out(
                    Arc::clone(&self.agent),
                    self.watch.clone(),
                    model.clone(),
                    order,
                    self.pace.reconcile.order_timeout_ms,
                    self.ends.clone(),
                );
                tokio::spawn(carried);
            }
        }
        let status_of = |(model, machine): (&ModelKey, &Reconciler)| ModelStatus {
            model: model.clone(),
            status: machine.status(now_ms),
        };
        let statuses = self.models.iter().map(status_of).collect();
        self.publish.send_replace(statuses);
    }

    fn until_next(&self) -> Duration {
        let now_ms = now_ms();
        let due_ms = self
            .models
            .values()
            .map(|machine| machine.next_due_ms(now_ms));
        let wait_ms = due_ms
            .min()
            .map_or(SLEEP_MAX_MS, |due_ms| due_ms.saturating_sub(now_ms));
        Duration::from_millis(wait_ms.clamp(1, SLEEP_MAX_MS))
    }
}

fn random_permille() -> u64 {
    rand::random_range(0..PERMILLE)
}
