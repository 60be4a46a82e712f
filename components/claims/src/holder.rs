//! One keyed submission at the entry that it came to: from its claim to its end.
//!
//! The machine goes one way. Once it has given up it never runs, and only then does it
//! release the claim; once it has started it never gives up.

use derive::value;
use types::{Cause, Failure};

use crate::{Claim, ClaimSettings, Outcome, Record, Verdict};

/// What the entry does next.
#[value]
pub enum ClaimAction {
    /// Send the claim to the shard's writer of this rank (see [`crate::writers_of`]; rank
    /// modulo their number) and ask again when its verdict comes or the time is over.
    Send {
        /// How many writers were tried before.
        rank: usize,
    },
    /// Ask again at this time, or when the verdict comes.
    WaitUntil {
        /// On the process's monotonic clock.
        at_ms: u64,
    },
    /// Call [`Holder::start`] right before the hand-over.
    Run,
    /// The key's call has ended or runs: answer from the verdict.
    Answer(Verdict),
    /// Final answer: not run. Append [`Holder::release`] when the log can be had.
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

/// One keyed submission.
#[value]
pub struct ClaimHolder {
    settings: ClaimSettings,
    claim: Claim,
    created_ms: u64,
    state: State,
}

impl ClaimHolder {
    /// Makes the claim now.
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

    /// The claim.
    pub fn claim(&self) -> &Claim {
        &self.claim
    }

    /// What to do now.
    pub fn next_action(&mut self, now_ms: u64) -> ClaimAction {
        if self.is_expired(now_ms) && matches!(self.state, State::Claiming { .. } | State::Won) {
            self.state = State::Abandoned;
        }
        match &mut self.state {
            State::Claiming {
                attempts: tries,
                next_ms,
            } if now_ms >= *next_ms => {
                let rank = *tries;
                *tries += 1;
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

    /// A reader of the shard gave its verdict on this claim. Only the first one counts.
    pub fn on_verdict(&mut self, verdict: Verdict) {
        if !matches!(self.state, State::Claiming { .. }) {
            return;
        }
        self.state = match verdict {
            Verdict::Won => State::Won,
            other => State::Decided(other),
        };
    }

    /// The writer could not be reached or could not append: try the next one now.
    pub fn on_refused(&mut self, now_ms: u64) {
        if let State::Claiming { next_ms, .. } = &mut self.state {
            *next_ms = now_ms;
        }
    }

    /// Allows the one run of the call, right before its hand-over, once. A later hand-over
    /// of the same call, after one that provably did not run, is bound by its deadline.
    ///
    /// A process that was frozen since it won may find that its key's lifetime is over
    /// and another submission has won it anew; the caller would see its order run twice.
    /// It looks at how old the claim is, not at when the verdict came, because a verdict
    /// may have been on its way or in a queue for just as long.
    pub fn start(&mut self, now_ms: u64) -> Result<(), Failure> {
        if self.state != State::Won || self.is_expired(now_ms) {
            self.abandon();
            return Err(self.unavailable());
        }
        self.state = State::Started;
        Ok(())
    }

    /// The entry will not run the call: its caller went away or there is no endpoint.
    /// Without effect once started.
    pub fn abandon(&mut self) {
        if matches!(self.state, State::Claiming { .. } | State::Won) {
            self.state = State::Abandoned;
        }
    }

    /// A call that was started has ended as provably not run: it may be claimed anew.
    pub fn record_not_run(&mut self) {
        if self.state == State::Started {
            self.state = State::Abandoned;
        }
    }

    /// Record that lets others claim the key; only of a claim that was given up.
    pub fn release(&self) -> Option<Record> {
        (self.state == State::Abandoned).then_some(Record::Release {
            key: self.claim.key,
            claim: self.claim.claim,
        })
    }

    /// Record of the call's end; only of a call that was started.
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
