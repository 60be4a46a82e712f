//! Finds the calls that crash endpoints.
//!
//! When an endpoint crashes, every call that was in flight there becomes a suspect: the calls of
//! this process, and those that the other entries report. A suspect is retried in isolation: an
//! endpoint runs at most one suspect of this process, gets no new call of this process meanwhile,
//! and only one attempt of each suspect runs at a time. A call that completes is cleared; an error doesn't
//! clear it, as an endpoint can give one before it runs the call.
//!
//! A call with `condemn_after_crashes` crashes is condemned if no other call was in flight at all
//! of them. The decision is made `settle_ms` after the last of its crashes, when the reports of
//! the other entries have arrived; until then the call has to wait. A condemned call and its
//! repeats are refused for `condemned_ms`, by this process and, through gossip, by every other
//! one. Its crashes no longer count against the other calls that were in flight.
//!
//! Only crashes that a live agent reports count. The loss of a VM or of a failure domain makes no
//! call a suspect.
//!
//! Bounds on lost endpoints:
//!
//! - A call that is submitted repeatedly, one submission after the other, crashes
//!   `condemn_after_crashes` endpoints, through any number of entries that receive one another's
//!   crash reports in time. While one and the same other call was in flight at all of its crashes
//!   too, the call is not condemned, and each such crash costs one more endpoint.
//! - If every report is lost, the call crashes `condemn_after_crashes` endpoints per entry that it
//!   reaches before the gossip about its condemnation does, so four through two entries.
//! - Copies that are in flight at the same time before the first crash share
//!   `condemn_after_crashes` endpoints of each entry, so they crash no more. The samples of one
//!   group are copies that have to run at many endpoints, and can crash one endpoint each.
//! - A crash that no process learns of while it has calls there, or shortly after, counts against
//!   no call and is not covered by these bounds.
//!
//! As long as reports arrive, an innocent call is never condemned for the crashes of one other
//! call, through whichever entries that call came: the other call was in flight at each of the
//! innocent call's crashes. An innocent call can be condemned if a report is lost or late, or if
//! it is hit by crashes with different causes. That condemnation ends after `condemned_ms`, or when
//! the true cause is condemned by this process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use derive::value;
use types::{Cause, Failure, RunState};

use crate::crashes::{CRASHES_MAX, Crashes};
use crate::in_flight::InFlight;
use crate::{
    AttemptId, CallDigest, CondemnedCall, CopyPlacement, CrashHistory, DigestStatus, EndpointCrash,
    EndpointNames, StartDecision, SuspectSettings, Verdict,
};

/// Crashes and condemnation of one digest.
#[value]
#[derive(Default)]
struct Record {
    /// Numbers of the crashes that no other call has been condemned for.
    crashes: BTreeSet<u64>,
    condemned_until_ms: Option<u64>,
    /// Whether another process has condemned the call; that holds whatever this process observes.
    from_peer: bool,
    last_ms: u64,
}

/// The calls in flight and the records of suspected and condemned calls. `E` identifies an endpoint
/// or a process that reports crashes, by default by its address.
#[derive(Clone, Debug)]
pub struct Suspects<E = SocketAddr> {
    settings: SuspectSettings,
    in_flight: InFlight<E>,
    records: BTreeMap<CallDigest, Record>,
    crashes: Crashes<E>,
    condemned_to_send: Vec<CondemnedCall>,
    crashes_to_send: Vec<EndpointCrash<E>>,
}

impl<E: Clone + Ord> Suspects<E> {
    /// No calls in flight and no suspects.
    pub fn new(settings: SuspectSettings) -> Self {
        Self {
            settings,
            in_flight: InFlight::new(settings.recent_attempt_ms, settings.unanswered_retention_ms),
            records: BTreeMap::new(),
            crashes: Crashes::default(),
            condemned_to_send: Vec::new(),
            crashes_to_send: Vec::new(),
        }
    }

    /// Status of a digest at `now_ms`.
    pub fn status(&self, digest: CallDigest, now_ms: u64) -> DigestStatus {
        let Some(record) = self.records.get(&digest) else {
            return DigestStatus::Clear;
        };
        if let Some(until_ms) = record.condemned_until_ms
            && until_ms > now_ms
        {
            let left_ms = u32::try_from(until_ms - now_ms).unwrap_or(u32::MAX);
            return DigestStatus::Condemned { left_ms };
        }
        let is_expired = record.last_ms + self.settings.suspect_retention_ms <= now_ms;
        if is_expired || record.crashes.is_empty() {
            return DigestStatus::Clear;
        }
        let crashes = record.crashes.len();
        DigestStatus::Suspect { crashes }
    }

