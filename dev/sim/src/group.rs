//! Consumer group of the store: members expire after a time to live, and each keeps its
//! partitions as far as an even distribution allows.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// A group whose members share the partitions of one topic.
#[derive(Debug)]
pub struct Group {
    partitions: u32,
    generation: u64,
    /// Expiry time of each member, in milliseconds.
    members: BTreeMap<usize, u64>,
    owners: BTreeMap<u32, usize>,
}

impl Group {
    pub fn new(partitions: u32) -> Self {
        Self {
            partitions,
            generation: 0,
            members: BTreeMap::new(),
            owners: BTreeMap::new(),
        }
    }

    /// Adds a member or renews its time to live; returns the generation and its partitions.
    pub fn join(&mut self, member: usize, until_ms: u64, now_ms: u64) -> (u64, Vec<u32>) {
        self.expire(now_ms);
        if self.members.insert(member, until_ms).is_none() {
            self.generation += 1;
        }
        let fair_share = (self.partitions as usize).div_ceil(self.members.len());
        let mut owned = self.owned(member);
        // Partitions beyond the fair share become free for the next member that joins.
        for partition in owned.iter().skip(fair_share) {
            self.owners.remove(partition);
        }
        owned.truncate(fair_share);
        for partition in 0..self.partitions {
            if owned.len() == fair_share {
                break;
            }
            if let Entry::Vacant(free) = self.owners.entry(partition) {
                free.insert(member);
                owned.push(partition);
            }
        }
        (self.generation, owned)
    }

    /// Removes a member and frees its partitions.
    pub fn leave(&mut self, member: usize) {
        if self.members.remove(&member).is_some() {
            self.generation += 1;
            self.owners.retain(|_, owner| *owner != member);
        }
    }

    /// Whether a member with a lower number than `member` owns a partition.
    pub fn is_owned_below(&mut self, member: usize, now_ms: u64) -> bool {
        self.expire(now_ms);
        self.owners.values().any(|owner| *owner < member)
    }

    fn owned(&self, member: usize) -> Vec<u32> {
        let owned = self.owners.iter().filter(|(_, owner)| **owner == member);
        owned.map(|(partition, _)| *partition).collect()
    }

    fn expire(&mut self, now_ms: u64) {
        let expired: BTreeSet<usize> = self
            .members
            .iter()
            .filter(|(_, until_ms)| **until_ms <= now_ms)
            .map(|(member, _)| *member)
            .collect();
        if expired.is_empty() {
            return;
        }
        self.generation += 1;
        self.members.retain(|member, _| !expired.contains(member));
        self.owners.retain(|_, owner| !expired.contains(owner));
    }
}
