//! Which runs of items go on at another replica.
//!
//! A replica runs so many requests at once, of all fronts together, and its memory holds so
//! many tokens. What is beyond that waits there without a sign: a request in a queue, or one
//! that was preempted in the middle. A replica that went dark or loads weights looks the same,
//! and a slow one makes a long item late. Another replica goes on with a text once it has read
//! it again, some ten milliseconds, so a run is worth moving as long as another one has a
//! place. Where one run makes nothing, no further one is sent.

use crate::Engine;
use crate::pace::is_worth_moving;

/// Moves of one item away from slow replicas, at most, so that no misjudgement sends it to
/// and fro.
pub const SLOW_MOVES_MAX: u32 = 2;
/// Usual pauses between events that a run may be silent for; slow replicas pause three to
/// four times as long and are told by their pace.
const PAUSES: u64 = 5;
/// Silence that never counts, in milliseconds: ways between failure domains, a prompt that is
/// read in chunks between the tokens of others, and a busy front. Longer silence ends trainers'
/// steps later.
const SILENT_MS_MIN: u64 = 200;

/// A run in progress.
#[derive(Clone, Debug)]
pub struct Run {
    /// Index of its engine.
    pub engine: usize,
    /// Number of its model among those that share the replicas.
    pub model: usize,
    /// Time until its text is whole at a replica like the others, in milliseconds.
    pub left_ms: u64,
    /// Time since it was sent or made its newest event, in milliseconds.
    pub silent_ms: u64,
    /// Oldest version that may make its events.
    pub min_version: u64,
    /// The only version that may, where the text must not mix.
    pub only_version: Option<u64>,
    /// How often its item was moved away from a slow replica.
    pub slow_moves: u32,
}

/// Why a run is moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveCause {
    /// It makes nothing.
    Stalled,
    /// Its replica is slow.
    Slow,
}

impl MoveCause {
    /// The cause in one word, for lines.
    pub fn as_str(self) -> &'static str {
        match self {
            MoveCause::Stalled => "stalled",
            MoveCause::Slow => "slow",
        }
    }
}

/// Silence from which on a run counts as stalled, in milliseconds, where replicas make an event
/// each `typical_us`; 0 if that is not known yet.
pub fn stall_threshold_ms(typical_us: u64) -> u64 {
    (typical_us * PAUSES / 1_000).max(SILENT_MS_MIN)
}

/// The runs to stop, by their indices, as far as the places that are left elsewhere go; takes
/// those places.
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
        let Some(cause) = cause(run, engines, there, stalled_ms) else {
            continue;
        };
        engines[there].take_slot(run.model);
        moved.push((at, cause));
    }
    moved
}

fn cause(run: &Run, engines: &[Engine], there: usize, stalled_ms: u64) -> Option<MoveCause> {
    if run.silent_ms >= stalled_ms {
        return Some(MoveCause::Stalled);
    }
    let (here, there) = (engines[run.engine].slowness, engines[there].slowness);
    let slow = is_worth_moving(run.left_ms, here, there);
    (slow && run.slow_moves < SLOW_MOVES_MAX).then_some(MoveCause::Slow)
}

/// The fastest other engine with a place for a run.
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
