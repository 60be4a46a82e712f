//! Selects runs of texts that continue at another replica.
//!
//! A stalled run moves to any other replica with a slot, as in [`dispatch::runs_to_move`]. Other
//! texts are moved only if the step is expected to end earlier by more than the move costs and by
//! more than its uncertainty. Leaving a replica that deviates from its steady pace gains time only for
//! the expected rest of the deviation. The uncertainty is that of both replicas' paces and of the rest:
//! a deviation that has only begun may end before a move pays off.
//!
//! For each step, the needed texts are examined from the latest end on. A text that stays bounds
//! the end of the step from below, so texts that would end before it anyway stay as well. The moves
//! of a step are kept only if all together let it end earlier.

use dispatch::Placement;

use crate::cost::{MOVE_COST_US, ReplicaCosts};
use crate::ends::StepEnds;
use crate::{Move, MoveCause, ReplicaView, RunView, TextView};

/// Smallest gain for which a text is moved.
const GAIN_US_MIN: u64 = 300_000;
/// Time between two moves of a text, unless its replica has begun to deviate in between.
const MOVE_INTERVAL_MS: u64 = 1_000;
/// Shortest time between two moves of a text for whatever reason.
const MOVE_INTERVAL_MS_MIN: u64 = 500;
/// Intervals at the replica's present pace within which a run does not count as stalled. The pool's
/// threshold is shorter than this at replicas that are several times slower.
const STALL_INTERVALS: u64 = 2;
/// Time that a load of weights stops the runs of a replica, with a margin. A stalled run waits for
/// its end if the only other replicas with a slot are slower than their steady pace.
const LOAD_MS: u64 = 1_000;
/// How long a text does not return to a replica that it was moved away from.
const RETURN_MS: u64 = 5_000;

/// A running text of a needed group.
struct NeededText {
    text: usize,
    /// Events that the text is judged by.
    events: u64,
    end_us: u64,
}

/// A move that may turn out to be useless.
struct Candidate {
    selected: Move,
    end_us: u64,
    end_there_us: u64,
}

/// Selects the runs to move and takes slots for them.
pub(crate) fn select(
    texts: &[TextView],
    ends: &StepEnds,
    placements: &[Placement],
    costs: &mut ReplicaCosts,
    replicas: &mut [ReplicaView],
    stalled_ms: u64,
) -> Vec<Move> {
    let mut moves = stalled_moves(texts, ends, costs, replicas, stalled_ms);
    for needed in needed_by_step(texts, ends, placements, costs) {
        let candidates = step_moves(texts, &needed, costs, replicas, stalled_ms);
        moves.extend(candidates);
    }
    moves
}

fn stalled_moves(
    texts: &[TextView],
    ends: &StepEnds,
    costs: &mut ReplicaCosts,
    replicas: &mut [ReplicaView],
    stalled_ms: u64,
) -> Vec<Move> {
    let is_stalled = |run: &RunView| {
        let interval_us = costs.of(run.replica).now.interval_us();
        run.silent_ms >= stalled_ms.max(STALL_INTERVALS * interval_us / 1_000)
            && run
                .moved_ms_ago
                .is_none_or(|ms_ago| ms_ago >= MOVE_INTERVAL_MS_MIN)
    };
    let mut stalled: Vec<usize> = (0..texts.len())
        .filter(|at| texts[*at].run.as_ref().is_some_and(is_stalled))
        .collect();
    stalled.sort_by_key(|at| {
        let dispensable = !ends.is_needed(&texts[*at]);
        (dispensable, std::cmp::Reverse(ends.text_us(*at)))
    });
    let mut moves = Vec::new();
    for at in stalled {
        let text = &texts[at];
        let Some(to) = target(text, text.left.mean, costs, replicas) else {
            continue;
        };
        let silent_ms = text.run.as_ref().map_or(0, |run| run.silent_ms);
        if costs.of(to).deviates_for_ms.is_some() && silent_ms < LOAD_MS {
            continue;
        }
        replicas[to].engine.take_slot(text.model);
        costs.add_run(to, text.left.mean, ends.is_needed(text));
        moves.push(Move {
            text: at,
            to,
            cause: MoveCause::Stalled,
            gain_ms: 0,
            doubt_ms: 0,
        });
    }
    moves
}

/// The needed texts of each step, those with the latest end first.
fn needed_by_step(
    texts: &[TextView],
    ends: &StepEnds,
    placements: &[Placement],
    costs: &ReplicaCosts,
) -> Vec<Vec<NeededText>> {
    let steps = texts.iter().map(|text| text.step + 1).max().unwrap_or(0);
    let mut needed: Vec<Vec<NeededText>> = Vec::new();
    needed.resize_with(steps, Vec::new);
    for (at, text) in texts.iter().enumerate() {
        let run = text.run.as_ref().map(|run| costs.of(run.replica));
        let deviating = run.filter(|here| here.deviates_for_ms.is_some());
        if !ends.is_needed(text) && (deviating.is_none() || ends.is_dispensable(text)) {
            continue;
        }
        // A text at a replica that deviates is judged by a length that it hardly exceeds: what it
        // loses there cannot be made up for if it becomes long.
        let (events, end_us) = match deviating {
            Some(here) => {
                let events = text.left.high;
                (events, here.now.duration_us(events))
            }
            None => (text.left.mean, ends.text_us(at)),
        };
        needed[text.step].push(NeededText {
            text: at,
            events,
            end_us,
        });
    }
    for placement in placements {
        let text = &texts[placement.item];
        let known = &mut needed[text.step];
        let position = known.binary_search_by_key(&placement.item, |known| known.text);
        if let Ok(at) = position {
            let now = &costs.of(placement.engine).now;
            known[at].end_us = now.duration_us(known[at].events);
        }
    }
    for texts in &mut needed {
        texts.sort_by_key(|text| std::cmp::Reverse(text.end_us));
    }
    needed
}