    /// Decides whether a call may be sent to an endpoint, right before it is sent. Every attempt
    /// has to pass here, so that the calls in flight at a crash are known.
    pub fn try_start(
        &mut self,
        digest: CallDigest,
        endpoint: &E,
        copies: CopyPlacement,
        now_ms: u64,
    ) -> StartDecision {
        if let Some(decision) = self.decide_at_any_endpoint(digest, now_ms) {
            return decision;
        }
        let exceeds_limit = || {
            copies == CopyPlacement::Limited && self.exceeds_copy_limit(digest, endpoint, now_ms)
        };
        if self.runs_suspect(endpoint, now_ms) || exceeds_limit() {
            return StartDecision::OtherEndpoint;
        }
        StartDecision::Start(self.in_flight.start(digest, endpoint.clone(), now_ms))
    }

    /// The part of [`Suspects::try_start`] that is the same for all endpoints: whether the call has
    /// to wait or is refused. `None` if an endpoint may run it. For processes that check a call
    /// before they choose an endpoint.
    pub fn decide_at_any_endpoint(
        &mut self,
        digest: CallDigest,
        now_ms: u64,
    ) -> Option<StartDecision> {
        self.condemn_if_sole_cause(digest, now_ms);
        match self.status(digest, now_ms) {
            DigestStatus::Condemned { left_ms } => Some(StartDecision::Refuse(refusal(left_ms))),
            DigestStatus::Suspect { crashes }
                if self.in_flight.is_running(digest)
                    || self.awaits_reports(digest, crashes, now_ms) =>
            {
                Some(StartDecision::Wait {
                    wait_ms: self.settings.retry_wait_ms,
                })
            }
            DigestStatus::Suspect { .. } | DigestStatus::Clear => None,
        }
    }

    /// As [`Suspects::try_start`], for a call that is owed to its sender. It is not refused: after
    /// crashes it runs again at [`CrashHistory::retry_at_ms`].
    pub fn try_start_owed(
        &mut self,
        digest: CallDigest,
        endpoint: &E,
        now_ms: u64,
    ) -> StartDecision {
        if let Some(decision) = self.decide_owed_at_any_endpoint(digest, now_ms) {
            return decision;
        }
        if self.runs_suspect(endpoint, now_ms) {
            return StartDecision::OtherEndpoint;
        }
        StartDecision::Start(self.in_flight.start(digest, endpoint.clone(), now_ms))
    }

    /// The part of [`Suspects::try_start_owed`] that is the same for all endpoints; `None` if an
    /// endpoint may run the call.
    pub fn decide_owed_at_any_endpoint(
        &mut self,
        digest: CallDigest,
        now_ms: u64,
    ) -> Option<StartDecision> {
        // The crashes of a condemned call no longer count against others.
        self.condemn_if_sole_cause(digest, now_ms);
        let history = self.crash_history(digest, now_ms)?;
        let wait_ms = match self.in_flight.is_running(digest) {
            true => u64::from(self.settings.retry_wait_ms),
            false => history.retry_at_ms().saturating_sub(now_ms),
        };
        let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        (wait_ms > 0).then_some(StartDecision::Wait { wait_ms })
    }

    /// Whether this process has an attempt of the call in flight.
    pub fn is_running(&self, digest: CallDigest) -> bool {
        self.in_flight.is_running(digest)
    }

    /// The crashes that count against a call; `None` without any.
    pub fn crash_history(&self, digest: CallDigest, now_ms: u64) -> Option<CrashHistory> {
        if self.status(digest, now_ms) == DigestStatus::Clear {
            return None;
        }
        let record = self.records.get(&digest)?;
        Some(CrashHistory {
            crashes: record.crashes.len(),
            last_ms: record.last_ms,
        })
    }

    /// Whether the endpoint runs no suspect and may get new calls. For processes that queue calls
    /// before [`Suspects::try_start`].
    pub fn accepts_new_calls(&self, endpoint: &E, now_ms: u64) -> bool {
        !self.runs_suspect(endpoint, now_ms)
    }

