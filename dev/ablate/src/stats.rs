//! Differences between pairs of plays.

use std::fmt;

/// Standard errors that a difference must exceed to count.
const ERRORS: f64 = 2.0;
/// Worth below which a difference is none to speak of: a hundredth of a day.
const NOTHING: f64 = 0.01;

/// What a mechanism is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Days are worth more with it.
    Worth,
    /// Days are worth the same with and without it.
    Nothing,
    /// Days are worth less with it.
    Harms,
    /// So many pairs don't tell.
    Open,
}

impl fmt::Display for Verdict {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(match self {
            Verdict::Worth => "worth",
            Verdict::Nothing => "worth nothing",
            Verdict::Harms => "harms",
            Verdict::Open => "can't tell",
        })
    }
}

/// Paired plays with a mechanism and without it.
#[derive(Clone, Copy, Debug)]
pub struct Difference {
    /// Pairs.
    pub pairs: usize,
    /// Mean worth with it.
    pub on: f64,
    /// Mean worth without it.
    pub off: f64,
    /// Standard deviation of the worth with it.
    pub spread: f64,
    /// Standard error of the mean difference.
    pub error: f64,
}

impl Difference {
    /// Worth without the mechanism beyond the worth with it.
    pub fn mean(&self) -> f64 {
        self.off - self.on
    }

    /// What that says of the mechanism.
    pub fn verdict(&self) -> Verdict {
        let (mean, margin) = (self.mean(), ERRORS * self.error);
        if self.pairs < 2 {
            return Verdict::Open;
        }
        if mean + margin < 0.0 {
            return Verdict::Worth;
        }
        if mean - margin > 0.0 {
            return Verdict::Harms;
        }
        match mean.abs() + margin < NOTHING {
            true => Verdict::Nothing,
            false => Verdict::Open,
        }
    }
}

/// Compares plays of the same days and seeds, given in the same order.
pub fn compare(on: &[f64], off: &[f64]) -> Difference {
    let differences: Vec<f64> = on.iter().zip(off).map(|(on, off)| off - on).collect();
    let pairs = differences.len();
    Difference {
        pairs,
        on: mean(&on[..pairs]),
        off: mean(&off[..pairs]),
        spread: deviation(&on[..pairs]),
        error: deviation(&differences) / (pairs.max(1) as f64).sqrt(),
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn deviation(values: &[f64]) -> f64 {
    let mean = mean(values);
    let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    (squares / values.len().saturating_sub(1).max(1) as f64).sqrt()
}
