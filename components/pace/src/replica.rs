//! The pace of one replica in one life.

use crate::deviation::{Deviation, SILENCE_MS};
use crate::filter::{FilterRule, LevelFilter, Observation, PRIOR_VARIANCE};
use crate::level_test::{DetectedChange, Direction, LevelTest};
use crate::run_cost::RunCost;
use crate::snapshot::{DeviationSnapshot, FilterSnapshot, PaceSnapshot, RunCostSnapshot};
use crate::{DeviationTimes, LevelChange, PaceEstimate, PoolPace};

/// Shortest interval that shows a pace. Events closer together were received in one read.
const INTERVAL_MIN_US: u64 = 1_000;
/// Inverse part of the steady pace and of the pool's below which an event was held back on its way
/// and arrived together with the one before it. No level of a replica is that fast, also if the
/// steady pace was learnt while the replica was four times slower.
const HELD_BACK_INVERSE: f64 = 5.0;
/// Difference from the pool's pace, as a logarithm (1.6 times), beyond which a replica was first
/// observed in a slow period and not at its steady pace.
const FIRST_DEVIATION_MIN: f64 = 0.47;
/// Standard error below which the level of a replica is tested while its pool is not known; reached
/// after four intervals. A first interval that is too short or too long would show a change.
const TESTED_STANDARD_ERROR: f64 = 0.05;
/// Residual from the steady pace up to which an interval tells the cost of a further run.
const RUN_COST_RESIDUAL_MAX: f64 = 0.4;
/// Follows the steady pace with a final gain of 2 %. Pauses and slow periods are rejected.
const STEADY_RULE: FilterRule = FilterRule {
    drift_variance: 4e-6,
    residual_max: 0.25,
    outlier_residual: 0.6,
};

/// Pace of one replica in one life, without runs of other processes.
#[derive(Clone, Debug, Default)]
pub struct ReplicaPace {
    known: Option<Known>,
    run_cost: RunCost,
    last_event_ms: u64,
}

/// State of a replica that was observed.
#[derive(Clone, Debug)]
struct Known {
    steady: LevelFilter,
    /// Whether `steady` takes the pool's pace into account.
    has_prior: bool,
    deviation: Option<Deviation>,
    /// Durations of earlier deviations.
    times: DeviationTimes,
    test: LevelTest,
}

impl ReplicaPace {
    /// Records the interval between two events of a run at the replica. `running` is the number of
    /// runs that share the replica, with this one.
    pub fn record(
        &mut self,
        pool: &PoolPace,
        interval_us: u64,
        running: u32,
        now_ms: u64,
    ) -> Option<LevelChange> {
        let per_run = pool.per_run();
        let observation = Observation::new(interval_us.max(INTERVAL_MIN_US), running);
        if interval_us < INTERVAL_MIN_US {
            if let Some(known) = &mut self.known {
                known.test.add_held_back(&observation);
            }
            return None;
        }
        let silent_ms = now_ms.saturating_sub(self.last_event_ms);
        self.last_event_ms = now_ms;
        let known = self
            .known
            .get_or_insert_with(|| Known::first(pool, &observation));
        let change = known.record(pool, &observation, silent_ms, now_ms);
        let residual = observation.log_alone(per_run) - known.steady.log_alone(per_run);
        if known.deviation.is_none() && residual.abs() < RUN_COST_RESIDUAL_MAX {
            self.run_cost.add(interval_us, &observation);
        }
        change
    }

