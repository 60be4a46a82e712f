//! Token bucket in one atomic integer.
//!
//! It implements the generic cell rate algorithm: the integer is the time at which the bucket will
//! be full again. Taking units moves that time into the future, and refilling needs no update. An
//! idle customer therefore costs nothing, and a decision takes one compare-and-swap.

use std::sync::atomic::{AtomicU64, Ordering};

const NS_PER_MS: u64 = 1_000_000;
const NS_PER_S: u64 = 1_000_000_000;

/// Rate limiter with a burst, shared by threads.
#[derive(Debug)]
pub struct TokenBucket {
    full_at_ns: AtomicU64,
    /// Time in which one unit is refilled; 0 means no limit.
    unit_ns: AtomicU64,
    burst_ns: u64,
}

impl TokenBucket {
    /// A full bucket that is refilled at `per_s` units per second and holds the units of
    /// `burst_ms` milliseconds.
    pub fn new(per_s: f64, burst_ms: u64) -> Self {
        let bucket = Self {
            full_at_ns: AtomicU64::new(0),
            unit_ns: AtomicU64::new(0),
            burst_ns: burst_ms * NS_PER_MS,
        };
        bucket.set_rate(per_s);
        bucket
    }

    /// A bucket that never refuses.
    pub fn unlimited() -> Self {
        Self::new(f64::INFINITY, 0)
    }

    /// Changes the rate. The time until the bucket is full again stays the same.
    pub fn set_rate(&self, per_s: f64) {
        let unit_ns = NS_PER_S as f64 / per_s.max(f64::MIN_POSITIVE);
        self.unit_ns.store(unit_ns as u64, Ordering::Relaxed);
    }

    /// Takes `units`. If they are not available, returns the time in milliseconds after which they
    /// will be. More units than the bucket holds can be taken when it is full; it then takes
    /// accordingly longer to refill.
    pub fn try_take(&self, units: u32, now_ms: u64) -> Result<(), u64> {
        self.try_take_with_reserve(units, 0, now_ms)
    }

    /// As [`TokenBucket::try_take`], but leaves `reserve_permille` thousandths of a full bucket in
    /// the bucket. More units than the remainder can be taken when the bucket is full.
    pub fn try_take_with_reserve(
        &self,
        units: u32,
        reserve_permille: u32,
        now_ms: u64,
    ) -> Result<(), u64> {
        let reserve_ns = self.burst_ns / 1_000 * u64::from(reserve_permille.min(1_000));
        let unit_ns = self.unit_ns.load(Ordering::Relaxed);
        let cost_ns = unit_ns.saturating_mul(u64::from(units));
        let now_ns = now_ms * NS_PER_MS;
        let mut full_at_ns = self.full_at_ns.load(Ordering::Relaxed);
        loop {
            let start_ns = full_at_ns.max(now_ns);
            let next_ns = start_ns.saturating_add(cost_ns);
            // A cost above the burst could never be met, so it is accepted when the bucket is full.
            let room_ns = (self.burst_ns - reserve_ns).max(cost_ns);
            let excess_ns = next_ns.saturating_sub(now_ns.saturating_add(room_ns));
            if excess_ns > 0 {
                return Err(excess_ns.div_ceil(NS_PER_MS));
            }
            let updated = self.full_at_ns.compare_exchange_weak(
                full_at_ns,
                next_ns,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
            match updated {
                Ok(_) => return Ok(()),
                Err(current_ns) => full_at_ns = current_ns,
            }
        }
    }

    /// Returns units to the bucket that were taken and not used.
    pub fn refund(&self, units: u32) {
        let unit_ns = self.unit_ns.load(Ordering::Relaxed);
        let cost_ns = unit_ns.saturating_mul(u64::from(units));
        let reduced = |full_at_ns: u64| Some(full_at_ns.saturating_sub(cost_ns));
        // The closure always returns a value, so the update cannot fail.
        let _ = self
            .full_at_ns
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, reduced);
    }
}
