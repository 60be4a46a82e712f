//! The admission queue of one service: a state machine without I/O, owned by one task.
//!
//! Requests are ordered by class priority first, then by fair queueing between customers. Strict
//! priority alone would let a stream of interactive requests starve samples. A waiting class is
//! therefore skipped a limited number of times, and a customer that has been admitted far more
//! work than a customer waiting in a lower class has no priority over that customer. Every queued
//! request is admitted or expires by its deadline; a request whose estimated wait ends after its
//! deadline is refused at once.

use std::collections::{BTreeSet, HashMap};

use derive::{key, value};
use types::{Cause, Class, CustomerName, Failure};

use crate::admitted_totals::AdmittedTotals;
use crate::fair::{FairQueue, QueueKey};
use crate::retry_after::retry_after_ms;
use crate::settings::AdmissionSettings;
use crate::ticket::Ticket;

/// A request that found no free slot.
#[value]
pub struct Arrival {
    /// Number that identifies the request in the queue.
    pub ticket: Ticket,
    /// Customer whose limits the request counts against.
    pub customer: CustomerName,
    /// Weight of the customer in the fair queue; 0 counts as 1.
    pub weight: u32,
    /// Priority class of the request.
    pub class: Class,
    /// Size of the request in the fair queue: tokens for a model, 1 for a plain service.
    pub cost: u32,
    /// Time at which the request expires, in milliseconds.
    pub deadline_ms: u64,
}

/// Use of the service's slots at the present time.
#[key]
pub struct Capacity {
    /// Number of slots in use, one per request in progress.
    pub in_progress: u32,
    /// Total number of slots. May be less than `in_progress` after it was lowered.
    pub limit: u32,
    /// Mean time for which a request holds its slot, in milliseconds.
    pub hold_ms: u32,
}

/// What the owner of the queue has to do next.
#[value]
pub enum Action {
    /// Admit the request; it takes a slot.
    Admit(Ticket),
    /// Answer the request with this failure: its deadline passed before it was run.
    Expire(Ticket, Failure),
}

#[derive(Debug)]
struct QueuedTicket {
    class: Class,
    key: QueueKey,
    deadline_ms: u64,
}

#[derive(Debug)]
struct ClassQueue {
    class: Class,
    queue: FairQueue,
    /// Number of requests of higher classes that were admitted while this class waited, since it
    /// was last served.
    skips: u32,
}

/// Requests that wait for a slot of one service.
#[derive(Debug)]
pub struct Admission {
    settings: AdmissionSettings,
    class_queues: [ClassQueue; Class::ALL.len()],
    totals: AdmittedTotals,
    waiting: HashMap<Ticket, QueuedTicket>,
    deadlines: BTreeSet<(u64, Ticket)>,
}

