//! Calls of this process at one replica, and how slow the replica is compared with the others.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::decay::decayed;

/// Slowness of a replica that is as fast as the others, in thousandths. All slowness values are in
/// thousandths.
const BASELINE_THOUSANDTHS: u64 = 1_000;
/// Weight of a new observation in the moving average, in thousandths. A slow replica is recognised
/// after three answers.
const EWMA_WEIGHT_THOUSANDTHS: u64 = 300;
/// Time in which the excess slowness of a replica without new answers halves, so that a replica
/// that was slow receives calls again gradually.
const DECAY_HALF_LIFE_MS: u64 = 3_000;
/// Consecutive failures after which a replica is ejected.
const FAILURES_TO_EJECT: u32 = 2;
/// How long a replica stays ejected. A crashed replica is back within seconds, and a single call is
/// enough to find out.
const EJECTION_MS: u64 = 1_500;
/// Highest slowness that a single answer can show, in thousandths; limits the effect of outliers.
const SLOWNESS_MAX_THOUSANDTHS: u64 = 10_000;

/// Moving average of the duration of a route's calls.
#[derive(Debug)]
pub struct TypicalDuration {
    us: AtomicU64,
}

impl TypicalDuration {
    /// Starts from an estimate.
    pub fn new(guess_ms: u64) -> Self {
        Self {
            us: AtomicU64::new(guess_ms.max(1) * 1_000),
        }
    }

    /// The duration in microseconds.
    pub fn us(&self) -> u64 {
        self.us.load(Ordering::Relaxed)
    }

    fn record(&self, us: u64) {
        // Long durations are capped; otherwise a slow replica would raise the average and look
        // normal.
        let counted_us = us.min(self.us() * 3);
        let mean = (self.us() * 15 + counted_us) / 16;
        self.us.store(mean.max(1_000), Ordering::Relaxed);
    }
}

/// Calls of this process at one replica.
#[derive(Debug, Default)]
pub struct ReplicaLoad {
    calls: AtomicU32,
    background: AtomicU32,
    work_us: AtomicU64,
    slowness: AtomicU64,
    observed_ms: AtomicU64,
    failures: AtomicU32,
    ejected_until_ms: AtomicU64,
}

impl ReplicaLoad {
    /// Counts a call as in progress until the guard is dropped. `background` marks a call that no
    /// client waits for.
    pub fn begin(self: &Arc<Self>, typical_us: u64, background: bool) -> InFlightCall {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.work_us.fetch_add(typical_us, Ordering::Relaxed);
        if background {
            self.background.fetch_add(1, Ordering::Relaxed);
        }
        InFlightCall {
            load: Arc::clone(self),
            typical_us,
            background,
        }
    }

    /// Number of calls in progress.
    pub fn calls(&self) -> u32 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Number of calls in progress that no client waits for.
    pub fn background(&self) -> u32 {
        self.background.load(Ordering::Relaxed)
    }

    /// Records a complete answer.
    pub fn record_success(&self, typical: &TypicalDuration, took_us: u64, now_ms: u64) {
        let ratio =
            (took_us * BASELINE_THOUSANDTHS / typical.us().max(1)).min(SLOWNESS_MAX_THOUSANDTHS);
        typical.record(took_us);
        let mean = (self.slowness(now_ms) * (BASELINE_THOUSANDTHS - EWMA_WEIGHT_THOUSANDTHS)
            + ratio * EWMA_WEIGHT_THOUSANDTHS)
            / BASELINE_THOUSANDTHS;
        self.slowness.store(mean, Ordering::Relaxed);
        self.observed_ms.store(now_ms, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
        self.ejected_until_ms.store(0, Ordering::Relaxed);
    }

    /// Records that a call was hedged to another replica because this one had not answered after
    /// `waited_us`.
    pub fn record_hedge(&self, typical: &TypicalDuration, waited_us: u64, now_ms: u64) {
        let ratio =
            (waited_us * BASELINE_THOUSANDTHS / typical.us().max(1)).min(SLOWNESS_MAX_THOUSANDTHS);
        let mean = self
            .slowness(now_ms)
            .max((self.slowness(now_ms) + ratio) / 2);
        self.slowness.store(mean, Ordering::Relaxed);
        self.observed_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Records a failure that the replica caused: no connection, or a broken or late answer.
    pub fn record_failure(&self, now_ms: u64) {
        let in_a_row = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if in_a_row >= FAILURES_TO_EJECT {
            self.ejected_until_ms
                .store(now_ms + EJECTION_MS, Ordering::Relaxed);
        }
    }

    /// Whether the replica is ejected after consecutive failures.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms.load(Ordering::Relaxed)
    }

    /// Slowness in thousandths; 1,000 for a replica that is as fast as the others.
    pub fn slowness(&self, now_ms: u64) -> u64 {
        let stored = match self.slowness.load(Ordering::Relaxed) {
            0 => BASELINE_THOUSANDTHS,
            stored => stored,
        };
        let age_ms = now_ms.saturating_sub(self.observed_ms.load(Ordering::Relaxed));
        decayed(stored, BASELINE_THOUSANDTHS, age_ms, DECAY_HALF_LIFE_MS)
    }

    /// Expected time until a new call of `typical_us` completes at this replica, in arbitrary
    /// units.
    pub fn cost(&self, typical_us: u64, now_ms: u64) -> u64 {
        (self.work_us.load(Ordering::Relaxed) + typical_us) * self.slowness(now_ms)
    }
}

/// A call in progress; dropping it removes the call from the counts.
#[derive(Debug)]
pub struct InFlightCall {
    load: Arc<ReplicaLoad>,
    typical_us: u64,
    background: bool,
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.load.calls.fetch_sub(1, Ordering::Relaxed);
        self.load
            .work_us
            .fetch_sub(self.typical_us, Ordering::Relaxed);
        if self.background {
            self.load.background.fetch_sub(1, Ordering::Relaxed);
        }
    }
}
