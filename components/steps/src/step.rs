//! State of one accepted step.

use std::collections::HashMap;
use std::sync::Arc;

use derive::value;

use crate::{ResultState, SavedPiece, StepHead, StepId};

/// Result of an item; its position is its index in [`Step::results`].
#[value]
pub struct ListedResult {
    /// Number of the item in the step.
    pub item: u32,
    /// Result of the item.
    pub state: ResultState,
}

/// Progress of an item, as recorded by all fronts.
#[value]
#[derive(Copy, Default)]
pub struct ItemProgress {
    /// Whether the item has a result, and so a position.
    pub listed: bool,
    /// Failed runs at replicas, counted over all fronts.
    pub failed_runs: u32,
    /// Failed reward calls, counted over all fronts.
    pub failed_rewards: u32,
}

/// State of one accepted step.
#[value]
pub struct Step {
    /// Id by which records refer to the step.
    pub id: StepId,
    /// Metadata from the accepting record.
    pub head: Arc<StepHead>,
    /// Results in the order of their positions, which is the order of the log.
    pub results: Vec<Arc<ListedResult>>,
    /// Progress by item number.
    pub progress: Vec<ItemProgress>,
    /// Saved pieces of incomplete texts, by item number.
    pub saved: HashMap<u32, Vec<SavedPiece>>,
    /// End of the reservation of an item by the front that still runs it, by item number, in
    /// milliseconds of this process's clock.
    pub reserved_until_ms: HashMap<u32, u64>,
    /// Whether the trainer ended the step.
    pub ended: bool,
    /// Shard of each group, by group number.
    pub shard_by_group: Vec<u16>,
    /// When this process read the accepting record, in milliseconds of its own clock.
    pub read_ms: u64,
    /// When the step was last seen open, in milliseconds of the same clock.
    pub(crate) open_ms: u64,
}

impl Step {
    /// Creates the state of a step that was just accepted.
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
            open_ms: read_ms,
            head: Arc::new(head),
        }
    }

    /// Shard that runs an item; 0 if the step has no such item.
    pub fn shard(&self, item: u32) -> u16 {
        let group = self.head.items.get(item as usize).map(|head| head.group);
        let shard = group.and_then(|group| self.shard_by_group.get(usize::from(group)));
        shard.copied().unwrap_or(0)
    }

    /// Whether every item has a result.
    pub fn is_complete(&self) -> bool {
        self.results.len() == self.head.items.len()
    }

    /// Whether the number of complete groups has reached the number that the trainer waits for.
    pub fn has_enough_groups(&self) -> bool {
        let mut incomplete: HashMap<u16, bool> = HashMap::new();
        for (item, progress) in self.head.items.iter().zip(&self.progress) {
            *incomplete.entry(item.group).or_default() |= !progress.listed;
        }
        let complete = incomplete
            .values()
            .filter(|incomplete| !**incomplete)
            .count();
        complete >= self.head.groups_wanted as usize
    }

    /// Whether items of the step may still run.
    pub fn is_open(&self) -> bool {
        !self.ended && !self.is_complete()
    }

    /// Whether an item has a result; also true if the step has no such item.
    pub fn is_listed(&self, item: u32) -> bool {
        let progress = self.progress.get(item as usize);
        progress.is_none_or(|progress| progress.listed)
    }

    /// Whether a front that leaves or lost the shard still runs the item and has reserved it.
    pub fn is_reserved(&self, item: u32, now_ms: u64) -> bool {
        let until_ms = self.reserved_until_ms.get(&item);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Saved pieces of an item's incomplete text, in the order of the text.
    pub fn pieces(&self, item: u32) -> &[SavedPiece] {
        self.saved.get(&item).map_or(&[], Vec::as_slice)
    }

    /// Number of the item to which the trainer gave this id.
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