    /// Records that an attempt got its complete answer, which shows that the endpoint ran the call.
    /// The call is cleared, unless another process has condemned it.
    pub fn record_success(&mut self, attempt: AttemptId) {
        let Some(digest) = self.in_flight.record_success(attempt) else {
            return;
        };
        self.crashes.remove_call(digest);
        let from_peer = self.records.get(&digest).is_some_and(|r| r.from_peer);
        if !from_peer {
            self.records.remove(&digest);
        }
    }

    /// Records that an attempt got an error as its complete answer. The endpoint may have given it
    /// before it ran the call, so the crashes of other attempts still count.
    pub fn record_error(&mut self, attempt: AttemptId) {
        self.in_flight.remove(attempt);
    }

    /// Records that the endpoint provably did not run an attempt, so that it cannot have caused a
    /// crash.
    pub fn record_not_run(&mut self, attempt: AttemptId) {
        self.in_flight.remove(attempt);
    }

    /// Records that an attempt was cancelled, refused, or failed without a known crash. It still
    /// counts as in flight for `unanswered_retention_ms`, because a crash may become known late:
    /// without the call that caused the crash, an innocent call could be the only one in flight. It
    /// no longer does once [`Suspects::record_running`] shows that the endpoint ran on.
    pub fn record_end(&mut self, attempt: AttemptId, now_ms: u64) {
        self.in_flight.record_end(attempt, now_ms);
    }

    /// Records that an attempt ended because its endpoint stayed silent until the deadline. That is no
    /// sign of a crash: the machine may be lost, or cut off.
    pub fn record_timeout(&mut self, attempt: AttemptId, now_ms: u64) {
        self.in_flight.record_timeout(attempt, now_ms);
    }

    /// Records that an attempt ended because its endpoint crashed.
    pub fn record_crash(&mut self, attempt: AttemptId, now_ms: u64) -> Verdict {
        let Some(ended) = self.in_flight.attempt(attempt).cloned() else {
            return Verdict::Retry;
        };
        if ended.crash.is_none() {
            self.record_local_crash(&ended.endpoint, now_ms, now_ms);
        }
        self.in_flight.remove(attempt);
        self.verdict(ended.digest, now_ms)
    }

    /// Records that an endpoint was running at `at_ms`.
    pub fn record_running(&mut self, endpoint: &E, at_ms: u64) {
        self.in_flight.record_running(endpoint, at_ms);
    }

    /// Whether a call ended at the endpoint without an answer while it is not known whether a crash
    /// ended it.
    pub fn has_unanswered_at(&self, endpoint: &E, now_ms: u64) -> bool {
        let mut unanswered = self.in_flight.unanswered_at(endpoint, now_ms, now_ms);
        unanswered.next().is_some()
    }

    /// Records that an endpoint is down, since `ended_by_ms` at the latest. It has crashed if a call
    /// of this process ended there before without an answer, such as one whose caller disconnected
    /// before the crash.
    pub fn record_endpoint_down(&mut self, endpoint: &E, ended_by_ms: u64, now_ms: u64) {
        let mut unanswered = self.in_flight.unanswered_at(endpoint, ended_by_ms, now_ms);
        if unanswered.next().is_some() {
            drop(unanswered);
            self.record_local_crash(endpoint, ended_by_ms, now_ms);
        }
    }

    /// Records that the incarnation `endpoint` ended at `ended_by_ms` at the latest, as the next one
    /// has started. Calls that wait for its answer, or did so until their deadline, don't count as in
    /// flight: the machine was lost, and not the process alone, as no connection of theirs ended.
    pub fn record_restart(&mut self, endpoint: &E, ended_by_ms: u64, now_ms: u64) {
        let lost = self.in_flight.lost_at(endpoint, ended_by_ms, now_ms);
        let lost = lost.collect();
        self.record_crash_of(endpoint, lost, ended_by_ms, now_ms);
    }

    /// Records that another process has condemned a digest.
    pub fn record_peer_verdict(&mut self, digest: CallDigest, left_ms: u32, now_ms: u64) {
        let until_ms = now_ms + u64::from(left_ms.min(self.settings.condemned_ms));
        let record = self.records.entry(digest).or_default();
        record.from_peer = true;
        record.last_ms = record.last_ms.max(now_ms);
        record.condemned_until_ms = record.condemned_until_ms.max(Some(until_ms));
        self.clear_explained_crashes(digest);
        self.evict(now_ms);
    }

