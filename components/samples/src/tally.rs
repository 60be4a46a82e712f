//! Figures of training: how long trainers wait, how old samples are, what was wasted.

use derive::value;

use crate::distribution::Distribution;

/// Counts of one step.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Runs started, hedges and resumes included.
    pub runs: u64,
    /// Samples that became too old before the trainer had them.
    pub abandoned: u64,
    /// Results whose versions were not known.
    pub unknown_origin: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs started beside a slow one.
    pub hedges: u64,
    /// Runs that went on elsewhere from their tokens.
    pub resumes: u64,
    /// Scores that failed or came too late.
    pub score_failures: u64,
    /// Samples given up because their score never came while others did.
    pub unscorable: u64,
    /// Versions between sample and trainer, counted once a sample has arrived.
    pub staleness: Distribution,
}

/// Time during which a trainer had a fetch open and no samples.
#[value]
#[derive(Default)]
pub struct IdleClock {
    open_fetches: u32,
    since_ms: u64,
    idle_ms: u64,
}

impl IdleClock {
    /// No fetch yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// A fetch came.
    pub fn begin_fetch(&mut self, now_ms: u64) {
        if self.open_fetches == 0 {
            self.since_ms = now_ms;
        }
        self.open_fetches += 1;
    }

    /// A fetch was answered or given up. Fetches that overlap count once.
    pub fn end_fetch(&mut self, now_ms: u64) {
        if self.open_fetches == 1 {
            self.idle_ms += now_ms.saturating_sub(self.since_ms);
        }
        self.open_fetches = self.open_fetches.saturating_sub(1);
    }

    /// Idle time up to now.
    pub fn idle_ms(&self, now_ms: u64) -> u64 {
        let running_ms = now_ms.saturating_sub(self.since_ms);
        self.idle_ms + if self.open_fetches > 0 { running_ms } else { 0 }
    }
}
