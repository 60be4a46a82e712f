//! How long deviations from the steady pace last.
//!
//! Most deviations of a pool may be over before a move away from the replica pays off, while others
//! last for seconds. The age of a deviation tells them apart, so the rest of a deviation is derived
//! from a hazard table: for each class of durations, how many deviations outlasted it and how many
//! ended in it. Deviations whose end was not observed, because they still last or because the
//! replica had no more runs, count only in the classes that they outlasted.

use derive::value;

/// Upper limits of the classes of durations. The last one is the time after which a level becomes
/// the steady pace.
const LIMITS_MS: [u64; CLASSES] = [
    100, 200, 300, 400, 500, 600, 700, 850, 1_000, 1_500, 2_500, 4_000, 5_000, 6_000, 7_000, 8_000,
    10_000, 20_000,
];
const CLASSES: usize = 18;
/// Share of the deviations that reach a class and end in it while nothing is known of a pool, in
/// thousandths. Seven of eight deviations end within 0.85 s, most others last for 5 to 8 s.
const PRIOR_HAZARDS: [u64; CLASSES] = [
    40, 120, 200, 270, 330, 350, 300, 150, 50, 30, 30, 50, 100, 250, 400, 600, 700, 800,
];
/// Number of deviations that the prior of each class counts as.
const PRIOR_WEIGHT: f64 = 3.0;
/// Deviations of a replica beyond which all of its counts are halved, so that they follow changes
/// within minutes.
const COUNTED_MAX: u32 = 32;
/// Age from which on the rest is that of the last class.
const AGE_MS_MAX: u64 = 15_000;

/// Durations of deviations, by class.
#[value]
#[derive(Copy)]
pub struct DeviationTimes {
    /// Deviations that lasted longer than the class.
    outlasted: [u32; CLASSES],
    /// Deviations that ended in the class.
    ended: [u32; CLASSES],
    counted: u32,
}

impl Default for DeviationTimes {
    fn default() -> Self {
        Self::new()
    }
}

/// Expected rest of a deviation.
#[value]
#[derive(Copy)]
pub(crate) struct DeviationLeft {
    pub(crate) mean_ms: u64,
    /// Standard deviation of the rest.
    pub(crate) doubt_ms: u64,
}

impl DeviationTimes {
    /// Durations of a pool of which nothing is known.
    pub const fn new() -> Self {
        Self {
            outlasted: [0; CLASSES],
            ended: [0; CLASSES],
            counted: 0,
        }
    }

    /// Records a deviation whose end was observed.
    pub(crate) fn record_ended(&mut self, duration_ms: u64) {
        self.halve_if_full();
        self.add_outlasted(duration_ms);
        self.ended[class(duration_ms)] += 1;
    }

    /// Records a deviation that was observed for some time, but not to its end.
    pub(crate) fn record_censored(&mut self, observed_ms: u64) {
        self.halve_if_full();
        self.add_outlasted(observed_ms);
    }

    /// Adds a deviation that still lasts.
    pub(crate) fn add_lasting(&mut self, observed_ms: u64) {
        self.add_outlasted(observed_ms);
    }

    /// Adds the deviations of another replica.
    pub(crate) fn add(&mut self, other: &Self) {
        let counts = self.outlasted.iter_mut().chain(&mut self.ended);
        let others = other.outlasted.iter().chain(&other.ended);
        counts
            .zip(others)
            .for_each(|(count, other)| *count += other);
    }

    fn add_outlasted(&mut self, duration_ms: u64) {
        let outlasted = &mut self.outlasted[..class(duration_ms)];
        outlasted.iter_mut().for_each(|count| *count += 1);
    }

    fn halve_if_full(&mut self) {
        if self.counted >= COUNTED_MAX {
            let counts = self.outlasted.iter_mut().chain(&mut self.ended);
            counts.for_each(|count| *count /= 2);
            self.counted /= 2;
        }
        self.counted += 1;
    }

    /// Rest of a deviation of the given age that was last observed at `observed_ms` of its age. It
    /// may have ended since, so the rest gets shorter while no event arrives.
    pub(crate) fn left(&self, observed_ms: u64, age_ms: u64) -> DeviationLeft {
        let observed_ms = observed_ms.min(AGE_MS_MAX);
        let age_ms = age_ms.clamp(observed_ms, AGE_MS_MAX);
        let (mut from_ms, mut lasting) = (0.0, 1.0);
        let (mut at_observation, mut mean_ms, mut mean_square) = (1.0, 0.0, 0.0);
        let (observed_ms, age_ms) = (observed_ms as f64, age_ms as f64);
        for (class, limit_ms) in LIMITS_MS.iter().enumerate() {
            let until_ms = *limit_ms as f64;
            let lasting_until = lasting * (1.0 - self.hazard(class));
            // Ends are spread evenly over a class.
            let lasting_at = |at_ms: f64| {
                let share = (at_ms - from_ms) / (until_ms - from_ms);
                lasting + share * (lasting_until - lasting)
            };
            if (from_ms..until_ms).contains(&observed_ms) {
                at_observation = lasting_at(observed_ms);
            }
            if until_ms > age_ms {
                let start_ms = age_ms.max(from_ms);
                let area = (until_ms - start_ms) * (lasting_at(start_ms) + lasting_until) / 2.0;
                mean_ms += area;
                mean_square += 2.0 * area * ((start_ms + until_ms) / 2.0 - age_ms);
            }
            (from_ms, lasting) = (until_ms, lasting_until);
        }
        mean_ms /= at_observation;
        mean_square /= at_observation;
        let variance = (mean_square - mean_ms * mean_ms).max(0.0);
        DeviationLeft {
            mean_ms: mean_ms.round() as u64,
            doubt_ms: variance.sqrt().round() as u64,
        }
    }

    /// Share of the deviations that reach a class and end in it.
    fn hazard(&self, class: usize) -> f64 {
        let ended = f64::from(self.ended[class]);
        let reached = ended + f64::from(self.outlasted[class]);
        let prior = PRIOR_HAZARDS[class] as f64 / 1_000.0;
        (ended + PRIOR_WEIGHT * prior) / (reached + PRIOR_WEIGHT)
    }
}

fn class(duration_ms: u64) -> usize {
    LIMITS_MS
        .partition_point(|limit_ms| *limit_ms <= duration_ms)
        .min(CLASSES - 1)
}
