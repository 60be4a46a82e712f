//! Replicas with a free slot that a text may use, ordered for fast selection.
//!
//! A pass may place thousands of texts on hundreds of replicas. Each list is therefore divided into
//! blocks of replicas of similar speed with bounds, and a selection skips the blocks that cannot
//! contain a better replica than the best one so far.

use std::cmp::Reverse;
use std::collections::HashMap;

use crate::cost::{ReplicaCosts, Speed};
use crate::{ReplicaView, TextView};

/// Replicas in a block. A selection reads the bounds of all blocks and the replicas of few.
const BLOCK_LEN: usize = 24;
/// Width of the classes of steady intervals that count as one speed. Replicas of one speed differ
/// slightly by their measured pace.
const SPEED_CLASS_US: u64 = 5_000;

/// What a text requires of a replica's weights. Texts of one class share a list of replicas.
type Class = (usize, u64, Option<u64>);

/// A replica with a free slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) replica: usize,
    speed: Speed,
    presence_us: u64,
    running: u32,
    /// Whether the replica deviates from its steady pace.
    pub(crate) deviates: bool,
    /// Whether the replica is one of those whose slots are reserved.
    pub(crate) fast: bool,
}

impl Candidate {
    fn new(replica: usize, fast: bool, costs: &ReplicaCosts, replicas: &[ReplicaView]) -> Self {
        let cost = costs.of(replica);
        Self {
            replica,
            speed: cost.next,
            presence_us: cost.presence_us(),
            running: replicas[replica].engine.running,
            deviates: cost.deviates_for_ms.is_some(),
            fast,
        }
    }

    /// Expected end of a text of `events` events that starts now, with the delay that it causes.
    pub(crate) fn start_us(&self, events: u64) -> u64 {
        self.speed.duration_us(events) + self.presence_us
    }

    fn speed_class(&self) -> u64 {
        self.speed.steady_us() / SPEED_CLASS_US
    }
}

/// Replicas of similar speed, with bounds that hold for all of them.
#[derive(Debug)]
struct Block {
    candidates: Vec<Candidate>,
    interval_us_min: u64,
    steady_us_min: u64,
    deviation_us_min: u64,
    presence_us_min: u64,
    running_min: u32,
    speed_class_max: u64,
}

impl Block {
    fn new(candidates: Vec<Candidate>) -> Self {
        let mut block = Self {
            candidates,
            interval_us_min: 0,
            steady_us_min: 0,
            deviation_us_min: 0,
            presence_us_min: 0,
            running_min: 0,
            speed_class_max: 0,
        };
        block.update_bounds();
        block
    }

    fn update_bounds(&mut self) {
        // Bounds of an empty block rule it out.
        self.interval_us_min = u64::from(u32::MAX);
        self.steady_us_min = u64::from(u32::MAX);
        self.deviation_us_min = u64::from(u32::MAX);
        self.presence_us_min = u64::MAX / 2;
        self.running_min = u32::MAX;
        self.speed_class_max = 0;
        for known in &self.candidates {
            let speed = &known.speed;
            self.interval_us_min = self.interval_us_min.min(speed.interval_us());
            self.steady_us_min = self.steady_us_min.min(speed.steady_us());
            self.deviation_us_min = self.deviation_us_min.min(speed.whole_deviation_us());
            self.presence_us_min = self.presence_us_min.min(known.presence_us);
            self.running_min = self.running_min.min(known.running);
            self.speed_class_max = self.speed_class_max.max(known.speed_class());
        }
    }

    /// Lower bound of [`Candidate::start_us`].
    fn start_us_min(&self, events: u64) -> u64 {
        let all_deviating_us = events * self.interval_us_min;
        let then_steady_us = events * self.steady_us_min + self.deviation_us_min;
        all_deviating_us.min(then_steady_us) + self.presence_us_min
    }
}

/// Replicas for one class of texts.
#[derive(Debug)]
pub(crate) struct CandidateList {
    blocks: Vec<Block>,
    /// Block of each replica, by number of the replica; `None` for replicas of no block.
    block_of: Vec<Option<usize>>,
}

impl CandidateList {
    fn new(mut candidates: Vec<Candidate>, replicas: usize) -> Self {
        candidates.sort_by_key(|known| (known.speed.steady_us(), known.deviates));
        let blocks: Vec<Block> = candidates
            .chunks(BLOCK_LEN)
            .map(|chunk| Block::new(chunk.to_vec()))
            .collect();
        let mut block_of = vec![None; replicas];
        for (at, block) in blocks.iter().enumerate() {
            for known in &block.candidates {
                block_of[known.replica] = Some(at);
            }
        }
        Self { blocks, block_of }
    }