    /// Estimates the pace of a run that shares the replica with `running - 1` others.
    pub fn estimate(&self, pool: &PoolPace, running: u32, now_ms: u64) -> PaceEstimate {
        let per_run = pool.per_run();
        let factor = 1.0 + per_run * f64::from(running.max(1) - 1);
        let interval_us = |log_us: f64| (log_us.exp() * factor).round() as u64;
        let Some(known) = &self.known else {
            let interval_us = (pool.interval_us as f64 * factor).round() as u64;
            return PaceEstimate {
                interval_us,
                steady_us: interval_us,
                doubt_thousandths: thousandths(PRIOR_VARIANCE.sqrt()),
                deviates_since_ms: None,
                deviation_left_ms: 0,
                deviation_left_doubt_ms: 0,
            };
        };
        let steady = known.steady.log_alone(per_run);
        let steady_us = interval_us(steady);
        let silent_ms = now_ms.saturating_sub(self.last_event_ms);
        let deviating = known.deviation.as_ref().and_then(|deviation| {
            let remaining = deviation.remaining(&known.steady, per_run, silent_ms)?;
            Some((deviation, remaining))
        });
        match deviating {
            Some((deviation, remaining)) => {
                let age_ms = now_ms.saturating_sub(deviation.since_ms);
                let observed_ms = self.last_event_ms.saturating_sub(deviation.since_ms);
                let left = pool.deviations.left(observed_ms, age_ms);
                PaceEstimate {
                    interval_us: interval_us(steady + remaining),
                    steady_us,
                    doubt_thousandths: thousandths(deviation.level.standard_error()),
                    deviates_since_ms: Some(deviation.since_ms),
                    deviation_left_ms: left.mean_ms,
                    deviation_left_doubt_ms: left.doubt_ms,
                }
            }
            None => PaceEstimate {
                interval_us: steady_us,
                steady_us,
                doubt_thousandths: thousandths(known.steady.standard_error()),
                deviates_since_ms: None,
                deviation_left_ms: 0,
                deviation_left_doubt_ms: 0,
            },
        }
    }

    /// What another process needs to continue.
    pub fn snapshot(&self, now_ms: u64) -> PaceSnapshot {
        let known = self.known.as_ref();
        let deviation = known.and_then(|known| known.deviation.as_ref());
        PaceSnapshot {
            steady: known.map(|known| FilterSnapshot::of(&known.steady)),
            has_prior: known.is_some_and(|known| known.has_prior),
            deviation: deviation
                .map(|deviation| DeviationSnapshot::of(deviation, self.last_event_ms, now_ms)),
            run_cost: RunCostSnapshot::of(&self.run_cost),
        }
    }

    /// Continues from a snapshot that was made `age_ms` ago.
    pub fn restore(snapshot: &PaceSnapshot, age_ms: u64, now_ms: u64) -> Self {
        let deviation = snapshot.deviation.as_ref();
        let silent_ms = deviation.map_or(0, |deviation| deviation.silent_ms);
        let known = snapshot.steady.as_ref().map(|steady| {
            let steady = steady.restore();
            let deviation = deviation.map(|deviation| deviation.restore(age_ms, now_ms));
            let level = deviation.map_or(steady, |deviation| deviation.level);
            Known {
                steady,
                has_prior: snapshot.has_prior,
                deviation,
                times: DeviationTimes::new(),
                test: LevelTest::new(level),
            }
        });
        Self {
            known,
            run_cost: snapshot
                .run_cost
                .as_ref()
                .map_or_else(RunCost::default, RunCostSnapshot::restore),
            last_event_ms: now_ms.saturating_sub(silent_ms.saturating_add(age_ms)),
        }
    }

    pub(crate) fn is_observed(&self) -> bool {
        self.known.is_some()
    }

    /// Adds the durations of this replica's deviations to those of its pool.
    pub(crate) fn add_deviations(&self, pool: &mut DeviationTimes) {
        let Some(known) = &self.known else { return };
        pool.add(&known.times);
        if let Some(deviation) = &known.deviation {
            pool.add_lasting(deviation.observed_ms);
        }
    }

    pub(crate) fn run_cost(&self) -> &RunCost {
        &self.run_cost
    }
}

impl Known {
    fn first(pool: &PoolPace, observation: &Observation) -> Self {
        let has_prior = pool.interval_us > 0;
        let steady = match has_prior {
            true => LevelFilter::from_pool(pool.interval_us),
            false => LevelFilter::from_observation(observation, PRIOR_VARIANCE),
        };
        Self {
            steady,
            has_prior,
            deviation: None,
            times: DeviationTimes::new(),
            test: LevelTest::new(steady),
        }
    }

    fn record(
        &mut self,
        pool: &PoolPace,
        observation: &Observation,
        silent_ms: u64,
        now_ms: u64,
    ) -> Option<LevelChange> {
        let per_run = pool.per_run();
        if self.is_held_back(pool, observation) {
            self.test.add_held_back(observation);
            return None;
        }
        if let Some(change) = self.add_prior(pool, now_ms) {
            return Some(change);
        }
        let expiry = self.expire(per_run, silent_ms);
        let is_deviating = self.deviation.is_some();
        let change = match self.test.add(observation, per_run, is_deviating) {
            Some(detected) => self.change_level(&detected, per_run, now_ms),
            None => self.follow(observation, per_run, now_ms),
        };
        change.or(expiry)
    }

