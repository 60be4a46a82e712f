//! A replica's pace as it is kept for another process. Times are ages, as the clocks of two
//! processes have nothing in common.

use derive::wire;

use crate::deviation::Deviation;
use crate::filter::LevelFilter;
use crate::run_cost::RunCost;

const MILLIONTHS: f64 = 1e6;
const THOUSANDTHS: f64 = 1e3;

/// State of a filter.
#[wire]
pub struct FilterSnapshot {
    /// Interval between two events, in microseconds.
    pub interval_us: u64,
    /// Mean number of other runs at which it was observed, in thousandths.
    pub other_runs_thousandths: u32,
    /// Variance of the interval's logarithm, in millionths.
    pub variance_millionths: u32,
}

/// State of a level slower than the steady pace.
#[wire]
pub struct DeviationSnapshot {
    /// The slower level.
    pub level: FilterSnapshot,
    /// Time since the replica became slower.
    pub since_age_ms: u64,
    /// Time since then that was covered by events.
    pub observed_ms: u64,
    /// Time since the last event.
    pub silent_ms: u64,
}

/// Sums for the cost of a further run.
#[wire]
pub struct RunCostSnapshot {
    /// Weight of the observations.
    pub weight: u32,
    /// Mean number of other runs, in thousandths.
    pub mean_runs_thousandths: u32,
    /// Mean interval, in microseconds.
    pub mean_us: u64,
    /// Sum of squared deviations of the number of other runs, in thousandths.
    pub runs_spread_thousandths: u32,
    /// Sum of products of deviations, in thousandths.
    pub joint_spread_thousandths: i32,
}

/// What is known of a replica's pace.
#[wire]
pub struct PaceSnapshot {
    /// Steady pace; `None` if the replica was not observed yet.
    pub steady: Option<FilterSnapshot>,
    /// Whether the steady pace takes the pool's pace into account.
    pub has_prior: bool,
    /// Slower level, if the replica deviates from its steady pace.
    pub deviation: Option<DeviationSnapshot>,
    /// Cost of a further run, if several numbers of runs were observed.
    pub run_cost: Option<RunCostSnapshot>,
}

impl FilterSnapshot {
    pub(crate) fn of(filter: &LevelFilter) -> Self {
        Self {
            interval_us: filter.log_us.exp().round() as u64,
            other_runs_thousandths: (filter.other_runs * THOUSANDTHS).round() as u32,
            variance_millionths: (filter.variance * MILLIONTHS).round() as u32,
        }
    }

    pub(crate) fn restore(&self) -> LevelFilter {
        LevelFilter {
            log_us: (self.interval_us.max(1) as f64).ln(),
            other_runs: f64::from(self.other_runs_thousandths) / THOUSANDTHS,
            variance: f64::from(self.variance_millionths.max(1)) / MILLIONTHS,
        }
    }
}

impl DeviationSnapshot {
    pub(crate) fn of(deviation: &Deviation, last_event_ms: u64, now_ms: u64) -> Self {
        Self {
            level: FilterSnapshot::of(&deviation.level),
            since_age_ms: now_ms.saturating_sub(deviation.since_ms),
            observed_ms: deviation.observed_ms,
            silent_ms: now_ms.saturating_sub(last_event_ms),
        }
    }

    pub(crate) fn restore(&self, age_ms: u64, now_ms: u64) -> Deviation {
        let age_ms = self.since_age_ms.saturating_add(age_ms);
        Deviation {
            level: self.level.restore(),
            since_ms: now_ms.saturating_sub(age_ms),
            observed_ms: self.observed_ms,
        }
    }
}

impl RunCostSnapshot {
    pub(crate) fn of(cost: &RunCost) -> Option<Self> {
        (cost.runs_spread > 0.0).then(|| Self {
            weight: cost.weight.round() as u32,
            mean_runs_thousandths: (cost.mean_runs * THOUSANDTHS).round() as u32,
            mean_us: cost.mean_us.round() as u64,
            runs_spread_thousandths: (cost.runs_spread * THOUSANDTHS).round() as u32,
            joint_spread_thousandths: (cost.joint_spread * THOUSANDTHS).round() as i32,
        })
    }

    pub(crate) fn restore(&self) -> RunCost {
        RunCost {
            weight: f64::from(self.weight.max(1)),
            mean_runs: f64::from(self.mean_runs_thousandths) / THOUSANDTHS,
            mean_us: self.mean_us.max(1) as f64,
            runs_spread: f64::from(self.runs_spread_thousandths) / THOUSANDTHS,
            joint_spread: f64::from(self.joint_spread_thousandths) / THOUSANDTHS,
        }
    }
}
