//! Limits of one customer on this entry: its share of what the customer was promised.
//!
//! Background and sampling leave a part of it free. Without that a step's runs, which
//! all begin at once, use the share up, and the clerks of the same customer are refused
//! although it is far below its limits. Of a rate only the burst is kept back: what
//! interactive requests do not use goes to the other classes in full.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use derive::key;
use tokio::sync::{Notify, Semaphore};
use types::{Cause, Class, Failure};

use crate::bucket::TokenBucket;
use crate::offered::{OfferedByClass, OfferedCounters};
use crate::retry_after::retry_after_ms;

/// Time of the rate that may be used at once, in milliseconds.
const BURST_MS: u64 = 1_000;
/// When to come back after too many calls in progress: when one ends is not known.
const IN_PROGRESS_WAIT_MS: u64 = 500;

/// Part of the share that background leaves free, in thousandths.
const BACKGROUND_RESERVE_PERMILLE: u32 = 100;
/// The same for sampling.
const SAMPLING_RESERVE_PERMILLE: u32 = 300;

fn reserve_permille(class: Class) -> u32 {
    match class {
        Class::Interactive => 0,
        Class::Background => BACKGROUND_RESERVE_PERMILLE,
        Class::Sampling => SAMPLING_RESERVE_PERMILLE,
    }
}

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
    requests: TokenBucket,
    tokens: TokenBucket,
    in_progress: AtomicU32,
    in_progress_max: AtomicU32,
    calls: OfferedCounters,
    sampling: OfferedCounters,
    /// Whoever waits for room stands in this line; the first of it looks for room.
    turn: Semaphore,
    waiting: AtomicU32,
    freed: Notify,
}

/// What is in the way of a request.
enum LimitReached {
    InProgress,
    Rate { wait_ms: u64 },
}

impl LimitReached {
    fn wait_ms(&self) -> u64 {
        match self {
            LimitReached::InProgress => IN_PROGRESS_WAIT_MS,
            LimitReached::Rate { wait_ms } => *wait_ms,
        }
    }
}

impl Customer {
    /// A customer that has used nothing; `share` is this entry's part of the limits.
    pub fn new(limits: &CustomerLimits, share: f64) -> Self {
        let customer = Self {
            requests: TokenBucket::new(f64::INFINITY, BURST_MS),
            tokens: TokenBucket::new(f64::INFINITY, BURST_MS),
            in_progress: AtomicU32::new(0),
            in_progress_max: AtomicU32::new(u32::MAX),
            calls: OfferedCounters::default(),
            sampling: OfferedCounters::default(),
            turn: Semaphore::new(1),
            waiting: AtomicU32::new(0),
            freed: Notify::new(),
        };
        customer.set_limits(limits, share);
        customer
    }

    /// Puts other limits or another share of them in force.
    pub fn set_limits(&self, limits: &CustomerLimits, share: f64) {
        let rate =
            |per_s: Option<u32>| per_s.map_or(f64::INFINITY, |per_s| f64::from(per_s) * share);
        self.requests.set_rate(rate(limits.requests_per_s));
        self.tokens.set_rate(rate(limits.tokens_per_s));
        // At least one, or an entry with a small share would refuse the customer for good.
        let scaled = |max: u32| (f64::from(max) * share).max(1.0) as u32;
        let in_progress_max = limits.in_progress.map_or(u32::MAX, scaled);
        self.in_progress_max
            .store(in_progress_max, Ordering::Relaxed);
    }

    /// What was asked for since the last call of this.
    pub fn take_offered(&self) -> OfferedByClass {
        OfferedByClass {
            calls: self.calls.take(),
            sampling: self.sampling.take(),
        }
    }

    /// Requests in progress now.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Requests that wait in turn now.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Lets in a request of `tokens` (prompt and the most that it may generate), or
    /// refuses it with the time to come back.
    pub fn admit(
        self: &Arc<Self>,
        class: Class,
        tokens: u32,
        now_ms: u64,
        random: u64,
    ) -> Result<InProgress, Failure> {
        self.counts(class).record(tokens);
        self.try_admit(class, tokens, now_ms).map_err(|reached| {
            let back_ms = retry_after_ms(reached.wait_ms(), random);
            Failure::not_run(Cause::CustomerLimit).retry_after(back_ms)
        })
    }