    /// Records the calls that the entry `from` had in flight at a crash. If this process has calls
    /// at the endpoint too, it records the crash for them and reports them.
    pub fn record_peer_crash(&mut self, from: E, crashed: &EndpointCrash<E>, now_ms: u64) {
        let EndpointCrash {
            endpoint,
            in_flight,
        } = crashed;
        let names = self.settings.endpoint_names;
        let from = Some(from);
        // A repeated report would make suspects again of calls that were cleared since.
        if names == EndpointNames::Incarnations && self.crashes.has_report(&from, endpoint) {
            return;
        }
        let digests = in_flight.iter().copied();
        let crash = self
            .crashes
            .record(from, endpoint, digests, now_ms, now_ms, names);
        for &digest in in_flight {
            self.add_crash(digest, crash, now_ms);
        }
        // The attempts of this process may end later, or without any sign of the crash.
        if !self.crashes.is_reported_locally(crash) {
            self.record_local_crash(endpoint, now_ms, now_ms);
        }
        self.evict(now_ms);
    }

    /// Returns the crashes recorded since the last call of this method, to be sent to the other
    /// entries.
    pub fn take_crashes(&mut self) -> Vec<EndpointCrash<E>> {
        std::mem::take(&mut self.crashes_to_send)
    }

    /// Condemns a call if it has enough crashes, their reports have arrived, and no other call was
    /// in flight at all of them.
    pub fn condemn_if_sole_cause(&mut self, digest: CallDigest, now_ms: u64) {
        let DigestStatus::Suspect { crashes } = self.status(digest, now_ms) else {
            return;
        };
        if crashes < self.settings.condemn_after_crashes
            || self.awaits_reports(digest, crashes, now_ms)
        {
            return;
        }
        let record = self.records.get(&digest);
        let sole_cause =
            record.is_some_and(|r| !self.crashes.have_other_common_call(&r.crashes, digest));
        if sole_cause {
            self.condemn(digest, now_ms);
        }
    }

    /// Returns the digests condemned since the last call of this method, to be sent to the other
    /// processes.
    pub fn take_condemned(&mut self) -> Vec<CondemnedCall> {
        std::mem::take(&mut self.condemned_to_send)
    }

    /// Number of digests with a record.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no call is suspected or condemned.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes expired records and crashes; to be called periodically.
    pub fn expire(&mut self, now_ms: u64) {
        let suspect_retention_ms = self.settings.suspect_retention_ms;
        self.crashes.expire(now_ms, suspect_retention_ms);
        self.records.retain(|_, record| {
            let condemned = record
                .condemned_until_ms
                .is_some_and(|until| until > now_ms);
            let suspect =
                !record.crashes.is_empty() && record.last_ms + suspect_retention_ms > now_ms;
            condemned || suspect
        });
    }

    fn runs_suspect(&self, endpoint: &E, now_ms: u64) -> bool {
        if self.records.is_empty() {
            return false;
        }
        let mut running = self.in_flight.running_at(endpoint);
        running.any(|digest| self.status(digest, now_ms) != DigestStatus::Clear)
    }

    /// Whether a copy at this endpoint would put more endpoints at risk than the number of crashes
    /// that condemns a call. Without this limit, copies that are submitted before the first crash
    /// is known could crash one endpoint each.
    fn exceeds_copy_limit(&self, digest: CallDigest, endpoint: &E, now_ms: u64) -> bool {
        let endpoints_at_risk = self.in_flight.endpoints_at_risk(digest, now_ms);
        endpoints_at_risk.len() >= self.settings.condemn_after_crashes
            && !endpoints_at_risk.contains(endpoint)
    }

    /// Records one crash for all attempts in flight at the endpoint. The attempts report their ends
    /// one by one, and these reports must not count as separate crashes.
    fn record_local_crash(&mut self, endpoint: &E, ended_by_ms: u64, now_ms: u64) {
        let ended_by_ms = match self.settings.endpoint_names {
            EndpointNames::Addresses { .. } => ended_by_ms,
            // What was sent after the crash reached nobody, although the address may accept
            // connections.
            EndpointNames::Incarnations => {
                let known = self.crashes.ended_by_ms(endpoint);
                known.map_or(ended_by_ms, |known| known.min(ended_by_ms))
            }
        };
        let running = self.in_flight.sent_to(endpoint, ended_by_ms);
        let unanswered = self.in_flight.unanswered_at(endpoint, ended_by_ms, now_ms);
        let in_flight = running.chain(unanswered).collect();
        self.record_crash_of(endpoint, in_flight, ended_by_ms, now_ms);
    }

