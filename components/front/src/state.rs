//! State that the tasks of a front share.
//!
//! Routes and replicas are published as immutable snapshots, which requests read without a lock.
//! Steps and the lease are updated with each record of the index; their mutex is held for a few
//! microseconds and never across an await.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::{ArcSwap, ArcSwapOption};
use customers::KeyMarks;
use dispatch::{Routes, TypicalDuration};
use index::Index;
use lease::Lease;
use leaving::Drain;
use ownership::{LARGE_SHARD_SLOTS, Ownership};
use pacing::Demand;
use platform::settings::FrontSettings;
use steps::StepHead;
use telemetry::Metrics;
use tokio::sync::{Notify, watch};
use usage::{UsageLedger, WindowSettings};

use crate::answer_lengths::AnswerLengths;
use crate::call_queue::CallQueues;
use crate::clock::now_ms;
use crate::follow::TopicCopy;
use crate::held::{HeldBytes, HeldLimits};
use crate::member;
use crate::meter::Meter;
use crate::peers::ReplicaTable;
use crate::runner::MoveCounts;
use crate::storage::Storage;
use crate::suspects::SuspectCalls;

/// Assumed latency of a route without any completed call, in milliseconds.
const INITIAL_LATENCY_MS: u64 = 40;

/// A front that has had no answer from the store for this time is not ready, in milliseconds.
/// Longer than the timeout of one read of the index.
const READY_SILENCE_MS_MAX: u64 = 1_600;

/// The shared state. All times are in milliseconds of [`now_ms`].
pub struct Front {
    /// When the process started.
    pub started_ms: u64,
    /// Settings at the start of the process.
    pub settings: FrontSettings,
    /// Client of the platform's store.
    pub storage: Storage,
    pub metrics: Metrics,
    /// Active configuration; `None` before the first was read.
    pub routes: ArcSwapOption<Routes>,
    /// How current the configuration and the named versions are.
    pub operator_copy: TopicCopy,
    /// Hashes refused keys for the log, with a salt that is drawn for each process.
    pub key_marks: KeyMarks,
    /// Snapshot of the replicas' records.
    pub replicas: ArcSwap<ReplicaTable>,
    /// Newest weight version that a trainer named, by model.
    pub named_versions: Mutex<BTreeMap<Arc<str>, u64>>,
    index: Mutex<Index>,
    /// Number of changes of the index; subscribers wake on each.
    pub index_changes: watch::Sender<u64>,
    pub index_copy: TopicCopy,
    /// Tasks and clients that need the newest records; sets the pace of reads.
    pub demand: Demand,
    pub replica_copy: TopicCopy,
    /// 1 once the replicas' records have been read, 0 before.
    pub replicas_read: AtomicU64,
    /// Since when appends of results fail; 0 while they succeed.
    pub unwritable_since_ms: AtomicU64,
    /// Held during a join of the group.
    pub joining: tokio::sync::Mutex<()>,
    /// Partitions that this front owns.
    pub ownership: ArcSwap<Ownership>,
    /// Whether the group's generation has changed since the runner last checked, so that partitions
    /// may have moved to other fronts.
    pub partitions_moved: AtomicBool,
    /// Slots of model replicas per shard. Depends on whether large or small fronts run the shards.
    pub shard_slots: AtomicU32,
    /// Wakes the task that runs items.
    pub runner_wakeup: Notify,
    /// Turns true once a leaving front has saved its partial texts.
    pub texts_saved: watch::Sender<bool>,
    /// Wakes the task that gives orders to replicas.
    pub leader_wakeup: Notify,
    /// Usage of customers; maintained only while this front holds the lease.
    usage: Mutex<UsageLedger>,
    pub usage_copy: TopicCopy,
    pub meter: Meter,
    /// Data that is held for clients and replicas that read slowly.
    pub held: Arc<HeldBytes>,
    /// Numbers of items that were moved between replicas.
    pub moves: MoveCounts,
    pub drain: Drain,
    /// Turns true when requests are refused and idle connections of clients are to be closed.
    pub close_connections: watch::Sender<bool>,
    /// Turns true shortly before the process exits. What can't be answered until then is answered with
    /// an error.
    pub ending: watch::Sender<bool>,
    /// Calls that wait for a replica, by service.
    pub call_queues: CallQueues,
    /// Calls in flight, and those that crash replicas.
    pub suspects: Arc<SuspectCalls>,
    /// Expected lengths of answers by route.
    pub answer_lengths: AnswerLengths,
    /// Typical latency by route.
    typical_durations: Mutex<HashMap<Arc<str>, Arc<TypicalDuration>>>,
}

