//! Score of sending a call to a replica, in units of load; the replica with the lowest score is
//! chosen.

use crate::counters::Work;
use crate::settings::{Policy, Settings};
use crate::table::{OthersLoad, ReplicaState, Table};

/// Weight of the sum of compute and memory use, which breaks ties between replicas whose scarcer
/// resource is equally used.
const TIE_BREAK_WEIGHT: f64 = 0.1;
/// Share of its full load that a replica gets at the beginning of its slow start.
const SLOW_START_SHARE_MIN: f64 = 0.1;

/// Score of the call on the replica of `state`, which caches `blocks` blocks of the prompt.
pub(crate) fn score(
    table: &Table,
    state: &ReplicaState,
    work: Work,
    blocks: u32,
    now_ms: u64,
) -> f64 {
    let settings = table.settings();
    let scalar_load = || own_load(state, settings) + others_load_units(table, state, now_ms);
    let load = match settings.policy {
        Policy::Random => return 0.0,
        Policy::LeastOutstanding | Policy::TwoChoices => own_load(state, settings),
        Policy::TwoChoicesReport => scalar_load(),
        // Calls of a plain service have no tokens to compare the use of resources by.
        Policy::ComputeMemory if work.tokens() == 0 => scalar_load(),
        Policy::ComputeMemory => {
            scarcer_resource_load(state, &damped_others(table, state, now_ms), settings, work)
        }
    };
    // The call itself is added; otherwise an idle replica would score 0 during its slow start too.
    let load = (load + 1.0) / slow_start_factor(state, settings, now_ms);
    let bonus = (f64::from(blocks) * settings.block_bonus).min(settings.bonus_max);
    load + state.penalty - bonus
}

fn own_load(state: &ReplicaState, settings: &Settings) -> f64 {
    let calls = f64::from(state.counters.calls());
    calls + tokens_to_load(f64::from(state.counters.tokens()), settings)
}

/// Load from other entries. Its difference from the mean is rounded to whole units: with few own
/// calls replicas are often tied, and a small difference in the same late report would make every
/// entry resolve each tie in favour of the same replica.
fn others_load_units(table: &Table, state: &ReplicaState, now_ms: u64) -> f64 {
    let settings = table.settings();
    let load = |others: &OthersLoad| others.calls + tokens_to_load(others.tokens, settings);
    let mean = load(table.others());
    mean + (load(&damped_others(table, state, now_ms)) - mean).round()
}

/// Load of the scarcer resource of an engine: compute, measured by waiting prompt tokens, or
/// memory, measured by tokens in the KV cache. Each is a share of the engine's capacity, converted
/// to the load of an engine whose KV cache is full.
fn scarcer_resource_load(
    state: &ReplicaState,
    others: &OthersLoad,
    settings: &Settings,
    work: Work,
) -> f64 {
    let prompt_tokens = f64::from(state.counters.prompt_tokens())
        + f64::from(work.prompt_tokens)
        + others.prompt_tokens;
    let tokens = f64::from(state.counters.tokens()) + f64::from(work.tokens()) + others.tokens;
    let compute = prompt_tokens / f64::from(settings.prompt_tokens_busy.max(1));
    let memory = tokens / f64::from(settings.kv_tokens.max(1));
    let need = compute.max(memory) + TIE_BREAK_WEIGHT * (compute + memory);
    need * tokens_to_load(f64::from(settings.kv_tokens), settings)
}

/// Load from other entries on the replica, pulled towards the mean of all replicas the older the
/// report is.
///
/// All entries read the same late report. If each entry acted on the whole imbalance in it, every
/// entry would send its calls to the replica that was idle when the report was taken, and the
/// calls would queue there (herding). Each entry therefore corrects only its own share of the
/// imbalance, and less of that the older the report is. Only an almost fresh report counts in
/// full, because the next report soon corrects the decisions based on it.
fn damped_others(table: &Table, state: &ReplicaState, now_ms: u64) -> OthersLoad {
    let Some(taken_at_ms) = state.others.taken_at_ms else {
        return state.others;
    };
    let settings = table.settings();
    let age_ms = now_ms.saturating_sub(taken_at_ms) as f64;
    let fresh = decay(settings.report_fresh_ms, age_ms).powi(2);
    let shared = table.own_share() * decay(settings.report_half_life_ms, age_ms);
    let weight = (fresh + shared).min(1.0);
    state.others.damped(table.others(), weight)
}

/// Hyperbolic decay: 1 at age 0, one half at `half_ms`.
fn decay(half_ms: u64, age_ms: f64) -> f64 {
    let half_ms = half_ms.max(1) as f64;
    half_ms / (half_ms + age_ms)
}

fn slow_start_factor(state: &ReplicaState, settings: &Settings, now_ms: u64) -> f64 {
    let age_ms = now_ms.saturating_sub(state.counters.first_seen_ms());
    if age_ms >= settings.slow_start_ms {
        return 1.0;
    }
    (age_ms as f64 / settings.slow_start_ms as f64).max(SLOW_START_SHARE_MIN)
}

fn tokens_to_load(tokens: f64, settings: &Settings) -> f64 {
    tokens / f64::from(settings.tokens_per_load.max(1))
}