    /// The candidate of a replica; `None` if it has no slot or unsuitable weights.
    pub(crate) fn get(&self, replica: usize) -> Option<Candidate> {
        let block = &self.blocks[self.block_of[replica]?];
        let mut candidates = block.candidates.iter();
        candidates.find(|known| known.replica == replica).copied()
    }

    /// The usable replica at which a text ends first; the emptiest one of equal ones.
    pub(crate) fn earliest(
        &self,
        events: u64,
        is_usable: impl Fn(&Candidate) -> bool,
    ) -> Option<Candidate> {
        let key = |known: &Candidate| (known.start_us(events), known.running);
        let bound = |block: &Block| (block.start_us_min(events), block.running_min);
        // The most promising block first: its best replica then rules out most other blocks.
        let first = (0..self.blocks.len()).min_by_key(|at| bound(&self.blocks[*at]))?;
        let mut best: Option<(u64, u32)> = None;
        let mut earliest = None;
        let others = (0..self.blocks.len()).filter(|at| *at != first);
        for block in std::iter::once(first).chain(others) {
            let block = &self.blocks[block];
            if best.is_some_and(|best| best <= bound(block)) {
                continue;
            }
            for known in &block.candidates {
                let key = key(known);
                if best.is_none_or(|best| key < best) && is_usable(known) {
                    best = Some(key);
                    earliest = Some(*known);
                }
            }
        }
        earliest
    }

    /// The usable replica of the slowest speed; the emptiest one of equal ones.
    pub(crate) fn slowest(&self, is_usable: impl Fn(&Candidate) -> bool) -> Option<Candidate> {
        let mut best: Option<(u64, Reverse<u32>)> = None;
        let mut slowest = None;
        for block in self.blocks.iter().rev() {
            let bound = (block.speed_class_max, Reverse(block.running_min));
            if best.is_some_and(|best| best >= bound) {
                continue;
            }
            for known in &block.candidates {
                let key = (known.speed_class(), Reverse(known.running));
                if best.is_none_or(|best| key > best) && is_usable(known) {
                    best = Some(key);
                    slowest = Some(*known);
                }
            }
        }
        slowest
    }

    /// Replaces a replica's candidate, or removes it.
    fn update(&mut self, replica: usize, update: impl Fn(&Candidate) -> Option<Candidate>) {
        let Some(block) = self.block_of[replica] else {
            return;
        };
        let block = &mut self.blocks[block];
        let mut candidates = block.candidates.iter();
        let Some(at) = candidates.position(|known| known.replica == replica) else {
            return;
        };
        match update(&block.candidates[at]) {
            Some(candidate) => block.candidates[at] = candidate,
            None => {
                block.candidates.swap_remove(at);
                self.block_of[replica] = None;
            }
        }
        block.update_bounds();
    }
}

/// Replicas with a free slot, by class of texts.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    by_class: HashMap<Class, CandidateList>,
}

impl Candidates {
    /// Replicas for a text: those of this front's shards as long as any of these has suitable
    /// weights, even without a free slot. `is_fast` says whether a replica's slots are reserved.
    pub(crate) fn of(
        &mut self,
        text: &TextView,
        is_fast: impl Fn(usize) -> bool,
        costs: &ReplicaCosts,
        replicas: &[ReplicaView],
    ) -> &CandidateList {
        let class = (text.model, text.min_version, text.only_version);
        self.by_class.entry(class).or_insert_with(|| {
            let fitting = fitting(class, replicas);
            let candidate = |at| Candidate::new(at, is_fast(at), costs, replicas);
            CandidateList::new(fitting.map(candidate).collect(), replicas.len())
        })
    }

    /// Updates a replica that has one more run, and removes it from the lists of the models that it
    /// has no slot for any more.
    pub(crate) fn update(
        &mut self,
        replica: usize,
        costs: &ReplicaCosts,
        replicas: &[ReplicaView],
    ) {
        for ((model, ..), list) in &mut self.by_class {
            let has_slot = replicas[replica].engine.has_slot(*model);
            list.update(replica, |known| {
                has_slot.then(|| Candidate::new(replica, known.fast, costs, replicas))
            });
        }
    }
}

fn fitting(
    (model, min_version, only_version): Class,
    replicas: &[ReplicaView],
) -> impl Iterator<Item = usize> {
    let is_suitable =
        move |view: &ReplicaView| view.engine.can_run(model, min_version, only_version);
    let uses_foreign = !replicas
        .iter()
        .any(|view| !view.engine.foreign && is_suitable(view));
    let fits = move |at: &usize| {
        let view = &replicas[*at];
        (uses_foreign || !view.engine.foreign) && view.engine.has_slot(model) && is_suitable(view)
    };
    (0..replicas.len()).filter(fits)
}
