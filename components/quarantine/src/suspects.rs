//! Which calls are held to have crashed endpoints.
//!
//! When an endpoint crashes, every call that this process had in flight there becomes a
//! suspect. Suspects are tried again apart: at most one suspect at an endpoint, no new
//! call beside it, and one attempt of each digest at a time. Whoever completes whole is
//! cleared. A call with `crashes_max` crashes, in the last of which it was the only
//! suspect, is condemned: it and its repeats get a final answer for `condemned_ms`, here
//! and, through rumours, at every other process. A crash is then explained and counts
//! no longer against the others that were in flight.
//!
//! Only crashes count that a living agent reports. A VM or failure domain that is lost
//! makes nobody a suspect.
//!
//! Bounds. A call whose caller sends it again and again costs at most `crashes_max`
//! endpoints for each entry that it reaches before the rumour does, so four through two
//! entries. Copies that are in flight at once before the first crash can cost one
//! endpoint each. An innocent call is never condemned for the crashes of one other call
//! that come through the same entry. It can be when two crashes with other causes hit
//! it, the second while it was tried apart beside older calls; that ends with
//! `condemned_ms` or when the true cause is condemned here.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use derive::value;
use types::{Cause, Failure, RunState};

use crate::{CallDigest, Condemned, Entry, RunId, Standing, SuspectSettings, Verdict};

#[value]
struct Run {
    digest: CallDigest,
    endpoint: SocketAddr,
    /// The crash that ended it, once that is known.
    crash: Option<u64>,
}

#[value]
#[derive(Default)]
struct Record {
    /// Crashes not explained by another call.
    crashes: BTreeSet<u64>,
    condemned_until_ms: Option<u64>,
    /// Condemned by a rumour; stands whatever is known here.
    told: bool,
    last_ms: u64,
}

/// The calls in flight and the records against them.
#[derive(Clone, Debug)]
pub struct Suspects {
    settings: SuspectSettings,
    runs: HashMap<RunId, Run>,
    records: BTreeMap<CallDigest, Record>,
    next_number: u64,
    to_tell: Vec<Condemned>,
}

impl Suspects {
    /// No call is in flight and nothing is held against any.
    pub fn new(settings: SuspectSettings) -> Self {
        Self {
            settings,
            runs: HashMap::new(),
            records: BTreeMap::new(),
            next_number: 0,
            to_tell: Vec::new(),
        }
    }

    /// What is held against a digest now.
    pub fn standing(&self, digest: CallDigest, now_ms: u64) -> Standing {
        let Some(record) = self.records.get(&digest) else {
            return Standing::Clear;
        };
        if let Some(until_ms) = record.condemned_until_ms
            && until_ms > now_ms
        {
            let left_ms = u32::try_from(until_ms - now_ms).unwrap_or(u32::MAX);
            return Standing::Condemned { left_ms };
        }
        let old = record.last_ms + self.settings.suspect_ms <= now_ms;
        if old || record.crashes.is_empty() {
            return Standing::Clear;
        }
        let crashes = record.crashes.len();
        Standing::Suspect { crashes }
    }

    /// Asks for an endpoint right before the hand-over. Every call asks, so that those
    /// in flight at a crash are known.
    pub fn enter(&mut self, digest: CallDigest, endpoint: SocketAddr, now_ms: u64) -> Entry {
        match self.standing(digest, now_ms) {
            Standing::Condemned { left_ms } => Entry::Refuse(refusal(left_ms)),
            Standing::Suspect { .. } if self.runs_anywhere(digest) => Entry::Wait {
                wait_ms: self.settings.wait_ms,
            },
            _ if self.has_suspect(endpoint, now_ms) => Entry::Elsewhere,
            _ => Entry::Run(self.start(digest, endpoint)),
        }
    }

    /// Whether a call may run beside those that the endpoint has in flight; for a
    /// process that queues before it enters.
    pub fn may_run_with(&self, endpoint: SocketAddr, now_ms: u64) -> bool {
        !self.has_suspect(endpoint, now_ms)
    }

    /// The call's whole answer came: nothing is held against it any longer.
    pub fn complete(&mut self, run: RunId) {
        let Some(run) = self.runs.remove(&run) else {
            return;
        };
        let told = self.records.get(&run.digest).is_some_and(|r| r.told);
        if !told {
            self.records.remove(&run.digest);
        }
    }

    /// The call ended in another way than by a crash: cancelled, refused, failed.
    pub fn leave(&mut self, run: RunId) {
        self.runs.remove(&run);
    }

    /// The call ended because the endpoint crashed.
    pub fn lost(&mut self, run: RunId, now_ms: u64) -> Verdict {
        let Some(ended) = self.runs.get(&run).cloned() else {
            return Verdict::Retry;
        };
        if ended.crash.is_none() {
            self.crash(ended.endpoint, now_ms);
        }
        self.runs.remove(&run);
        self.verdict(ended.digest, now_ms)
    }

