//! Limits the number of requests that wait for their claim.
//!
//! While they wait, such requests are not yet admitted by the service or counted against the
//! customer's limits. With an unresponsive log they wait for seconds, and would otherwise take
//! capacity from requests that do not need the log. The number of waiting requests is therefore
//! limited separately for each customer.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use types::{Cause, CustomerName, Failure};

/// Customers are distributed over this many counters by hash. Customers with the same counter share
/// its limit, which matters only while the log is failing.
const COUNTER_COUNT: u64 = 1_024;
const WAITING_PER_COUNTER_MAX: u32 = 256;
/// Sent to a request that was refused because of the limit.
const RETRY_AFTER_MS: u32 = 1_000;

/// Counts the requests that wait for their claim.
pub struct ClaimWaitLimit {
    counters: Arc<[AtomicU32]>,
}

/// A waiting request; it stops being counted when the guard is dropped.
pub struct ClaimWaitGuard {
    counters: Arc<[AtomicU32]>,
    index: usize,
}

impl Default for ClaimWaitLimit {
    fn default() -> Self {
        let counters = (0..COUNTER_COUNT).map(|_| AtomicU32::new(0));
        Self {
            counters: counters.collect(),
        }
    }
}

impl ClaimWaitLimit {
    /// Counts a waiting request. Refuses it as not run if the limit is reached.
    pub fn begin_wait(&self, customer: &CustomerName) -> Result<ClaimWaitGuard, Failure> {
        let index = (fnv1a(customer.as_str()) % COUNTER_COUNT) as usize;
        let guard = ClaimWaitGuard {
            counters: Arc::clone(&self.counters),
            index,
        };
        let previous = self.counters[index].fetch_add(1, Ordering::Relaxed);
        if previous >= WAITING_PER_COUNTER_MAX {
            return Err(Failure::not_run(Cause::QueueFull).retry_after(RETRY_AFTER_MS));
        }
        Ok(guard)
    }
}

impl Drop for ClaimWaitGuard {
    fn drop(&mut self) {
        self.counters[self.index].fetch_sub(1, Ordering::Relaxed);
    }
}

/// 64-bit FNV-1a.
fn fnv1a(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    text.bytes().fold(OFFSET, step)
}
