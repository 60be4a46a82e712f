//! State machine of one keyed submission at the entry that received it, from its claim to the end
//! of its call.
//!
//! Transitions go one way. A holder that has abandoned its claim never runs the call, and only then
//! releases the claim; a holder that has started the call never abandons it.

use derive::value;
use types::{Cause, Failure};

use crate::{Claim, ClaimSettings, Outcome, Record, Verdict};

/// Next action of the entry for a submission.
#[value]
pub enum ClaimAction {
    /// Send the claim to the shard's writer with this rank (see [`crate::writers_of`]; rank modulo
    /// the number of writers), then call [`ClaimHolder::next_action`] again.
    Send {
        /// Number of writers tried before.
        rank: usize,
    },
    /// Call [`ClaimHolder::next_action`] again at this time or when the verdict arrives.
    WaitUntil {
        /// Time on the process's monotonic clock.
        at_ms: u64,
    },
    /// The claim won: call [`ClaimHolder::start`] right before handing the call over.
    Run,
    /// Another submission has the key: answer according to the verdict.
    Answer(Verdict),
    /// Answer finally with "not run". Append [`ClaimHolder::release`] when the log is available.
    Abandon(Failure),
}

#[value]
enum State {
    Claiming { attempts: usize, next_ms: u64 },
    Won,
    Started,
    Decided(Verdict),
    Abandoned,
}

/// A keyed submission and the state of its claim.
#[value]
pub struct ClaimHolder {
    settings: ClaimSettings,
    claim: Claim,
    created_ms: u64,
    state: State,
}

impl ClaimHolder {
    /// Creates a holder whose claim was created at `now_ms`.
    pub fn new(claim: Claim, settings: ClaimSettings, now_ms: u64) -> Self {
        Self {
            settings,
            claim,
            created_ms: now_ms,
            state: State::Claiming {
                attempts: 0,
                next_ms: now_ms,
            },
        }
    }

    /// The claim of the submission.
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    /// Returns the action that is due now.
    pub fn next_action(&mut self, now_ms: u64) -> ClaimAction {
        if self.is_expired(now_ms) && matches!(self.state, State::Claiming { .. } | State::Won) {
            self.state = State::Abandoned;
        }
        match &mut self.state {
            State::Claiming { attempts, next_ms } if now_ms >= *next_ms => {
                let rank = *attempts;
                *attempts += 1;
                *next_ms = now_ms + self.settings.retry_interval_ms;
                ClaimAction::Send { rank }
            }
            State::Claiming { next_ms, .. } => {
                let last_ms = self.created_ms + self.settings.start_within_ms;
                ClaimAction::WaitUntil {
                    at_ms: last_ms.min(*next_ms),
                }
            }
            State::Won | State::Started => ClaimAction::Run,
            State::Decided(verdict) => ClaimAction::Answer(verdict.clone()),
            State::Abandoned => ClaimAction::Abandon(self.unavailable()),
        }
    }

    /// Processes the verdict of a reader of the shard on this claim. Only the first verdict counts.
    pub fn on_verdict(&mut self, verdict: Verdict) {
        if !matches!(self.state, State::Claiming { .. }) {
            return;
        }
        self.state = match verdict {
            Verdict::Won => State::Won,
            other => State::Decided(other),
        };
    }

    /// Makes the next writer due at once, after a writer was unreachable or could not append.
    pub fn on_refused(&mut self, now_ms: u64) {
        if let State::Claiming { next_ms, .. } = &mut self.state {
            *next_ms = now_ms;
        }
    }

    /// Permits the call to run, once, right before it is handed over. If the call is handed over
    /// again after an attempt that provably did not run, its deadline limits it.
    ///
    /// A process that was paused after its claim won may resume when its key's lifetime is over and
    /// another submission has won the key; the call would run twice. The check therefore uses the
    /// age of the claim, not of the verdict, because the verdict may have been delayed or queued
    /// for just as long.
    pub fn start(&mut self, now_ms: u64) -> Result<(), Failure> {
        if self.state != State::Won || self.is_expired(now_ms) {
            self.abandon();
            return Err(self.unavailable());
        }
        self.state = State::Started;
        Ok(())
    }

    /// Abandons the claim because the entry will not run the call, for example because its caller
    /// disconnected or there is no endpoint. Has no effect after the call has started.
    pub fn abandon(&mut self) {
        if matches!(self.state, State::Claiming { .. } | State::Won) {
            self.state = State::Abandoned;
        }
    }

    /// Records that a started call provably did not run, so that the key may be claimed again.
    pub fn record_not_run(&mut self) {
        if self.state == State::Started {
            self.state = State::Abandoned;
        }
    }

    /// The record that releases the key for other submissions; `None` unless the claim is
    /// abandoned.
    pub fn release(&self) -> Option<Record> {
        (self.state == State::Abandoned).then_some(Record::Release {
            key: self.claim.key,
            claim: self.claim.claim,
        })
    }

    /// The record of the call's end; `None` unless the call was started.
    pub fn done(&self, outcome: Outcome) -> Option<Record> {
        (self.state == State::Started).then_some(Record::Done {
            key: self.claim.key,
            claim: self.claim.claim,
            outcome,
        })
    }

    fn is_expired(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.created_ms) > self.settings.start_within_ms
    }

    fn unavailable(&self) -> Failure {
        Failure::not_run(Cause::ClaimUnavailable).retry_after(self.settings.outage_retry_after_ms)
    }
}
