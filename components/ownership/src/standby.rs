//! When a small process joins a group whose work is meant for larger processes.
//!
//! The store assigns partitions evenly among the members, regardless of their size. A front with a
//! tenth of a core that owns a shard finishes its steps late, while a front with half a core is
//! idle. A small front therefore stays out of the group as long as a larger one owns a partition,
//! and joins when none has owned one for some time. A wrong decision costs speed, but no results.

/// Time without a larger owner after which a small process joins, in milliseconds. Longer than the
/// gap while larger processes restart or partitions are reassigned.
const JOIN_AFTER_MS: u64 = 1_500;

/// State of a small process that stands by for larger ones.
#[derive(Debug, Default)]
pub struct Standby {
    no_larger_owner_since_ms: Option<u64>,
}

impl Standby {
    /// Notes whether a larger process owns a partition. It is not called while the store cannot be
    /// queried, so the last observation stays valid.
    pub fn observe_owners(&mut self, larger_owns: bool, now_ms: u64) {
        self.no_larger_owner_since_ms = match larger_owns {
            true => None,
            false => self.no_larger_owner_since_ms.or(Some(now_ms)),
        };
    }

    /// Whether the process should be a member of the group now.
    pub fn should_join(&self, now_ms: u64) -> bool {
        let since_ms = self.no_larger_owner_since_ms;
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + JOIN_AFTER_MS)
    }
}
