//! The keys of one shard, as its reader knows them.
//!
//! A claim's verdict is determined by its position in the stream: it wins if no claim of its key is
//! held there. All readers that hold the key therefore agree, and the verdict does not depend on
//! which reader is asked, when or how often. A reader starts at the oldest record that the log
//! keeps and reads in order.

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
    /// Presumably running, but this reader does not know whether the claim is the first of its key.
    Uncertain,
    Answered {
        status: u16,
        position: Option<RecordPosition>,
    },
    Failed(Failure),
    Released,
}

/// The claim that holds a key, and the state of its call.
#[value]
struct KeyEntry {
    claim: CallId,
    request: RequestDigest,
    /// Time by which the call must have ended, on this reader's clock.
    call_ends_ms: u64,
    /// When this reader read the key's newest claim.
    newest_claim_ms: u64,
    state: State,
}

/// The state of one shard at one reader.
#[derive(Clone, Debug)]
pub struct Shard {
    settings: ClaimSettings,
    next_offset: u64,
    keys: HashMap<KeyDigest, KeyEntry>,
    /// Claims whose release was read before the claim itself, with the time of the release.
    released: HashMap<CallId, u64>,
    /// When the last claim was read for which there was no room.
    overflowed_ms: Option<u64>,
}

impl Shard {
    /// Creates an empty state; reading starts at [`Shard::next_offset`].
    pub fn new(settings: ClaimSettings) -> Self {
        Self {
            settings,
            next_offset: 0,
            keys: HashMap::new(),
            released: HashMap::new(),
            overflowed_ms: None,
        }
    }

