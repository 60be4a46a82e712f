//! The length at which texts are cut.

/// Complete texts near the longest one that show a maximum. In a tail that is not cut, the longest
/// texts lie further apart.
const NEAR_MIN: u32 = 3;
/// Inverse part by which a text may be shorter than the longest one and is near it.
const NEAR_INVERSE: u64 = 32;

/// The longest complete texts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Longest {
    pub(crate) events: u64,
    /// Number of complete texts near `events`.
    pub(crate) near: u32,
}

impl Longest {
    pub(crate) fn add(&mut self, events: u64) {
        let is_near = |events: u64, longest: u64| events + longest / NEAR_INVERSE >= longest;
        if events > self.events {
            let kept = match is_near(self.events, events) {
                true => self.near,
                false => 0,
            };
            *self = Self {
                events,
                near: kept.saturating_add(1),
            };
        } else if is_near(events, self.events) {
            self.near = self.near.saturating_add(1);
        }
    }

    /// The length at which texts are cut, if it is known.
    pub(crate) fn limit(&self) -> Option<u64> {
        (self.near >= NEAR_MIN).then_some(self.events)
    }
}
