//! What the entry keeps of each customer: its limits, its weight in the fair queue and
//! its budget of retries. Rebuilt on a tick from the configuration in force; the path of
//! a request only reads.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use arc_swap::ArcSwap;
use config::{Limits, View};
use limits::{BudgetSettings, Customer, CustomerLimits, RetryBudget, demand};
use settings::Ceilings;
use types::CustomerName;

use crate::body_budget::BodyUse;
use crate::training::Places;

/// One customer as this entry sees it.
#[derive(Debug)]
pub struct Account {
    /// Its limits and its use of them.
    pub customer: Arc<Customer>,
    /// Retries that its requests have left.
    pub retry_budget: RetryBudget,
    /// Its requests' bodies.
    pub body_use: Arc<BodyUse>,
    /// Its training calls in progress here.
    pub training: Places,
    weight: AtomicU32,
}

impl Account {
    fn new(budget: &BudgetSettings) -> Self {
        Self {
            customer: Arc::new(Customer::new(&CustomerLimits::default(), 1.0)),
            retry_budget: RetryBudget::new(budget),
            body_use: Arc::default(),
            training: Places::default(),
            weight: AtomicU32::new(1),
        }
    }

    /// Its share in the fair queue.
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

/// What the customer may use on all entries together: what its text says, which it writes
/// itself, and no more than the operator of the platform allows.
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

/// All customers of the configuration in force.
#[derive(Default)]
pub struct Accounts {
    accounts: ArcSwap<HashMap<CustomerName, Arc<Account>>>,
    ceilings: Ceilings,
    budget: BudgetSettings,
}

impl Accounts {
    /// No customer yet.
    pub fn new(ceilings: Ceilings, budget: BudgetSettings) -> Self {
        Self {
            accounts: ArcSwap::default(),
            ceilings,
            budget,
        }
    }

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
            let account = known.unwrap_or_else(|| Arc::new(Account::new(&self.budget)));
            account.update(&customer.limits, &self.ceilings, share(name));
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