    /// Counts a request in whose body is still to be read, and which is not known in full;
    /// [`Customer::enter`] follows. Refuses it with the time to come back.
    pub fn admit_pending_body(
        self: &Arc<Self>,
        class: Class,
        random: u64,
    ) -> Result<InProgress, Failure> {
        let back_ms = retry_after_ms(IN_PROGRESS_WAIT_MS, random);
        let refused = Failure::not_run(Cause::CustomerLimit).retry_after(back_ms);
        self.try_count_in_progress(class).ok_or(refused)
    }

    /// Lets in a request of `tokens` when there is room for it, in the order of arrival.
    pub async fn admit_in_turn(
        self: &Arc<Self>,
        class: Class,
        tokens: u32,
        clock: impl Fn() -> u64,
    ) -> InProgress {
        let counts = self.counts(class);
        counts.record(tokens);
        let _demand = DemandGuard::new(Arc::clone(self), class);
        let _waiting = WaitGuard::new(self);
        // The semaphore is never closed; without its permit the order alone is lost.
        let _first = self.turn.acquire().await;
        loop {
            let freed = self.freed.notified();
            match self.try_admit(class, tokens, clock()) {
                Ok(admitted) => return admitted,
                Err(reached) => {
                    let wait = Duration::from_millis(reached.wait_ms().max(1));
                    // The time also ends a wait whose limits were changed meanwhile.
                    let _ = tokio::time::timeout(wait, freed).await;
                }
            }
        }
    }

    fn try_admit(
        self: &Arc<Self>,
        class: Class,
        tokens: u32,
        now_ms: u64,
    ) -> Result<InProgress, LimitReached> {
        let reserve_permille = reserve_permille(class);
        let mut admitted = self
            .try_count_in_progress(class)
            .ok_or(LimitReached::InProgress)?;
        let reached = |wait_ms| LimitReached::Rate { wait_ms };
        let requests = self
            .requests
            .try_take_with_reserve(1, reserve_permille, now_ms);
        requests.map_err(reached)?;
        let taken = self
            .tokens
            .try_take_with_reserve(tokens, reserve_permille, now_ms);
        if let Err(wait_ms) = taken {
            self.requests.refund(1);
            return Err(LimitReached::Rate { wait_ms });
        }
        admitted.tokens = tokens;
        Ok(admitted)
    }

    fn try_count_in_progress(self: &Arc<Self>, class: Class) -> Option<InProgress> {
        let max = self.in_progress_max.load(Ordering::Relaxed);
        let left_free = u64::from(max) * u64::from(reserve_permille(class)) / 1_000;
        // At least one, or a small limit would shut the class out for good.
        let max = (max - left_free as u32).max(max.min(1));
        let increment = |count: u32| (count < max).then_some(count + 1);
        let counted =
            self.in_progress
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, increment);
        counted.ok().map(|_| InProgress {
            demand: DemandGuard::new(Arc::clone(self), class),
            tokens: 0,
        })
    }

    fn counts(&self, class: Class) -> &OfferedCounters {
        match class {
            Class::Interactive | Class::Background => &self.calls,
            Class::Sampling => &self.sampling,
        }
    }
}

/// A request that waits in turn while this lives.
struct WaitGuard<'a>(&'a Customer);

impl<'a> WaitGuard<'a> {
    fn new(customer: &'a Customer) -> Self {
        customer.waiting.fetch_add(1, Ordering::Relaxed);
        Self(customer)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that counts as demand while this lives.
#[derive(Debug)]
struct DemandGuard {
    customer: Arc<Customer>,
    class: Class,
}

impl DemandGuard {
    fn new(customer: Arc<Customer>, class: Class) -> Self {
        let counts = customer.counts(class);
        counts.in_progress.fetch_add(1, Ordering::Relaxed);
        Self { customer, class }
    }
}

impl Drop for DemandGuard {
    fn drop(&mut self) {
        let counts = self.customer.counts(self.class);
        counts.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request of a customer that is in progress; its drop ends it.
#[derive(Debug)]
pub struct InProgress {
    demand: DemandGuard,
    tokens: u32,
}

impl InProgress {
    /// Gives back the tokens that were taken and not used; 0 used if it was not run.
    pub fn refund_unused(&mut self, tokens: u32) {
        let unused = self.tokens.saturating_sub(tokens);
        self.tokens = self.tokens.min(tokens);
        self.demand.customer.tokens.refund(unused);
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let customer = &self.demand.customer;
        customer.in_progress.fetch_sub(1, Ordering::Relaxed);
        // Where nobody waits, the next one to wait looks once more for nothing.
        customer.freed.notify_one();
    }
}
