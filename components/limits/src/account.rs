//! What each customer has been given over all classes while work waits.
//!
//! Class priority knows no customers: one who calls all its work interactive would keep
//! another's samples waiting, however small the other's use. Priority therefore holds
//! only as long as the customer is not far ahead of those that wait behind it.

use std::collections::HashMap;

use types::CustomerName;

use crate::fair::Waiting;

/// Virtual time given to customers, as in start-time fair queueing.
#[derive(Debug, Default)]
pub(crate) struct Accounts {
    given: HashMap<CustomerName, u64>,
    /// The least that a waiting customer had been given; one that comes begins there.
    clock: u64,
}

impl Accounts {
    /// What the customer has been given.
    pub(crate) fn given(&self, customer: &CustomerName) -> u64 {
        let given = self.given.get(customer).copied();
        given.unwrap_or_default().max(self.clock)
    }

    /// Counts a request that was admitted; `least` is the least given of those waiting.
    pub(crate) fn give(&mut self, request: &Waiting, least: u64) {
        self.clock = self.clock.max(least);
        let given = self.given(&request.customer).saturating_add(request.length);
        self.given.insert(request.customer.clone(), given);
    }

    /// With nobody waiting all are even.
    pub(crate) fn clear(&mut self) {
        self.given.clear();
        self.clock = 0;
    }
}
