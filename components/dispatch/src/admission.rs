//! Limits attempts at a model replica that has refused items of a model.
//!
//! While a replica loads a version of the weights, it refuses items of that model for about a
//! second. Without a limit, every waiting item would be sent there and refused again and again.
//! After a refusal, this module therefore admits one item at a time until the replica starts one.
//! That item is the most urgent one and loses time with each refusal, so attempts are rare. No
//! attempt is needed to find out when the replica has the new version: its record in the store says
//! so.

use std::sync::atomic::{AtomicU64, Ordering};

/// Interval between attempts after a refusal. Loading a version takes at least twice as long.
const RETRY_INTERVAL_MS: u64 = 400;

/// What one replica has refused and started of one model.
#[derive(Debug, Default)]
pub struct Admission {
    refused_ms: AtomicU64,
    started_ms: AtomicU64,
    attempted_ms: AtomicU64,
}

impl Admission {
    /// Records that the replica refused an item or interrupted its run.
    pub fn record_refusal(&self, now_ms: u64) {
        self.refused_ms.store(now_ms, Ordering::Relaxed);
        self.attempted_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// Lifts the limit; called when the replica's version has changed since the refusal.
    pub fn reset(&self) {
        self.refused_ms.store(0, Ordering::Relaxed);
    }

    /// Records that the replica has started to generate an item.
    pub fn record_start(&self, now_ms: u64) {
        self.started_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// Records that an item is being sent to the replica.
    pub fn record_attempt(&self, now_ms: u64) {
        self.attempted_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// Whether the replica has refused an item and has started none since.
    pub fn is_refusing(&self) -> bool {
        let refused_ms = self.refused_ms.load(Ordering::Relaxed);
        refused_ms > 0 && self.started_ms.load(Ordering::Relaxed) <= refused_ms
    }

    /// Number of the replica's `free` slots that may be used now: all of them, or after a refusal
    /// at most one per retry interval.
    pub fn usable_slots(&self, free: u32, now_ms: u64) -> u32 {
        if !self.is_refusing() {
            return free;
        }
        let next_ms = self.attempted_ms.load(Ordering::Relaxed) + RETRY_INTERVAL_MS;
        if now_ms < next_ms { 0 } else { free.min(1) }
    }
}
