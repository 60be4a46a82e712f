//! Placement of waiting texts on free slots.
//!
//! Turns and ranks go first ([`dispatch::WaitingItem`]). Within them, texts of needed groups precede
//! dispensable ones, and the step with the least laxity precedes the others. Within a step the
//! longest texts go first.
//!
//! A text for which a move is planned goes before all others to the replica of the plan. It had a
//! slot before, which the others get in exchange.

use std::cmp::Reverse;

use dispatch::{Placement, WaitingRank};

use crate::candidates::{Candidate, CandidateList, Candidates};
use crate::cost::ReplicaCosts;
use crate::ends::StepEnds;
use crate::{Policy, ReplicaView, StepView, TextView};

/// Limit on the remaining time that counts for the laxity of a step. A step that is older than
/// another one by this time precedes it in any case, so that steps with long texts cannot starve
/// the others.
const REMAINING_MS_MAX: i64 = 8_000;
/// How much later than at the earliest replica a short text may end under [`Policy::ReserveFast`].
/// Equal to the smallest gain of a move, so that no such text is moved back.
const SHORT_LOSS_US: u64 = 300_000;
/// Steady interval of replicas that count as fast, relative to the fastest one, in hundredths. It
/// lies between the two speeds of the deployments, 1 and 1.3.
const FAST_HUNDREDTHS: u64 = 112;
/// Share of the fast slots that may be reserved: one in this number.
const RESERVED_DIVISOR: u64 = 4;

/// Places waiting texts on free slots and takes the slots.
pub(crate) fn place(
    policy: Policy,
    steps: &[StepView],
    texts: &[TextView],
    ends: &StepEnds,
    costs: &mut ReplicaCosts,
    replicas: &mut [ReplicaView],
) -> Vec<Placement> {
    let mut waiting: Vec<usize> = (0..texts.len())
        .filter(|at| texts[*at].run.is_none())
        .collect();
    if waiting.is_empty() || replicas.iter().all(|view| view.engine.free_slots == 0) {
        return Vec::new();
    }
    let keys: Vec<StepKey> = (0..steps.len())
        .map(|at| step_key(steps, at, ends))
        .collect();
    waiting.sort_by_cached_key(|at| {
        let text = &texts[*at];
        let key = &keys[text.step];
        let is_moved = text.planned.is_some();
        let dispensable = ends.is_dispensable(text);
        let left = Reverse(text.left.mean);
        (
            !is_moved,
            key.turn,
            key.rank,
            dispensable,
            key.laxity_ms,
            key.age_rank,
            left,
        )
    });
    let mut reserve = match policy {
        Policy::EarliestFinish => Reserve::default(),
        Policy::ReserveFast => Reserve::new(texts, costs, replicas),
    };
    let mut lists = Candidates::default();
    let mut placed = Vec::new();
    for item in waiting {
        let text = &texts[item];
        let list = lists.of(text, |at| reserve.is_fast(at), costs, replicas);
        let Some(selected) = select(policy, text, list, &reserve) else {
            continue;
        };
        let engine = selected.replica;
        replicas[engine].engine.take_slot(text.model);
        costs.add_run(engine, text.left.mean, ends.is_needed(text));
        reserve.take(&selected);
        lists.update(engine, costs, replicas);
        placed.push(Placement { item, engine });
    }
    placed
}

/// What orders a step among the others.
struct StepKey {
    turn: u32,
    rank: WaitingRank,
    laxity_ms: i64,
    age_rank: u64,
}

fn step_key(steps: &[StepView], at: usize, ends: &StepEnds) -> StepKey {
    let step = &steps[at];
    let remaining_ms = i64::try_from(ends.step_us(at) / 1_000).unwrap_or(i64::MAX);
    StepKey {
        turn: step.turn,
        rank: step.rank,
        laxity_ms: step.due_in_ms - remaining_ms.min(REMAINING_MS_MAX),
        age_rank: step.age_rank,
    }
}

