//! Per-customer state of the entry: limits, weight in the fair queue and retry budget.
//!
//! A periodic task rebuilds this state from the active configuration; request handlers only
//! read it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::ArcSwap;
use config::{Limits, View};
use limits::{BudgetSettings, Customer, CustomerLimits, RetryBudget, demand};
use settings::Ceilings;
use types::CustomerName;

use crate::body_budget::BodyUse;
use crate::training::TrainingCalls;

/// State of one customer on this entry.
#[derive(Debug)]
pub struct Account {
    /// Limits of the customer and their current usage.
    pub customer: Arc<Customer>,
    /// Limits how many retries the customer's requests may cause.
    pub retry_budget: RetryBudget,
    /// Bytes of request bodies that are held for the customer.
    pub body_use: Arc<BodyUse>,
    /// Training calls of the customer in progress on this entry.
    pub training: TrainingCalls,
    weight: AtomicU32,
}

impl Account {
    fn new(budget: &BudgetSettings) -> Self {
        Self {
            customer: Arc::new(Customer::new(&CustomerLimits::default(), 1.0)),
            retry_budget: RetryBudget::new(budget),
            body_use: Arc::default(),
            training: TrainingCalls::default(),
            weight: AtomicU32::new(1),
        }
    }

    /// Weight of the customer in the fair queues of services.
    pub fn weight(&self) -> u32 {
        self.weight.load(Ordering::Relaxed)
    }

    fn update(&self, limits: &Limits, ceilings: &Ceilings, share: f64) {
        let weight = capped(limits.weight, ceilings.weight);
        self.weight.store(weight, Ordering::Relaxed);
        self.customer
            .set_limits(&effective_limits(limits, ceilings), share);
    }
}

/// Limits of the customer over all entries: the values from the customer's own configuration,
/// capped by the platform operator's ceilings.
fn effective_limits(limits: &Limits, ceilings: &Ceilings) -> CustomerLimits {
    let of = |stated, ceiling| Some(capped(stated, ceiling));
    CustomerLimits {
        requests_per_s: of(limits.requests_per_s, ceilings.requests_per_s),
        in_progress: of(limits.in_progress, ceilings.in_progress),
        tokens_per_s: of(limits.tokens_per_s, ceilings.tokens_per_s),
    }
}

fn capped(stated: u32, ceiling: Option<u32>) -> u32 {
    ceiling.map_or(stated, |ceiling| stated.min(ceiling))
}

/// Accounts of all customers in the active configuration.
#[derive(Default)]
pub struct Accounts {
    accounts: ArcSwap<HashMap<CustomerName, Arc<Account>>>,
    ceilings: Ceilings,
    budget: BudgetSettings,
}

impl Accounts {
    /// Creates an empty set; [`Accounts::refresh`] adds the customers.
    pub fn new(ceilings: Ceilings, budget: BudgetSettings) -> Self {
        Self {
            accounts: ArcSwap::default(),
            ceilings,
            budget,
        }
    }

    /// Returns a customer's account, or `None` if the configuration does not contain the customer.
    pub fn get(&self, customer: &CustomerName) -> Option<Arc<Account>> {
        self.accounts.load().get(customer).cloned()
    }

    /// Applies a new configuration. `share` returns the fraction of a customer's limits that this
    /// entry may use.
    pub fn refresh(&self, view: &View, share: impl Fn(&CustomerName) -> f64) {
        let old = self.accounts.load();
        let mut next = HashMap::new();
        for (name, customer) in view.customers() {
            let known = old.get(name).cloned();
            let account = known.unwrap_or_else(|| Arc::new(Account::new(&self.budget)));
            account.update(&customer.limits, &self.ceilings, share(name));
            next.insert(name.clone(), account);
        }
        self.accounts.store(Arc::new(next));
    }

    /// Returns each customer's offered load on this entry during the last `elapsed_ms`
    /// milliseconds, as a fraction of the customer's limits.
    pub fn demands(&self, view: &View, elapsed_ms: u64) -> Vec<(CustomerName, f64)> {
        let accounts = self.accounts.load();
        let named = view.customers().filter_map(|(name, customer)| {
            let account = accounts.get(name)?;
            let offered = account.customer.take_offered();
            let part = demand(
                &effective_limits(&customer.limits, &self.ceilings),
                &offered,
                elapsed_ms,
            );
            Some((name.clone(), part))
        });
        named.collect()
    }
}
