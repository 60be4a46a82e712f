//! Distributions before anything is learnt.

use crate::classes::{HINT_CLASSES, LengthClasses, NO_HINT, hint_class_tokens};

/// Standard deviation of the logarithm of hint / length. A hint of ten times the length, or a tenth
/// of it, then is at 2.3 standard deviations.
const LOG_DEVIATION: f64 = 1.0;
/// Median length of texts without a hint, in tokens.
const UNHINTED_TOKENS: f64 = 640.0;
/// Bounds of the probability to end in a class.
const HAZARD_MIN: f64 = 1e-4;
const HAZARD_MAX: f64 = 0.9;
/// Ratios of hint to length have classes of a quarter octave from 2^-16 to 2^16.
pub(crate) const RATIO_CLASSES: usize = 129;
const RATIO_OFFSET: f64 = 64.0;
const QUARTER_OCTAVE: f64 = std::f64::consts::LN_2 / 4.0;
/// Width of a class of hints, as a logarithm.
const HINT_WIDTH: f64 = std::f64::consts::LN_2 / 2.0;

/// What holds for a model before any text.
#[derive(Clone, Debug)]
pub(crate) struct Prior {
    /// Probability to end in each class of lengths for a text that reached it, if all lengths are
    /// equally likely by their logarithm.
    pub(crate) uniform_hazards: Vec<f64>,
    /// The same for texts without a hint.
    pub(crate) unhinted_hazards: Vec<f64>,
    /// Class of the ratio of hint to length, for each class of hints and each class of lengths.
    pub(crate) ratio_classes: Vec<Vec<usize>>,
    /// Probability of a class of hints by the class of its ratio to the length: log-normal around
    /// the length.
    pub(crate) ratio_shares: Vec<f64>,
}

impl Prior {
    pub(crate) fn new(classes: &LengthClasses, tokens_per_event: u32) -> Self {
        let tokens_per_event = f64::from(tokens_per_event);
        let ratio_classes = (0..HINT_CLASSES)
            .map(|hint| match hint_class_tokens(hint) {
                Some(tokens) => ratio_classes(classes, tokens / tokens_per_event),
                None => Vec::new(),
            })
            .collect();
        Self {
            uniform_hazards: uniform_hazards(classes),
            unhinted_hazards: unhinted_hazards(classes, UNHINTED_TOKENS / tokens_per_event),
            ratio_classes,
            ratio_shares: (0..RATIO_CLASSES).map(ratio_share).collect(),
        }
    }

    /// Class of the ratio of hint to length; `None` without a hint.
    pub(crate) fn ratio_class(&self, hint: usize, length: usize) -> Option<usize> {
        match hint {
            NO_HINT => None,
            hint => Some(self.ratio_classes[hint][length]),
        }
    }
}

fn ratio_classes(classes: &LengthClasses, hint_events: f64) -> Vec<usize> {
    let ratio_class = |length: usize| {
        let ratio = (hint_events / classes.middle(length)).ln() / QUARTER_OCTAVE;
        let class = (ratio + RATIO_OFFSET).round().max(0.0) as usize;
        class.min(RATIO_CLASSES - 1)
    };
    (0..classes.count()).map(ratio_class).collect()
}

fn ratio_share(ratio_class: usize) -> f64 {
    let z = (ratio_class as f64 - RATIO_OFFSET) * QUARTER_OCTAVE / LOG_DEVIATION;
    density(z) * HINT_WIDTH / LOG_DEVIATION
}

fn uniform_hazards(classes: &LengthClasses) -> Vec<f64> {
    let mut behind = 0.0;
    let mut hazards: Vec<f64> = (0..classes.count())
        .rev()
        .map(|class| {
            behind += classes.width(class);
            classes.width(class) / behind
        })
        .collect();
    hazards.reverse();
    hazards
}

fn unhinted_hazards(classes: &LengthClasses, median_events: f64) -> Vec<f64> {
    // A text of n events has n - 1 to n events' worth of tokens.
    let survival = |start: u64| match start {
        0 | 1 => 1.0,
        start => upper_tail(((start as f64 - 1.0) / median_events).ln() / LOG_DEVIATION),
    };
    (0..classes.count())
        .map(|class| {
            let (start, end) = (classes.start(class), classes.end(class));
            let hazard = 1.0 - survival(end) / survival(start);
            hazard.clamp(HAZARD_MIN, HAZARD_MAX)
        })
        .collect()
}

/// Density of the standard normal distribution.
fn density(z: f64) -> f64 {
    (-0.5 * z * z).exp() / std::f64::consts::TAU.sqrt()
}

/// Probability that a standard normal variable exceeds `z` (Abramowitz and Stegun, 26.2.17).
fn upper_tail(z: f64) -> f64 {
    if z < 0.0 {
        return 1.0 - upper_tail(-z);
    }
    const COEFFICIENTS: [f64; 5] = [
        0.319_381_530,
        -0.356_563_782,
        1.781_477_937,
        -1.821_255_978,
        1.330_274_429,
    ];
    let t = 1.0 / (1.0 + 0.231_641_9 * z);
    let polynomial = COEFFICIENTS.iter().rev().fold(0.0, |sum, c| (sum + c) * t);
    density(z) * polynomial
}
