//! Room for requests that wait for their claim.
//!
//! They hold nothing of the service or of the customer's limits yet: with a silent log they
//! wait for seconds, and would else take the places of requests that need no log. So what
//! waits is bounded here, for each customer on its own.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use types::{Cause, CustomerName, Failure};

/// Counters. Two customers that share one bound each other, only while the log fails.
const COUNTERS: u64 = 1_024;
/// Requests of one counter that wait at most.
const WAITING_MAX: u32 = 256;
/// When a request that found no room may come back, in milliseconds.
const BACK_MS: u32 = 1_000;

/// Counts the requests that wait for their claim.
pub struct ClaimRoom {
    counters: Arc<[AtomicU32]>,
}

/// One place; dropped, it is free again.
pub struct Place {
    counters: Arc<[AtomicU32]>,
    at: usize,
}

impl Default for ClaimRoom {
    fn default() -> Self {
        let counters = (0..COUNTERS).map(|_| AtomicU32::new(0));
        Self {
            counters: counters.collect(),
        }
    }
}

impl ClaimRoom {
    /// Takes a place, or refuses the request as not run.
    pub fn enter(&self, customer: &CustomerName) -> Result<Place, Failure> {
        let at = (hash(customer.as_str()) % COUNTERS) as usize;
        let place = Place {
            counters: Arc::clone(&self.counters),
            at,
        };
        let before = self.counters[at].fetch_add(1, Ordering::Relaxed);
        if before >= WAITING_MAX {
            return Err(Failure::not_run(Cause::QueueFull).retry_after(BACK_MS));
        }
        Ok(place)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.counters[self.at].fetch_sub(1, Ordering::Relaxed);
    }
}

/// FNV-1a.
fn hash(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    text.bytes().fold(OFFSET, step)
}
