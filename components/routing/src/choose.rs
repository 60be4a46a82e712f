//! The choice itself: a few random candidates, the cheapest wins.
//!
//! Candidates are a few draws from the entry's own failure domain, a few from all
//! replicas, and up to two replicas that hold the prompt's prefix. That is a constant number of scores, whatever the
//! number of replicas. Only when draws keep hitting excluded replicas are all scanned.

use quick_error::quick_error;
use types::{Cause, Failure, NodeId, WeightVersion};

use crate::counters::{Outstanding, Work};
use crate::ejection::{self, Outcome, Standing};
use crate::prefix::Matches;
use crate::random::Draws;
use crate::score::score;
use crate::settings::Policy;
use crate::table::{Slot, Table};

/// Draws for each candidate before it is given up.
const TRIES: usize = 3;
/// Most candidates that are compared.
const CANDIDATES_MAX: usize = 12;
/// Most replicas that are compared for their cached prefix.
const PREFIX_CANDIDATES: usize = 2;

/// What a call wants of its replica.
#[derive(Clone, Debug, Default)]
pub struct Ask<'a> {
    /// Its size.
    pub work: Work,
    /// Replicas that it has been sent to already.
    pub tried: &'a [NodeId],
    /// Lowest weight version that will do.
    pub at_least: Option<WeightVersion>,
    /// Whether it may probe a replica that failed before: only a call that may run again.
    pub may_probe: bool,
    /// Which replicas hold its prefix.
    pub prefix: Matches,
}

quick_error! {
    /// Why there is no replica for a call. It was not run.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum NoChoice {
        /// The service has no replica.
        Empty {
            display("the service has no replica")
        }
        /// Every replica is leaving.
        Leaving {
            display("every replica is leaving")
        }
        /// No replica has the wanted weight version.
        Version(wanted: WeightVersion) {
            display("no replica has weight version {} or later", wanted)
        }
        /// Every other replica has been tried.
        Tried {
            display("every replica has been tried")
        }
    }
}

impl From<NoChoice> for Failure {
    fn from(none: NoChoice) -> Failure {
        Failure::not_run(match none {
            NoChoice::Empty | NoChoice::Tried => Cause::NoEndpoint,
            NoChoice::Leaving => Cause::Leaving,
            NoChoice::Version(_) => Cause::Stale,
        })
    }
}

/// A replica for one call; holds the call's outstanding count until it is dropped.
#[derive(Debug)]
pub struct Choice {
    /// The replica.
    pub node: NodeId,
    /// Weight version that it answered with at its last status.
    pub weights: Option<WeightVersion>,
    /// Every replica that would do is ejected; this is one of them.
    pub last_resort: bool,
    /// The call's share of the counters.
    pub outstanding: Outstanding,
}

impl Choice {
    /// Ends the call and tells the present table what it says about the replica.
    pub fn finish(self, table: &Table, outcome: Outcome, now_ms: u64) {
        let probe = self.outstanding.is_probe();
        let health = &self.outstanding.counters().health;
        ejection::settle(table, health, probe, outcome, now_ms);
    }
}

/// Chooses a replica of `table` for a call; `random` decides between equals.
pub fn choose(table: &Table, ask: &Ask<'_>, random: u64, now_ms: u64) -> Result<Choice, NoChoice> {
    let mut chooser = Chooser {
        table,
        ask,
        now_ms,
        draws: Draws::new(random),
        candidates: [(0, 0.0); CANDIDATES_MAX],
        count: 0,
    };
    chooser.gather();
    if let Some(choice) = chooser.cheapest() {
        return Ok(choice);
    }
    chooser.last_resort()
}

struct Chooser<'a> {
    table: &'a Table,
    ask: &'a Ask<'a>,
    now_ms: u64,
    draws: Draws,
    /// Position and score.
    candidates: [(usize, f64); CANDIDATES_MAX],
    count: usize,
}

