//! Settings of the admission to a service.

use derive::value;
use types::Class;

/// Settings of admission to one service.
#[value]
pub struct AdmissionSettings {
    /// Maximum number of waiting requests of one customer in one class.
    pub waiting_max: u32,
    /// The same for background requests.
    pub background_waiting_max: u32,
    /// Slots that background requests leave free for interactive ones, in thousandths of the limit.
    /// Sampling requests leave twice as many free.
    pub headroom_permille: u32,
    /// Number of higher-class requests that are admitted before a waiting background request.
    pub background_skips_max: u32,
    /// Number of higher-class requests that are admitted before a waiting sampling request.
    pub sampling_skips_max: u32,
    /// Number of requests by which a customer may be ahead of a customer waiting in a lower class.
    /// Beyond it the class gives the customer no priority.
    pub lead_requests_max: u32,
    /// Assumed time for which a request holds its slot until requests have been measured, in
    /// milliseconds.
    pub initial_hold_ms: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            waiting_max: 64,
            background_waiting_max: 64,
            headroom_permille: 50,
            background_skips_max: 8,
            sampling_skips_max: 16,
            lead_requests_max: 32,
            initial_hold_ms: 100,
        }
    }
}

impl AdmissionSettings {
    /// Number of slots, out of `limit`, that `class` may fill. At least one, or a small limit would
    /// exclude the class entirely.
    pub(crate) fn slots_for(&self, class: Class, limit: u32) -> u32 {
        let headroom_shares = match class {
            Class::Interactive => 0,
            Class::Background => 1,
            Class::Sampling => 2,
        };
        let headroom_permille = u64::from(self.headroom_permille) * headroom_shares;
        let left_free = u64::from(limit) * headroom_permille / 1_000;
        limit.saturating_sub(left_free as u32).max(1).min(limit)
    }

    pub(crate) fn waiting_max(&self, class: Class) -> u32 {
        match class {
            Class::Background => self.background_waiting_max,
            Class::Interactive | Class::Sampling => self.waiting_max,
        }
    }

    pub(crate) fn skips_max(&self, class: Class) -> u32 {
        match class {
            Class::Interactive => u32::MAX,
            Class::Background => self.background_skips_max,
            Class::Sampling => self.sampling_skips_max,
        }
    }
}
