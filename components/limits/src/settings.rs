//! What can be set about admission to a service.

use derive::value;
use types::Class;

/// Settings of admission to one service.
#[value]
pub struct AdmissionSettings {
    /// Most requests of one customer that wait in one class.
    pub waiting_max: u32,
    /// Slots that background and sampling leave free, in thousandths of the limit, so
    /// that an interactive request finds one; sampling leaves twice as many.
    pub headroom_permille: u32,
    /// Times that waiting background work is passed over before one of it goes first.
    pub background_skips_max: u32,
    /// Times that waiting sampling work is passed over before one of it goes first.
    pub sampling_skips_max: u32,
    /// Requests by which a customer may be ahead of another that waits in a lower class
    /// before its own class gives it no priority.
    pub lead_requests_max: u32,
    /// How long a slot is held, before it has been measured, in milliseconds.
    pub initial_hold_ms: u32,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            waiting_max: 64,
            headroom_permille: 50,
            background_skips_max: 8,
            sampling_skips_max: 16,
            lead_requests_max: 32,
            initial_hold_ms: 100,
        }
    }
}

impl AdmissionSettings {
    /// Slots of `limit` that `class` may fill. At least one, or a small limit would
    /// shut the class out for good.
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

    pub(crate) fn skips_max(&self, class: Class) -> u32 {
        match class {
            Class::Interactive => u32::MAX,
            Class::Background => self.background_skips_max,
            Class::Sampling => self.sampling_skips_max,
        }
    }
}
