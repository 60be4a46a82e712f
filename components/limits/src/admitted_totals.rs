//! What each customer has been given over all classes while work waits.
//!
//! Class priority knows no customers: one who calls all its work interactive would keep
//! another's samples waiting, however small the other's use. Priority therefore holds
//! only as long as the customer is not far ahead of those that wait behind it.

use std::collections::HashMap;

use types::CustomerName;

use crate::fair::QueuedRequest;

/// Virtual time given to customers, as in start-time fair queueing.
#[derive(Debug, Default)]
pub(crate) struct AdmittedTotals {
    totals: HashMap<CustomerName, u64>,
    /// The least that a waiting customer had been given; one that comes begins there.
    virtual_time: u64,
}

impl AdmittedTotals {
    /// What the customer has been given.
    pub(crate) fn total(&self, customer: &CustomerName) -> u64 {
        let total = self.totals.get(customer).copied();
        total.unwrap_or_default().max(self.virtual_time)
    }

    /// Counts a request that was admitted; `least` is the least given of those waiting.
    pub(crate) fn add(&mut self, request: &QueuedRequest, lowest_total: u64) {
        self.virtual_time = self.virtual_time.max(lowest_total);
        let total = self
            .total(&request.customer)
            .saturating_add(request.virtual_cost);
        self.totals.insert(request.customer.clone(), total);
    }

    /// With nobody waiting all are even.
    pub(crate) fn reset(&mut self) {
        self.totals.clear();
        self.virtual_time = 0;
    }
}
