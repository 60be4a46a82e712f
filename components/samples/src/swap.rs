//! Decides whether a run in progress is kept, resumed or abandoned when its model gets new
//! weights.

use derive::value;
use types::WeightVersion;

/// State of a run when a new version is announced.
#[value]
pub struct RunInProgress {
    /// Oldest version stamped on the run so far; `None` before the first token.
    pub oldest: Option<WeightVersion>,
    /// Estimated remaining time; `None` if no token has been generated yet.
    pub remaining_ms: Option<u64>,
    /// Whether the engine continues the run with the new weights after the swap.
    pub survives_swap: bool,
}

/// The announced version and the limits that runs are checked against.
#[value]
pub struct SwapContext {
    /// Newest version that the trainer announced.
    pub announced: WeightVersion,
    /// Maximum number of versions that a sample may lag behind the trainer.
    pub staleness_bound: u64,
    /// Time until the next announcement, if the trainer announces at a regular interval.
    pub next_in_ms: Option<u64>,
}

/// What to do with a run at a weight swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPlan {
    /// Let the run continue.
    Keep,
    /// Stop the run before the swap and resume it from its tokens. Their versions remain part
    /// of the sample's provenance.
    Resume,
    /// Cancel the run and run the slot from its prompt, because the sample would exceed the
    /// staleness bound when it is fetched.
    Abandon,
}

/// Decides what to do with one run.
///
/// A resume does not reduce a sample's staleness, since its first tokens keep their version.
/// A run at the staleness bound that cannot end before the next announcement is abandoned
/// now, while little work is lost.
pub fn plan_run(run: &RunInProgress, context: &SwapContext) -> RunPlan {
    let Some(oldest) = run.oldest else {
        return keep_or_resume(run);
    };
    if oldest.epoch != context.announced.epoch {
        return RunPlan::Abandon;
    }
    let lag = context.announced.version.saturating_sub(oldest.version);
    if lag > context.staleness_bound {
        return RunPlan::Abandon;
    }
    let misses_next = run
        .remaining_ms
        .zip(context.next_in_ms)
        .is_some_and(|(r, n)| r > n);
    if lag == context.staleness_bound && misses_next {
        return RunPlan::Abandon;
    }
    keep_or_resume(run)
}

fn keep_or_resume(run: &RunInProgress) -> RunPlan {
    if run.survives_swap {
        RunPlan::Keep
    } else {
        RunPlan::Resume
    }
}
