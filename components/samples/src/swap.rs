//! What happens to a run in progress when its model gets new weights.

use derive::value;
use types::WeightVersion;

/// A run at the moment of the news.
#[value]
pub struct RunInProgress {
    /// Oldest version stamped on it so far; `None` before its first token.
    pub oldest: Option<WeightVersion>,
    /// Time that it still needs, if that can be told.
    pub remaining_ms: Option<u64>,
    /// Its engine goes on with it over a switch, with the new weights.
    pub survives_swap: bool,
}

/// The news.
#[value]
pub struct SwapContext {
    /// Version that the trainer announced.
    pub announced: WeightVersion,
    /// Versions that a sample may lag behind.
    pub staleness_bound: u64,
    /// Time to the next announcement, if the trainer keeps a rhythm.
    pub next_in_ms: Option<u64>,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPlan {
    /// Let it run.
    Keep,
    /// Stop it before the switch and go on from its tokens, whose versions stay in the set.
    Resume,
    /// Stop it and run the slot from the start: it will be too old when it is fetched.
    Abandon,
}

/// Plans one run.
///
/// A resume never makes a sample younger, since its first tokens keep their version. A
/// run at the bound that can't end before the next announcement is given up now,
/// while little work is lost.
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
