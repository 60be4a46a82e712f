//! Crashes of endpoints and the calls that were in flight at each of them.
//!
//! A process sees only its own calls. Together with the reports of the other entries about the
//! same crash it knows every call that may have caused the crash.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use derive::value;

use crate::{CallDigest, EndpointNames};

/// Maximum number of crashes that are stored; the oldest are evicted first.
pub(crate) const CRASHES_MAX: usize = 4_096;

#[value]
struct Crash<E> {
    endpoint: E,
    /// When it was last reported.
    at_ms: u64,
    /// When it had happened at the latest, as far as this process knows.
    ended_by_ms: u64,
    in_flight: BTreeSet<CallDigest>,
    /// Processes whose calls are in `in_flight`; `None` is this process.
    reported_by: BTreeSet<Option<E>>,
}

/// Recent crashes by number; numbers increase.
#[value]
pub(crate) struct Crashes<E> {
    crashes: BTreeMap<u64, Crash<E>>,
    /// Calls that may be in flight at any of the crashes. Most calls that succeed are not, and the
    /// crashes need not be searched for them.
    calls: HashSet<CallDigest>,
    next_number: u64,
}

impl<E> Default for Crashes<E> {
    fn default() -> Self {
        Self {
            crashes: BTreeMap::new(),
            calls: HashSet::new(),
            next_number: 0,
        }
    }
}

impl<E: Clone + Ord> Crashes<E> {
    /// Records the calls that one process had in flight at a crash, and returns the number of the
    /// crash, which had happened at `ended_by_ms`. `reported_by` is `None` for this process. Where an endpoint is named by its address,
    /// reports within the window are about the same crash, unless they come from the same process.
    ///
    /// If an endpoint crashes twice within the window, it is unknown which crash a report is about.
    /// Such crashes therefore share the calls in flight at either of them. This can delay a
    /// verdict, but never misses the cause.
    pub fn record(
        &mut self,
        reported_by: Option<E>,
        endpoint: &E,
        in_flight: impl IntoIterator<Item = CallDigest>,
        ended_by_ms: u64,
        now_ms: u64,
        names: EndpointNames,
    ) -> u64 {
        let is_in_window = |crash: &Crash<E>| {
            let in_time = match names {
                EndpointNames::Addresses {
                    same_crash_window_ms,
                } => crash.at_ms + same_crash_window_ms > now_ms,
                EndpointNames::Incarnations => true,
            };
            crash.endpoint == *endpoint && in_time
        };
        let mut in_window = self.crashes.iter().rev().filter(|(_, c)| is_in_window(c));
        let known = in_window.find(|(_, crash)| {
            matches!(names, EndpointNames::Incarnations)
                || !crash.reported_by.contains(&reported_by)
        });
        let number = known.map_or(self.next_number, |(&number, _)| number);
        self.next_number = self.next_number.max(number + 1);
        let in_window = self.crashes.values().filter(|crash| is_in_window(crash));
        let mut shared: BTreeSet<CallDigest> = in_flight.into_iter().collect();
        shared.extend(in_window.flat_map(|crash| &crash.in_flight));
        self.calls.extend(&shared);
        let crash = self.crashes.entry(number).or_insert_with(|| Crash {
            endpoint: endpoint.clone(),
            at_ms: now_ms,
            ended_by_ms,
            in_flight: BTreeSet::new(),
            reported_by: BTreeSet::new(),
        });
        crash.reported_by.insert(reported_by);
        crash.ended_by_ms = crash.ended_by_ms.min(ended_by_ms);
        // The window for further reports about the same crash starts anew with each report.
        crash.at_ms = now_ms;
        for crash in self
            .crashes
            .values_mut()
            .filter(|crash| is_in_window(crash))
        {
            crash.in_flight.extend(&shared);
        }
        if self.crashes.len() > CRASHES_MAX {
            self.crashes.pop_first();
        }
        number
    }

    /// When the incarnation `endpoint` had crashed at the latest; `None` if no crash is known.
    pub fn ended_by_ms(&self, endpoint: &E) -> Option<u64> {
        let mut crashes = self.crashes.values();
        let crash = crashes.find(|crash| crash.endpoint == *endpoint)?;
        Some(crash.ended_by_ms)
    }

    /// Whether a process has reported a crash of the endpoint.
    pub fn has_report(&self, reported_by: &Option<E>, endpoint: &E) -> bool {
        let mut crashes = self.crashes.values();
        crashes.any(|c| c.endpoint == *endpoint && c.reported_by.contains(reported_by))
    }

    /// Whether this process has reported its calls in flight at the crash.
    pub fn is_reported_locally(&self, number: u64) -> bool {
        let crash = self.crashes.get(&number);
        crash.is_some_and(|crash| crash.reported_by.contains(&None))
    }

    /// Whether all of the crashes are so old that every process has reported them.
    pub fn are_settled(&self, numbers: &BTreeSet<u64>, now_ms: u64, settle_ms: u64) -> bool {
        let settled = |crash: &Crash<E>| crash.at_ms + settle_ms <= now_ms;
        let known = numbers.iter().filter_map(|number| self.crashes.get(number));
        known.into_iter().all(settled)
    }

    /// Whether another call than `digest` was in flight at all of the crashes and may have caused
    /// them.
    pub fn have_other_common_call(&self, numbers: &BTreeSet<u64>, digest: CallDigest) -> bool {
        let known = numbers.iter().filter_map(|number| self.crashes.get(number));
        let common = known
            .map(|crash| crash.in_flight.clone())
            .reduce(|common, in_flight| &common & &in_flight);
        common.is_some_and(|common| common.iter().any(|&other| other != digest))
    }

    /// Removes a call from all crashes, after it completed and is therefore not their cause.
    pub fn remove_call(&mut self, digest: CallDigest) {
        if !self.calls.remove(&digest) {
            return;
        }
        for crash in self.crashes.values_mut() {
            crash.in_flight.remove(&digest);
        }
    }

    /// Removes crashes that are older than `retention_ms`.
    pub fn expire(&mut self, now_ms: u64, retention_ms: u64) {
        self.crashes
            .retain(|_, crash| crash.at_ms + retention_ms > now_ms);
        let in_flight = self.crashes.values().flat_map(|crash| &crash.in_flight);
        self.calls = in_flight.copied().collect();
    }
}
