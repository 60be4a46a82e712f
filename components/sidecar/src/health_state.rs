//! Whether the endpoint lives, judged from what each look at it brought. Pure.
//!
//! A crash must be told apart from a slow moment: after a crash the calls in flight have
//! failed and entries suspect them; a slow endpoint only gets no new work for a while.

use adapters::{NotSentCause, PlatformError};
use derive::{key, value};

/// Looks without an answer until the endpoint gets no new work.
const MISSES_TO_DOWN: u32 = 3;

/// What one look at the endpoint brought.
#[key]
pub enum CheckResult {
    /// It answered; an engine also said which life it is in.
    Answered {
        /// The engine's life; `None` for a plain service.
        life: Option<u64>,
    },
    /// Nothing listens at its address: the process is gone.
    Unreachable,
    /// No answer, for whatever reason.
    NoAnswer,
}

impl CheckResult {
    /// What a look that failed says.
    pub fn from_error(error: &PlatformError) -> CheckResult {
        match error {
            PlatformError::NotSent(NotSentCause::Unreachable) => CheckResult::Unreachable,
            _ => CheckResult::NoAnswer,
        }
    }
}

/// What a sign changed.
#[value]
#[derive(Copy, Default)]
pub struct HealthChange {
    /// The endpoint is in another life than before; counted once for each crash.
    pub crashed: bool,
    /// It came up or went down.
    pub up_changed: bool,
}

/// What the signs so far add up to.
#[value]
#[derive(Default)]
pub struct HealthState {
    up: bool,
    engine_life: Option<u64>,
    crash_counted: bool,
    misses: u32,
}

impl HealthState {
    /// Whether the endpoint takes work.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Takes a sign in.
    pub fn record(&mut self, sign: CheckResult) -> HealthChange {
        let was_up = self.up;
        let crashed = match sign {
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
