//! Decay of a replica's measured slowness over time.

/// Number of half-lives after which the decay stops; the remainder is negligible.
const HALF_LIVES_MAX: u64 = 10;

/// Returns the slowness, in thousandths, after `age_ms` without an observation. The part above
/// `baseline` halves every `half_life_ms`.
pub(crate) fn decayed(slowness: u64, baseline: u64, age_ms: u64, half_life_ms: u64) -> u64 {
    if slowness <= baseline {
        return slowness;
    }
    let half_lives = (age_ms / half_life_ms).min(HALF_LIVES_MAX);
    baseline + ((slowness - baseline) >> half_lives)
}
