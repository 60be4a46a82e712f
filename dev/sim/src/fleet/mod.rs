//! The event loop: fronts, the store, what is written and what is lost.

mod losses;
mod membership;
mod outcome;
mod reading;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use lease::{LeaseRecord, is_candidate};
use ownership::{REBALANCE_MS, join_interval_ms};
use pacing::ReadOutcome;

use crate::SimError;
use crate::draws::Draws;
use crate::front::Front;
use crate::log::{Body, Record};
use crate::report::{Report, Spread};
use crate::settings::{Fault, FaultKind, SimSettings};
use crate::store::{INDEX, OPERATOR, REPLICAS, Store, TOPICS};

/// One way between a front and the store.
const ONE_WAY_MS: u64 = 2;
/// Fronts start within this time of each other.
const START_MS: u64 = 300;
/// Pause between two looks of a front that stands by.
const STANDBY_MS: u64 = 1_000;
/// How often a front considers the lease.
const LEADER_MS: u64 = 100;
/// How old the knowledge of the index may be for taking part in the lease.
const INDEX_AGE_MS_MAX: u64 = 1_000;
/// Most bytes of one read.
const PAGE_BYTES: u64 = 64 * 1024;
/// Calls are counted from here on, when all fronts have started.
const COUNTED_FROM_MS: u64 = 5_000;
/// When the changes are made whose way is timed.
const MARKS_AT_MS: [u64; 3] = [6_000, 7_000, 8_000];
/// Lengths of small records.
const SMALL_BYTES: u64 = 40;

/// Index of the timed changes.
const CONFIGURATION: usize = 0;
const DRAINING: usize = 1;
const ACCEPTED: usize = 2;

#[derive(Debug)]
enum Event {
    ReadDue {
        topic: usize,
        read: u64,
    },
    WaitOver {
        topic: usize,
        read: u64,
    },
    Answered {
        topic: usize,
        end: ReadOutcome,
        next: usize,
    },
    Join,
    Joined {
        sent_ms: u64,
        generation: u64,
        partitions: Vec<u32>,
    },
    Lead,
}

#[derive(Debug)]
enum Happening {
    /// At one incarnation of a front.
    Front {
        front: usize,
        incarnation: u64,
        event: Event,
    },
    Appended {
        topic: usize,
        record: Record,
    },
    ReplicaRecord,
    Work,
    Version,
    Mark(usize),
    FaultBegins(usize),
    FaultEnds(usize),
}

/// Orders events by time, then by the order in which they were made.
#[derive(Debug)]
struct Scheduled {
    at_ms: u64,
    number: u64,
    what: Happening,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.number) == (other.at_ms, other.number)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
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

/// What a fault did to the holder and to the owner of the first shard.
#[derive(Debug, Default)]
struct Losses {
    holder: Option<(usize, u64)>,
    owner: Option<(usize, u64)>,
    holder_gap_ms: u64,
    owner_gap_ms: u64,
}

struct Fleet<'a> {
    settings: &'a SimSettings,
    draws: Draws,
    now_ms: u64,
    events: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    store: Store,
    fronts: Vec<Front>,
    settling_until_ms: Vec<u64>,
    waiting: [Vec<(usize, u64)>; TOPICS.len()],
    counts: Counts,
    /// When each front knew each timed change.
    known_ms: Vec<[Option<u64>; MARKS_AT_MS.len()]>,
    appended_ms: [u64; MARKS_AT_MS.len()],
    /// Fronts that a fault met.
    met: BTreeSet<usize>,
    met_by: Vec<Vec<usize>>,
    losses: Losses,
    orderers: BTreeSet<usize>,
}

/// Plays one day.
pub fn simulate(settings: &SimSettings) -> Result<Report, SimError> {
    settings.check()?;
    let mut fleet = Fleet::new(settings);
    fleet.start();
    while let Some(Reverse(next)) = fleet.events.pop() {
        if next.at_ms >= settings.day_ms {
            break;
        }
        fleet.now_ms = next.at_ms;
        fleet.happen(next.what);
    }
    Ok(fleet.report())
}

