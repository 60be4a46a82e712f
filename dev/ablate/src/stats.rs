//! Statistics of paired runs with and without a mechanism.

use std::fmt;

/// A difference is significant if it exceeds this many standard errors.
const STANDARD_ERRORS_MIN: f64 = 2.0;
/// Differences of worth below a hundredth of a day are negligible.
const NEGLIGIBLE_WORTH: f64 = 0.01;

/// Effect of a mechanism on the worth of days.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Worth is significantly higher with the mechanism.
    Useful,
    /// The difference is negligible, including its margin of error.
    NoEffect,
    /// Worth is significantly lower with the mechanism.
    Harmful,
    /// The runs do not show whether there is a difference.
    Inconclusive,
}

impl fmt::Display for Verdict {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Verdict::Useful => "worth",
            Verdict::NoEffect => "worth nothing",
            Verdict::Harmful => "harms",
            Verdict::Inconclusive => "can't tell",
        })
    }
}

/// Comparison of paired runs with and without a mechanism.
#[derive(Clone, Copy, Debug)]
pub struct Difference {
    /// Number of pairs.
    pub pairs: usize,
    /// Mean worth with the mechanism.
    pub on: f64,
    /// Mean worth without the mechanism.
    pub off: f64,
    /// Standard deviation of the worth with the mechanism.
    pub deviation: f64,
    /// Standard error of the mean difference.
    pub standard_error: f64,
}

impl Difference {
    /// Mean worth without the mechanism minus mean worth with it.
    pub fn mean(&self) -> f64 {
        self.off - self.on
    }

    /// Effect of the mechanism that the difference shows.
    pub fn verdict(&self) -> Verdict {
        let (mean, margin) = (self.mean(), STANDARD_ERRORS_MIN * self.standard_error);
        if self.pairs < 2 {
            return Verdict::Inconclusive;
        }
        if mean + margin < 0.0 {
            return Verdict::Useful;
        }
        if mean - margin > 0.0 {
            return Verdict::Harmful;
        }
        match mean.abs() + margin < NEGLIGIBLE_WORTH {
            true => Verdict::NoEffect,
            false => Verdict::Inconclusive,
        }
    }
}

/// Compares the worth of runs of the same days and seeds, given in the same order.
pub fn compare(on: &[f64], off: &[f64]) -> Difference {
    let differences: Vec<f64> = on.iter().zip(off).map(|(on, off)| off - on).collect();
    let pairs = differences.len();
    Difference {
        pairs,
        on: mean(&on[..pairs]),
        off: mean(&off[..pairs]),
        deviation: standard_deviation(&on[..pairs]),
        standard_error: standard_deviation(&differences) / (pairs.max(1) as f64).sqrt(),
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn standard_deviation(values: &[f64]) -> f64 {
    let mean = mean(values);
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    (squares / values.len().saturating_sub(1).max(1) as f64).sqrt()
}
