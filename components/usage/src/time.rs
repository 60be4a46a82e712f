use std::collections::VecDeque;

/// Samples that are kept, one a second: a time of day that steps for some seconds and back
/// stays the lesser part of them.
const SAMPLES_MAX: usize = 61;

/// True time of this VM, from its time of day and a clock that never steps.
///
/// The time of day may be set for some seconds; the clock that never steps knows no date. The
/// middle one of their differences over the last minute follows neither a short step nor a
/// single odd reading.
#[derive(Debug, Default)]
pub struct UtcClock {
    differences_ms: VecDeque<i64>,
    middle_ms: Option<i64>,
}

impl UtcClock {
    /// Takes the time of day and the steady clock, read together.
    pub fn sample(&mut self, day_ms: u64, steady_ms: u64) {
        if self.differences_ms.len() >= SAMPLES_MAX {
            self.differences_ms.pop_front();
        }
        self.differences_ms
            .push_back(day_ms as i64 - steady_ms as i64);
        let mut sorted: Vec<i64> = self.differences_ms.iter().copied().collect();
        sorted.sort_unstable();
        self.middle_ms = sorted.get(sorted.len() / 2).copied();
    }

    /// True time at a moment of the steady clock, in milliseconds; none before the first sample.
    pub fn at_ms(&self, steady_ms: u64) -> Option<u64> {
        let true_ms = steady_ms as i64 + self.middle_ms?;
        u64::try_from(true_ms).ok()
    }
}