    /// Takes in a rumour of a condemned digest.
    pub fn hear(&mut self, digest: CallDigest, left_ms: u32, now_ms: u64) {
        let until_ms = now_ms + u64::from(left_ms.min(self.settings.condemned_ms));
        let record = self.records.entry(digest).or_default();
        record.told = true;
        record.last_ms = record.last_ms.max(now_ms);
        record.condemned_until_ms = record.condemned_until_ms.max(Some(until_ms));
        self.explain(digest);
        self.evict(now_ms);
    }

    /// Digests condemned here since the last call, to be spread as rumours.
    pub fn take_condemned(&mut self) -> Vec<Condemned> {
        std::mem::take(&mut self.to_tell)
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
        let suspect_ms = self.settings.suspect_ms;
        self.records.retain(|_, record| {
            let condemned = record
                .condemned_until_ms
                .is_some_and(|until| until > now_ms);
            let suspect = !record.crashes.is_empty() && record.last_ms + suspect_ms > now_ms;
            condemned || suspect
        });
    }

    fn start(&mut self, digest: CallDigest, endpoint: SocketAddr) -> RunId {
        let run = RunId(self.number());
        let started = Run {
            digest,
            endpoint,
            crash: None,
        };
        self.runs.insert(run, started);
        run
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn runs_anywhere(&self, digest: CallDigest) -> bool {
        self.runs
            .values()
            .any(|run| run.digest == digest && run.crash.is_none())
    }

    fn has_suspect(&self, endpoint: SocketAddr, now_ms: u64) -> bool {
        let here = |run: &&Run| run.endpoint == endpoint && run.crash.is_none();
        let mut here = self.runs.values().filter(here);
        here.any(|run| self.standing(run.digest, now_ms) != Standing::Clear)
    }

    /// All in flight at the endpoint share the crash. Their own reports come one by one
    /// and must not count as crashes of their own.
    fn crash(&mut self, endpoint: SocketAddr, now_ms: u64) {
        let crash = self.number();
        let mut in_flight = BTreeSet::new();
        for run in self.runs.values_mut() {
            if run.endpoint == endpoint && run.crash.is_none() {
                run.crash = Some(crash);
                in_flight.insert(run.digest);
            }
        }
        let mut suspects = Vec::new();
        for &digest in &in_flight {
            if self.standing(digest, now_ms) != Standing::Clear {
                suspects.push(digest);
            }
        }
        for &digest in &in_flight {
            self.accuse(digest, crash, now_ms);
        }
        if let [only] = suspects[..] {
            self.condemn(only, now_ms);
        }
        self.evict(now_ms);
    }

    fn accuse(&mut self, digest: CallDigest, crash: u64, now_ms: u64) {
        let old = self.standing(digest, now_ms) == Standing::Clear;
        let record = self.records.entry(digest).or_default();
        if old {
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
        if condemned || record.crashes.len() < self.settings.crashes_max {
            return;
        }
        let left_ms = self.settings.condemned_ms;
        record.condemned_until_ms = Some(now_ms + u64::from(left_ms));
        self.to_tell.push(Condemned { digest, left_ms });
        self.explain(digest);
    }

    /// Takes the crashes of a condemned digest off all others, and lifts what was
    /// inferred from them here alone.
    fn explain(&mut self, condemned: CallDigest) {
        let Some(record) = self.records.get(&condemned) else {
            return;
        };
        let explained = record.crashes.clone();
        let crashes_max = self.settings.crashes_max;
        for (&digest, record) in &mut self.records {
            if digest == condemned {
                continue;
            }
            record.crashes.retain(|crash| !explained.contains(crash));
            if !record.told && record.crashes.len() < crashes_max {
                record.condemned_until_ms = None;
            }
        }
        self.records
            .retain(|_, r| !r.crashes.is_empty() || r.condemned_until_ms.is_some());
    }

    fn verdict(&self, digest: CallDigest, now_ms: u64) -> Verdict {
        let crashes = match self.standing(digest, now_ms) {
            Standing::Clear => 0,
            Standing::Suspect { crashes } => crashes,
            Standing::Condemned { .. } => self.settings.crashes_max,
        };
        if crashes < self.settings.crashes_max {
            return Verdict::Retry;
        }
        Verdict::Final(Failure::new(RunState::Failed, Cause::Quarantined))
    }

    fn evict(&mut self, now_ms: u64) {
        if self.records.len() > self.settings.digests_max {
            self.expire(now_ms);
        }
        while self.records.len() > self.settings.digests_max {
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
