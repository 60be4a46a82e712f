//! Limits of one customer on this entry: its share of what the customer was promised.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use derive::key;
use types::{Cause, Failure};

use crate::bucket::Bucket;
use crate::retry_after::retry_after_ms;

/// Time of the rate that may be used at once, in milliseconds.
const BURST_MS: u64 = 1_000;
/// When to come back after too many calls in progress: when one ends is not known.
const IN_PROGRESS_WAIT_MS: u64 = 500;

/// What a customer may use; `None` is no limit.
#[key]
#[derive(Default)]
pub struct CustomerLimits {
    /// Requests a second.
    pub requests_per_s: Option<u32>,
    /// Requests in progress.
    pub in_progress: Option<u32>,
    /// Prompt and generated tokens a second.
    pub tokens_per_s: Option<u32>,
}

/// One customer's use of this entry; shared by threads.
#[derive(Debug)]
pub struct Customer {
    requests: Bucket,
    tokens: Bucket,
    in_progress: AtomicU32,
    in_progress_max: AtomicU32,
    offered: AtomicU32,
}

impl Customer {
    /// A customer that has used nothing; `share` is this entry's part of the limits.
    pub fn new(limits: &CustomerLimits, share: f64) -> Self {
        let customer = Self {
            requests: Bucket::new(f64::INFINITY, BURST_MS),
            tokens: Bucket::new(f64::INFINITY, BURST_MS),
            in_progress: AtomicU32::new(0),
            in_progress_max: AtomicU32::new(u32::MAX),
            offered: AtomicU32::new(0),
        };
        customer.set(limits, share);
        customer
    }

    /// Puts other limits or another share of them in force.
    pub fn set(&self, limits: &CustomerLimits, share: f64) {
        let rate =
            |per_s: Option<u32>| per_s.map_or(f64::INFINITY, |per_s| f64::from(per_s) * share);
        self.requests.set_rate(rate(limits.requests_per_s));
        self.tokens.set_rate(rate(limits.tokens_per_s));
        // At least one, or an entry with a small share would refuse the customer for good.
        let part = |max: u32| (f64::from(max) * share).max(1.0) as u32;
        let in_progress_max = limits.in_progress.map_or(u32::MAX, part);
        self.in_progress_max
            .store(in_progress_max, Ordering::Relaxed);
    }

    /// Requests that came since the last call of this, refused ones too.
    pub fn take_offered(&self) -> u32 {
        self.offered.swap(0, Ordering::Relaxed)
    }

    /// Requests in progress now.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Lets in a request of `tokens` (prompt and the most that it may generate), or
    /// refuses it with the time to come back.
    pub fn enter(
        self: &Arc<Self>,
        tokens: u32,
        now_ms: u64,
        random: u64,
    ) -> Result<InProgress, Failure> {
        self.offered.fetch_add(1, Ordering::Relaxed);
        let refused = |wait_ms| {
            let back_ms = retry_after_ms(wait_ms, random);
            Failure::not_run(Cause::CustomerLimit).retry_after(back_ms)
        };
        let mut entered = self
            .count_in()
            .ok_or_else(|| refused(IN_PROGRESS_WAIT_MS))?;
        self.requests.take(1, now_ms).map_err(refused)?;
        if let Err(wait_ms) = self.tokens.take(tokens, now_ms) {
            self.requests.give_back(1);
            return Err(refused(wait_ms));
        }
        entered.tokens = tokens;
        Ok(entered)
    }

    fn count_in(self: &Arc<Self>) -> Option<InProgress> {
        let max = self.in_progress_max.load(Ordering::Relaxed);
        let more = |count: u32| (count < max).then_some(count + 1);
        let counted = self
            .in_progress
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, more);
        counted.ok().map(|_| InProgress {
            customer: Arc::clone(self),
            tokens: 0,
        })
    }
}

/// A request of a customer that is in progress; its drop ends it.
#[derive(Debug)]
pub struct InProgress {
    customer: Arc<Customer>,
    tokens: u32,
}

impl InProgress {
    /// Gives back the tokens that were taken and not used; 0 used if it was not run.
    pub fn used(&mut self, tokens: u32) {
        let unused = self.tokens.saturating_sub(tokens);
        self.tokens = self.tokens.min(tokens);
        self.customer.tokens.give_back(unused);
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.customer.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}
