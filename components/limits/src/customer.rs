//! Limits of one customer at this entry: the entry's share of the customer's limits.
//!
//! The classes background and sampling leave a part of the share free. Otherwise the runs of a
//! training step, which all start at the same time, would use up the share of this entry, and
//! interactive requests of the same customer would be refused although the customer is far below
//! its limits. Of a rate limit only a part of the burst is reserved, so background and sampling
//! can use the full rate when there are no interactive requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use derive::key;
use tokio::sync::{Notify, Semaphore};
use types::{Cause, Class, Failure};

use crate::bucket::TokenBucket;
use crate::offered::{OfferedByClass, OfferedCounters};
use crate::retry_after::retry_after_ms;

/// Burst of the rate limits: the time whose units may be used at once.
const BURST_MS: u64 = 1_000;
/// Time to retry after a refusal for too many requests in progress. It is fixed because the time
/// at which a request ends is unknown.
const IN_PROGRESS_WAIT_MS: u64 = 500;

/// Part of the share that background requests leave free, in thousandths.
const BACKGROUND_RESERVE_PERMILLE: u32 = 100;
/// Part of the share that sampling requests leave free, in thousandths.
const SAMPLING_RESERVE_PERMILLE: u32 = 300;

fn reserve_permille(class: Class) -> u32 {
    match class {
        Class::Interactive => 0,
        Class::Background => BACKGROUND_RESERVE_PERMILLE,
        Class::Sampling => SAMPLING_RESERVE_PERMILLE,
    }
}

/// Limits of a customer over all entries; `None` means no limit.
#[key]
#[derive(Default)]
pub struct CustomerLimits {
    /// Maximum number of requests per second.
    pub requests_per_s: Option<u32>,
    /// Maximum number of requests in progress.
    pub in_progress: Option<u32>,
    /// Maximum number of prompt and generated tokens per second.
    pub tokens_per_s: Option<u32>,
}

/// Limits of one customer at this entry and their current use; shared by threads.
#[derive(Debug)]
pub struct Customer {
    requests: TokenBucket,
    tokens: TokenBucket,
    in_progress: AtomicU32,
    in_progress_max: AtomicU32,
    calls: OfferedCounters,
    sampling: OfferedCounters,
    /// Held by the first of the waiting requests; the others wait for it in order of arrival.
    turn: Semaphore,
    waiting: AtomicU32,
    freed: Notify,
}

/// Limit that a request exceeds.
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
    /// A customer without requests. `share` is this entry's share of the limits, from 0 to 1.
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

    /// Changes the limits or this entry's share of them.
    pub fn set_limits(&self, limits: &CustomerLimits, share: f64) {
        let rate =
            |per_s: Option<u32>| per_s.map_or(f64::INFINITY, |per_s| f64::from(per_s) * share);
        self.requests.set_rate(rate(limits.requests_per_s));
        self.tokens.set_rate(rate(limits.tokens_per_s));
        // At least one, or an entry with a small share would refuse every request of the customer.
        let scaled = |max: u32| (f64::from(max) * share).max(1.0) as u32;
        let in_progress_max = limits.in_progress.map_or(u32::MAX, scaled);
        self.in_progress_max
            .store(in_progress_max, Ordering::Relaxed);
    }

    /// The load that was offered since the last call of this method.
    pub fn take_offered(&self) -> OfferedByClass {
        OfferedByClass {
            calls: self.calls.take(),
            sampling: self.sampling.take(),
        }
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> u32 {
        self.in_progress.load(Ordering::Relaxed)
    }

    /// Number of requests that wait in [`Customer::admit_in_turn`].
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Admits a request of `tokens` tokens (prompt and the maximum of generated tokens), or
    /// refuses it with a time to retry after. `random` spreads that time.
    pub fn admit(
        self: &Arc<Self>,
        class: Class,
        tokens: u32,
        now_ms: u64,
        random: u64,
    ) -> Result<InProgress, Failure> {
        self.counts(class).record(tokens);
        self.try_admit(class, tokens, now_ms).map_err(|reached| {
            let retry_ms = retry_after_ms(reached.wait_ms(), random);
            Failure::not_run(Cause::CustomerLimit).retry_after(retry_ms)
        })
    }

    /// Counts a request as in progress whose body has not been read yet, so that its tokens are
    /// unknown; [`Customer::admit`] follows when they are known. Refuses the request with a time to
    /// retry after if too many are in progress.
    pub fn admit_pending_body(
        self: &Arc<Self>,
        class: Class,
        random: u64,
    ) -> Result<InProgress, Failure> {
        let retry_ms = retry_after_ms(IN_PROGRESS_WAIT_MS, random);
        let refused = Failure::not_run(Cause::CustomerLimit).retry_after(retry_ms);
        self.try_count_in_progress(class).ok_or(refused)
    }

    /// Waits until the limits allow a request of `tokens` tokens and admits it. Requests are
    /// admitted in order of arrival.
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
        // The semaphore is never closed. If it were, requests would only lose their order.
        let _first = self.turn.acquire().await;
        loop {
            let freed = self.freed.notified();
            match self.try_admit(class, tokens, clock()) {
                Ok(admitted) => return admitted,
                Err(reached) => {
                    let wait = Duration::from_millis(reached.wait_ms().max(1));
                    // The timeout is also needed because a change of the limits does not notify.
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
        // At least one, or a small limit would exclude the class entirely.
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

/// Guard that counts a request as waiting until it is dropped.
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

/// Guard that counts a request in the offered load of its class until it is dropped.
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

/// Guard of a customer's request in progress; the request ends when it is dropped.
#[derive(Debug)]
pub struct InProgress {
    demand: DemandGuard,
    tokens: u32,
}

impl InProgress {
    /// Refunds to the customer's rate limit the tokens that the request took and did not use.
    /// `used_tokens` is 0 if the request was not run.
    pub fn refund_unused(&mut self, used_tokens: u32) {
        let unused = self.tokens.saturating_sub(used_tokens);
        self.tokens = self.tokens.min(used_tokens);
        self.demand.customer.tokens.refund(unused);
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let customer = &self.demand.customer;
        customer.in_progress.fetch_sub(1, Ordering::Relaxed);
        // If no request waits, the stored notification costs the next one a superfluous check.
        customer.freed.notify_one();
    }
}
