//! A level slower than the steady pace.

use crate::filter::{FilterRule, LevelFilter, Observation};

/// Time in which the deviation of a replica without events halves. Slow periods last 5 to 8 s, and
/// a replica that receives no runs shows no recovery.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Silence from which a deviation counts as halving also in the state; shorter gaps lie between the
/// events of a slow replica.
pub(crate) const SILENCE_MS: u64 = 1_000;
/// Deviation below which a replica is back at its steady pace, as a logarithm (1.15 times).
const DEVIATION_MIN: f64 = 0.14;
/// Observed time after which a level becomes the steady pace; longer than slow periods last.
const LASTING_MS: u64 = 20_000;
/// Follows a level with a gain of a quarter, since slow levels change within seconds.
const LEVEL_RULE: FilterRule = FilterRule {
    drift_variance: 8e-4,
    residual_max: 0.5,
    outlier_residual: f64::INFINITY,
};

/// The slower level of a replica.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Deviation {
    pub(crate) level: LevelFilter,
    pub(crate) since_ms: u64,
    /// Time that was covered by events since the deviation began.
    pub(crate) observed_ms: u64,
}

impl Deviation {
    pub(crate) fn new(level: LevelFilter, since_ms: u64) -> Self {
        Self {
            level,
            since_ms,
            observed_ms: 0,
        }
    }

    /// Expected deviation from `steady` after a silence, as a logarithm; `None` if the replica is
    /// expected to be back.
    pub(crate) fn remaining(
        &self,
        steady: &LevelFilter,
        per_run: f64,
        silent_ms: u64,
    ) -> Option<f64> {
        let deviation = self.level.log_alone(per_run) - steady.log_alone(per_run);
        let remaining = deviation * (-(silent_ms as f64) / HALF_LIFE_MS).exp2();
        (remaining >= DEVIATION_MIN).then_some(remaining)
    }

    /// Brings the level up to date after `silent_ms` without an event. Returns whether the replica
    /// still deviates.
    pub(crate) fn advance(&mut self, steady: &LevelFilter, per_run: f64, silent_ms: u64) -> bool {
        if silent_ms < SILENCE_MS {
            self.observed_ms = self.observed_ms.saturating_add(silent_ms);
            return true;
        }
        let before = self.remaining(steady, per_run, 0);
        match (before, self.remaining(steady, per_run, silent_ms)) {
            (Some(before), Some(remaining)) => {
                self.level.log_us -= before - remaining;
                true
            }
            _ => false,
        }
    }

    pub(crate) fn follow(&mut self, observation: &Observation, per_run: f64) {
        self.level.update(observation, per_run, &LEVEL_RULE);
    }

    /// Whether the level has lasted so long that it is the steady pace.
    pub(crate) fn is_lasting(&self) -> bool {
        self.observed_ms > LASTING_MS
    }
}
