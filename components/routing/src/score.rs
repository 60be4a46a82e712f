//! What it costs to send a call to a replica, in units of load; the lowest wins.

use crate::counters::Work;
use crate::settings::{Policy, Settings};
use crate::table::{OthersLoad, ReplicaState, Table};

/// Share of the sum of both needs that breaks ties of the scarcer one.
const TIE_BREAK_WEIGHT: f64 = 0.1;
/// Least part of its share that a new replica gets.
const SLOW_START_SHARE_MIN: f64 = 0.1;

/// Cost of the call on `slot`, with `blocks` of its prompt cached there.
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
        // A plain service has no tokens to tell replicas apart by.
        Policy::ComputeMemory if work.tokens() == 0 => scalar_load(),
        Policy::ComputeMemory => {
            scarcer_resource_load(state, &damped_others(table, state, now_ms), settings, work)
        }
    };
    // The call itself counts, else an idle replica would cost nothing however new.
    let load = (load + 1.0) / slow_start_factor(state, settings, now_ms);
    let bonus = (f64::from(blocks) * settings.block_bonus).min(settings.bonus_max);
    load + state.penalty - bonus
}

fn own_load(state: &ReplicaState, settings: &Settings) -> f64 {
    let calls = f64::from(state.counters.calls());
    calls + tokens_to_load(f64::from(state.counters.tokens()), settings)
}

/// Load that others have there, its distance from the mean in whole units: where own
/// calls are few, replicas are often equal, and a trace of the same late report would
/// decide each of these ties alike in every entry.
fn others_load_units(table: &Table, state: &ReplicaState, now_ms: u64) -> f64 {
    let settings = table.settings();
    let load = |others: &OthersLoad| others.calls + tokens_to_load(others.tokens, settings);
    let mean = load(table.others());
    mean + (load(&damped_others(table, state, now_ms)) - mean).round()
}

/// The scarcer of compute (prompt tokens that wait) and memory (KV tokens), each as a
/// share of what the engine has, in the load of a full engine.
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

/// What others have there, as far as the report can be believed.
///
/// All entries read the same late report. If each acted on all of it, a replica that was
/// idle then would draw the calls of every entry, and callers would wait behind each
/// other there. So each entry makes up for its own share of the imbalance, and for
/// less of it the older the report; only a report that is nearly fresh counts in full,
/// because the next one corrects what it led to.
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

/// 1 at once, a half at `half_ms`.
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
