//! The ledger of a step at its home entry.
//!
//! A slot goes from pending over running (and scoring) to finished; a fetch offers what
//! is finished and the trainer's next cursor says what has arrived. Only the cursor
//! decides what is owed, so the ledger may be lost, rebuilt from a copy or held twice:
//! that costs runs, never a lost or doubled sample. A finished sample stays bound to its
//! slot until it is too old, so the same fetch brings the same sample again.
//!
//! Age is judged twice. A fetch judges by the trainer's own version, which is what counts.
//! Before that the ledger assumes that the trainer will fetch with the newest version
//! announced, and gives up samples and runs that would be too old by then, so that their
//! replacements are under way before the trainer asks.

mod dispatch;
mod fetch;
mod runs;
mod scores;
mod state;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use types::WeightVersion;

use crate::copy::CopyMessage;
use crate::cursor::Cursor;
use crate::sample::{Sample, staleness};
use crate::slots::SlotSet;
use crate::step::Step;
use crate::straggler::RunTimings;
use crate::tally::Tally;
use state::{Phase, Run, ScoreWait, SlotState};

pub use fetch::{FetchError, Offer, Reply};
pub use state::{
    Action, Completion, Fault, LedgerSettings, PartialSample, Replica, RetryBackoff, RunCapacity,
    RunId, Start,
};

/// State of one step.
#[derive(Clone, Debug)]
pub struct Ledger {
    step: Arc<Step>,
    settings: LedgerSettings,
    slots: Vec<SlotState>,
    pending: BTreeSet<u32>,
    runs: BTreeMap<RunId, Run>,
    /// Samples that wait for their score, by the run that made them.
    scoring: BTreeMap<RunId, ScoreWait>,
    scores_done: u64,
    /// Newest version that the trainer is known to have.
    newest: WeightVersion,
    /// When its next announcement is expected.
    next_news_ms: Option<u64>,
    received: SlotSet,
    pace: RunTimings,
    tally: Tally,
    actions: Vec<Action>,
    next_run: u64,
    /// When the trainer last fetched.
    fetched_ms: Option<u64>,
    /// When the second home was last told so.
    told_ms: Option<u64>,
    /// A reply gave the last missing slots, and no cursor since says that it was lost.
    offered_whole: bool,
}

/// Bits of a run's number that count within one ledger.
const RUN_BITS: u32 = 32;

impl Ledger {
    /// A step that was just posted, with what its trainer has already and the version
    /// that it named.
    pub fn new(
        step: Arc<Step>,
        settings: LedgerSettings,
        cursor: &Cursor,
        trainer_version: WeightVersion,
    ) -> Self {
        let received = cursor.received().clone();
        let pending: BTreeSet<u32> = received.missing().collect();
        let phase = |place| match received.contains(place) {
            true => Phase::Idle,
            false => Phase::Pending,
        };
        let slots = (0..step.total()).map(|place| SlotState::new(phase(place)));
        Self {
            slots: slots.collect(),
            step,
            settings,
            pending,
            runs: BTreeMap::new(),
            scoring: BTreeMap::new(),
            scores_done: 0,
            newest: trainer_version,
            next_news_ms: None,
            received,
            pace: RunTimings::default(),
            tally: Tally::default(),
            actions: Vec::new(),
            next_run: 1,
            fetched_ms: None,
            told_ms: None,
            offered_whole: false,
        }
    }

    /// Gives the ledger a range of run numbers of its own. A step that is dropped and posted
    /// again in one process gets another ledger; a late result or score of the first one
    /// would else be taken for that of a run of the second, for another prompt.
    pub fn with_number_range(mut self, ledger: u32) -> Self {
        self.next_run = u64::from(ledger) << RUN_BITS | 1;
        self
    }

    /// Takes the place of the ledger of another post: what that one has in progress is
    /// cancelled with this one's actions.
    pub(crate) fn replace(&mut self, mut old: Ledger) {
        old.cancel_all();
        self.actions.extend(old.take_actions());
    }

    /// When the trainer last fetched from this ledger.
    pub(crate) fn fetched_ms(&self) -> Option<u64> {
        self.fetched_ms
    }

    /// A reply, here or at the other home, gave the last missing slots.
    pub(crate) fn hand_over(&mut self) {
        self.offered_whole = true;
    }

    /// Whether the trainer has every slot, or was given the last of them.
    pub(crate) fn is_done(&self) -> bool {
        self.offered_whole || self.is_complete()
    }

    /// Takes the bounds of a newer configuration; samples that it no longer allows are run
    /// again.
    pub fn configure(&mut self, settings: &LedgerSettings) {
        let stricter = settings.staleness_bound < self.settings.staleness_bound;
        self.settings.staleness_bound = settings.staleness_bound;
        self.set_scored(settings.scored);
        if stricter {
            self.give_up_old_samples();
        }
    }

    /// The step.
    pub fn step(&self) -> &Arc<Step> {
        &self.step
    }

    /// Counts so far.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Slots that the trainer is known to have.
    pub fn received(&self) -> &SlotSet {
        &self.received
    }

