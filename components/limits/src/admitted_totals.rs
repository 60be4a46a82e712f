//! Admitted work of each customer over all classes, counted since the queue was last empty.
//!
//! Class priority alone ignores customers: one that submits all its work as interactive would keep
//! the samples of another waiting, however little the other uses. A customer's requests therefore
//! have priority only as long as its total is not far above that of the customers waiting in lower
//! classes.

use std::collections::HashMap;

use types::CustomerName;

use crate::fair::QueuedRequest;

/// Virtual time of the admitted requests of each customer, as in start-time fair queueing.
#[derive(Debug, Default)]
pub(crate) struct AdmittedTotals {
    totals: HashMap<CustomerName, u64>,
    /// Lowest total of a waiting customer at the last admission. Totals below it count as equal to
    /// it, so a customer that has been idle gains no credit.
    virtual_time: u64,
}

impl AdmittedTotals {
    /// Virtual time of the customer's admitted requests; at least `virtual_time`.
    pub(crate) fn total(&self, customer: &CustomerName) -> u64 {
        let total = self.totals.get(customer).copied();
        total.unwrap_or_default().max(self.virtual_time)
    }

    /// Adds an admitted request. `lowest_total` is the lowest total of the customers that waited
    /// when it was admitted.
    pub(crate) fn add(&mut self, request: &QueuedRequest, lowest_total: u64) {
        self.virtual_time = self.virtual_time.max(lowest_total);
        let total = self
            .total(&request.customer)
            .saturating_add(request.virtual_cost);
        self.totals.insert(request.customer.clone(), total);
    }

    /// Sets all totals to zero; called when no request waits.
    pub(crate) fn reset(&mut self) {
        self.totals.clear();
        self.virtual_time = 0;
    }
}
