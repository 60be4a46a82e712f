//! One accepted step.

use std::collections::HashMap;
use std::sync::Arc;

use derive::value;

use crate::{ResultState, SavedPiece, StepHead, StepId};

/// A result at its position.
#[value]
pub struct ListedResult {
    /// Number of the item in the step.
    pub item: u32,
    /// How it ended.
    pub state: ResultState,
}

/// What is known of an item besides its head.
#[value]
#[derive(Copy, Default)]
pub struct ItemProgress {
    /// Whether it has a position.
    pub listed: bool,
    /// Runs that failed, over all processes.
    pub failed_runs: u32,
    /// Reward calls that failed, over all processes.
    pub failed_rewards: u32,
}

/// One accepted step.
#[value]
pub struct Step {
    /// Names it in records.
    pub id: StepId,
    /// What was accepted.
    pub head: Arc<StepHead>,
    /// Results in the order of their positions.
    pub results: Vec<Arc<ListedResult>>,
    /// By number of the item.
    pub progress: Vec<ItemProgress>,
    /// Pieces of texts that are not whole, by number of the item.
    pub saved: HashMap<u32, Vec<SavedPiece>>,
    /// Until when another process goes on with an item, by number of the item, in milliseconds of
    /// this process's clock.
    pub reserved_until_ms: HashMap<u32, u64>,
    /// Whether the trainer ended it.
    pub ended: bool,
    /// Shard by group.
    pub shard_by_group: Vec<u16>,
    /// When this process read of it, in milliseconds of its clock.
    pub read_ms: u64,
}

impl Step {
    /// A step that was just accepted.
    pub fn new(id: StepId, head: StepHead, read_ms: u64) -> Self {
        Self {
            id,
            results: Vec::new(),
            progress: vec![ItemProgress::default(); head.items.len()],
            saved: HashMap::new(),
            reserved_until_ms: HashMap::new(),
            ended: false,
            shard_by_group: shard_by_group(id, &head),
            read_ms,
            head: Arc::new(head),
        }
    }

    /// Shard that runs an item.
    pub fn shard(&self, item: u32) -> u16 {
        let group = self.head.items.get(item as usize).map(|head| head.group);
        let shard = group.and_then(|group| self.shard_by_group.get(usize::from(group)));
        shard.copied().unwrap_or(0)
    }

    /// Whether every item has a result.
    pub fn is_complete(&self) -> bool {
        self.results.len() == self.head.items.len()
    }

    /// Whether as many whole groups have results as the trainer waits for.
    pub fn has_enough_groups(&self) -> bool {
        let mut missing: HashMap<u16, bool> = HashMap::new();
        for (item, progress) in self.head.items.iter().zip(&self.progress) {
            *missing.entry(item.group).or_default() |= !progress.listed;
        }
        let whole = missing.values().filter(|missing| !**missing).count();
        whole >= self.head.groups_wanted as usize
    }

    /// Whether items may still be run.
    pub fn is_open(&self) -> bool {
        !self.ended && !self.is_complete()
    }

    /// Whether an item has a result; true for one that does not exist.
    pub fn is_listed(&self, item: u32) -> bool {
        let progress = self.progress.get(item as usize);
        progress.is_none_or(|progress| progress.listed)
    }

    /// Whether another process goes on with an item.
    pub fn is_reserved(&self, item: u32, now_ms: u64) -> bool {
        let until_ms = self.reserved_until_ms.get(&item);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Pieces of an item's text, the first one first.
    pub fn pieces(&self, item: u32) -> &[SavedPiece] {
        self.saved.get(&item).map_or(&[], Vec::as_slice)
    }

    /// Number of the item with this id.
    pub fn item_number(&self, id: &str) -> Option<usize> {
        self.head.items.iter().position(|item| item.id == id)
    }
}

fn shard_by_group(id: StepId, head: &StepHead) -> Vec<u16> {
    let groups = head.items.iter().map(|item| usize::from(item.group) + 1);
    let mut work = vec![0_u64; groups.max().unwrap_or(0)];
    for item in &head.items {
        work[usize::from(item.group)] += u64::from(item.expected_tokens());
    }
    ownership::assign_groups(&work, head.shards, id.0)
}
