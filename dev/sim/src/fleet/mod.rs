//! Event loop of the simulation: fronts, the store, the workload and faults.

mod fault_impact;
mod membership;
mod outcome;
mod reading;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use lease::{LeaseRecord, is_candidate};
use ownership::{REBALANCE_MS, join_interval_ms};
use pacing::ReadOutcome;

use crate::SimError;
use crate::front::Front;
use crate::log::{Body, Record};
use crate::report::{Propagation, Report};
use crate::rng::SplitMix64;
use crate::settings::{Fault, FaultKind, SimSettings};
use crate::store::{INDEX, OPERATOR, REPLICAS, Store, TOPICS};

/// Network latency between a front and the store in one direction.
const ONE_WAY_MS: u64 = 2;
/// Each front starts at a random time within this window.
const START_WINDOW_MS: u64 = 300;
/// Interval at which a front on standby checks who owns partitions.
const STANDBY_INTERVAL_MS: u64 = 1_000;
/// Interval at which a front checks whether to acquire or renew the lease.
const LEASE_CHECK_INTERVAL_MS: u64 = 100;
/// A front whose last read to the end of the index is older does not write lease records.
const INDEX_AGE_MS_MAX: u64 = 1_000;
/// Upper bound of the bytes that one read returns.
const PAGE_BYTES: u64 = 64 * 1024;
/// Calls are counted from this time on, when all fronts have started.
const COUNTING_STARTS_MS: u64 = 5_000;
/// Times at which the changes are appended whose propagation is measured.
const TIMED_CHANGES_AT_MS: [u64; 3] = [6_000, 7_000, 8_000];
/// Length of lease, version and configuration records.
const SMALL_RECORD_BYTES: u64 = 40;

/// Indexes into [`TIMED_CHANGES_AT_MS`].
const CONFIGURATION: usize = 0;
const DRAINING: usize = 1;
const ACCEPTED: usize = 2;

#[derive(Debug)]
enum FrontEvent {
    ReadDue {
        topic: usize,
        read: u64,
    },
    WaitTimedOut {
        topic: usize,
        read: u64,
    },
    ReadAnswered {
        topic: usize,
        end: ReadOutcome,
        next: usize,
    },
    Join,
    JoinAnswered {
        sent_ms: u64,
        generation: u64,
        partitions: Vec<u32>,
    },
    CheckLease,
}

#[derive(Debug)]
enum SimEvent {
    /// Ignored when the front has another incarnation or is not running.
    Front {
        front: usize,
        incarnation: u64,
        event: FrontEvent,
    },
    Appended {
        topic: usize,
        record: Record,
    },
    ReplicaAppend,
    IndexAppend,
    VersionAppend,
    TimedAppend(usize),
    FaultBegins(usize),
    FaultEnds(usize),
}

/// Events are ordered by time, then by the order in which they were scheduled.
#[derive(Debug)]
struct ScheduledEvent {
    at_ms: u64,
    number: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.number) == (other.at_ms, other.number)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_ms, self.number).cmp(&(other.at_ms, other.number))
    }
}

#[derive(Debug, Default)]
struct Counts {
    served: [u64; TOPICS.len()],
    refused: [u64; TOPICS.len()],
    bytes: [u64; TOPICS.len()],
    appends: [u64; TOPICS.len()],
    group: u64,
    owner_reads: u64,
    takes: u64,
    double_orders: u64,
}

/// Effect of the last fault on the lease holder and on the owner of the first shard. `holder` and
/// `owner` have the lost front and the time of its loss until another front takes over.
#[derive(Debug, Default)]
struct FaultImpact {
    holder: Option<(usize, u64)>,
    owner: Option<(usize, u64)>,
    holder_gap_ms: u64,
    owner_gap_ms: u64,
}

struct Fleet<'a> {
    settings: &'a SimSettings,
    rng: SplitMix64,
    now_ms: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled: u64,
    store: Store,
    fronts: Vec<Front>,
    rebalancing_until_ms: Vec<u64>,
    /// Front and number of each read that waits for a new record, by topic.
    waiting: [Vec<(usize, u64)>; TOPICS.len()],
    counts: Counts,
    /// Time at which each front read each timed change.
    known_at_ms: Vec<[Option<u64>; TIMED_CHANGES_AT_MS.len()]>,
    appended_at_ms: [u64; TIMED_CHANGES_AT_MS.len()],
    /// Fronts that any fault has affected.
    affected: BTreeSet<usize>,
    /// Fronts that each fault affects while it lasts, by index of the fault.
    affected_by: Vec<Vec<usize>>,
    fault_impact: FaultImpact,
    /// Fronts that may give orders, as of their last check of the lease.
    lease_holders: BTreeSet<usize>,
}

/// Runs a simulation; the same settings always give the same report.
pub fn simulate(settings: &SimSettings) -> Result<Report, SimError> {
    settings.check()?;
    let mut fleet = Fleet::new(settings);
    fleet.start();
    while let Some(Reverse(next)) = fleet.events.pop() {
        if next.at_ms >= settings.day_ms {
            break;
        }
        fleet.now_ms = next.at_ms;
        fleet.handle(next.event);
    }
    Ok(fleet.report())
}

