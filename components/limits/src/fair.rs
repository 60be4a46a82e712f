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
const UNIT: u64 = 5_040;

/// Place in the queue: start tag, then order of arrival.
#[key]
pub(crate) struct Place {
    start: u64,
    ticket: Ticket,
}

/// One request that waits.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) customer: CustomerName,
    /// Virtual time that it takes: its cost over its customer's weight.
    pub(crate) length: u64,
}

#[derive(Debug)]
struct Flow {
    /// Finish tag of its last request.
    finish: u64,
    waiting: u32,
    weight: u32,
}

/// Requests of one class that wait.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    waiting: BTreeMap<Place, Waiting>,
    flows: HashMap<CustomerName, Flow>,
    virtual_time: u64,
    /// Sum of the weights of customers that wait.
    weight: u64,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Requests of the customer that wait.
    pub(crate) fn waiting_of(&self, customer: &CustomerName) -> u32 {
        self.flows.get(customer).map_or(0, |flow| flow.waiting)
    }

    /// Requests that go before the customer's next one: all that wait, or fewer when its
    /// weight lets it overtake those of others.
    pub(crate) fn ahead_of(&self, customer: &CustomerName, weight: u32) -> u64 {
        let weight = u64::from(weight.max(1));
        let own = u64::from(self.waiting_of(customer));
        let active = match own {
            0 => self.weight + weight,
            _ => self.weight,
        };
        let by_share = (own + 1) * active / weight;
        by_share.min(self.waiting.len() as u64)
    }

    pub(crate) fn push(
        &mut self,
        ticket: Ticket,
        customer: &CustomerName,
        weight: u32,
        cost: u32,
    ) -> Place {
        let weight = weight.max(1);
        let length = u64::from(cost.max(1)) * UNIT / u64::from(weight);
        let virtual_time = self.virtual_time;
        let flow = self.flows.entry(customer.clone()).or_insert(Flow {
            finish: virtual_time,
            waiting: 0,
            weight,
        });
        if flow.waiting == 0 {
            flow.weight = weight;
            self.weight += u64::from(weight);
        }
        flow.waiting += 1;
        let start = flow.finish.max(virtual_time);
        flow.finish = start.saturating_add(length);
        let place = Place { start, ticket };
        let waiting = Waiting {
            customer: customer.clone(),
            length,
        };
        self.waiting.insert(place, waiting);
        place
    }

    /// The request that goes next.
    pub(crate) fn first(&self) -> Option<&Waiting> {
        self.waiting.first_key_value().map(|(_, waiting)| waiting)
    }

    /// Takes the request that goes next.
    pub(crate) fn pop(&mut self) -> Option<(Ticket, Waiting)> {
        let (place, waiting) = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(place.start);
        self.left(&waiting.customer);
        Some((place.ticket, waiting))
    }

    /// Takes out a request that will not be served, and gives its cost back: else the
    /// requests that expire in a stall would put their customer behind all others for
    /// as long as the stall was, after it is over.
    pub(crate) fn remove(&mut self, place: Place) {
        let Some(waiting) = self.waiting.remove(&place) else {
            return;
        };
        if let Some(flow) = self.flows.get_mut(&waiting.customer) {
            flow.finish = flow.finish.saturating_sub(waiting.length);
        }
        self.left(&waiting.customer);
    }

    fn left(&mut self, customer: &CustomerName) {
        if let Some(flow) = self.flows.get_mut(customer) {
            flow.waiting -= 1;
            if flow.waiting == 0 {
                self.weight -= u64::from(flow.weight);
            }
        }
        // With nobody waiting all are even; dropping the flows bounds the memory.
        if self.waiting.is_empty() {
            self.flows.clear();
            self.virtual_time = 0;
        }
    }
}
