//! Delivery to trainers that cannot store a cursor: the ledger is the same, and the cursor is
//! kept as records in the log.
//!
//! The trainer numbers its fetches 1, 2, 3 …, repeats a fetch until it has the reply, and
//! sends fetch n + 1 only after it has reply n. One record per fetch, the grant, lists the
//! slots of the reply. Every reader of the log accepts the same grants: the first record with
//! the next number is applied, and any other is ignored. The cursor of fetch n is the union
//! of the slots of all earlier fetches, so a repeated fetch returns the same slots. A reply is
//! sent only after its grant was read back from the log. An append whose response was lost
//! is repeated, since readers ignore the duplicate.
//!
//! Compared with the cursor, each fetch costs an append and a read of the log, and fetches
//! wait during an outage of the log. Ten trainers that fetch once per second append 10
//! records/s of about half a kilobyte; the log accepts several hundred per second. One record
//! per sample would be 10 * 2,048 records in 11 minutes, or 31 records/s, and would hold
//! texts that the log does not need: a slot whose text was lost is run again and returned
//! for the same fetch. Records expire with the log's retention, so a step has to end before
//! that.
//!
//! Not used by the training API, which accepts only fetches with a cursor: every trainer so
//! far stores its cursor.

use std::collections::BTreeMap;

use derive::wire;

use crate::codec;
use crate::cursor::Cursor;
use crate::slots::SlotSet;
use crate::step::{Step, StepDigest, StepKey};

/// One record in the log: the slots that answer one fetch.
#[wire]
pub struct Grant {
    /// Step that the fetch belongs to.
    pub key: StepKey,
    /// Digest of the post; a grant for another post is ignored.
    pub digest: StepDigest,
    /// Number of the fetch, starting at 1.
    pub fetch: u64,
    /// Slots of the reply, encoded as an opaque text.
    pub slots: String,
}

/// Result of applying a record of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantVerdict {
    /// The record determines the reply to its fetch.
    Applied,
    /// The record is a duplicate, malformed, out of sequence, or belongs to another post.
    Ignored,
}

/// State of a numbered fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchState {
    /// A record determines the reply: exactly these slots, as soon as all are finished.
    Granted {
        /// Cursor before the fetch: the slots of all earlier fetches.
        base: Cursor,
        /// Slots of the reply.
        slots: SlotSet,
    },
    /// The next fetch, without a record yet: fetch from the ledger with this cursor, then
    /// append the grant.
    Next {
        /// Cursor before the fetch: the slots of all earlier fetches.
        base: Cursor,
    },
    /// The number is invalid: 0, or beyond the next one because the log was not read far
    /// enough or the trainer skipped a number.
    Ahead {
        /// Number of the next fetch.
        next: u64,
    },
}

/// Grants of one step, applied in the order of the log.
#[derive(Clone, Debug)]
pub struct FetchLog {
    start: Cursor,
    key: StepKey,
    granted: BTreeMap<u64, SlotSet>,
}

impl FetchLog {
    /// Creates the state before any record of `step` was read.
    pub fn new(step: &Step) -> Self {
        Self {
            start: Cursor::start(step),
            key: step.key.clone(),
            granted: BTreeMap::new(),
        }
    }

    /// Applies the next record of the log.
    pub fn apply(&mut self, grant: &Grant) -> GrantVerdict {
        let is_same_post = grant.key == self.key && grant.digest == self.start.digest();
        if !is_same_post || grant.fetch != self.next_fetch() {
            return GrantVerdict::Ignored;
        }
        let total = self.start.received().total();
        let packed = codec::from_text(&grant.slots);
        let Some(slots) = packed.and_then(|packed| codec::unpack(total, &packed)) else {
            return GrantVerdict::Ignored;
        };
        // A home that had not read all earlier records may grant a slot a second time.
        let base = self.cursor_before(grant.fetch);
        if slots.is_empty() || base.received().intersects(&slots) {
            return GrantVerdict::Ignored;
        }
        self.granted.insert(grant.fetch, slots);
        GrantVerdict::Applied
    }

    /// The state of fetch number `fetch`.
    pub fn fetch_state(&self, fetch: u64) -> FetchState {
        let next = self.next_fetch();
        if fetch > next || fetch == 0 {
            return FetchState::Ahead { next };
        }
        let base = self.cursor_before(fetch);
        match self.granted.get(&fetch) {
            Some(slots) => FetchState::Granted {
                base,
                slots: slots.clone(),
            },
            None => FetchState::Next { base },
        }
    }

    /// Creates the record that answers fetch `fetch` with `slots`. The caller appends it.
    pub fn grant(&self, fetch: u64, slots: &SlotSet) -> Grant {
        Grant {
            key: self.key.clone(),
            digest: self.start.digest(),
            fetch,
            slots: codec::to_text(&codec::pack(slots)),
        }
    }

    fn next_fetch(&self) -> u64 {
        self.granted
            .last_key_value()
            .map_or(1, |(&last, _)| last + 1)
    }

    fn cursor_before(&self, fetch: u64) -> Cursor {
        let earlier = self.granted.range(..fetch);
        earlier.fold(self.start.clone(), |base, (_, slots)| {
            base.with_received(slots.iter())
        })
    }
}