/// Selects the moves of one step. Slots of moves that turn out to be useless are released.
fn step_moves(
    texts: &[TextView],
    needed: &[NeededText],
    costs: &mut ReplicaCosts,
    replicas: &mut [ReplicaView],
    stalled_ms: u64,
) -> Vec<Move> {
    // Earliest possible end of the step, given the texts examined so far.
    let mut step_us = 0;
    let mut candidates: Vec<Candidate> = Vec::new();
    for needed in needed {
        if needed.end_us < step_us + GAIN_US_MIN {
            break;
        }
        let text = &texts[needed.text];
        match candidate(needed, text, step_us, costs, replicas, stalled_ms) {
            Some(candidate) => {
                replicas[candidate.selected.to].engine.take_slot(text.model);
                step_us = step_us.max(candidate.end_there_us);
                candidates.push(candidate);
            }
            None => step_us = step_us.max(needed.end_us),
        }
    }
    let mut moves = Vec::new();
    for candidate in candidates {
        let Move {
            text, to, doubt_ms, ..
        } = candidate.selected;
        let gain_us = candidate
            .end_us
            .saturating_sub(step_us.max(candidate.end_there_us));
        let text = &texts[text];
        if is_worth(gain_us, doubt_ms * 1_000) {
            costs.add_run(to, text.left.mean, true);
            moves.push(Move {
                gain_ms: gain_us / 1_000,
                ..candidate.selected
            });
        } else {
            replicas[to].engine.release_slot(text.model);
        }
    }
    moves
}

fn is_worth(gain_us: u64, doubt_us: u64) -> bool {
    gain_us >= GAIN_US_MIN && gain_us > MOVE_COST_US + doubt_us
}

/// The move of a text that decides the end of its step; `None` if the text stays.
fn candidate(
    needed: &NeededText,
    text: &TextView,
    step_us: u64,
    costs: &ReplicaCosts,
    replicas: &[ReplicaView],
    stalled_ms: u64,
) -> Option<Candidate> {
    let run = text.run.as_ref()?;
    let here = costs.of(run.replica);
    if run.silent_ms >= stalled_ms || !may_move(run, here.deviates_for_ms) {
        return None;
    }
    let to = target(text, needed.events, costs, replicas)?;
    let there = costs.of(to);
    let end_there_us = there.next.duration_us(needed.events);
    let paces_doubt_us = (here.now.duration_us(needed.events) * here.doubt_thousandths
        + end_there_us * there.doubt_thousandths)
        / 1_000;
    let doubt_us = paces_doubt_us + here.now.deviation_doubt_us(needed.events);
    let gain_us = needed.end_us.saturating_sub(step_us.max(end_there_us));
    let cause = match here.deviates_for_ms {
        Some(_) => MoveCause::Slower,
        None => MoveCause::Critical,
    };
    is_worth(gain_us, doubt_us).then_some(Candidate {
        selected: Move {
            text: needed.text,
            to,
            cause,
            gain_ms: gain_us / 1_000,
            doubt_ms: doubt_us / 1_000,
        },
        end_us: needed.end_us,
        end_there_us,
    })
}

/// Whether enough time has passed since the last move of a text.
fn may_move(run: &RunView, deviates_for_ms: Option<u64>) -> bool {
    let Some(moved_ms_ago) = run.moved_ms_ago else {
        return true;
    };
    let has_begun_to_deviate = deviates_for_ms.is_some_and(|for_ms| for_ms < moved_ms_ago);
    moved_ms_ago >= MOVE_INTERVAL_MS || has_begun_to_deviate && moved_ms_ago >= MOVE_INTERVAL_MS_MIN
}

/// The other replica at which a text ends first.
fn target(
    text: &TextView,
    events: u64,
    costs: &ReplicaCosts,
    replicas: &[ReplicaView],
) -> Option<usize> {
    let run = text.run.as_ref()?;
    let has_left = |at: usize| {
        let mut left = run.left_replicas.iter();
        left.any(|(replica, ms_ago)| *replica == at && *ms_ago < RETURN_MS)
    };
    let fits = |at: &usize| {
        let engine = &replicas[*at].engine;
        *at != run.replica
            && !engine.foreign
            && engine.has_slot(text.model)
            && engine.can_run(text.model, text.min_version, text.only_version)
            && !has_left(*at)
    };
    (0..replicas.len())
        .filter(fits)
        .min_by_key(|at| costs.of(*at).start_us(events))
}
