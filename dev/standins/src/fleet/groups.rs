//! Groups of the store: members and the partitions that are dealt to them.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

struct Member {
    until: Instant,
    /// Partitions that it was told of.
    holds: Vec<u32>,
}

/// One group over one topic.
#[derive(Default)]
pub(super) struct Group {
    generation: u64,
    members: BTreeMap<String, Member>,
    /// Turns the deal, so that all partitions change hands.
    turn: usize,
}

impl Group {
    /// Joins or stays; gives the generation and the partitions of the member.
    pub(super) fn join(&mut self, name: &str, ttl_ms: u64, partitions: u32) -> (u64, Vec<u32>) {
        self.expire();
        let until = Instant::now() + Duration::from_millis(ttl_ms);
        if !self.members.contains_key(name) {
            self.generation += 1;
        }
        let member = Member {
            until,
            holds: Vec::new(),
        };
        let member = self.members.entry(name.to_owned()).or_insert(member);
        member.until = until;
        let mut mine = self.dealt(name, partitions);
        // What another member was told of is its own until it joins again.
        mine.retain(|partition| !self.is_held_elsewhere(name, *partition));
        if let Some(member) = self.members.get_mut(name) {
            member.holds = mine.clone();
        }
        (self.generation, mine)
    }

    /// Partitions that members were told of, with their names.
    pub(super) fn owners(&mut self) -> Vec<(u32, String)> {
        self.expire();
        let held = |(name, member): (&String, &Member)| {
            let holds = member.holds.iter();
            holds.map(|held| (*held, name.clone())).collect::<Vec<_>>()
        };
        self.members.iter().flat_map(held).collect()
    }

    pub(super) fn leave(&mut self, name: &str) {
        if self.members.remove(name).is_some() {
            self.generation += 1;
        }
    }

    /// Deals all partitions anew, at once and without a request.
    pub(super) fn reassign_partitions(&mut self) {
        self.turn += 1;
        self.generation += 1;
        self.members
            .values_mut()
            .for_each(|member| member.holds.clear());
    }

    fn dealt(&self, name: &str, partitions: u32) -> Vec<u32> {
        let count = self.members.len();
        let place = self.members.keys().position(|member| member == name);
        let Some(place) = place else {
            return Vec::new();
        };
        let mine = |partition: &u32| (*partition as usize + self.turn) % count == place;
        (0..partitions).filter(mine).collect()
    }

    fn is_held_elsewhere(&self, name: &str, partition: u32) -> bool {
        let mut others = self.members.iter().filter(|(other, _)| *other != name);
        others.any(|(_, member)| member.holds.contains(&partition))
    }

    fn expire(&mut self) {
        let before = self.members.len();
        let now = Instant::now();
        self.members.retain(|_, member| now < member.until);
        if self.members.len() != before {
            self.generation += 1;
        }
    }
}
