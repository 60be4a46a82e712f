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
    newest_version: WeightVersion,
    /// When its next announcement is expected.
    next_announcement_ms: Option<u64>,
    received: SlotSet,
    run_timings: RunTimings,
    tally: Tally,
    actions: Vec<Action>,
    next_run: u64,
    /// When the trainer last fetched.
    fetched_ms: Option<u64>,
    /// When the second home was last told so.
    notified_ms: Option<u64>,
    /// A reply gave the last missing slots, and no cursor since says that it was lost.
    offered_all: bool,
}

/// Bits of a run's number that count within one ledger.
const RUN_NUMBER_BITS: u32 = 32;

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
        let phase = |position| match received.contains(position) {
            true => Phase::Idle,
            false => Phase::Pending,
        };
        let slots = (0..step.total()).map(|position| SlotState::new(phase(position)));
        Self {
            slots: slots.collect(),
            step,
            settings,
            pending,
            runs: BTreeMap::new(),
            scoring: BTreeMap::new(),
            scores_done: 0,
            newest_version: trainer_version,
            next_announcement_ms: None,
            received,
            run_timings: RunTimings::default(),
            tally: Tally::default(),
            actions: Vec::new(),
            next_run: 1,
            fetched_ms: None,
            notified_ms: None,
            offered_all: false,
        }
    }

    /// Gives the ledger a range of run numbers of its own. A step that is dropped and posted
    /// again in one process gets another ledger; a late result or score of the first one
    /// would else be taken for that of a run of the second, for another prompt.
    pub fn with_number_range(mut self, ledger: u32) -> Self {
        self.next_run = u64::from(ledger) << RUN_NUMBER_BITS | 1;
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
    pub(crate) fn mark_all_offered(&mut self) {
        self.offered_all = true;
    }

    /// Whether the trainer has every slot, or was given the last of them.
    pub(crate) fn is_done(&self) -> bool {
        self.offered_all || self.is_complete()
    }

    /// Takes the bounds of a newer configuration; samples that it no longer allows are run
    /// again.
    pub fn configure(&mut self, settings: &LedgerSettings) {
        let stricter = settings.staleness_bound < self.settings.staleness_bound;
        self.settings.staleness_bound = settings.staleness_bound;
        self.set_scored(settings.scored);
        if stricter {
            self.abandon_stale_samples();
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
        self.slots.iter().filter(|slot| slot.is_blocked).count() as u32
    }

    /// Takes the actions that events have brought about since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The trainer announced a version, and announces the next one at about
    /// `next_news_ms` if it keeps a rhythm. Finished samples and runs that will be too old are given up.
    pub fn announce(
        &mut self,
        version: WeightVersion,
        next_announcement_ms: Option<u64>,
        now_ms: u64,
    ) {
        self.next_announcement_ms = next_announcement_ms.or(self.next_announcement_ms);
        if version <= self.newest_version {
            return;
        }
        self.newest_version = version;
        self.abandon_stale_samples();
        self.plan_for_swap(now_ms);
    }

    /// Everything that a new second home needs; the cursor is passed on as it came.
    /// `unused_ms` is how long ago the trainer last asked for the step.
    pub fn copies(&self, cursor: Option<String>, unused_ms: u64) -> Vec<CopyMessage> {
        let post = CopyMessage::Post {
            step: Arc::clone(&self.step),
            cursor,
            trainer_version: self.newest_version,
            unused_ms,
        };
        let samples = self.slots.iter().filter_map(SlotState::finished);
        let finished = samples.map(|sample| self.finished_copy(sample));
        std::iter::once(post).chain(finished).collect()
    }

    /// Takes a sample that the other home finished. One's own finished sample stays,
    /// since it may have been offered; what was in progress here is cancelled.
    pub fn adopt(&mut self, sample: &Arc<Sample>) {
        let Some(position) = self.step.position(sample.slot) else {
            return;
        };
        let is_settled = matches!(self.phase(position), Phase::Finished(_) | Phase::Idle);
        let unscored = self.settings.scored && sample.score.is_none();
        if is_settled || unscored || !self.is_fresh(sample) {
            return;
        }
        self.cancel_slot(position);
        self.slot_mut(position).phase = Phase::Finished(Arc::clone(sample));
    }

    /// The step is dropped: cancels what is in progress.
    pub fn cancel_all(&mut self) {
        for position in 0..self.step.total() {
            self.cancel_slot(position);
            let slot = self.slot_mut(position);
            if slot.finished().is_none() {
                slot.phase = Phase::Idle;
            }
        }
    }

    fn phase(&self, position: u32) -> &Phase {
        &self.slots[position as usize].phase
    }

    fn slot_mut(&mut self, position: u32) -> &mut SlotState {
        &mut self.slots[position as usize]
    }

    /// Whether the sample is young enough for the newest version known.
    fn is_fresh(&self, sample: &Sample) -> bool {
        let lag = staleness(&sample.versions, self.newest_version);
        lag.is_some_and(|lag| lag <= self.settings.staleness_bound)
    }

    fn finished_copy(&self, sample: &Arc<Sample>) -> CopyMessage {
        CopyMessage::Finished {
            key: self.step.key.clone(),
            digest: self.step.digest(),
            sample: Arc::clone(sample),
        }
    }

    /// Binds a finished sample to its slot and tells the second home.
    fn bind(&mut self, position: u32, sample: Arc<Sample>) {
        let copy = self.finished_copy(&sample);
        self.actions.push(Action::Copy(copy));
        self.slot_mut(position).phase = Phase::Finished(sample);
    }

    /// Stops everything in progress for a slot.
    fn cancel_slot(&mut self, position: u32) {
        self.pending.remove(&position);
        let runs = std::mem::take(&mut self.slot_mut(position).runs);
        for run in runs {
            self.runs.remove(&run);
            self.actions.push(Action::Cancel { run });
        }
        if *self.phase(position) == Phase::Scoring {
            self.scoring.retain(|_, wait| wait.position != position);
        }
    }

    /// Puts a slot back to the start, with another seed.
    fn requeue(&mut self, position: u32, not_before_ms: u64) {
        self.cancel_slot(position);
        let slot = self.slot_mut(position);
        slot.phase = Phase::Pending;
        slot.partial = None;
        slot.attempt += 1;
        slot.not_before_ms = not_before_ms;
        self.pending.insert(position);
    }

    /// A trainer that has the whole step fetches no more, and its last cursor never comes.
    /// Its samples would get too old with each version and be run again for nobody; they
    /// stay until a cursor says that the last reply was lost.
    fn abandon_stale_samples(&mut self) {
        if self.offered_all {
            return;
        }
        let is_stale = |sample: &Sample| !self.is_fresh(sample);
        let held = |position: &u32| match self.phase(*position) {
            Phase::Finished(sample) => is_stale(sample),
            _ => false,
        };
        let scored = |wait: &ScoreWait| is_stale(&wait.sample).then_some(wait.position);
        let missing = self.received.missing().filter(held);
        let old: Vec<u32> = missing
            .chain(self.scoring.values().filter_map(scored))
            .collect();
        for position in old {
            self.abandon(position);
        }
    }

    fn abandon(&mut self, position: u32) {
        self.tally.abandoned += 1;
        self.requeue(position, 0);
    }
}
