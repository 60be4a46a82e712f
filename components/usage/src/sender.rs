use std::collections::BTreeSet;

use derive::key;

use crate::{Report, Window};

/// First pause before a retry, in milliseconds; it doubles with each failure up to the maximum.
const RETRY_PAUSE_MS: u64 = 200;
const RETRY_PAUSE_MS_MAX: u64 = 1_600;

/// Upper bound on remembered windows whose reports were accepted.
const ACCEPTED_MAX: usize = 64;

/// Outcome of sending a report.
#[key]
pub enum Outcome {
    /// The receiver accepted the report, now or earlier.
    Accepted,
    /// The receiver refused the report or did not answer; the same report is sent again.
    NotAccepted,
    /// The receiver refused the report because the sender's fencing token is outdated.
    Fenced,
}

/// Sends reports one at a time, with exponential backoff and jitter between retries.
#[derive(Debug, Default)]
pub struct Sender {
    in_progress: Option<Window>,
    /// Windows whose reports the receiver accepted from this process. Contains them before their
    /// [`UsageRecord::Reported`](crate::UsageRecord::Reported) is read from the log.
    accepted: BTreeSet<Window>,
    consecutive_failures: u32,
    retry_at_ms: u64,
}

impl Sender {
    /// Starts sending a report. Returns false if another one is in progress or a retry pause has
    /// not passed.
    pub fn begin(&mut self, report: &Report, now_ms: u64) -> bool {
        if self.in_progress.is_some() || now_ms < self.retry_at_ms {
            return false;
        }
        self.in_progress = Some(report.window);
        true
    }

    /// Whether the receiver accepted the report of a window from this process.
    pub fn has_sent(&self, window: Window) -> bool {
        self.accepted.contains(&window)
    }

    /// Whether a report may be sent now.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        self.in_progress.is_none() && now_ms >= self.retry_at_ms
    }

    /// Records the outcome of the report in progress. `random` sets the jitter of the retry pause.
    pub fn finish(&mut self, outcome: Outcome, now_ms: u64, random: u64) {
        let window = self.in_progress.take();
        match outcome {
            Outcome::Accepted => {
                self.accepted.extend(window);
                while self.accepted.len() > ACCEPTED_MAX {
                    self.accepted.pop_first();
                }
                self.consecutive_failures = 0;
                self.retry_at_ms = now_ms;
            }
            Outcome::NotAccepted | Outcome::Fenced => {
                let doubled = RETRY_PAUSE_MS << self.consecutive_failures.min(8);
                let pause_ms = doubled.min(RETRY_PAUSE_MS_MAX);
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.retry_at_ms = now_ms + pause_ms / 2 + random % (pause_ms / 2 + 1);
            }
        }
    }
}
