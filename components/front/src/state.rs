//! What the tasks of a front share.
//!
//! Routes and replicas are published as immutable snapshots that a request reads without a
//! lock. Steps and the lease change with the log; their lock is held for a few microseconds
//! and never across a wait.

use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use customers::KeyMarks;
use dispatch::{Routes, Typical};
use index::Index;
use lease::Lease;
use leaving::Drain;
use ownership::{LARGE_SHARD_PLACES, Ownership};
use pacing::Demand;
use platform::settings::FrontSettings;
use steps::StepHead;
use telemetry::Metrics;
use tokio::sync::{Notify, watch};
use usage::{UsageLedger, WindowSettings};

use crate::clock::now_ms;
use crate::member;
use crate::meter::Meter;
use crate::peers::ReplicaTable;
use crate::storage::Storage;

/// Guess at the time of a call of a route that was not seen yet, in milliseconds.
const TYPICAL_GUESS_MS: u64 = 40;

/// How long nothing may be heard of the store at a front that is ready, in milliseconds: longer
/// than a read of the index that gets no answer.
const READY_SILENT_MS_MAX: u64 = 1_600;

/// What the tasks of a front share.
pub struct Front {
    /// When the process started, on its clock.
    pub started_ms: u64,
    /// Settings of the process.
    pub settings: FrontSettings,
    /// The platform's store.
    pub storage: Storage,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Configuration in force; none before the first was read.
    pub routes: ArcSwapOption<Routes>,
    /// When the operator's records were last known to be read to their end; 0 before.
    operator_records_current_ms: AtomicU64,
    /// Marks of refused keys in the log.
    pub key_marks: KeyMarks,
    /// Replicas that may take work.
    pub replicas: ArcSwap<ReplicaTable>,
    /// Newest named version by model.
    pub named_versions: Mutex<BTreeMap<Arc<str>, u64>>,
    /// Steps and the lease.
    index: Mutex<Index>,
    /// Counts changes of the index.
    pub index_changes: watch::Sender<u64>,
    /// When the index was last known to be read to its end; 0 before.
    index_current_ms: AtomicU64,
    /// Whether the last read of the index failed.
    pub index_failing: AtomicBool,
    /// Notified when the index was read to its end.
    pub index_read: Notify,
    /// Who needs the newest records of the store.
    pub demand: Demand,
    /// Whether the replicas' records were read.
    pub replicas_read: AtomicU64,
    /// Since when results can't be written; 0 while they can.
    pub unwritable_since_ms: AtomicU64,
    /// What this front runs.
    pub ownership: ArcSwap<Ownership>,
    /// Whether partitions were dealt to others since the runner looked.
    pub partitions_moved: AtomicBool,
    /// Places of model replicas that a shard has, by the size of the fronts that run shards.
    pub shard_places: AtomicU32,
    /// Wakes the task that runs items.
    pub runner_wakeup: Notify,
    /// Turns true when a leaving front has saved the texts that it was making.
    pub texts_saved: watch::Sender<bool>,
    /// Wakes the task that gives orders.
    pub leader_wakeup: Notify,
    /// Usage of customers, at the holder of the lease.
    usage: Mutex<UsageLedger>,
    /// When the records of usage were last known to be read to their end; 0 before.
    usage_current_ms: AtomicU64,
    /// Counts customers' requests.
    pub meter: Meter,
    /// The drain of this process.
    pub drain: Drain,
    /// Turns true when kept connections of clients close.
    pub close_connections: watch::Sender<bool>,
    typical: Mutex<HashMap<Arc<str>, Arc<Typical>>>,
}

impl Front {
    /// The state of a front that knows nothing yet.
    pub fn new(settings: FrontSettings, lease: Lease, drain: Drain, metrics: Metrics) -> Self {
        Self {
            started_ms: now_ms(),
            storage: Storage::new(settings.store.address),
            metrics,
            routes: ArcSwapOption::empty(),
            operator_records_current_ms: AtomicU64::new(0),
            key_marks: KeyMarks::new(rand::random()),
            replicas: ArcSwap::default(),
            named_versions: Mutex::default(),
            index: Mutex::new(Index::new(lease)),
            index_changes: watch::Sender::new(0),
            index_current_ms: AtomicU64::new(0),
            index_failing: AtomicBool::new(false),
            index_read: Notify::new(),
            demand: Demand::default(),
            replicas_read: AtomicU64::new(0),
            unwritable_since_ms: AtomicU64::new(0),
            ownership: ArcSwap::from_pointee(Ownership::new(member::settings(&settings))),
            partitions_moved: AtomicBool::new(false),
            shard_places: AtomicU32::new(LARGE_SHARD_PLACES),
            runner_wakeup: Notify::new(),
            texts_saved: watch::Sender::new(false),
            leader_wakeup: Notify::new(),
            usage: Mutex::default(),
            usage_current_ms: AtomicU64::new(0),
            meter: Meter::new(report_windows(&settings)),
            drain,
            close_connections: watch::Sender::new(false),
            typical: Mutex::default(),
            settings,
        }
    }

