//! The queue of one service: pure, owned by one task.
//!
//! Class priority first, then the fair queue between customers. Strict priority alone
//! would let a stream of interactive requests hold up samples for ever, so a class that
//! waits is passed over a bounded number of times, and a customer who is far ahead of
//! one that waits in a lower class has no priority over it. A queued request has an answer by
//! its deadline, and is refused at once when the estimated wait is past it.

use std::collections::{BTreeSet, HashMap};

use derive::{key, value};
use types::{Cause, Class, CustomerName, Failure};

use crate::admitted_totals::AdmittedTotals;
use crate::fair::{FairQueue, QueueKey};
use crate::retry_after::retry_after_ms;
use crate::settings::AdmissionSettings;
use crate::ticket::Ticket;

/// A request that finds no room.
#[value]
pub struct Arrival {
    /// Its number.
    pub ticket: Ticket,
    /// Who pays for it.
    pub customer: CustomerName,
    /// The customer's share in the fair queue.
    pub weight: u32,
    /// Its class.
    pub class: Class,
    /// Its size in the fair queue: tokens for a model, 1 for a plain service.
    pub cost: u32,
    /// When its caller gives up, in milliseconds.
    pub deadline_ms: u64,
}

/// Slots of the service as they are now.
#[key]
pub struct Capacity {
    /// Requests in progress.
    pub in_progress: u32,
    /// Most requests in progress.
    pub limit: u32,
    /// How long a request holds its slot, in milliseconds.
    pub hold_ms: u32,
}

/// What the owner of the queue does next.
#[value]
pub enum Action {
    /// The request goes; it takes a slot.
    Admit(Ticket),
    /// The request has waited too long; it was not run.
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
    /// How often it was passed over since it was last served.
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

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The nearest deadline of a waiting request, in milliseconds.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        self.deadlines.first().map(|&(deadline_ms, _)| deadline_ms)
    }

    /// Queues the request, or refuses it at once.
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
        let class_queue = self.class_queue_mut(arrival.class);
        let own_waiting = class_queue.queue.waiting_count(&arrival.customer);
        let too_late = now_ms.saturating_add(wait_ms) >= arrival.deadline_ms;
        if too_late || own_waiting >= self.settings.waiting_max {
            let back_ms = retry_after_ms(wait_ms, random);
            return Err(Failure::not_run(Cause::QueueFull).retry_after(back_ms));
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

    /// Estimated wait of a request, in milliseconds: those before it, at the rate at
    /// which slots come free.
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

    /// What to do next; to be asked until there is nothing.
    pub fn next_action(&mut self, capacity: Capacity, now_ms: u64) -> Option<Action> {
        // Deadlines first: an owner that was paused must not hand over requests whose
        // callers have given up meanwhile.
        if let Some(&(deadline_ms, ticket)) = self.deadlines.first()
            && deadline_ms <= now_ms
        {
            self.cancel(ticket);
            let failure = Failure::not_run(Cause::DeadlinePassed);
            return Some(Action::Expire(ticket, failure));
        }
        self.admit(capacity).map(Action::Admit)
    }

    /// Takes out a request whose caller went away.
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

    fn admit(&mut self, capacity: Capacity) -> Option<Ticket> {
        if capacity.in_progress >= capacity.limit {
            return None;
        }
        let class = self.next_class(capacity)?;
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

    /// The class that goes next: one that was passed over too often, lowest first, else
    /// the highest whose next customer is not too far ahead.
    fn next_class(&self, capacity: Capacity) -> Option<Class> {
        let settings = &self.settings;
        let mut waiting = self
            .class_queues
            .iter()
            .filter(|class_queue| !class_queue.queue.is_empty());
        let is_overdue =
            |class_queue: &&ClassQueue| class_queue.skips >= settings.skips_max(class_queue.class);
        if let Some(overdue) = waiting.clone().rev().find(is_overdue) {
            return Some(overdue.class);
        }
        let highest = waiting.clone().next()?;
        let lowest_total = self.lowest_total();
        let next = waiting.find(|class_queue| !self.is_too_far_ahead(class_queue, lowest_total))?;
        // The slots left free are for higher classes; not for a customer who is ahead.
        let overtakes = next.class > highest.class;
        let has_room = capacity.in_progress < settings.slots_for(next.class, capacity.limit);
        (overtakes || has_room).then_some(next.class)
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

    /// The least that a customer next in its class has been given.
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
