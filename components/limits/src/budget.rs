//! Retry budget of one customer.
//!
//! Retries are a share of first tries and a small constant, so a whole-service outage
//! multiplies the offered load by at most one plus the share, whatever each call may
//! still have left of its deadline.

use std::sync::atomic::{AtomicU64, Ordering};

use derive::value;

use crate::bucket::TokenBucket;

/// Cost of one retry in the thousandths that first tries earn.
const RETRY_COST: u64 = 1_000;

/// Settings of a retry budget.
#[value]
pub struct BudgetSettings {
    /// Retries that a thousand first tries earn.
    pub earned_permille: u32,
    /// Most earned retries that are kept.
    pub earned_max: u32,
    /// Retries at hand with no first tries, for a customer of few calls.
    pub base_retries: u32,
    /// Time in which the constant part comes back, in milliseconds.
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

/// Retries that a customer's calls have left; shared by threads.
#[derive(Debug)]
pub struct RetryBudget {
    earned_permille: u64,
    earned_max: u64,
    earned: AtomicU64,
    base_retries: TokenBucket,
}

impl RetryBudget {
    /// A budget with nothing earned yet.
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

    /// Counts a first try.
    pub fn record_first_attempt(&self) {
        let earn = |earned: u64| {
            let increased = (earned + self.earned_permille).min(self.earned_max);
            (increased != earned).then_some(increased)
        };
        // A full budget stays as it is.
        let _ = self
            .earned
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes one retry; false when none is left.
    pub fn try_spend(&self, now_ms: u64) -> bool {
        let deduct = |earned: u64| earned.checked_sub(RETRY_COST);
        let deducted = self
            .earned
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, deduct);
        deducted.is_ok() || self.base_retries.try_take(1, now_ms).is_ok()
    }
}
