//! Whether a model replica takes items of a model now.
//!
//! A replica that loads a version refuses items of that model for about a second, and every
//! item that waits would be refused there over and over. So after a refusal one item at a
//! time is tried, until one is taken. What is tried is the most urgent item, which loses time
//! at each refusal, so tries are rare; a replica's record tells when it has the version.

use std::sync::atomic::{AtomicU64, Ordering};

/// Pause between tries after a refusal, in milliseconds; a load takes twice as long and more.
const AGAIN_MS: u64 = 400;

/// What is known of a replica's willingness.
#[derive(Debug, Default)]
pub struct Admission {
    refused_ms: AtomicU64,
    taken_ms: AtomicU64,
    tried_ms: AtomicU64,
}

impl Admission {
    /// The replica refused an item, or broke one off.
    pub fn record_refusal(&self, now_ms: u64) {
        self.refused_ms.store(now_ms, Ordering::Relaxed);
        self.tried_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// The replica has another version than when it refused.
    pub fn reset(&self) {
        self.refused_ms.store(0, Ordering::Relaxed);
    }

    /// The replica makes an item.
    pub fn record_start(&self, now_ms: u64) {
        self.taken_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// An item is sent there.
    pub fn record_attempt(&self, now_ms: u64) {
        self.tried_ms.fetch_max(now_ms, Ordering::Relaxed);
    }

    /// How many of `free` places may be used now.
    pub fn usable_slots(&self, free: u32, now_ms: u64) -> u32 {
        let refused_ms = self.refused_ms.load(Ordering::Relaxed);
        if refused_ms == 0 || self.taken_ms.load(Ordering::Relaxed) > refused_ms {
            return free;
        }
        let next_ms = self.tried_ms.load(Ordering::Relaxed) + AGAIN_MS;
        if now_ms < next_ms { 0 } else { free.min(1) }
    }
}
