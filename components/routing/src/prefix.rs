//! Which replicas cache which blocks of a prompt, learnt from cache events that come
//! late and with gaps.
//!
//! A block's hash covers all blocks before it, so a replica that holds block `i` of a
//! prompt holds its prefix. The table is a fixed array of atomics: readers on the path
//! of a request take no lock, and new blocks overwrite older ones of the same bucket.
//! A replica's knowledge carries a generation; a gap in its events raises it, which
//! drops all that was known of the replica in one step. A wrong entry costs one bonus.
//!
//! Not wired yet: no process reads engines' cache events, so replicas have no `prefix_id`
//! and [`crate::choose`] is asked without matches. The reading of events by the agent and
//! their way to the entries are missing.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use derive::{key, value};
use types::NodeId;

use crate::random::mix;

const WAYS: usize = 8;
const ID_BITS: u32 = 12;
const GENERATION_BITS: u32 = 12;
const LOW_BITS: u32 = ID_BITS + GENERATION_BITS;
/// Most replicas whose caches are followed.
const REPLICAS_MAX: usize = 1 << ID_BITS;
/// Most blocks of a prompt that are looked up.
const BLOCKS_MAX: usize = 64;
/// Most holders of a prefix that are found.
const HOLDERS_MAX: usize = 4;

/// Number of a replica in the table of blocks.
#[key]
pub struct PrefixId(u16);

/// One cache event of an engine.
#[value]
pub struct BlockEvent {
    /// Its place in the engine's sequence.
    pub seq: u64,
    /// Hash of the block and all before it.
    pub block_hash: u64,
    /// Stored, else removed.
    pub stored: bool,
}

/// A replica that holds the first blocks of a prompt.
#[key]
pub struct PrefixMatch {
    /// The replica.
    pub id: PrefixId,
    /// How many blocks it holds.
    pub blocks: u32,
}

/// Holders of a prompt's prefix, the longest first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefixMatches {
    found: [Option<PrefixMatch>; HOLDERS_MAX],
}

impl PrefixMatches {
    /// The holders, the longest first.
    pub fn iter(&self) -> impl Iterator<Item = PrefixMatch> + '_ {
        self.found.iter().flatten().copied()
    }

    /// Blocks that the replica holds.
    pub fn cached_blocks(&self, id: PrefixId) -> u32 {
        let held = self.iter().find(|held| held.id == id);
        held.map_or(0, |held| held.blocks)
    }

    /// The replica holds `blocks` blocks. One that holds fewer makes room for it.
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

/// The table that requests read.
#[derive(Debug)]
pub struct BlockTable {
    /// Tag, generation and replica of one block.
    cells: Vec<AtomicU64>,
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

    /// Holders of the prompt whose block hashes these are, first block first.
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
            // Only the writer stores, so a plain store cannot lose another's block.
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

/// Follows the replicas' cache events; one task owns it.
#[derive(Debug)]
pub struct PrefixTracker {
    blocks: Arc<BlockTable>,
    tracked: HashMap<NodeId, TrackedReplica>,
    free: Vec<PrefixId>,
}

impl PrefixTracker {
    /// Follows no replica yet; keeps `blocks_max` blocks at 8 bytes each.
    pub fn new(blocks_max: usize) -> Self {
        Self {
            blocks: Arc::new(BlockTable::new(blocks_max)),
            tracked: HashMap::new(),
            free: (0..REPLICAS_MAX as u16).rev().map(PrefixId).collect(),
        }
    }

    /// The table that requests read.
    pub fn block_table(&self) -> Arc<BlockTable> {
        Arc::clone(&self.blocks)
    }

    /// The replica's number; `None` when as many replicas are followed as can be.
    pub fn track(&mut self, node: NodeId) -> Option<PrefixId> {
        if let Some(tracked) = self.tracked.get(&node) {
            return Some(tracked.id);
        }
        let id = self.free.pop()?;
        self.tracked
            .insert(node, TrackedReplica { id, next_seq: 0 });
        Some(id)
    }

    /// Forgets the replicas that are not kept.
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

    /// Takes events in the order of their sequence. A gap means that removals may have
    /// been missed, and a prompt would be sent after blocks that are gone: all that is
    /// known of the replica is dropped. Events seen before are passed over.
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
