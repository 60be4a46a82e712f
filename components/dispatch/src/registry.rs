//! Replicas that accept work, from their records in the platform's store.
//!
//! A record that disappears during a store outage or shortly after it may come back: the replica
//! may be alive and only unable to write. Such a replica keeps receiving work for a short time.
//! Each incarnation of a replica has its own id. The address does not identify a replica, because
//! the platform reuses addresses for other services.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use derive::value;

/// Id of one incarnation of a replica.
pub type ReplicaId = Arc<str>;

/// How long a replica whose record is missing keeps receiving work after the store's recovery.
/// Records of live replicas are back about 2 s after the recovery, and a removed record must be
/// obeyed only once the store has been stable for 3 s.
const RECOVERY_GRACE_MS: u64 = 2_300;

/// How long the store must have been silent after a failed call before records of live replicas can
/// be missing. Replicas write at least once a second. A refused read is retried within 0.3 s, and a
/// read without an answer times out after 1.3 s.
const OUTAGE_MS_MIN: u64 = 900;

/// A replica as described by its record.
#[value]
pub struct Replica {
    /// Unique to one incarnation.
    pub id: ReplicaId,
    /// Start time as Unix time, if the record has one. A replica that restarts under the same id
    /// has lost its state.
    pub started_ms: Option<u64>,
    /// Service that the replica belongs to.
    pub service: Arc<str>,
    /// Address that the replica listens on.
    pub address: SocketAddr,
    /// Failure domain that the replica is in.
    pub domain: Arc<str>,
    /// Number of requests that the replica runs concurrently.
    pub slots: u32,
    /// Whether the replica accepts no new work because it is about to stop.
    pub draining: bool,
    /// Versions of the weights that the replica has, by name of the model.
    pub models: Vec<(Arc<str>, u64)>,
}

impl Replica {
    /// Version of the weights that the replica has for a model.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let held = self.models.iter().find(|(name, _)| &**name == model)?;
        Some(held.1)
    }
}

/// Whether more than half of the replicas that are not draining report their start. State that is
/// kept for the life of a replica is used only then, because a restart under the same id cannot be
/// detected otherwise.
pub fn most_report_start<'a>(replicas: impl Iterator<Item = &'a Replica>) -> bool {
    let (mut all, mut reporting) = (0, 0);
    for replica in replicas.filter(|replica| !replica.draining) {
        all += 1;
        reporting += usize::from(replica.started_ms.is_some());
    }
    2 * reporting > all
}

/// Effect of a record on the set of replicas.
#[value]
pub enum RegistryChange {
    /// No replica was added, removed or changed.
    Unchanged,
    /// A replica was added, removed or changed.
    Changed,
}

#[derive(Debug)]
struct Entry {
    replica: Arc<Replica>,
    missing: bool,
}

/// Replicas that accept work, and whether the store's removals can be trusted.
#[derive(Debug, Default)]
pub struct Registry {
    entries: BTreeMap<ReplicaId, Entry>,
    /// When the store recovered from the last outage long enough for records to expire; `None`
    /// before its first answer.
    store_available_since_ms: Option<u64>,
    /// Time of the store's last answer.
    answered_ms: u64,
    /// Whether a call has failed since the last answer.
    failing: bool,
}

impl Registry {
    /// Adds or updates a replica from its record.
    pub fn put(&mut self, replica: Replica) -> RegistryChange {
        if let Some(known) = self.entries.get_mut(&replica.id)
            && *known.replica == replica
        {
            known.missing = false;
            return RegistryChange::Unchanged;
        }
        let id = Arc::clone(&replica.id);
        let replica = Arc::new(replica);
        self.entries.insert(
            id,
            Entry {
                replica,
                missing: false,
            },
        );
        RegistryChange::Changed
    }

    /// Handles the removal of a replica's record. During and shortly after an outage the replica is
    /// only marked as missing.
    pub fn remove(&mut self, id: &str, now_ms: u64) -> RegistryChange {
        if self.trusts_removals(now_ms) {
            return match self.entries.remove(id) {
                Some(_) => RegistryChange::Changed,
                None => RegistryChange::Unchanged,
            };
        }
        if let Some(entry) = self.entries.get_mut(id) {
            entry.missing = true;
        }
        RegistryChange::Unchanged
    }

    /// Handles a complete list of records: every replica that is not in `listed` has lost its
    /// record.
    pub fn retain_listed(&mut self, listed: &[ReplicaId], now_ms: u64) -> RegistryChange {
        let listed: HashSet<&ReplicaId> = listed.iter().collect();
        let missing: Vec<ReplicaId> = self
            .entries
            .keys()
            .filter(|id| !listed.contains(*id))
            .cloned()
            .collect();
        let mut change = RegistryChange::Unchanged;
        for id in missing {
            if self.remove(&id, now_ms) == RegistryChange::Changed {
                change = RegistryChange::Changed;
            }
        }
        change
    }

    /// Records a failed call to the store.
    pub fn record_store_failure(&mut self) {
        self.failing = true;
    }

    /// Records an answer of the store.
    pub fn record_store_answer(&mut self, now_ms: u64) {
        if self.store_available_since_ms.is_none() || self.is_store_unavailable(now_ms) {
            self.store_available_since_ms = Some(now_ms);
        }
        self.failing = false;
        self.answered_ms = now_ms;
    }

    fn is_store_unavailable(&self, now_ms: u64) -> bool {
        self.failing && now_ms >= self.answered_ms + OUTAGE_MS_MIN
    }

    fn trusts_removals(&self, now_ms: u64) -> bool {
        let available_since_ms = self.store_available_since_ms;
        !self.is_store_unavailable(now_ms)
            && available_since_ms
                .is_some_and(|available_since_ms| now_ms >= available_since_ms + RECOVERY_GRACE_MS)
    }

    /// Removes replicas whose records have not come back within the grace period after the store's
    /// recovery.
    pub fn expire(&mut self, now_ms: u64) -> RegistryChange {
        if !self.trusts_removals(now_ms) {
            return RegistryChange::Unchanged;
        }
        let before = self.entries.len();
        self.entries.retain(|_, entry| !entry.missing);
        match before == self.entries.len() {
            true => RegistryChange::Unchanged,
            false => RegistryChange::Changed,
        }
    }

    /// All replicas, including draining ones.
    pub fn replicas(&self) -> impl Iterator<Item = &Arc<Replica>> {
        self.entries.values().map(|entry| &entry.replica)
    }
}
