//! Kalman filter of the logarithm of the interval between events.

/// Variance of the logarithm of one interval; corresponds to noise of 10 %.
pub(crate) const NOISE_VARIANCE: f64 = 0.01;
/// Variance of the logarithm of a replica's pace around that of its pool. Covers replicas whose
/// intervals differ by 1 : 1.3 within 1.3 standard deviations.
pub(crate) const PRIOR_VARIANCE: f64 = 0.04;

/// One interval between two events of a run.
#[derive(Clone, Copy)]
pub(crate) struct Observation {
    /// Logarithm of the interval in microseconds.
    pub(crate) log_us: f64,
    /// Number of other runs at the replica.
    pub(crate) other_runs: f64,
    /// Share of an independent observation; all runs of a replica observe the same pauses.
    pub(crate) weight: f64,
}

impl Observation {
    pub(crate) fn new(interval_us: u64, running: u32) -> Self {
        let running = f64::from(running.max(1));
        Self {
            log_us: (interval_us as f64).ln(),
            other_runs: running - 1.0,
            weight: 1.0 / running,
        }
    }

    /// Logarithm of the interval of a run without others.
    pub(crate) fn log_alone(&self, per_run: f64) -> f64 {
        self.log_us - log_factor(per_run, self.other_runs)
    }
}

/// Logarithm of the factor by which `other_runs` lengthen an interval.
pub(crate) fn log_factor(per_run: f64, other_runs: f64) -> f64 {
    (per_run * other_runs).ln_1p()
}

/// How a filter follows its observations.
pub(crate) struct FilterRule {
    /// Variance that the level gains with each observation of weight 1.
    pub(crate) drift_variance: f64,
    /// Residual beyond which an observation has no more effect.
    pub(crate) residual_max: f64,
    /// Residual beyond which an observation is rejected as an outlier, apart from twice the
    /// standard error of the filter.
    pub(crate) outlier_residual: f64,
}

/// Estimate of a level. It is kept at the number of other runs at which it was observed, so that
/// it stays valid when the cost of a further run becomes known later.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LevelFilter {
    /// Logarithm of the interval in microseconds.
    pub(crate) log_us: f64,
    /// Mean number of other runs in the observations.
    pub(crate) other_runs: f64,
    /// Variance of `log_us`.
    pub(crate) variance: f64,
}

impl LevelFilter {
    /// Creates the filter of a replica that is only known to belong to a pool.
    pub(crate) fn from_pool(interval_us: u64) -> Self {
        Self {
            log_us: (interval_us.max(1) as f64).ln(),
            other_runs: 0.0,
            variance: PRIOR_VARIANCE,
        }
    }

    pub(crate) fn from_observation(observation: &Observation, prior_variance: f64) -> Self {
        Self {
            log_us: observation.log_us,
            other_runs: observation.other_runs,
            variance: prior_variance + NOISE_VARIANCE / observation.weight,
        }
    }

    /// Logarithm of the interval of a run without others.
    pub(crate) fn log_alone(&self, per_run: f64) -> f64 {
        self.log_us - log_factor(per_run, self.other_runs)
    }

    /// Standard error of the logarithm.
    pub(crate) fn standard_error(&self) -> f64 {
        self.variance.sqrt()
    }

    pub(crate) fn update(&mut self, observation: &Observation, per_run: f64, rule: &FilterRule) {
        let log_alone = self.log_alone(per_run);
        let residual = observation.log_alone(per_run) - log_alone;
        if residual.abs() > rule.outlier_residual + 2.0 * self.standard_error() {
            return;
        }
        let predicted = self.variance + rule.drift_variance * observation.weight;
        let gain = predicted / (predicted + NOISE_VARIANCE / observation.weight);
        let limit = rule.residual_max + self.standard_error();
        self.other_runs += gain * (observation.other_runs - self.other_runs);
        self.log_us =
            log_alone + gain * residual.clamp(-limit, limit) + log_factor(per_run, self.other_runs);
        self.variance = (1.0 - gain) * predicted;
    }

    /// The combination with another, independent estimate of the same level.
    pub(crate) fn combined(&self, other: &Self, per_run: f64) -> Self {
        let share = self.variance / (self.variance + other.variance);
        let (here, there) = (self.log_alone(per_run), other.log_alone(per_run));
        let other_runs = self.other_runs + share * (other.other_runs - self.other_runs);
        Self {
            log_us: here + share * (there - here) + log_factor(per_run, other_runs),
            other_runs,
            variance: self.variance * other.variance / (self.variance + other.variance),
        }
    }
}