impl Admission {
    /// An empty queue.
    pub fn new(settings: AdmissionSettings) -> Self {
        let class_queue = |class| ClassQueue {
            class,
            queue: FairQueue::default(),
            skips: 0,
        };
        Self {
            settings,
            class_queues: Class::ALL.map(class_queue),
            totals: AdmittedTotals::default(),
            waiting: HashMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of waiting requests of `class` and of higher classes.
    pub fn waiting_up_to(&self, class: Class) -> usize {
        let served_before = self
            .class_queues
            .iter()
            .filter(|class_queue| class_queue.class <= class);
        served_before
            .map(|class_queue| class_queue.queue.len())
            .sum()
    }

    /// Earliest deadline of a waiting request, in milliseconds.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.deadlines.first().map(|&(deadline_ms, _)| deadline_ms)
    }

    /// Queues a request. Refuses it if its deadline has passed or would pass during the estimated
    /// wait, or if its customer has the maximum number of requests waiting in the class. `random`
    /// spreads the time after which the caller may retry.
    pub fn enqueue(
        &mut self,
        arrival: &Arrival,
        capacity: Capacity,
        now_ms: u64,
        random: u64,
    ) -> Result<(), Failure> {
        if arrival.deadline_ms <= now_ms {
            return Err(Failure::not_run(Cause::DeadlinePassed));
        }
        let wait_ms = self.estimated_wait_ms(arrival, capacity);
        let waiting_max = self.settings.waiting_max(arrival.class);
        let class_queue = self.class_queue_mut(arrival.class);
        let own_waiting = class_queue.queue.waiting_count(&arrival.customer);
        let too_late = now_ms.saturating_add(wait_ms) >= arrival.deadline_ms;
        if too_late || own_waiting >= waiting_max {
            let retry_ms = retry_after_ms(wait_ms, random);
            return Err(Failure::not_run(Cause::QueueFull).retry_after(retry_ms));
        }
        self.push(arrival);
        Ok(())
    }

    fn push(&mut self, arrival: &Arrival) {
        let ticket = arrival.ticket;
        let class_queue = self.class_queue_mut(arrival.class);
        let key = class_queue
            .queue
            .push(ticket, &arrival.customer, arrival.weight, arrival.cost);
        let waiting = QueuedTicket {
            class: arrival.class,
            key,
            deadline_ms: arrival.deadline_ms,
        };
        self.deadlines.insert((waiting.deadline_ms, ticket));
        self.waiting.insert(ticket, waiting);
    }

    /// Estimated wait of a request, in milliseconds: the number of requests ahead of it, divided
    /// by the rate at which slots become free.
    pub fn estimated_wait_ms(&self, arrival: &Arrival, capacity: Capacity) -> u64 {
        let before = |class_queue: &ClassQueue| match class_queue.class.cmp(&arrival.class) {
            std::cmp::Ordering::Less => class_queue.queue.len() as u64,
            std::cmp::Ordering::Equal => class_queue
                .queue
                .ahead_of(&arrival.customer, arrival.weight),
            std::cmp::Ordering::Greater => 0,
        };
        let ahead: u64 = self.class_queues.iter().map(before).sum();
        let slots = self.settings.slots_for(arrival.class, capacity.limit);
        if slots == 0 {
            return u64::MAX;
        }
        (ahead + 1) * u64::from(capacity.hold_ms) / u64::from(slots)
    }

    /// The next action for the owner of the queue; to be called until it returns `None`.
    pub fn next_action(&mut self, capacity: Capacity, now_ms: u64) -> Option<Action> {
        self.next_action_without(&[], capacity, now_ms)
    }

    /// As [`Admission::next_action`], for a service whose free slots may not be used by the `closed`
    /// classes now. Requests of other classes overtake those of a closed class.
    pub fn next_action_without(
        &mut self,
        closed: &[Class],
        capacity: Capacity,
        now_ms: u64,
    ) -> Option<Action> {
        // Deadlines come first: after a pause of the process, requests that expired during the
        // pause must not be run.
        if let Some(&(deadline_ms, ticket)) = self.deadlines.first()
            && deadline_ms <= now_ms
        {
            self.cancel(ticket);
            let failure = Failure::not_run(Cause::DeadlinePassed);
            return Some(Action::Expire(ticket, failure));
        }
        self.admit(closed, capacity).map(Action::Admit)
    }

    /// Removes a request whose caller has disconnected; false if it is no longer queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return false;
        };
        self.deadlines.remove(&(waiting.deadline_ms, ticket));
        self.class_queue_mut(waiting.class)
            .queue
            .remove(waiting.key);
        self.reset_if_empty();
        true
    }

    fn admit(&mut self, closed: &[Class], capacity: Capacity) -> Option<Ticket> {
        if capacity.in_progress >= capacity.limit {
            return None;
        }
        let class = self.next_class(closed, capacity)?;
        let lowest_total = self.lowest_total();
        let (ticket, request) = self.class_queue_mut(class).queue.pop()?;
        self.totals.add(&request, lowest_total);
        self.count_skips(class);
        if let Some(waiting) = self.waiting.remove(&ticket) {
            self.deadlines.remove(&(waiting.deadline_ms, ticket));
        }
        self.reset_if_empty();
        Some(ticket)
    }

    fn reset_if_empty(&mut self) {
        if self.waiting.is_empty() {
            self.totals.reset();
        }
    }

    /// The class whose request is admitted next: the lowest class that was skipped too often, else
    /// the highest class whose next customer is not too far ahead of the other customers.
    fn next_class(&self, closed: &[Class], capacity: Capacity) -> Option<Class> {
        let settings = &self.settings;
        let mut waiting = self
            .class_queues
            .iter()
            .filter(|class_queue| !class_queue.queue.is_empty())
            .filter(|class_queue| !closed.contains(&class_queue.class));
        let is_overdue =
            |class_queue: &&ClassQueue| class_queue.skips >= settings.skips_max(class_queue.class);
        if let Some(overdue) = waiting.clone().rev().find(is_overdue) {
            return Some(overdue.class);
        }
        let highest = waiting.clone().next()?;
        let lowest_total = self.lowest_total();
        let next = waiting.find(|class_queue| !self.is_too_far_ahead(class_queue, lowest_total))?;
        // A lower class leaves some slots free for higher classes. It may fill them when the
        // waiting customer of the higher class is too far ahead to be admitted.
        let overtakes = next.class > highest.class;
        let has_free_slot = capacity.in_progress < settings.slots_for(next.class, capacity.limit);
        (overtakes || has_free_slot).then_some(next.class)
    }

    fn is_too_far_ahead(&self, class_queue: &ClassQueue, lowest_total: u64) -> bool {
        let Some(first) = class_queue.queue.peek() else {
            return false;
        };
        let lead = self.totals.total(&first.customer) - lowest_total;
        lead > first
            .virtual_cost
            .saturating_mul(u64::from(self.settings.lead_requests_max))
    }

    /// Lowest total of the customers whose requests are next in their class.
    fn lowest_total(&self) -> u64 {
        let firsts = self
            .class_queues
            .iter()
            .filter_map(|class_queue| class_queue.queue.peek());
        let totals = firsts.map(|first| self.totals.total(&first.customer));
        totals.min().unwrap_or_default()
    }

    fn count_skips(&mut self, served: Class) {
        for class_queue in &mut self.class_queues {
            if class_queue.class == served || class_queue.queue.is_empty() {
                class_queue.skips = 0;
            } else if class_queue.class > served {
                class_queue.skips += 1;
            }
        }
    }

    fn class_queue_mut(&mut self, class: Class) -> &mut ClassQueue {
        let [interactive, background, sampling] = &mut self.class_queues;
        match class {
            Class::Interactive => interactive,
            Class::Background => background,
            Class::Sampling => sampling,
        }
    }
}
