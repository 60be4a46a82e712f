//! Survival and expected length by class, prepared for fast look-ups.

use crate::classes::LengthClasses;

/// Probability of a length above the high estimate.
const HIGH_TAIL: f64 = 0.1;

/// Lengths of the texts of one class of hints.
#[derive(Clone, Debug)]
pub(crate) struct LengthTable {
    /// Probability to end in each class for a text that reached it.
    hazards: Vec<f64>,
    /// Probability to reach each class.
    survival: Vec<f64>,
    /// Expected length of a text that reached each class.
    mean: Vec<f64>,
    /// Length at which texts are cut.
    limit: Option<u64>,
}

/// A length, as an expectation and as 90th percentile.
pub(crate) struct ExpectedLength {
    pub(crate) mean: f64,
    pub(crate) high: f64,
}

impl LengthTable {
    pub(crate) fn new(classes: &LengthClasses, mut hazards: Vec<f64>, limit: Option<u64>) -> Self {
        let count = classes.count();
        let limit_class = limit.map(|limit| classes.of(limit));
        if let Some(class) = limit_class {
            hazards[class] = 1.0;
        }
        let mut survival = vec![1.0; count];
        for class in 1..count {
            // Texts behind the limit are estimated as if there was none.
            survival[class] = match limit_class == Some(class - 1) {
                true => 1.0,
                false => survival[class - 1] * (1.0 - hazards[class - 1]),
            };
        }
        let mut table = Self {
            hazards,
            survival,
            mean: vec![0.0; count],
            limit,
        };
        for class in (0..count).rev() {
            let middle = 0.5 * (classes.start(class) + table.last_length(classes, class)) as f64;
            let hazard = table.hazards[class];
            table.mean[class] = match table.mean.get(class + 1) {
                Some(behind) => hazard * middle + (1.0 - hazard) * behind,
                None => middle,
            };
        }
        table
    }

    /// Expected length of a text that has at least `events` events.
    pub(crate) fn expect(&self, classes: &LengthClasses, events: u64) -> ExpectedLength {
        // Texts in the last class, which has no end, are expected to take as long again as those
        // that just reached it.
        let beyond = events.saturating_sub(classes.start(classes.count() - 1));
        let expected = self.expect_within(classes, events - beyond);
        ExpectedLength {
            mean: expected.mean + beyond as f64,
            high: expected.high + beyond as f64,
        }
    }

    fn expect_within(&self, classes: &LengthClasses, mut events: u64) -> ExpectedLength {
        let mut class = classes.of(events);
        if self.limit.is_some_and(|limit| events > limit)
            && events > self.last_length(classes, class)
        {
            // The text is longer than the limit, but in its class.
            class = (class + 1).min(classes.count() - 1);
            events = events.max(classes.start(class));
        }
        let start = classes.start(class);
        let last = self.last_length(classes, class).max(events);
        // Lengths are uniform within a class.
        let passed = (events - start) as f64 / (last + 1 - start) as f64;
        let hazard = self.hazards[class];
        let surviving = 1.0 - hazard * passed;
        let ending = hazard * (1.0 - passed) / surviving;
        let here = 0.5 * (events as f64 + last as f64);
        let behind = self.mean.get(class + 1).copied().unwrap_or(here);
        let reached = self.survival[class] * surviving;
        ExpectedLength {
            mean: ending * here + (1.0 - ending) * behind,
            high: self.percentile(classes, class, HIGH_TAIL * reached),
        }
    }

    /// Length that is exceeded with the probability `tail`, from `class` on.
    fn percentile(&self, classes: &LengthClasses, class: usize, tail: f64) -> f64 {
        let bound = match self.limit.map(|limit| classes.of(limit)) {
            Some(limit_class) if class <= limit_class => limit_class + 1,
            _ => classes.count(),
        };
        let after = self.survival[class + 1..bound].partition_point(|survival| *survival > tail);
        let class = class + after;
        let survival = self.survival[class];
        let share = ((survival - tail) / (survival * self.hazards[class])).min(1.0);
        let (start, last) = (classes.start(class), self.last_length(classes, class));
        start as f64 + share * (last - start) as f64
    }

    /// Longest length of a class, with regard to the limit.
    fn last_length(&self, classes: &LengthClasses, class: usize) -> u64 {
        let last = classes.end(class) - 1;
        match self.limit {
            Some(limit) if limit >= classes.start(class) => last.min(limit),
            _ => last,
        }
    }
}
