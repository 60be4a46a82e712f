//! Token bucket in one atomic number.
//!
//! The generic cell rate algorithm: the number is the time at which the bucket will be
//! full again. Taking moves it on, the passing of time needs no update, so an idle
//! customer costs nothing and a decision is one compare-and-swap.

use std::sync::atomic::{AtomicU64, Ordering};

const NS_PER_MS: u64 = 1_000_000;
const NS_PER_S: u64 = 1_000_000_000;

/// A rate with a burst, shared by threads.
#[derive(Debug)]
pub struct TokenBucket {
    full_at_ns: AtomicU64,
    /// Time that one unit stands for; 0 is no limit.
    unit_ns: AtomicU64,
    burst_ns: u64,
}

impl TokenBucket {
    /// A full bucket of `per_s` units a second that holds `burst_ms` of them.
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

    /// Changes the rate; what was taken stays taken.
    pub fn set_rate(&self, per_s: f64) {
        let unit_ns = NS_PER_S as f64 / per_s.max(f64::MIN_POSITIVE);
        self.unit_ns.store(unit_ns as u64, Ordering::Relaxed);
    }

    /// Takes `units`, or says in how many milliseconds they can be had. More than a
    /// whole bucket is given when it is full, and paid off afterwards.
    pub fn try_take(&self, units: u32, now_ms: u64) -> Result<(), u64> {
        self.try_take_with_reserve(units, 0, now_ms)
    }

    /// The same, but `reserve_permille` thousandths of a full bucket stay in it. More
    /// than the rest is given when the bucket is full.
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
            // A cost above the burst would never fit; it passes when the bucket is full.
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

    /// Gives back units that were taken and not used.
    pub fn refund(&self, units: u32) {
        let unit_ns = self.unit_ns.load(Ordering::Relaxed);
        let cost_ns = unit_ns.saturating_mul(u64::from(units));
        let reduced = |full_at_ns: u64| Some(full_at_ns.saturating_sub(cost_ns));
        // The closure always gives a number, so the update cannot fail.
        let _ = self
            .full_at_ns
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, reduced);
    }
}
