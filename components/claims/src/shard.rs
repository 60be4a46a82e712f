//! The keys of one shard, as the reader of its stream knows them.
//!
//! A claim's verdict is fixed where it stands in the stream: it wins if no claim of its
//! key is held there. So all readers that hold the key agree, and it does not matter
//! which of them is asked, when, or how often. A reader starts at the oldest record that
//! the log keeps and reads in order.

use std::collections::HashMap;

use derive::value;
use types::{CallId, Failure};

use crate::{
    Claim, ClaimSettings, ClaimVerdict, KeyDigest, Line, Outcome, Record, RecordError,
    RecordPosition, RequestDigest, Verdict,
};

#[value]
enum State {
    Running,
    /// Running as far as is known; whether it is the first claim is not.
    Uncertain,
    Answered {
        status: u16,
        position: Option<RecordPosition>,
    },
    Failed(Failure),
    Released,
}

/// The claim that holds a key.
#[value]
struct KeyEntry {
    claim: CallId,
    request: RequestDigest,
    /// By when its call has ended, on this reader's clock.
    call_ends_ms: u64,
    /// When the key's newest claim was read.
    newest_claim_ms: u64,
    state: State,
}

/// One reader's state of one shard.
#[derive(Clone, Debug)]
pub struct Shard {
    settings: ClaimSettings,
    next_offset: u64,
    keys: HashMap<KeyDigest, KeyEntry>,
    /// Claims that were given back before they were read, with the time of that.
    released: HashMap<CallId, u64>,
    /// When the last claim came that had no room.
    overflowed_ms: Option<u64>,
}

