//! Membership in the group of fronts that run steps: which partitions a process owns, when it
//! gives them up, and which share of the work each partition stands for.
//!
//! The store assigns the partitions of a group to its members for a time to live (TTL), which it
//! counts from the arrival of a join. The member counts from the moment at which it *sent* the
//! join, by a clock that continues during suspension. It therefore stops before the store reassigns
//! a partition, no matter how late an answer arrives or how long the process was frozen. A member
//! that cannot write its results leaves the group: a store may accept its joins and refuse its
//! records, and the member would keep its partitions and complete nothing.
//!
//! Two members act for the same partition in one case only: when the store reassigns all
//! partitions at once without waiting for their owners. This lasts for one TTL at most, and the
//! work must tolerate it.

mod partition;
mod shard;
mod standby;
mod times;

use std::collections::{BTreeMap, BTreeSet};

pub use partition::partition_of;
pub use shard::{
    LARGE_SHARD_SLOTS, SMALL_SHARD_SLOTS, assign_groups, replica_shards, shard_count,
    shard_partition,
};
pub use standby::Standby;
pub use times::{MEMBER_TTL_MS, REBALANCE_MS, join_interval_ms};

/// Settings of a membership.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipSettings {
    /// TTL that the member requests, in milliseconds.
    pub ttl_ms: u64,
    /// How long writes may fail before the member leaves the group, in milliseconds.
    pub unwritable_ms_max: u64,
}

/// Next action of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a join, or renew the membership with one.
    Join {
        /// Newest generation of the group that the member has received; 0 for none. The store
        /// derives from it which reassignments the member has learned of.
        generation: u64,
    },
    /// Leave the group because writes fail.
    StepDown,
    /// Stay out of the group until writes succeed.
    Wait,
}

/// What the answer to a join changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JoinChange {
    /// Whether the group has another generation than by the answer before.
    pub is_new_generation: bool,
    /// Whether the member owns a partition that it did not own before.
    pub has_gained: bool,
}

/// The membership, as the member derives it from the answers to its joins.
#[derive(Clone, Debug)]
pub struct Ownership {
    settings: OwnershipSettings,
    generation: u64,
    partitions: BTreeSet<u32>,
    /// Last owned partitions that, as far as this member knows, were not reassigned.
    last_owned: BTreeSet<u32>,
    /// Partitions that were gained, with the number of the last read of the records that was sent
    /// before. Their former owner has written what work it goes on with.
    gained: BTreeMap<u32, u64>,
    /// Partitions that were reassigned without a lapse of the membership, so that no other member
    /// acted for them in the meantime.
    reassigned: BTreeSet<u32>,
    /// End of the TTL; 0 before the first join and after stepping down.
    until_ms: u64,
    stepped_down: bool,
}

impl Ownership {
    /// Creates a membership without partitions.
    pub fn new(settings: OwnershipSettings) -> Self {
        Self {
            settings,
            generation: 0,
            partitions: BTreeSet::new(),
            last_owned: BTreeSet::new(),
            gained: BTreeMap::new(),
            reassigned: BTreeSet::new(),
            until_ms: 0,
            stepped_down: false,
        }
    }

    /// The next action, given how long writes have failed; 0 means that they succeed.
    pub fn next_action(&self, unwritable_ms: u64) -> MembershipAction {
        match self.stepped_down {
            true if unwritable_ms > 0 => MembershipAction::Wait,
            false if unwritable_ms > self.settings.unwritable_ms_max => MembershipAction::StepDown,
            _ => MembershipAction::Join {
                generation: self.generation,
            },
        }
    }

    /// Records the answer to a join that was sent at `sent_ms`. `reads_sent` is the number of the last
    /// read of the records that was sent before the answer arrived.
    pub fn record_join(
        &mut self,
        sent_ms: u64,
        generation: u64,
        partitions: impl IntoIterator<Item = u32>,
        reads_sent: u64,
    ) -> JoinChange {
        let is_new_generation = generation != self.generation;
        self.stepped_down = false;
        self.generation = generation;
        let before = std::mem::replace(&mut self.partitions, partitions.into_iter().collect());
        let has_lapsed = self.until_ms > 0 && sent_ms >= self.until_ms;
        let is_gained = |partition: &&u32| has_lapsed || !before.contains(partition);
        let gained: Vec<u32> = self.partitions.iter().filter(is_gained).copied().collect();
        self.gained
            .retain(|partition, _| self.partitions.contains(partition));
        self.gained
            .extend(gained.iter().map(|partition| (*partition, reads_sent)));
        if has_lapsed {
            self.reassigned.clear();
        } else {
            self.reassigned.append(&mut self.last_owned);
        }
        self.reassigned = &self.reassigned - &self.partitions;
        self.last_owned.clone_from(&self.partitions);
        self.until_ms = sent_ms + self.settings.ttl_ms;
        JoinChange {
            is_new_generation,
            has_gained: !gained.is_empty(),
        }
    }

    /// Gives up all partitions immediately, before the store is notified.
    pub fn step_down(&mut self) {
        *self = Self {
            stepped_down: true,
            last_owned: std::mem::take(&mut self.last_owned),
            reassigned: std::mem::take(&mut self.reassigned),
            ..Self::new(self.settings)
        };
    }

    /// Notes that the store has processed the leave and reassigns the partitions.
    pub fn record_leave(&mut self) {
        self.reassigned.append(&mut self.last_owned);
    }

    /// Generation of the group by the last answer.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// TTL that a join requests, in milliseconds.
    pub fn ttl_ms(&self) -> u64 {
        self.settings.ttl_ms
    }

    /// The partitions of the last answer, even if the TTL has passed.
    pub fn partitions(&self) -> &BTreeSet<u32> {
        &self.partitions
    }

    /// Whether work that was started for a partition may continue.
    ///
    /// It may in three cases:
    ///
    /// - No other owner is known. A store that is unreachable as a whole assigns partitions to
    ///   nobody, and work that completes meanwhile can be written when it returns.
    /// - The partition was reassigned without a lapse of the membership. The next owner is notified
    ///   of the work that continues here.
    /// - The partition was given up because writes fail. A store that refuses all records may still
    ///   manage its groups, but the next owner can't write either.
    ///
    /// In all other cases another member owns the partition, and continuing would duplicate work
    /// for as long as one item takes.
    pub fn may_finish(&self, partition: u32) -> bool {
        self.last_owned.contains(&partition) || self.is_reassigned(partition)
    }

    /// Whether the partition was reassigned without a lapse of the membership. The new owner must
    /// be notified of work that continues here.
    pub fn is_reassigned(&self, partition: u32) -> bool {
        self.reassigned.contains(&partition)
    }

    /// Whether the records were read after the member gained a partition. `read` is the number of the
    /// last read that reached their end. A copy from before may lack what the former owner wrote about
    /// the work that it goes on with, and that work would be done twice.
    pub fn has_read_since_gain(&self, partition: u32, read: u64) -> bool {
        self.gained
            .get(&partition)
            .is_none_or(|reads_sent| read > *reads_sent)
    }

    /// Whether the member owns a partition and its TTL has not passed.
    pub fn owns(&self, partition: u32, now_ms: u64) -> bool {
        now_ms < self.until_ms && self.partitions.contains(&partition)
    }
}
