//! What the callee still knows of calls that it has dropped or refused.
//!
//! The last few are kept by their identity, so that a doubled `Open` does not run, and a
//! caller that missed a refusal hears it again. Of calls dropped because their time was
//! over, while the caller may still ask for them, the highest number of each caller is
//! kept: a call up to it may have run, and the caller must not hear that it is unknown
//! here.

use std::collections::{HashMap, VecDeque};

use types::{CallId, Cause, Failure, RunState};

const RECENT_MAX: usize = 4_096;
const CALLERS_MAX: usize = 4_096;

/// What a caller hears that asks for a call whose answer is gone.
const ANSWER_GONE: Failure = Failure {
    run: RunState::Unknown,
    cause: Cause::LinkLost,
    retry_after_ms: None,
};

#[derive(Debug, Default)]
pub(crate) struct Forgotten {
    order: VecDeque<CallId>,
    recent: HashMap<CallId, Failure>,
    expired_up_to: HashMap<u64, u64>,
    /// Callers were left out of `expired_up_to`, so any call may be one of theirs.
    overflowed: bool,
}

impl Forgotten {
    /// The call was refused.
    pub fn refused(&mut self, id: CallId, failure: Failure) {
        if self.recent.insert(id, failure).is_some() {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > RECENT_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.recent.remove(&oldest);
        }
    }

    /// The caller said that it needs the call no more.
    pub fn released(&mut self, id: CallId) {
        self.refused(id, ANSWER_GONE);
    }

    /// The call was dropped without the caller's word.
    pub fn expired(&mut self, id: CallId) {
        self.released(id);
        if self.expired_up_to.len() >= CALLERS_MAX && !self.expired_up_to.contains_key(&id.boot) {
            self.overflowed = true;
            return;
        }
        let highest = self.expired_up_to.entry(id.boot).or_default();
        *highest = id.counter.max(*highest);
    }

    /// What became of a call that was here not long ago.
    pub fn recent(&self, id: CallId) -> Option<Failure> {
        self.recent.get(&id).copied()
    }

    /// What became of a call that was here, or may have been; `None` proves that it was
    /// not.
    pub fn find(&self, id: CallId) -> Option<Failure> {
        let expired = self.expired_up_to.get(&id.boot);
        let may_have_been = self.overflowed || expired.is_some_and(|&up_to| id.counter <= up_to);
        self.recent(id).or(may_have_been.then_some(ANSWER_GONE))
    }
}
