use std::collections::VecDeque;

/// Number of samples, taken once per second, from which the median is computed. If the wall clock
/// is wrong for a few seconds, its samples stay the minority.
const SAMPLES_MAX: usize = 61;

/// Estimate of UTC on this VM, derived from the wall clock and the steady clock.
///
/// The wall clock may step to a wrong time for a few seconds, and the steady clock has no date. The
/// median of their differences over the last minute follows neither a short step nor a single wrong
/// reading.
#[derive(Debug, Default)]
pub struct UtcClock {
    differences_ms: VecDeque<i64>,
    median_ms: Option<i64>,
}

impl UtcClock {
    /// Adds a sample of the wall clock (milliseconds since 1970) and the steady clock, read
    /// together.
    pub fn sample(&mut self, wall_ms: u64, steady_ms: u64) {
        if self.differences_ms.len() >= SAMPLES_MAX {
            self.differences_ms.pop_front();
        }
        self.differences_ms
            .push_back(wall_ms as i64 - steady_ms as i64);
        let mut sorted: Vec<i64> = self.differences_ms.iter().copied().collect();
        sorted.sort_unstable();
        self.median_ms = sorted.get(sorted.len() / 2).copied();
    }

    /// UTC at a moment of the steady clock, in milliseconds since 1970; `None` before the first
    /// sample.
    pub fn at_ms(&self, steady_ms: u64) -> Option<u64> {
        let utc_ms = steady_ms as i64 + self.median_ms?;
        u64::try_from(utc_ms).ok()
    }
}
