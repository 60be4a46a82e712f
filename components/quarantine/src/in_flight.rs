//! The calls that this process has at endpoints, or had there shortly before.

use std::collections::{BTreeSet, HashMap, VecDeque};

use derive::value;

use crate::{AttemptId, CallDigest};

/// An attempt of a call at an endpoint.
#[value]
pub(crate) struct Attempt<E> {
    pub(crate) digest: CallDigest,
    pub(crate) endpoint: E,
    pub(crate) started_ms: u64,
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
struct UnansweredAttempt<E> {
    digest: CallDigest,
    endpoint: E,
    started_ms: u64,
    ended_ms: u64,
    /// When it is forgotten at the latest.
    forgotten_ms: u64,
    /// Whether the endpoint stayed silent until the deadline.
    timed_out: bool,
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
    /// How long an endpoint may go on with an attempt that ended without an answer, in milliseconds.
    recent_ms: u64,
    /// How long such an attempt is remembered while its endpoint is not known to run, in
    /// milliseconds.
    retention_ms: u64,
    attempts: HashMap<AttemptId, Attempt<E>>,
    copies: HashMap<CallDigest, RunningCopies<E>>,
    /// The oldest first.
    unanswered: VecDeque<UnansweredAttempt<E>>,
    next_number: u64,
}

impl<E: Clone + Ord> InFlight<E> {
    /// No attempts. One that ends without an answer counts as present at its endpoint until the
    /// endpoint is known to have run on for `recent_ms`, for `retention_ms` at most.
    pub(crate) fn new(recent_ms: u64, retention_ms: u64) -> Self {
        Self {
            recent_ms,
            retention_ms,
            attempts: HashMap::new(),
            copies: HashMap::new(),
            unanswered: VecDeque::new(),
            next_number: 0,
        }
    }

    /// Records an attempt that is sent to an endpoint.
    pub(crate) fn start(&mut self, digest: CallDigest, endpoint: E, now_ms: u64) -> AttemptId {
        self.next_number += 1;
        let attempt = AttemptId(self.next_number);
        let started = Attempt {
            digest,
            endpoint: endpoint.clone(),
            started_ms: now_ms,
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

    /// Records that an attempt got its complete answer. Removes the call's unanswered attempts and
    /// returns its digest.
    pub(crate) fn record_success(&mut self, attempt: AttemptId) -> Option<CallDigest> {
        let digest = self.remove(attempt)?.digest;
        self.unanswered.retain(|attempt| attempt.digest != digest);
        if let Some(copies) = self.copies.get_mut(&digest) {
            copies.any_succeeded = true;
        }
        Some(digest)
    }

    /// Records that an attempt ended without an answer. It still counts as present at its endpoint,
    /// unless a crash ended it or a copy of the call has succeeded meanwhile.
    pub(crate) fn record_end(&mut self, attempt: AttemptId, now_ms: u64) {
        self.record_unanswered(attempt, now_ms, false);
    }

    /// Records that an attempt ended because its endpoint stayed silent. The endpoint stops work at
    /// the deadline of an attempt, so the attempt counts as present for `recent_ms` only.
    pub(crate) fn record_timeout(&mut self, attempt: AttemptId, now_ms: u64) {
        self.record_unanswered(attempt, now_ms, true);
    }

    fn record_unanswered(&mut self, attempt: AttemptId, now_ms: u64, timed_out: bool) {
        let retention_ms = match timed_out {
            true => self.recent_ms,
            false => self.retention_ms,
        };
        self.remove_expired(now_ms);
        let Some(ended) = self.remove_unless_succeeded(attempt) else {
            return;
        };
        if ended.crash.is_none() {
            self.unanswered.push_back(UnansweredAttempt {
                digest: ended.digest,
                endpoint: ended.endpoint,
                started_ms: ended.started_ms,
                ended_ms: now_ms,
                forgotten_ms: now_ms + retention_ms,
                timed_out,
            });
        }
    }

    /// Removes an attempt that has ended, and returns it unless a copy of the call has succeeded.
    fn remove_unless_succeeded(&mut self, attempt: AttemptId) -> Option<Attempt<E>> {
        let digest = self.attempts.get(&attempt)?.digest;
        let copies = self.copies.get(&digest);
        let any_succeeded = copies.is_some_and(|copies| copies.any_succeeded);
        self.remove(attempt).filter(|_| !any_succeeded)
    }

    /// Records that an endpoint was running at `at_ms`, so that it has not crashed by the attempts
    /// that ended long enough before.
    pub(crate) fn record_running(&mut self, endpoint: &E, at_ms: u64) {
        let recent_ms = self.recent_ms;
        self.unanswered
            .retain(|a| a.endpoint != *endpoint || a.ended_ms + recent_ms > at_ms);
    }

    /// Records that a crash ended all attempts at the endpoint.
    pub(crate) fn mark_crashed(&mut self, endpoint: &E, crash: u64) {
        self.unanswered.retain(|a| a.endpoint != *endpoint);
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
        let unanswered = self.unanswered.iter().filter(|a| a.digest == digest);
        let recent = unanswered.filter(|a| a.ended_ms + self.recent_ms > now_ms);
        running
            .chain(recent.map(|attempt| &attempt.endpoint))
            .collect()
    }

    /// Calls that run at the endpoint.
    pub(crate) fn running_at(&self, endpoint: &E) -> impl Iterator<Item = CallDigest> {
        let attempts = self.attempts.values();
        let running = attempts.filter(move |attempt| attempt.is_running_at(endpoint));
        running.map(|attempt| attempt.digest)
    }

    /// Calls that run at the endpoint and were sent there by `until_ms`.
    pub(crate) fn sent_to(&self, endpoint: &E, until_ms: u64) -> impl Iterator<Item = CallDigest> {
        let attempts = self.attempts.values();
        let running = attempts.filter(move |attempt| attempt.is_running_at(endpoint));
        let sent = running.filter(move |attempt| attempt.started_ms <= until_ms);
        sent.map(|attempt| attempt.digest)
    }

    /// Calls that were sent to the endpoint by `until_ms` and ended without an answer, while it is
    /// not known whether a crash ended them.
    pub(crate) fn unanswered_at(
        &self,
        endpoint: &E,
        until_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = CallDigest> {
        let attempts = self.unanswered_attempts(endpoint, until_ms, now_ms);
        attempts.map(|attempt| attempt.digest)
    }

    /// The same without those that timed out.
    pub(crate) fn lost_at(
        &self,
        endpoint: &E,
        until_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = CallDigest> {
        let attempts = self.unanswered_attempts(endpoint, until_ms, now_ms);
        let lost = attempts.filter(|attempt| !attempt.timed_out);
        lost.map(|attempt| attempt.digest)
    }

    fn unanswered_attempts(
        &self,
        endpoint: &E,
        until_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = &UnansweredAttempt<E>> {
        self.unanswered.iter().filter(move |attempt| {
            attempt.endpoint == *endpoint
                && attempt.started_ms <= until_ms
                && attempt.forgotten_ms > now_ms
        })
    }

    fn remove_expired(&mut self, now_ms: u64) {
        while let Some(oldest) = self.unanswered.front()
            && oldest.forgotten_ms <= now_ms
        {
            self.unanswered.pop_front();
        }
    }
}
