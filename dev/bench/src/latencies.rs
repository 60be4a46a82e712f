//! A histogram of latencies with a resolution of three significant digits.

use std::time::Duration;

use hdrhistogram::Histogram;

const MICROS_MAX: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MS: f64 = 1_000.0;

/// Latencies in microseconds, capped at ten minutes.
#[derive(Clone, Debug)]
pub struct Latencies {
    /// Always `Some`: the constant bounds are valid for the library.
    histogram: Option<Histogram<u64>>,
}

impl Default for Latencies {
    fn default() -> Self {
        Latencies {
            histogram: Histogram::new_with_bounds(1, MICROS_MAX, SIGNIFICANT_DIGITS).ok(),
        }
    }
}

impl Latencies {
    /// Counts a latency; below 1 µs it counts as 1 µs.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MICROS_MAX);
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(micros.max(1));
        }
    }

    /// Number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.value_or_zero(Histogram::len)
    }

    /// A quantile in milliseconds; 0 if nothing was recorded.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.value_or_zero(|histogram| histogram.value_at_quantile(quantile)) as f64 / MICROS_PER_MS
    }

    /// The largest latency in milliseconds; 0 if nothing was recorded.
    pub fn max_ms(&self) -> f64 {
        self.value_or_zero(Histogram::max) as f64 / MICROS_PER_MS
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Latencies) {
        if let (Some(histogram), Some(other)) = (&mut self.histogram, &other.histogram) {
            // Cannot fail: both histograms have the same bounds.
            let _ = histogram.add(other);
        }
    }

    fn value_or_zero(&self, read: impl Fn(&Histogram<u64>) -> u64) -> u64 {
        self.histogram.as_ref().map_or(0, read)
    }
}
