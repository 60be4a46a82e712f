//! HTTP interface of the engine, and the task that runs the steps of its batch.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use adapters::{ClientSettings, LoadReport, WeightStore};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;

use super::batch::{Batch, FinishReason, Sequence, Step};
use super::completion::{Completion, CompletionRequest};
use super::kv::KvCache;
use super::orders::Models;
use super::reports::Reports;
use super::settings::EngineSettings;
use super::text::{natural_length, text_hash};
use crate::error::StandinError;
use crate::fault::FaultKind;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::reply::{self, Reply};

const LOAD_PATH: &str = "/engine/load";
pub(super) const SWITCH_PATH: &str = "/engine/switch";

/// State of one life of the engine; lost in a crash.
pub(super) struct LifeState {
    pub(super) life: u64,
    /// Completion requests in this life.
    arrivals: u64,
    pub(super) models: Models,
    batch: Batch,
    pub(super) kv: KvCache,
    reports: Reports,
}

impl LifeState {
    fn new(settings: &EngineSettings, life: u64) -> LifeState {
        LifeState {
            life,
            arrivals: 0,
            models: Models::new(settings),
            batch: Batch::default(),
            kv: KvCache::new(settings.kv_blocks, settings.cache_event_gaps_permille),
            reports: Reports::default(),
        }
    }

    fn record_load(&mut self) {
        self.reports.record(LoadReport {
            running: self.batch.running() as u32,
            waiting: self.batch.waiting() as u32,
            prompt_tokens_queued: self.batch.prompt_tokens_queued() as u64,
            kv_used_permille: self.kv.used_permille(),
            age_ms: 0,
        });
    }
}

pub(super) struct Engine {
    pub(super) settings: EngineSettings,
    pub(super) control: Arc<Control>,
    pub(super) store: Option<WeightStore>,
    state: Mutex<LifeState>,
    /// Wakes the task that runs the steps after a request arrived.
    wake: Notify,
}

/// Number of an engine's life after this many crashes; the first life is 1.
fn life_after(crashes: u64) -> u64 {
    crashes + 1
}

#[derive(Deserialize)]
struct Cancel {
    request_id: String,
}

#[derive(Serialize)]
struct Cancelled {
    cancelled: usize,
}

/// Starts an engine on `settings.listen`.
pub async fn start(settings: EngineSettings) -> Result<Handle, StandinError> {
    let control = Control::new();
    let listen = settings.listen;
    let store_settings = ClientSettings::default();
    let store = settings
        .store
        .map(|address| WeightStore::new(address, &store_settings));
    let engine = Arc::new(Engine {
        state: Mutex::new(LifeState::new(&settings, life_after(0))),
        settings,
        control: control.clone(),
        store,
        wake: Notify::new(),
    });
    let steps = tokio::spawn(engine.clone().run_steps());
    let mut handle = http::serve(listen, control, true, move |call| {
        engine.clone().answer(call)
    })
    .await?;
    handle.tasks.push(steps);
    Ok(handle)
}

impl Engine {
    async fn run_steps(self: Arc<Self>) {
        let mut crash = self.control.crash.subscribe();
        loop {
            if crash.has_changed().unwrap_or(false) {
                crash.mark_unchanged();
                self.reset_state();
            }
            match self.begin_step() {
                Step::Crash => {}
                Step::Idle => {
                    tokio::select! {
                        _ = self.wake.notified() => {}
                        _ = crash.changed() => self.reset_state(),
                    }
                }
                Step::Run(duration) => {
                    sleep_or_yield(duration).await;
                    self.finish_step();
                }
            }
        }
    }

    fn begin_step(&self) -> Step {
        let mut guard = self.lock();
        let state = &mut *guard;
        let mut down_ms = None;
        let step = state
            .batch
            .begin_step(&mut state.kv, &self.settings, |prompt| {
                self.control.faults.trigger_crash(prompt).is_some()
            });
        if matches!(step, Step::Crash) {
            down_ms = Some(self.settings.restart_ms);
        }
        state.record_load();
        drop(guard);
        if let Some(down_ms) = down_ms {
            self.control.crash(down_ms);
        }
        step
    }

    fn finish_step(&self) {
        let mut guard = self.lock();
        let state = &mut *guard;
        let models = &state.models;
        state.batch.finish_step(&mut state.kv, |model| {
            models.version(model).unwrap_or_default()
        });
        state.record_load();
    }

