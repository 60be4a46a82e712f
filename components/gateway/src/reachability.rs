//! Entries that could not be reached lately, by this entry's own calls.
//!
//! Entries probe one another rarely, so the death of one shows in the view only after
//! seconds, and its steps would wait for their new home all that time. A call that found
//! it gone says so at once. Taken for gone by mistake, a living home costs doubled runs.

use std::collections::HashMap;
use std::net::SocketAddr;

use arc_swap::ArcSwap;

/// How long an entry counts as out of reach after a call that failed, in milliseconds;
/// longer than the view takes to notice its death.
const UNREACHABLE_MS: u64 = 15_000;

/// Entries out of reach, with the time until which they count as that.
#[derive(Default)]
pub struct PeerReachability {
    unreachable: ArcSwap<HashMap<SocketAddr, u64>>,
}

impl PeerReachability {
    /// A call to this entry found it gone.
    pub fn mark_unreachable(&self, entry: SocketAddr, now_ms: u64) {
        self.unreachable.rcu(|unreachable| {
            let mut unreachable = HashMap::clone(unreachable);
            unreachable.retain(|_, until_ms| *until_ms > now_ms);
            unreachable.insert(entry, now_ms + UNREACHABLE_MS);
            unreachable
        });
    }

    /// A call to this entry was answered.
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

    /// Whether this entry counts as out of reach.
    pub fn is_unreachable(&self, entry: SocketAddr, now_ms: u64) -> bool {
        let unreachable = self.unreachable.load();
        unreachable
            .get(&entry)
            .is_some_and(|&until_ms| until_ms > now_ms)
    }
}
