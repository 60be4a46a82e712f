//! Replies to the trainer's fetches.

use std::sync::Arc;

use derive::value;
use quick_error::quick_error;
use types::WeightVersion;

use super::Ledger;
use super::state::{Action, Phase, SlotState};
use crate::copy::CopyMessage;
use crate::cursor::Cursor;
use crate::sample::Sample;
use crate::slots::SlotSet;
use crate::step::Step;

/// Minimum interval between two notifications of the second home that the trainer fetches.
/// Far below the idle time after which the second home drops the step.
const FETCH_NOTICE_INTERVAL_MS: u64 = 60_000;
/// Maximum size of the texts of one reply. A reply must fit into a message between entries
/// even if JSON escapes every byte as six. A larger single sample is still returned.
const REPLY_BYTES_MAX: usize = 4 << 20;

quick_error! {
    /// Why a fetch is refused.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum FetchError {
        /// The cursor's digest is that of another post of the step.
        OtherPost {
            display("the cursor belongs to another post than the step held here")
        }
        /// An operator has rolled the model back, and the trainer's version is of an earlier
        /// epoch. Carries the newest version.
        StaleEpoch(current: WeightVersion) {
            display("the model was rolled back; version {} is in force", current)
        }
    }
}

/// A sample of a reply.
#[value]
pub struct Offer {
    /// Sample within the staleness bound.
    pub sample: Arc<Sample>,
    /// Number of versions that the sample lags behind the trainer.
    pub staleness: u64,
}

/// Reply to a fetch. The trainer must store the samples and the cursor together.
#[value]
pub struct Reply {
    /// Samples of slots that the fetch's cursor lists as missing.
    pub samples: Vec<Offer>,
    /// Cursor for the trainer's next fetch, with the slots of these samples as received.
    pub cursor: Cursor,
    /// Number of slots that the new cursor lists as received.
    pub received: u32,
    /// Number of slots of the step.
    pub total: u32,
    /// Whether the new cursor lists every slot as received.
    pub complete: bool,
}

impl Reply {
    /// Positions of the samples' slots in `step`.
    pub fn slots(&self, step: &Step) -> SlotSet {
        let mut slots = SlotSet::new(step.total());
        let positions = self
            .samples
            .iter()
            .filter_map(|offer| step.position(offer.sample.slot));
        positions.for_each(|position| {
            slots.insert(position);
        });
        slots
    }
}

impl Ledger {
    /// Returns up to `max` samples that the cursor lists as missing and that are within the
    /// staleness bound at the trainer's own version. Groups that become complete go first.
    /// Samples over the bound are abandoned and their slots run again. A cursor older than the
    /// last one is valid: a trainer that restored a checkpoint gets the samples again that it
    /// no longer has.
    pub fn fetch(
        &mut self,
        cursor: &Cursor,
        trainer_version: WeightVersion,
        max: u32,
        now_ms: u64,
    ) -> Result<Reply, FetchError> {
        let ready = self.prepare_fetch(cursor, trainer_version, now_ms)?;
        let positions = self.choose_slots(&ready, max);
        Ok(self.reply(cursor, &positions, trainer_version, now_ms))
    }

    /// Returns exactly these slots, or `None` until all of them are finished. For a fetch whose
    /// slots are fixed by a record in the log (see [`crate::FetchLog`]).
    pub fn fetch_granted(
        &mut self,
        base: &Cursor,
        slots: &SlotSet,
        trainer_version: WeightVersion,
        now_ms: u64,
    ) -> Result<Option<Reply>, FetchError> {
        let ready = self.prepare_fetch(base, trainer_version, now_ms)?;
        let positions: Vec<u32> = slots.iter().collect();
        if !positions.iter().all(|&position| ready.contains(position)) {
            return Ok(None);
        }
        Ok(Some(self.reply(base, &positions, trainer_version, now_ms)))
    }

    fn prepare_fetch(
        &mut self,
        cursor: &Cursor,
        trainer_version: WeightVersion,
        now_ms: u64,
    ) -> Result<SlotSet, FetchError> {
        if cursor.digest() != self.step.digest() {
            return Err(FetchError::OtherPost);
        }
        if trainer_version.epoch < self.newest_version.epoch {
            return Err(FetchError::StaleEpoch(self.newest_version));
        }
        self.fetched_ms = Some(now_ms);
        self.apply_cursor(cursor);
        self.announce(trainer_version, None, now_ms);
        Ok(self.ready_slots(trainer_version))
    }

