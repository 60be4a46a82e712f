//! Tracks the entries that this entry's own calls recently failed to reach.
//!
//! Entries probe each other rarely, so the membership view shows the death of an entry only after
//! seconds, and its steps would wait that long for a new home. A failed call reveals it
//! immediately. A home that is wrongly considered unreachable only causes duplicate runs.

use std::collections::HashMap;
use std::net::SocketAddr;

use arc_swap::ArcSwap;

/// How long an entry counts as unreachable after a failed call, in milliseconds. Longer than the
/// membership view takes to notice its death.
const UNREACHABLE_MS: u64 = 15_000;

/// Unreachable entries, each with the time until which it counts as unreachable.
#[derive(Default)]
pub struct PeerReachability {
    unreachable: ArcSwap<HashMap<SocketAddr, u64>>,
}

impl PeerReachability {
    /// Records that a call could not reach this entry.
    pub fn mark_unreachable(&self, entry: SocketAddr, now_ms: u64) {
        self.unreachable.rcu(|unreachable| {
            let mut unreachable = HashMap::clone(unreachable);
            unreachable.retain(|_, until_ms| *until_ms > now_ms);
            unreachable.insert(entry, now_ms + UNREACHABLE_MS);
            unreachable
        });
    }

    /// Records that this entry answered a call.
    pub fn mark_reachable(&self, entry: SocketAddr) {
        if !self.unreachable.load().contains_key(&entry) {
            return;
        }
        self.unreachable.rcu(|unreachable| {
            let mut unreachable = HashMap::clone(unreachable);
            unreachable.remove(&entry);
            unreachable
        });
    }

    /// Returns whether this entry counts as unreachable.
    pub fn is_unreachable(&self, entry: SocketAddr, now_ms: u64) -> bool {
        let unreachable = self.unreachable.load();
        unreachable
            .get(&entry)
            .is_some_and(|&until_ms| until_ms > now_ms)
    }
}
