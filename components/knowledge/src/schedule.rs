//! When the owner of a shard writes its knowledge.

/// Shortest time between two records of a shard, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// Decides when the knowledge of a shard is written: at once when this process becomes the owner,
/// then at most once a second and only if it has changed.
#[derive(Debug)]
pub struct WriteSchedule {
    has_changed: bool,
    last_ms: Option<u64>,
}

impl Default for WriteSchedule {
    fn default() -> Self {
        Self {
            has_changed: true,
            last_ms: None,
        }
    }
}

impl WriteSchedule {
    /// Notes that the knowledge has changed, or that it could not be written.
    pub fn mark_changed(&mut self) {
        self.has_changed = true;
    }

    /// Returns whether the knowledge is to be written now, and then takes it as written.
    pub fn take_due(&mut self, now_ms: u64) -> bool {
        let has_waited = self
            .last_ms
            .is_none_or(|last_ms| now_ms.saturating_sub(last_ms) >= INTERVAL_MS);
        if !self.has_changed || !has_waited {
            return false;
        }
        self.has_changed = false;
        self.last_ms = Some(now_ms);
        true
    }
}