impl Chooser<'_> {
    fn gather(&mut self) {
        match self.table.settings().policy {
            Policy::Random => self.draw_from_all(1),
            Policy::LeastOutstanding => self.scan_for_least(),
            Policy::TwoChoices | Policy::TwoChoicesReport | Policy::ComputeMemory => {
                self.draw_candidates();
            }
        }
        if self.count == 0 {
            self.scan();
        }
    }

    fn draw_candidates(&mut self) {
        let near = self.table.near();
        let settings = self.table.settings();
        let (draws_near, draws_all) = (settings.draws_near, settings.draws_all);
        if near.is_empty() || near.len() == self.table.slots().len() {
            self.draw_from_all(draws_near + draws_all);
        } else {
            self.draw(draws_near, near.len(), |drawn| {
                near.get(drawn).map(|&at| at as usize)
            });
            self.draw_from_all(draws_all);
        }
        let holders = self.ask.prefix.iter().take(PREFIX_CANDIDATES);
        for held in holders {
            if let Some(position) = self.table.at_prefix(held.id) {
                self.offer(position);
            }
        }
    }

    fn draw_from_all(&mut self, wanted: usize) {
        let slots = self.table.slots().len();
        self.draw(wanted, slots, Some);
    }

    fn draw(&mut self, wanted: usize, bound: usize, position: impl Fn(usize) -> Option<usize>) {
        let goal = self.count + wanted;
        for _ in 0..wanted * TRIES {
            let drawn = self.draws.below(bound);
            if let Some(position) = position(drawn) {
                self.offer(position);
            }
            if self.count >= goal {
                return;
            }
        }
    }

    fn scan(&mut self) {
        let count = self.table.slots().len();
        let start = self.draws.below(count);
        for step in 0..count {
            self.offer((start + step) % count);
            if self.count == CANDIDATES_MAX {
                return;
            }
        }
    }

    fn scan_for_least(&mut self) {
        let count = self.table.slots().len();
        let start = self.draws.below(count);
        let positions = (0..count).map(|step| (start + step) % count);
        let costs = positions.filter_map(|at| self.cost(at).map(|cost| (at, cost)));
        let least = costs.min_by(|a, b| a.1.total_cmp(&b.1));
        if let (Some(least), Some(first)) = (least, self.candidates.first_mut()) {
            *first = least;
            self.count = 1;
        }
    }

    fn offer(&mut self, position: usize) {
        let mut known = self.candidates.iter().take(self.count);
        if known.any(|&(at, _)| at == position) {
            return;
        }
        let Some(cost) = self.cost(position) else {
            return;
        };
        if let Some(free) = self.candidates.get_mut(self.count) {
            *free = (position, cost);
            self.count += 1;
        }
    }

    /// Score of the replica at `position`, if it will do.
    fn cost(&self, position: usize) -> Option<f64> {
        let slot = self.table.slots().get(position)?;
        if !self.will_do(slot) {
            return None;
        }
        let blocks = match slot.replica.prefix_id {
            Some(id) => self.ask.prefix.blocks_at(id),
            None => 0,
        };
        Some(score(self.table, slot, self.ask.work, blocks, self.now_ms))
    }

    fn will_do(&self, slot: &Slot) -> bool {
        let standing = slot.counters.health.standing(self.now_ms);
        let open = match standing {
            Standing::Open => true,
            Standing::HalfOpen => self.ask.may_probe,
            Standing::Ejected => false,
        };
        open && refusal(slot, self.ask).is_none()
    }

    /// The cheapest candidate that can still be taken.
    fn cheapest(&mut self) -> Option<Choice> {
        let candidates = self.candidates.get_mut(..self.count)?;
        candidates.sort_by(|a, b| a.1.total_cmp(&b.1));
        let candidates = self.candidates.iter().take(self.count);
        candidates
            .filter_map(|&(position, _)| self.table.slots().get(position))
            .find_map(|slot| self.take(slot))
    }

    fn take(&self, slot: &Slot) -> Option<Choice> {
        let probe = slot.counters.health.is_ejected();
        if probe && !slot.counters.health.begin_probe() {
            return None;
        }
        Some(self.choice(slot, probe, false))
    }

    /// Ejection is a suspicion: where all that would do are ejected, one of them is a
    /// better answer than a refusal.
    fn last_resort(&mut self) -> Result<Choice, NoChoice> {
        let slots = self.table.slots();
        let start = self.draws.below(slots.len());
        let (before, after) = slots.split_at(start);
        let mut refused = NoChoice::Empty;
        for slot in after.iter().chain(before) {
            match refusal(slot, self.ask) {
                None => return Ok(self.choice(slot, false, true)),
                Some(reason) => refused = nearer(refused, reason),
            }
        }
        Err(refused)
    }

    fn choice(&self, slot: &Slot, probe: bool, last_resort: bool) -> Choice {
        Choice {
            node: slot.replica.node,
            weights: slot.replica.weights,
            last_resort,
            outstanding: Outstanding::new(&slot.counters, self.ask.work, probe, self.now_ms),
        }
    }
}

fn refusal(slot: &Slot, ask: &Ask<'_>) -> Option<NoChoice> {
    if slot.replica.leaving {
        return Some(NoChoice::Leaving);
    }
    if let Some(wanted) = ask.at_least
        && slot.replica.weights < Some(wanted)
    {
        return Some(NoChoice::Version(wanted));
    }
    if ask.tried.contains(&slot.replica.node) {
        return Some(NoChoice::Tried);
    }
    None
}

/// Of two reasons, that of the replica which came nearer to being chosen.
fn nearer(one: NoChoice, other: NoChoice) -> NoChoice {
    let rank = |reason: &NoChoice| match reason {
        NoChoice::Empty => 0,
        NoChoice::Leaving => 1,
        NoChoice::Version(_) => 2,
        NoChoice::Tried => 3,
    };
    if rank(&other) > rank(&one) {
        other
    } else {
        one
    }
}
