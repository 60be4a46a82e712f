//! When requests arrive: a Poisson process whose rate rises in bursts, from a seed.
//!
//! Open loop: an arrival does not wait for the answers to earlier ones, as callers do
//! not wait for each other.

use std::time::Duration;

use derive::value;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// How a rate rises now and then. The mean rate stays the one that is asked for.
#[value]
#[derive(Copy)]
pub struct Bursts {
    /// Rate inside a burst, in thousandths of the rate outside.
    pub factor_permille: u32,
    /// Share of the time that is inside bursts, in thousandths.
    pub share_permille: u32,
    /// Mean length of a burst.
    pub mean_ms: u32,
}

impl Bursts {
    /// No bursts at all.
    pub const NONE: Bursts = Bursts {
        factor_permille: 1_000,
        share_permille: 0,
        mean_ms: 1_000,
    };

    /// Three times the rate for a fifth of the time, half a second at a time.
    pub const USUAL: Bursts = Bursts {
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

    /// Mean length of the time between bursts, in seconds.
    fn calm_s(self) -> f64 {
        self.burst_s() * (1.0 - self.share()) / self.share()
    }

    fn burst_s(self) -> f64 {
        f64::from(self.mean_ms) / 1_000.0
    }
}

/// Arrivals of one stream, without end.
pub struct Arrivals {
    random: StdRng,
    calm_per_s: f64,
    bursts: Bursts,
    in_burst: bool,
    turn_at_s: f64,
    now_s: f64,
}

impl Arrivals {
    /// Arrivals at `per_s` on average. A rate of 0 or less gives none.
    pub fn new(per_s: f64, bursts: Bursts, seed: u64) -> Arrivals {
        let share = bursts.share();
        let mut arrivals = Arrivals {
            random: StdRng::seed_from_u64(seed),
            calm_per_s: per_s / (1.0 - share + share * bursts.factor()),
            bursts,
            in_burst: false,
            turn_at_s: f64::INFINITY,
            now_s: 0.0,
        };
        if share > 0.0 {
            arrivals.turn_at_s = arrivals.exponential(bursts.calm_s());
        }
        arrivals
    }

    fn per_s(&self) -> f64 {
        match self.in_burst {
            true => self.calm_per_s * self.bursts.factor(),
            false => self.calm_per_s,
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        let uniform: f64 = self.random.random();
        -mean * (1.0 - uniform).ln()
    }

    fn turn(&mut self) {
        self.now_s = self.turn_at_s;
        self.in_burst = !self.in_burst;
        let mean_s = match self.in_burst {
            true => self.bursts.burst_s(),
            false => self.bursts.calm_s(),
        };
        self.turn_at_s = self.now_s + self.exponential(mean_s);
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    /// Time of the next arrival, from the start.
    fn next(&mut self) -> Option<Duration> {
        if self.calm_per_s <= 0.0 {
            return None;
        }
        loop {
            let gap_s = self.exponential(1.0 / self.per_s());
            // The process has no memory: past a turn it starts anew with the other rate.
            if self.now_s + gap_s < self.turn_at_s {
                self.now_s += gap_s;
                return Some(Duration::from_secs_f64(self.now_s));
            }
            self.turn();
        }
    }
}
