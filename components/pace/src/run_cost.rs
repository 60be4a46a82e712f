//! The slope of a replica's intervals over the number of its runs.

use crate::filter::Observation;

/// Weight of observations that are remembered; older ones are forgotten in proportion.
const WEIGHT_MAX: f64 = 2_000.0;

/// Weighted sums of one replica for a linear regression of the interval over the number of other
/// runs. They are centred, so that those of several replicas can be added.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunCost {
    pub(crate) weight: f64,
    pub(crate) mean_runs: f64,
    pub(crate) mean_us: f64,
    /// Sum of squared deviations of the number of other runs.
    pub(crate) runs_spread: f64,
    /// Sum of products of deviations, in units of `mean_us`.
    pub(crate) joint_spread: f64,
}

impl RunCost {
    pub(crate) fn add(&mut self, interval_us: u64, observation: &Observation) {
        let interval_us = interval_us as f64;
        if self.weight <= 0.0 {
            self.mean_us = interval_us;
        }
        let runs_before = observation.other_runs - self.mean_runs;
        self.weight += observation.weight;
        let share = observation.weight / self.weight;
        self.mean_runs += share * runs_before;
        self.mean_us += share * (interval_us - self.mean_us);
        let runs_after = observation.other_runs - self.mean_runs;
        let interval_after = (interval_us - self.mean_us) / self.mean_us;
        self.runs_spread += observation.weight * runs_before * runs_after;
        self.joint_spread += observation.weight * runs_before * interval_after;
        if self.weight > WEIGHT_MAX {
            let kept = WEIGHT_MAX / self.weight;
            self.weight *= kept;
            self.runs_spread *= kept;
            self.joint_spread *= kept;
        }
    }
}
