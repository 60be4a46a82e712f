//! What it costs to send a call to a replica, in units of load; the lowest wins.

use crate::counters::Work;
use crate::settings::{Policy, Settings};
use crate::table::Slot;

/// Share of the sum of both needs that breaks ties of the scarcer one.
const TIE_SHARE: f64 = 0.1;
/// Least part of its share that a new replica gets.
const SLOW_START_MIN: f64 = 0.1;

/// Cost of the call on `slot`, with `blocks` of its prompt cached there.
pub(crate) fn score(slot: &Slot, settings: &Settings, work: Work, blocks: u32, now_ms: u64) -> f64 {
    let load = match settings.policy {
        Policy::Random => return 0.0,
        Policy::LeastOutstanding | Policy::TwoChoices => own(slot, settings),
        Policy::TwoChoicesReport => own(slot, settings) + others(slot, settings, now_ms),
        // A plain service has no tokens to tell replicas apart by.
        Policy::ComputeMemory if work.tokens() == 0 => {
            own(slot, settings) + others(slot, settings, now_ms)
        }
        Policy::ComputeMemory => scarcer(slot, settings, work, now_ms),
    };
    // The call itself counts, else an idle replica would cost nothing however new.
    let load = (load + 1.0) / ramp(slot, settings, now_ms);
    let bonus = (f64::from(blocks) * settings.block_bonus).min(settings.bonus_max);
    load + slot.penalty - bonus
}

fn own(slot: &Slot, settings: &Settings) -> f64 {
    let calls = f64::from(slot.counters.calls());
    calls + in_load(f64::from(slot.counters.tokens()), settings)
}

fn others(slot: &Slot, settings: &Settings, now_ms: u64) -> f64 {
    let load = slot.others.calls + in_load(slot.others.tokens, settings);
    load * freshness(slot, settings, now_ms)
}

/// The scarcer of compute (prompt tokens that wait) and memory (KV tokens), each as a
/// share of what the engine has, in the load of a full engine.
fn scarcer(slot: &Slot, settings: &Settings, work: Work, now_ms: u64) -> f64 {
    let fresh = freshness(slot, settings, now_ms);
    let prompt_tokens = f64::from(slot.counters.prompt_tokens())
        + f64::from(work.prompt_tokens)
        + slot.others.prompt_tokens * fresh;
    let tokens =
        f64::from(slot.counters.tokens()) + f64::from(work.tokens()) + slot.others.tokens * fresh;
    let compute = prompt_tokens / f64::from(settings.prompt_tokens_busy.max(1));
    let memory = tokens / f64::from(settings.kv_tokens.max(1));
    let need = compute.max(memory) + TIE_SHARE * (compute + memory);
    need * in_load(f64::from(settings.kv_tokens), settings)
}

/// All entries read the same late report. Its weight falls with its age, so that they
/// do not all send to the replica that was idle then.
fn freshness(slot: &Slot, settings: &Settings, now_ms: u64) -> f64 {
    let Some(taken_at_ms) = slot.others.taken_at_ms else {
        return 1.0;
    };
    let age_ms = now_ms.saturating_sub(taken_at_ms) as f64;
    let half_life_ms = settings.report_half_life_ms.max(1) as f64;
    half_life_ms / (half_life_ms + age_ms)
}

fn ramp(slot: &Slot, settings: &Settings, now_ms: u64) -> f64 {
    let age_ms = now_ms.saturating_sub(slot.counters.first_seen_ms());
    if age_ms >= settings.slow_start_ms {
        return 1.0;
    }
    (age_ms as f64 / settings.slow_start_ms as f64).max(SLOW_START_MIN)
}

fn in_load(tokens: f64, settings: &Settings) -> f64 {
    tokens / f64::from(settings.tokens_per_load.max(1))
}
