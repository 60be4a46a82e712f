//! Reports of crashes that are written again before the log drops them.
//!
//! A log keeps its records for a time that can be shorter than the one for which a crash counts. A
//! process that starts in between would not know the reports, and let a call crash endpoints that
//! all others refuse. Every process therefore keeps the reports that it reads, and writes one again
//! when it has not seen it in the log for more than half of the log's retention. The exact time is
//! random, so that usually one process writes a report and the others, who read it, don't.

use derive::value;

use crate::CrashReport;
use crate::crashes::CRASHES_MAX;

#[value]
struct Kept {
    report: CrashReport,
    /// When the report is written again, in milliseconds.
    due_ms: u64,
}

/// The reports that a process has read from the log.
#[derive(Clone, Debug)]
pub struct KeptReports {
    /// How long the log keeps a record, in milliseconds.
    log_retention_ms: u64,
    /// How long a report counts after the crash was noticed, in milliseconds.
    report_retention_ms: u64,
    /// The oldest first.
    kept: Vec<Kept>,
}

impl KeptReports {
    /// No reports.
    pub fn new(log_retention_ms: u64, report_retention_ms: u64) -> Self {
        Self {
            log_retention_ms,
            report_retention_ms,
            kept: Vec::new(),
        }
    }

    /// Whether a report no longer counts at the time of day `utc_ms`.
    pub fn is_expired(&self, report: &CrashReport, utc_ms: u64) -> bool {
        report.noticed_unix_ms + self.report_retention_ms < utc_ms
    }

    /// Records that a report was read from the log. `random` spreads the times at which the
    /// processes write it again.
    pub fn record(&mut self, report: &CrashReport, now_ms: u64, random: u64) {
        let due_ms = self.due_ms(now_ms, random);
        match self.kept.iter_mut().find(|kept| kept.report == *report) {
            Some(kept) => kept.due_ms = due_ms,
            None => self.kept.push(Kept {
                report: report.clone(),
                due_ms,
            }),
        }
        if self.kept.len() > CRASHES_MAX {
            self.kept.remove(0);
        }
    }

    /// When the next report is to be written again.
    pub fn next_due_ms(&self) -> Option<u64> {
        self.kept.iter().map(|kept| kept.due_ms).min()
    }

    /// Returns the reports to write again now, and removes those that no longer count at the time of
    /// day `utc_ms`.
    pub fn take_due(&mut self, now_ms: u64, utc_ms: u64, random: u64) -> Vec<CrashReport> {
        let mut kept = std::mem::take(&mut self.kept);
        kept.retain(|kept| !self.is_expired(&kept.report, utc_ms));
        let next_ms = self.due_ms(now_ms, random);
        let mut due = Vec::new();
        for kept in kept.iter_mut().filter(|kept| kept.due_ms <= now_ms) {
            kept.due_ms = next_ms;
            due.push(kept.report.clone());
        }
        self.kept = kept;
        due
    }

    fn due_ms(&self, now_ms: u64, random: u64) -> u64 {
        let half_ms = self.log_retention_ms / 2;
        now_ms + half_ms + random % (half_ms / 2).max(1)
    }
}
