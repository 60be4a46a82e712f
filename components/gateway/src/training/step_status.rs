//! Figures of a step for the admin address.

use samples::{Ledger, StepKey};
use serde::Serialize;

const MEDIAN_PERMILLE: u64 = 500;
const MAX_PERMILLE: u64 = 1_000;

/// State of one step.
#[derive(Debug, Serialize)]
pub struct StepStatus {
    /// Customer that trains.
    pub customer: String,
    /// Model that is trained.
    pub service: String,
    /// Number of the step.
    pub step: u64,
    /// Whether this entry is its home.
    pub home: bool,
    /// Runs in progress.
    pub running: u32,
    /// Slots that wait for a run.
    pub waiting: u32,
    /// Slots that the trainer has.
    pub received: u32,
    /// Slots.
    pub total: u32,
    /// Slots whose call every endpoint refuses.
    pub blocked: u32,
    /// Runs started.
    pub runs: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Samples that became too old.
    pub abandoned: u64,
    /// Results of unknown origin.
    pub unknown_origin: u64,
    /// Runs beside a slow one.
    pub hedges: u64,
    /// Runs that went on elsewhere.
    pub resumes: u64,
    /// Scores that failed.
    pub score_failures: u64,
    /// Median age of the samples that arrived, in versions.
    pub staleness_p50: Option<u64>,
    /// Age of the oldest.
    pub staleness_max: Option<u64>,
    /// How long its trainer waited without a sample, in milliseconds.
    pub idle_ms: u64,
}

impl StepStatus {
    /// Figures of one ledger.
    pub fn from_ledger(key: &StepKey, ledger: &Ledger, home: bool, idle_ms: u64) -> Self {
        let tally = ledger.tally();
        Self {
            customer: key.customer.to_string(),
            service: key.service.to_string(),
            step: key.step,
            home,
            running: ledger.running(),
            waiting: ledger.waiting(),
            received: ledger.received().len(),
            total: ledger.step().total(),
            blocked: ledger.blocked(),
            runs: tally.runs,
            failed: tally.failed,
            abandoned: tally.abandoned,
            unknown_origin: tally.unknown_origin,
            hedges: tally.hedges,
            resumes: tally.resumes,
            score_failures: tally.score_failures,
            staleness_p50: tally.staleness.quantile(MEDIAN_PERMILLE),
            staleness_max: tally.staleness.quantile(MAX_PERMILLE),
            idle_ms,
        }
    }
}
