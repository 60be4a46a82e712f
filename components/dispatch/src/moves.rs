//! Selects runs of items that continue at another replica.
//!
//! A replica runs a limited number of requests over all fronts, and its memory holds a limited
//! number of tokens. Requests beyond these limits wait in the replica's queue or are preempted half
//! way, and no front is notified of it. An unreachable replica and one that loads weights look the
//! same to a front, and a slow replica delays long items. Another replica continues a text after
//! reading it again, which takes about ten milliseconds, so moving a run pays off as long as
//! another replica has a free slot. No further run is sent to a replica at which a run has stalled.

use crate::Engine;
use crate::event_interval::is_worth_moving;

/// Limit on moves of one item away from slow replicas, so that misjudgements do not move it back
/// and forth.
pub const SLOW_MOVES_MAX: u32 = 2;
/// Typical event intervals without an event after which a run counts as stalled. Slow replicas have
/// intervals three to four times as long as others and are recognised by [`crate::EventInterval`].
const STALL_INTERVALS: u64 = 5;
/// Silence that never counts as a stall. It covers latency between failure domains, a prompt that
/// is processed in chunks between the tokens of other requests, and a busy front. A longer
/// threshold makes trainers' steps end later.
const STALL_MS_MIN: u64 = 200;

/// A run in progress.
#[derive(Clone, Debug)]
pub struct Run {
    /// Index of the engine that the run is at.
    pub engine: usize,
    /// Index of the model among the models that share the replicas.
    pub model: usize,
    /// Time to complete the text at a replica of normal speed.
    pub left_ms: u64,
    /// Time since the newest event, or since the run was sent if it has none.
    pub silent_ms: u64,
    /// Oldest version of the weights that may continue the text.
    pub min_version: u64,
    /// The only version that may continue the text, if the route forbids mixed versions.
    pub only_version: Option<u64>,
    /// How often the item was already moved away from a slow replica.
    pub slow_moves: u32,
}

/// Why a run is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveCause {
    /// The run has produced no event for the stall threshold.
    Stalled,
    /// The replica is slower than another one that has a free slot.
    Slow,
}

impl MoveCause {
    /// The name used in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            MoveCause::Stalled => "stalled",
            MoveCause::Slow => "slow",
        }
    }
}

/// Silence after which a run counts as stalled, in milliseconds, for replicas with a typical event
/// interval of `typical_us`; 0 means that the interval is not known yet.
pub fn stall_threshold_ms(typical_us: u64) -> u64 {
    (typical_us * STALL_INTERVALS / 1_000).max(STALL_MS_MIN)
}

/// Returns the indices of the runs to stop here and continue elsewhere, with the cause, as long as
/// other engines have slots. Takes those slots.
pub fn runs_to_move(
    runs: &[Run],
    engines: &mut [Engine],
    stalled_ms: u64,
) -> Vec<(usize, MoveCause)> {
    let mut moved = Vec::new();
    for (at, run) in runs.iter().enumerate() {
        let Some(there) = fastest_for(run, engines) else {
            continue;
        };
        let Some(cause) = move_cause(run, engines, there, stalled_ms) else {
            continue;
        };
        engines[there].take_slot(run.model);
        moved.push((at, cause));
    }
    moved
}

fn move_cause(run: &Run, engines: &[Engine], there: usize, stalled_ms: u64) -> Option<MoveCause> {
    if run.silent_ms >= stalled_ms {
        return Some(MoveCause::Stalled);
    }
    let (here, there) = (engines[run.engine].slowness, engines[there].slowness);
    let slow = is_worth_moving(run.left_ms, here, there);
    (slow && run.slow_moves < SLOW_MOVES_MAX).then_some(MoveCause::Slow)
}

/// The fastest other engine that has a slot and suitable weights for a run.
fn fastest_for(run: &Run, engines: &[Engine]) -> Option<usize> {
    let fits = |engine: &Engine| {
        !engine.foreign
            && engine.has_slot(run.model)
            && engine.can_run(run.model, run.min_version, run.only_version)
    };
    (0..engines.len())
        .filter(|at| *at != run.engine && fits(&engines[*at]))
        .min_by_key(|at| engines[*at].slowness)
}
