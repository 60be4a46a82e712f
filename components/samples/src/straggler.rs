//! When a run of a sample is late, and what to do about it.
//!
//! A long sample is not a late one. Racing a fresh sample against every long run would
//! favour short texts, and the trainer would learn from a biased choice. So a run that
//! makes tokens at the step's usual pace is left alone however long it takes. A silent
//! run is resumed elsewhere from its tokens; one at a fraction of the usual pace is
//! hedged with the same seed, and either result may be bound. Both are bounded by a
//! budget, since a whole service that slows down makes every run look late.

use derive::value;

use crate::distribution::Distribution;

const PERMILLE: u64 = 1_000;
const US_PER_MS: u64 = 1_000;
const MEDIAN_PERMILLE: u64 = 500;
const TAIL_PERMILLE: u64 = 900;

/// Bounds of the decision.
#[value]
pub struct StragglerSettings {
    /// Finished runs before paces are compared.
    pub finished_runs_min: u64,
    /// Silence that makes a run late, at least.
    pub silent_ms: u64,
    /// How many times the usual pace or duration is late, in thousandths.
    pub late_factor_permille: u64,
    /// Hedges in flight at a time, as a share of the step's slots; one is always allowed.
    pub hedges_permille: u64,
    /// Moves of one slot; the next one needs twice the silence.
    pub moves_max: u32,
}

impl Default for StragglerSettings {
    fn default() -> Self {
        Self {
            finished_runs_min: 16,
            silent_ms: 10_000,
            late_factor_permille: 3_000,
            hedges_permille: 50,
            moves_max: 4,
        }
    }
}

/// Paces of the runs of a step that have finished.
#[derive(Clone, Debug, Default)]
pub struct RunTimings {
    durations_ms: Distribution,
    us_per_token: Distribution,
}

impl RunTimings {
    /// Counts a finished run.
    pub fn record(&mut self, duration_ms: u64, tokens: u64) {
        self.durations_ms.record(duration_ms);
        if let Some(pace) = (duration_ms * US_PER_MS).checked_div(tokens) {
            self.us_per_token.record(pace);
        }
    }
}

/// A run in progress.
#[value]
pub struct RunView {
    /// Since its start.
    pub elapsed_ms: u64,
    /// Since its last token, or since its start.
    pub silent_ms: u64,
    /// Tokens made by this run; 0 where the engine streams nothing.
    pub tokens: u64,
    /// Earlier moves of its slot.
    pub moves: u32,
    /// Whether its slot is hedged already.
    pub hedged: bool,
}

/// Hedges in flight and allowed.
#[value]
pub struct HedgeBudget {
    /// In flight now.
    pub hedges: u64,
    /// Slots of the step.
    pub slots: u64,
}

/// What to do with a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Nothing.
    Wait,
    /// Run the slot elsewhere as well; one result is bound.
    Hedge,
    /// Stop it and go on elsewhere from its tokens.
    Resume,
}

/// Whether a run is late.
pub fn assess(
    settings: &StragglerSettings,
    run: &RunView,
    timings: &RunTimings,
    budget: &HedgeBudget,
) -> Decision {
    if run.hedged {
        return Decision::Wait;
    }
    if is_silent(settings, run, timings) {
        return Decision::Resume;
    }
    let allowed = (budget.slots * settings.hedges_permille / PERMILLE).max(1);
    if budget.hedges < allowed && is_slow(settings, run, timings) {
        return Decision::Hedge;
    }
    Decision::Wait
}

fn is_silent(settings: &StragglerSettings, run: &RunView, timings: &RunTimings) -> bool {
    if run.moves >= settings.moves_max {
        return false;
    }
    // A unary engine is silent until it ends: its silence is judged by whole durations.
    let tail_ms = (run.tokens == 0)
        .then(|| timings.durations_ms.quantile(TAIL_PERMILLE))
        .flatten();
    let usual_ms = tail_ms.map_or(0, |ms| ms * settings.late_factor_permille / PERMILLE);
    let limit_ms = settings.silent_ms.max(usual_ms) << run.moves;
    run.silent_ms >= limit_ms
}

fn is_slow(settings: &StragglerSettings, run: &RunView, timings: &RunTimings) -> bool {
    if timings.durations_ms.total() < settings.finished_runs_min {
        return false;
    }
    let median_ms = timings.durations_ms.quantile(MEDIAN_PERMILLE).unwrap_or(0);
    if run.elapsed_ms <= median_ms {
        return false;
    }
    let is_late = |usual: u64, own: u64| own * PERMILLE > usual * settings.late_factor_permille;
    let own_us_per_token = (run.elapsed_ms * US_PER_MS).checked_div(run.tokens);
    match own_us_per_token.zip(timings.us_per_token.quantile(MEDIAN_PERMILLE)) {
        Some((own, usual)) => is_late(usual, own),
        None => {
            let tail_ms = timings.durations_ms.quantile(TAIL_PERMILLE);
            tail_ms.is_some_and(|usual| is_late(usual, run.elapsed_ms))
        }
    }
}