/// Selects the replica for a text among those with a slot.
fn select(
    policy: Policy,
    text: &TextView,
    list: &CandidateList,
    reserve: &Reserve,
) -> Option<Candidate> {
    if let Some(planned) = text.planned.and_then(|planned| list.get(planned)) {
        return Some(planned);
    }
    let events = text.left.mean;
    let usable = |avoid: Option<usize>| {
        move |candidate: &Candidate| {
            Some(candidate.replica) != avoid && !(candidate.fast && reserve.is_exhausted())
        }
    };
    let earliest = list.earliest(events, usable(text.avoid));
    let earliest = earliest.or_else(|| list.earliest(events, usable(None)))?;
    match policy {
        Policy::EarliestFinish => Some(earliest),
        Policy::ReserveFast => {
            // Judged by the high estimate, as few of the texts that go to slow replicas may become
            // long there.
            let latest_us = earliest.start_us(text.left.high) + SHORT_LOSS_US;
            let is_near = |candidate: &Candidate| {
                !candidate.deviates && candidate.start_us(text.left.high) <= latest_us
            };
            let usable = usable(text.avoid);
            let slowest = list.slowest(|candidate| usable(candidate) && is_near(candidate));
            slowest.or(Some(earliest))
        }
    }
}

/// Fast slots that stay free for texts at slow replicas, as long as other slots suffice for the
/// texts that wait.
#[derive(Debug, Default)]
struct Reserve {
    is_fast: Vec<bool>,
    /// Free slots at fast replicas.
    free: u64,
    /// Slots that stay free.
    reserved: u64,
}

impl Reserve {
    fn new(texts: &[TextView], costs: &ReplicaCosts, replicas: &[ReplicaView]) -> Self {
        let steady = |at: usize| costs.of(at).next.steady_us();
        let fastest_us = (0..replicas.len()).map(steady).min().unwrap_or(0);
        let is_fast = |at: usize| {
            steady(at) * 100 <= fastest_us * FAST_HUNDREDTHS
                && costs.of(at).deviates_for_ms.is_none()
        };
        let is_fast: Vec<bool> = (0..replicas.len()).map(is_fast).collect();
        let slots = |taken: bool| -> u64 {
            let fast = replicas.iter().zip(&is_fast).filter(|(_, fast)| **fast);
            fast.map(|(view, _)| match taken {
                true => u64::from(view.engine.free_slots + view.engine.running),
                false => u64::from(view.engine.free_slots),
            })
            .sum()
        };
        let (all, free) = (slots(true), slots(false));
        // A reserve while texts wait for slots would delay texts for an uncertain gain.
        let waiting = texts.iter().filter(|text| text.run.is_none()).count() as u64;
        let free_slots = replicas
            .iter()
            .map(|view| u64::from(view.engine.free_slots));
        let spare = free_slots.sum::<u64>().saturating_sub(waiting);
        // The 90th percentile is exceeded by a tenth of the texts.
        let mut expected_tenths = 0;
        for text in texts {
            let Some(run) = text.run.as_ref().filter(|run| !is_fast[run.replica]) else {
                continue;
            };
            let here = &costs.of(run.replica).now;
            let is_long = |events: u64| {
                let there_us = events * fastest_us;
                here.duration_us(events) > there_us + SHORT_LOSS_US
            };
            expected_tenths += match (is_long(text.left.mean), is_long(text.left.high)) {
                (true, _) => 10,
                (false, true) => 1,
                (false, false) => 0,
            };
        }
        Self {
            is_fast,
            free,
            reserved: (expected_tenths / 10_u64)
                .min(all / RESERVED_DIVISOR)
                .min(spare),
        }
    }

    fn is_fast(&self, replica: usize) -> bool {
        self.is_fast.get(replica).copied().unwrap_or(false)
    }

    /// Whether all free slots of fast replicas have to stay free.
    fn is_exhausted(&self) -> bool {
        self.reserved > 0 && self.free <= self.reserved
    }

    fn take(&mut self, candidate: &Candidate) {
        if candidate.fast {
            self.free = self.free.saturating_sub(1);
        }
    }
}
