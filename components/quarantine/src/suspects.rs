//! Which calls are held to have crashed endpoints.
//!
//! When an endpoint crashes, every call that was in flight there becomes a suspect: this
//! process's own, and those of the other entries, which tell each other what they had
//! there. Suspects are tried again apart: at most one suspect of this process at an
//! endpoint, no new call beside it, and one attempt of each digest at a time. Whoever
//! completes whole is cleared. A call with `crashes_max` crashes is condemned when no
//! other call was in flight at all of them: it and its repeats get a final answer for
//! `condemned_ms`, here and, through rumours, at every other process. A crash is then
//! explained and counts no longer against the others that were in flight. It is judged
//! `settle_ms` after its last crash, when the others have told; until then it waits.
//!
//! Only crashes count that a living agent reports. A VM or failure domain that is lost
//! makes nobody a suspect.
//!
//! Bounds. A call whose caller sends it again and again, one after the other, costs
//! `crashes_max` endpoints through any number of entries that hear of each other's crashes
//! in time, and one more for each crash in which one and the same other call was beside it
//! in all. With every report lost it costs `crashes_max` for each entry that it reaches
//! before the rumour does, so four through two entries. Copies that are in flight at once
//! before the first crash share `crashes_max` endpoints of each entry, so they cost no
//! more; the samples of one group are copies that have to spread, and can cost one endpoint
//! each. A crash that no process hears of while its calls are known as there, or a moment
//! after, counts against nobody and is outside of the bound.
//!
//! A bystander is never condemned for the crashes of one other call, through whatever
//! entries that came, as long as reports arrive: the cause was in flight at each of the
//! bystander's crashes. It can be when a report is lost or comes too late, or when crashes
//! with other causes hit it; that ends with `condemned_ms` or when the true cause is
//! condemned here.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use derive::value;
use types::{Cause, Failure, RunState};

use crate::crashes::Crashes;
use crate::in_flight::InFlight;
use crate::{
    AttemptId, CallDigest, CondemnedCall, CopyPlacement, DigestStatus, EndpointCrash,
    StartDecision, SuspectSettings, Verdict,
};

/// What is held against one digest.
#[value]
#[derive(Default)]
struct Record {
    /// Crashes not explained by another call.
    crashes: BTreeSet<u64>,
    condemned_until_ms: Option<u64>,
    /// Condemned by a rumour; stands whatever is known here.
    from_peer: bool,
    last_ms: u64,
}

/// The calls in flight and the records against them.
#[derive(Clone, Debug)]
pub struct Suspects {
    settings: SuspectSettings,
    in_flight: InFlight,
    records: BTreeMap<CallDigest, Record>,
    crashes: Crashes,
    condemned_to_send: Vec<CondemnedCall>,
    crashes_to_send: Vec<EndpointCrash>,
}

impl Suspects {
    /// No call is in flight and nothing is held against any.
    pub fn new(settings: SuspectSettings) -> Self {
        Self {
            settings,
            in_flight: InFlight::new(settings.same_crash_window_ms),
            records: BTreeMap::new(),
            crashes: Crashes::default(),
            condemned_to_send: Vec::new(),
            crashes_to_send: Vec::new(),
        }
    }

    /// What is held against a digest now.
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

    /// Asks for an endpoint right before the hand-over. Every call asks, so that those
    /// in flight at a crash are known.
    pub fn try_start(
        &mut self,
        digest: CallDigest,
        endpoint: SocketAddr,
        copies: CopyPlacement,
        now_ms: u64,
    ) -> StartDecision {
        self.condemn_if_sole_cause(digest, now_ms);
        match self.status(digest, now_ms) {
            DigestStatus::Condemned { left_ms } => StartDecision::Refuse(refusal(left_ms)),
            DigestStatus::Suspect { crashes }
                if self.in_flight.is_running(digest)
                    || self.awaits_reports(digest, crashes, now_ms) =>
            {
                StartDecision::Wait {
                    wait_ms: self.settings.retry_wait_ms,
                }
            }
            _ if self.runs_suspect(endpoint, now_ms) => StartDecision::OtherEndpoint,
            _ if copies == CopyPlacement::Limited
                && self.exceeds_copy_limit(digest, endpoint, now_ms) =>
            {
                StartDecision::OtherEndpoint
            }
            _ => StartDecision::Start(self.in_flight.start(digest, endpoint)),
        }
    }

    /// Whether a call may run beside those that the endpoint has in flight; for a
    /// process that queues before it enters.
    pub fn accepts_new_calls(&self, endpoint: SocketAddr, now_ms: u64) -> bool {
        !self.runs_suspect(endpoint, now_ms)
    }

    /// The call's whole answer came: nothing is held against it any longer.
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

