//! Tracks which replicas cache which blocks of a prompt, from cache events of the engines that
//! arrive late and with gaps.
//!
//! The hash of a block covers all blocks before it, so a replica that caches block `i` of a
//! prompt caches the whole prefix up to it. The table is a fixed array of atomics: requests read
//! it without a lock, and new blocks overwrite older blocks of the same bucket. Each cell carries
//! the generation of its replica; a gap in the replica's events increments the generation, which
//! invalidates all cells of the replica in one step. A wrong cell only gives one replica an
//! undeserved prefix bonus.
//!
//! Not in use yet: no process reads the engines' cache events, so replicas have no `prefix_id`
//! and [`crate::choose_replica`] gets no matches. Agents do not read the events yet, and there is
//! no protocol to send them to the entries.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use derive::{key, value};
use types::NodeId;

use crate::random::mix;

/// Cells per bucket, as in a set-associative cache.
const WAYS: usize = 8;
const ID_BITS: u32 = 12;
const GENERATION_BITS: u32 = 12;
/// Bits of a cell below the tag, which is the upper part of the block's hash.
const LOW_BITS: u32 = ID_BITS + GENERATION_BITS;
/// Maximum number of replicas whose caches are tracked.
const REPLICAS_MAX: usize = 1 << ID_BITS;
/// Maximum number of blocks of a prompt that are looked up.
const BLOCKS_MAX: usize = 64;
/// Maximum number of replicas that a look-up returns.
const HOLDERS_MAX: usize = 4;

/// Number of a replica in the [`BlockTable`].
#[key]
pub struct PrefixId(u16);

/// One cache event of an engine.
#[value]
pub struct BlockEvent {
    /// Sequence number, counted per engine; a missing number is a gap.
    pub seq: u64,
    /// Hash of the block and of all blocks before it in the prompt.
    pub block_hash: u64,
    /// Whether the engine stored the block in its cache; otherwise it removed the block.
    pub stored: bool,
}

/// A replica that caches a prefix of a prompt.
#[key]
pub struct PrefixMatch {
    /// Number of the replica in the [`BlockTable`].
    pub id: PrefixId,
    /// Length of the cached prefix, in blocks.
    pub blocks: u32,
}

/// Replicas that cache a prefix of one prompt, longest prefix first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixMatches {
    found: [Option<PrefixMatch>; HOLDERS_MAX],
}

impl PrefixMatches {
    /// Iterates over the replicas, longest prefix first.
    pub fn iter(&self) -> impl Iterator<Item = PrefixMatch> + '_ {
        self.found.iter().flatten().copied()
    }

    /// Length of the prefix that the replica caches, in blocks; 0 if it is not among the matches.
    pub fn cached_blocks(&self, id: PrefixId) -> u32 {
        let held = self.iter().find(|held| held.id == id);
        held.map_or(0, |held| held.blocks)
    }

    /// Records that the replica caches `blocks` blocks. A new match replaces the shortest one,
    /// unless that is as long.
    fn extend(&mut self, id: PrefixId, blocks: u32) {
        let known = self.found.iter_mut().flatten().find(|held| held.id == id);
        if let Some(held) = known {
            held.blocks = blocks;
            return;
        }
        let fewest = self.found.iter_mut().min_by_key(|held| length(held));
        if let Some(held) = fewest
            && length(held) < blocks
        {
            *held = Some(PrefixMatch { id, blocks });
        }
    }
}

fn length(held: &Option<PrefixMatch>) -> u32 {
    held.map_or(0, |held| held.blocks)
}

/// Lock-free look-up table of cached blocks, shared between requests and one [`PrefixTracker`].
#[derive(Debug)]
pub struct BlockTable {
    /// Tag, generation and replica of one block, from the high to the low bits; 0 is empty.
    cells: Vec<AtomicU64>,
    /// Current generation by replica; cells of another generation are invalid.
    generations: Vec<AtomicU32>,
    buckets: usize,
}

impl BlockTable {
    fn new(cells: usize) -> Self {
        let buckets = (cells / WAYS).max(1);
        Self {
            cells: (0..buckets * WAYS).map(|_| AtomicU64::new(0)).collect(),
            generations: (0..REPLICAS_MAX).map(|_| AtomicU32::new(1)).collect(),
            buckets,
        }
    }

    /// Finds the replicas that cache a prefix of a prompt, given the prompt's block hashes in
    /// order.
    pub fn holders(&self, prompt: &[u64]) -> PrefixMatches {
        let mut matches = PrefixMatches::default();
        for (held, &block) in (1..).zip(prompt.iter().take(BLOCKS_MAX)) {
            let mut found_holder = false;
            for cell in self.bucket(block) {
                if let Some(id) = self.holder(cell.load(Ordering::Relaxed), block) {
                    matches.extend(id, held);
                    found_holder = true;
                }
            }
            if !found_holder {
                break;
            }
        }
        matches.found.sort_by_key(|held| u32::MAX - length(held));
        matches
    }

