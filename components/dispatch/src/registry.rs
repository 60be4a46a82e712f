//! Replicas that may take work, from their records in the platform's store.
//!
//! A record that vanishes while the store is away, or just after its return, may come back:
//! the replica lives and could not write. So such a replica takes work for a short time more.
//! Each life of a replica has an id of its own; the address alone names nobody, as it is
//! given to other services later.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use derive::value;

/// Id of one life of a replica.
pub type ReplicaId = Arc<str>;

/// How long a replica whose record vanished takes work after the store's return, in
/// milliseconds. Records of live replicas are back about two seconds after it; a word that a
/// replica is gone binds only once the store has been steady for three seconds.
const RETURN_MS: u64 = 2_300;

/// How long the store must have given no answer, behind a failed call, for records of live
/// replicas to be missing, in milliseconds. They write each second and more; a refused read is
/// made again within 0.3 s, and one that is not answered takes 1.3 s.
const AWAY_MS: u64 = 900;

/// A replica as its record tells.
#[value]
pub struct Replica {
    /// Id of this life.
    pub id: ReplicaId,
    /// When it started, in milliseconds of true time, where it says so. A replica may start again
    /// under its id, and knows nothing then of what it was told before.
    pub started_ms: Option<u64>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work, as it will go.
    pub draining: bool,
    /// Versions of the weights that it has, by model.
    pub models: Vec<(Arc<str>, u64)>,
}

impl Replica {
    /// Version of the weights of this model.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let held = self.models.iter().find(|(name, _)| &**name == model)?;
        Some(held.1)
    }
}

/// What a record changed.
#[value]
pub enum RegistryChange {
    /// Nothing that matters.
    Unchanged,
    /// A replica came, went or changed.
    Changed,
}

#[derive(Debug)]
struct Entry {
    replica: Arc<Replica>,
    vanished: bool,
}

/// Replicas that may take work.
#[derive(Debug, Default)]
pub struct Registry {
    entries: BTreeMap<ReplicaId, Entry>,
    /// When the store came back last from a time in which records may have expired; none
    /// before it was seen.
    store_since_ms: Option<u64>,
    /// When it answered last, in milliseconds.
    seen_ms: u64,
    /// Whether a call has failed since.
    failing: bool,
}

impl Registry {
    /// Takes a replica's record.
    pub fn put(&mut self, replica: Replica) -> RegistryChange {
        if let Some(known) = self.entries.get_mut(&replica.id)
            && *known.replica == replica
        {
            known.vanished = false;
            return RegistryChange::Unchanged;
        }
        let id = Arc::clone(&replica.id);
        let replica = Arc::new(replica);
        self.entries.insert(
            id,
            Entry {
                replica,
                vanished: false,
            },
        );
        RegistryChange::Changed
    }

    /// Takes the word that a replica has no record any more.
    pub fn remove(&mut self, id: &str, now_ms: u64) -> RegistryChange {
        if self.is_trusted(now_ms) {
            return match self.entries.remove(id) {
                Some(_) => RegistryChange::Changed,
                None => RegistryChange::Unchanged,
            };
        }
        if let Some(entry) = self.entries.get_mut(id) {
            entry.vanished = true;
        }
        RegistryChange::Unchanged
    }

    /// Takes a whole list: every other replica has no record any more.
    pub fn retain_listed(&mut self, listed: &[ReplicaId], now_ms: u64) -> RegistryChange {
        let listed: HashSet<&ReplicaId> = listed.iter().collect();
        let missing: Vec<ReplicaId> = self
            .entries
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        let mut revision = RegistryChange::Unchanged;
        for id in missing {
            if self.remove(&id, now_ms) == RegistryChange::Changed {
                revision = RegistryChange::Changed;
            }
        }
        revision
    }

    /// A call to the store failed.
    pub fn record_store_failure(&mut self) {
        self.failing = true;
    }

    /// The store answers.
    pub fn record_store_answer(&mut self, now_ms: u64) {
        if self.store_since_ms.is_none() || self.is_away(now_ms) {
            self.store_since_ms = Some(now_ms);
        }
        self.failing = false;
        self.seen_ms = now_ms;
    }

    fn is_away(&self, now_ms: u64) -> bool {
        self.failing && now_ms >= self.seen_ms + AWAY_MS
    }

    fn is_trusted(&self, now_ms: u64) -> bool {
        let since_ms = self.store_since_ms;
        !self.is_away(now_ms) && since_ms.is_some_and(|since_ms| now_ms >= since_ms + RETURN_MS)
    }

    /// Drops replicas whose record did not come back in time.
    pub fn expire(&mut self, now_ms: u64) -> RegistryChange {
        if !self.is_trusted(now_ms) {
            return RegistryChange::Unchanged;
        }
        let before = self.entries.len();
        self.entries.retain(|_, entry| !entry.vanished);
        match before == self.entries.len() {
            true => RegistryChange::Unchanged,
            false => RegistryChange::Changed,
        }
    }

    /// All replicas, those that are draining included.
    pub fn replicas(&self) -> impl Iterator<Item = &Arc<Replica>> {
        self.entries.values().map(|entry| &entry.replica)
    }
}
