//! Counters of a training step: runs, failures, sample staleness and trainer idle time.

use derive::value;

use crate::distribution::Distribution;

/// Counters of one step.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Runs started, including hedges and resumes.
    pub runs: u64,
    /// Samples, complete or partial, that were discarded because they exceeded the staleness
    /// bound or would have done so before the next fetch.
    pub abandoned: u64,
    /// Complete results that were discarded because their weight versions are unknown.
    pub unknown_origin: u64,
    /// Runs that failed, without those stopped at the ledger's request.
    pub failed: u64,
    /// Hedges started for slow runs.
    pub hedges: u64,
    /// Runs that resumed from the tokens of an earlier run, without hedges.
    pub resumes: u64,
    /// Score requests that failed or timed out.
    pub score_failures: u64,
    /// Samples dropped because their score requests failed while others succeeded.
    pub unscorable: u64,
    /// Staleness of samples in versions, recorded once a cursor shows that they have arrived.
    pub staleness: Distribution,
}

/// Measures how long a trainer has at least one fetch waiting for samples.
#[value]
#[derive(Default)]
pub struct IdleClock {
    open_fetches: u32,
    since_ms: u64,
    idle_ms: u64,
}

impl IdleClock {
    /// Creates a clock without open fetches.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the arrival of a fetch.
    pub fn begin_fetch(&mut self, now_ms: u64) {
        if self.open_fetches == 0 {
            self.since_ms = now_ms;
        }
        self.open_fetches += 1;
    }

    /// Records that a fetch was answered or abandoned. Time in which fetches overlap counts
    /// once.
    pub fn end_fetch(&mut self, now_ms: u64) {
        if self.open_fetches == 1 {
            self.idle_ms += now_ms.saturating_sub(self.since_ms);
        }
        self.open_fetches = self.open_fetches.saturating_sub(1);
    }

    /// Total idle time, including that of fetches that are still open.
    pub fn idle_ms(&self, now_ms: u64) -> u64 {
        let running_ms = now_ms.saturating_sub(self.since_ms);
        self.idle_ms + if self.open_fetches > 0 { running_ms } else { 0 }
    }
}
