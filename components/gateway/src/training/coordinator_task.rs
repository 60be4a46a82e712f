//! The owner of the ledgers: one task that takes orders, asks each ledger what is to be
//! done, and starts the tasks that do it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::{Service, View};
use node::now_ms;
use samples::{Cursor, CursorKeys, IdleClock, LedgerSettings, RunId, Step, StepKey, Steps};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use types::WeightVersion;
use weights::ModelKey;

use super::cadence::Cadence;
use super::coordinator::CoordinatorInbox;
use super::copies::{Copier, Told, post};
use super::ejected::Ejected;
use super::figures::Figures;
use super::home_map::HomeMap;
use super::orders::{Fetch, Order, Post, Reply, RunNews};
use super::steps_status::StepStatus;
use crate::gateway::Gateway;
use crate::rejection::Rejection;

/// Steps that nobody asks for are dropped after this time, in milliseconds.
const STEP_IDLE_MS: u64 = 900_000;
/// Longest sleep: room changes without an order.
const TICK_MS: u64 = 100;
/// Orders that are taken before the ledgers are asked what to do.
const ORDERS_AT_ONCE: usize = 256;

/// A run that a task makes.
pub struct RunHandle {
    pub(super) to: SocketAddr,
    pub(super) task: AbortHandle,
    pub(super) stop: Option<oneshot::Sender<()>>,
}

/// A fetch that waits for samples.
pub struct Waiting {
    pub(super) fetch: Fetch,
    pub(super) until_ms: u64,
    pub(super) answer: oneshot::Sender<Result<Reply, Rejection>>,
}

/// State of the owner.
pub struct CoordinatorTask {
    pub(super) gateway: Arc<Gateway>,
    pub(super) orders: mpsc::WeakSender<Order>,
    pub(super) copier: Copier,
    pub(super) keys: CursorKeys,
    pub(super) steps: Steps,
    pub(super) runs: HashMap<(StepKey, RunId), RunHandle>,
    pub(super) waiting: Vec<Waiting>,
    pub(super) told: Told,
    pub(super) idle: BTreeMap<StepKey, IdleClock>,
    pub(super) cadence: Cadence,
    pub(super) ejected: Ejected,
    pub(super) figures: Figures,
    /// Homes of the steps, as of the last tick.
    pub(super) homes: HomeMap,
    /// Steps that were posted here because their first home refused. They are dispatched
    /// here until that one has their copy: it does not know them, and nobody would run
    /// them. That two may run a step for a moment costs work only.
    pub(super) standing_in: BTreeSet<StepKey>,
    /// Steps whose other homes may not know them yet.
    pub(super) untold: BTreeSet<StepKey>,
    /// Steps whose copy was lost.
    pub(super) missed: BTreeSet<StepKey>,
    /// When the homes of those are told again.
    pub(super) retell_at_ms: u64,
    /// The configuration that the steps are held to.
    pub(super) view: Option<Arc<View>>,
    /// Which step comes first at the next dispatch.
    pub(super) turn: usize,
    /// Steps with samples that may have become ready since their waiting fetches were
    /// looked at.
    pub(super) ready: BTreeSet<StepKey>,
}

/// Starts the owner.
pub fn spawn_coordinator(
    inbox: CoordinatorInbox,
    gateway: Arc<Gateway>,
    copier: Copier,
    keys: CursorKeys,
) {
    let homes = HomeMap::new(gateway.identity.node().address);
    let coordinator = CoordinatorTask {
        figures: Figures::new(gateway.metrics.clone()),
        gateway,
        orders: inbox.sender,
        copier,
        keys,
        steps: Steps::new(STEP_IDLE_MS),
        runs: HashMap::new(),
        waiting: Vec::new(),
        told: Told::default(),
        idle: BTreeMap::new(),
        cadence: Cadence::default(),
        ejected: Ejected::default(),
        homes,
        standing_in: BTreeSet::new(),
        untold: BTreeSet::new(),
        missed: BTreeSet::new(),
        retell_at_ms: 0,
        view: None,
        turn: 0,
        ready: BTreeSet::new(),
    };
    tokio::spawn(coordinator.run(inbox.orders));
}

/// Bounds of a step's ledger by the model's present configuration.
pub(super) fn settings_of(model: &Service) -> LedgerSettings {
    LedgerSettings {
        staleness_bound: model.staleness_bound,
        scored: model.scorer.is_some(),
        ..LedgerSettings::default()
    }
}

impl CoordinatorTask {
    async fn run(mut self, mut orders: mpsc::Receiver<Order>) {
        let mut batch = Vec::new();
        let mut next_tick_ms = now_ms();
        loop {
            let wait = Duration::from_millis(next_tick_ms.saturating_sub(now_ms()));
            tokio::select! {
                taken = orders.recv_many(&mut batch, ORDERS_AT_ONCE) => {
                    if taken == 0 {
                        return;
                    }
                }
                () = tokio::time::sleep(wait) => {}
            }
            for order in batch.drain(..) {
                self.take(order);
            }
            if now_ms() >= next_tick_ms {
                next_tick_ms = now_ms() + TICK_MS;
                self.tick();
            }
            self.act();
            self.answer_waiting();
        }
    }