    /// Steps and the lease. Not held across a wait.
    pub fn index(&self) -> MutexGuard<'_, Index> {
        lock(&self.index)
    }

    /// Usage of customers. Not held across a wait.
    pub fn usage(&self) -> MutexGuard<'_, UsageLedger> {
        lock(&self.usage)
    }

    /// Notes that the records of usage were read to their end at `now_ms`.
    pub fn mark_usage_current(&self, now_ms: u64) {
        self.usage_current_ms.store(now_ms, Ordering::Relaxed);
    }

    /// How old the knowledge of usage is, in milliseconds.
    pub fn usage_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.usage_current_ms.load(Ordering::Relaxed))
    }

    /// Notes that the operator's records were read to their end at `now_ms`.
    pub fn mark_operator_records_current(&self, now_ms: u64) {
        self.operator_records_current_ms
            .store(now_ms, Ordering::Relaxed);
    }

    /// How old the knowledge of the configuration is, in milliseconds.
    pub fn operator_records_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.operator_records_current_ms.load(Ordering::Relaxed))
    }

    /// Notes that the index was read to its end at `now_ms`.
    pub fn mark_index_current(&self, now_ms: u64) {
        self.index_current_ms.store(now_ms, Ordering::Relaxed);
        self.index_read.notify_waiters();
    }

    /// When the index was last known to be read to its end, in milliseconds; 0 before.
    pub fn index_current_ms(&self) -> u64 {
        self.index_current_ms.load(Ordering::Relaxed)
    }

    /// How old the knowledge of the index is, in milliseconds; none before it was read once.
    pub fn index_age_ms(&self, now_ms: u64) -> Option<u64> {
        match self.index_current_ms() {
            0 => None,
            current_ms => Some(now_ms.saturating_sub(current_ms)),
        }
    }

    /// How long results could not be written, in milliseconds; 0 while they can.
    pub fn unwritable_ms(&self, now_ms: u64) -> u64 {
        match self.unwritable_since_ms.load(Ordering::Relaxed) {
            0 => 0,
            since_ms => now_ms.saturating_sub(since_ms),
        }
    }

    /// Whether clients may be sent here. A front that is cut off from the store alone has nothing
    /// for trainers, who read nothing there for as long as the cut lasts. A store that is down
    /// for all is heard of, as a rule; where it isn't, no front is ready and the balancer uses
    /// all of them, also those that leave.
    pub fn is_ready(&self) -> bool {
        let now_ms = now_ms();
        self.routes.load().is_some()
            && self.replicas_read.load(Ordering::Relaxed) > 0
            && self.index_age_ms(now_ms).is_some()
            && self.storage.silent_ms(now_ms) < READY_SILENT_MS_MAX
            && self.drain.is_ready()
    }

    /// How long calls of this route take.
    pub fn typical(&self, route: &Arc<str>) -> Arc<Typical> {
        let mut typical = lock(&self.typical);
        if let Some(known) = typical.get(route) {
            return Arc::clone(known);
        }
        let new = Arc::new(Typical::new(TYPICAL_GUESS_MS));
        typical.insert(Arc::clone(route), Arc::clone(&new));
        new
    }

    /// Whether this front runs a shard of a step now.
    pub fn owns_shard(&self, head: &StepHead, shard: u16, now_ms: u64) -> bool {
        self.ownership
            .load()
            .owns(self.partition(head, shard), now_ms)
    }

    /// Whether runs of items of a shard that were begun here may go on.
    pub fn may_finish(&self, head: &StepHead, shard: u16) -> bool {
        self.ownership
            .load()
            .may_finish(self.partition(head, shard))
    }

    /// Whether another front has a shard and must be told of its items that this one runs.
    pub fn is_handed_on(&self, head: &StepHead, shard: u16) -> bool {
        self.ownership
            .load()
            .is_handed_on(self.partition(head, shard))
    }

    fn partition(&self, head: &StepHead, shard: u16) -> u32 {
        ownership::shard_partition(&head.pool, shard, self.settings.store.partitions)
    }
}

fn report_windows(settings: &FrontSettings) -> Option<WindowSettings> {
    let duties = settings.duties.as_ref()?;
    let windows = WindowSettings::new(duties.window_ms, duties.report_due_ms);
    duties.reports_usage.then_some(windows)
}

/// Takes a lock; a panic under it left a whole value, as each change is one assignment.
pub fn lock<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}
