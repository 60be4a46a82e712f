//! What this process has at a replica, and how slow the replica is against its like.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use crate::fade::faded;

/// Slowness is kept in thousandths; a replica like the others has this much.
const EVEN: u64 = 1_000;
/// Share of a new observation in the mean, in thousandths: a slow replica is known after
/// three answers.
const SHARE: u64 = 300;
/// How fast a replica's slowness is forgotten, in milliseconds for half of it, so that a
/// replica that was slow is tried again gently.
const FORGET_HALF_MS: u64 = 3_000;
/// Failures in a row after which a replica is left out.
const FAILURES_MAX: u32 = 2;
/// How long it is left out, in milliseconds; a replica that crashed is back after seconds,
/// and one call may find that out.
const LEFT_OUT_MS: u64 = 1_500;
/// Most slowness that one answer can show, in thousandths, against outliers.
const SLOWEST: u64 = 10_000;

/// How long a call of some kind takes as a rule.
#[derive(Debug)]
pub struct TypicalDuration {
    us: AtomicU64,
}

impl TypicalDuration {
    /// Starts from a guess, in milliseconds.
    pub fn new(guess_ms: u64) -> Self {
        Self {
            us: AtomicU64::new(guess_ms.max(1) * 1_000),
        }
    }

    /// In microseconds.
    pub fn us(&self) -> u64 {
        self.us.load(Ordering::Relaxed)
    }

    fn record(&self, us: u64) {
        // Slow ones count less, or one slow replica would hide itself.
        let seen = us.min(self.us() * 3);
        let mean = (self.us() * 15 + seen) / 16;
        self.us.store(mean.max(1_000), Ordering::Relaxed);
    }
}

/// What this process has at one replica.
#[derive(Debug, Default)]
pub struct ReplicaLoad {
    calls: AtomicU32,
    background: AtomicU32,
    work_us: AtomicU64,
    slowness: AtomicU64,
    observed_ms: AtomicU64,
    failures: AtomicU32,
    left_out_until_ms: AtomicU64,
}

impl ReplicaLoad {
    /// Counts a call in until the guard is dropped.
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

    /// Calls in progress.
    pub fn calls(&self) -> u32 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Calls in progress for which nobody waits.
    pub fn background(&self) -> u32 {
        self.background.load(Ordering::Relaxed)
    }

    /// Takes a whole answer.
    pub fn record_success(&self, typical: &TypicalDuration, took_us: u64, now_ms: u64) {
        let ratio = (took_us * EVEN / typical.us().max(1)).min(SLOWEST);
        typical.record(took_us);
        let mean = (self.slowness(now_ms) * (EVEN - SHARE) + ratio * SHARE) / EVEN;
        self.slowness.store(mean, Ordering::Relaxed);
        self.observed_ms.store(now_ms, Ordering::Relaxed);
        self.failures.store(0, Ordering::Relaxed);
        self.left_out_until_ms.store(0, Ordering::Relaxed);
    }

    /// Takes a call that was given to another replica for lack of an answer after this time.
    pub fn record_hedge(&self, typical: &TypicalDuration, waited_us: u64, now_ms: u64) {
        let ratio = (waited_us * EVEN / typical.us().max(1)).min(SLOWEST);
        let mean = self
            .slowness(now_ms)
            .max((self.slowness(now_ms) + ratio) / 2);
        self.slowness.store(mean, Ordering::Relaxed);
        self.observed_ms.store(now_ms, Ordering::Relaxed);
    }

    /// Takes a failure that is the replica's: no connection, a broken or late answer.
    pub fn record_failure(&self, now_ms: u64) {
        let row = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        if row >= FAILURES_MAX {
            self.left_out_until_ms
                .store(now_ms + LEFT_OUT_MS, Ordering::Relaxed);
        }
    }

    /// Whether it is left out now.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.left_out_until_ms.load(Ordering::Relaxed)
    }

    /// Slowness in thousandths, 1,000 for a replica like the others.
    pub fn slowness(&self, now_ms: u64) -> u64 {
        let kept = match self.slowness.load(Ordering::Relaxed) {
            0 => EVEN,
            kept => kept,
        };
        let age_ms = now_ms.saturating_sub(self.observed_ms.load(Ordering::Relaxed));
        faded(kept, EVEN, age_ms, FORGET_HALF_MS)
    }

    /// Expected time until a new call of `typical_us` ends here, in arbitrary units.
    pub fn cost(&self, typical_us: u64, now_ms: u64) -> u64 {
        (self.work_us.load(Ordering::Relaxed) + typical_us) * self.slowness(now_ms)
    }
}

/// A call in progress; counted out when dropped.
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
