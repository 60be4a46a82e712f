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
pub enum Sign {
    /// It answered; an engine also said which life it is in.
    Answered {
        /// The engine's life; `None` for a plain service.
        life: Option<u64>,
    },
    /// Nothing listens at its address: the process is gone.
    Gone,
    /// No answer, for whatever reason.
    Silent,
}

impl Sign {
    /// What a look that failed says.
    pub fn of_error(error: &PlatformError) -> Sign {
        match error {
            PlatformError::NotSent(NotSentCause::Unreachable) => Sign::Gone,
            _ => Sign::Silent,
        }
    }
}

/// What a sign changed.
#[value]
#[derive(Copy, Default)]
pub struct Change {
    /// The endpoint is in another life than before; counted once for each crash.
    pub lost: bool,
    /// It came up or went down.
    pub turned: bool,
}

/// What the signs so far add up to.
#[value]
#[derive(Default)]
pub struct Vitals {
    up: bool,
    engine_life: Option<u64>,
    crash_counted: bool,
    misses: u32,
}

impl Vitals {
    /// Whether the endpoint takes work.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Takes a sign in.
    pub fn see(&mut self, sign: Sign) -> Change {
        let was_up = self.up;
        let lost = match sign {
            Sign::Answered { life } => self.answered(life),
            Sign::Gone => self.gone(),
            Sign::Silent => self.silent(),
        };
        Change {
            lost,
            turned: was_up != self.up,
        }
    }

    fn answered(&mut self, life: Option<u64>) -> bool {
        let restarted = self.engine_life.is_some() && life != self.engine_life;
        let lost = restarted && !self.crash_counted;
        self.engine_life = life;
        self.crash_counted = false;
        self.misses = 0;
        self.up = true;
        lost
    }

    fn gone(&mut self) -> bool {
        let lost = self.up && !self.crash_counted;
        self.crash_counted |= self.up;
        self.up = false;
        lost
    }

    fn silent(&mut self) -> bool {
        self.misses = self.misses.saturating_add(1);
        if self.misses >= MISSES_TO_DOWN {
            self.up = false;
        }
        false
    }
}
