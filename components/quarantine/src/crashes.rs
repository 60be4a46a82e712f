//! Crashes of endpoints and who was in flight at each, as far as is known.
//!
//! Each process knows its own calls only. Told of the others' calls at the same crash, it
//! knows all that may have caused it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use derive::value;

use crate::CallDigest;

/// Crashes kept at most; the oldest go first.
const CRASHES_MAX: usize = 4_096;

#[value]
struct Crash {
    endpoint: SocketAddr,
    at_ms: u64,
    in_flight: BTreeSet<CallDigest>,
    /// Processes whose calls are counted in it.
    reported_by: BTreeSet<Option<SocketAddr>>,
}

/// The crashes known.
#[value]
#[derive(Default)]
pub(crate) struct Crashes {
    crashes: BTreeMap<u64, Crash>,
    next_number: u64,
}

impl Crashes {
    /// Counts what one process had in flight at a crash; `None` is this process. Reports of
    /// one endpoint within `same_ms` are of one crash, unless they are of one process. Gives
    /// the crash's number.
    ///
    /// Which of two crashes of an endpoint within that time a report is of can't be told,
    /// so such crashes share all that was in flight at either. That can hold up a verdict,
    /// and leaves no cause out.
    pub fn record(
        &mut self,
        reported_by: Option<SocketAddr>,
        endpoint: SocketAddr,
        in_flight: impl IntoIterator<Item = CallDigest>,
        now_ms: u64,
        same_crash_window_ms: u64,
    ) -> u64 {
        let is_near = |crash: &Crash| {
            crash.endpoint == endpoint && crash.at_ms + same_crash_window_ms > now_ms
        };
        let mut near = self.crashes.iter().rev().filter(|(_, c)| is_near(c));
        let known = near.find(|(_, crash)| !crash.reported_by.contains(&reported_by));
        let number = known.map_or(self.next_number, |(&number, _)| number);
        self.next_number = self.next_number.max(number + 1);
        let near = self.crashes.values().filter(|crash| is_near(crash));
        let mut shared: BTreeSet<CallDigest> = in_flight.into_iter().collect();
        shared.extend(near.flat_map(|crash| &crash.in_flight));
        let crash = self.crashes.entry(number).or_insert_with(|| Crash {
            endpoint,
            at_ms: now_ms,
            in_flight: BTreeSet::new(),
            reported_by: BTreeSet::new(),
        });
        crash.reported_by.insert(reported_by);
        // The other reports of what this one may be of are looked for from now on.
        crash.at_ms = now_ms;
        for crash in self.crashes.values_mut().filter(|crash| is_near(crash)) {
            crash.in_flight.extend(&shared);
        }
        if self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_first();
        }
        number
    }

    /// Whether this process has told what it had in flight at a crash.
    pub fn is_reported_locally(&self, number: u64) -> bool {
        let crash = self.crashes.get(&number);
        crash.is_some_and(|crash| crash.reported_by.contains(&None))
    }

    /// Whether each of these crashes is so old that all have told of it.
    pub fn are_settled(&self, numbers: &BTreeSet<u64>, now_ms: u64, settle_ms: u64) -> bool {
        let settled = |crash: &Crash| crash.at_ms + settle_ms <= now_ms;
        let known = numbers.iter().filter_map(|number| self.crashes.get(number));
        known.into_iter().all(settled)
    }

    /// Whether some other call was in flight at every one of these crashes, and may be the
    /// cause of all.
    pub fn have_other_common_call(&self, numbers: &BTreeSet<u64>, digest: CallDigest) -> bool {
        let known = numbers.iter().filter_map(|number| self.crashes.get(number));
        let common = known
            .map(|crash| crash.in_flight.clone())
            .reduce(|common, in_flight| &common & &in_flight);
        common.is_some_and(|common| common.iter().any(|&other| other != digest))
    }

    /// A call has shown that it crashes nothing.
    pub fn remove_call(&mut self, digest: CallDigest) {
        for crash in self.crashes.values_mut() {
            crash.in_flight.remove(&digest);
        }
    }

    /// Forgets crashes older than this.
    pub fn expire(&mut self, now_ms: u64, retention_ms: u64) {
        self.crashes
            .retain(|_, crash| crash.at_ms + retention_ms > now_ms);
    }
}
