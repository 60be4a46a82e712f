//! Retry budget of one customer.
//!
//! Retries are a share of first tries and a small constant, so a whole-service outage
//! multiplies the offered load by at most one plus the share, whatever each call may
//! still have left of its deadline.

use std::sync::atomic::{AtomicU64, Ordering};

use derive::value;

use crate::bucket::Bucket;

/// Cost of one retry in the thousandths that first tries earn.
const RETRY: u64 = 1_000;

/// Settings of a retry budget.
#[value]
pub struct BudgetSettings {
    /// Retries that a thousand first tries earn.
    pub permille: u32,
    /// Most earned retries that are kept.
    pub kept_max: u32,
    /// Retries at hand with no first tries, for a customer of few calls.
    pub constant: u32,
    /// Time in which the constant part comes back, in milliseconds.
    pub constant_ms: u64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            permille: 100,
            kept_max: 100,
            constant: 10,
            constant_ms: 10_000,
        }
    }
}

/// Retries that a customer's calls have left; shared by threads.
#[derive(Debug)]
pub struct RetryBudget {
    permille: u64,
    kept_max: u64,
    earned: AtomicU64,
    constant: Bucket,
}

impl RetryBudget {
    /// A budget with nothing earned yet.
    pub fn new(settings: &BudgetSettings) -> Self {
        const MS_PER_S: f64 = 1_000.0;
        let constant_s = settings.constant_ms.max(1) as f64 / MS_PER_S;
        let constant_per_s = f64::from(settings.constant) / constant_s;
        Self {
            permille: u64::from(settings.permille),
            kept_max: u64::from(settings.kept_max) * RETRY,
            earned: AtomicU64::new(0),
            constant: Bucket::new(constant_per_s, settings.constant_ms),
        }
    }

    /// Counts a first try.
    pub fn first_try(&self) {
        let earn = |earned: u64| {
            let more = (earned + self.permille).min(self.kept_max);
            (more != earned).then_some(more)
        };
        // A full budget stays as it is.
        let _ = self
            .earned
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn);
    }

    /// Takes one retry; false when none is left.
    pub fn spend(&self, now_ms: u64) -> bool {
        let pay = |earned: u64| earned.checked_sub(RETRY);
        let paid = self
            .earned
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, pay);
        paid.is_ok() || self.constant.take(1, now_ms).is_ok()
    }
}