    fn reset_state(&self) {
        let mut state = self.lock();
        let life = life_after(self.control.crashes());
        *state = LifeState::new(&self.settings, life);
    }

    async fn answer(self: Arc<Self>, call: Call) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/completions") => self.complete(&call).await,
            ("GET", "/healthz") => reply::ok(),
            ("GET", "/engine/state") => {
                let state = self.lock();
                reply::json(200, &state.models.state(state.life))
            }
            ("GET", LOAD_PATH) => reply::json(200, &self.load_report()),
            ("GET", "/engine/cache-events") => self.cache_events(&call),
            ("POST", "/engine/cancel") => self.cancel(&call),
            ("POST", LOAD_PATH | SWITCH_PATH) => self.order(call).await,
            _ => reply::error(404, "no-such-path"),
        }
    }

    async fn complete(&self, call: &Call) -> Reply {
        let request: CompletionRequest = match call.json() {
            Ok(request) => request,
            Err(refusal) => return *refusal,
        };
        if request.n.unwrap_or(1) != 1 {
            return reply::error(400, "one-completion-only");
        }
        let stream = request.stream;
        match self.submit(request, life_after(call.crashes)) {
            Ok(completion) if stream => completion.stream(),
            Ok(completion) => completion.collect().await,
            Err(refusal) => *refusal,
        }
    }

    /// Queues a completion. `life` is the engine's life in which the connection was accepted. After
    /// a crash the request is refused, so that it does not run in the next life; the refusal does
    /// not reach the caller, because the crash closed the connection.
    fn submit(&self, request: CompletionRequest, life: u64) -> Result<Completion, Box<Reply>> {
        let mut state = self.lock();
        if state.life != life {
            return Err(Box::new(reply::error(503, "crashed")));
        }
        if state.models.version(&request.model).is_none() {
            return Err(Box::new(reply::error(404, "no-such-model")));
        }
        let (emitted_sender, emitted) = mpsc::unbounded_channel();
        state.arrivals += 1;
        let sequence = self.new_sequence(request, state.arrivals, emitted_sender);
        if !state.kv.can_fit(sequence.blocks()) {
            return Err(Box::new(reply::error(400, "too-long")));
        }
        let completion = Completion {
            id: format!("cmpl-{}-{}", state.life, state.arrivals),
            prompt_tokens: sequence.prompt_tokens(),
            emitted,
        };
        state.batch.push(sequence);
        state.record_load();
        self.wake.notify_one();
        Ok(completion)
    }

    fn new_sequence(
        &self,
        request: CompletionRequest,
        arrival: u64,
        emitted_sender: mpsc::UnboundedSender<super::batch::Emitted>,
    ) -> Sequence {
        let seed = request.seed.to_string();
        let content_hash = text_hash(&[&request.prompt, &seed]);
        let natural = natural_length(content_hash, &self.settings);
        let max_tokens = request.max_tokens();
        let finish_reason = if natural <= max_tokens {
            FinishReason::Stop
        } else {
            FinishReason::Length
        };
        Sequence {
            generated: request.resume_tokens.len() as u32,
            model: request.model,
            request_id: request.request_id,
            prompt: request.prompt,
            priority: request.priority,
            arrival,
            content_hash,
            tokens_total: natural.min(max_tokens),
            finish_reason,
            emitted: emitted_sender,
        }
    }

    fn cancel(&self, call: &Call) -> Reply {
        let cancel: Cancel = match call.json() {
            Ok(cancel) => cancel,
            Err(refusal) => return *refusal,
        };
        let mut guard = self.lock();
        let state = &mut *guard;
        let cancelled = state.batch.cancel(&mut state.kv, &cancel.request_id);
        state.record_load();
        reply::json(200, &Cancelled { cancelled })
    }

    fn load_report(&self) -> LoadReport {
        let fault = self.control.faults.trigger(FaultKind::Lag, LOAD_PATH);
        let lag_ms = fault.map_or(self.settings.report_lag_ms, |fault| fault.delay_ms);
        self.lock().reports.report_at(Duration::from_millis(lag_ms))
    }

    fn cache_events(&self, call: &Call) -> Reply {
        let from = call.query_u64("from").unwrap_or(0);
        let lag = Duration::from_millis(self.settings.cache_event_lag_ms);
        reply::json(200, &self.lock().kv.events(from, lag))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, LifeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub(super) async fn sleep_or_yield(duration: Duration) {
    if duration.is_zero() {
        tokio::task::yield_now().await;
    } else {
        sleep(duration).await;
    }
}
