//! Latencies in histograms.

use std::time::Duration;

use hdrhistogram::Histogram;

const MICROS_MAX: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MS: f64 = 1_000.0;

/// A histogram of latencies.
#[derive(Clone, Debug)]
pub struct Latencies {
    /// Always there: the bounds are constants that the library allows.
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
    /// Counts a latency.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MICROS_MAX);
        if let Some(histogram) = &mut self.histogram {
            histogram.saturating_record(micros.max(1));
        }
    }

    /// Number of latencies.
    pub fn count(&self) -> u64 {
        self.read(Histogram::len)
    }

    /// A quantile in milliseconds; 0 when there is no latency.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.read(|histogram| histogram.value_at_quantile(quantile)) as f64 / MICROS_PER_MS
    }

    /// The largest in milliseconds.
    pub fn max_ms(&self) -> f64 {
        self.read(Histogram::max) as f64 / MICROS_PER_MS
    }

    /// Adds the latencies of another histogram.
    pub fn add(&mut self, other: &Latencies) {
        if let (Some(histogram), Some(other)) = (&mut self.histogram, &other.histogram) {
            // Both have the same bounds, so nothing is out of range.
            let _ = histogram.add(other);
        }
    }

    fn read(&self, read: impl Fn(&Histogram<u64>) -> u64) -> u64 {
        self.histogram.as_ref().map_or(0, read)
    }
}
