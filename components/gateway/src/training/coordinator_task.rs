//! The coordinator's task. It owns the ledgers of all steps, processes commands, dispatches the
//! steps and starts the tasks that perform the ledgers' actions.

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

/// Steps that have been neither posted nor fetched for this time are removed.
const STEP_IDLE_MS: u64 = 900_000;
/// The ledgers are dispatched at least this often, because the replicas' capacity changes without a
/// command.
const TICK_INTERVAL_MS: u64 = 100;
/// Commands that are processed before the ledgers are dispatched.
const COMMANDS_PER_BATCH: usize = 256;

/// A run in progress.
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

/// State of the coordinator's task.
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
    /// Homes of the steps, computed from the entries that were live at the last tick.
    pub(super) homes: HomeMap,
    /// Steps that were posted or fetched here although another entry is their first home, because
    /// that entry refused or has lost them. They are dispatched here until the first home has
    /// received the copy; otherwise no entry would run them. If both dispatch a step for a short
    /// time, this only costs additional runs.
    pub(super) taken_over: BTreeSet<StepKey>,
    /// Steps whose other homes may not have received a copy.
    pub(super) uncopied: BTreeSet<StepKey>,
    /// Steps of which a copy was lost.
    pub(super) lost_copies: BTreeSet<StepKey>,
    /// When copies of the steps in `lost_copies` are sent again.
    pub(super) recopy_at_ms: u64,
    /// The configuration that was last applied to the ledgers.
    pub(super) view: Option<Arc<View>>,
    /// Rotates which step is dispatched first.
    pub(super) next_turn: usize,
    /// Steps for which samples may have become available since the waiting fetches were last
    /// checked.
    pub(super) ready: BTreeSet<StepKey>,
}

/// Starts the coordinator's task.
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

/// Ledger settings from the model's current configuration.
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
                // The trainer may have disconnected; it will post again.
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

    /// Adds a step, or applies a newer cursor to a step that is already held.
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

    /// Passes the active version to the ledger of a step that was just added.
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
        let held_steps = self.steps.iter_mut();
        held_steps
            .map(|(key, ledger)| {
                let idle_ms = idle.get(key).map_or(0, |clock| clock.idle_ms(now_ms));
                StepStatus::from_ledger(key, ledger, homes.is_first_home(key), idle_ms)
            })
            .collect()
    }
}
