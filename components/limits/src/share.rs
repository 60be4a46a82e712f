//! This entry's share of a customer's limits, computed without a coordinator.
//!
//! Each entry computes its own share from the list of live entries, its own demand and, if digests
//! are in use, the last demand that each peer sent. A small part of the limits is split evenly, so
//! that a customer that switches to another entry is served there at once. The rest is split in
//! proportion to demand.
//!
//! An entry counts its own demand at the minimum of the last window, and the demand of a peer at
//! the maximum. If every digest arrives within the window and all entries see the same members,
//! the maximum that a peer saw of an entry is never below the minimum that the entry itself
//! counts. The shares then add up to at most one, however demand changes. Two exceptions remain:
//!
//! - An entry that starts has no share by demand during its first window. Until its peers see it,
//!   the sum exceeds one by at most the entry's even part, `equal / (n + 1)`.
//! - In a network partition, each group of entries that see one another uses up to the whole
//!   limit, so the sum is at most the number of groups. An entry continues to count lost peers for
//!   one window, so a partition shorter than that has no effect.
//!
//! Memory: about 100 bytes per entry and customer with traffic, plus the digests of
//! [`crate::Shares`].

use std::collections::{HashMap, VecDeque};

use derive::value;
use types::NodeId;

/// Settings of the shares.
#[value]
pub struct ShareSettings {
    /// Length of the window, in milliseconds. Must be longer than the delivery of a digest takes
    /// when one or two digests are lost.
    pub window_ms: u64,
    /// Part of the limits that is split evenly, in thousandths.
    pub equal_permille: u32,
    /// Whether peers send digests; without them the limits are split evenly in full.
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

/// Values of the last window, with their times.
#[derive(Clone, Debug, Default)]
struct Window {
    /// The first value may be older than the window: it was the current one when the window began.
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

/// One customer's share at this entry; owned by one task, which applies the result to
/// [`crate::Customer`].
#[derive(Debug)]
pub struct CustomerShare {
    settings: ShareSettings,
    own_demand: Window,
    /// Peers that were live within the last window.
    peers: HashMap<NodeId, Peer>,
}

#[derive(Debug, Default)]
struct Peer {
    demand: Window,
    seen_ms: u64,
}

impl CustomerShare {
    /// A share without known peers or demand.
    pub fn new(settings: ShareSettings) -> Self {
        Self {
            settings,
            own_demand: Window::default(),
            peers: HashMap::new(),
        }
    }

    /// Updates the list of the other live entries. A peer that is missing from it still counts
    /// for one window.
    pub fn set_live_peers(&mut self, peers: impl IntoIterator<Item = NodeId>, now_ms: u64) {
        for node in peers {
            self.peers.entry(node).or_default().seen_ms = now_ms;
        }
        let window_ms = self.settings.window_ms;
        self.peers
            .retain(|_, peer| peer.seen_ms + window_ms >= now_ms);
    }

    /// Changes the length of the window, in milliseconds.
    pub fn set_window_ms(&mut self, window_ms: u64) {
        self.settings.window_ms = window_ms;
    }

    /// Records a peer's demand, in the unit of [`CustomerShare::record_demand`]. Ignored if the
    /// peer is not known.
    pub fn record_peer_demand(&mut self, peer: NodeId, demand: f64, now_ms: u64) {
        let window_ms = self.settings.window_ms;
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.demand.push(demand, now_ms, window_ms);
        }
    }

    /// Records this entry's demand, including refused requests, in any unit that is the same at all
    /// entries.
    pub fn record_demand(&mut self, demand: f64, now_ms: u64) {
        self.own_demand
            .push(demand, now_ms, self.settings.window_ms);
    }

    /// This entry's share of the limits, from 0 to 1.
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
        // A peer that has sent no digest yet counts with the same demand as this entry.
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
