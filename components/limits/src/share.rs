//! This entry's share of a customer's limit, agreed with no coordinator.
//!
//! Each entry computes its own share from the entries that live, its own demand and,
//! where digests are sent, the demand that its peers last told. A small part is split
//! evenly, so that a customer who turns to another entry is served there at once; the
//! rest goes by demand.
//!
//! Own demand counts at its lowest of the last window, a peer's at its highest. Where
//! every digest arrives within the window and all see the same entries, the highest
//! that a peer saw of an entry is never below the lowest that this entry counts, so the
//! shares add up to at most one however demand moves. What is left over:
//!
//! - An entry that starts counts nothing by demand for its first window. Until its
//!   peers see it, the sum is over by at most its even part: `equal / (n + 1)`.
//! - Groups of entries that cannot see one another each use up to the whole limit: the
//!   sum is at most the number of groups. An entry that lost sight of its peers goes on
//!   counting them for a window, so a short cut costs nothing.
//!
//! Cost: customers with traffic × entries × about 100 bytes, and the digests of
//! [`crate::Shares`].

use std::collections::{HashMap, VecDeque};

use derive::value;
use types::NodeId;

/// Settings of the shares.
#[value]
pub struct ShareSettings {
    /// Longer than a digest takes, a lost one or two included, in milliseconds.
    pub window_ms: u64,
    /// Part of the limit that is split evenly, in thousandths.
    pub equal_permille: u32,
    /// Whether peers send digests; without them the whole limit is split evenly.
    pub digests: bool,
}

impl Default for ShareSettings {
    fn default() -> Self {
        Self {
            window_ms: 3_000,
            equal_permille: 250,
            digests: true,
        }
    }
}

/// Values of the last window.
#[derive(Clone, Debug, Default)]
struct Window {
    /// The first may be older than the window: it was in force when the window began.
    values: VecDeque<(u64, f64)>,
}

impl Window {
    fn push(&mut self, value: f64, now_ms: u64, window_ms: u64) {
        self.values.push_back((now_ms, value));
        let begin_ms = now_ms.saturating_sub(window_ms);
        while self
            .values
            .get(1)
            .is_some_and(|&(at_ms, _)| at_ms <= begin_ms)
        {
            self.values.pop_front();
        }
    }

    fn covers(&self, now_ms: u64, window_ms: u64) -> bool {
        let first = self.values.front();
        first.is_some_and(|&(at_ms, _)| at_ms + window_ms <= now_ms)
    }

    fn lowest(&self) -> f64 {
        let values = self.values.iter().map(|&(_, value)| value);
        values.reduce(f64::min).unwrap_or_default()
    }

    fn highest(&self) -> f64 {
        let values = self.values.iter().map(|&(_, value)| value);
        values.reduce(f64::max).unwrap_or_default()
    }
}

/// One customer's share on this entry; one task owns it and puts the result in force.
#[derive(Debug)]
pub struct CustomerShare {
    settings: ShareSettings,
    own_demand: Window,
    /// Peers that live or were told of within the window.
    peers: HashMap<NodeId, Peer>,
}

#[derive(Debug, Default)]
struct Peer {
    demand: Window,
    seen_ms: u64,
}

impl CustomerShare {
    /// A share of an entry that knows no peer yet.
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            own_demand: Window::default(),
            peers: HashMap::new(),
        }
    }

    /// Takes in the other entries that live now; one that is missing counts on for a
    /// window.
    pub fn set_live_peers(&mut self, peers: impl IntoIterator<Item = NodeId>, now_ms: u64) {
        for node in peers {
            self.peers.entry(node).or_default().seen_ms = now_ms;
        }
        let window_ms = self.settings.window_ms;
        self.peers
            .retain(|_, peer| peer.seen_ms + window_ms >= now_ms);
    }

    /// Puts another window in force, in milliseconds.
    pub fn set_window_ms(&mut self, window_ms: u64) {
        self.settings.window_ms = window_ms;
    }

    /// Takes in a peer's demand, in the unit of [`Share::offered`].
    pub fn record_peer_demand(&mut self, peer: NodeId, demand: f64, now_ms: u64) {
        let window_ms = self.settings.window_ms;
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.demand.push(demand, now_ms, window_ms);
        }
    }

    /// Takes in this entry's demand, refused requests included, in any unit that all
    /// entries have in common.
    pub fn record_demand(&mut self, demand: f64, now_ms: u64) {
        self.own_demand
            .push(demand, now_ms, self.settings.window_ms);
    }

    /// This entry's share of the limit, from 0 to 1.
    pub fn share(&self, now_ms: u64) -> f64 {
        let even = 1.0 / (self.peers.len() as f64 + 1.0);
        if !self.settings.digests {
            return even;
        }
        let equal = f64::from(self.settings.equal_permille) / 1_000.0;
        equal * even + (1.0 - equal) * self.by_demand(even, now_ms)
    }

    fn by_demand(&self, even: f64, now_ms: u64) -> f64 {
        if !self.own_demand.covers(now_ms, self.settings.window_ms) {
            return 0.0;
        }
        let own = self.own_demand.lowest();
        // A peer that has told nothing yet counts as busy as this entry.
        let demand_of = |peer: &Peer| match peer.demand.values.is_empty() {
            true => own,
            false => peer.demand.highest(),
        };
        let peers: f64 = self.peers.values().map(demand_of).sum();
        match own + peers > 0.0 {
            true => own / (own + peers),
            false => even,
        }
    }
}
