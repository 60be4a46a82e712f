//! Which partitions of a group a process may act for, when it gives them up, and which part of
//! the work stands behind each.
//!
//! A store deals the partitions of a group to its members for a time to live that it counts
//! from the arrival of a join. The member counts from the moment at which it *sent* the join,
//! by a clock that counts suspension, so it stops before the store hands the partition on,
//! however late an answer comes and however long it was frozen. A member that can't write what
//! it makes stands back: a store may take its joins and refuse its records, and it would hold
//! on to its partitions and finish nothing.
//!
//! A store that deals all partitions anew at once, without a request, is the one case in which
//! two members act for a partition, for a time to live at most. What they do must bear that.

mod partition;
mod shard;
mod standby;
mod times;

use std::collections::BTreeSet;

pub use partition::partition_of;
pub use shard::{
    LARGE_SHARD_SLOTS, SMALL_SHARD_SLOTS, assign_groups, replica_shards, shard_count,
    shard_partition,
};
pub use standby::Standby;
pub use times::{MEMBER_TTL_MS, REBALANCE_MS, join_interval_ms};

/// Times of a membership.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipSettings {
    /// Time to live of a member, in milliseconds.
    pub ttl_ms: u64,
    /// How long nothing may be written before the member stands back, in milliseconds.
    pub unwritable_ms_max: u64,
}

/// What the member does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Join, or stay.
    Join {
        /// Generation of the group that was last heard of; 0 for none. It tells the store
        /// which partitions the member knows to have lost.
        generation: u64,
    },
    /// Leave, as nothing can be written.
    StepDown,
    /// Stay away until something can be written.
    Wait,
}

/// A membership as its member knows it.
#[derive(Clone, Debug)]
pub struct Ownership {
    settings: OwnershipSettings,
    generation: u64,
    partitions: BTreeSet<u32>,
    /// Partitions that were owned last and that no answer has dealt to another member.
    last_owned: BTreeSet<u32>,
    /// Partitions that were given to others while the membership held: nobody acted for them
    /// before.
    reassigned: BTreeSet<u32>,
    until_ms: u64,
    stepped_down: bool,
}

impl Ownership {
    /// Nothing is owned.
    pub fn new(settings: OwnershipSettings) -> Self {
        Self {
            settings,
            generation: 0,
            partitions: BTreeSet::new(),
            last_owned: BTreeSet::new(),
            reassigned: BTreeSet::new(),
            until_ms: 0,
            stepped_down: false,
        }
    }

    /// What to do, when nothing could be written for so long; 0 while writes are done.
    pub fn next_action(&self, unwritable_ms: u64) -> MembershipAction {
        match self.stepped_down {
            true if unwritable_ms > 0 => MembershipAction::Wait,
            false if unwritable_ms > self.settings.unwritable_ms_max => MembershipAction::StepDown,
            _ => MembershipAction::Join {
                generation: self.generation,
            },
        }
    }

    /// A join that was sent at this moment was answered; true if the group changed.
    pub fn record_join(
        &mut self,
        sent_ms: u64,
        generation: u64,
        partitions: impl IntoIterator<Item = u32>,
    ) -> bool {
        let changed = generation != self.generation;
        self.stepped_down = false;
        self.generation = generation;
        self.partitions = partitions.into_iter().collect();
        if self.until_ms > 0 && sent_ms >= self.until_ms {
            self.reassigned.clear();
        } else {
            self.reassigned.append(&mut self.last_owned);
        }
        self.reassigned = &self.reassigned - &self.partitions;
        self.last_owned.clone_from(&self.partitions);
        self.until_ms = sent_ms + self.settings.ttl_ms;
        changed
    }

    /// Gives all partitions up at once, before the store is told.
    pub fn step_down(&mut self) {
        *self = Self {
            stepped_down: true,
            last_owned: std::mem::take(&mut self.last_owned),
            reassigned: std::mem::take(&mut self.reassigned),
            ..Self::new(self.settings)
        };
    }

    /// The store knows that the partitions are given up, and deals them to others.
    pub fn record_leave(&mut self) {
        self.reassigned.append(&mut self.last_owned);
    }

    /// Time to live that a join asks for, in milliseconds.
    pub fn ttl_ms(&self) -> u64 {
        self.settings.ttl_ms
    }

    /// The partitions, whether or not their time is over.
    pub fn partitions(&self) -> &BTreeSet<u32> {
        &self.partitions
    }

    /// Whether work that was begun for a partition may go on. It may while nothing is known of
    /// another owner: a store that is away as a whole deals to nobody, and what is finished
    /// meanwhile is there when it returns. It may as well where the partition was handed on
    /// while the membership held, as its next owner is told what goes on; and where it was given
    /// up as nothing can be written: a store that refuses all records may go on with its
    /// groups, and the next owner can't write either. Else, where another member was dealt the
    /// partition, the work is done twice for as long as one item takes.
    pub fn may_finish(&self, partition: u32) -> bool {
        self.last_owned.contains(&partition) || self.is_reassigned(partition)
    }

    /// Whether another member has the partition, and must be told of work that goes on here.
    pub fn is_reassigned(&self, partition: u32) -> bool {
        self.reassigned.contains(&partition)
    }

    /// Whether the member may act for a partition now.
    pub fn owns(&self, partition: u32, now_ms: u64) -> bool {
        now_ms < self.until_ms && self.partitions.contains(&partition)
    }
}