    /// Updates the slots to the trainer's cursor: drops the work for slots that it has
    /// received, and queues slots again that it turns out to miss.
    pub(crate) fn apply_cursor(&mut self, cursor: &Cursor) {
        let received = cursor.received();
        for position in received.iter() {
            self.record_arrival(position);
        }
        for position in received.missing() {
            if *self.phase(position) == Phase::Idle {
                self.requeue(position, 0);
            }
        }
        self.received = received.clone();
        if std::mem::take(&mut self.offered_all) {
            self.notified_ms = None;
            self.request_missing_scores();
            self.abandon_stale_samples();
        }
    }

    fn record_arrival(&mut self, position: u32) {
        if let Some(staleness) = self.slot_mut(position).offered_staleness.take() {
            self.tally.staleness.record(staleness);
        }
        // The other home delivered the sample, so runs of the slot here are useless.
        if !matches!(self.phase(position), Phase::Finished(_) | Phase::Idle) {
            self.cancel_slot(position);
            self.slot_mut(position).phase = Phase::Idle;
        }
    }

    /// Missing slots whose sample is within the staleness bound at the trainer's version.
    /// Samples over the bound are abandoned.
    fn ready_slots(&mut self, trainer_version: WeightVersion) -> SlotSet {
        let mut ready = SlotSet::new(self.step.total());
        let missing: Vec<u32> = self.received.missing().collect();
        for position in missing {
            let Some(sample) = self.slots[position as usize].finished() else {
                continue;
            };
            let lag = sample.staleness(trainer_version);
            if lag.is_some_and(|lag| lag <= self.settings.staleness_bound) {
                ready.insert(position);
            } else {
                self.abandon(position);
            }
        }
        ready
    }

    /// Positions to offer: first those of groups that become complete, then the others.
    fn choose_slots(&self, ready: &SlotSet, max: u32) -> Vec<u32> {
        let is_available =
            |position: u32| ready.contains(position) || self.received.contains(position);
        let groups = 0..self.step.groups.len() as u32;
        let positions = |group: &u32| self.step.group_positions(*group);
        let (completable, incomplete): (Vec<u32>, Vec<u32>) =
            groups.partition(|group| positions(group).all(is_available));
        let ordered = completable.iter().chain(&incomplete).flat_map(positions);
        let mut chosen = Vec::new();
        let mut bytes = 0;
        for position in ordered.filter(|&position| ready.contains(position)) {
            let sample = self.slots[position as usize].finished();
            bytes += sample.map_or(0, |sample| sample.text.len());
            let fits = bytes <= REPLY_BYTES_MAX || chosen.is_empty();
            if !fits || chosen.len() >= max as usize {
                break;
            }
            chosen.push(position);
        }
        chosen
    }

    fn reply(
        &mut self,
        cursor: &Cursor,
        positions: &[u32],
        trainer_version: WeightVersion,
        now_ms: u64,
    ) -> Reply {
        let offer = |&position: &u32| offer(self.slot_mut(position), trainer_version);
        let samples = positions.iter().filter_map(offer).collect();
        let cursor = cursor.with_received(positions.iter().copied());
        let received = cursor.received().len();
        self.offered_all = received == self.step.total();
        self.notify_second_home(now_ms);
        Reply {
            samples,
            received,
            total: self.step.total(),
            complete: received == self.step.total(),
            cursor,
        }
    }
}

impl Ledger {
    /// Notifies the second home of a fetch, so that it does not drop a step in use and does not
    /// run slots that the trainer already has.
    fn notify_second_home(&mut self, now_ms: u64) {
        let recently = |notified_ms| now_ms.saturating_sub(notified_ms) < FETCH_NOTICE_INTERVAL_MS;
        if !self.offered_all && self.notified_ms.is_some_and(recently) {
            return;
        }
        self.notified_ms = Some(now_ms);
        self.actions.push(Action::Copy(CopyMessage::Fetched {
            key: self.step.key.clone(),
            digest: self.step.digest(),
            complete: self.offered_all,
        }));
    }
}

fn offer(slot: &mut SlotState, trainer_version: WeightVersion) -> Option<Offer> {
    let sample = Arc::clone(slot.finished()?);
    let staleness = sample.staleness(trainer_version)?;
    slot.offered_staleness = Some(staleness);
    Some(Offer { sample, staleness })
}
