//! The runner: the task that runs the items of the shards that this front owns.
//!
//! Whenever something changed, and at least every [`RECONCILE_INTERVAL_MS`], the runner compares
//! the steps in the index with the items that it runs: it stops items that need no run any more,
//! places waiting items on replicas and moves runs away from slow replicas. A complete text goes to
//! the reward call and then to the writer. The runner keeps no durable state. A front that takes
//! over reads the steps from the index, restores the saved texts and runs all items that are not
//! listed.

mod critical;
mod data;
mod engines;
mod finish;
mod handover;
mod item_moves;
mod knowledge;
mod lengths;
mod pool_queues;
mod reconcile;
mod run_ends;
mod timings;

pub use item_moves::MoveCounts;

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ::knowledge::{ShardTransfers, TransferNumber};
use bytes::Bytes;
use dispatch::{
    Admission, Engine, EventInterval, Placement, Replica, ReplicaId, Route, Routes, Run,
    WaitingItem, WaitingRank, has_lost_version, most_report_start, place, runs_to_move, slowness,
    stall_threshold_ms, text_left_ms,
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
use crate::partial::{self, CompleteText, SharedPartialText};
use crate::peers::{Member, ReplicaTable};
use crate::replica_pace;
use crate::result_writer::{EndedItem, ItemOutcome};
use crate::reward;
use crate::run_item::{self, RunEnd, RunSpec};
use crate::state::{Front, lock};
use crate::writer::record_failure;

use critical::PoolState;
use data::read_data;
use engines::{EngineState, SlotGuard};
use item_moves::ItemMoves;
use knowledge::{PriorKnowledge, ShardKey};
use lengths::TextLengths;
use pool_queues::PoolKey;
use run_ends::{EndedRun, RunNumber};
use timings::{ItemTimings, LastTexts};

/// Longest time between two passes over the steps.
const RECONCILE_INTERVAL_MS: u64 = 100;
/// Maximum age of this front's copy of the index for starting runs. An item must not reach a
/// replica three seconds after its step was ended.
const INDEX_AGE_MS_MAX: u64 = 1_500;
/// How long other fronts leave alone the items that a front still runs after its shards went to
/// others. The front renews this reservation with every round of saving texts. If it dies, its
/// items wait this long before they resume elsewhere.
const RESERVATION_MS: u32 = 1_200;
/// Added to the time after which an item is abandoned, so that a clock that runs ahead abandons no
/// item too early.
const ABANDON_SLACK_MS: u64 = 1_000;
/// Interval of saving partial texts. It bounds the work that is lost with a VM; every round writes
/// the new part of each text to the store.
const SAVE_INTERVAL_MS: u64 = 500;
/// Timeout of one read of items' data.
const DATA_TIMEOUT_MS: u64 = 1_200;
/// Kibibytes of items' data in one read.
const DATA_READ_KB: u32 = 64;
/// Capacity of the queue of ended items to the writer.
pub const ENDED_QUEUE_MAX: usize = 256;

/// A step and the number of an item in it.
type ItemKey = (StepId, u32);

/// Messages to the runner from the tasks that it spawns.
enum RunnerMessage {
    /// The data of a step's items was read.
    DataRead(StepId, Vec<Arc<ItemData>>),
    /// The data of a step's items could not be read; the runner requests it again.
    DataUnavailable(StepId),
    /// A run at a replica ended.
    RunEnded(EndedRun),
    /// The knowledge of a shard's owner before was read; `None` if there is none.
    KnowledgeRead(ShardKey, TransferNumber, PriorKnowledge),
    /// A write of a shard's knowledge ended; true if it succeeded.
    KnowledgeWritten(ShardKey, TransferNumber, bool),
    /// A round of saving texts ended; true if this front was leaving when it began.
    TextsSaved(bool),
}

/// An item in progress: it runs at a replica, or its complete text is scored and written. Dropping
/// it aborts its task.
struct RunningItem {
    abort: AbortHandle,
    /// The run at a replica; `None` once the item needs no replica any more.
    replica_run: Option<ReplicaRun>,
    /// Keeps a process that shuts down alive until the item is listed or stopped.
    _working: WorkGuard,
}

struct ReplicaRun {
    number: RunNumber,
    replica: ReplicaId,
    stop: Arc<Notify>,
    /// Name of the reason why the run is being moved to another replica; `None` while it need not
    /// stop.
    stop_cause: Option<&'static str>,
    /// Oldest version of the weights that may generate events.
    min_version: u64,
    /// Whether a single version must generate the whole text.
    single_version: bool,
    model: Arc<str>,
    /// Output tokens of the text, by the trainer's hint.
    expected_tokens: u32,
    /// When the run was sent or received its last event, on the process's clock.
    last_progress_ms: Arc<AtomicU64>,
}

impl Drop for RunningItem {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

struct Runner {
    front: Arc<Front>,
    messages: mpsc::UnboundedSender<RunnerMessage>,
    ended: mpsc::Sender<EndedItem>,
    data: HashMap<StepId, Vec<Arc<ItemData>>>,
    requested_data: HashSet<StepId>,
    /// Steps that wait for their route.
    unrouted: Vec<StepId>,
    running: HashMap<ItemKey, RunningItem>,
    /// Number of runs that were started.
    runs_started: u64,
    /// Incomplete texts, each with the replica at which its last run broke off, to be avoided by
    /// the next run.
    partials: HashMap<ItemKey, (SharedPartialText, Option<ReplicaId>)>,
    /// When the last round of saving texts began.
    last_save_ms: u64,
    is_saving: bool,
    /// Failed runs at this front.
    failed_runs: HashMap<ItemKey, u32>,
    timings: ItemTimings,
    /// When the last text of each step was scored.
    last_texts: Arc<LastTexts>,
    /// Moves of items in pools whose replicas report their start.
    moves: HashMap<ItemKey, ItemMoves>,
    /// Lengths of texts in these pools.
    lengths: TextLengths,
    /// Paces and passes of the queues of these pools.
    pools: HashMap<PoolKey, PoolState>,
    /// Number of replicas slower than their steady pace, as last reported.
    slower: Cell<u64>,
    engines: HashMap<ReplicaId, EngineState>,
    /// Shards whose knowledge is kept for the next owner.
    kept_shards: HashMap<ShardKey, ShardTransfers>,
    /// Number of reads and writes of knowledge that were started.
    transfers_started: u64,
    /// The table that `engines` was last brought in line with.
    table: Arc<ReplicaTable>,
    /// Median of the replicas' mean intervals between events; 0 until it is known.
    typical_interval_us: u64,
    /// When the runner first saw that this front shuts down; `None` before.
    leaving_since_ms: Option<u64>,
}

/// Runs items until the process ends.
pub async fn run(front: Arc<Front>, ended: mpsc::Sender<EndedItem>) {
    let (messages, mut inbox) = mpsc::unbounded_channel();
    let mut runner = Runner {
        front: Arc::clone(&front),
        messages,
        ended,
        data: HashMap::new(),
        requested_data: HashSet::new(),
        unrouted: Vec::new(),
        running: HashMap::new(),
        runs_started: 0,
        partials: HashMap::new(),
        last_save_ms: 0,
        is_saving: false,
        failed_runs: HashMap::new(),
        timings: ItemTimings::default(),
        last_texts: Arc::default(),
        moves: HashMap::new(),
        lengths: TextLengths::default(),
        pools: HashMap::new(),
        slower: Cell::default(),
        engines: HashMap::new(),
        kept_shards: HashMap::new(),
        transfers_started: 0,
        table: Arc::default(),
        typical_interval_us: 0,
        leaving_since_ms: None,
    };
    loop {
        tokio::select! {
            Some(message) = inbox.recv() => runner.handle(message),
            () = front.runner_wakeup.notified() => {}
            () = tokio::time::sleep(Duration::from_millis(RECONCILE_INTERVAL_MS)) => {}
        }
        while let Ok(message) = inbox.try_recv() {
            runner.handle(message);
        }
        runner.reconcile();
    }
}

impl Runner {
    fn handle(&mut self, message: RunnerMessage) {
        match message {
            RunnerMessage::DataRead(step, data) => {
                self.requested_data.remove(&step);
                self.log_step_taken(step);
                self.data.insert(step, data);
            }
            RunnerMessage::DataUnavailable(step) => {
                self.requested_data.remove(&step);
            }
            RunnerMessage::RunEnded(ended) => self.handle_run_end(ended),
            RunnerMessage::KnowledgeRead(shard, number, prior) => {
                self.handle_knowledge_read(&shard, number, prior);
            }
            RunnerMessage::KnowledgeWritten(shard, number, is_written) => {
                self.handle_knowledge_written(&shard, number, is_written);
            }
            RunnerMessage::TextsSaved(began_leaving) => {
                self.is_saving = false;
                // A round that began earlier lacks newer texts and the reservations of own items.
                if began_leaving {
                    self.front.texts_saved.send_replace(true);
                }
            }
        }
    }

    /// Logs the ids of a step: the trainer's id and the number that later log lines use.
    fn log_step_taken(&self, id: StepId) {
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
}
