//! The engine's HTTP interface and the task that steps its batch.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use adapters::{ClientSettings, LoadReport, WeightStore};
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;

use super::batch::{Batch, Ending, Sequence, Step};
use super::completion::{Completion, Question};
use super::kv::Kv;
use super::orders::Models;
use super::reports::Reports;
use super::settings::EngineSettings;
use super::text::{natural_tokens, text_hash};
use crate::error::StandinError;
use crate::fault::FaultKind;
use crate::handle::{Control, Handle};
use crate::http::{self, Call};
use crate::reply::{self, Reply};

const LOAD: &str = "/engine/load";
pub(super) const SWITCH: &str = "/engine/switch";

pub(super) struct Inner {
    pub(super) life: u64,
    arrivals: u64,
    pub(super) models: Models,
    batch: Batch,
    pub(super) kv: Kv,
    reports: Reports,
}

impl Inner {
    fn new(settings: &EngineSettings, life: u64) -> Inner {
        Inner {
            life,
            arrivals: 0,
            models: Models::new(settings),
            batch: Batch::default(),
            kv: Kv::new(settings.kv_blocks, settings.cache_event_gaps_permille),
            reports: Reports::default(),
        }
    }

    fn note_load(&mut self) {
        self.reports.note(LoadReport {
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
    inner: Mutex<Inner>,
    wake: Notify,
}

/// The life of an engine that has crashed so often.
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

/// Starts an engine.
pub async fn start(settings: EngineSettings) -> Result<Handle, StandinError> {
    let control = Control::new();
    let listen = settings.listen;
    let store_settings = ClientSettings::default();
    let store = settings
        .store
        .map(|address| WeightStore::new(address, &store_settings));
    let engine = Arc::new(Engine {
        inner: Mutex::new(Inner::new(&settings, life_after(0))),
        settings,
        control: control.clone(),
        store,
        wake: Notify::new(),
    });
    let steps = tokio::spawn(engine.clone().run());
    let mut handle = http::serve(listen, control, true, move |call| {
        engine.clone().answer(call)
    })
    .await?;
    handle.tasks.push(steps);
    Ok(handle)
}

impl Engine {
    async fn run(self: Arc<Self>) {
        let mut crash = self.control.crash.subscribe();
        loop {
            if crash.has_changed().unwrap_or(false) {
                crash.mark_unchanged();
                self.lose_state();
            }
            match self.begin() {
                Step::Crashes => {}
                Step::Idle => {
                    tokio::select! {
                        _ = self.wake.notified() => {}
                        _ = crash.changed() => self.lose_state(),
                    }
                }
                Step::Takes(time) => {
                    pause(time).await;
                    self.finish();
                }
            }
        }
    }

    fn begin(&self) -> Step {
        let mut guard = self.lock();
        let inner = &mut *guard;
        let mut down_ms = None;
        let step = inner.batch.begin(&mut inner.kv, &self.settings, |prompt| {
            self.control.faults.crash_on(prompt).is_some()
        });
        if matches!(step, Step::Crashes) {
            down_ms = Some(self.settings.restart_ms);
        }
        inner.note_load();
        drop(guard);
        if let Some(down_ms) = down_ms {
            self.control.crash(down_ms);
        }
        step
    }

    fn finish(&self) {
        let mut guard = self.lock();
        let inner = &mut *guard;
        let models = &inner.models;
        inner.batch.finish(&mut inner.kv, |model| {
            models.version(model).unwrap_or_default()
        });
        inner.note_load();
    }

    fn lose_state(&self) {
        let mut inner = self.lock();
        let life = life_after(self.control.crashes());
        *inner = Inner::new(&self.settings, life);
    }

    async fn answer(self: Arc<Self>, call: Call) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/v1/completions") => self.complete(&call).await,
            ("GET", "/healthz") => reply::done(),
            ("GET", "/engine/state") => {
                let inner = self.lock();
                reply::json(200, &inner.models.state(inner.life))
            }
            ("GET", LOAD) => reply::json(200, &self.report()),
            ("GET", "/engine/cache-events") => self.cache_events(&call),
            ("POST", "/engine/cancel") => self.cancel(&call),
            ("POST", LOAD | SWITCH) => self.order(call).await,
            _ => reply::error(404, "no-such-path"),
        }
    }

    async fn complete(&self, call: &Call) -> Reply {
        let question: Question = match call.json() {
            Ok(question) => question,
            Err(refusal) => return *refusal,
        };
        if question.n.unwrap_or(1) != 1 {
            return reply::error(400, "one-completion-only");
        }
        let stream = question.stream;
        match self.submit(question, life_after(call.crashes)) {
            Ok(completion) if stream => completion.stream(),
            Ok(completion) => completion.whole().await,
            Err(refusal) => *refusal,
        }
    }

    /// Takes a request of a connection that came in this life. Later lives don't know of it;
    /// it ends with its connection, and the refusal goes nowhere.
    fn submit(&self, question: Question, life: u64) -> Result<Completion, Box<Reply>> {
        let mut inner = self.lock();
        if inner.life != life {
            return Err(Box::new(reply::error(503, "crashed")));
        }
        if inner.models.version(&question.model).is_none() {
            return Err(Box::new(reply::error(404, "no-such-model")));
        }
        let (out, emitted) = mpsc::unbounded_channel();
        inner.arrivals += 1;
        let sequence = self.sequence(question, inner.arrivals, out);
        if !inner.kv.could_hold(sequence.blocks()) {
            return Err(Box::new(reply::error(400, "too-long")));
        }
        let completion = Completion {
            id: format!("cmpl-{}-{}", inner.life, inner.arrivals),
            prompt_tokens: sequence.prompt_tokens(),
            emitted,
        };
        inner.batch.push(sequence);
        inner.note_load();
        self.wake.notify_one();
        Ok(completion)
    }

    fn sequence(
        &self,
        question: Question,
        arrived: u64,
        out: mpsc::UnboundedSender<super::batch::Emitted>,
    ) -> Sequence {
        let seed = question.seed.to_string();
        let content = text_hash(&[&question.prompt, &seed]);
        let natural = natural_tokens(content, &self.settings);
        let max_tokens = question.max_tokens();
        let ending = if natural <= max_tokens {
            Ending::Stop
        } else {
            Ending::Length
        };
        Sequence {
            made: question.resume_tokens.len() as u32,
            model: question.model,
            request_id: question.request_id,
            prompt: question.prompt,
            priority: question.priority,
            arrived,
            content,
            tokens: natural.min(max_tokens),
            ending,
            out,
        }
    }

    fn cancel(&self, call: &Call) -> Reply {
        let cancel: Cancel = match call.json() {
            Ok(cancel) => cancel,
            Err(refusal) => return *refusal,
        };
        let mut guard = self.lock();
        let inner = &mut *guard;
        let cancelled = inner.batch.cancel(&mut inner.kv, &cancel.request_id);
        inner.note_load();
        reply::json(200, &Cancelled { cancelled })
    }

    fn report(&self) -> LoadReport {
        let fault = self.control.faults.hit(FaultKind::Lag, LOAD);
        let lag_ms = fault.map_or(self.settings.report_lag_ms, |fault| fault.delay_ms);
        self.lock().reports.at(Duration::from_millis(lag_ms))
    }

    fn cache_events(&self, call: &Call) -> Reply {
        let from = call.query_u64("from").unwrap_or(0);
        let lag = Duration::from_millis(self.settings.cache_event_lag_ms);
        reply::json(200, &self.lock().kv.events(from, lag))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

pub(super) async fn pause(time: Duration) {
    if time.is_zero() {
        tokio::task::yield_now().await;
    } else {
        sleep(time).await;
    }
}
