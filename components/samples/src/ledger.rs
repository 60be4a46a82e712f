//! Tracks the slots and runs of one step at its home entry.
//!
//! A slot moves from pending to running, to scoring if the service has a scorer, and to
//! finished. A fetch offers finished samples, and the trainer's next cursor lists the
//! samples that have arrived. Only the cursor decides which samples are still owed. The
//! ledger may therefore be lost, rebuilt from a copy or held by two entries: the cost is
//! additional runs, never a lost or duplicated sample. A finished sample stays bound to its
//! slot until it exceeds the staleness bound, so a repeated fetch returns the same sample.
//!
//! Staleness is checked twice. A fetch checks it against the trainer's own version, and
//! that result is authoritative. Before the fetch, the ledger assumes that the trainer
//! will fetch with the newest announced version, and abandons samples and runs that would
//! be too stale by then. Their replacements are then running before the trainer fetches.

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

/// Slots, runs and samples of one step.
#[derive(Clone, Debug)]
pub struct Ledger {
    step: Arc<Step>,
    settings: LedgerSettings,
    slots: Vec<SlotState>,
    pending: BTreeSet<u32>,
    runs: BTreeMap<RunId, Run>,
    /// Samples that wait for their score, keyed by the run that generated them.
    scoring: BTreeMap<RunId, ScoreWait>,
    scores_done: u64,
    /// Newest version that the trainer has announced or named in a post or fetch.
    newest_version: WeightVersion,
    /// When the trainer's next announcement is expected.
    next_announcement_ms: Option<u64>,
    received: SlotSet,
    run_timings: RunTimings,
    tally: Tally,
    actions: Vec<Action>,
    next_run: u64,
    /// When the trainer last fetched.
    fetched_ms: Option<u64>,
    /// When the second home was last notified of a fetch.
    notified_ms: Option<u64>,
    /// A reply offered the last missing slots, and no later cursor shows that the reply was
    /// lost.
    offered_all: bool,
}

/// Low bits of a run's number, which count within one ledger. The high bits hold the
/// ledger's number.
const RUN_NUMBER_BITS: u32 = 32;

impl Ledger {
    /// Creates the ledger of a posted step. `cursor` lists the slots that the trainer already
    /// has, and `trainer_version` is the version in the post.
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

    /// Gives the ledger its own range of run numbers. A step that is dropped and posted again
    /// in the same process gets a second ledger. With a shared range, a late result or score
    /// of a run of the first ledger would be bound to a run of the second, which may have
    /// another prompt.
    pub fn with_number_range(mut self, ledger: u32) -> Self {
        self.next_run = u64::from(ledger) << RUN_NUMBER_BITS | 1;
        self
    }

    /// Replaces the ledger of another post of the step. The cancellations of the old
    /// ledger's runs are added to this ledger's actions.
    pub(crate) fn replace(&mut self, mut old: Ledger) {
        old.cancel_all();
        self.actions.extend(old.take_actions());
    }

    /// When the trainer last fetched from this ledger.
    pub(crate) fn fetched_ms(&self) -> Option<u64> {
        self.fetched_ms
    }

    /// Records that a reply, from this home or the other one, offered the last missing slots.
    pub(crate) fn mark_all_offered(&mut self) {
        self.offered_all = true;
    }

    /// Whether the trainer has every slot or was offered the last missing ones.
    pub(crate) fn is_done(&self) -> bool {
        self.offered_all || self.is_complete()
    }

    /// Applies the staleness bound and the scoring mode of a newer configuration. Slots whose
    /// samples exceed the new bound are run again.
    pub fn configure(&mut self, settings: &LedgerSettings) {
        let stricter = settings.staleness_bound < self.settings.staleness_bound;
        self.settings.staleness_bound = settings.staleness_bound;
        self.set_scored(settings.scored);
        if stricter {
            self.abandon_stale_samples();
        }
    }

    /// The posted step that this ledger serves.
    pub fn step(&self) -> &Arc<Step> {
        &self.step
    }

    /// Counts of runs, failures and staleness since the ledger was created.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// Slots that the trainer has according to its last cursor.
    pub fn received(&self) -> &SlotSet {
        &self.received
    }

    /// Whether the trainer has every slot according to its last cursor.
    pub fn is_complete(&self) -> bool {
        self.received.is_full()
    }

    /// Number of slots whose call was refused as quarantined. They are retried at the long
    /// interval [`LedgerSettings::blocked_retry_ms`], and the step's status shows the count.
    pub fn blocked(&self) -> u32 {
        self.slots.iter().filter(|slot| slot.is_blocked).count() as u32
    }

    /// Returns and clears the actions that events have caused since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Records that the trainer announced a version. `next_announcement_ms` is the expected
    /// time of the next announcement, if the trainer announces at a regular interval.
    /// Abandons finished samples and runs that exceed the staleness bound.
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

    /// The post and every finished sample, as messages for a new second home. `cursor` is the
    /// trainer's sealed cursor, unchanged. `unused_ms` is the time since the trainer last
    /// posted or fetched the step.
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

    /// Binds a sample that the other home finished and cancels the slot's runs here. A
    /// sample that this ledger has already bound stays, since it may have been offered.
    pub fn adopt(&mut self, sample: &Arc<Sample>) {
        let Some(position) = self.step.position(sample.slot) else {
            return;
        };
        let is_settled = matches!(self.phase(position), Phase::Finished(_) | Phase::Idle);
        let lacks_score = self.settings.scored && sample.score.is_none();
        if is_settled || lacks_score || !self.is_fresh(sample) {
            return;
        }
        self.cancel_slot(position);
        self.slot_mut(position).phase = Phase::Finished(Arc::clone(sample));
    }

    /// Cancels all runs and pending scores, because the step is dropped.
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

    /// Whether the sample is within the staleness bound at the newest known version.
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

    /// Binds a finished sample to its slot and sends a copy to the second home.
    fn bind(&mut self, position: u32, sample: Arc<Sample>) {
        let copy = self.finished_copy(&sample);
        self.actions.push(Action::Copy(copy));
        self.slot_mut(position).phase = Phase::Finished(sample);
    }

    /// Cancels the slot's runs and its pending score, and takes it out of the queue.
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

    /// Queues a slot for a new sample with another seed.
    fn requeue(&mut self, position: u32, not_before_ms: u64) {
        self.cancel_slot(position);
        let slot = self.slot_mut(position);
        slot.phase = Phase::Pending;
        slot.partial = None;
        slot.attempt += 1;
        slot.not_before_ms = not_before_ms;
        self.pending.insert(position);
    }

    /// Abandons the samples that exceed the staleness bound, unless the last missing slots
    /// were offered. A trainer that has the whole step does not fetch again, so its last
    /// cursor never arrives here, and each new version would cause useless runs. The samples
    /// stay until a cursor shows that the last reply was lost.
    fn abandon_stale_samples(&mut self) {
        if self.offered_all {
            return;
        }
        let is_stale = |sample: &Sample| !self.is_fresh(sample);
        let stale_position = |position: &u32| match self.phase(*position) {
            Phase::Finished(sample) => is_stale(sample),
            _ => false,
        };
        let stale_wait = |wait: &ScoreWait| is_stale(&wait.sample).then_some(wait.position);
        let missing = self.received.missing().filter(stale_position);
        let stale: Vec<u32> = missing
            .chain(self.scoring.values().filter_map(stale_wait))
            .collect();
        for position in stale {
            self.abandon(position);
        }
    }

    fn abandon(&mut self, position: u32) {
        self.tally.abandoned += 1;
        self.requeue(position, 0);
    }
}