    fn take(&mut self, order: Order) {
        match order {
            Order::Post(step, answer) => {
                let posted = self.post(&step);
                // The trainer may have gone; it posts again.
                let _ = answer.send(posted);
            }
            Order::Fetch(fetch, answer) => self.fetch(fetch, answer),
            Order::Copies(copies) => copies.into_iter().for_each(|copy| self.copy(copy)),
            Order::Run(key, run, news) => self.run_news(&key, run, news),
            Order::Scored(key, run, score) => {
                let now_ms = now_ms();
                if let Some(ledger) = self.steps.find_mut(&key) {
                    match score {
                        Some(score) => ledger.record_score(run, score),
                        None => ledger.record_score_failure(run, now_ms),
                    }
                    self.ready.insert(key);
                }
            }
            Order::Told { key, to, taken } => self.told(key, to, taken),
            Order::Announced(model, version) => self.announced(&model, version),
            Order::Status(answer) => {
                let _ = answer.send(self.status());
            }
        }
    }

    fn post(&mut self, posted: &Post) -> Result<String, Rejection> {
        let step = &posted.step;
        let cursor = match &posted.cursor {
            Some(text) => Cursor::open(text, &self.keys, step)?,
            None => Cursor::start(step),
        };
        self.hold(step, &posted.model, &cursor, posted.trainer_version)?;
        let key = &step.key;
        if !self.homes.is_first(key) {
            self.standing_in.insert(key.clone());
        }
        let others = self.homes.others(key);
        self.told.update(key, others.clone());
        for to in others {
            let copy = post(step, posted.cursor.clone(), posted.trainer_version);
            if !self.copier.send(to, key, copy) {
                self.told(key.clone(), to, false);
            }
        }
        self.ready.insert(key.clone());
        Ok(cursor.seal(&self.keys))
    }

    /// Takes a step in, or its newer cursor.
    pub(super) fn hold(
        &mut self,
        step: &Arc<Step>,
        model: &Service,
        cursor: &Cursor,
        trainer_version: WeightVersion,
    ) -> Result<(), Rejection> {
        let settings = settings_of(model);
        let now_ms = now_ms();
        self.steps
            .post(step, &settings, cursor, trainer_version, now_ms)?;
        self.announce_in_force(&step.key, now_ms);
        Ok(())
    }

    /// Tells the version in force to the ledger of a step that was just taken in.
    pub(super) fn announce_in_force(&mut self, key: &StepKey, now_ms: u64) {
        let model = ModelKey {
            customer: key.customer.clone(),
            service: key.service.clone(),
        };
        let in_force = self.gateway.weights.targets().get(&model).copied();
        if let (Some(target), Some(ledger)) = (in_force, self.steps.find_mut(key)) {
            ledger.announce(target.serve, None, now_ms);
        }
    }

    pub(super) fn run_news(&mut self, key: &StepKey, run: RunId, news: RunNews) {
        let now_ms = now_ms();
        if !matches!(news, RunNews::Progress { .. }) {
            self.run_ended(key, run, &news, now_ms);
        }
        let Some(ledger) = self.steps.find_mut(key) else {
            return;
        };
        match news {
            RunNews::Progress { tokens, stamp } => {
                ledger.record_progress(run, tokens, stamp, now_ms)
            }
            RunNews::Finished(completion) => ledger.record_completion(run, completion, now_ms),
            RunNews::Failed(failed, partial) => {
                ledger.record_failure(run, failed.fault, partial, now_ms)
            }
        }
    }

    fn run_ended(&mut self, key: &StepKey, run: RunId, news: &RunNews, now_ms: u64) {
        self.ready.insert(key.clone());
        let Some(handle) = self.runs.remove(&(key.clone(), run)) else {
            return;
        };
        match news {
            RunNews::Finished(_) => self.ejected.finished(handle.to),
            RunNews::Failed(failed, _) if failed.at_replica => {
                self.ejected.failed(handle.to, now_ms);
            }
            RunNews::Failed(..) | RunNews::Progress { .. } => {}
        }
    }

    fn announced(&mut self, model: &ModelKey, version: WeightVersion) {
        let now_ms = now_ms();
        let next_news_ms = self.cadence.announced(model, version, now_ms);
        for (key, ledger) in self.steps.iter_mut() {
            if key.customer == model.customer && key.service == model.service {
                ledger.announce(version, next_news_ms, now_ms);
            }
        }
    }

    fn status(&mut self) -> Vec<StepStatus> {
        let now_ms = now_ms();
        let (homes, idle) = (&mut self.homes, &self.idle);
        let held = self.steps.iter_mut();
        held.map(|(key, ledger)| {
            let idle_ms = idle.get(key).map_or(0, |clock| clock.idle_ms(now_ms));
            StepStatus::of(key, ledger, homes.is_first(key), idle_ms)
        })
        .collect()
    }
}
