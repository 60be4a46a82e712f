//! A simulated front: a follower per topic, its group membership and its view of the lease.

use lease::{Lease, LeaseSettings};
use ownership::{MEMBER_TTL_MS, Ownership, OwnershipSettings, Standby};
use pacing::{Activity, Demand, Pacer};

use crate::settings::SimSettings;
use crate::store::TOPICS;

/// Time without a successful write after which a member steps down. The simulation never blocks
/// writes, so this limit is never reached.
const UNWRITABLE_MS: u64 = 800;
/// Pause between the last order of one lease holder and the first order of the next.
const HOLDER_PAUSE_MS: u64 = 3_000;

/// A front's reader of one topic.
#[derive(Debug)]
pub struct Follower {
    /// Decides the interval and the waiting time of reads.
    pub pacer: Pacer,
    /// Offset of the next record to read.
    pub next: usize,
    /// Number of the current read. Events that carry an older number are ignored.
    pub read: u64,
    /// Whether a read is waiting at the store for a new record.
    pub is_waiting: bool,
    /// Whether the follower is in the interval before its next read.
    pub is_pausing: bool,
}

/// State of a simulated front.
pub struct Front {
    /// Indexed by topic.
    pub followers: [Follower; TOPICS.len()],
    /// Activities that need the newest records; they set the urgency of reads.
    pub demand: Demand,
    pub ownership: Ownership,
    /// Standby state of a small front; `None` for a large front, which is always a member.
    pub standby: Option<Standby>,
    /// The lease according to the records that this front has read.
    pub lease: Lease,
    /// Time at which this front last read the index to its end; 0 before the first time.
    pub index_current_ms: u64,
    /// False while a fault has killed or frozen the front.
    pub is_running: bool,
    /// Whether a fault makes the store refuse every call of this front.
    pub is_refused: bool,
    /// Incremented at each restart. Events of an earlier incarnation are ignored.
    pub incarnation: u64,
    pub started_ms: u64,
    /// Whether a trainer reads results at this front for the whole run.
    pub has_trainer: bool,
}

impl Front {
    /// Creates a front that has read no records and is not a member yet.
    pub fn new(number: usize, settings: &SimSettings, incarnation: u64, now_ms: u64) -> Self {
        let large = settings.large_count();
        let follower = |topic| Follower {
            pacer: Pacer::new(match topic {
                crate::store::REPLICAS => settings.replica_pace,
                _ => settings.log_pace,
            }),
            next: 0,
            read: 0,
            is_waiting: false,
            is_pausing: false,
        };
        // Lease attempts of two incarnations of a front must have different numbers.
        let first_attempt = (number as u64) << 40 | incarnation << 32;
        let lease_settings = LeaseSettings::with_pause(HOLDER_PAUSE_MS);
        Self {
            followers: std::array::from_fn(follower),
            demand: Demand::default(),
            ownership: Ownership::new(OwnershipSettings {
                ttl_ms: MEMBER_TTL_MS,
                unwritable_ms_max: UNWRITABLE_MS,
            }),
            standby: (number >= large).then(Standby::default),
            lease: Lease::new(&number.to_string(), first_attempt, lease_settings),
            index_current_ms: 0,
            is_running: true,
            is_refused: false,
            incarnation,
            started_ms: now_ms,
            has_trainer: (large..large + settings.workload.trainers).contains(&number),
        }
    }

    /// Whether this front may run the shard of a partition now.
    pub fn owns(&self, partition: u32, now_ms: u64) -> bool {
        self.ownership.owns(partition, now_ms)
    }

    /// Whether any partition is assigned to this front.
    pub fn owns_any(&self) -> bool {
        !self.ownership.partitions().is_empty()
    }

    /// Updates the activities that determine how urgently this front reads.
    pub fn update_demand(&self, shards: u32, partitions: u32, now_ms: u64) {
        let runs_items = (0..shards).any(|shard| self.owns(partitions - 1 - shard, now_ms));
        self.demand.set_active(Activity::Items, runs_items);
        self.demand
            .set_active(Activity::Orders, self.lease.is_held_here());
        let succeeds = lease::is_successor(self.ownership.partitions().iter());
        // A trainer's reads have the same urgency as the successor to the lease.
        let active = succeeds || self.has_trainer;
        self.demand.set_active(Activity::LeaseSuccessor, active);
    }

    /// Time since this front last read the index to its end; `None` before the first time.
    pub fn index_age_ms(&self, now_ms: u64) -> Option<u64> {
        (self.index_current_ms > 0).then(|| now_ms - self.index_current_ms)
    }
}
