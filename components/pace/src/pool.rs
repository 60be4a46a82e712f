//! The typical pace of a pool of replicas.

use derive::value;

use crate::{DeviationTimes, ReplicaPace};

/// Largest cost of a further run, in thousandths.
const PER_RUN_MAX_THOUSANDTHS: f64 = 50.0;
/// Spread of the numbers of runs from which their cost is known. Noise of 10 % then gives a
/// standard error of 5 thousandths.
const RUNS_SPREAD_MIN: f64 = 400.0;
/// Inverse share of the replicas that must have been observed before the pool's interval is known;
/// the first replicas may be slow ones.
const OBSERVED_SHARE_INVERSE: usize = 3;

/// Typical pace of the replicas of a pool.
#[value]
#[derive(Copy, Default)]
pub struct PoolPace {
    /// Median interval between two events of a run without others, in microseconds; 0 if not known.
    pub interval_us: u64,
    /// How much each further run at a replica lengthens the intervals, in thousandths; 0 if not
    /// known.
    pub per_run_thousandths: u64,
    /// How long deviations of the replicas last.
    pub deviations: DeviationTimes,
}

impl PoolPace {
    /// Combines all replicas of a pool, with those that were not observed yet.
    pub fn of<'a>(replicas: impl Iterator<Item = &'a ReplicaPace>) -> Self {
        let mut total = 0;
        let mut observed = Vec::new();
        for replica in replicas {
            total += 1;
            observed.extend(replica.is_observed().then_some(replica));
        }
        let per_run_thousandths = per_run_thousandths(&observed);
        let mut pool = Self {
            interval_us: 0,
            per_run_thousandths,
            deviations: DeviationTimes::new(),
        };
        for replica in &observed {
            replica.add_deviations(&mut pool.deviations);
        }
        if observed.len() * OBSERVED_SHARE_INVERSE >= total {
            let mut intervals: Vec<u64> = observed
                .iter()
                .map(|replica| replica.estimate(&pool, 1, 0).steady_us)
                .collect();
            intervals.sort_unstable();
            pool.interval_us = intervals.get(intervals.len() / 2).copied().unwrap_or(0);
        }
        pool
    }

    pub(crate) fn per_run(&self) -> f64 {
        self.per_run_thousandths as f64 / 1_000.0
    }
}

fn per_run_thousandths(observed: &[&ReplicaPace]) -> u64 {
    let (mut runs_spread, mut joint_spread, mut weight, mut runs) = (0.0, 0.0, 0.0, 0.0);
    for cost in observed.iter().map(|replica| replica.run_cost()) {
        runs_spread += cost.runs_spread;
        joint_spread += cost.joint_spread;
        weight += cost.weight;
        runs += cost.weight * cost.mean_runs;
    }
    if runs_spread < RUNS_SPREAD_MIN {
        return 0;
    }
    // The slope is relative to the mean interval, the result to that of a run without others.
    let slope = joint_spread / runs_spread;
    let alone = 1.0 - slope * runs / weight;
    (slope / alone.max(0.5) * 1_000.0)
        .clamp(0.0, PER_RUN_MAX_THOUSANDTHS)
        .round() as u64
}
