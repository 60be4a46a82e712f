//! Fair queue between the customers of one class: start-time fair queueing (Goyal, Vin
//! and Cheng, 1996).
//!
//! Each request gets a start tag: the later of the virtual time and the finish tag of
//! its customer's request before it. The lowest start tag goes first. A customer with
//! ten times the backlog only pushes its own tags on. Every step is O(log waiting).

use std::collections::{BTreeMap, HashMap};

use derive::key;
use types::CustomerName;

use crate::ticket::Ticket;

/// Virtual time of one unit of cost at weight 1; the weights up to 10 divide it.
const VIRTUAL_TIME_PER_COST: u64 = 5_040;

/// Place in the queue: start tag, then order of arrival.
#[key]
pub(crate) struct QueueKey {
    start_tag: u64,
    ticket: Ticket,
}

/// One request that waits.
#[derive(Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) customer: CustomerName,
    /// Virtual time that it takes: its cost over its customer's weight.
    pub(crate) virtual_cost: u64,
}

#[derive(Debug)]
struct Flow {
    /// Finish tag of its last request.
    finish_tag: u64,
    waiting: u32,
    weight: u32,
}

/// Requests of one class that wait.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    waiting: BTreeMap<QueueKey, QueuedRequest>,
    flows: HashMap<CustomerName, Flow>,
    virtual_time: u64,
    /// Sum of the weights of customers that wait.
    active_weight: u64,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Requests of the customer that wait.
    pub(crate) fn waiting_count(&self, customer: &CustomerName) -> u32 {
        self.flows.get(customer).map_or(0, |flow| flow.waiting)
    }

    /// Requests that go before the customer's next one: all that wait, or fewer when its
    /// weight lets it overtake those of others.
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

    /// The request that goes next.
    pub(crate) fn peek(&self) -> Option<&QueuedRequest> {
        self.waiting.first_key_value().map(|(_, waiting)| waiting)
    }

    /// Takes the request that goes next.
    pub(crate) fn pop(&mut self) -> Option<(Ticket, QueuedRequest)> {
        let (key, waiting) = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(key.start_tag);
        self.remove_from_flow(&waiting.customer);
        Some((key.ticket, waiting))
    }

    /// Takes out a request that will not be served, and gives its cost back: else the
    /// requests that expire in a stall would put their customer behind all others for
    /// as long as the stall was, after it is over.
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
        // With nobody waiting all are even; dropping the flows bounds the memory.
        if self.waiting.is_empty() {
            self.flows.clear();
            self.virtual_time = 0;
        }
    }
}
