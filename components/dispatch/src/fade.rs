//! How slowness is forgotten.

/// Halvings after which nothing is left of it.
const HALVINGS_MAX: u64 = 10;

/// Slowness in thousandths after `age_ms` without an observation, if half of what lies beyond
/// `even` is forgotten each `half_ms`.
pub(crate) fn faded(slowness: u64, even: u64, age_ms: u64, half_ms: u64) -> u64 {
    if slowness <= even {
        return slowness;
    }
    let halvings = (age_ms / half_ms).min(HALVINGS_MAX);
    even + ((slowness - even) >> halvings)
}
