//! Retry budget of one customer.
//!
//! The number of retries is limited to a share of the first attempts plus a small constant rate.
//! An outage of a whole service therefore multiplies the offered load by at most one plus the
//! share, however much time the calls have left until their deadlines.

use std::sync::atomic::{AtomicU64, Ordering};

use derive::value;

use crate::bucket::TokenBucket;

/// Cost of one retry, in the thousandths of a retry that first attempts earn.
const RETRY_COST: u64 = 1_000;

/// Settings of a retry budget.
#[value]
pub struct BudgetSettings {
    /// Number of retries that a thousand first attempts earn.
    pub earned_permille: u32,
    /// Maximum number of earned retries that are accumulated.
    pub earned_max: u32,
    /// Number of retries that are available without first attempts, for customers with few calls.
    pub base_retries: u32,
    /// Time in which `base_retries` are refilled, in milliseconds.
    pub base_period_ms: u64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            earned_permille: 100,
            earned_max: 100,
            base_retries: 10,
            base_period_ms: 10_000,
        }
    }
}

/// Retries that are available to a customer's calls; shared by threads.
#[derive(Debug)]
pub struct RetryBudget {
    earned_permille: u64,
    earned_max: u64,
    earned: AtomicU64,
    base_retries: TokenBucket,
}

impl RetryBudget {
    /// A budget without earned retries.
    pub fn new(settings: &BudgetSettings) -> Self {
        const MS_PER_S: f64 = 1_000.0;
        let base_period_s = settings.base_period_ms.max(1) as f64 / MS_PER_S;
        let base_per_s = f64::from(settings.base_retries) / base_period_s;
        Self {
            earned_permille: u64::from(settings.earned_permille),
            earned_max: u64::from(settings.earned_max) * RETRY_COST,
            earned: AtomicU64::new(0),
            base_retries: TokenBucket::new(base_per_s, settings.base_period_ms),
        }
    }

    /// Counts the first attempt of a call, which earns a part of a retry.
    pub fn record_first_attempt(&self) {
        let earn = |earned: u64| {
            let increased = (earned + self.earned_permille).min(self.earned_max);
            (increased != earned).then_some(increased)
        };
        // The closure returns `None` when the budget is full, and the value stays unchanged.
        let _ = self
            .earned
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes one retry from the budget; false if the budget is exhausted.
    pub fn try_spend(&self, now_ms: u64) -> bool {
        let deduct = |earned: u64| earned.checked_sub(RETRY_COST);
        let deducted = self
            .earned
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, deduct);
        deducted.is_ok() || self.base_retries.try_take(1, now_ms).is_ok()
    }
}