    fn bucket(&self, block: u64) -> &[AtomicU64] {
        let start = mix(block) as usize % self.buckets * WAYS;
        self.cells.get(start..start + WAYS).unwrap_or_default()
    }

    fn holder(&self, cell: u64, block: u64) -> Option<PrefixId> {
        let id = PrefixId((cell & ((1 << ID_BITS) - 1)) as u16);
        let valid = cell != 0 && cell == self.packed(id, block);
        valid.then_some(id)
    }

    fn packed(&self, id: PrefixId, block: u64) -> u64 {
        let generation = self.generations.get(usize::from(id.0));
        let generation = generation.map_or(0, |number| number.load(Ordering::Relaxed));
        let generation = u64::from(generation) & ((1 << GENERATION_BITS) - 1);
        let tag = block >> LOW_BITS << LOW_BITS;
        tag | generation << ID_BITS | u64::from(id.0)
    }

    fn store(&self, id: PrefixId, block: u64) {
        let packed = self.packed(id, block);
        let bucket = self.bucket(block);
        let free = bucket.iter().find(|cell| {
            let cell = cell.load(Ordering::Relaxed);
            cell == packed || cell == 0 || self.is_stale(cell)
        });
        let evicted = bucket.get((packed >> ID_BITS) as usize % WAYS);
        if let Some(cell) = free.or(evicted) {
            cell.store(packed, Ordering::Relaxed);
        }
    }

    fn is_stale(&self, cell: u64) -> bool {
        let id = PrefixId((cell & ((1 << ID_BITS) - 1)) as u16);
        cell != self.packed(id, cell)
    }

    fn remove(&self, id: PrefixId, block: u64) {
        let packed = self.packed(id, block);
        for cell in self.bucket(block) {
            // The tracker is the only writer, so a plain store cannot overwrite a concurrent one.
            if cell.load(Ordering::Relaxed) == packed {
                cell.store(0, Ordering::Relaxed);
            }
        }
    }

    fn invalidate(&self, id: PrefixId) {
        if let Some(generation) = self.generations.get(usize::from(id.0)) {
            generation.fetch_add(1, Ordering::Relaxed);
        }
    }
}

#[derive(Debug)]
struct TrackedReplica {
    id: PrefixId,
    next_seq: u64,
}

/// Applies the replicas' cache events to a [`BlockTable`]. Owned by one task.
#[derive(Debug)]
pub struct PrefixTracker {
    blocks: Arc<BlockTable>,
    tracked: HashMap<NodeId, TrackedReplica>,
    free: Vec<PrefixId>,
}

impl PrefixTracker {
    /// A tracker of no replicas, with room for `blocks_max` blocks at 8 bytes each.
    pub fn new(blocks_max: usize) -> Self {
        Self {
            blocks: Arc::new(BlockTable::new(blocks_max)),
            tracked: HashMap::new(),
            free: (0..REPLICAS_MAX as u16).rev().map(PrefixId).collect(),
        }
    }

    /// The look-up table, to be shared with the requests.
    pub fn block_table(&self) -> Arc<BlockTable> {
        Arc::clone(&self.blocks)
    }

    /// Starts to track a replica and returns its number; `None` if the maximum number of replicas
    /// is tracked already.
    pub fn track(&mut self, node: NodeId) -> Option<PrefixId> {
        if let Some(tracked) = self.tracked.get(&node) {
            return Some(tracked.id);
        }
        let id = self.free.pop()?;
        self.tracked
            .insert(node, TrackedReplica { id, next_seq: 0 });
        Some(id)
    }

    /// Stops tracking the replicas for which `keep` is false and drops their blocks.
    pub fn retain(&mut self, keep: impl Fn(&NodeId) -> bool) {
        let (blocks, free) = (&self.blocks, &mut self.free);
        self.tracked.retain(|node, tracked| {
            let kept = keep(node);
            if !kept {
                blocks.invalidate(tracked.id);
                free.push(tracked.id);
            }
            kept
        });
    }

    /// Applies cache events of a replica, which must be sorted by sequence number. After a gap all
    /// blocks of the replica are dropped: removals may have been missed, and prompts would be
    /// routed to blocks that the engine no longer caches. Events that were applied before are
    /// skipped.
    pub fn apply(&mut self, node: NodeId, events: &[BlockEvent]) {
        let Some(tracked) = self.tracked.get_mut(&node) else {
            return;
        };
        for event in events {
            if event.seq < tracked.next_seq {
                continue;
            }
            if event.seq > tracked.next_seq {
                self.blocks.invalidate(tracked.id);
            }
            tracked.next_seq = event.seq + 1;
            if event.stored {
                self.blocks.store(tracked.id, event.block_hash);
            } else {
                self.blocks.remove(tracked.id, event.block_hash);
            }
        }
    }
}
