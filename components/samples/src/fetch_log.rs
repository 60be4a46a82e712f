//! Delivery to a trainer that can't carry a cursor: the same ledger, with the trainer's
//! cursor kept as records in the log.
//!
//! The trainer numbers its fetches 1, 2, 3 …, sends a fetch again until it has the reply,
//! and sends number n + 1 only after it holds reply n. One record a fetch says which slots
//! the reply holds. Every reader of the log comes to the same verdict: the first record of
//! the next number wins, any other is ignored. The cursor of fetch n is then the union of
//! the slots of all earlier fetches, and a repeated fetch gives the same slots. A reply is
//! released only after its record was read back; a lost append answer is repeated, since
//! the second copy is ignored.
//!
//! Cost against the cursor: one append a fetch. Ten trainers that fetch once a second
//! append 10 records/s of about half a kilobyte, against several hundred that the log takes. One
//! record a sample would be 10 * 2,048 in 11 minutes, 31 records/s, and was ruled out for
//! that and for the texts, which the log needn't hold: a slot whose text was lost is run
//! again and goes out under the same fetch. It adds an append and a read to each fetch
//! and waits through an outage of the log, where the cursor doesn't. Records expire with
//! the log's retention; a step has to end before that.
//!
//! Not wired yet: every trainer so far carries its cursor, and the training API takes
//! fetches with a cursor only.

use std::collections::BTreeMap;

use derive::wire;

use crate::codec;
use crate::cursor::Cursor;
use crate::slots::SlotSet;
use crate::step::{Step, StepDigest, StepKey};

/// One record in the log: the slots that answer one fetch.
#[wire]
pub struct Grant {
    /// The step.
    pub key: StepKey,
    /// Digest of the post.
    pub digest: StepDigest,
    /// Number of the fetch, from 1.
    pub fetch: u64,
    /// The slots, as an opaque text.
    pub slots: String,
}

/// What the log says of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GrantVerdict {
    /// It answers its fetch.
    Applied,
    /// Its fetch is answered by an earlier record, or it is of no use here.
    Ignored,
}

/// What a fetch may do now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchState {
    /// Its answer is fixed: exactly these slots, whenever they are ready.
    Granted {
        /// What the trainer has already.
        base: Cursor,
        /// What the reply holds.
        slots: SlotSet,
    },
    /// It is the next one: fetch from the ledger with this cursor, append the grant.
    Next {
        /// What the trainer has already.
        base: Cursor,
    },
    /// A number further on: the log was not read far enough, or the trainer jumped.
    Ahead {
        /// The next number.
        next: u64,
    },
}

/// The records of one step, in the log's order.
#[derive(Clone, Debug)]
pub struct FetchLog {
    start: Cursor,
    key: StepKey,
    granted: BTreeMap<u64, SlotSet>,
}

impl FetchLog {
    /// No record read yet.
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
        // A home that had not read far enough may grant a slot again.
        let base = self.cursor_before(grant.fetch);
        if slots.is_empty() || base.received().intersects(&slots) {
            return GrantVerdict::Ignored;
        }
        self.granted.insert(grant.fetch, slots);
        GrantVerdict::Applied
    }

    /// What fetch number `fetch` may do.
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

    /// The record that would answer fetch `fetch` with `slots`.
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
