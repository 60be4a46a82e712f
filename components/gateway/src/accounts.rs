//! What the entry keeps of each customer: its limits, its weight in the fair queue and
//! its budget of retries. Rebuilt on a tick from the configuration in force; the path of
//! a request only reads.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::ArcSwap;
use config::{Limits, View};
use limits::{BudgetSettings, Customer, CustomerLimits, RetryBudget, demand};
use types::CustomerName;

/// One customer as this entry sees it.
#[derive(Debug)]
pub struct Account {
    /// Its limits and its use of them.
    pub customer: Arc<Customer>,
    /// Retries that its requests have left.
    pub budget: RetryBudget,
    weight: AtomicU32,
}

impl Account {
    fn new() -> Self {
        Self {
            customer: Arc::new(Customer::new(&CustomerLimits::default(), 1.0)),
            budget: RetryBudget::new(&BudgetSettings::default()),
            weight: AtomicU32::new(1),
        }
    }

    /// Its share in the fair queue.
    pub fn weight(&self) -> u32 {
        self.weight.load(Ordering::Relaxed)
    }

    fn set(&self, limits: &Limits, share: f64) {
        self.weight.store(limits.weight, Ordering::Relaxed);
        self.customer.set(&whole(limits), share);
    }
}

/// What the customer may use on all entries together.
fn whole(limits: &Limits) -> CustomerLimits {
    CustomerLimits {
        requests_per_s: Some(limits.requests_per_s),
        in_progress: Some(limits.in_progress),
        tokens_per_s: Some(limits.tokens_per_s),
    }
}

/// All customers of the configuration in force.
#[derive(Default)]
pub struct Accounts {
    accounts: ArcSwap<HashMap<CustomerName, Arc<Account>>>,
}

impl Accounts {
    /// A customer's account, unless the configuration does not name it.
    pub fn get(&self, customer: &CustomerName) -> Option<Arc<Account>> {
        self.accounts.load().get(customer).cloned()
    }

    /// Takes a new configuration in. `share` is this entry's part of a customer's limits.
    pub fn refresh(&self, view: &View, share: impl Fn(&CustomerName) -> f64) {
        let old = self.accounts.load();
        let mut next = HashMap::new();
        for (name, customer) in view.customers() {
            let known = old.get(name).cloned();
            let account = known.unwrap_or_else(|| Arc::new(Account::new()));
            account.set(&customer.limits, share(name));
            next.insert(name.clone(), account);
        }
        self.accounts.store(Arc::new(next));
    }

    /// What each customer asked of this entry in the last `elapsed_ms` milliseconds, as a
    /// part of its limits.
    pub fn demands(&self, view: &View, elapsed_ms: u64) -> Vec<(CustomerName, f64)> {
        let accounts = self.accounts.load();
        let named = view.customers().filter_map(|(name, customer)| {
            let account = accounts.get(name)?;
            let asked = account.customer.take_asked();
            let part = demand(&whole(&customer.limits), &asked, elapsed_ms);
            Some((name.clone(), part))
        });
        named.collect()
    }
}
