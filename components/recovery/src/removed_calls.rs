//! Records of calls that the callee has refused or removed from its table.
//!
//! The most recent ones are stored by id, so that a duplicate `Open` does not run again and a
//! caller that missed a refusal receives it again. For calls that were removed because their
//! retention time ended, the caller may still ask. For these the highest call number of each
//! caller is stored: a call up to that number may have run, and the caller must not be told
//! that the callee never had it.

use std::collections::{HashMap, VecDeque};

use types::{CallId, Cause, Failure, RunState};

/// Maximum number of calls in [`RemovedCalls::recent`].
const RECENT_MAX: usize = 4_096;
/// Maximum number of callers in [`RemovedCalls::expired_up_to`].
const CALLERS_MAX: usize = 4_096;

/// Failure sent to a caller that asks for a call whose response was discarded.
const RESPONSE_DISCARDED: Failure = Failure {
    run: RunState::Unknown,
    cause: Cause::LinkLost,
    retry_after_ms: None,
};

#[derive(Debug, Default)]
pub(crate) struct RemovedCalls {
    /// Keys of `recent`, oldest first.
    order: VecDeque<CallId>,
    recent: HashMap<CallId, Failure>,
    /// Highest `counter` of an expired call, by the `boot` of its caller.
    expired_up_to: HashMap<u64, u64>,
    /// `expired_up_to` is full and some callers are missing, so any unknown call may have been
    /// removed.
    overflowed: bool,
}

impl RemovedCalls {
    /// Records a call that was refused.
    pub fn record_refusal(&mut self, id: CallId, failure: Failure) {
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

    /// Records a call that its caller no longer needs.
    pub fn record_release(&mut self, id: CallId) {
        self.record_refusal(id, RESPONSE_DISCARDED);
    }

    /// Records a call that was removed although its caller may still ask for it.
    pub fn record_expiry(&mut self, id: CallId) {
        self.record_release(id);
        if self.expired_up_to.len() >= CALLERS_MAX && !self.expired_up_to.contains_key(&id.boot) {
            self.overflowed = true;
            return;
        }
        let highest = self.expired_up_to.entry(id.boot).or_default();
        *highest = id.counter.max(*highest);
    }

    /// Failure of a call that was refused or removed recently.
    pub fn find_recent(&self, id: CallId) -> Option<Failure> {
        self.recent.get(&id).copied()
    }

    /// Failure of a call that was, or may have been, refused or removed here. `None` proves
    /// that this process never removed the call.
    pub fn find(&self, id: CallId) -> Option<Failure> {
        let expired = self.expired_up_to.get(&id.boot);
        let may_have_expired = self.overflowed || expired.is_some_and(|&up_to| id.counter <= up_to);
        self.find_recent(id)
            .or(may_have_expired.then_some(RESPONSE_DISCARDED))
    }
}
