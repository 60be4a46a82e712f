//! State and counts of a step for the status page.

use samples::{Ledger, StepKey};
use serde::Serialize;

const MEDIAN_PERMILLE: u64 = 500;
const MAX_PERMILLE: u64 = 1_000;

/// State of one step.
#[derive(Debug, Serialize)]
pub struct StepStatus {
    pub customer: String,
    /// Name of the trained model.
    pub service: String,
    pub step: u64,
    /// Whether this entry is the step's first home.
    pub home: bool,
    /// Runs in progress.
    pub running: u32,
    /// Slots that wait for a run.
    pub waiting: u32,
    /// Slots that the trainer has received.
    pub received: u32,
    /// Number of slots of the step.
    pub total: u32,
    /// Slots whose calls are quarantined at every endpoint.
    pub blocked: u32,
    /// Runs started.
    pub runs: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Samples discarded because they became too stale.
    pub abandoned: u64,
    /// Results discarded because their weight version is unknown.
    pub unknown_origin: u64,
    /// Hedged runs, started in parallel with a slow run.
    pub hedges: u64,
    /// Runs that resumed the partial sample of another run.
    pub resumes: u64,
    pub score_failures: u64,
    /// Median staleness of the samples that arrived, in versions; `None` if none has arrived.
    pub staleness_p50: Option<u64>,
    /// Highest staleness of the samples that arrived, in versions.
    pub staleness_max: Option<u64>,
    /// Time that the trainer has waited in fetches while no sample was available.
    pub idle_ms: u64,
}

impl StepStatus {
    /// Reads the state and counts from a ledger.
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