impl Shard {
    /// Knows nothing yet; read from [`Shard::next_offset`].
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            next_offset: 0,
            keys: HashMap::new(),
            released: HashMap::new(),
            overflowed_ms: None,
        }
    }

    /// First offset not yet read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Keys held.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Takes in a line that was read; in order, a line read twice counts once. Every
    /// claim in it gets its verdict, for those that wait for one. An error says that the
    /// line could not be read; it is passed over like everywhere else, and its claims are
    /// never won.
    pub fn apply(
        &mut self,
        offset: u64,
        text: &str,
        now_ms: u64,
    ) -> Result<Vec<ClaimVerdict>, RecordError> {
        if offset < self.next_offset {
            return Ok(Vec::new());
        }
        self.next_offset = offset + 1;
        let line = Line::parse(text)?;
        let mut placed = Vec::new();
        for (index, record) in (0..).zip(line.records) {
            let place = RecordPosition { offset, index };
            placed.extend(self.apply_record(place, record, now_ms));
        }
        Ok(placed)
    }

    /// What a submission is to do whose key is held already, before any claim of its own
    /// is appended; `None` when it may claim.
    pub fn peek(&self, key: KeyDigest, request: RequestDigest, now_ms: u64) -> Option<Verdict> {
        let held = self.live_entry(key, now_ms)?;
        if held.state == State::Released {
            return None;
        }
        Some(held.verdict(request, now_ms))
    }

    /// Forgets keys whose lifetime is over; to be called now and then.
    pub fn expire(&mut self, now_ms: u64) {
        let lifetime_ms = self.settings.key_lifetime_ms;
        self.keys
            .retain(|_, held| now_ms.saturating_sub(held.newest_claim_ms) < lifetime_ms);
        let lag_ms = self.settings.release_lag_ms();
        self.released
            .retain(|_, &mut since_ms| now_ms.saturating_sub(since_ms) < lag_ms);
    }

    fn apply_record(
        &mut self,
        place: RecordPosition,
        record: Record,
        now_ms: u64,
    ) -> Option<ClaimVerdict> {
        match record {
            Record::Claim(claim) => self.apply_claim(&claim, now_ms),
            Record::Done {
                key,
                claim,
                outcome,
            } => {
                self.set_state(key, claim, State::of(outcome, place));
                None
            }
            Record::Release { key, claim } => {
                self.apply_release(key, claim, now_ms);
                None
            }
        }
    }

    /// A claim may wait at one writer while its release goes through another, and stand
    /// behind it. Its holder has given up and told its caller "not run"; if the claim won,
    /// repeats would be told "may have run" with nobody to run it. So its late claim is
    /// passed over, by all readers alike.
    fn apply_release(&mut self, key: KeyDigest, claim: CallId, now_ms: u64) {
        let held = self.keys.get(&key);
        if held.is_some_and(|held| held.claim == claim) {
            self.set_state(key, claim, State::Released);
        } else if self.released.len() < self.settings.keys_max {
            self.released.insert(claim, now_ms);
        }
    }

    fn apply_claim(&mut self, claim: &Claim, now_ms: u64) -> Option<ClaimVerdict> {
        if self.released.contains_key(&claim.claim) {
            return None;
        }
        let held = self.live_entry(claim.key, now_ms).cloned();
        let Some(mut held) = held else {
            return self.insert_claim(claim, now_ms);
        };
        let again = held.claim == claim.claim;
        if held.state == State::Released && !again {
            return self.insert_claim(claim, now_ms);
        }
        // A doubled record of a released claim is passed over: its holder has given up,
        // and the key would be taken with nobody to run it.
        let verdict = match (again, &held.state) {
            (true, State::Running) => Verdict::Won,
            (true, State::Released | State::Uncertain) => return None,
            _ => held.verdict(claim.request, now_ms),
        };
        held.newest_claim_ms = now_ms;
        self.keys.insert(claim.key, held);
        Some(ClaimVerdict {
            claim: claim.claim,
            verdict,
        })
    }

    fn insert_claim(&mut self, claim: &Claim, now_ms: u64) -> Option<ClaimVerdict> {
        if self.keys.len() >= self.settings.keys_max {
            self.expire(now_ms);
        }
        // Dropping a key that lives could let its repeat run. So none is dropped; and for
        // a lifetime after a claim that had no room no claim wins here, because one that
        // looks first may follow it. Its holder gets no verdict and answers "not run".
        if self.keys.len() >= self.settings.keys_max {
            self.overflowed_ms = Some(now_ms);
            return None;
        }
        let unsure = self.is_uncertain(now_ms);
        let held = KeyEntry {
            claim: claim.claim,
            request: claim.request,
            call_ends_ms: now_ms + u64::from(claim.runs_for_ms),
            newest_claim_ms: now_ms,
            state: if unsure {
                State::Uncertain
            } else {
                State::Running
            },
        };
        self.keys.insert(claim.key, held);
        (!unsure).then_some(ClaimVerdict {
            claim: claim.claim,
            verdict: Verdict::Won,
        })
    }

    fn is_uncertain(&self, now_ms: u64) -> bool {
        let lifetime_ms = self.settings.key_lifetime_ms;
        self.overflowed_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) < lifetime_ms)
    }

    fn set_state(&mut self, key: KeyDigest, claim: CallId, state: State) {
        let held = self.keys.get_mut(&key);
        if let Some(held) = held.filter(|held| held.claim == claim) {
            held.state = state;
        }
    }

    fn live_entry(&self, key: KeyDigest, now_ms: u64) -> Option<&KeyEntry> {
        let lifetime_ms = self.settings.key_lifetime_ms;
        let held = self.keys.get(&key);
        held.filter(|held| now_ms.saturating_sub(held.newest_claim_ms) < lifetime_ms)
    }
}

impl State {
    fn of(outcome: Outcome, place: RecordPosition) -> Self {
        match outcome {
            Outcome::Answered { status, answer } => State::Answered {
                status,
                position: answer.map(|_| place),
            },
            Outcome::Failed(failure) => State::Failed(failure),
        }
    }
}

impl KeyEntry {
    /// What another submission of the key is to do.
    fn verdict(&self, request: RequestDigest, now_ms: u64) -> Verdict {
        if request != self.request {
            return Verdict::KeyReused;
        }
        match &self.state {
            // Nothing of the holder is asked here: it has had all the time that its
            // call may take, and it may still record its end.
            State::Running | State::Uncertain if now_ms >= self.call_ends_ms => Verdict::Lost,
            State::Running | State::Uncertain | State::Released => Verdict::Running,
            State::Answered {
                status,
                position: place,
            } => Verdict::Answered {
                status: *status,
                position: *place,
            },
            State::Failed(failure) => Verdict::Failed(*failure),
        }
    }
}