    /// Records a crash at which these calls were in flight; no crash if there were none.
    fn record_crash_of(
        &mut self,
        endpoint: &E,
        in_flight: BTreeSet<CallDigest>,
        ended_by_ms: u64,
        now_ms: u64,
    ) {
        if in_flight.is_empty() {
            return;
        }
        let digests = in_flight.iter().copied();
        let names = self.settings.endpoint_names;
        let crash = self
            .crashes
            .record(None, endpoint, digests, ended_by_ms, now_ms, names);
        self.in_flight.mark_crashed(endpoint, crash);
        for &digest in &in_flight {
            self.add_crash(digest, crash, now_ms);
        }
        self.crashes_to_send.push(EndpointCrash {
            endpoint: endpoint.clone(),
            in_flight: in_flight.into_iter().collect(),
        });
        if self.crashes_to_send.len() > CRASHES_MAX {
            self.crashes_to_send.remove(0);
        }
        self.evict(now_ms);
    }

    fn awaits_reports(&self, digest: CallDigest, crashes: usize, now_ms: u64) -> bool {
        let settle_ms = self.settings.settle_ms;
        let record = self.records.get(&digest);
        crashes >= self.settings.condemn_after_crashes
            && record.is_some_and(|r| !self.crashes.are_settled(&r.crashes, now_ms, settle_ms))
    }

    fn add_crash(&mut self, digest: CallDigest, crash: u64, now_ms: u64) {
        let is_expired = self.status(digest, now_ms) == DigestStatus::Clear;
        let record = self.records.entry(digest).or_default();
        if is_expired {
            record.crashes.clear();
        }
        record.crashes.insert(crash);
        record.last_ms = now_ms;
    }

    fn condemn(&mut self, digest: CallDigest, now_ms: u64) {
        let Some(record) = self.records.get_mut(&digest) else {
            return;
        };
        let condemned = record
            .condemned_until_ms
            .is_some_and(|until| until > now_ms);
        if condemned || record.crashes.len() < self.settings.condemn_after_crashes {
            return;
        }
        let left_ms = self.settings.condemned_ms;
        record.condemned_until_ms = Some(now_ms + u64::from(left_ms));
        self.condemned_to_send
            .push(CondemnedCall { digest, left_ms });
        self.clear_explained_crashes(digest);
    }

    /// Removes the crashes of a condemned digest from all other records, and lifts condemnations
    /// by this process that were based on them.
    fn clear_explained_crashes(&mut self, condemned: CallDigest) {
        let Some(record) = self.records.get(&condemned) else {
            return;
        };
        let explained = record.crashes.clone();
        let condemn_after_crashes = self.settings.condemn_after_crashes;
        for (&digest, record) in &mut self.records {
            if digest == condemned {
                continue;
            }
            record.crashes.retain(|crash| !explained.contains(crash));
            if !record.from_peer && record.crashes.len() < condemn_after_crashes {
                record.condemned_until_ms = None;
            }
        }
        self.records
            .retain(|_, r| !r.crashes.is_empty() || r.condemned_until_ms.is_some());
    }

    fn verdict(&self, digest: CallDigest, now_ms: u64) -> Verdict {
        match self.status(digest, now_ms) {
            DigestStatus::Condemned { .. } => {
                Verdict::Final(Failure::new(RunState::Failed, Cause::Quarantined))
            }
            DigestStatus::Clear | DigestStatus::Suspect { .. } => Verdict::Retry,
        }
    }

    fn evict(&mut self, now_ms: u64) {
        if self.records.len() > self.settings.records_max {
            self.expire(now_ms);
        }
        while self.records.len() > self.settings.records_max {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, record)| (record.condemned_until_ms, record.last_ms));
            let Some(digest) = oldest.map(|(&digest, _)| digest) else {
                return;
            };
            self.records.remove(&digest);
        }
    }
}

/// Answer to a repeat of a condemned call. It is "not run", because this submission never reached
/// an endpoint.
fn refusal(left_ms: u32) -> Failure {
    Failure::not_run(Cause::Quarantined).retry_after(left_ms)
}
