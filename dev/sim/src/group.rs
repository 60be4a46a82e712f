//! The store's group: sticky assignment of partitions to members with a time to live.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};

/// A group over one topic.
#[derive(Debug)]
pub struct Group {
    partitions: u32,
    generation: u64,
    /// End of each member's time to live.
    members: BTreeMap<usize, u64>,
    owners: BTreeMap<u32, usize>,
}

impl Group {
    /// A group without members.
    pub fn new(partitions: u32) -> Self {
        Self {
            partitions,
            generation: 0,
            members: BTreeMap::new(),
            owners: BTreeMap::new(),
        }
    }

    /// Joins or stays; gives the generation and the member's partitions.
    pub fn join(&mut self, member: usize, until_ms: u64, now_ms: u64) -> (u64, Vec<u32>) {
        self.expire(now_ms);
        if self.members.insert(member, until_ms).is_none() {
            self.generation += 1;
        }
        let even = (self.partitions as usize).div_ceil(self.members.len());
        let mut owned = self.owned(member);
        // What is beyond an even part goes to whoever joins next.
        for partition in owned.iter().skip(even) {
            self.owners.remove(partition);
        }
        owned.truncate(even);
        for partition in 0..self.partitions {
            if owned.len() == even {
                break;
            }
            if let Entry::Vacant(free) = self.owners.entry(partition) {
                free.insert(member);
                owned.push(partition);
            }
        }
        (self.generation, owned)
    }

    /// Leaves.
    pub fn leave(&mut self, member: usize) {
        if self.members.remove(&member).is_some() {
            self.generation += 1;
            self.owners.retain(|_, owner| *owner != member);
        }
    }

    /// Whether a member below this number has a partition.
    pub fn is_owned_below(&mut self, member: usize, now_ms: u64) -> bool {
        self.expire(now_ms);
        self.owners.values().any(|owner| *owner < member)
    }

    fn owned(&self, member: usize) -> Vec<u32> {
        let owned = self.owners.iter().filter(|(_, owner)| **owner == member);
        owned.map(|(partition, _)| *partition).collect()
    }

    fn expire(&mut self, now_ms: u64) {
        let gone: BTreeSet<usize> = self
            .members
            .iter()
            .filter(|(_, until_ms)| **until_ms <= now_ms)
            .map(|(member, _)| *member)
            .collect();
        if gone.is_empty() {
            return;
        }
        self.generation += 1;
        self.members.retain(|member, _| !gone.contains(member));
        self.owners.retain(|_, owner| !gone.contains(owner));
    }
}
