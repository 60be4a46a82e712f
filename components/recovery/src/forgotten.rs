//! What the callee still knows of calls that it has dropped.
//!
//! The identities of the last few are kept, so that a doubled `Open` does not run again.
//! Of calls dropped because their time was over, while the caller may still ask for them,
//! the highest number of each caller is kept: a call up to it may have run, and the caller
//! must not hear that it is unknown here.

use std::collections::{HashMap, HashSet, VecDeque};

use types::CallId;

const RECENT_MAX: usize = 4_096;
const CALLERS_MAX: usize = 4_096;

#[derive(Debug, Default)]
pub(crate) struct Forgotten {
    order: VecDeque<CallId>,
    recent: HashSet<CallId>,
    expired_up_to: HashMap<u64, u64>,
    /// Callers were left out of `expired_up_to`, so any call may be one of theirs.
    overflowed: bool,
}

impl Forgotten {
    /// The caller said that it needs the call no more.
    pub fn released(&mut self, id: CallId) {
        if !self.recent.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > RECENT_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.recent.remove(&oldest);
        }
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

    /// Whether a call with this identity certainly was here not long ago.
    pub fn is_recent(&self, id: CallId) -> bool {
        self.recent.contains(&id)
    }

    /// Whether a call with this identity may have been here.
    pub fn may_have_been(&self, id: CallId) -> bool {
        let expired = self.expired_up_to.get(&id.boot);
        self.overflowed || self.is_recent(id) || expired.is_some_and(|&up_to| id.counter <= up_to)
    }
}