impl<'a> Fleet<'a> {
    fn new(settings: &'a SimSettings) -> Self {
        let fronts = (0..settings.fronts).map(|front| Front::new(front, settings, 0, 0));
        Self {
            settings,
            rng: SplitMix64::new(settings.seed),
            now_ms: 0,
            events: BinaryHeap::new(),
            scheduled: 0,
            store: Store::new(settings.partitions, settings.reads_per_s),
            fronts: fronts.collect(),
            rebalancing_until_ms: vec![0; settings.fronts],
            waiting: Default::default(),
            counts: Counts::default(),
            known_at_ms: vec![[None; TIMED_CHANGES_AT_MS.len()]; settings.fronts],
            appended_at_ms: [0; TIMED_CHANGES_AT_MS.len()],
            affected: BTreeSet::new(),
            affected_by: vec![Vec::new(); settings.faults.len()],
            fault_impact: FaultImpact::default(),
            lease_holders: BTreeSet::new(),
        }
    }

    fn start(&mut self) {
        for front in 0..self.fronts.len() {
            let after_ms = self.rng.below(START_WINDOW_MS);
            self.start_front(front, after_ms);
        }
        self.schedule(1, SimEvent::ReplicaAppend);
        self.schedule(1, SimEvent::IndexAppend);
        self.schedule(1, SimEvent::VersionAppend);
        for (change, at_ms) in TIMED_CHANGES_AT_MS.into_iter().enumerate() {
            self.schedule(at_ms, SimEvent::TimedAppend(change));
        }
        for (number, fault) in self.settings.faults.iter().enumerate() {
            self.schedule(fault.at_ms, SimEvent::FaultBegins(number));
            self.schedule(fault.at_ms + fault.duration_ms, SimEvent::FaultEnds(number));
        }
    }

    fn start_front(&mut self, front: usize, after_ms: u64) {
        for topic in 0..TOPICS.len() {
            self.fronts[front].followers[topic].is_pausing = true;
            self.schedule_read(front, topic, after_ms);
        }
        self.schedule_at_front(front, after_ms, FrontEvent::Join);
        self.schedule_at_front(front, after_ms, FrontEvent::CheckLease);
    }

    /// Schedules an event `after_ms` from now.
    fn schedule(&mut self, after_ms: u64, event: SimEvent) {
        self.scheduled += 1;
        self.events.push(Reverse(ScheduledEvent {
            at_ms: self.now_ms + after_ms,
            number: self.scheduled,
            event,
        }));
    }

    fn schedule_at_front(&mut self, front: usize, after_ms: u64, event: FrontEvent) {
        let incarnation = self.fronts[front].incarnation;
        self.schedule(
            after_ms,
            SimEvent::Front {
                front,
                incarnation,
                event,
            },
        );
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Front {
                front,
                incarnation,
                event,
            } => {
                let state = &self.fronts[front];
                if state.is_running && state.incarnation == incarnation {
                    self.handle_front_event(front, event);
                }
            }
            SimEvent::Appended { topic, record } => self.handle_append(topic, record),
            SimEvent::ReplicaAppend => {
                let workload = &self.settings.workload;
                let interval_ms = (workload.replica_record_ms / workload.replicas.max(1)).max(1);
                let bytes = workload.replica_record_bytes;
                self.append(REPLICAS, bytes, Body::Replica);
                self.schedule(interval_ms, SimEvent::ReplicaAppend);
            }
            SimEvent::IndexAppend => {
                let workload = &self.settings.workload;
                let interval_ms = (1_000 / workload.appends_per_s.max(1)).max(1);
                let bytes = workload.append_bytes;
                self.append(INDEX, bytes, Body::Step);
                self.schedule(interval_ms, SimEvent::IndexAppend);
            }
            SimEvent::VersionAppend => {
                self.append(OPERATOR, SMALL_RECORD_BYTES, Body::Step);
                self.schedule(self.settings.workload.version_ms, SimEvent::VersionAppend);
            }
            SimEvent::TimedAppend(change) => {
                let topic = [OPERATOR, REPLICAS, INDEX][change];
                self.append(topic, SMALL_RECORD_BYTES, Body::Timed(change));
            }
            SimEvent::FaultBegins(number) => self.begin_fault(number),
            SimEvent::FaultEnds(number) => self.end_fault(number),
        }
    }

    fn handle_front_event(&mut self, front: usize, event: FrontEvent) {
        match event {
            FrontEvent::ReadDue { topic, read } => self.start_read(front, topic, read),
            FrontEvent::WaitTimedOut { topic, read } => {
                let follower = &mut self.fronts[front].followers[topic];
                if follower.is_waiting && follower.read == read {
                    follower.is_waiting = false;
                    let next = follower.next;
                    let end = ReadOutcome::Empty;
                    self.schedule_at_front(
                        front,
                        ONE_WAY_MS,
                        FrontEvent::ReadAnswered { topic, end, next },
                    );
                }
            }
            FrontEvent::ReadAnswered { topic, end, next } => {
                self.handle_answer(front, topic, end, next)
            }
            FrontEvent::Join => self.join(front),
            FrontEvent::JoinAnswered {
                sent_ms,
                generation,
                partitions,
            } => self.handle_joined(front, sent_ms, generation, partitions),
            FrontEvent::CheckLease => {
                self.check_lease(front);
                self.schedule_at_front(front, LEASE_CHECK_INTERVAL_MS, FrontEvent::CheckLease);
            }
        }
    }
}
