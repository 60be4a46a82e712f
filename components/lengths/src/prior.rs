//! Distribution of lengths before anything is learnt: log-normal around the hint.

use crate::classes::{LengthClasses, hint_class_tokens};

/// Standard deviation of the logarithm of length / hint. A length of ten times the hint, or a tenth
/// of it, then is at 2.3 standard deviations.
const LOG_DEVIATION: f64 = 1.0;
/// Median length of texts without a hint, in tokens.
const UNHINTED_TOKENS: f64 = 640.0;
/// Bounds of the probability to end in a class.
const HAZARD_MIN: f64 = 1e-4;
const HAZARD_MAX: f64 = 0.9;

/// Median length of the texts of a class of hints, in events, by the hint alone.
pub(crate) fn median_events(hint_class: usize, tokens_per_event: u32) -> f64 {
    let tokens = hint_class_tokens(hint_class).unwrap_or(UNHINTED_TOKENS);
    (tokens / f64::from(tokens_per_event)).max(0.5)
}

/// Probability that a text that reached a class ends in it, for each class.
pub(crate) fn hazards(classes: &LengthClasses, median_events: f64) -> Vec<f64> {
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
    let density = (-0.5 * z * z).exp() / std::f64::consts::TAU.sqrt();
    density * polynomial
}
