//! Orders that were sent and whose replicas may still be loading.

use std::collections::HashMap;
use std::hash::Hash;

use derive::{key, value};

/// Pause after an order that was not accepted, in milliseconds.
const RETRY_PAUSE_MS: u64 = 300;

/// Distinguishes the orders of one process.
#[key]
pub struct OrderNumber(u64);

/// An order that was sent to a replica.
#[value]
pub struct PendingOrder<M> {
    /// The model whose weights are loaded.
    pub model: M,
    /// Version of the weights.
    pub version: u64,
    /// When the order counts as failed and the replica may get another one, in milliseconds.
    pub until_ms: u64,
    /// Whether the replica accepted the order or its answer is still awaited.
    pub accepted: bool,
    number: OrderNumber,
}

/// Pending orders, at most one for each replica.
#[derive(Debug)]
pub struct PendingOrders<R, M> {
    orders: HashMap<R, PendingOrder<M>>,
    sent: u64,
}

impl<R, M> Default for PendingOrders<R, M> {
    fn default() -> Self {
        Self {
            orders: HashMap::new(),
            sent: 0,
        }
    }
}

impl<R: Hash + Eq, M> PendingOrders<R, M> {
    /// Adds an order that is sent now. It replaces an earlier one for the replica.
    pub fn add(&mut self, replica: R, model: M, version: u64, until_ms: u64) -> OrderNumber {
        self.sent += 1;
        let number = OrderNumber(self.sent);
        let order = PendingOrder {
            model,
            version,
            until_ms,
            accepted: true,
            number,
        };
        self.orders.insert(replica, order);
        number
    }

    /// The order that is pending at a replica.
    pub fn get(&self, replica: &R) -> Option<&PendingOrder<M>> {
        self.orders.get(replica)
    }

    /// Notes that the replica did not accept an order, so that it gets another one after a pause.
    /// Changes nothing if a later order is pending there.
    pub fn record_failure(&mut self, replica: &R, number: OrderNumber, now_ms: u64) {
        let order = self.orders.get_mut(replica);
        if let Some(order) = order.filter(|order| order.number == number) {
            order.accepted = false;
            order.until_ms = now_ms + RETRY_PAUSE_MS;
        }
    }

    /// Drops the orders that are not kept.
    pub fn retain(&mut self, mut keeps: impl FnMut(&R, &PendingOrder<M>) -> bool) {
        self.orders.retain(|replica, order| keeps(replica, order));
    }

    /// Drops all orders.
    pub fn clear(&mut self) {
        self.orders.clear();
    }
}
