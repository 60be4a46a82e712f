//! When a small process takes part in a group whose work is meant for larger ones.
//!
//! Partitions are dealt evenly among the members, whatever their size. A front with a tenth of
//! a core that is dealt a shard makes its steps late, while one with half a core stands idle.
//! So a small one stays out of the group as long as a larger one has a partition, and joins
//! when none has had one for a time: a wrong guess costs speed, never a result.

/// Time without a larger owner after which a small process joins, in milliseconds: longer than
/// the gap that larger ones leave when they restart or are dealt partitions anew.
const ALONE_MS: u64 = 1_500;

/// What a small process knows of the larger ones.
#[derive(Debug, Default)]
pub struct Standby {
    alone_since_ms: Option<u64>,
}

impl Standby {
    /// Takes the word whether a larger process has a partition. While the store can't be asked,
    /// nothing is known, and what was known stands.
    pub fn observe_owners(&mut self, larger_owns: bool, now_ms: u64) {
        self.alone_since_ms = match larger_owns {
            true => None,
            false => self.alone_since_ms.or(Some(now_ms)),
        };
    }

    /// Whether it takes part.
    pub fn should_join(&self, now_ms: u64) -> bool {
        let since_ms = self.alone_since_ms;
        since_ms.is_some_and(|since_ms| now_ms >= since_ms + ALONE_MS)
    }
}
