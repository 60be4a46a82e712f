//! Fair queue between the customers of one class: start-time fair queueing (Goyal, Vin and Cheng,
//! 1996).
//!
//! Each request gets a start tag: the later of the current virtual time and the finish tag of the
//! customer's previous request. The request with the lowest start tag is served first. A large
//! backlog of a customer only raises the tags of that customer's own requests. Every operation
//! takes O(log n) for n waiting requests.

use std::collections::{BTreeMap, HashMap};

use derive::key;
use types::CustomerName;

use crate::ticket::Ticket;

/// Virtual time of one unit of cost at weight 1. It is divisible by all weights up to 10, so these
/// do not round.
const VIRTUAL_TIME_PER_COST: u64 = 5_040;

/// Sort key of the queue: start tag, then order of arrival.
#[key]
pub(crate) struct QueueKey {
    start_tag: u64,
    ticket: Ticket,
}

/// A waiting request.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) customer: CustomerName,
    /// Virtual time that the request takes: its cost divided by its customer's weight.
    pub(crate) virtual_cost: u64,
}

#[derive(Debug)]
struct Flow {
    /// Finish tag of the customer's last request.
    finish_tag: u64,
    waiting: u32,
    weight: u32,
}

/// Waiting requests of one class.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    waiting: BTreeMap<QueueKey, QueuedRequest>,
    flows: HashMap<CustomerName, Flow>,
    virtual_time: u64,
    /// Sum of the weights of the customers with waiting requests.
    active_weight: u64,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of the customer's waiting requests.
    pub(crate) fn waiting_count(&self, customer: &CustomerName) -> u32 {
        self.flows.get(customer).map_or(0, |flow| flow.waiting)
    }

    /// Estimated number of requests that are served before a new request of the customer: all
    /// waiting requests, or fewer if the customer's weight lets its request overtake some.
    pub(crate) fn ahead_of(&self, customer: &CustomerName, weight: u32) -> u64 {
        let weight = u64::from(weight.max(1));
        let own_waiting = u64::from(self.waiting_count(customer));
        let active_weight = match own_waiting {
            0 => self.active_weight + weight,
            _ => self.active_weight,
        };
        let by_share = (own_waiting + 1) * active_weight / weight;
        by_share.min(self.waiting.len() as u64)
    }

    pub(crate) fn push(
        &mut self,
        ticket: Ticket,
        customer: &CustomerName,
        weight: u32,
        cost: u32,
    ) -> QueueKey {
        let weight = weight.max(1);
        let virtual_cost = u64::from(cost.max(1)) * VIRTUAL_TIME_PER_COST / u64::from(weight);
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(customer.clone()).or_insert(Flow {
            finish_tag: virtual_time,
            waiting: 0,
            weight,
        });
        if flow.waiting == 0 {
            flow.weight = weight;
            self.active_weight += u64::from(weight);
        }
        flow.waiting += 1;
        let start_tag = flow.finish_tag.max(virtual_time);
        flow.finish_tag = start_tag.saturating_add(virtual_cost);
        let key = QueueKey { start_tag, ticket };
        let waiting = QueuedRequest {
            customer: customer.clone(),
            virtual_cost,
        };
        self.waiting.insert(key, waiting);
        key
    }

    /// The request that is served next.
    pub(crate) fn peek(&self) -> Option<&QueuedRequest> {
        self.waiting.first_key_value().map(|(_, waiting)| waiting)
    }

    /// Removes the request that is served next.
    pub(crate) fn pop(&mut self) -> Option<(Ticket, QueuedRequest)> {
        let (key, waiting) = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(key.start_tag);
        self.remove_from_flow(&waiting.customer);
        Some((key.ticket, waiting))
    }

    /// Removes a request that will not be served and refunds its cost. Otherwise requests that
    /// expired while the service was stalled would put their customer behind all others for as
    /// long as the stall lasted.
    pub(crate) fn remove(&mut self, key: QueueKey) {
        let Some(waiting) = self.waiting.remove(&key) else {
            return;
        };
        if let Some(flow) = self.flows.get_mut(&waiting.customer) {
            flow.finish_tag = flow.finish_tag.saturating_sub(waiting.virtual_cost);
        }
        self.remove_from_flow(&waiting.customer);
    }

    fn remove_from_flow(&mut self, customer: &CustomerName) {
        if let Some(flow) = self.flows.get_mut(customer) {
            flow.waiting -= 1;
            if flow.waiting == 0 {
                self.active_weight -= u64::from(flow.weight);
            }
        }
        // Without waiting requests all customers are equal; removing the flows bounds the memory.
        if self.waiting.is_empty() {
            self.flows.clear();
            self.virtual_time = 0;
        }
    }
}
