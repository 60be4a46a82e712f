//! KV cache memory: private blocks of running sequences, and blocks of cached prompt prefixes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use adapters::{CacheEvent, CacheEventKind, CachePage};
use tokio::time::Instant;

use super::text::mix;

const RETAINED_EVENTS_MAX: usize = 10_000;
const PERMILLE: u64 = 1_000;

struct CachedBlock {
    /// Running sequences that use the block.
    users: u32,
    /// Value of [`KvCache::uses`] at the last use.
    last_used: u64,
}

struct RecordedEvent {
    recorded_at: Instant,
    event: CacheEvent,
}

/// KV cache memory of an engine's life.
pub(super) struct KvCache {
    blocks_max: usize,
    /// Share of events that are dropped, which leaves gaps in their numbers.
    lost_events_permille: u64,
    /// Blocks that hold no cached prefix.
    private: usize,
    cached: HashMap<u64, CachedBlock>,
    /// Reservations tried so far, as a clock for evicting the least recently used block.
    uses: u64,
    events: VecDeque<RecordedEvent>,
    next_seq: u64,
}

/// Blocks that a running sequence uses.
pub(super) struct Reservation {
    prefix: Vec<u64>,
    private: usize,
    /// Blocks of the prompt that were cached before the reservation.
    pub(super) cached_blocks: usize,
}

impl KvCache {
    pub(super) fn new(blocks_max: usize, lost_events_permille: u64) -> KvCache {
        KvCache {
            blocks_max,
            lost_events_permille,
            private: 0,
            cached: HashMap::new(),
            uses: 0,
            events: VecDeque::new(),
            next_seq: 0,
        }
    }

    /// Reserves the blocks of the prefix and `private` more, evicting unused blocks if needed.
    /// Reserves nothing if the memory does not suffice.
    pub(super) fn reserve(&mut self, prefix: &[u64], private: usize) -> Option<Reservation> {
        let cached_prefix = prefix
            .iter()
            .take_while(|block| self.cached.contains_key(block));
        let cached_blocks = cached_prefix.count();
        self.uses += 1;
        for block in &prefix[..cached_blocks] {
            self.use_block(*block);
        }
        if !self.evict_to_fit(prefix.len() - cached_blocks + private) {
            self.release_prefix(&prefix[..cached_blocks]);
            return None;
        }
        for block in &prefix[cached_blocks..] {
            self.use_block(*block);
        }
        self.private += private;
        Some(Reservation {
            prefix: prefix.to_vec(),
            private,
            cached_blocks,
        })
    }

    /// Releases the blocks of a sequence. Its prefix stays cached until it is evicted.
    pub(super) fn release(&mut self, reservation: &Reservation) {
        self.private -= reservation.private;
        self.release_prefix(&reservation.prefix);
    }

    /// Evicts all prefixes that no sequence uses. Called after a switch, because cached blocks
    /// depend on the version that computed them.
    pub(super) fn evict_unused_prefixes(&mut self) {
        let idle = self.cached.iter().filter(|(_, cached)| cached.users == 0);
        let blocks: Vec<u64> = idle.map(|(block, _)| *block).collect();
        for block in blocks {
            self.evict(block);
        }
    }

    /// Share of the memory that running sequences use, in thousandths.
    pub(super) fn used_permille(&self) -> u32 {
        let used_blocks = self.cached.values().filter(|cached| cached.users > 0);
        let used = self.private + used_blocks.count();
        (used * PERMILLE as usize / self.blocks_max.max(1)) as u32
    }

    /// Whether this many blocks fit into the memory when it is empty.
    pub(super) fn can_fit(&self, blocks: usize) -> bool {
        blocks <= self.blocks_max
    }

    /// Events with numbers from `from` on that are at least `lag` old.
    pub(super) fn events(&self, from: u64, lag: Duration) -> CachePage {
        let old = self
            .events
            .iter()
            .filter(|recorded| recorded.recorded_at.elapsed() >= lag);
        let events: Vec<CacheEvent> = old
            .filter(|recorded| recorded.event.seq >= from)
            .map(|recorded| recorded.event.clone())
            .collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        CachePage {
            next: next.min(self.next_seq),
            events,
        }
    }

    fn use_block(&mut self, block: u64) {
        let uses = self.uses;
        let stored = !self.cached.contains_key(&block);
        let cached = self.cached.entry(block).or_insert(CachedBlock {
            users: 0,
            last_used: uses,
        });
        cached.users += 1;
        cached.last_used = uses;
        if stored {
            self.record_event(CacheEventKind::Stored, block);
        }
    }

    fn release_prefix(&mut self, prefix: &[u64]) {
        for block in prefix {
            if let Some(cached) = self.cached.get_mut(block) {
                cached.users = cached.users.saturating_sub(1);
            }
        }
    }

    fn evict_to_fit(&mut self, blocks: usize) -> bool {
        while self.private + self.cached.len() + blocks > self.blocks_max {
            let idle = self.cached.iter().filter(|(_, cached)| cached.users == 0);
            let oldest = idle.min_by_key(|(block, cached)| (cached.last_used, **block));
            let Some(block) = oldest.map(|(block, _)| *block) else {
                return false;
            };
            self.evict(block);
        }
        true
    }

    fn evict(&mut self, block: u64) {
        self.cached.remove(&block);
        self.record_event(CacheEventKind::Removed, block);
    }

    fn record_event(&mut self, kind: CacheEventKind, block: u64) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if mix(seq) % PERMILLE < self.lost_events_permille {
            return;
        }
        if self.events.len() == RETAINED_EVENTS_MAX {
            self.events.pop_front();
        }
        self.events.push_back(RecordedEvent {
            recorded_at: Instant::now(),
            event: CacheEvent { seq, kind, block },
        });
    }
}
