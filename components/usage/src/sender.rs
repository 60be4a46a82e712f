use std::collections::BTreeSet;

use derive::key;

use crate::{Report, Window};

/// First pause after a report that was not taken, in milliseconds; doubles up to the greatest.
const PAUSE_MS: u64 = 200;
const PAUSE_MS_MAX: u64 = 1_600;

/// Windows that are remembered as sent, at most.
const TAKEN_MAX: usize = 64;

/// How sending a report ended.
#[key]
pub enum Outcome {
    /// The receiver took it, now or before.
    Accepted,
    /// It did not, or no answer came; the same report is sent again.
    NotAccepted,
    /// It never will: the sender's fencing number is too low.
    Fenced,
}

/// Which report goes out next, and when: one at a time, with pauses that grow and are spread.
#[derive(Debug, Default)]
pub struct Sender {
    in_progress: Option<Window>,
    /// Windows whose reports were taken from here, also before the log says so.
    taken: BTreeSet<Window>,
    failures: u32,
    not_before_ms: u64,
}

impl Sender {
    /// Whether this report may go out now; it counts as going out.
    pub fn begin(&mut self, report: &Report, now_ms: u64) -> bool {
        if self.in_progress.is_some() || now_ms < self.not_before_ms {
            return false;
        }
        self.in_progress = Some(report.window);
        true
    }

    /// Whether the report of a window was taken from here.
    pub fn has_sent(&self, window: Window) -> bool {
        self.taken.contains(&window)
    }

    /// Whether some report may go out now.
    pub fn is_ready(&self, now_ms: u64) -> bool {
        self.in_progress.is_none() && now_ms >= self.not_before_ms
    }

    /// The report that was in progress ended.
    pub fn finish(&mut self, outcome: Outcome, now_ms: u64, random: u64) {
        let window = self.in_progress.take();
        match outcome {
            Outcome::Accepted => {
                self.taken.extend(window);
                while self.taken.len() > TAKEN_MAX {
                    self.taken.pop_first();
                }
                self.failures = 0;
                self.not_before_ms = now_ms;
            }
            Outcome::NotAccepted | Outcome::Fenced => {
                let doubled = PAUSE_MS << self.failures.min(8);
                let pause_ms = doubled.min(PAUSE_MS_MAX);
                self.failures = self.failures.saturating_add(1);
                self.not_before_ms = now_ms + pause_ms / 2 + random % (pause_ms / 2 + 1);
            }
        }
    }
}
