//! Load reports that show the load of some time ago.

use std::collections::VecDeque;
use std::time::Duration;

use adapters::LoadReport;
use tokio::time::Instant;

const REPORTS_MAX: usize = 10_000;

struct RecordedReport {
    recorded_at: Instant,
    report: LoadReport,
}

/// Recent load reports.
#[derive(Default)]
pub(super) struct Reports {
    recorded: VecDeque<RecordedReport>,
}

impl Reports {
    /// Records the current load if it changed.
    pub(super) fn record(&mut self, report: LoadReport) {
        if self
            .recorded
            .back()
            .is_some_and(|last| last.report == report)
        {
            return;
        }
        if self.recorded.len() == REPORTS_MAX {
            self.recorded.pop_front();
        }
        self.recorded.push_back(RecordedReport {
            recorded_at: Instant::now(),
            report,
        });
    }

    /// Load as it was `lag` ago; no load if nothing was recorded by then.
    pub(super) fn report_at(&self, lag: Duration) -> LoadReport {
        let old = self
            .recorded
            .iter()
            .rev()
            .find(|recorded| recorded.recorded_at.elapsed() >= lag);
        LoadReport {
            age_ms: lag.as_millis() as u64,
            ..old.map(|recorded| recorded.report).unwrap_or_default()
        }
    }
}