impl<'a> Fleet<'a> {
    fn new(settings: &'a SimSettings) -> Self {
        let fronts = (0..settings.fronts).map(|front| Front::new(front, settings, 0, 0));
        Self {
            settings,
            draws: Draws::new(settings.seed),
            now_ms: 0,
            events: BinaryHeap::new(),
            scheduled: 0,
            store: Store::new(settings.partitions, settings.reads_per_s),
            fronts: fronts.collect(),
            settling_until_ms: vec![0; settings.fronts],
            waiting: Default::default(),
            counts: Counts::default(),
            known_ms: vec![[None; MARKS_AT_MS.len()]; settings.fronts],
            appended_ms: [0; MARKS_AT_MS.len()],
            met: BTreeSet::new(),
            met_by: vec![Vec::new(); settings.faults.len()],
            losses: Losses::default(),
            orderers: BTreeSet::new(),
        }
    }

    fn start(&mut self) {
        for front in 0..self.fronts.len() {
            let after_ms = self.draws.below(START_MS);
            self.start_front(front, after_ms);
        }
        self.schedule(1, Happening::ReplicaRecord);
        self.schedule(1, Happening::Work);
        self.schedule(1, Happening::Version);
        for (mark, at_ms) in MARKS_AT_MS.into_iter().enumerate() {
            self.schedule(at_ms, Happening::Mark(mark));
        }
        for (number, fault) in self.settings.faults.iter().enumerate() {
            self.schedule(fault.at_ms, Happening::FaultBegins(number));
            self.schedule(fault.at_ms + fault.for_ms, Happening::FaultEnds(number));
        }
    }

    fn start_front(&mut self, front: usize, after_ms: u64) {
        for topic in 0..TOPICS.len() {
            self.fronts[front].followers[topic].pauses = true;
            self.read_after(front, topic, after_ms);
        }
        self.at_front(front, after_ms, Event::Join);
        self.at_front(front, after_ms, Event::Lead);
    }

    /// Schedules at a time from now.
    fn schedule(&mut self, after_ms: u64, what: Happening) {
        self.scheduled += 1;
        self.events.push(Reverse(Scheduled {
            at_ms: self.now_ms + after_ms,
            number: self.scheduled,
            what,
        }));
    }

    fn at_front(&mut self, front: usize, after_ms: u64, event: Event) {
        let incarnation = self.fronts[front].incarnation;
        self.schedule(
            after_ms,
            Happening::Front {
                front,
                incarnation,
                event,
            },
        );
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Front {
                front,
                incarnation,
                event,
            } => {
                let state = &self.fronts[front];
                if state.runs && state.incarnation == incarnation {
                    self.at(front, event);
                }
            }
            Happening::Appended { topic, record } => self.appended(topic, record),
            Happening::ReplicaRecord => {
                let workload = &self.settings.workload;
                let interval_ms = (workload.replica_record_ms / workload.replicas.max(1)).max(1);
                let bytes = workload.replica_record_bytes;
                self.append(REPLICAS, bytes, Body::Replica);
                self.schedule(interval_ms, Happening::ReplicaRecord);
            }
            Happening::Work => {
                let workload = &self.settings.workload;
                let interval_ms = (1_000 / workload.appends_per_s.max(1)).max(1);
                let bytes = workload.append_bytes;
                self.append(INDEX, bytes, Body::Step);
                self.schedule(interval_ms, Happening::Work);
            }
            Happening::Version => {
                self.append(OPERATOR, SMALL_BYTES, Body::Step);
                self.schedule(self.settings.workload.version_ms, Happening::Version);
            }
            Happening::Mark(mark) => {
                let topic = [OPERATOR, REPLICAS, INDEX][mark];
                self.append(topic, SMALL_BYTES, Body::Marked(mark));
            }
            Happening::FaultBegins(number) => self.fault_begins(number),
            Happening::FaultEnds(number) => self.fault_ends(number),
        }
    }

    fn at(&mut self, front: usize, event: Event) {
        match event {
            Event::ReadDue { topic, read } => self.read(front, topic, read),
            Event::WaitOver { topic, read } => {
                let follower = &mut self.fronts[front].followers[topic];
                if follower.waits && follower.read == read {
                    follower.waits = false;
                    let next = follower.next;
                    let end = ReadOutcome::Empty;
                    self.at_front(front, ONE_WAY_MS, Event::Answered { topic, end, next });
                }
            }
            Event::Answered { topic, end, next } => self.answered(front, topic, end, next),
            Event::Join => self.join(front),
            Event::Joined {
                sent_ms,
                generation,
                partitions,
            } => self.joined(front, sent_ms, generation, partitions),
            Event::Lead => {
                self.lead(front);
                self.at_front(front, LEADER_MS, Event::Lead);
            }
        }
    }
}