    /// Whether the trainer is known to have every slot.
    pub fn is_complete(&self) -> bool {
        self.received.is_full()
    }

    /// Slots whose runs have been refused for good by every endpoint that was asked;
    /// they are tried again at long intervals, and the trainer is told of them.
    pub fn blocked(&self) -> u32 {
        self.slots.iter().filter(|slot| slot.blocked).count() as u32
    }

    /// Takes the actions that events have brought about since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The trainer announced a version, and announces the next one at about
    /// `next_news_ms` if it keeps a rhythm. Finished samples and runs that will be too old are given up.
    pub fn announce(&mut self, version: WeightVersion, next_news_ms: Option<u64>, now_ms: u64) {
        self.next_news_ms = next_news_ms.or(self.next_news_ms);
        if version <= self.newest {
            return;
        }
        self.newest = version;
        self.give_up_old_samples();
        self.plan_swap(now_ms);
    }

    /// Everything that a new second home needs; the cursor is passed on as it came.
    /// `unused_ms` is how long ago the trainer last asked for the step.
    pub fn copies(&self, cursor: Option<String>, unused_ms: u64) -> Vec<CopyMessage> {
        let post = CopyMessage::Post {
            step: Arc::clone(&self.step),
            cursor,
            trainer_version: self.newest,
            unused_ms,
        };
        let samples = self.slots.iter().filter_map(SlotState::finished);
        let finished = samples.map(|sample| self.copy_of(sample));
        std::iter::once(post).chain(finished).collect()
    }

    /// Takes a sample that the other home finished. One's own finished sample stays,
    /// since it may have been offered; what was in progress here is cancelled.
    pub fn adopt(&mut self, sample: &Arc<Sample>) {
        let Some(place) = self.step.position(sample.slot) else {
            return;
        };
        let settled = matches!(self.phase(place), Phase::Finished(_) | Phase::Idle);
        let unscored = self.settings.scored && sample.score.is_none();
        if settled || unscored || !self.keeps(sample) {
            return;
        }
        self.release(place);
        self.slot_mut(place).phase = Phase::Finished(Arc::clone(sample));
    }

    /// The step is dropped: cancels what is in progress.
    pub fn cancel_all(&mut self) {
        for place in 0..self.step.total() {
            self.release(place);
            let slot = self.slot_mut(place);
            if slot.finished().is_none() {
                slot.phase = Phase::Idle;
            }
        }
    }

    fn phase(&self, place: u32) -> &Phase {
        &self.slots[place as usize].phase
    }

    fn slot_mut(&mut self, place: u32) -> &mut SlotState {
        &mut self.slots[place as usize]
    }

    /// Whether the sample is young enough for the newest version known.
    fn keeps(&self, sample: &Sample) -> bool {
        let lag = staleness(&sample.versions, self.newest);
        lag.is_some_and(|lag| lag <= self.settings.staleness_bound)
    }

    fn copy_of(&self, sample: &Arc<Sample>) -> CopyMessage {
        CopyMessage::Finished {
            key: self.step.key.clone(),
            digest: self.step.digest(),
            sample: Arc::clone(sample),
        }
    }

    /// Binds a finished sample to its slot and tells the second home.
    fn bind(&mut self, place: u32, sample: Arc<Sample>) {
        let copy = self.copy_of(&sample);
        self.actions.push(Action::Copy(copy));
        self.slot_mut(place).phase = Phase::Finished(sample);
    }

    /// Stops everything in progress for a slot.
    fn release(&mut self, place: u32) {
        self.pending.remove(&place);
        let runs = std::mem::take(&mut self.slot_mut(place).runs);
        for run in runs {
            self.runs.remove(&run);
            self.actions.push(Action::Cancel { run });
        }
        if *self.phase(place) == Phase::Scoring {
            self.scoring.retain(|_, wait| wait.place != place);
        }
    }

    /// Puts a slot back to the start, with another seed.
    fn run_again(&mut self, place: u32, not_before_ms: u64) {
        self.release(place);
        let slot = self.slot_mut(place);
        slot.phase = Phase::Pending;
        slot.partial = None;
        slot.attempt += 1;
        slot.not_before_ms = not_before_ms;
        self.pending.insert(place);
    }

    /// A trainer that has the whole step fetches no more, and its last cursor never comes.
    /// Its samples would get too old with each version and be run again for nobody; they
    /// stay until a cursor says that the last reply was lost.
    fn give_up_old_samples(&mut self) {
        if self.offered_whole {
            return;
        }
        let is_old = |sample: &Sample| !self.keeps(sample);
        let held = |place: &u32| match self.phase(*place) {
            Phase::Finished(sample) => is_old(sample),
            _ => false,
        };
        let scored = |wait: &ScoreWait| is_old(&wait.sample).then_some(wait.place);
        let missing = self.received.missing().filter(held);
        let old: Vec<u32> = missing
            .chain(self.scoring.values().filter_map(scored))
            .collect();
        for place in old {
            self.abandon(place);
        }
    }

    fn abandon(&mut self, place: u32) {
        self.tally.abandoned += 1;
        self.run_again(place, 0);
    }
}
