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
use super::commands::{Command, Fetch, Post, Reply, RunReport};
use super::coordinator::CoordinatorInbox;
use super::copies::{CopiedHomes, Copier, post_copy};
use super::ejected::EjectedReplicas;
use super::home_map::HomeMap;
use super::metrics::TrainingMetrics;
use super::step_status::StepStatus;
use crate::gateway::Gateway;
use crate::rejection::Rejection;

/// Steps that nobody asks for are dropped after this time, in milliseconds.
const STEP_IDLE_MS: u64 = 900_000;
/// Longest sleep: room changes without an order.
const TICK_INTERVAL_MS: u64 = 100;
/// Orders that are taken before the ledgers are asked what to do.
const COMMANDS_PER_BATCH: usize = 256;

/// A run that a task makes.
pub struct RunHandle {
    pub(super) to: SocketAddr,
    pub(super) task: AbortHandle,
    pub(super) stop: Option<oneshot::Sender<()>>,
}

/// A fetch that waits for samples.
pub struct WaitingFetch {
    pub(super) fetch: Fetch,
    pub(super) until_ms: u64,
    pub(super) answer: oneshot::Sender<Result<Reply, Rejection>>,
}

/// State of the owner.
pub struct CoordinatorTask {
    pub(super) gateway: Arc<Gateway>,
    pub(super) commands: mpsc::WeakSender<Command>,
    pub(super) copier: Copier,
    pub(super) keys: CursorKeys,
    pub(super) steps: Steps,
    pub(super) runs: HashMap<(StepKey, RunId), RunHandle>,
    pub(super) waiting_fetches: Vec<WaitingFetch>,
    pub(super) copied_homes: CopiedHomes,
    pub(super) idle: BTreeMap<StepKey, IdleClock>,
    pub(super) cadence: Cadence,
    pub(super) ejected: EjectedReplicas,
    pub(super) metrics: TrainingMetrics,
    /// Homes of the steps, as of the last tick.
    pub(super) homes: HomeMap,
    /// Steps that were posted here because their first home refused. They are dispatched
    /// here until that one has their copy: it does not know them, and nobody would run
    /// them. That two may run a step for a moment costs work only.
    pub(super) taken_over: BTreeSet<StepKey>,
    /// Steps whose other homes may not know them yet.
    pub(super) uncopied: BTreeSet<StepKey>,
    /// Steps whose copy was lost.
    pub(super) lost_copies: BTreeSet<StepKey>,
    /// When the homes of those are told again.
    pub(super) recopy_at_ms: u64,
    /// The configuration that the steps are held to.
    pub(super) view: Option<Arc<View>>,
    /// Which step comes first at the next dispatch.
    pub(super) next_turn: usize,
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
        metrics: TrainingMetrics::new(gateway.metrics.clone()),
        gateway,
        commands: inbox.sender,
        copier,
        keys,
        steps: Steps::new(STEP_IDLE_MS),
        runs: HashMap::new(),
        waiting_fetches: Vec::new(),
        copied_homes: CopiedHomes::default(),
        idle: BTreeMap::new(),
        cadence: Cadence::default(),
        ejected: EjectedReplicas::default(),
        homes,
        taken_over: BTreeSet::new(),
        uncopied: BTreeSet::new(),
        lost_copies: BTreeSet::new(),
        recopy_at_ms: 0,
        view: None,
        next_turn: 0,
        ready: BTreeSet::new(),
    };
    tokio::spawn(coordinator.run(inbox.commands));
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
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut batch = Vec::new();
        let mut next_tick_ms = now_ms();
        loop {
            let wait = Duration::from_millis(next_tick_ms.saturating_sub(now_ms()));
            tokio::select! {
                received = commands.recv_many(&mut batch, COMMANDS_PER_BATCH) => {
                    if received == 0 {
                        return;
                    }
                }
                () = tokio::time::sleep(wait) => {}
            }
            for command in batch.drain(..) {
                self.handle(command);
            }
            if now_ms() >= next_tick_ms {
                next_tick_ms = now_ms() + TICK_INTERVAL_MS;
                self.tick();
            }
            self.perform_actions();
            self.answer_fetches();
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Post(step, answer) => {
                let posted = self.post(&step);
                // The trainer may have gone; it posts again.
                let _ = answer.send(posted);
            }
            Command::Fetch(fetch, answer) => self.fetch(fetch, answer),
            Command::ApplyCopies(copies) => {
                copies.into_iter().for_each(|copy| self.apply_copy(copy))
            }
            Command::RunReport(key, run, report) => self.handle_run_report(&key, run, report),
            Command::Scored(key, run, score) => {
                let now_ms = now_ms();
                if let Some(ledger) = self.steps.find_mut(&key) {
                    match score {
                        Some(score) => ledger.record_score(run, score),
                        None => ledger.record_score_failure(run, now_ms),
                    }
                    self.ready.insert(key);
                }
            }
            Command::CopyResult { key, to, delivered } => {
                self.handle_copy_result(key, to, delivered)
            }
            Command::Announce(model, version) => self.handle_announcement(&model, version),
            Command::Status(answer) => {
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
        self.add_step(step, &posted.model, &cursor, posted.trainer_version)?;
        let key = &step.key;
        if !self.homes.is_first_home(key) {
            self.taken_over.insert(key.clone());
        }
        let others = self.homes.other_homes(key);
        self.copied_homes.update(key, others.clone());
        for to in others {
            let copy = post_copy(step, posted.cursor.clone(), posted.trainer_version);
            if !self.copier.send(to, key, copy) {
                self.handle_copy_result(key.clone(), to, false);
            }
        }
        self.ready.insert(key.clone());
        Ok(cursor.seal(&self.keys))
    }

    /// Takes a step in, or its newer cursor.
    pub(super) fn add_step(
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
        self.announce_active(&step.key, now_ms);
        Ok(())
    }

    /// Tells the version in force to the ledger of a step that was just taken in.
    pub(super) fn announce_active(&mut self, key: &StepKey, now_ms: u64) {
        let model = ModelKey {
            customer: key.customer.clone(),
            service: key.service.clone(),
        };
        let active = self.gateway.weights.targets().get(&model).copied();
        if let (Some(target), Some(ledger)) = (active, self.steps.find_mut(key)) {
            ledger.announce(target.serve, None, now_ms);
        }
    }

    pub(super) fn handle_run_report(&mut self, key: &StepKey, run: RunId, report: RunReport) {
        let now_ms = now_ms();
        if !matches!(report, RunReport::Progress { .. }) {
            self.handle_run_end(key, run, &report, now_ms);
        }
        let Some(ledger) = self.steps.find_mut(key) else {
            return;
        };
        match report {
            RunReport::Progress { tokens, stamp } => {
                ledger.record_progress(run, tokens, stamp, now_ms)
            }
            RunReport::Finished(completion) => ledger.record_completion(run, completion, now_ms),
            RunReport::Failed(failed, partial) => {
                ledger.record_failure(run, failed.fault, partial, now_ms)
            }
        }
    }

    fn handle_run_end(&mut self, key: &StepKey, run: RunId, report: &RunReport, now_ms: u64) {
        self.ready.insert(key.clone());
        let Some(handle) = self.runs.remove(&(key.clone(), run)) else {
            return;
        };
        match report {
            RunReport::Finished(_) => self.ejected.record_success(handle.to),
            RunReport::Failed(failed, _) if failed.at_replica => {
                self.ejected.record_failure(handle.to, now_ms);
            }
            RunReport::Failed(..) | RunReport::Progress { .. } => {}
        }
    }

    fn handle_announcement(&mut self, model: &ModelKey, version: WeightVersion) {
        let now_ms = now_ms();
        let next_announcement_ms = self.cadence.record_announcement(model, version, now_ms);
        for (key, ledger) in self.steps.iter_mut() {
            if key.customer == model.customer && key.service == model.service {
                ledger.announce(version, next_announcement_ms, now_ms);
            }
        }
    }

    fn status(&mut self) -> Vec<StepStatus> {
        let now_ms = now_ms();
        let (homes, idle) = (&mut self.homes, &self.idle);
        let held = self.steps.iter_mut();
        held.map(|(key, ledger)| {
            let idle_ms = idle.get(key).map_or(0, |clock| clock.idle_ms(now_ms));
            StepStatus::from_ledger(key, ledger, homes.is_first_home(key), idle_ms)
        })
        .collect()
    }
}