impl Front {
    /// State before anything was read from the store.
    pub fn new(settings: FrontSettings, lease: Lease, drain: Drain, metrics: Metrics) -> Self {
        Self {
            started_ms: now_ms(),
            storage: Storage::new(settings.store.address),
            metrics,
            routes: ArcSwapOption::empty(),
            operator_copy: TopicCopy::default(),
            key_marks: KeyMarks::new(rand::random()),
            replicas: ArcSwap::default(),
            named_versions: Mutex::default(),
            index: Mutex::new(Index::new(lease)),
            index_changes: watch::Sender::new(0),
            index_copy: TopicCopy::default(),
            demand: Demand::default(),
            replica_copy: TopicCopy::default(),
            replicas_read: AtomicU64::new(0),
            unwritable_since_ms: AtomicU64::new(0),
            joining: tokio::sync::Mutex::default(),
            ownership: ArcSwap::from_pointee(Ownership::new(member::ownership_settings(&settings))),
            partitions_moved: AtomicBool::new(false),
            shard_slots: AtomicU32::new(LARGE_SHARD_SLOTS),
            runner_wakeup: Notify::new(),
            texts_saved: watch::Sender::new(false),
            leader_wakeup: Notify::new(),
            usage: Mutex::default(),
            usage_copy: TopicCopy::default(),
            meter: Meter::new(report_windows(&settings)),
            held: Arc::new(HeldBytes::new(HeldLimits::of_memory(settings.memory_bytes))),
            moves: MoveCounts::default(),
            drain,
            close_connections: watch::Sender::new(false),
            ending: watch::Sender::new(false),
            call_queues: CallQueues::default(),
            suspects: Arc::new(SuspectCalls::new(
                &settings.node,
                rand::random(),
                settings.store.retention_ms,
                settings.heartbeat_ms,
            )),
            answer_lengths: AnswerLengths::default(),
            typical_durations: Mutex::default(),
            settings,
        }
    }

    /// Locks the steps and the lease. The guard must not be held across an await.
    pub fn index(&self) -> MutexGuard<'_, Index> {
        lock(&self.index)
    }

    /// Address at which this front relays calls to the store; `None` if it relays none. A small
    /// front takes no part in watching owners.
    pub fn relay_address(&self) -> Option<SocketAddr> {
        let address = self.storage.relay.address();
        address.filter(|_| !member::is_small(&self.settings))
    }

    /// Locks the usage of customers. The guard must not be held across an await.
    pub fn usage(&self) -> MutexGuard<'_, UsageLedger> {
        lock(&self.usage)
    }

    /// How long appends of results have failed, in milliseconds; 0 while they succeed.
    pub fn unwritable_ms(&self, now_ms: u64) -> u64 {
        match self.unwritable_since_ms.load(Ordering::Relaxed) {
            0 => 0,
            since_ms => now_ms.saturating_sub(since_ms),
        }
    }

    /// Whether the load balancer may send clients to this front. A front that is cut off from the
    /// store is not ready, as trainers could not read any results there. An outage of the store
    /// usually still brings error answers, so the fronts stay ready. If the store is silent for all
    /// fronts, none is ready, and the balancer then sends requests to all of them, including those
    /// that are leaving.
    pub fn is_ready(&self) -> bool {
        let now_ms = now_ms();
        self.routes.load().is_some()
            && self.replicas_read.load(Ordering::Relaxed) > 0
            && self.index_copy.age_ms(now_ms).is_some()
            && self.storage.silent_ms(now_ms) < READY_SILENCE_MS_MAX
            && self.drain.is_ready()
    }

    /// Waits until a leaving front refuses requests.
    pub async fn wait_until_refusing(&self) {
        wait_until_true(&self.close_connections).await;
    }

    /// Waits until the front is about to exit.
    pub async fn wait_until_ending(&self) {
        wait_until_true(&self.ending).await;
    }

    /// Estimate of the latency of a route's calls, shared by all calls of the route.
    pub fn typical_duration(&self, route: &Arc<str>) -> Arc<TypicalDuration> {
        let mut typical = lock(&self.typical_durations);
        if let Some(known) = typical.get(route) {
            return Arc::clone(known);
        }
        let new = Arc::new(TypicalDuration::new(INITIAL_LATENCY_MS));
        typical.insert(Arc::clone(route), Arc::clone(&new));
        new
    }

    /// Whether this front may start runs of a shard's items now. It must know which items the former
    /// owner goes on with, unless the index cannot be read.
    pub fn owns_shard(&self, head: &StepHead, shard: u16, now_ms: u64) -> bool {
        let partition = self.partition(head, shard);
        let ownership = self.ownership.load();
        let index = &self.index_copy;
        ownership.owns(partition, now_ms)
            && (ownership.has_read_since_gain(partition, index.current_read())
                || index.is_failing())
    }

    /// Whether runs of a shard's items that were started here may continue.
    pub fn may_finish(&self, head: &StepHead, shard: u16) -> bool {
        self.ownership
            .load()
            .may_finish(self.partition(head, shard))
    }

    /// Whether another front owns the shard now and must be notified of the items that this front
    /// still runs.
    pub fn is_reassigned(&self, head: &StepHead, shard: u16) -> bool {
        self.ownership
            .load()
            .is_reassigned(self.partition(head, shard))
    }

    fn partition(&self, head: &StepHead, shard: u16) -> u32 {
        ownership::shard_partition(&head.pool, shard, self.settings.store.partitions)
    }
}

/// Windows of usage reports; `None` if the settings ask for no reports.
fn report_windows(settings: &FrontSettings) -> Option<WindowSettings> {
    let duties = settings.duties.as_ref()?;
    let windows = WindowSettings::new(duties.window_ms, duties.report_due_ms);
    duties.reports_usage.then_some(windows)
}

/// Locks a mutex and ignores poisoning: each update under the lock is a single assignment, so a
/// panic leaves a consistent value.
pub fn lock<T>(lock: &Mutex<T>) -> MutexGuard<'_, T> {
    lock.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn wait_until_true(flag: &watch::Sender<bool>) {
    // Fails only if the sender is dropped, which the caller borrows.
    let _ = flag.subscribe().wait_for(|is_set| *is_set).await;
}