    /// First offset that has not been read.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Number of keys held.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Applies a line read from the log. Lines must be applied in order; a line that was read
    /// before is ignored. Returns the verdicts on the claims in the line. An error means that the
    /// line could not be decoded; all readers skip it alike, and its claims never win.
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
        let mut verdicts = Vec::new();
        for (index, record) in (0..).zip(line.records) {
            let position = RecordPosition { offset, index };
            verdicts.extend(self.apply_record(position, record, now_ms));
        }
        Ok(verdicts)
    }

    /// Verdict on a submission whose key is already held, before it appends a claim of its own;
    /// `None` if it may append one.
    pub fn peek(&self, key: KeyDigest, request: RequestDigest, now_ms: u64) -> Option<Verdict> {
        let entry = self.live_entry(key, now_ms)?;
        if entry.state == State::Released {
            return None;
        }
        Some(entry.verdict(request, now_ms))
    }

    /// Removes expired keys and releases. Has to be called periodically.
    pub fn expire(&mut self, now_ms: u64) {
        let key_lifetime_ms = self.settings.key_lifetime_ms;
        self.keys
            .retain(|_, entry| now_ms.saturating_sub(entry.newest_claim_ms) < key_lifetime_ms);
        let lag_ms = self.settings.release_lag_ms();
        self.released
            .retain(|_, &mut since_ms| now_ms.saturating_sub(since_ms) < lag_ms);
    }

    fn apply_record(
        &mut self,
        position: RecordPosition,
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
                self.set_state(key, claim, State::of(outcome, position));
                None
            }
            Record::Release { key, claim } => {
                self.apply_release(key, claim, now_ms);
                None
            }
        }
    }

    /// A claim may be queued at one writer while its release goes through another writer and
    /// precedes it. Its holder has abandoned it and told its caller "not run"; if the claim won,
    /// repeats would be told "may have run" although no holder runs the call. All readers therefore
    /// ignore a claim that follows its release.
    fn apply_release(&mut self, key: KeyDigest, claim: CallId, now_ms: u64) {
        let entry = self.keys.get(&key);
        if entry.is_some_and(|entry| entry.claim == claim) {
            self.set_state(key, claim, State::Released);
        } else if self.released.len() < self.settings.keys_max {
            self.released.insert(claim, now_ms);
        }
    }

    fn apply_claim(&mut self, claim: &Claim, now_ms: u64) -> Option<ClaimVerdict> {
        if self.released.contains_key(&claim.claim) {
            return None;
        }
        let entry = self.live_entry(claim.key, now_ms).cloned();
        let Some(mut entry) = entry else {
            return self.insert_claim(claim, now_ms);
        };
        let is_same_claim = entry.claim == claim.claim;
        if entry.state == State::Released && !is_same_claim {
            return self.insert_claim(claim, now_ms);
        }
        // A duplicate record of a released claim is ignored: its holder has abandoned it, and the
        // key would be held although no holder runs the call.
        let verdict = match (is_same_claim, &entry.state) {
            (true, State::Running) => Verdict::Won,
            (true, State::Released | State::Uncertain) => return None,
            _ => entry.verdict(claim.request, now_ms),
        };
        entry.newest_claim_ms = now_ms;
        self.keys.insert(claim.key, entry);
        Some(ClaimVerdict {
            claim: claim.claim,
            verdict,
        })
    }

    fn insert_claim(&mut self, claim: &Claim, now_ms: u64) -> Option<ClaimVerdict> {
        if self.keys.len() >= self.settings.keys_max {
            self.expire(now_ms);
        }
        // Removing a live key could let a repeat of its call run, so no key is removed. For one
        // lifetime after a claim without room, no new claim wins at this reader, because a claim
        // that looks like the first of its key may follow the one without room. Its holder gets no
        // verdict and answers "not run".
        if self.keys.len() >= self.settings.keys_max {
            self.overflowed_ms = Some(now_ms);
            return None;
        }
        let is_uncertain = self.is_uncertain(now_ms);
        let entry = KeyEntry {
            claim: claim.claim,
            request: claim.request,
            call_ends_ms: now_ms + u64::from(claim.runs_for_ms),
            newest_claim_ms: now_ms,
            state: if is_uncertain {
                State::Uncertain
            } else {
                State::Running
            },
        };
        self.keys.insert(claim.key, entry);
        (!is_uncertain).then_some(ClaimVerdict {
            claim: claim.claim,
            verdict: Verdict::Won,
        })
    }

    fn is_uncertain(&self, now_ms: u64) -> bool {
        let key_lifetime_ms = self.settings.key_lifetime_ms;
        self.overflowed_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) < key_lifetime_ms)
    }

    fn set_state(&mut self, key: KeyDigest, claim: CallId, state: State) {
        let entry = self.keys.get_mut(&key);
        if let Some(entry) = entry.filter(|entry| entry.claim == claim) {
            entry.state = state;
        }
    }

    fn live_entry(&self, key: KeyDigest, now_ms: u64) -> Option<&KeyEntry> {
        let key_lifetime_ms = self.settings.key_lifetime_ms;
        let entry = self.keys.get(&key);
        entry.filter(|entry| now_ms.saturating_sub(entry.newest_claim_ms) < key_lifetime_ms)
    }
}

impl State {
    fn of(outcome: Outcome, position: RecordPosition) -> Self {
        match outcome {
            Outcome::Answered { status, answer } => State::Answered {
                status,
                position: answer.map(|_| position),
            },
            Outcome::Failed(failure) => State::Failed(failure),
        }
    }
}

impl KeyEntry {
    /// Verdict on another submission with the same key.
    fn verdict(&self, request: RequestDigest, now_ms: u64) -> Verdict {
        if request != self.request {
            return Verdict::KeyReused;
        }
        match &self.state {
            // The holder is not consulted: the time that its call may take is over, though it may
            // still record the end of the call.
            State::Running | State::Uncertain if now_ms >= self.call_ends_ms => Verdict::Lost,
            State::Running | State::Uncertain | State::Released => Verdict::Running,
            State::Answered { status, position } => Verdict::Answered {
                status: *status,
                position: *position,
            },
            State::Failed(failure) => Verdict::Failed(*failure),
        }
    }
}
