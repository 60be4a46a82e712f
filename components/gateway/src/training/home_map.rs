//! Caches the homes of the held steps. The homes of a step are computed once and again when the
//! live entries change. Computing them for all steps at every post would take time quadratic in the
//! number of a trainer's steps.

use std::collections::HashMap;
use std::net::SocketAddr;

use samples::{Entry, Homes, StepKey, choose_homes};

/// Homes of steps, computed when first needed.
pub struct HomeMap {
    own: SocketAddr,
    entries: Vec<Entry>,
    homes: HashMap<StepKey, Option<Homes>>,
}

impl HomeMap {
    /// Creates an empty map for the entry at address `own`.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            entries: Vec::new(),
            homes: HashMap::new(),
        }
    }

    /// Sets the live entries, in any order. Returns whether they have changed.
    pub fn set_entries(&mut self, mut entries: Vec<Entry>) -> bool {
        entries.sort_by_key(|entry| entry.address);
        if entries == self.entries {
            return false;
        }
        self.entries = entries;
        self.homes.clear();
        true
    }

    pub fn is_first_home(&mut self, key: &StepKey) -> bool {
        let own = self.own;
        self.homes_of(key).is_some_and(|homes| homes.first == own)
    }

    /// The homes of the step, without this entry.
    pub fn other_homes(&mut self, key: &StepKey) -> Vec<SocketAddr> {
        let own = self.own;
        let homes = self.homes_of(key).into_iter();
        let both = homes.flat_map(|homes| std::iter::once(homes.first).chain(homes.second));
        both.filter(|&home| home != own).collect()
    }

    pub fn first_home(&mut self, key: &StepKey) -> Option<SocketAddr> {
        self.homes_of(key).map(|homes| homes.first)
    }

    /// Removes the steps for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(&StepKey) -> bool) {
        self.homes.retain(|key, _| keep(key));
    }

    fn homes_of(&mut self, key: &StepKey) -> Option<&Homes> {
        if !self.homes.contains_key(key) {
            self.homes
                .insert(key.clone(), choose_homes(key, &self.entries));
        }
        self.homes.get(key)?.as_ref()
    }
}
