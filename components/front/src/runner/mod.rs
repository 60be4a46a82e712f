//! The task that runs the items of the models that belong to this front.
//!
//! It looks at the steps whenever something changed, places waiting items on replicas, and
//! hands texts to the reward call and the writer. It keeps nothing that must last: another
//! front that takes over reads the steps and begins with what is not listed.

mod contests;
mod data;
mod engines;
mod handover;
mod look;
mod settle;
mod stages;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use dispatch::{
    Admission, Engine, EventInterval, MoveCause, Placement, Replica, ReplicaId, Route, Routes, Run,
    WaitingItem, WaitingRank, has_lost_version, place, runs_to_move, slowness, stall_threshold_ms,
    text_left_ms,
};
use leaving::WorkGuard;
use ownership::{replica_shards, shard_partition};
use pacing::Activity;
use steps::{ErrorCause, FailedPart, ItemData, ItemHead, Step, StepHead, StepId, decode_item};
use tokio::sync::{Notify, mpsc};
use tokio::task::AbortHandle;

use crate::clock::now_ms;
use crate::leave;
use crate::metrics;
use crate::partial::{self, Partial, SharedPartial};
use crate::peers::{Member, ReplicaTable};
use crate::reward;
use crate::run_item::{self, RunEnd, RunSpec};
use crate::state::{Front, lock};
use crate::writer::{Ended, Outcome, note_failed};

use data::read_data;
use engines::{EngineState, Place};
use stages::Stages;

/// How often steps are looked at when nothing is heard, in milliseconds.
const LOOK_MS: u64 = 100;
/// How old the knowledge of the index may be when a run starts, in milliseconds; an item of
/// a step that was ended must not reach a replica three seconds later.
const INDEX_AGE_MS_MAX: u64 = 1_500;
/// How long nobody else need run what a leaving front goes on with, in milliseconds; it says so
/// anew with each round of saving. What it had stands still for so long if it dies.
const KEPT_MS: u32 = 1_200;
/// Beyond the time in which an item may be given up, in milliseconds, against early clocks.
const GIVE_UP_SLACK_MS: u64 = 1_000;
/// Pause between rounds of saving texts, in milliseconds: what a run loses with its machine,
/// against a copy of each text in the store.
const SAVE_MS: u64 = 500;
/// Longest time for reading items' data, in milliseconds.
const DATA_MS: u64 = 1_200;
/// Kibibytes of items' data in one read.
const DATA_KB: u32 = 64;
/// Ended items that wait for the writer, at most.
pub const ENDED_MAX: usize = 256;

type Key = (StepId, u32);

/// News for the runner.
enum News {
    /// A step's data was read.
    Data(StepId, Vec<Arc<ItemData>>),
    /// It can't be read now.
    NoData(StepId),
    /// A run ended.
    Ran(Key, ReplicaId, RunEnd),
    /// A round of saving ended.
    Saved,
}

struct Running {
    abort: AbortHandle,
    /// Where it runs; none once its text is whole.
    at: Option<RunningAt>,
    /// A leaving process stays until the text is listed, or its run is given up.
    _working: WorkGuard,
}

struct RunningAt {
    replica: ReplicaId,
    stop: Arc<Notify>,
    /// Why it was told to stop.
    stopping: Option<MoveCause>,
    /// Oldest version that may make its events.
    min_version: u64,
    /// Whether one version must make the whole text.
    single_version: bool,
    model: Arc<str>,
    /// Output tokens of its text, by the trainer's hint.
    expected_tokens: u32,
    /// When it was sent or made its newest event, in milliseconds.
    heard_ms: Arc<AtomicU64>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

struct Runner {
    front: Arc<Front>,
    news: mpsc::UnboundedSender<News>,
    ended: mpsc::Sender<Ended>,
    data: HashMap<StepId, Vec<Arc<ItemData>>>,
    asked: HashSet<StepId>,
    running: HashMap<Key, Running>,
    /// Texts that are not whole, and where their last run broke.
    partials: HashMap<Key, (SharedPartial, Option<ReplicaId>)>,
    /// When texts were saved last, in milliseconds.
    saved_ms: u64,
    saving: bool,
    failed_runs: HashMap<Key, u32>,
    stages: Stages,
    engines: HashMap<ReplicaId, EngineState>,
    /// Replicas at the last look.
    table: Arc<ReplicaTable>,
    /// Usual pause between the events of a text, in microseconds; 0 before it is known.
    pause_us: u64,
    /// When this front was told to leave, in milliseconds; none before.
    leaves_since_ms: Option<u64>,
}

/// Runs items until the process ends.
pub async fn run(front: Arc<Front>, ended: mpsc::Sender<Ended>) {
    let (news, mut heard) = mpsc::unbounded_channel();
    let mut runner = Runner {
        front: Arc::clone(&front),
        news,
        ended,
        data: HashMap::new(),
        asked: HashSet::new(),
        running: HashMap::new(),
        partials: HashMap::new(),
        saved_ms: 0,
        saving: false,
        failed_runs: HashMap::new(),
        stages: Stages::default(),
        engines: HashMap::new(),
        table: Arc::default(),
        pause_us: 0,
        leaves_since_ms: None,
    };
    loop {
        tokio::select! {
            Some(news) = heard.recv() => runner.take(news),
            () = front.runner_wakeup.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(LOOK_MS)) => {}
        }
        while let Ok(news) = heard.try_recv() {
            runner.take(news);
        }
        runner.look();
    }
}

