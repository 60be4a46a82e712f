//! The calls that this process has at endpoints, or had there shortly before.

use std::collections::{BTreeSet, HashMap, VecDeque};

use derive::value;

use crate::{AttemptId, CallDigest};

/// An attempt of a call at an endpoint.
#[value]
pub(crate) struct Attempt<E> {
    pub(crate) digest: CallDigest,
    pub(crate) endpoint: E,
    /// Number of the crash that ended the attempt; `None` while it runs.
    pub(crate) crash: Option<u64>,
}

impl<E: PartialEq> Attempt<E> {
    fn is_running_at(&self, endpoint: &E) -> bool {
        self.endpoint == *endpoint && self.crash.is_none()
    }
}

/// An attempt that ended without an answer and without a known crash.
#[value]
struct RecentAttempt<E> {
    digest: CallDigest,
    endpoint: E,
    at_ms: u64,
}

/// Attempts of one call that run at the same time.
#[value]
struct RunningCopies<E> {
    /// Endpoint of each attempt; an endpoint with several attempts is listed several times.
    endpoints: Vec<E>,
    /// Whether an attempt has succeeded since the first of them started.
    any_succeeded: bool,
}

impl<E> Default for RunningCopies<E> {
    fn default() -> Self {
        Self {
            endpoints: Vec::new(),
            any_succeeded: false,
        }
    }
}

/// The attempts of this process.
#[derive(Clone, Debug)]
pub(crate) struct InFlight<E> {
    /// How long an ended attempt still counts as present at its endpoint, in milliseconds.
    recent_ms: u64,
    attempts: HashMap<AttemptId, Attempt<E>>,
    copies: HashMap<CallDigest, RunningCopies<E>>,
    recent: VecDeque<RecentAttempt<E>>,
    next_number: u64,
}

impl<E: Clone + Ord> InFlight<E> {
    /// No attempts. An attempt that ends still counts as present for `recent_ms`.
    pub(crate) fn new(recent_ms: u64) -> Self {
        Self {
            recent_ms,
            attempts: HashMap::new(),
            copies: HashMap::new(),
            recent: VecDeque::new(),
            next_number: 0,
        }
    }

    /// Records an attempt that is sent to an endpoint.
    pub(crate) fn start(&mut self, digest: CallDigest, endpoint: E) -> AttemptId {
        self.next_number += 1;
        let attempt = AttemptId(self.next_number);
        let started = Attempt {
            digest,
            endpoint: endpoint.clone(),
            crash: None,
        };
        self.attempts.insert(attempt, started);
        let copies = self.copies.entry(digest).or_default();
        copies.endpoints.push(endpoint);
        attempt
    }

    pub(crate) fn attempt(&self, attempt: AttemptId) -> Option<&Attempt<E>> {
        self.attempts.get(&attempt)
    }

    /// Removes an attempt that has ended, and returns it.
    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Attempt<E>> {
        let ended = self.attempts.remove(&attempt)?;
        if let Some(copies) = self.copies.get_mut(&ended.digest) {
            let at = copies.endpoints.iter().position(|e| *e == ended.endpoint);
            at.map(|at| copies.endpoints.swap_remove(at));
            if copies.endpoints.is_empty() {
                self.copies.remove(&ended.digest);
            }
        }
        Some(ended)
    }

    /// Records that an attempt got its complete answer. Removes the call's recent attempts and
    /// returns its digest.
    pub(crate) fn record_success(&mut self, attempt: AttemptId) -> Option<CallDigest> {
        let digest = self.remove(attempt)?.digest;
        self.recent.retain(|recent| recent.digest != digest);
        if let Some(copies) = self.copies.get_mut(&digest) {
            copies.any_succeeded = true;
        }
        Some(digest)
    }

    /// Records that an attempt ended without an answer. It still counts as present for
    /// `recent_ms`, unless a crash ended it.
    pub(crate) fn record_end(&mut self, attempt: AttemptId, now_ms: u64) {
        self.remove_expired(now_ms);
        let ended = self
            .remove(attempt)
            .filter(|attempt| attempt.crash.is_none());
        self.recent.extend(ended.map(|attempt| RecentAttempt {
            digest: attempt.digest,
            endpoint: attempt.endpoint,
            at_ms: now_ms,
        }));
    }

    /// Records that a crash ended all attempts at the endpoint.
    pub(crate) fn mark_crashed(&mut self, endpoint: &E, crash: u64) {
        self.recent.retain(|recent| recent.endpoint != *endpoint);
        let attempts = self.attempts.values_mut();
        for attempt in attempts.filter(|attempt| attempt.is_running_at(endpoint)) {
            attempt.crash = Some(crash);
        }
    }

    /// Whether the call runs at any endpoint.
    pub(crate) fn is_running(&self, digest: CallDigest) -> bool {
        self.attempts
            .values()
            .any(|attempt| attempt.digest == digest && attempt.crash.is_none())
    }

    /// Endpoints that a call may crash: those where it runs or ran shortly before. Empty if one of
    /// the concurrent attempts has succeeded.
    pub(crate) fn endpoints_at_risk(&self, digest: CallDigest, now_ms: u64) -> BTreeSet<&E> {
        let copies = self.copies.get(&digest);
        if copies.is_some_and(|copies| copies.any_succeeded) {
            return BTreeSet::new();
        }
        let running = copies.into_iter().flat_map(|s| s.endpoints.iter());
        let recent = self.recent.iter().filter(|recent| recent.digest == digest);
        let recent = recent.filter(|recent| recent.at_ms + self.recent_ms > now_ms);
        running
            .chain(recent.map(|recent| &recent.endpoint))
            .collect()
    }

    /// Calls that run at the endpoint.
    pub(crate) fn running_at(&self, endpoint: &E) -> impl Iterator<Item = CallDigest> {
        let attempts = self.attempts.values();
        let running = attempts.filter(move |attempt| attempt.is_running_at(endpoint));
        running.map(|attempt| attempt.digest)
    }

    /// Calls that run at the endpoint or ran there shortly before.
    pub(crate) fn running_or_recent_at(&self, endpoint: &E, now_ms: u64) -> BTreeSet<CallDigest> {
        let running = self.running_at(endpoint);
        running.chain(self.recent_at(endpoint, now_ms)).collect()
    }

    /// Whether a call ended at the endpoint shortly before, without an answer and without a known
    /// crash.
    pub(crate) fn is_recent_at(&self, endpoint: &E, now_ms: u64) -> bool {
        self.recent_at(endpoint, now_ms).next().is_some()
    }

    fn recent_at(&self, endpoint: &E, now_ms: u64) -> impl Iterator<Item = CallDigest> {
        let is_there = move |recent: &&RecentAttempt<E>| {
            recent.endpoint == *endpoint && recent.at_ms + self.recent_ms > now_ms
        };
        let recent = self.recent.iter().filter(is_there);
        recent.map(|recent| recent.digest)
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some(recent) = self.recent.front()
            && recent.at_ms + self.recent_ms <= now_ms
        {
            self.recent.pop_front();
        }
    }
}