    /// The call ended in another way than by a crash that is known of: cancelled, refused,
    /// failed. For a moment it still counts as there: word of a crash may come late, and
    /// with its cause left out a bystander would be the only one that was in flight.
    pub fn record_end(&mut self, attempt: AttemptId, now_ms: u64) {
        self.in_flight.record_end(attempt, now_ms);
    }

    /// The call ended because the endpoint crashed.
    pub fn record_crash(&mut self, attempt: AttemptId, now_ms: u64) -> Verdict {
        let Some(ended) = self.in_flight.attempt(attempt).cloned() else {
            return Verdict::Retry;
        };
        if ended.crash.is_none() {
            self.record_local_crash(ended.endpoint, now_ms);
        }
        self.in_flight.remove(attempt);
        self.verdict(ended.digest, now_ms)
    }

    /// Takes in a rumour of a condemned digest.
    pub fn record_peer_verdict(&mut self, digest: CallDigest, left_ms: u32, now_ms: u64) {
        let until_ms = now_ms + u64::from(left_ms.min(self.settings.condemned_ms));
        let record = self.records.entry(digest).or_default();
        record.from_peer = true;
        record.last_ms = record.last_ms.max(now_ms);
        record.condemned_until_ms = record.condemned_until_ms.max(Some(until_ms));
        self.clear_explained_crashes(digest);
        self.evict(now_ms);
    }

    /// Another entry tells what it had in flight at a crash.
    pub fn record_peer_crash(&mut self, from: SocketAddr, crashed: &EndpointCrash, now_ms: u64) {
        let EndpointCrash {
            endpoint,
            in_flight,
        } = crashed;
        let digests = in_flight.iter().copied();
        let same_ms = self.settings.same_crash_window_ms;
        let crash = self
            .crashes
            .record(Some(from), *endpoint, digests, now_ms, same_ms);
        for &digest in in_flight {
            self.add_crash(digest, crash, now_ms);
        }
        // What was there from here may not know of the crash yet, or never will.
        if !self.crashes.is_reported_locally(crash)
            && !self
                .in_flight
                .running_or_recent_at(*endpoint, now_ms)
                .is_empty()
        {
            self.record_local_crash(*endpoint, now_ms);
        }
        self.evict(now_ms);
    }

    /// Crashes reported here since the last call, to be told to the other entries.
    pub fn take_crashes(&mut self) -> Vec<EndpointCrash> {
        std::mem::take(&mut self.crashes_to_send)
    }

    /// Condemns a call if it alone can have caused its crashes.
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

    /// Digests condemned here since the last call, to be spread as rumours.
    pub fn take_condemned(&mut self) -> Vec<CondemnedCall> {
        std::mem::take(&mut self.condemned_to_send)
    }

    /// Digests that have a record now.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is held against any call, as is usual.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops records whose time is over; to be called now and then.
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

    fn runs_suspect(&self, endpoint: SocketAddr, now_ms: u64) -> bool {
        let mut running = self.in_flight.running_at(endpoint);
        running.any(|digest| self.status(digest, now_ms) != DigestStatus::Clear)
    }

    /// Whether one more copy at this endpoint would put more endpoints at risk at once than
    /// the crashes that condemn a call. Copies submitted before the first crash is known
    /// would otherwise lose one endpoint each.
    fn exceeds_copy_limit(&self, digest: CallDigest, endpoint: SocketAddr, now_ms: u64) -> bool {
        let endpoints_at_risk = self.in_flight.endpoints_at_risk(digest, now_ms);
        endpoints_at_risk.len() >= self.settings.condemn_after_crashes
            && !endpoints_at_risk.contains(&endpoint)
    }

    /// All in flight at the endpoint share the crash. Their own reports come one by one
    /// and must not count as crashes of their own.
    fn record_local_crash(&mut self, endpoint: SocketAddr, now_ms: u64) {
        let in_flight = self.in_flight.running_or_recent_at(endpoint, now_ms);
        let digests = in_flight.iter().copied();
        let same_ms = self.settings.same_crash_window_ms;
        let crash = self
            .crashes
            .record(None, endpoint, digests, now_ms, same_ms);
        self.in_flight.mark_crashed(endpoint, crash);
        for &digest in &in_flight {
            self.add_crash(digest, crash, now_ms);
        }
        self.crashes_to_send.push(EndpointCrash {
            endpoint,
            in_flight: in_flight.into_iter().collect(),
        });
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

    /// Takes the crashes of a condemned digest off all others, and lifts what was
    /// inferred from them here alone.
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

/// Answer to a repeat of a condemned call: this submission never reached an endpoint.
fn refusal(left_ms: u32) -> Failure {
    Failure::not_run(Cause::Quarantined).retry_after(left_ms)
}
