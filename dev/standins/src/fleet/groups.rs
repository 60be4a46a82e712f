//! Consumer groups of the store: members and the partitions assigned to them.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

struct Member {
    expires_at: Instant,
    /// Partitions in the answer to the member's last join.
    owned_partitions: Vec<u32>,
}

/// A group whose members share the partitions of a topic.
#[derive(Default)]
pub(super) struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Shifts the assignment of partitions to members.
    rotation: usize,
}

impl Group {
    /// Adds a member or renews its membership. Returns the generation of the group and the member's
    /// partitions.
    pub(super) fn join(&mut self, name: &str, ttl_ms: u64, partitions: u32) -> (u64, Vec<u32>) {
        self.expire();
        let expires_at = Instant::now() + Duration::from_millis(ttl_ms);
        if !self.members.contains_key(name) {
            self.generation += 1;
        }
        let member = Member {
            expires_at,
            owned_partitions: Vec::new(),
        };
        let member = self.members.entry(name.to_owned()).or_insert(member);
        member.expires_at = expires_at;
        let mut own = self.target_partitions(name, partitions);
        // A partition stays with its owner until the owner joins again and gives it up.
        own.retain(|partition| !self.is_owned_elsewhere(name, *partition));
        if let Some(member) = self.members.get_mut(name) {
            member.owned_partitions = own.clone();
        }
        (self.generation, own)
    }

    /// Partitions with the names of their owners.
    pub(super) fn owners(&mut self) -> Vec<(u32, String)> {
        self.expire();
        let owned = |(name, member): (&String, &Member)| {
            let partitions = member.owned_partitions.iter();
            partitions
                .map(|partition| (*partition, name.clone()))
                .collect::<Vec<_>>()
        };
        self.members.iter().flat_map(owned).collect()
    }

    pub(super) fn leave(&mut self, name: &str) {
        if self.members.remove(name).is_some() {
            self.generation += 1;
        }
    }

    /// Reassigns all partitions at once, without waiting for their owners to join again.
    pub(super) fn reassign_partitions(&mut self) {
        self.rotation += 1;
        self.generation += 1;
        self.members
            .values_mut()
            .for_each(|member| member.owned_partitions.clear());
    }

    fn target_partitions(&self, name: &str, partitions: u32) -> Vec<u32> {
        let count = self.members.len();
        let position = self.members.keys().position(|member| member == name);
        let Some(position) = position else {
            return Vec::new();
        };
        let own = |partition: &u32| (*partition as usize + self.rotation) % count == position;
        (0..partitions).filter(own).collect()
    }

    fn is_owned_elsewhere(&self, name: &str, partition: u32) -> bool {
        let mut others = self.members.iter().filter(|(other, _)| *other != name);
        others.any(|(_, member)| member.owned_partitions.contains(&partition))
    }

    fn expire(&mut self) {
        let before = self.members.len();
        let now = Instant::now();
        self.members.retain(|_, member| now < member.expires_at);
        if self.members.len() != before {
            self.generation += 1;
        }
    }
}
