//! Placement of items of training steps on model replicas.
//!
//! Steps are served in turns. For each customer and model, the oldest step with waiting items has
//! turn 0, the next one turn 1, and so on; lower turns are placed first. A customer that submits
//! many steps at once therefore delays its own later steps, and a customer with a single step waits
//! for at most one step of each other trainer. Turns by customer alone would put a customer that
//! trains several models behind one that trains a single model. The operator defines the models, so
//! a customer cannot gain turns by itself. Within a turn, a higher rank goes first; no step waits
//! longer for a higher rank than one turn.
//!
//! A trainer waits for whole groups of items, so items of the oldest step go first. Within a step,
//! the longest items by the trainer's length hint go first: the tokens of an item are generated one
//! after the other, and a long item that starts late delays the end of its step. A long item of the
//! next step does not overtake a short one of the oldest step: when slots are scarce, for example
//! after an outage, both steps would end late. A replica generates each token hardly slower with
//! eight concurrent requests than with one, so every free slot is used.

use derive::value;

use crate::WaitingRank;

/// An item that waits for a slot at a replica.
#[value]
pub struct WaitingItem {
    /// Index of the item's model among the models that share the replicas.
    pub model: usize,
    /// Number of older steps of the same customer and model that also have waiting items.
    pub turn: u32,
    /// Rank of the customer and the route.
    pub rank: WaitingRank,
    /// Position of the step by age; the oldest step has the lowest value.
    pub step_rank: u64,
    /// Estimated time to complete the text once the item runs.
    pub left_ms: u64,
    /// Oldest version of the weights that may generate the item.
    pub min_version: u64,
    /// The only version that may continue the text, if the route forbids mixed versions and a text
    /// was already started.
    pub only_version: Option<u64>,
    /// Index of the engine at which a run of this item was just interrupted; it is used only if no
    /// other engine fits.
    pub avoid: Option<usize>,
}

/// A model replica with the capacity that this front sees.
#[value]
pub struct Engine {
    /// Whether the replica belongs to a shard that another front runs.
    pub foreign: bool,
    /// Version of the weights that the replica has, by index of the model; 0 for none.
    pub versions: Vec<u64>,
    /// Slots that may be used for each model; fewer than `free_slots` after a refusal.
    pub model_slots: Vec<u32>,
    /// Free slots over all models.
    pub free_slots: u32,
    /// Items that this process runs at the replica.
    pub running: u32,
    /// Time per event relative to the other replicas, in thousandths.
    pub slowness: u64,
}

impl Engine {
    /// Whether the replica has a version of the weights that may generate the item.
    pub fn can_run(&self, model: usize, min_version: u64, only_version: Option<u64>) -> bool {
        let version = self.versions[model];
        version >= min_version && only_version.is_none_or(|only| only == version)
    }

    /// Whether the replica has a free slot for an item of the model.
    pub fn has_slot(&self, model: usize) -> bool {
        self.free_slots > 0 && self.model_slots[model] > 0
    }

    /// Takes a slot for an item of the model. The caller has checked [`Engine::has_slot`].
    pub fn take_slot(&mut self, model: usize) {
        self.free_slots -= 1;
        self.model_slots[model] -= 1;
        self.running += 1;
    }

    /// Releases a slot that [`Engine::take_slot`] took for an item of the model.
    pub fn release_slot(&mut self, model: usize) {
        self.free_slots += 1;
        self.model_slots[model] += 1;
        self.running -= 1;
    }
}

/// An item and the engine that it is placed on.
#[value]
pub struct Placement {
    /// Index among the waiting items.
    pub item: usize,
    /// Index among the engines.
    pub engine: usize,
}

/// Time per token: 568 µs, and 16 µs more for each concurrent request. The deployments' engines
/// take 0.568 ms and 0.0162 ms.
const TOKEN_BASE_US: u64 = 568;
const TOKEN_PER_REQUEST_US: u64 = 16;
/// Concurrent requests at a replica that the estimate of a text's duration assumes.
const TYPICAL_RUNNING: u64 = 4;
/// A text that has exceeded its hint is expected to take another half of the time that it has taken
/// so far, because text lengths have a long tail.
const OVERRUN_DIVISOR: u64 = 2;

/// Estimates the time to complete a text, in milliseconds, from the trainer's hint at its number of
/// tokens, the events generated so far, and the typical interval between events. An `interval_us`
/// of 0 means that the interval is not known.
pub fn text_left_ms(expected_tokens: u32, generated_events: u64, interval_us: u64) -> u64 {
    let token_us = TOKEN_BASE_US + TYPICAL_RUNNING * TOKEN_PER_REQUEST_US;
    let expected_ms = u64::from(expected_tokens) * token_us / 1_000;
    let elapsed_ms = generated_events * interval_us / 1_000;
    expected_ms
        .saturating_sub(elapsed_ms)
        .max(elapsed_ms / OVERRUN_DIVISOR)
}

/// Whether a text that must be completed by one version cannot be: no replica has that version any
/// more, and some replica could generate the item from its start. With no replicas the answer is
/// false, because the same replicas may come back with the same versions.
pub fn has_lost_version(item: &WaitingItem, engines: &[Engine]) -> bool {
    let Some(only) = item.only_version else {
        return false;
    };
    let version = |engine: &Engine| engine.versions[item.model];
    let can_start = engines
        .iter()
        .any(|engine| version(engine) >= item.min_version);
    can_start && engines.iter().all(|engine| version(engine) != only)
}

/// Places waiting items on free slots. The result is in the order in which the items should start.
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

/// Selects the engine for an item: one in this front's shards as long as any of these has suitable
/// weights, even without a free slot. An engine in another front's shard is usually full of runs
/// that this front cannot see.
fn best_engine(item: &WaitingItem, engines: &[Engine]) -> Option<usize> {
    let is_suitable =
        |engine: &Engine| engine.can_run(item.model, item.min_version, item.only_version);
    let uses_foreign = !engines
        .iter()
        .any(|engine| !engine.foreign && is_suitable(engine));
    let fits = |engine: &Engine| {
        (uses_foreign || !engine.foreign) && engine.has_slot(item.model) && is_suitable(engine)
    };
    let best = |avoid: Option<usize>| {
        (0..engines.len())
            .filter(|at| fits(&engines[*at]) && Some(*at) != avoid)
            .min_by_key(|at| token_cost(&engines[*at]))
    };
    best(item.avoid).or_else(|| best(None))
}

fn token_cost(engine: &Engine) -> u64 {
    let token_us = TOKEN_BASE_US + TOKEN_PER_REQUEST_US * u64::from(engine.running + 1);
    token_us * engine.slowness
}
