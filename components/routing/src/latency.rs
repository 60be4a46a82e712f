//! Histogram of the latencies of finished calls. Hedging takes the latency from it after which a
//! call counts as a straggler.
//!
//! Each power of two is divided into four buckets, so a quantile is at most a quarter too high.
//! All counters are atomics. Two time windows alternate, and the older one is cleared before it is
//! reused, so a quantile reflects a change in latency within two windows.

use std::array;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

const STEPS_PER_OCTAVE: u32 = 4;
const BUCKETS: usize = 96;
const WINDOWS: usize = 2;

/// Latencies of one service, in milliseconds.
#[derive(Debug)]
pub struct Latencies {
    window_ms: u64,
    /// Number of the window that new latencies are counted in.
    current_window: AtomicU64,
    windows: [[AtomicU32; BUCKETS]; WINDOWS],
}

impl Latencies {
    /// An empty histogram. Latencies older than two windows of `window_ms` are dropped.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms: window_ms.max(1),
            current_window: AtomicU64::new(0),
            windows: array::from_fn(|_| array::from_fn(|_| AtomicU32::new(0))),
        }
    }

    /// Counts a call that finished at `now_ms` after `latency_ms`.
    pub fn record(&self, latency_ms: u64, now_ms: u64) {
        let number = now_ms / self.window_ms;
        self.advance_to(number);
        let window = self.windows.get(number as usize % WINDOWS);
        if let Some(count) = window.and_then(|window| window.get(bucket(latency_ms))) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Upper bound of the latency within which `permille` thousandths of the calls finished;
    /// `None` if fewer than `calls_min` calls are counted.
    pub fn quantile_ms(&self, permille: u32, calls_min: u32) -> Option<u64> {
        let sums: [u64; BUCKETS] = array::from_fn(|index| self.sum(index));
        let total: u64 = sums.iter().sum();
        if total == 0 || total < u64::from(calls_min) {
            return None;
        }
        let wanted = (total * u64::from(permille)).div_ceil(1_000);
        let mut counted = 0;
        let found = sums.iter().position(|count| {
            counted += count;
            counted >= wanted
        });
        found.map(bucket_end_ms)
    }

    fn sum(&self, index: usize) -> u64 {
        let counts = self.windows.iter().filter_map(|window| window.get(index));
        counts
            .map(|count| u64::from(count.load(Ordering::Relaxed)))
            .sum()
    }

    fn advance_to(&self, number: u64) {
        let current_window = self.current_window.load(Ordering::Relaxed);
        if number <= current_window {
            return;
        }
        let advanced = self.current_window.compare_exchange(
            current_window,
            number,
            Ordering::Relaxed,
            Ordering::Relaxed,
        );
        if advanced.is_err() {
            return;
        }
        self.clear(number);
        if number > current_window + 1 {
            self.clear(number + 1);
        }
    }

    fn clear(&self, number: u64) {
        let window = self.windows.get(number as usize % WINDOWS);
        for count in window.into_iter().flatten() {
            count.store(0, Ordering::Relaxed);
        }
    }
}

fn bucket(latency_ms: u64) -> usize {
    let value = latency_ms.max(1);
    let octave = value.ilog2();
    let within = ((value - (1 << octave)) * u64::from(STEPS_PER_OCTAVE)) >> octave;
    let index = u64::from(octave * STEPS_PER_OCTAVE) + within;
    (index as usize).min(BUCKETS - 1)
}

fn bucket_end_ms(index: usize) -> u64 {
    let octave = index as u32 / STEPS_PER_OCTAVE;
    let within = index as u64 % u64::from(STEPS_PER_OCTAVE);
    let start = 1_u64 << octave;
    start + start * (within + 1) / u64::from(STEPS_PER_OCTAVE)
}
