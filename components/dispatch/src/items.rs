//! Placing of a step's items on model replicas.
//!
//! Trainers take turns by steps: the oldest step of each customer's model that has items waiting
//! goes before the second one of any. A customer that asks for many steps at once so delays its
//! own later ones, and a customer with one step waits for one step of each other trainer at
//! most. Turns of customers alone would set one that trains several models back behind one that
//! trains one; models are the operator's, so a customer gets no more turns by itself.
//! Within a turn the higher rank goes first; nobody waits longer for it than a turn.
//!
//! A trainer waits for whole groups, so items of the oldest step go first, and within a step
//! the longest ones by the trainer's hint: an item makes its tokens one after the other, and
//! a long one that starts late ends the step late. A long item of the next step does not go
//! before a short one of the oldest: where places are short, as behind an outage, both steps
//! would end late. A replica makes each token hardly slower when it runs eight requests than
//! when it runs one, so free places are worth taking.

use derive::value;

use crate::WaitingRank;

/// An item that waits for a place.
#[value]
pub struct WaitingItem {
    /// Number of its model among those that share the replicas.
    pub model: usize,
    /// Steps of its customer's model before its own that have waiting items too.
    pub turn: u32,
    /// Rank of its customer and route.
    pub rank: WaitingRank,
    /// Rank of its step, the oldest lowest.
    pub step_rank: u64,
    /// Time until its text is whole once it runs, as far as can be told, in milliseconds.
    pub left_ms: u64,
    /// Oldest version of the weights that may make them.
    pub min_version: u64,
    /// The only version that may, where a text began under it and must not mix.
    pub only_version: Option<u64>,
    /// Engine to avoid, where a run just broke.
    pub avoid: Option<usize>,
}

/// A model replica.
#[value]
pub struct Engine {
    /// Whether it belongs to another front's part of the replicas first.
    pub foreign: bool,
    /// Versions of the weights that it has, by model.
    pub versions: Vec<u64>,
    /// Items of each model that it may still take.
    pub model_slots: Vec<u32>,
    /// Items that it may still take in all.
    pub free_slots: u32,
    /// Items of this process that it runs.
    pub running: u32,
    /// Time for a token against its like, in thousandths.
    pub slowness: u64,
}

impl Engine {
    /// Whether it has weights that may make this item.
    pub fn can_run(&self, model: usize, min_version: u64, only_version: Option<u64>) -> bool {
        let version = self.versions[model];
        version >= min_version && only_version.is_none_or(|only| only == version)
    }

    /// Whether it has a place for an item of a model.
    pub fn has_slot(&self, model: usize) -> bool {
        self.free_slots > 0 && self.model_slots[model] > 0
    }

    /// Takes an item of a model in.
    pub fn take_slot(&mut self, model: usize) {
        self.free_slots -= 1;
        self.model_slots[model] -= 1;
        self.running += 1;
    }
}

/// An item and its engine, by their indices.
#[value]
pub struct Placement {
    /// Index among the waiting items.
    pub item: usize,
    /// Index among the engines.
    pub engine: usize,
}

/// Time for a token by the number of requests at once: 0.568 ms and 0.0162 ms more for each
/// (figures of the deployments' engines), in thousandths of a millisecond.
const TOKEN_BASE: u64 = 568;
const TOKEN_EACH: u64 = 16;
/// Requests at once for which the time of a text is told.
const USUAL_RUNNING: u64 = 4;
/// A text that is longer than its hint goes on for a part of what it has, as far as can be
/// told: lengths have long tails.
const BEYOND_HINT: u64 = 2;

/// Time until a text is whole, in milliseconds, from the trainer's hint at its tokens, the events
/// that it has, and the usual pause between events; 0 for a pause that is not known.
pub fn text_left_ms(expected_tokens: u32, made_events: u64, pause_us: u64) -> u64 {
    let token_us = TOKEN_BASE + USUAL_RUNNING * TOKEN_EACH;
    let whole_ms = u64::from(expected_tokens) * token_us / 1_000;
    let made_ms = made_events * pause_us / 1_000;
    whole_ms.saturating_sub(made_ms).max(made_ms / BEYOND_HINT)
}

/// Whether a text that has to go on under one version can't: no replica has that version any
/// more, and some could make the item from its beginning. Without replicas nothing is said,
/// as they may come back as they were.
pub fn has_lost_version(item: &WaitingItem, engines: &[Engine]) -> bool {
    let Some(only) = item.only_version else {
        return false;
    };
    let version = |engine: &Engine| engine.versions[item.model];
    let could_begin = engines
        .iter()
        .any(|engine| version(engine) >= item.min_version);
    could_begin && engines.iter().all(|engine| version(engine) != only)
}

/// Places as many items as there are places, in the order in which they should start.
pub fn place(waiting: &[WaitingItem], engines: &mut [Engine]) -> Vec<Placement> {
    let mut order: Vec<usize> = (0..waiting.len()).collect();
    order.sort_by_key(|at| {
        let item = &waiting[*at];
        (
            item.turn,
            item.rank,
            item.step_rank,
            std::cmp::Reverse(item.left_ms),
        )
    });
    let mut placed = Vec::new();
    for item in order {
        let Some(engine) = best_engine(&waiting[item], engines) else {
            continue;
        };
        engines[engine].take_slot(waiting[item].model);
        placed.push(Placement { item, engine });
    }
    placed
}

/// The engine for an item: one of this front's part, as long as one of them has weights that may
/// make it. An engine of another part is full of runs that this front can't see, as a rule.
fn best_engine(item: &WaitingItem, engines: &[Engine]) -> Option<usize> {
    let can_make =
        |engine: &Engine| engine.can_run(item.model, item.min_version, item.only_version);
    let abroad = !engines
        .iter()
        .any(|engine| !engine.foreign && can_make(engine));
    let fits = |engine: &Engine| {
        (abroad || !engine.foreign) && engine.has_slot(item.model) && can_make(engine)
    };
    let best = |avoid: Option<usize>| {
        (0..engines.len())
            .filter(|at| fits(&engines[*at]) && Some(*at) != avoid)
            .min_by_key(|at| token_time(&engines[*at]))
    };
    best(item.avoid).or_else(|| best(None))
}

fn token_time(engine: &Engine) -> u64 {
    let each = TOKEN_BASE + TOKEN_EACH * u64::from(engine.running + 1);
    each * engine.slowness
}
