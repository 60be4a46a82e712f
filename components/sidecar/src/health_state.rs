//! Decides from the results of the health checks whether the endpoint is up. Free of I/O.
//!
//! A crash must be told apart from a delay: after a crash, the calls in flight have failed and
//! entries suspect them as its cause; a slow endpoint only gets no new calls for a while.

use adapters::{NotSentCause, PlatformError};
use derive::{key, value};

/// Consecutive unanswered checks after which the endpoint gets no new calls.
const MISSES_TO_DOWN: u32 = 3;

/// Result of one health check.
#[key]
pub enum CheckResult {
    /// The endpoint answered.
    Answered {
        /// The engine's own count of its starts; `None` for a plain service.
        life: Option<u64>,
    },
    /// Nothing listens at the endpoint's address, so its process has ended.
    Unreachable,
    /// Any other failure; the process may still run.
    NoAnswer,
}

impl CheckResult {
    /// Classifies the error of a failed check.
    pub fn from_error(error: &PlatformError) -> CheckResult {
        match error {
            PlatformError::NotSent(NotSentCause::Unreachable) => CheckResult::Unreachable,
            _ => CheckResult::NoAnswer,
        }
    }
}

/// Effect of one check result on the state.
#[value]
#[derive(Copy, Default)]
pub struct HealthChange {
    /// The endpoint crashed or restarted; set once for each crash.
    pub crashed: bool,
    /// The endpoint came up or went down.
    pub up_changed: bool,
}

/// State of the endpoint after the check results so far.
#[value]
#[derive(Default)]
pub struct HealthState {
    up: bool,
    engine_life: Option<u64>,
    crash_counted: bool,
    misses: u32,
}

impl HealthState {
    /// Whether the endpoint accepts calls.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Applies the result of one check.
    pub fn record(&mut self, result: CheckResult) -> HealthChange {
        let was_up = self.up;
        let crashed = match result {
            CheckResult::Answered { life } => self.on_answer(life),
            CheckResult::Unreachable => self.on_unreachable(),
            CheckResult::NoAnswer => self.on_no_answer(),
        };
        HealthChange {
            crashed,
            up_changed: was_up != self.up,
        }
    }

    fn on_answer(&mut self, life: Option<u64>) -> bool {
        let restarted = self.engine_life.is_some() && life != self.engine_life;
        let crashed = restarted && !self.crash_counted;
        self.engine_life = life;
        self.crash_counted = false;
        self.misses = 0;
        self.up = true;
        crashed
    }

    fn on_unreachable(&mut self) -> bool {
        let crashed = self.up && !self.crash_counted;
        self.crash_counted |= self.up;
        self.up = false;
        crashed
    }

    fn on_no_answer(&mut self) -> bool {
        self.misses = self.misses.saturating_add(1);
        if self.misses >= MISSES_TO_DOWN {
            self.up = false;
        }
        false
    }
}
