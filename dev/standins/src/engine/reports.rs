//! Load reports that lag.

use std::collections::VecDeque;
use std::time::Duration;

use adapters::LoadReport;
use tokio::time::Instant;

const KEPT_MAX: usize = 10_000;

struct Noted {
    at: Instant,
    report: LoadReport,
}

/// The reports of the last seconds.
#[derive(Default)]
pub(super) struct Reports {
    noted: VecDeque<Noted>,
}

impl Reports {
    /// Notes the load as it is now, if it changed.
    pub(super) fn note(&mut self, report: LoadReport) {
        if self.noted.back().is_some_and(|last| last.report == report) {
            return;
        }
        if self.noted.len() == KEPT_MAX {
            self.noted.pop_front();
        }
        self.noted.push_back(Noted {
            at: Instant::now(),
            report,
        });
    }

    /// The load as it was `lag` ago.
    pub(super) fn at(&self, lag: Duration) -> LoadReport {
        let old = self
            .noted
            .iter()
            .rev()
            .find(|noted| noted.at.elapsed() >= lag);
        LoadReport {
            age_ms: lag.as_millis() as u64,
            ..old.map(|noted| noted.report).unwrap_or_default()
        }
    }
}
