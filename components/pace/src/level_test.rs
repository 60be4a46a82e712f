//! Two-sided CUSUM test for a change of the level of a replica's intervals.

use crate::filter::{LevelFilter, NOISE_VARIANCE, Observation};

/// Largest effect of one interval, as a logarithm. Together with [`ALLOWANCE`] and
/// [`SLOWER_THRESHOLD`] it lets one pause, however long, pass without a change, and detects a level
/// twice as slow after two intervals of each run.
const RESIDUAL_MAX: f64 = 0.8;
/// Deviation that is no change, as a logarithm (1.28 times), apart from the standard error of the
/// reference. Lies above the permanent difference between replicas of a pool.
const ALLOWANCE: f64 = 0.25;
/// Sum of excess deviations that shows a slower level.
const SLOWER_THRESHOLD: f64 = 0.8;
/// Sum of excess deviations that shows a faster level. A return from a slower level is detected
/// with [`SLOWER_THRESHOLD`]; a level faster than the steady pace only appears if the estimate was
/// wrong, and events that were held back and arrive together look like one.
const FASTER_THRESHOLD: f64 = 1.6;
/// Largest logarithm by which an interval counts beyond the reference in the mean of the new level.
/// Covers levels six times as slow and limits the effect of a pause at the change.
const LEVEL_RESIDUAL_MAX: f64 = 1.8;

/// Direction of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    Slower,
    Faster,
}

/// Sum of excess deviations in one direction, and the mean of the intervals since it left zero.
#[derive(Clone, Copy, Debug, Default)]
struct Side {
    excess: f64,
    weight: f64,
    log_us: f64,
    other_runs: f64,
}

impl Side {
    fn add(&mut self, excess: f64, log_us: f64, observation: &Observation) {
        self.excess += excess * observation.weight;
        if self.excess <= 0.0 {
            *self = Self::default();
            return;
        }
        self.weight += observation.weight;
        let share = observation.weight / self.weight;
        self.log_us += share * (log_us - self.log_us);
        self.other_runs += share * (observation.other_runs - self.other_runs);
    }

    fn level(&self) -> LevelFilter {
        LevelFilter {
            log_us: self.log_us,
            other_runs: self.other_runs,
            variance: NOISE_VARIANCE / self.weight,
        }
    }
}

/// A test in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LevelTest {
    /// The level before the deviations that are summed up now.
    reference: LevelFilter,
    slower: Side,
    faster: Side,
}

/// A detected change.
pub(crate) struct DetectedChange {
    pub(crate) direction: Direction,
    /// The level before the change.
    pub(crate) before: LevelFilter,
    /// The level since the change.
    pub(crate) after: LevelFilter,
}

impl LevelTest {
    pub(crate) fn new(reference: LevelFilter) -> Self {
        Self {
            reference,
            slower: Side::default(),
            faster: Side::default(),
        }
    }

    /// Moves the reference to `level` unless a deviation is being summed up.
    pub(crate) fn follow(&mut self, level: &LevelFilter) {
        if self.slower.excess <= 0.0 && self.faster.excess <= 0.0 {
            self.reference = *level;
        }
    }

    /// Adds an interval. `is_recovering` tells that a faster level is expected.
    pub(crate) fn add(
        &mut self,
        observation: &Observation,
        per_run: f64,
        is_recovering: bool,
    ) -> Option<DetectedChange> {
        let residual = observation.log_alone(per_run) - self.reference.log_alone(per_run);
        let allowance = ALLOWANCE + self.reference.standard_error();
        let capped = residual.clamp(-RESIDUAL_MAX, RESIDUAL_MAX);
        let beyond = residual - residual.clamp(-LEVEL_RESIDUAL_MAX, LEVEL_RESIDUAL_MAX);
        let log_us = observation.log_us - beyond;
        self.slower.add(capped - allowance, log_us, observation);
        self.faster.add(-capped - allowance, log_us, observation);
        let faster_threshold = match is_recovering {
            true => SLOWER_THRESHOLD,
            false => FASTER_THRESHOLD,
        };
        let (direction, after) = match () {
            () if self.slower.excess >= SLOWER_THRESHOLD => {
                (Direction::Slower, self.slower.level())
            }
            () if self.faster.excess >= faster_threshold => {
                (Direction::Faster, self.faster.level())
            }
            () => return None,
        };
        Some(DetectedChange {
            direction,
            before: self.reference,
            after,
        })
    }

    /// Counts an event that was held back and arrived together with the one before it. It makes up
    /// for the late one before, and shows no faster level.
    pub(crate) fn add_held_back(&mut self, observation: &Observation) {
        let excess = -RESIDUAL_MAX - ALLOWANCE;
        self.slower.add(excess, observation.log_us, observation);
    }
}