    fn is_held_back(&self, pool: &PoolPace, observation: &Observation) -> bool {
        let steady = self.steady.log_alone(pool.per_run());
        let fastest = match pool.interval_us {
            0 => steady,
            interval_us => steady.min((interval_us as f64).ln()),
        };
        observation.log_us < fastest - HELD_BACK_INVERSE.ln()
    }

    /// Takes the pool's pace into account once it is known. A replica that was first observed in a
    /// slow period gets the pool's pace as its steady pace.
    fn add_prior(&mut self, pool: &PoolPace, now_ms: u64) -> Option<LevelChange> {
        if self.has_prior || pool.interval_us == 0 {
            return None;
        }
        self.has_prior = true;
        let per_run = pool.per_run();
        let prior = LevelFilter::from_pool(pool.interval_us);
        let difference = self.steady.log_alone(per_run) - prior.log_alone(per_run);
        if difference > FIRST_DEVIATION_MIN {
            let level = self.steady;
            self.steady = prior;
            self.deviation = Some(Deviation::new(level, now_ms));
            return Some(LevelChange::Slower);
        }
        if difference > -FIRST_DEVIATION_MIN {
            self.steady = self.steady.combined(&prior, per_run);
            self.test.follow(&self.steady);
        }
        None
    }

    /// Ends a deviation that the replica is expected to have left since its last event, or that has
    /// become the steady pace.
    fn expire(&mut self, per_run: f64, silent_ms: u64) -> Option<LevelChange> {
        let deviation = self.deviation.as_mut()?;
        let still_deviates = deviation.advance(&self.steady, per_run, silent_ms);
        if still_deviates && !deviation.is_lasting() {
            self.test.follow(&deviation.level);
            return None;
        }
        if still_deviates {
            self.steady = deviation.level;
        }
        self.times.record_censored(deviation.observed_ms);
        self.recover();
        Some(LevelChange::Recovered)
    }

    fn recover(&mut self) {
        self.deviation = None;
        self.test = LevelTest::new(self.steady);
    }

    fn change_level(
        &mut self,
        detected: &DetectedChange,
        per_run: f64,
        now_ms: u64,
    ) -> Option<LevelChange> {
        self.test = LevelTest::new(detected.after);
        match (&mut self.deviation, detected.direction) {
            (None, Direction::Slower) => {
                // The steady pace may have followed the first slow intervals.
                self.steady = detected.before;
                self.deviation = Some(Deviation::new(detected.after, now_ms));
                Some(LevelChange::Slower)
            }
            (None, Direction::Faster) => {
                // Replicas are slow for a time, but not fast: the steady pace was wrong.
                self.steady = detected.after;
                None
            }
            (Some(deviation), _) => {
                deviation.level = detected.after;
                self.recover_if_back(per_run, now_ms)
            }
        }
    }

    fn follow(
        &mut self,
        observation: &Observation,
        per_run: f64,
        now_ms: u64,
    ) -> Option<LevelChange> {
        let Some(deviation) = &mut self.deviation else {
            self.steady.update(observation, per_run, &STEADY_RULE);
            match self.has_prior || self.steady.standard_error() < TESTED_STANDARD_ERROR {
                true => self.test.follow(&self.steady),
                false => self.test = LevelTest::new(self.steady),
            }
            return None;
        };
        deviation.follow(observation, per_run);
        self.test.follow(&deviation.level);
        self.recover_if_back(per_run, now_ms)
    }

    fn recover_if_back(&mut self, per_run: f64, now_ms: u64) -> Option<LevelChange> {
        let deviation = self.deviation.as_ref()?;
        if deviation.remaining(&self.steady, per_run, 0).is_some() {
            return None;
        }
        let age_ms = now_ms.saturating_sub(deviation.since_ms);
        // The end lies within a silence if there was one.
        match age_ms < deviation.observed_ms + SILENCE_MS {
            true => self.times.record_ended(age_ms),
            false => self.times.record_censored(deviation.observed_ms),
        }
        self.recover();
        Some(LevelChange::Recovered)
    }
}

fn thousandths(standard_error: f64) -> u64 {
    (standard_error * 1_000.0).round() as u64
}
