//! One front: three followers, a membership and a view of the lease.

use lease::{Lease, LeaseSettings};
use ownership::{MEMBER_TTL_MS, Ownership, OwnershipSettings, Standby};
use pacing::{Activity, Demand, Pacer};

use crate::settings::SimSettings;
use crate::store::TOPICS;

/// How long nothing may be written before a member steps down; nothing of it is simulated.
const UNWRITABLE_MS: u64 = 800;
/// Pause between the orders of two holders.
const HOLDER_PAUSE_MS: u64 = 3_000;

/// One follower.
#[derive(Debug)]
pub struct Follower {
    /// When it reads next.
    pub pacer: Pacer,
    /// Next offset.
    pub next: usize,
    /// Number of the read in progress; events of earlier ones are void.
    pub read: u64,
    /// Whether a read waits at the store.
    pub waits: bool,
    /// Whether the interval before the next read goes on.
    pub pauses: bool,
}

/// One front.
pub struct Front {
    /// Its followers, by topic.
    pub followers: [Follower; TOPICS.len()],
    /// Who needs the newest records.
    pub demand: Demand,
    /// Its membership.
    pub ownership: Ownership,
    /// What it knows of larger fronts, where it stands by for them.
    pub standby: Option<Standby>,
    /// The lease as it sees it.
    pub lease: Lease,
    /// When the index was read to its end last.
    pub index_current_ms: u64,
    /// Whether it runs.
    pub runs: bool,
    /// Whether the store refuses it.
    pub turned_away: bool,
    /// Counts its starts; events of an earlier one are void.
    pub incarnation: u64,
    /// When it started.
    pub started_ms: u64,
    /// Whether a client waits there all the time.
    pub has_trainer: bool,
}

impl Front {
    /// A front that knows nothing yet.
    pub fn new(number: usize, settings: &SimSettings, incarnation: u64, now_ms: u64) -> Self {
        let large = settings.large();
        let follower = |topic| Follower {
            pacer: Pacer::new(match topic {
                crate::store::REPLICAS => settings.replica_pace,
                _ => settings.log_pace,
            }),
            next: 0,
            read: 0,
            waits: false,
            pauses: false,
        };
        // Attempts of two incarnations must differ.
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
            runs: true,
            turned_away: false,
            incarnation,
            started_ms: now_ms,
            has_trainer: (large..large + settings.workload.trainers).contains(&number),
        }
    }

    /// Whether it may run a shard now.
    pub fn owns(&self, partition: u32, now_ms: u64) -> bool {
        self.ownership.owns(partition, now_ms)
    }

    /// Whether a partition was assigned to it.
    pub fn owns_any(&self) -> bool {
        !self.ownership.partitions().is_empty()
    }

    /// Notes what it acts on.
    pub fn note_demand(&self, shards: u32, partitions: u32, now_ms: u64) {
        let runs_items = (0..shards).any(|shard| self.owns(partitions - 1 - shard, now_ms));
        self.demand.set_active(Activity::Items, runs_items);
        self.demand
            .set_active(Activity::Orders, self.lease.is_held_here());
        let succeeds = lease::is_successor(self.ownership.partitions().iter());
        // A trainer reads at one front all day here; its urgency is the same.
        let active = succeeds || self.has_trainer;
        self.demand.set_active(Activity::Standby, active);
    }

    /// How old its knowledge of the index is; none before it was read once.
    pub fn index_age_ms(&self, now_ms: u64) -> Option<u64> {
        (self.index_current_ms > 0).then(|| now_ms - self.index_current_ms)
    }
}
