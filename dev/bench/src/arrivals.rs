//! Arrival times of requests: a Poisson process whose rate rises in bursts, drawn from a seeded
//! random generator.
//!
//! The load is open-loop: an arrival does not wait for the answers to earlier requests, because
//! real callers do not wait for each other.

use std::time::Duration;

use derive::value;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Bursts, in which the rate is a multiple of the rate outside them. The mean rate over time
/// remains the requested one.
#[value]
#[derive(Copy)]
pub struct Bursts {
    /// Rate inside a burst, in thousandths of the rate outside bursts.
    pub factor_permille: u32,
    /// Share of the time that is spent in bursts, in thousandths; 0 for no bursts.
    pub share_permille: u32,
    /// Mean duration of a burst.
    pub mean_ms: u32,
}

impl Bursts {
    /// A plain Poisson process without bursts.
    pub const NONE: Bursts = Bursts {
        factor_permille: 1_000,
        share_permille: 0,
        mean_ms: 1_000,
    };

    /// Three times the rate during a fifth of the time, in bursts of 500 ms on average.
    pub const TYPICAL: Bursts = Bursts {
        factor_permille: 3_000,
        share_permille: 200,
        mean_ms: 500,
    };

    fn factor(self) -> f64 {
        f64::from(self.factor_permille) / 1_000.0
    }

    fn share(self) -> f64 {
        f64::from(self.share_permille) / 1_000.0
    }

    /// Mean time between two bursts, in seconds.
    fn mean_gap_s(self) -> f64 {
        self.mean_burst_s() * (1.0 - self.share()) / self.share()
    }

    fn mean_burst_s(self) -> f64 {
        f64::from(self.mean_ms) / 1_000.0
    }
}

/// The endless sequence of arrival times of one stream.
pub struct Arrivals {
    random: StdRng,
    base_per_s: f64,
    bursts: Bursts,
    in_burst: bool,
    phase_end_s: f64,
    now_s: f64,
}

impl Arrivals {
    /// Arrivals at `per_s` on average. A rate of 0 or less yields no arrivals.
    pub fn new(per_s: f64, bursts: Bursts, seed: u64) -> Arrivals {
        let share = bursts.share();
        let mut arrivals = Arrivals {
            random: StdRng::seed_from_u64(seed),
            base_per_s: per_s / (1.0 - share + share * bursts.factor()),
            bursts,
            in_burst: false,
            phase_end_s: f64::INFINITY,
            now_s: 0.0,
        };
        if share > 0.0 {
            arrivals.phase_end_s = arrivals.sample_exponential(bursts.mean_gap_s());
        }
        arrivals
    }

    fn current_rate(&self) -> f64 {
        match self.in_burst {
            true => self.base_per_s * self.bursts.factor(),
            false => self.base_per_s,
        }
    }

    fn sample_exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.random.random();
        -mean * (1.0 - uniform).ln()
    }

    fn switch_phase(&mut self) {
        self.now_s = self.phase_end_s;
        self.in_burst = !self.in_burst;
        let mean_s = match self.in_burst {
            true => self.bursts.mean_burst_s(),
            false => self.bursts.mean_gap_s(),
        };
        self.phase_end_s = self.now_s + self.sample_exponential(mean_s);
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    /// Time of the next arrival since the start of the stream.
    fn next(&mut self) -> Option<Duration> {
        if self.base_per_s <= 0.0 {
            return None;
        }
        loop {
            let gap_s = self.sample_exponential(1.0 / self.current_rate());
            // The exponential distribution is memoryless: a gap that would cross the end of the
            // phase is discarded and drawn again at the rate of the next phase.
            if self.now_s + gap_s < self.phase_end_s {
                self.now_s += gap_s;
                return Some(Duration::from_secs_f64(self.now_s));
            }
            self.switch_phase();
        }
    }
}
