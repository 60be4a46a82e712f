//! How much of a call table each customer holds.
//!
//! Without it one customer's slow calls with large bodies, or one trainer's waiting
//! fetches, fill the table, and every other customer is refused at this process. A
//! customer may hold a few times what is still free, so there is always room left for
//! the next customer, and a lone one still gets most of the table.

use std::collections::HashMap;

use types::CustomerName;

/// A customer may hold at most so many times what is free.
const FREE_SHARES: usize = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    calls: usize,
    bytes: usize,
}

/// Calls and bytes of requests by customer.
#[derive(Debug, Default)]
pub(crate) struct Shares(HashMap<CustomerName, Held>);

/// What a table still has room for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Free {
    pub calls: usize,
    pub bytes: usize,
}

impl Shares {
    /// Whether the customer may hold one more call with so many bytes.
    pub fn fits(&self, customer: &CustomerName, request_bytes: usize, free: Free) -> bool {
        let held = self.0.get(customer).copied().unwrap_or_default();
        let Some(bytes_left) = free.bytes.checked_sub(request_bytes) else {
            return false;
        };
        let calls_fit = held.calls < FREE_SHARES * free.calls;
        // A request without a body asks for no bytes, however few are left.
        let bytes_fit =
            request_bytes == 0 || held.bytes + request_bytes <= FREE_SHARES * bytes_left;
        calls_fit && bytes_fit
    }

    pub fn take(&mut self, customer: &CustomerName, request_bytes: usize) {
        let held = self.0.entry(customer.clone()).or_default();
        held.calls += 1;
        held.bytes += request_bytes;
    }

    pub fn give_back(&mut self, customer: &CustomerName, request_bytes: usize) {
        let Some(held) = self.0.get_mut(customer) else {
            return;
        };
        held.calls -= 1;
        held.bytes -= request_bytes;
        if held.calls == 0 {
            self.0.remove(customer);
        }
    }
}