impl Runner {
    fn take(&mut self, news: News) {
        match news {
            News::Data(step, data) => {
                self.asked.remove(&step);
                self.note_taken(step);
                self.data.insert(step, data);
            }
            News::NoData(step) => {
                self.asked.remove(&step);
            }
            News::Ran(key, replica, end) => self.take_run(key, replica, end),
            News::Saved => {
                self.saving = false;
                if self.front.drain.is_leaving() {
                    self.front.texts_saved.send_replace(true);
                }
            }
        }
    }

    fn take_run(&mut self, key: Key, replica: ReplicaId, end: RunEnd) {
        let running = self.running.remove(&key);
        let now_ms = now_ms();
        let Some((head, progress)) = self.step_of(key) else {
            return;
        };
        let events = self
            .partials
            .get(&key)
            .map_or(0, |held| lock(&held.0).last_event);
        let (step, item) = key;
        self.count_run(&end);
        match end {
            RunEnd::Whole => {
                self.stages.whole(&self.front, key, now_ms);
                let partial = self.partials.remove(&key).map(|held| held.0);
                let text = partial.map(|partial| std::mem::take(&mut *lock(&partial)));
                self.settle(
                    key,
                    &head,
                    text.unwrap_or_default(),
                    progress.failed_rewards,
                );
            }
            RunEnd::NotRun(why) => {
                log::debug!(event = "item-not-run", step = step.0, item, replica = &*replica, why; "");
                self.admission(&replica, &head.model).record_refusal(now_ms);
                self.note_broken(key, replica);
            }
            RunEnd::Broken(why) => {
                log::info!(
                    event = "item-broken", step = step.0, item, replica = &*replica,
                    events, why; ""
                );
                self.admission(&replica, &head.model).record_refusal(now_ms);
                self.note_broken(key, replica);
            }
            RunEnd::Unready => {
                log::debug!(event = "item-unready", step = step.0, item; "");
            }
            RunEnd::Stopped => {
                let stopping = running
                    .as_ref()
                    .and_then(|running| running.at.as_ref()?.stopping);
                let why = stopping.map_or("told", MoveCause::as_str);
                log::info!(
                    event = "item-moved", step = step.0, item, replica = &*replica, events, why; ""
                );
                self.note_broken(key, replica);
            }
            RunEnd::Failed => {
                let here = self.failed_runs.entry(key).or_insert(0);
                *here += 1;
                let failed = progress.failed_runs.max(*here);
                log::info!(event = "item-failed", step = step.0, item, replica = &*replica, failed; "");
                if failed >= head.attempts_max {
                    self.give_up(key, ErrorCause::Runs);
                } else {
                    self.note_failed_run(key);
                    self.note_broken(key, replica);
                }
            }
            RunEnd::Impossible => self.give_up(key, ErrorCause::Impossible),
        }
    }

    fn count_run(&self, end: &RunEnd) {
        let name = match end {
            RunEnd::Whole => "front_runs_whole_total",
            RunEnd::NotRun(_) => "front_runs_refused_total",
            RunEnd::Broken(_) => "front_runs_broken_total",
            RunEnd::Unready => "front_runs_unready_total",
            RunEnd::Stopped => "front_runs_moved_total",
            RunEnd::Failed | RunEnd::Impossible => "front_runs_failed_total",
        };
        self.front.metrics.count(name, metrics::item_label(), 1);
    }

    /// Says which of the trainers' steps the later lines name by their number.
    fn note_taken(&self, id: StepId) {
        let head = self
            .front
            .index()
            .ledger
            .get(id)
            .map(|step| Arc::clone(&step.head));
        if let Some(head) = head {
            log::info!(
                event = "step-taken", id = head.id, step = id.0, model = head.model,
                number = head.number, min_version = head.min_version, items = head.items.len(); ""
            );
        }
    }

    /// The next run goes elsewhere if it can.
    fn note_broken(&mut self, key: Key, replica: ReplicaId) {
        if let Some(held) = self.partials.get_mut(&key) {
            held.1 = Some(replica);
        }
    }

    fn step_of(&self, (step, item): Key) -> Option<(Arc<StepHead>, steps::ItemProgress)> {
        let index = self.front.index();
        let step = index.ledger.get(step)?;
        Some((Arc::clone(&step.head), *step.progress.get(item as usize)?))
    }

    fn note_failed_run(&self, key: Key) {
        let front = Arc::clone(&self.front);
        tokio::spawn(async move { note_failed(&front, key, FailedPart::Run).await });
    }
}
