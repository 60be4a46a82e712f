//! The length at which texts are cut.

/// Complete texts near the longest one that show a maximum. In a tail that is not cut, the longest
/// texts lie further apart.
const NEAR_MIN: u32 = 3;
/// Inverse part by which a text may be shorter than the longest one and is near it.
const NEAR_INVERSE: u64 = 32;
/// Complete texts near the longest one for each text that was dropped there. Where texts end because
/// their steps end, more texts are dropped near the longest complete one than come to their end.
const NEAR_PER_DROPPED: u32 = 3;

/// The longest texts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Longest {
    pub(crate) events: u64,
    /// Number of complete texts near `events`.
    pub(crate) near: u32,
    /// Number of texts that were dropped near `events`.
    pub(crate) dropped: u32,
}

impl Longest {
    pub(crate) fn add_complete(&mut self, events: u64) {
        if self.extend(events) {
            self.near = self.near.saturating_add(1);
        }
    }

    pub(crate) fn add_dropped(&mut self, events: u64) {
        if self.extend(events) {
            self.dropped = self.dropped.saturating_add(1);
        }
    }

    /// The length at which texts are cut, if it is known.
    pub(crate) fn limit(&self) -> Option<u64> {
        let is_shown = self.near >= NEAR_MIN && self.near / NEAR_PER_DROPPED >= self.dropped;
        is_shown.then_some(self.events)
    }

    /// Counts `events` among the longest lengths, and returns whether it is near the longest.
    fn extend(&mut self, events: u64) -> bool {
        let is_near =
            |events: u64, longest: u64| events.saturating_add(longest / NEAR_INVERSE) >= longest;
        if events <= self.events {
            return is_near(events, self.events);
        }
        *self = match is_near(self.events, events) {
            true => Self { events, ..*self },
            false => Self {
                events,
                ..Self::default()
            },
        };
        true
    }
}
