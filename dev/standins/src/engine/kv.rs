//! KV cache memory: blocks of running sequences and of cached prefixes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use adapters::{CacheEvent, CacheEventKind, CachePage};
use tokio::time::Instant;

use super::text::mixed;

const EVENTS_MAX: usize = 10_000;
const PERMILLE: u64 = 1_000;

struct Cached {
    users: u32,
    last_used: u64,
}

struct Told {
    at: Instant,
    event: CacheEvent,
}

/// The memory of one life of an engine.
pub(super) struct Kv {
    blocks_max: usize,
    gaps_permille: u64,
    private: usize,
    cached: HashMap<u64, Cached>,
    uses: u64,
    events: VecDeque<Told>,
    next_seq: u64,
}

/// Memory that one sequence holds.
pub(super) struct Held {
    prefix: Vec<u64>,
    private: usize,
    /// Blocks of the prompt that were cached already.
    pub(super) found: usize,
}

impl Kv {
    pub(super) fn new(blocks_max: usize, gaps_permille: u64) -> Kv {
        Kv {
            blocks_max,
            gaps_permille,
            private: 0,
            cached: HashMap::new(),
            uses: 0,
            events: VecDeque::new(),
            next_seq: 0,
        }
    }

    /// Holds the prefix and `private` more blocks; none of it if memory is short.
    pub(super) fn hold(&mut self, prefix: &[u64], private: usize) -> Option<Held> {
        let known = prefix
            .iter()
            .take_while(|block| self.cached.contains_key(block));
        let found = known.count();
        self.uses += 1;
        for block in &prefix[..found] {
            self.take(*block);
        }
        if !self.make_room(prefix.len() - found + private) {
            self.release_prefix(&prefix[..found]);
            return None;
        }
        for block in &prefix[found..] {
            self.take(*block);
        }
        self.private += private;
        Some(Held {
            prefix: prefix.to_vec(),
            private,
            found,
        })
    }

    /// Gives back what a sequence held; its prefix stays cached.
    pub(super) fn release(&mut self, held: &Held) {
        self.private -= held.private;
        self.release_prefix(&held.prefix);
    }

    /// Forgets all prefixes that no sequence holds: they belong to an older version.
    pub(super) fn forget_prefixes(&mut self) {
        let idle = self.cached.iter().filter(|(_, cached)| cached.users == 0);
        let blocks: Vec<u64> = idle.map(|(block, _)| *block).collect();
        for block in blocks {
            self.remove(block);
        }
    }

    /// Share of the memory that sequences hold, in thousandths.
    pub(super) fn used_permille(&self) -> u32 {
        let held = self.cached.values().filter(|cached| cached.users > 0);
        let used = self.private + held.count();
        (used * PERMILLE as usize / self.blocks_max.max(1)) as u32
    }

    /// Whether the memory could hold so many blocks at all.
    pub(super) fn could_hold(&self, blocks: usize) -> bool {
        blocks <= self.blocks_max
    }

    /// Events from number `from` on that are at least `lag` old.
    pub(super) fn events(&self, from: u64, lag: Duration) -> CachePage {
        let old = self.events.iter().filter(|told| told.at.elapsed() >= lag);
        let events: Vec<CacheEvent> = old
            .filter(|told| told.event.seq >= from)
            .map(|told| told.event.clone())
            .collect();
        let next = events.last().map_or(from, |event| event.seq + 1);
        CachePage {
            next: next.min(self.next_seq),
            events,
        }
    }

    fn take(&mut self, block: u64) {
        let uses = self.uses;
        let stored = !self.cached.contains_key(&block);
        let cached = self.cached.entry(block).or_insert(Cached {
            users: 0,
            last_used: uses,
        });
        cached.users += 1;
        cached.last_used = uses;
        if stored {
            self.tell(CacheEventKind::Stored, block);
        }
    }

    fn release_prefix(&mut self, prefix: &[u64]) {
        for block in prefix {
            if let Some(cached) = self.cached.get_mut(block) {
                cached.users = cached.users.saturating_sub(1);
            }
        }
    }

    fn make_room(&mut self, blocks: usize) -> bool {
        while self.private + self.cached.len() + blocks > self.blocks_max {
            let idle = self.cached.iter().filter(|(_, cached)| cached.users == 0);
            let oldest = idle.min_by_key(|(block, cached)| (cached.last_used, **block));
            let Some(block) = oldest.map(|(block, _)| *block) else {
                return false;
            };
            self.remove(block);
        }
        true
    }

    fn remove(&mut self, block: u64) {
        self.cached.remove(&block);
        self.tell(CacheEventKind::Removed, block);
    }

    fn tell(&mut self, kind: CacheEventKind, block: u64) {
        let seq = self.next_seq;
        self.next_seq += 1;
        if mixed(seq) % PERMILLE < self.gaps_permille {
            return;
        }
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
        }
        self.events.push_back(Told {
            at: Instant::now(),
            event: CacheEvent { seq, kind, block },
        });
    }
}
