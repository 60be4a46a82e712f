//! Share of a call table that each customer uses.
//!
//! Without a limit for each customer, one customer's slow calls with large bodies, or the
//! waiting fetches of one trainer, fill the table and this process refuses every other
//! customer. The limit is a multiple of the capacity that is still free, so some capacity
//! always remains for the next customer, and a single customer can use most of the table.

use std::collections::HashMap;

use types::CustomerName;

/// Capacity that one customer may use, as a multiple of the free capacity.
const USED_PER_FREE_MAX: usize = 3;

#[derive(Clone, Copy, Debug, Default)]
struct Used {
    calls: usize,
    bytes: usize,
}

/// Calls and request bytes by customer.
#[derive(Debug, Default)]
pub(crate) struct Shares(HashMap<CustomerName, Used>);

/// Capacity of a table that is not in use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FreeCapacity {
    pub calls: usize,
    pub bytes: usize,
}

impl Shares {
    /// Whether the customer may add a call with a request of `request_bytes`.
    pub fn fits(&self, customer: &CustomerName, request_bytes: usize, free: FreeCapacity) -> bool {
        let used = self.0.get(customer).copied().unwrap_or_default();
        let Some(bytes_left) = free.bytes.checked_sub(request_bytes) else {
            return false;
        };
        let calls_fit = used.calls < USED_PER_FREE_MAX * free.calls;
        // A request without a body needs no bytes, so it fits even if none are free.
        let bytes_fit =
            request_bytes == 0 || used.bytes + request_bytes <= USED_PER_FREE_MAX * bytes_left;
        calls_fit && bytes_fit
    }

    pub fn add_call(&mut self, customer: &CustomerName, request_bytes: usize) {
        let used = self.0.entry(customer.clone()).or_default();
        used.calls += 1;
        used.bytes += request_bytes;
    }

    pub fn remove_call(&mut self, customer: &CustomerName, request_bytes: usize) {
        let Some(used) = self.0.get_mut(customer) else {
            return;
        };
        used.calls -= 1;
        used.bytes -= request_bytes;
        if used.calls == 0 {
            self.0.remove(customer);
        }
    }
}
